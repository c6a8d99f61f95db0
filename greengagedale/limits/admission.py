"""Admission control: decides which requests run, wait or are refused.

Each service of a host has its own `AdmissionController`. Work is measured in
units of one sub-request: a search takes one unit for each range and releases
each unit when its sub-request completes. Requests are refused as early as
possible: on arrival if the queue is full or the request can't complete before
its deadline, and later only if the estimate made on arrival was wrong.
"""

import dataclasses
import enum
import random
from typing import NamedTuple

from greengagedale.limits import fair_queue

MIN_RETRY_AFTER_MS = 50
MAX_RETRY_AFTER_MS = 10_000
_RETRY_JITTER = (0.75, 1.5)
_SMOOTHING_FACTOR = 0.1
_WAIT_SAFETY_FACTOR = 3.0
_RUN_TIME_DEVIATIONS = 2.0


class RefusalCause(enum.StrEnum):
    """Reasons to refuse a request."""

    QUEUE_FULL = "queue_full"
    TOO_LATE = "too_late"
    WAITED_OUT = "waited_out"


class AdmissionRequest(NamedTuple):
    """A request submitted for admission.

    Attributes:
        request_id: Identifier of the request.
        workspace: Workspace whose queue the request joins.
        weight: Weight of the workspace.
        units: Number of sub-requests that the request fans out to.
        queue_length: Maximum number of waiting requests of the workspace.
        deadline_ms: Deadline on the monotonic clock of the process.
    """

    request_id: str
    workspace: str
    weight: float
    units: int
    queue_length: int
    deadline_ms: float


class Admit(NamedTuple):
    """Decision to run a request now."""

    request_id: str


class Refuse(NamedTuple):
    """Decision to refuse a request and ask the caller to retry later."""

    request_id: str
    cause: RefusalCause
    retry_after_ms: int


Decision = Admit | Refuse


@dataclasses.dataclass(slots=True)
class _AdmittedRequest:
    workspace: str
    units: int


class AdmissionController:
    """Controls the admission of requests to one service on one host."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._queue: fair_queue.FairQueue[AdmissionRequest] = (
            fair_queue.FairQueue()
        )
        self._waiting: dict[str, AdmissionRequest] = {}
        self._admitted: dict[str, _AdmittedRequest] = {}
        self._units_in_flight = 0
        self._admission_interval_ms: float | None = None
        self._last_admission_ms = 0.0
        self._mean_run_ms: float | None = None
        self._run_deviation_ms = 0.0
        self._units_by_workspace: dict[str, int] = {}
        self._weights_by_workspace: dict[str, float] = {}

    @property
    def in_flight_units(self) -> int:
        """Number of sub-requests of admitted requests that have not ended."""
        return self._units_in_flight

    @property
    def waiting_count(self) -> int:
        """Number of requests waiting for admission."""
        return len(self._queue)

    def submit(
        self, request: AdmissionRequest, capacity: int, now_ms: float
    ) -> list[Decision]:
        """Submits a new request and returns the decisions that follow.

        The request waits if there is no decision about it.

        Args:
            request: The request.
            capacity: Maximum number of sub-requests in flight.
            now_ms: Current time.
        """
        refused = self._refuse_on_arrival(request, capacity, now_ms)
        if refused is not None:
            return [refused]
        entry = fair_queue.Entry(
            request.request_id, float(request.units), request
        )
        self._queue.push(request.workspace, request.weight, entry)
        self._waiting[request.request_id] = request
        return self.admit_waiting(capacity, now_ms, request.request_id)

    def admit_waiting(
        self, capacity: int, now_ms: float, new_request_id: str | None = None
    ) -> list[Decision]:
        """Admits waiting requests in fair order while there is capacity.

        Args:
            capacity: Maximum number of sub-requests in flight.
            now_ms: Current time.
            new_request_id: Identifier of a request that has just arrived. It
                may run even if there is only time for a partial answer before
                its deadline.
        """
        decisions: list[Decision] = []
        was_contended = len(self._queue) > 1
        while (head := self._queue.peek()) is not None:
            run_ms = self._expected_run_ms()
            needed_ms = 0.0 if head.item_id == new_request_id else run_ms
            is_too_late = now_ms + needed_ms > head.item.deadline_ms
            if not is_too_late and not self._has_capacity(head.item, capacity):
                break
            self._queue.pop()
            del self._waiting[head.item_id]
            if is_too_late:
                decisions.append(
                    self._refuse(head.item, RefusalCause.WAITED_OUT)
                )
            else:
                decisions.append(self._admit(head.item))
        admitted_count = sum(isinstance(item, Admit) for item in decisions)
        if admitted_count:
            self._record_admissions(admitted_count, was_contended, now_ms)
        return decisions

    def latest_start_ms(self, request: AdmissionRequest) -> float:
        """Returns the latest time at which a request can usefully start."""
        return request.deadline_ms - self._expected_run_ms()

    def expire(self, request_id: str) -> list[Decision]:
        """Refuses a request if it is still waiting."""
        request = self._waiting.get(request_id)
        if request is None:
            return []
        self.cancel_waiting(request_id)
        return [self._refuse(request, RefusalCause.WAITED_OUT)]

    def cancel_waiting(self, request_id: str) -> None:
        """Removes a waiting request whose caller has disconnected."""
        request = self._waiting.pop(request_id, None)
        if request is not None:
            self._queue.remove(request.workspace, request_id)

    def complete_unit(self, request_id: str) -> bool:
        """Releases one unit of a request; False if none was in flight."""
        admitted = self._admitted.get(request_id)
        if admitted is None or admitted.units == 0:
            return False
        admitted.units -= 1
        self._release_units(admitted.workspace, 1)
        return True

    def complete(self, request_id: str, duration_ms: float) -> None:
        """Records that an admitted request ended and releases its units.

        Args:
            request_id: Identifier of the request.
            duration_ms: Time from admission to the end of the request.
        """
        admitted = self._admitted.pop(request_id, None)
        if admitted is None:
            return
        if admitted.units:
            self._release_units(admitted.workspace, admitted.units)
        if self._mean_run_ms is not None:
            deviation_ms = abs(duration_ms - self._mean_run_ms)
            self._run_deviation_ms = _moving_average(
                self._run_deviation_ms, deviation_ms
            )
        self._mean_run_ms = _moving_average(self._mean_run_ms, duration_ms)

    def _refuse_on_arrival(
        self, request: AdmissionRequest, capacity: int, now_ms: float
    ) -> Refuse | None:
        queued_ahead = self._queue.flow_length(request.workspace)
        if queued_ahead >= request.queue_length:
            return self._refuse(request, RefusalCause.QUEUE_FULL)
        if self._can_run_at_once(request, queued_ahead, capacity):
            return None
        wait_ms = self._expected_wait_ms(request, queued_ahead)
        due_ms = (
            now_ms + wait_ms * _WAIT_SAFETY_FACTOR + self._expected_run_ms()
        )
        if due_ms > request.deadline_ms:
            return self._refuse(request, RefusalCause.TOO_LATE)
        return None

    def _can_run_at_once(
        self, request: AdmissionRequest, queued_ahead: int, capacity: int
    ) -> bool:
        if queued_ahead == 0 and self._is_within_fair_share(request, capacity):
            return True
        return not self._queue and self._has_capacity(request, capacity)

    def _expected_wait_ms(
        self, request: AdmissionRequest, queued_ahead: int
    ) -> float:
        other_weight = self._queue.active_weight() - (
            request.weight if queued_ahead else 0
        )
        turns = (
            (queued_ahead + 1)
            * (request.weight + other_weight)
            / request.weight
        )
        turns = min(turns, len(self._queue) + 1)
        return turns * (self._admission_interval_ms or 0.0)

    def _expected_run_ms(self) -> float:
        if self._mean_run_ms is None:
            return 0.0
        return self._mean_run_ms + _RUN_TIME_DEVIATIONS * self._run_deviation_ms

    def _has_capacity(self, request: AdmissionRequest, capacity: int) -> bool:
        # A request is admitted as soon as one unit is free, even if it has
        # more units: those over the capacity wait for a slot of an upstream,
        # so that no slot is idle.
        if not self._admitted or self._units_in_flight < capacity:
            return True
        return self._is_within_fair_share(request, capacity)

    def _is_within_fair_share(
        self, request: AdmissionRequest, capacity: int
    ) -> bool:
        """Returns whether the request fits its workspace's fair share.

        False if no other workspace has units in flight.
        """
        other_weight = sum(
            weight
            for name, weight in self._weights_by_workspace.items()
            if name != request.workspace
        )
        fair_share = capacity * request.weight / (request.weight + other_weight)
        units_in_flight = self._units_by_workspace.get(request.workspace, 0)
        return (
            bool(other_weight) and units_in_flight + request.units <= fair_share
        )

    def _release_units(self, workspace: str, units: int) -> None:
        self._units_in_flight -= units
        self._units_by_workspace[workspace] -= units
        if self._units_by_workspace[workspace] == 0:
            del self._units_by_workspace[workspace]
            del self._weights_by_workspace[workspace]

    def _admit(self, request: AdmissionRequest) -> Admit:
        workspace = request.workspace
        self._admitted[request.request_id] = _AdmittedRequest(
            workspace, request.units
        )
        self._units_in_flight += request.units
        units_in_flight = self._units_by_workspace.get(workspace, 0)
        self._units_by_workspace[workspace] = units_in_flight + request.units
        self._weights_by_workspace[workspace] = request.weight
        return Admit(request.request_id)

    def _record_admissions(
        self, admitted_count: int, was_contended: bool, now_ms: float
    ) -> None:
        if was_contended:
            interval_ms = (now_ms - self._last_admission_ms) / admitted_count
            factor = 1.0 - (1.0 - _SMOOTHING_FACTOR) ** admitted_count
            self._admission_interval_ms = _moving_average(
                self._admission_interval_ms, interval_ms, factor
            )
        self._last_admission_ms = now_ms

    def _refuse(self, request: AdmissionRequest, cause: RefusalCause) -> Refuse:
        queued_ahead = self._queue.flow_length(request.workspace)
        backlog_ms = self._expected_wait_ms(request, queued_ahead)
        backlog_ms += self._expected_run_ms()
        delay_ms = backlog_ms * self._rng.uniform(*_RETRY_JITTER)
        bounded_ms = max(MIN_RETRY_AFTER_MS, min(MAX_RETRY_AFTER_MS, delay_ms))
        return Refuse(request.request_id, cause, int(bounded_ms))


def _moving_average(
    old: float | None, sample: float, factor: float = _SMOOTHING_FACTOR
) -> float:
    return sample if old is None else old + factor * (sample - old)

"""Decides which requests run now, which wait and which are refused.

One `Admission` serves one service of one host. Work is counted in units of
one sub-request, so a search takes as many units as it has ranges and gives
them back one by one. Every refusal is made at once: on arrival if the queue
is full or the request can't be served before its deadline, later only if the
estimate made on arrival turns out wrong.
"""

import dataclasses
import enum
import random
from typing import NamedTuple

from greengagedale.limits import fair_queue

MIN_RETRY_AFTER_MS = 50
MAX_RETRY_AFTER_MS = 10_000
_JITTER = (0.75, 1.5)
_SMOOTHING = 0.1
_WAIT_MARGIN = 3.0
_DEVIATIONS = 2.0


class RefusalCause(enum.StrEnum):
    """Why a request was refused."""

    QUEUE_FULL = "queue_full"
    TOO_LATE = "too_late"
    WAITED_OUT = "waited_out"


class AdmissionRequest(NamedTuple):
    """A request that asks to run.

    Attributes:
        request_id: Identifier of the request.
        workspace: Workspace whose queue it joins.
        weight: Weight of the workspace.
        units: Sub-requests that it fans out to.
        queue_length: Requests of the workspace that may wait.
        deadline_ms: When its answer is due, by the clock of the process.
    """

    request_id: str
    workspace: str
    weight: float
    units: int
    queue_length: int
    deadline_ms: float


class Admit(NamedTuple):
    """Decision: run this request now."""

    request_id: str


class Refuse(NamedTuple):
    """Decision: tell the caller to come back later."""

    request_id: str
    cause: RefusalCause
    retry_after_ms: int


Decision = Admit | Refuse


@dataclasses.dataclass(slots=True)
class _Open:
    workspace: str
    units: int


class AdmissionController:
    """Admits the requests of one service on one host."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._queue: fair_queue.FairQueue[AdmissionRequest] = (
            fair_queue.FairQueue()
        )
        self._waiting: dict[str, AdmissionRequest] = {}
        self._open: dict[str, _Open] = {}
        self._open_units = 0
        self._admit_gap_ms: float | None = None
        self._admitted_ms = 0.0
        self._run_ms: float | None = None
        self._run_deviation_ms = 0.0
        self._open_of: dict[str, int] = {}
        self._weights: dict[str, float] = {}

    @property
    def in_flight_units(self) -> int:
        """Sub-requests of admitted requests that have not ended."""
        return self._open_units

    @property
    def waiting_count(self) -> int:
        """Requests that wait."""
        return len(self._queue)

    def submit(
        self, request: AdmissionRequest, capacity: int, now_ms: float
    ) -> list[Decision]:
        """Takes in a new request; no decision about it means that it waits.

        Args:
            request: The request.
            capacity: Sub-requests that may run at once.
            now_ms: The time.
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
        self, capacity: int, now_ms: float, arrived: str | None = None
    ) -> list[Decision]:
        """Admits what fits now, in fair order.

        Args:
            capacity: Sub-requests that may run at once.
            now_ms: The time.
            arrived: A request that has not waited at all: it may run even
                if only a partial answer can be had before its deadline.
        """
        decisions: list[Decision] = []
        crowded = len(self._queue) > 1
        while (head := self._queue.peek()) is not None:
            run_ms = self._expected_run_ms()
            needed_ms = 0.0 if head.item_id == arrived else run_ms
            late = now_ms + needed_ms > head.item.deadline_ms
            if not late and not self._fits(head.item, capacity):
                break
            self._queue.pop()
            del self._waiting[head.item_id]
            if late:
                decisions.append(
                    self._refuse(head.item, RefusalCause.WAITED_OUT)
                )
            else:
                decisions.append(self._admit(head.item))
        admitted = sum(isinstance(item, Admit) for item in decisions)
        if admitted:
            self._note_pace(admitted, crowded, now_ms)
        return decisions

    def latest_start_ms(self, request: AdmissionRequest) -> float:
        """Returns the time from which waiting on is of no use."""
        return request.deadline_ms - self._expected_run_ms()

    def expire(self, request_id: str) -> list[Decision]:
        """Refuses a request that still waits."""
        request = self._waiting.get(request_id)
        if request is None:
            return []
        self.cancel_waiting(request_id)
        return [self._refuse(request, RefusalCause.WAITED_OUT)]

    def cancel_waiting(self, request_id: str) -> None:
        """Drops a request that waits, as its caller has gone."""
        request = self._waiting.pop(request_id, None)
        if request is not None:
            self._queue.remove(request.workspace, request_id)

    def complete_unit(self, request_id: str) -> bool:
        """Takes in that a sub-request ended; False if none was open."""
        held = self._open.get(request_id)
        if held is None or held.units == 0:
            return False
        held.units -= 1
        self._give_back(held.workspace, 1)
        return True

    def complete(self, request_id: str, took_ms: float) -> None:
        """Takes in that an admitted request ended.

        Args:
            request_id: The request.
            took_ms: Time from its admission to its end.
        """
        held = self._open.pop(request_id, None)
        if held is None:
            return
        if held.units:
            self._give_back(held.workspace, held.units)
        if self._run_ms is not None:
            off_ms = abs(took_ms - self._run_ms)
            self._run_deviation_ms = _smoothed(self._run_deviation_ms, off_ms)
        self._run_ms = _smoothed(self._run_ms, took_ms)

    def _refuse_on_arrival(
        self, request: AdmissionRequest, capacity: int, now_ms: float
    ) -> Refuse | None:
        ahead = self._queue.flow_length(request.workspace)
        if ahead >= request.queue_length:
            return self._refuse(request, RefusalCause.QUEUE_FULL)
        if self._runs_at_once(request, ahead, capacity):
            return None
        wait_ms = self._expected_wait_ms(request, ahead)
        due_ms = now_ms + wait_ms * _WAIT_MARGIN + self._expected_run_ms()
        if due_ms > request.deadline_ms:
            return self._refuse(request, RefusalCause.TOO_LATE)
        return None

    def _runs_at_once(
        self, request: AdmissionRequest, ahead: int, capacity: int
    ) -> bool:
        if ahead == 0 and self._is_small(request, capacity):
            return True
        return not self._queue and self._fits(request, capacity)

    def _expected_wait_ms(self, request: AdmissionRequest, ahead: int) -> float:
        others = self._queue.active_weight() - (request.weight if ahead else 0)
        turns = (ahead + 1) * (request.weight + others) / request.weight
        turns = min(turns, len(self._queue) + 1)
        return turns * (self._admit_gap_ms or 0.0)

    def _expected_run_ms(self) -> float:
        if self._run_ms is None:
            return 0.0
        return self._run_ms + _DEVIATIONS * self._run_deviation_ms

    def _fits(self, request: AdmissionRequest, capacity: int) -> bool:
        # What is over the capacity waits for a slot, so that none is idle.
        if not self._open or self._open_units < capacity:
            return True
        return self._is_small(request, capacity)

    def _is_small(self, request: AdmissionRequest, capacity: int) -> bool:
        """Tells whether a workspace has less than its share of what runs."""
        others = sum(
            weight
            for name, weight in self._weights.items()
            if name != request.workspace
        )
        part = capacity * request.weight / (request.weight + others)
        held = self._open_of.get(request.workspace, 0)
        return bool(others) and held + request.units <= part

    def _give_back(self, workspace: str, units: int) -> None:
        self._open_units -= units
        self._open_of[workspace] -= units
        if self._open_of[workspace] == 0:
            del self._open_of[workspace]
            del self._weights[workspace]

    def _admit(self, request: AdmissionRequest) -> Admit:
        workspace = request.workspace
        self._open[request.request_id] = _Open(workspace, request.units)
        self._open_units += request.units
        held = self._open_of.get(workspace, 0)
        self._open_of[workspace] = held + request.units
        self._weights[workspace] = request.weight
        return Admit(request.request_id)

    def _note_pace(self, admitted: int, crowded: bool, now_ms: float) -> None:
        if crowded:
            gap_ms = (now_ms - self._admitted_ms) / admitted
            part = 1.0 - (1.0 - _SMOOTHING) ** admitted
            self._admit_gap_ms = _smoothed(self._admit_gap_ms, gap_ms, part)
        self._admitted_ms = now_ms

    def _refuse(self, request: AdmissionRequest, cause: RefusalCause) -> Refuse:
        ahead = self._queue.flow_length(request.workspace)
        backlog_ms = self._expected_wait_ms(request, ahead)
        backlog_ms += self._expected_run_ms()
        after_ms = backlog_ms * self._rng.uniform(*_JITTER)
        bounded_ms = max(MIN_RETRY_AFTER_MS, min(MAX_RETRY_AFTER_MS, after_ms))
        return Refuse(request.request_id, cause, int(bounded_ms))


def _smoothed(
    old: float | None, sample: float, part: float = _SMOOTHING
) -> float:
    return sample if old is None else old + part * (sample - old)

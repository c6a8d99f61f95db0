"""Decides which requests run now, which wait and which are refused.

One `Admission` serves one service of one host. Work is counted in units of
one sub-request, so a search takes as many units as it has ranges and gives
them back one by one. Every refusal is made at once: on arrival if the queue
is full or the request can't be served before its deadline, later only if the
estimate made on arrival turns out wrong.
"""

import enum
import random
from typing import NamedTuple

from greengagedale.limits import fairness

MIN_RETRY_AFTER_MS = 50
MAX_RETRY_AFTER_MS = 10_000
_JITTER = (0.75, 1.5)
_SMOOTHING = 0.1
_WAIT_MARGIN = 1.25


class Cause(enum.StrEnum):
    """Why a request was refused."""

    QUEUE_FULL = "queue_full"
    TOO_LATE = "too_late"
    WAITED_OUT = "waited_out"


class Ticket(NamedTuple):
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
    cause: Cause
    retry_after_ms: int


Decision = Admit | Refuse


class Admission:
    """Admits the requests of one service on one host."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._queue: fairness.FairQueue[Ticket] = fairness.FairQueue()
        self._waiting: dict[str, Ticket] = {}
        self._open: dict[str, int] = {}
        self._open_units = 0
        self._admit_gap_ms: float | None = None
        self._admitted_ms = 0.0
        self._run_ms: float | None = None

    @property
    def open_units(self) -> int:
        """Sub-requests of admitted requests that have not ended."""
        return self._open_units

    @property
    def waiting(self) -> int:
        """Requests that wait."""
        return len(self._queue)

    def arrive(
        self, ticket: Ticket, capacity: int, now_ms: float
    ) -> list[Decision]:
        """Takes in a new request; no decision about it means that it waits.

        Args:
            ticket: The request.
            capacity: Sub-requests that may run at once.
            now_ms: The time.
        """
        refused = self._refuse_on_arrival(ticket, capacity, now_ms)
        if refused is not None:
            return [refused]
        entry = fairness.Entry(ticket.request_id, float(ticket.units), ticket)
        self._queue.push(ticket.workspace, ticket.weight, entry)
        self._waiting[ticket.request_id] = ticket
        return self.advance(capacity, now_ms)

    def advance(self, capacity: int, now_ms: float) -> list[Decision]:
        """Admits what fits now, in fair order."""
        decisions: list[Decision] = []
        crowded = len(self._queue) > 1 or not self._fits(1, capacity)
        while (head := self._queue.peek()) is not None:
            late = now_ms + self._expected_run_ms() > head.item.deadline_ms
            if not late and not self._fits(head.item.units, capacity):
                break
            self._queue.pop()
            del self._waiting[head.item_id]
            if late:
                decisions.append(self._refuse(head.item, Cause.WAITED_OUT))
            else:
                decisions.append(self._admit(head.item))
        admitted = sum(isinstance(item, Admit) for item in decisions)
        if admitted:
            self._note_pace(admitted, crowded, now_ms)
        return decisions

    def give_up_ms(self, ticket: Ticket) -> float:
        """Returns the time from which waiting on is of no use."""
        return ticket.deadline_ms - self._expected_run_ms()

    def give_up(self, request_id: str) -> list[Decision]:
        """Refuses a request that still waits."""
        ticket = self._waiting.get(request_id)
        if ticket is None:
            return []
        self.forget(request_id)
        return [self._refuse(ticket, Cause.WAITED_OUT)]

    def forget(self, request_id: str) -> None:
        """Drops a request that waits, as its caller has gone."""
        ticket = self._waiting.pop(request_id, None)
        if ticket is not None:
            self._queue.remove(ticket.workspace, request_id)

    def end_unit(self, request_id: str) -> bool:
        """Takes in that a sub-request ended; False if none was open."""
        if self._open.get(request_id, 0) == 0:
            return False
        self._open[request_id] -= 1
        self._open_units -= 1
        return True

    def end(self, request_id: str, took_ms: float) -> None:
        """Takes in that an admitted request ended.

        Args:
            request_id: The request.
            took_ms: Time from its admission to its end.
        """
        self._open_units -= self._open.pop(request_id, 0)
        self._run_ms = _smoothed(self._run_ms, took_ms)

    def _refuse_on_arrival(
        self, ticket: Ticket, capacity: int, now_ms: float
    ) -> Refuse | None:
        ahead = self._queue.length_of(ticket.workspace)
        if ahead >= ticket.queue_length:
            return self._refuse(ticket, Cause.QUEUE_FULL)
        fits = not self._queue and self._fits(ticket.units, capacity)
        wait_ms = 0.0 if fits else self._expected_wait_ms(ticket, ahead)
        due_ms = now_ms + wait_ms * _WAIT_MARGIN + self._expected_run_ms()
        if due_ms > ticket.deadline_ms:
            return self._refuse(ticket, Cause.TOO_LATE)
        return None

    def _expected_wait_ms(self, ticket: Ticket, ahead: int) -> float:
        others = self._queue.waiting_weight() - (ticket.weight if ahead else 0)
        turns = (ahead + 1) * (ticket.weight + others) / ticket.weight
        turns = min(turns, len(self._queue) + 1)
        return turns * (self._admit_gap_ms or 0.0)

    def _expected_run_ms(self) -> float:
        return self._run_ms or 0.0

    def _fits(self, units: int, capacity: int) -> bool:
        return not self._open or self._open_units + units <= capacity

    def _admit(self, ticket: Ticket) -> Admit:
        self._open[ticket.request_id] = ticket.units
        self._open_units += ticket.units
        return Admit(ticket.request_id)

    def _note_pace(self, admitted: int, crowded: bool, now_ms: float) -> None:
        if crowded:
            gap_ms = (now_ms - self._admitted_ms) / admitted
            part = 1.0 - (1.0 - _SMOOTHING) ** admitted
            self._admit_gap_ms = _smoothed(self._admit_gap_ms, gap_ms, part)
        self._admitted_ms = now_ms

    def _refuse(self, ticket: Ticket, cause: Cause) -> Refuse:
        ahead = self._queue.length_of(ticket.workspace)
        backlog_ms = self._expected_wait_ms(ticket, ahead)
        backlog_ms += self._expected_run_ms()
        after_ms = backlog_ms * self._rng.uniform(*_JITTER)
        bounded_ms = max(MIN_RETRY_AFTER_MS, min(MAX_RETRY_AFTER_MS, after_ms))
        return Refuse(ticket.request_id, cause, int(bounded_ms))


def _smoothed(
    old: float | None, sample: float, part: float = _SMOOTHING
) -> float:
    return sample if old is None else old + part * (sample - old)

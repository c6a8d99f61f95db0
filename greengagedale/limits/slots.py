"""Allocates the slots of upstreams to attempts.

An attempt gets a slot at the upstream that routing chose, or at another
replica of its range with a free slot. If no slot is free, the attempt waits in
a queue shared by all replicas of the range and gets the first slot released.
"""

from collections.abc import Iterable
from typing import NamedTuple

from greengagedale.limits import concurrency
from greengagedale.limits import fair_queue

_FAILURE_PAUSE_MS = 250.0
_MAX_OVER_LIMIT = 1


class SlotRequest(NamedTuple):
    """A request of an attempt for a slot.

    Attributes:
        attempt_id: Identifier of the attempt.
        request_id: Identifier of the request that the attempt belongs to.
        member: Member on whose behalf the attempt runs.
        weight: Weight of the member.
        replicas: Upstreams that can serve the attempt, preferred one first.
    """

    attempt_id: str
    request_id: str
    member: str
    weight: float
    replicas: tuple[str, ...]


class Grant(NamedTuple):
    """Decision to send an attempt to an upstream."""

    attempt_id: str
    upstream: str


class Supersede(NamedTuple):
    """Decision to stop an attempt's wait: a later attempt took its place."""

    attempt_id: str


class _UpstreamSlots:
    __slots__ = ("failed_until_ms", "holders", "limit", "queues")

    def __init__(self, limit: concurrency.ConcurrencyLimit) -> None:
        self.limit = limit
        self.holders: dict[str, SlotRequest] = {}
        self.queues: list[frozenset[str]] = []
        self.failed_until_ms = 0.0

    @property
    def free(self) -> int:
        return max(0, self.limit.value - len(self.holders))


class SlotAllocator:
    """Allocates the slots that this host may use, for all upstreams."""

    def __init__(self, limit_type: type[concurrency.ConcurrencyLimit]) -> None:
        self._limit_type = limit_type
        self._slots: dict[str, _UpstreamSlots] = {}
        self._bounds: dict[str, concurrency.LimitBounds] = {}
        self._queues: dict[
            frozenset[str], fair_queue.FairQueue[SlotRequest]
        ] = {}
        self._waiting: dict[tuple[str, frozenset[str]], SlotRequest] = {}

    def set_bounds(
        self, upstream: str, bounds: concurrency.LimitBounds
    ) -> None:
        """Sets the bounds of an upstream's limit; cheap if unchanged."""
        if self._bounds.get(upstream) == bounds:
            return
        self._bounds[upstream] = bounds
        slots = self._slots.get(upstream)
        if slots is None:
            self._slots[upstream] = _UpstreamSlots(self._limit_type(bounds))
        else:
            slots.limit.set_bounds(bounds)

    @property
    def waiting_count(self) -> int:
        """Number of attempts waiting for a slot."""
        return sum(len(queue) for queue in self._queues.values())

    def upstreams(self) -> list[str]:
        """Returns the names of all upstreams whose bounds were set."""
        return list(self._slots)

    def limit(self, upstream: str) -> int:
        """Returns the limit of an upstream; 1 if its bounds are not set.

        The limit is the maximum number of attempts in flight there.
        """
        slots = self._slots.get(upstream)
        return slots.limit.value if slots else 1

    def in_flight(self, upstream: str) -> int:
        """Returns the number of attempts that hold a slot of an upstream."""
        slots = self._slots.get(upstream)
        return len(slots.holders) if slots else 0

    def free_slots(self, upstream: str) -> int:
        """Returns the number of free slots; 1 if the bounds are not set."""
        slots = self._slots.get(upstream)
        return slots.free if slots else 1

    def capacity(self, upstreams: Iterable[str]) -> int:
        """Returns the sum of the limits of the given upstreams."""
        return sum(self.limit(name) for name in upstreams)

    def latency_ms(self, upstream: str) -> float:
        """Returns an upstream's average latency; 0 before any answer."""
        slots = self._slots.get(upstream)
        return slots.limit.latency_ms if slots else 0.0

    def acquire(
        self, slot_request: SlotRequest, now_ms: float
    ) -> Grant | Supersede | None:
        """Grants an attempt a slot, or queues it.

        A later attempt of the same request for the same replicas, such as a
        hedge, replaces a waiting one in the queue, as both would wait for the
        same slots.
        """
        used = self._upstreams_of_other_attempts(slot_request)
        with_free_slot = [
            name
            for name in slot_request.replicas
            if name not in used and self._slots[name].free
        ]
        eligible = [
            name
            for name in with_free_slot
            if name == slot_request.replicas[0]
            or self._slots[name].failed_until_ms <= now_ms
        ]
        if eligible:
            return self._grant(slot_request, eligible[0])
        above_limit = self._upstream_above_limit(slot_request, used, now_ms)
        if above_limit is not None:
            return self._grant(slot_request, above_limit)
        return self._enqueue(slot_request)

    def cancel_wait(self, slot_request: SlotRequest) -> bool:
        """Removes an attempt from the queue; False if it is not queued."""
        key = _wait_key(slot_request)
        if self._waiting.get(key) == slot_request:
            del self._waiting[key]
        return self._queue_for(slot_request).remove(
            slot_request.member, slot_request.attempt_id
        )

    def on_attempt_end(
        self,
        upstream: str,
        signal: concurrency.LoadSignal,
        latency_ms: float,
        now_ms: float,
    ) -> None:
        """Records the result of an attempt at an upstream."""
        slots = self._slots[upstream]
        if signal is concurrency.LoadSignal.FAILED:
            slots.failed_until_ms = now_ms + _FAILURE_PAUSE_MS
        in_flight = len(slots.holders)
        slots.limit.on_attempt_end(signal, latency_ms, in_flight, now_ms)

    def release(
        self, upstream: str, attempt_id: str, grant_waiting: bool = True
    ) -> list[Grant]:
        """Releases the slot of an attempt; does nothing if already released.

        Args:
            upstream: Upstream that the slot belongs to.
            attempt_id: Identifier of the attempt.
            grant_waiting: Whether waiting attempts may get the slot.

        Returns:
            The grants to waiting attempts.
        """
        slots = self._slots[upstream]
        if slots.holders.pop(attempt_id, None) is None:
            return []
        grants = []
        while (
            grant_waiting
            and slots.free
            and (grant := self._grant_next(upstream, slots))
        ):
            grants.append(grant)
        return grants

    def _upstream_above_limit(
        self, slot_request: SlotRequest, used: set[str], now_ms: float
    ) -> str | None:
        """Returns an upstream that a member may use above its limit, or None.

        A member with less than its fair share may exceed a limit slightly.
        Otherwise it would wait for attempts of members with more than theirs.
        """
        holders = [
            holder
            for name in slot_request.replicas
            for holder in self._slots[name].holders.values()
        ]
        weights = {holder.member: holder.weight for holder in holders}
        weights[slot_request.member] = slot_request.weight
        if len(weights) == 1:
            return None
        limits = self.capacity(slot_request.replicas)
        fair_share = limits * slot_request.weight / sum(weights.values())
        if (
            sum(holder.member == slot_request.member for holder in holders) + 1
            > fair_share
        ):
            return None
        excess = {
            name: len(self._slots[name].holders) - self._slots[name].limit.value
            for name in slot_request.replicas
            if name not in used and self._slots[name].failed_until_ms <= now_ms
        }
        least_loaded = min(excess, key=lambda name: excess[name], default=None)
        if least_loaded is None or excess[least_loaded] >= _MAX_OVER_LIMIT:
            return None
        return least_loaded

    def _grant_next(self, upstream: str, slots: _UpstreamSlots) -> Grant | None:
        for _ in range(len(slots.queues)):
            key = slots.queues.pop(0)
            slots.queues.append(key)
            entry = self._queues[key].pop()
            if entry is not None:
                return self._grant(entry.item, upstream)
        return None

    def _enqueue(self, slot_request: SlotRequest) -> Supersede | None:
        queue = self._queue_for(slot_request)
        entry = fair_queue.Entry(slot_request.attempt_id, 1.0, slot_request)
        key = _wait_key(slot_request)
        earlier = self._waiting.get(key)
        self._waiting[key] = slot_request
        if earlier is None:
            queue.push(slot_request.member, slot_request.weight, entry)
            return None
        queue.replace(slot_request.member, earlier.attempt_id, entry)
        return Supersede(earlier.attempt_id)

    def _grant(self, slot_request: SlotRequest, upstream: str) -> Grant:
        key = _wait_key(slot_request)
        if self._waiting.get(key) == slot_request:
            del self._waiting[key]
        self._slots[upstream].holders[slot_request.attempt_id] = slot_request
        return Grant(slot_request.attempt_id, upstream)

    def _upstreams_of_other_attempts(
        self, slot_request: SlotRequest
    ) -> set[str]:
        others = slot_request.replicas[1:]
        return {
            name
            for name in others
            for holder in self._slots[name].holders.values()
            if holder.request_id == slot_request.request_id
        }

    def _queue_for(
        self, slot_request: SlotRequest
    ) -> fair_queue.FairQueue[SlotRequest]:
        key = frozenset(slot_request.replicas)
        queue = self._queues.get(key)
        if queue is None:
            queue = self._queues[key] = fair_queue.FairQueue()
            for name in slot_request.replicas:
                self._slots[name].queues.append(key)
        return queue


def _wait_key(slot_request: SlotRequest) -> tuple[str, frozenset[str]]:
    return (slot_request.request_id, frozenset(slot_request.replicas))

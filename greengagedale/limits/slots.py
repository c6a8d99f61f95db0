"""Hands out the slots of upstreams to attempts.

An attempt gets a slot at the upstream that routing chose, or at another
replica of its range that has one free. With none free it waits in a queue
that all replicas of the range serve: it is bound to whichever frees first.
"""

from collections.abc import Iterable
from typing import NamedTuple

from greengagedale.limits import concurrency
from greengagedale.limits import fair_queue

_FAILED_PAUSE_MS = 250.0
_MOST_OVER_LIMIT = 1


class SlotRequest(NamedTuple):
    """An attempt that needs a slot.

    Attributes:
        attempt_id: Identifier of the attempt.
        request_id: Request that it belongs to.
        member: Member on whose behalf it runs.
        weight: Weight of the member.
        replicas: Upstreams that can serve it, the preferred one first.
    """

    attempt_id: str
    request_id: str
    member: str
    weight: float
    replicas: tuple[str, ...]


class Grant(NamedTuple):
    """Decision: send this attempt to this upstream."""

    attempt_id: str
    upstream: str


class Supersede(NamedTuple):
    """Decision: this attempt no longer waits; a later one has its place."""

    attempt_id: str


class _Slots:
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
    """The slots of all upstreams, as far as this host may use them."""

    def __init__(self, limit_type: type[concurrency.ConcurrencyLimit]) -> None:
        self._limit_type = limit_type
        self._slots: dict[str, _Slots] = {}
        self._bounds: dict[str, concurrency.LimitBounds] = {}
        self._queues: dict[
            frozenset[str], fair_queue.FairQueue[SlotRequest]
        ] = {}
        self._waiting: dict[tuple[str, frozenset[str]], SlotRequest] = {}

    def set_bounds(
        self, upstream: str, bounds: concurrency.LimitBounds
    ) -> None:
        """Takes in the bounds of an upstream; cheap if nothing changed."""
        if self._bounds.get(upstream) == bounds:
            return
        self._bounds[upstream] = bounds
        held = self._slots.get(upstream)
        if held is None:
            self._slots[upstream] = _Slots(self._limit_type(bounds))
        else:
            held.limit.set_bounds(bounds)

    @property
    def waiting_count(self) -> int:
        """Attempts that wait for a slot."""
        return sum(len(queue) for queue in self._queues.values())

    def upstreams(self) -> list[str]:
        """Returns the names of all upstreams with slots."""
        return list(self._slots)

    def limit(self, upstream: str) -> int:
        """Returns how many attempts may be at an upstream at once."""
        held = self._slots.get(upstream)
        return held.limit.value if held else 1

    def in_flight(self, upstream: str) -> int:
        """Returns how many attempts hold a slot of an upstream."""
        held = self._slots.get(upstream)
        return len(held.holders) if held else 0

    def free_slots(self, upstream: str) -> int:
        """Returns how many more attempts may be sent to an upstream now."""
        held = self._slots.get(upstream)
        return held.free if held else 1

    def capacity(self, upstreams: Iterable[str]) -> int:
        """Returns the sum of the limits of some upstreams."""
        return sum(self.limit(name) for name in upstreams)

    def latency_ms(self, upstream: str) -> float:
        """Returns a recent latency of an upstream; 0 before any answer."""
        held = self._slots.get(upstream)
        return held.limit.latency_ms if held else 0.0

    def acquire(
        self, slot_request: SlotRequest, now_ms: float
    ) -> Grant | Supersede | None:
        """Gives an attempt a slot, or lets it wait.

        A second attempt of a request for the same replicas, such as a hedge,
        takes over the place of one that waits: both would wait for the same.
        """
        used = self._used_by(slot_request)
        usable = [
            name
            for name in slot_request.replicas
            if name not in used and self._slots[name].free
        ]
        sound = [
            name
            for name in usable
            if name == slot_request.replicas[0]
            or self._slots[name].failed_until_ms <= now_ms
        ]
        if sound:
            return self._grant(slot_request, sound[0])
        spare = self._spare_for_small(slot_request, used, now_ms)
        if spare is not None:
            return self._grant(slot_request, spare)
        return self._enqueue(slot_request)

    def cancel_wait(self, slot_request: SlotRequest) -> bool:
        """Drops an attempt that waits; False if it has a slot by now."""
        key = _place_of(slot_request)
        if self._waiting.get(key) == slot_request:
            del self._waiting[key]
        return self._queue_of(slot_request).remove(
            slot_request.member, slot_request.attempt_id
        )

    def on_attempt_end(
        self,
        upstream: str,
        signal: concurrency.LoadSignal,
        latency_ms: float,
        now_ms: float,
    ) -> None:
        """Takes in how an attempt at an upstream ended."""
        slots = self._slots[upstream]
        if signal is concurrency.LoadSignal.FAILED:
            slots.failed_until_ms = now_ms + _FAILED_PAUSE_MS
        in_flight = len(slots.holders)
        slots.limit.on_attempt_end(signal, latency_ms, in_flight, now_ms)

    def release(
        self, upstream: str, attempt_id: str, serve: bool = True
    ) -> list[Grant]:
        """Frees the slot of an attempt, once.

        Args:
            upstream: Where it had its slot.
            attempt_id: The attempt.
            serve: Whether the upstream may get new work.
        """
        slots = self._slots[upstream]
        if slots.holders.pop(attempt_id, None) is None:
            return []
        grants = []
        while serve and slots.free and (grant := self._serve(upstream, slots)):
            grants.append(grant)
        return grants

    def _spare_for_small(
        self, slot_request: SlotRequest, used: set[str], now_ms: float
    ) -> str | None:
        """Lets a member with less than its share go over a limit by a little.

        Otherwise it would wait for the attempts of members with more.
        """
        held = [
            holder
            for name in slot_request.replicas
            for holder in self._slots[name].holders.values()
        ]
        weights = {holder.member: holder.weight for holder in held}
        weights[slot_request.member] = slot_request.weight
        if len(weights) == 1:
            return None
        limits = self.capacity(slot_request.replicas)
        part = limits * slot_request.weight / sum(weights.values())
        if (
            sum(holder.member == slot_request.member for holder in held) + 1
            > part
        ):
            return None
        over = {
            name: len(self._slots[name].holders) - self._slots[name].limit.value
            for name in slot_request.replicas
            if name not in used and self._slots[name].failed_until_ms <= now_ms
        }
        least = min(over, key=lambda name: over[name], default=None)
        if least is None or over[least] >= _MOST_OVER_LIMIT:
            return None
        return least

    def _serve(self, upstream: str, slots: _Slots) -> Grant | None:
        for _ in range(len(slots.queues)):
            key = slots.queues.pop(0)
            slots.queues.append(key)
            entry = self._queues[key].pop()
            if entry is not None:
                return self._grant(entry.item, upstream)
        return None

    def _enqueue(self, slot_request: SlotRequest) -> Supersede | None:
        queue = self._queue_of(slot_request)
        entry = fair_queue.Entry(slot_request.attempt_id, 1.0, slot_request)
        key = _place_of(slot_request)
        earlier = self._waiting.get(key)
        self._waiting[key] = slot_request
        if earlier is None:
            queue.push(slot_request.member, slot_request.weight, entry)
            return None
        queue.replace(slot_request.member, earlier.attempt_id, entry)
        return Supersede(earlier.attempt_id)

    def _grant(self, slot_request: SlotRequest, upstream: str) -> Grant:
        key = _place_of(slot_request)
        if self._waiting.get(key) == slot_request:
            del self._waiting[key]
        self._slots[upstream].holders[slot_request.attempt_id] = slot_request
        return Grant(slot_request.attempt_id, upstream)

    def _used_by(self, slot_request: SlotRequest) -> set[str]:
        others = slot_request.replicas[1:]
        return {
            name
            for name in others
            for holder in self._slots[name].holders.values()
            if holder.request_id == slot_request.request_id
        }

    def _queue_of(
        self, slot_request: SlotRequest
    ) -> fair_queue.FairQueue[SlotRequest]:
        key = frozenset(slot_request.replicas)
        held = self._queues.get(key)
        if held is None:
            held = self._queues[key] = fair_queue.FairQueue()
            for name in slot_request.replicas:
                self._slots[name].queues.append(key)
        return held


def _place_of(slot_request: SlotRequest) -> tuple[str, frozenset[str]]:
    return (slot_request.request_id, frozenset(slot_request.replicas))

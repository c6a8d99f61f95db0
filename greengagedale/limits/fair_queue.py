"""A weighted fair queue: start-time fair queueing over flows."""

import heapq
import itertools
from typing import Generic, NamedTuple, TypeVar

Item = TypeVar("Item")

_MOST_IDLE_FLOWS = 1024


class Entry(NamedTuple, Generic[Item]):
    """One item that waits.

    Attributes:
        item_id: Identifies the item for `remove`.
        cost: Service that it takes, in units that all items share.
        item: The item itself.
    """

    item_id: str
    cost: float
    item: Item


class _Flow(Generic[Item]):
    __slots__ = ("entries", "finish", "weight")

    def __init__(self, finish: float) -> None:
        self.entries: dict[str, Entry[Item]] = {}
        self.finish = finish
        self.weight = 1.0


class FairQueue(Generic[Item]):
    """Items of many flows, in an order that shares service by weight.

    A flow that was idle starts at the present virtual time: it neither saves
    up service nor pays for the backlog of others.
    """

    def __init__(self) -> None:
        self._flows: dict[str, _Flow[Item]] = {}
        self._order: list[tuple[float, int, str]] = []
        self._sequence = itertools.count()
        self._virtual = 0.0
        self._length = 0

    def __len__(self) -> int:
        return self._length

    def flow_length(self, flow: str) -> int:
        """Returns how many items of a flow wait."""
        held = self._flows.get(flow)
        return len(held.entries) if held else 0

    def active_weight(self) -> float:
        """Returns the sum of the weights of flows with items."""
        return sum(f.weight for f in self._flows.values() if f.entries)

    def push(self, flow: str, weight: float, entry: Entry[Item]) -> None:
        """Adds an item at the end of its flow."""
        held = self._flows.setdefault(flow, _Flow(self._virtual))
        held.weight = max(weight, 1e-6)
        if not held.entries:
            start = max(self._virtual, held.finish)
            heapq.heappush(self._order, (start, next(self._sequence), flow))
        held.entries[entry.item_id] = entry
        self._length += 1

    def peek(self) -> Entry[Item] | None:
        """Returns the item that `pop` would return, or None."""
        self._skip_empty()
        if not self._order:
            return None
        flow = self._flows[self._order[0][2]]
        return next(iter(flow.entries.values()))

    def pop(self) -> Entry[Item] | None:
        """Removes and returns the next item, or None."""
        self._skip_empty()
        if not self._order:
            return None
        start, _, name = heapq.heappop(self._order)
        flow = self._flows[name]
        entry = flow.entries.pop(next(iter(flow.entries)))
        self._length -= 1
        self._virtual = max(self._virtual, start)
        flow.finish = start + entry.cost / flow.weight
        if flow.entries:
            item = (flow.finish, next(self._sequence), name)
            heapq.heappush(self._order, item)
        elif len(self._flows) > _MOST_IDLE_FLOWS:
            self._forget_idle()
        return entry

    def remove(self, flow: str, item_id: str) -> bool:
        """Removes an item that waits; False if it does not."""
        held = self._flows.get(flow)
        if held is None or held.entries.pop(item_id, None) is None:
            return False
        self._length -= 1
        if not held.entries:
            self._order = [item for item in self._order if item[2] != flow]
            heapq.heapify(self._order)
        return True

    def replace(self, flow: str, item_id: str, entry: Entry[Item]) -> None:
        """Puts an item in the place of one that waits."""
        held = self._flows[flow]
        held.entries = {
            (entry.item_id if name == item_id else name): (
                entry if name == item_id else old
            )
            for name, old in held.entries.items()
        }

    def _skip_empty(self) -> None:
        while self._order and not self._flows[self._order[0][2]].entries:
            heapq.heappop(self._order)

    def _forget_idle(self) -> None:
        self._flows = {
            name: flow
            for name, flow in self._flows.items()
            if flow.entries or flow.finish > self._virtual
        }

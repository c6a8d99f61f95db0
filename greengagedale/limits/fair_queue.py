"""A weighted fair queue that uses start-time fair queueing."""

import heapq
import itertools
from typing import Generic, NamedTuple, TypeVar

Item = TypeVar("Item")

_MAX_IDLE_FLOWS = 1024


class Entry(NamedTuple, Generic[Item]):
    """An item in the queue.

    Attributes:
        item_id: Identifier of the item, for `remove` and `replace`.
        cost: Cost of serving the item, in a unit common to all items.
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
    """A queue of many flows, served in proportion to their weights.

    A flow that was idle starts at the current virtual time: it neither
    accumulates credit while idle nor is charged for the backlog of others.
    """

    def __init__(self) -> None:
        self._flows: dict[str, _Flow[Item]] = {}
        self._start_heap: list[tuple[float, int, str]] = []
        self._sequence = itertools.count()
        self._virtual_time = 0.0
        self._length = 0

    def __len__(self) -> int:
        return self._length

    def flow_length(self, flow: str) -> int:
        """Returns the number of queued items of a flow."""
        flow_state = self._flows.get(flow)
        return len(flow_state.entries) if flow_state else 0

    def active_weight(self) -> float:
        """Returns the sum of the weights of all flows with queued items."""
        return sum(f.weight for f in self._flows.values() if f.entries)

    def push(self, flow: str, weight: float, entry: Entry[Item]) -> None:
        """Appends an item to its flow and sets the weight of the flow."""
        flow_state = self._flows.setdefault(flow, _Flow(self._virtual_time))
        flow_state.weight = max(weight, 1e-6)
        if not flow_state.entries:
            start = max(self._virtual_time, flow_state.finish)
            heapq.heappush(
                self._start_heap, (start, next(self._sequence), flow)
            )
        flow_state.entries[entry.item_id] = entry
        self._length += 1

    def peek(self) -> Entry[Item] | None:
        """Returns the next item without removing it, or None if empty."""
        self._discard_empty_flows()
        if not self._start_heap:
            return None
        flow = self._flows[self._start_heap[0][2]]
        return next(iter(flow.entries.values()))

    def pop(self) -> Entry[Item] | None:
        """Removes and returns the next item, or None if empty."""
        self._discard_empty_flows()
        if not self._start_heap:
            return None
        start, _, name = heapq.heappop(self._start_heap)
        flow = self._flows[name]
        entry = flow.entries.pop(next(iter(flow.entries)))
        self._length -= 1
        self._virtual_time = max(self._virtual_time, start)
        flow.finish = start + entry.cost / flow.weight
        if flow.entries:
            item = (flow.finish, next(self._sequence), name)
            heapq.heappush(self._start_heap, item)
        elif len(self._flows) > _MAX_IDLE_FLOWS:
            self._evict_idle_flows()
        return entry

    def remove(self, flow: str, item_id: str) -> bool:
        """Removes a queued item; returns False if it is not queued."""
        flow_state = self._flows.get(flow)
        if flow_state is None or flow_state.entries.pop(item_id, None) is None:
            return False
        self._length -= 1
        if not flow_state.entries:
            self._start_heap = [
                item for item in self._start_heap if item[2] != flow
            ]
            heapq.heapify(self._start_heap)
        return True

    def replace(self, flow: str, item_id: str, entry: Entry[Item]) -> None:
        """Replaces a queued item, keeping its position in the flow."""
        flow_state = self._flows[flow]
        flow_state.entries = {
            (entry.item_id if name == item_id else name): (
                entry if name == item_id else old
            )
            for name, old in flow_state.entries.items()
        }

    def _discard_empty_flows(self) -> None:
        while (
            self._start_heap and not self._flows[self._start_heap[0][2]].entries
        ):
            heapq.heappop(self._start_heap)

    def _evict_idle_flows(self) -> None:
        self._flows = {
            name: flow
            for name, flow in self._flows.items()
            if flow.entries or flow.finish > self._virtual_time
        }

"""What this host did for each recent request, for `explain`."""

import collections
from typing import Any, TypedDict


class Record(TypedDict):
    """What became of one request."""

    request_id: str
    workspace: str
    member: str
    kind: str
    outcome: str
    took_ms: float
    detail: dict[str, Any]


class Records:
    """A bounded record of recent requests; the oldest go first."""

    def __init__(self, capacity: int) -> None:
        self._capacity = capacity
        self._records: collections.OrderedDict[str, Record] = (
            collections.OrderedDict()
        )

    def add(self, record: Record) -> None:
        """Adds a record, in place of the oldest if there is no room."""
        self._records[record["request_id"]] = record
        if len(self._records) > self._capacity:
            self._records.popitem(last=False)

    def get(self, request_id: str) -> Record | None:
        """Returns the record of a request, or None."""
        return self._records.get(request_id)

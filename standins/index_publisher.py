"""Publishes new versions of a service's index, with splits and merges."""

import contextlib
import random
from typing import NamedTuple

from greengagedale.catalog import services
from greengagedale.query import ranges
from greengagedale.query import snapshots
from standins import httpcalls
from standins import shapes
from standins import upstream as upstream_lib

_MOST_RANGES = 24
_LEAST_RANGES = 2


class PublishOptions(NamedTuple):
    """How versions follow each other.

    Attributes:
        kept: Versions that upstreams hold and the platform lists.
        change_map: Whether each version splits or merges a range.
        publish_first: Whether the platform lists a version before upstreams
            hold it.
    """

    kept: int = 2
    change_map: bool = True
    publish_first: bool = False


class IndexPublisher:
    """Publishes versions of one service, in place of the users' indexer."""

    def __init__(
        self,
        shape: shapes.Shape,
        service: str,
        seed: int,
        options: PublishOptions | None = None,
    ) -> None:
        self._platform = shape.platform_endpoint
        self._listens = {
            placed.upstream.name: placed.listen for placed in shape.upstreams()
        }
        self._service = shape.initial_service(service)
        self._rng = random.Random(seed)
        self._options = options or PublishOptions()
        self._maps = list(self._service.maps)
        self.published = list(self._maps)

    @property
    def newest(self) -> snapshots.Snapshot:
        """The newest snapshot that upstreams or the platform may know."""
        return self._maps[-1].snapshot

    def publish(self) -> snapshots.Snapshot:
        """Publishes one more version and drops the oldest.

        Upstreams that are down miss it.

        Raises:
            OSError: The platform does not answer.
            RuntimeError: The platform refuses.
        """
        self._maps.append(self._next_map())
        if self._options.publish_first:
            self._list()
            self._load()
        else:
            self._load()
            self._list()
        if len(self._maps) > self._options.kept:
            self._maps = self._maps[-self._options.kept :]
            self._load()
        self.published.append(self._maps[-1])
        return self._maps[-1].snapshot

    def _next_map(self) -> snapshots.PartitionMap:
        newest = self._maps[-1]
        version, map_version = newest.snapshot
        if not self._options.change_map:
            snapshot = snapshots.Snapshot(version + 1, map_version)
            return newest._replace(snapshot=snapshot)
        entries = list(newest.ranges)
        at = self._rng.randrange(len(entries) - 1)
        grow = len(entries) <= _LEAST_RANGES or (
            len(entries) < _MOST_RANGES and self._rng.random() < 0.5
        )
        if grow:
            entries[at : at + 1] = _split(entries[at])
        else:
            kept = self._rng.choice(entries[at : at + 2])
            entries[at : at + 2] = [_merge(entries[at], entries[at + 1], kept)]
        snapshot = snapshots.Snapshot(version + 1, map_version + 1)
        return snapshots.PartitionMap(snapshot, tuple(entries))

    def _load(self) -> None:
        for name in self._service.upstreams:
            holdings = [
                upstream_lib.Holding(*pinned.snapshot, *entry.key_range)
                for pinned in self._maps
                for entry in pinned.ranges
                if name in entry.upstreams
            ]
            body = {"holdings": holdings}
            with contextlib.suppress(OSError):
                httpcalls.call("POST", self._listens[name], "/control", body)

    def _list(self) -> None:
        path = f"/v1/objects/{services.KIND_SERVICE}/{self._service.name}"
        held = httpcalls.get(self._platform, path)
        if held.status != httpcalls.STATUS_OK:
            raise RuntimeError(f"{path}: {held}")
        listed = self._service._replace(
            maps=tuple(self._maps[-self._options.kept :])
        )
        answer = httpcalls.call(
            "PUT",
            self._platform,
            path,
            services.encode_service(listed),
            headers={"If-Match": str(held.body["version"])},
        )
        if answer.status != httpcalls.STATUS_OK:
            raise RuntimeError(f"{path}: {answer}")


def _split(entry: snapshots.RangeReplicas) -> list[snapshots.RangeReplicas]:
    return [
        entry._replace(key_range=half)
        for half in ranges.split_evenly(entry.key_range, 2)
    ]


def _merge(
    first: snapshots.RangeReplicas,
    second: snapshots.RangeReplicas,
    kept: snapshots.RangeReplicas,
) -> snapshots.RangeReplicas:
    whole = ranges.KeyRange(first.key_range.low, second.key_range.high)
    return kept._replace(key_range=whole)

"""Publishes new index versions of a service, splitting and merging ranges."""

import contextlib
import random
from typing import NamedTuple

from greengagedale.catalog import services
from greengagedale.query import ranges
from greengagedale.query import snapshots
from standins import httpcalls
from standins import shapes
from standins import upstream as upstream_lib

_MAX_RANGES = 24
_MIN_RANGES = 2


class PublishOptions(NamedTuple):
    """Options for publishing versions.

    Attributes:
        kept: Number of versions that upstreams hold and the platform lists.
        change_map: Whether each version splits or merges a range.
        publish_first: Whether the platform lists a version before the
            upstreams hold it.
    """

    kept: int = 2
    change_map: bool = True
    publish_first: bool = False


class IndexPublisher:
    """Stand-in for the users' indexer: publishes versions of one service."""

    def __init__(
        self,
        shape: shapes.Shape,
        service: str,
        seed: int,
        options: PublishOptions | None = None,
    ) -> None:
        self._platform = shape.platform_endpoint
        self._listen_endpoints = {
            placed.upstream.name: placed.listen_endpoint
            for placed in shape.upstreams()
        }
        self._service = shape.initial_service(service)
        self._rng = random.Random(seed)
        self._options = options or PublishOptions()
        self._maps = list(self._service.maps)
        self.published = list(self._maps)

    @property
    def newest(self) -> snapshots.Snapshot:
        """The newest snapshot that upstreams or the platform may have."""
        return self._maps[-1].snapshot

    def publish(self) -> snapshots.Snapshot:
        """Publishes one more version and drops those over the limit.

        Upstreams that are down do not receive the version.

        Raises:
            OSError: The platform does not answer.
            RuntimeError: The platform refuses the write.
        """
        self._maps.append(self._next_map())
        if self._options.publish_first:
            self._update_platform()
            self._update_upstreams()
        else:
            self._update_upstreams()
            self._update_platform()
        if len(self._maps) > self._options.kept:
            self._maps = self._maps[-self._options.kept :]
            self._update_upstreams()
        self.published.append(self._maps[-1])
        return self._maps[-1].snapshot

    def _next_map(self) -> snapshots.PartitionMap:
        newest = self._maps[-1]
        version, map_version = newest.snapshot
        if not self._options.change_map:
            snapshot = snapshots.Snapshot(version + 1, map_version)
            return newest._replace(snapshot=snapshot)
        entries = list(newest.ranges)
        index = self._rng.randrange(len(entries) - 1)
        is_split = len(entries) <= _MIN_RANGES or (
            len(entries) < _MAX_RANGES and self._rng.random() < 0.5
        )
        if is_split:
            entries[index : index + 1] = _split(entries[index])
        else:
            kept = self._rng.choice(entries[index : index + 2])
            entries[index : index + 2] = [
                _merge(entries[index], entries[index + 1], kept)
            ]
        snapshot = snapshots.Snapshot(version + 1, map_version + 1)
        return snapshots.PartitionMap(snapshot, tuple(entries))

    def _update_upstreams(self) -> None:
        for name in self._service.upstreams:
            holdings = [
                upstream_lib.Holding(*partition_map.snapshot, *entry.key_range)
                for partition_map in self._maps
                for entry in partition_map.ranges
                if name in entry.upstreams
            ]
            body = {"holdings": holdings}
            with contextlib.suppress(OSError):
                httpcalls.call(
                    "POST", self._listen_endpoints[name], "/control", body
                )

    def _update_platform(self) -> None:
        path = f"/v1/objects/{services.KIND_SERVICE}/{self._service.name}"
        stored = httpcalls.get(self._platform, path)
        if stored.status != httpcalls.STATUS_OK:
            raise RuntimeError(f"{path}: {stored}")
        published_service = self._service._replace(
            maps=tuple(self._maps[-self._options.kept :])
        )
        answer = httpcalls.call(
            "PUT",
            self._platform,
            path,
            services.encode_service(published_service),
            headers={"If-Match": str(stored.body["version"])},
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
    merged_range = ranges.KeyRange(first.key_range.low, second.key_range.high)
    return kept._replace(key_range=merged_range)

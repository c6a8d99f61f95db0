"""Services: upstreams and partition maps, as published by the platform."""

from typing import NamedTuple, TypedDict

import msgspec

from greengagedale import untrusted_json
from greengagedale.query import ranges
from greengagedale.query import snapshots
from greengagedale.upstreams import base as upstreams_base

KIND_SERVICE = "services"


class UpstreamObject(TypedDict):
    """An upstream in a service object."""

    name: str
    endpoint: str
    data_centre: str
    slots: int
    connections: int
    leaving: bool


class RangeObject(TypedDict):
    """A range of a partition map in a service object."""

    low: int
    high: int
    upstreams: list[str]


class MapObject(TypedDict):
    """A partition map of one snapshot in a service object."""

    index_version: int
    map_version: int
    ranges: list[RangeObject]


class ServiceObject(TypedDict):
    """A service as stored on the platform."""

    upstreams: list[UpstreamObject]
    maps: list[MapObject]


class Service(NamedTuple):
    """A decoded service.

    Attributes:
        name: Name of the service.
        version: Version of the platform's object that it was read from.
        upstreams: Upstreams by name.
        maps: Partition maps of the snapshots that upstreams still hold.
    """

    name: str
    version: int
    upstreams: dict[str, upstreams_base.Upstream]
    maps: tuple[snapshots.PartitionMap, ...]


_decoder = untrusted_json.Decoder(ServiceObject)


def decode_service(name: str, version: int, value: bytes) -> Service:
    """Decodes a service.

    Raises:
        msgspec.DecodeError: The value is not a service.
    """
    decoded = _decoder.decode(value)
    return Service(
        name,
        version,
        {
            item["name"]: upstreams_base.Upstream(**item)
            for item in decoded["upstreams"]
        },
        tuple(_decode_map(item) for item in decoded["maps"]),
    )


def encode_service(service: Service) -> bytes:
    """Encodes a service as stored on the platform."""
    return msgspec.json.encode(
        ServiceObject(
            upstreams=[
                UpstreamObject(**item._asdict())
                for item in service.upstreams.values()
            ],
            maps=[_encode_map(item) for item in service.maps],
        )
    )


def _decode_map(item: MapObject) -> snapshots.PartitionMap:
    return snapshots.PartitionMap(
        snapshots.Snapshot(item["index_version"], item["map_version"]),
        tuple(
            snapshots.RangeReplicas(
                ranges.KeyRange(entry["low"], entry["high"]),
                tuple(entry["upstreams"]),
            )
            for entry in sorted(item["ranges"], key=lambda r: r["low"])
        ),
    )


def _encode_map(item: snapshots.PartitionMap) -> MapObject:
    return MapObject(
        index_version=item.snapshot.index_version,
        map_version=item.snapshot.map_version,
        ranges=[
            RangeObject(
                low=entry.key_range.low,
                high=entry.key_range.high,
                upstreams=list(entry.upstreams),
            )
            for entry in item.ranges
        ],
    )

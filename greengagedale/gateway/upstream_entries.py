"""Upstreams as the platform lists them."""

from typing import NamedTuple

# Name of an upstream, and when this life of it began.
UpstreamIncarnation = tuple[str, int]


class Upstream(NamedTuple):
    """One life of an upstream.

    Attributes:
        name: Unique among all upstreams at a time; a restart may keep it.
        service: Service that it belongs to.
        address: IP number.
        port: TCP port.
        data_centre: Where it runs.
        slots: Requests that it runs at once.
        is_leaving: Whether it said that it is leaving.
        born_ms: When this life began, as it says; tells lives apart.
        sequence: Rises with each thing that it says in one life.
        warm_up_ms: How much longer it is slow, as last said.
    """

    name: str
    service: str
    address: str
    port: int
    data_centre: str
    slots: int
    is_leaving: bool
    born_ms: int
    sequence: int
    warm_up_ms: float

    @property
    def incarnation(self) -> UpstreamIncarnation:
        """Names this life of the upstream."""
        return (self.name, self.born_ms)

    def supersedes(self, other: "Upstream") -> bool:
        """Tells whether it was said after another entry of the same name."""
        return (self.born_ms, self.sequence) >= (other.born_ms, other.sequence)

"""Entries of upstreams in the platform's list."""

from typing import NamedTuple

# Name of an upstream and start time of the incarnation, as in `born_ms`.
UpstreamIncarnation = tuple[str, int]


class Upstream(NamedTuple):
    """One incarnation of an upstream.

    Attributes:
        name: Name, unique among the upstreams at any time; a restarted upstream
            may keep it.
        service: Name of its service.
        address: IP address.
        port: TCP port.
        data_centre: Data centre that it runs in.
        slots: Number of requests that it can run at once.
        is_leaving: Whether it announced that it is leaving.
        born_ms: Start time reported by the upstream; distinguishes
            incarnations.
        sequence: Number that increases with each report of an incarnation.
        warm_up_ms: Remaining warm-up time, as last reported.
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
        """The key of this incarnation of the upstream."""
        return (self.name, self.born_ms)

    def supersedes(self, other: "Upstream") -> bool:
        """Returns whether this entry is as new as another of the same name."""
        return (self.born_ms, self.sequence) >= (other.born_ms, other.sequence)

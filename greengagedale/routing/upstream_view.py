"""The state of upstreams that routing policies may use."""

import abc


class UpstreamView(abc.ABC):
    """The current state of upstreams as seen by this host."""

    @abc.abstractmethod
    def in_flight(self, upstream: str) -> int:
        """Returns the number of this host's attempts in flight.

        Cancelled attempts count until the upstream confirms the cancellation.
        """

    @abc.abstractmethod
    def free_slots(self, upstream: str) -> int:
        """Returns how many more attempts this host may send now."""

    @abc.abstractmethod
    def latency_ms(self, upstream: str) -> float | None:
        """Returns the average latency, or None before the first attempt."""

    @abc.abstractmethod
    def is_leaving(self, upstream: str) -> bool:
        """Returns whether the upstream is leaving and must get no new work."""

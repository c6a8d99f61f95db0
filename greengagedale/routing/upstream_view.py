"""What routing may know of an upstream when it chooses."""

import abc


class UpstreamView(abc.ABC):
    """The state of upstreams as this host sees it at this moment."""

    @abc.abstractmethod
    def in_flight(self, upstream: str) -> int:
        """Returns how many attempts of this host are at the upstream.

        Cancelled attempts count until the upstream confirms the cancel.
        """

    @abc.abstractmethod
    def free_slots(self, upstream: str) -> int:
        """Returns how many more attempts this host may send now."""

    @abc.abstractmethod
    def latency_ms(self, upstream: str) -> float | None:
        """Returns a recent average latency, or None without attempts."""

    @abc.abstractmethod
    def is_leaving(self, upstream: str) -> bool:
        """Tells whether the upstream must get no new work."""

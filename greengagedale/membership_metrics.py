"""Metrics of the membership protocol."""

from collections.abc import Callable, Iterator, Mapping

from prometheus_client import core
from prometheus_client import registry as registries


class MembershipCollector(registries.Collector):
    """Exports the protocol's event counts and the number of hosts by state."""

    def __init__(
        self,
        events: Callable[[], Mapping[str, int]],
        hosts: Callable[[], Mapping[str, int]],
    ) -> None:
        self._events = events
        self._hosts = hosts

    def collect(self) -> Iterator[core.Metric]:
        """Yields the metric families."""
        events = core.CounterMetricFamily(
            "greengagedale_membership_events",
            "Events of the membership protocol.",
            labels=["event"],
        )
        for name, value in sorted(self._events().items()):
            events.add_metric([name], value)
        yield events
        hosts = core.GaugeMetricFamily(
            "greengagedale_hosts", "Other hosts by state.", labels=["state"]
        )
        for name, value in sorted(self._hosts().items()):
            hosts.add_metric([name], value)
        yield hosts

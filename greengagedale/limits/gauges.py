"""Prometheus collectors for the gauges of the limits."""

from collections.abc import Iterator

from prometheus_client import core
from prometheus_client import registry as registries

from greengagedale.limits import admission_runners
from greengagedale.limits import slots as slots_lib


class SlotCollector(registries.Collector):
    """Collects the limit and the attempts in flight of each upstream."""

    def __init__(self, allocator: slots_lib.SlotAllocator) -> None:
        self._allocator = allocator

    def collect(self) -> Iterator[core.Metric]:
        """Yields the metric families for exposition."""
        limits = core.GaugeMetricFamily(
            "greengagedale_upstream_limit",
            "Attempts that may be at the upstream at once.",
            labels=["upstream"],
        )
        in_flight = core.GaugeMetricFamily(
            "greengagedale_upstream_in_flight",
            "Attempts that hold a slot of the upstream.",
            labels=["upstream"],
        )
        for name in self._allocator.upstreams():
            limits.add_metric([name], self._allocator.limit(name))
            in_flight.add_metric([name], self._allocator.in_flight(name))
        yield limits
        yield in_flight
        yield core.GaugeMetricFamily(
            "greengagedale_attempts_waiting",
            "Attempts that wait for a slot.",
            value=self._allocator.waiting_count,
        )


class AdmissionCollector(registries.Collector):
    """Collects waiting requests and sub-requests in flight, by service."""

    def __init__(
        self, admission_runner: admission_runners.AdmissionRunner
    ) -> None:
        self._admission_runner = admission_runner

    def collect(self) -> Iterator[core.Metric]:
        """Yields the metric families for exposition."""
        waiting_count = core.GaugeMetricFamily(
            "greengagedale_requests_waiting",
            "Requests that wait for admission.",
            labels=["service"],
        )
        in_flight_units = core.GaugeMetricFamily(
            "greengagedale_open_units",
            "Sub-requests of admitted requests that have not ended.",
            labels=["service"],
        )
        for name, controller in self._admission_runner.controllers().items():
            waiting_count.add_metric([name], controller.waiting_count)
            in_flight_units.add_metric([name], controller.in_flight_units)
        yield waiting_count
        yield in_flight_units

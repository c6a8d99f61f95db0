"""Gauges of the limits, read when metrics are asked for."""

from collections.abc import Iterator

from prometheus_client import core
from prometheus_client import registry as registries

from greengagedale.limits import admitting
from greengagedale.limits import gate as gate_lib


class GateCollector(registries.Collector):
    """The limit of each upstream and the attempts that hold its slots."""

    def __init__(self, gate: gate_lib.Gate) -> None:
        self._gate = gate

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
        for name in self._gate.upstreams():
            limits.add_metric([name], self._gate.limit(name))
            in_flight.add_metric([name], self._gate.in_flight(name))
        yield limits
        yield in_flight
        yield core.GaugeMetricFamily(
            "greengagedale_attempts_waiting",
            "Attempts that wait for a slot.",
            value=self._gate.waiting,
        )


class AdmissionCollector(registries.Collector):
    """Requests that wait and sub-requests that run, by service."""

    def __init__(self, admitter: admitting.Admitter) -> None:
        self._admitter = admitter

    def collect(self) -> Iterator[core.Metric]:
        """Yields the metric families for exposition."""
        waiting = core.GaugeMetricFamily(
            "greengagedale_requests_waiting",
            "Requests that wait for admission.",
            labels=["service"],
        )
        open_units = core.GaugeMetricFamily(
            "greengagedale_open_units",
            "Sub-requests of admitted requests that have not ended.",
            labels=["service"],
        )
        for name, held in self._admitter.admissions().items():
            waiting.add_metric([name], held.waiting)
            open_units.add_metric([name], held.open_units)
        yield waiting
        yield open_units

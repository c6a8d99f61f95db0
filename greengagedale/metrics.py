"""Prometheus counters and latency histograms of a process."""

from collections.abc import Iterator

from hdrh import histogram
import prometheus_client
from prometheus_client import core
from prometheus_client import registry as registries

_LOWEST_US = 1
_HIGHEST_US = 120_000_000
_SIGNIFICANT_DIGITS = 2
_QUANTILES = (0.5, 0.9, 0.99, 0.999)
_US_PER_MS = 1000.0


class LatencyCollector(registries.Collector):
    """Latency histograms by label, exported as quantile gauges in ms."""

    def __init__(self, name: str, help_text: str, label: str) -> None:
        self._name = name
        self._help = help_text
        self._label = label
        self._histograms: dict[str, histogram.HdrHistogram] = {}

    def record(self, label_value: str, latency_ms: float) -> None:
        """Records one latency in milliseconds."""
        latencies = self._histograms.get(label_value)
        if latencies is None:
            latencies = histogram.HdrHistogram(
                _LOWEST_US, _HIGHEST_US, _SIGNIFICANT_DIGITS
            )
            self._histograms[label_value] = latencies
        latencies.record_value(max(_LOWEST_US, int(latency_ms * _US_PER_MS)))

    def quantile_ms(self, label_value: str, quantile: float) -> float | None:
        """Returns a quantile in ms, or None if nothing was recorded.

        Args:
            label_value: Value of the label.
            quantile: Quantile between 0 and 1.
        """
        latencies = self._histograms.get(label_value)
        if latencies is None or latencies.get_total_count() == 0:
            return None
        return latencies.get_value_at_percentile(quantile * 100) / _US_PER_MS

    def collect(self) -> Iterator[core.Metric]:
        """Yields the metric family for exposition."""
        family = core.GaugeMetricFamily(
            self._name, self._help, labels=[self._label, "quantile"]
        )
        for value in self._histograms:
            for quantile in _QUANTILES:
                family.add_metric(
                    [value, str(quantile)],
                    self.quantile_ms(value, quantile) or 0.0,
                )
        yield family


class Metrics:
    """All metrics of one process.

    Attributes:
        registry: Prometheus registry of all metrics below.
        requests: Requests of callers, by workspace and outcome.
        refusals: Refusals, by layer and reason.
        unknowns: Requests that may have run, by kind and reason.
        retries: Attempts beyond the first, by reason.
        action_steps: Steps of actions, by step.
        quarantine: Upstream crashes, suspicions and refusals, by event.
        attempts: Attempts sent to upstreams, by service.
        dropped_answers: Upstream answers that were not used, by reason.
        search_events: Events of searches other than first attempts, by
            service, event and reason.
        drain_signals: First signals that an upstream is leaving, by source.
        platform_calls: Calls to the platform, by operation and result.
        request_latency: Latency of requests, by workspace.
        attempt_latency: Latency of attempts, by service.
    """

    def __init__(self) -> None:
        self.registry = prometheus_client.CollectorRegistry()
        self.requests = self._counter(
            "requests", "Requests of callers.", "workspace", "outcome"
        )
        self.refusals = self._counter(
            "refusals", "Refusals by layer.", "layer", "reason"
        )
        self.unknown_outcomes = self._counter(
            "unknown_outcomes", "Requests that may have run.", "kind", "reason"
        )
        self.retries = self._counter(
            "retries", "Attempts beyond the first.", "reason"
        )
        self.action_steps = self._counter(
            "action_steps", "Steps of requests not safe to repeat.", "step"
        )
        self.quarantine = self._counter(
            "quarantine", "Deaths, suspicions and refusals.", "event"
        )
        self.attempts = self._counter(
            "attempts", "Attempts sent to upstreams.", "service"
        )
        self.dropped_answers = self._counter(
            "dropped_answers", "Answers not used.", "reason"
        )
        self.search_events = self._counter(
            "search_events",
            "What searches did beyond first attempts.",
            "service",
            "event",
            "reason",
        )
        self.drain_signals = self._counter(
            "drain_signals", "Upstreams found leaving.", "source"
        )
        self.platform_calls = self._counter(
            "platform_calls", "Calls to the platform.", "operation", "result"
        )
        self.request_latency = self._latency(
            "request_latency_ms", "Latency of requests.", "workspace"
        )
        self.attempt_latency = self._latency(
            "attempt_latency_ms", "Latency of attempts.", "service"
        )

    def exposition(self) -> bytes:
        """Returns all metrics in the Prometheus text format."""
        return prometheus_client.generate_latest(self.registry)

    def _counter(
        self, name: str, help_text: str, *labels: str
    ) -> prometheus_client.Counter:
        return prometheus_client.Counter(
            f"greengagedale_{name}", help_text, labels, registry=self.registry
        )

    def _latency(
        self, name: str, help_text: str, label: str
    ) -> LatencyCollector:
        collector = LatencyCollector(f"greengagedale_{name}", help_text, label)
        self.registry.register(collector)
        return collector

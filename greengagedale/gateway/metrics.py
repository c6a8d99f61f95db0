"""Counters and latency histograms of a gateway host.

Counts are kept in plain objects. The exposition library is imported on the
first request for metrics, because importing it would delay the host's start.
"""

import collections
from collections.abc import Iterator
from typing import Any

from hdrh import histogram

_LOWEST_US = 1
_HIGHEST_US = 120_000_000
_SIGNIFICANT_DIGITS = 2
_QUANTILES = (0.5, 0.9, 0.99, 0.999)
_US_PER_MS = 1000.0


class Counter:
    """A counter with labels."""

    def __init__(self, name: str, help_text: str, *labels: str) -> None:
        self.name = name
        self.help_text = help_text
        self.labels = labels
        self.counts: collections.Counter[tuple[str, ...]] = (
            collections.Counter()
        )

    def inc(self, *values: str) -> None:
        """Adds one under the values of the labels."""
        self.counts[values] += 1


class LatencyHistograms:
    """Latency histograms with one label."""

    def __init__(self, name: str, help_text: str, label: str) -> None:
        self.name = name
        self.help_text = help_text
        self.label = label
        self.histograms: dict[str, histogram.HdrHistogram] = {}

    def record(self, value: str, latency_ms: float) -> None:
        """Records one latency under the value of the label."""
        hdr_histogram = self.histograms.get(value)
        if hdr_histogram is None:
            hdr_histogram = self.histograms[value] = histogram.HdrHistogram(
                _LOWEST_US, _HIGHEST_US, _SIGNIFICANT_DIGITS
            )
        hdr_histogram.record_value(
            max(_LOWEST_US, int(latency_ms * _US_PER_MS))
        )


class Metrics:
    """All metrics of one process.

    Attributes:
        requests: Requests of callers by route and outcome.
        refusals: Refused requests by layer and reason.
        unknowns: Requests that may have run, by route and reason.
        extra_attempts: Attempts beyond the first by service and kind.
        attempts: Attempts by service.
        failures: Attempts that failed, by reason.
        merged_answers: Merged answers by route, and whole or partial.
        store_calls: Calls to the store by operation and result.
        ignored_entries: Entries read from the store that hosts can't use, by
            kind.
        warm_up_choices: What became of upstreams that warm up when requests
            were sent, by service: sent to, withheld or refused.
        limit_choices: Requests to upstreams that announce a limit, by service
            and result.
        reachability_trials: Trials whether upstreams can be reached, by result.
        relayed_requests: Requests passed on between hosts, by direction and
            result.
        precedence_refusals: Requests and attempts that were not sent because
            of long queues, by effective priority and by what limited their
            patience; only where requests need keys.
        evacuations: Evacuations of data centres that began or ended.
        proof_changes: Times that the proof of a recent configuration was lost
            or gained.
        recovery_steps: Steps of recoveries of the store.
        quota_decisions: Requests of workspaces with a quota, by workspace and
            verdict, on the host that received them.
        request_latency: Latency of requests by route.
        attempt_latency: Latency of answered attempts by route.
        capacity_changes: Changes of what is believed of upstreams, by the new
            state and the source of the evidence.
        capacity_observations: Observations of upstreams by peers, by result.
    """

    def __init__(self) -> None:
        self.requests = Counter(
            "requests", "Requests of callers.", "route", "outcome"
        )
        self.refusals = Counter(
            "refusals", "Refusals by layer.", "layer", "reason"
        )
        self.unknowns = Counter(
            "unknown_outcomes", "Requests that may have run.", "route", "reason"
        )
        self.extra_attempts = Counter(
            "extra_attempts", "Attempts beyond the first.", "service", "kind"
        )
        self.attempts = Counter("attempts", "Attempts sent.", "service")
        self.failures = Counter(
            "failed_attempts", "Attempts without an answer to use.", "reason"
        )
        self.merged_answers = Counter(
            "gathered_answers", "Merged answers.", "route", "parts"
        )
        self.store_calls = Counter(
            "store_calls", "Calls to the store.", "operation", "result"
        )
        self.ignored_entries = Counter(
            "ignored_entries",
            "Entries of the store that can't be used.",
            "kind",
        )
        self.warm_up_choices = Counter(
            "warm_up_choices",
            "Upstreams that warm up, sent to or not.",
            "service",
            "result",
        )
        self.limit_choices = Counter(
            "limit_choices",
            "Upstreams that announce a limit, sent to or not.",
            "service",
            "result",
        )
        self.reachability_trials = Counter(
            "reachability_trials",
            "Trials whether any upstream can be reached.",
            "result",
        )
        self.relayed_requests = Counter(
            "relayed_requests",
            "Requests passed on between hosts.",
            "direction",
            "result",
        )
        self.precedence_refusals = Counter(
            "precedence_refusals",
            "Not sent because of long queues, by rank and limit.",
            "rank",
            "limit",
        )
        self.evacuations = Counter(
            "evacuations", "Evacuations seen.", "data_centre", "state"
        )
        self.proof_changes = Counter(
            "configuration_proof_changes",
            "Changes of the proof that the configuration is recent.",
            "change",
        )
        self.recovery_steps = Counter(
            "store_recovery_steps",
            "Steps after the store came back from an older copy.",
            "step",
        )
        self.quota_decisions = Counter(
            "quota_decisions",
            "Decisions on requests of workspaces with a quota.",
            "workspace",
            "verdict",
        )
        self.request_latency = LatencyHistograms(
            "request_latency_ms", "Latency of requests.", "route"
        )
        self.attempt_latency = LatencyHistograms(
            "attempt_latency_ms", "Latency of answered attempts.", "route"
        )
        self.capacity_changes = Counter(
            "upstream_belief_changes",
            "Changes of what is believed of upstreams.",
            "state",
            "source",
        )
        self.capacity_observations = Counter(
            "upstream_observations", "Observations by peers.", "result"
        )

    def exposition(self) -> bytes:
        """Returns all metrics in the Prometheus text format."""
        import prometheus_client

        registry = prometheus_client.CollectorRegistry(auto_describe=False)
        registry.register(_Collector(self))
        return prometheus_client.generate_latest(registry)


class _Collector:
    """Converts the metrics to metric families of the exposition library."""

    def __init__(self, metrics: Metrics) -> None:
        self._metrics = metrics

    def describe(self) -> list[Any]:
        """Returns nothing; families are known only when collected."""
        return []

    def collect(self) -> Iterator[Any]:
        """Yields all families."""
        from prometheus_client import core

        for item in vars(self._metrics).values():
            if isinstance(item, Counter):
                family = core.CounterMetricFamily(
                    f"greengagedale_{item.name}",
                    item.help_text,
                    labels=item.labels,
                )
                for values, count in item.counts.items():
                    family.add_metric(values, count)
                yield family
            elif isinstance(item, LatencyHistograms):
                yield _quantiles(core, item)


def _quantiles(core: Any, item: LatencyHistograms) -> Any:
    family = core.GaugeMetricFamily(
        f"greengagedale_{item.name}",
        item.help_text,
        labels=[item.label, "quantile"],
    )
    for value, hdr_histogram in item.histograms.items():
        for quantile in _QUANTILES:
            latency_us = hdr_histogram.get_value_at_percentile(quantile * 100)
            family.add_metric([value, str(quantile)], latency_us / _US_PER_MS)
    return family

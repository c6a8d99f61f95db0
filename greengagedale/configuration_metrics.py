"""Metrics of configuration changes and their distribution."""

from typing import Self

import prometheus_client

from greengagedale import configuration
from greengagedale import metrics as metrics_lib

_UNKNOWN_AGE_MS = -1.0


class ConfigurationMetrics:
    """Counters and gauges of configuration on one host.

    Attributes:
        applied: Configurations activated, by source.
        rejected: Received objects that could not be used, by reason.
        changes: Changes requested from this host, by outcome and reason.
        retries: Retries of changes, by reason.
        change_platform_calls: Platform calls made for changes, by operation.
        deleted_documents: Unused documents deleted from the platform.
    """

    def __init__(self, registry: prometheus_client.CollectorRegistry) -> None:
        self._registry = registry
        self.applied = self._counter(
            "configuration_applied", "Put in force.", "source"
        )
        self.rejected = self._counter(
            "configuration_rejected", "Objects that can't be used.", "reason"
        )
        self.changes = self._counter(
            "changes", "Changes asked for.", "outcome", "reason"
        )
        self.retries = self._counter(
            "change_retries", "Further tries of changes.", "reason"
        )
        self.change_platform_calls = self._counter(
            "change_platform_calls", "Platform calls for changes.", "operation"
        )
        self.deleted_documents = self._counter(
            "collected_documents", "Old documents deleted."
        )

    @classmethod
    def from_config(
        cls,
        metrics: metrics_lib.Metrics,
        active_configuration: configuration.ActiveConfiguration,
    ) -> Self:
        """Registers the metrics of a host and of its active configuration."""
        instance = cls(metrics.registry)
        instance.register_gauges(active_configuration)
        return instance

    def register_gauges(
        self, active_configuration: configuration.ActiveConfiguration
    ) -> None:
        """Registers gauges for the active revision and its age."""
        revision = self._gauge("configuration_revision", "Revision in force.")
        revision.set_function(lambda: active_configuration.current.revision)
        age = self._gauge(
            "configuration_age_ms", "Since known to be current; -1 is never."
        )
        age.set_function(lambda: _age_ms(active_configuration))

    def _counter(
        self, name: str, help_text: str, *labels: str
    ) -> prometheus_client.Counter:
        return prometheus_client.Counter(
            f"greengagedale_{name}", help_text, labels, registry=self._registry
        )

    def _gauge(self, name: str, help_text: str) -> prometheus_client.Gauge:
        return prometheus_client.Gauge(
            f"greengagedale_{name}", help_text, registry=self._registry
        )


def _age_ms(active_configuration: configuration.ActiveConfiguration) -> float:
    age_ms = active_configuration.age_ms()
    return _UNKNOWN_AGE_MS if age_ms is None else age_ms

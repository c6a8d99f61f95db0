"""Creates the components of the limits from the settings."""

from collections.abc import Callable, Iterable
import random
from typing import NamedTuple, Self

from greengagedale import clocks
from greengagedale import configuration
from greengagedale import metrics as metrics_lib
from greengagedale.config import settings as settings_lib
from greengagedale.limits import admission_runners
from greengagedale.limits import concurrency
from greengagedale.limits import gauges
from greengagedale.limits import quarantine
from greengagedale.limits import quarantine_transports
from greengagedale.limits import slot_transport
from greengagedale.limits import slots as slots_lib
from greengagedale.membership import announcements
from greengagedale.upstreams import base
from greengagedale.upstreams import process_probes

_PROBE_TIMEOUT_MS = 200.0


class Limits(NamedTuple):
    """The limits of one host.

    Attributes:
        transport: Transport that applies the limits to attempts.
        allocator: Allocator of upstream slots; None without limits.
        admission_runner: Runs admitted requests; None if every request is
            admitted.
    """

    transport: base.UpstreamTransport
    allocator: slots_lib.SlotAllocator | None
    admission_runner: admission_runners.AdmissionRunner | None

    @classmethod
    def from_config(
        cls,
        config: settings_lib.LimitsSettings,
        inner: base.UpstreamTransport,
        active_configuration: configuration.ActiveConfiguration,
        is_leaving: Callable[[str], bool],
        announcement_cache: announcements.AnnouncementCache,
        wall_ms: Callable[[], int],
        own_name: str,
        live_hosts: Callable[[], Iterable[str]],
        clock: clocks.Clock,
        metrics: metrics_lib.Metrics,
    ) -> Self:
        """Wraps a transport with the limits that the settings select."""
        if config.concurrency == "none":
            return cls(inner, None, None)
        allocator = slots_lib.SlotAllocator(
            concurrency.LIMIT_TYPES[config.concurrency]
        )
        guard = quarantine_transports.QuarantineGuard(
            quarantine.Quarantine(quarantine.Canary(config.canary)),
            process_probes.TcpProber(_PROBE_TIMEOUT_MS),
            announcement_cache,
            clock,
            wall_ms,
            metrics,
        )
        transport_with_slots = slot_transport.SlotTransport(
            quarantine_transports.TrackingTransport(inner, guard),
            slot_transport.ReplicaLocator(active_configuration, is_leaving),
            allocator,
            own_name,
            live_hosts,
            clock,
            metrics,
        )
        transport = quarantine_transports.QuarantineTransport(
            transport_with_slots, guard
        )
        metrics.registry.register(gauges.SlotCollector(allocator))
        if config.admission == "none":
            return cls(transport, allocator, None)
        admission_runner = admission_runners.AdmissionRunner(
            transport_with_slots.capacity,
            clock,
            random.Random(),
            metrics,
            guard,
        )
        transport_with_slots.add_attempt_end_listener(
            admission_runner.on_attempt_end
        )
        metrics.registry.register(gauges.AdmissionCollector(admission_runner))
        return cls(transport, allocator, admission_runner)

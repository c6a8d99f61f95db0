"""Puts the parts of the limits together from the settings."""

from collections.abc import Callable, Iterable
import random
from typing import NamedTuple, Self

from greengagedale import clocks
from greengagedale import configuration
from greengagedale import metrics as metrics_lib
from greengagedale.config import settings as settings_lib
from greengagedale.limits import admitting
from greengagedale.limits import concurrency
from greengagedale.limits import gate as gate_lib
from greengagedale.limits import gated
from greengagedale.limits import gauges
from greengagedale.limits import guarded
from greengagedale.limits import quarantine
from greengagedale.membership import announcements
from greengagedale.upstreams import base
from greengagedale.upstreams import probes

_PROBE_TIMEOUT_MS = 200.0


class Limits(NamedTuple):
    """The limits of one host.

    Attributes:
        transport: Carries attempts to upstreams within the limits.
        gate: Slots and limits of upstreams; None without limits.
        admitter: Admits requests; None if all are.
    """

    transport: base.UpstreamTransport
    gate: gate_lib.Gate | None
    admitter: admitting.Admitter | None

    @classmethod
    def from_config(
        cls,
        config: settings_lib.LimitsSettings,
        inner: base.UpstreamTransport,
        holder: configuration.Holder,
        is_leaving: Callable[[str], bool],
        announcement_cache: announcements.AnnouncementCache,
        wall_ms: Callable[[], int],
        own_name: str,
        live_hosts: Callable[[], Iterable[str]],
        clock: clocks.Clock,
        metrics: metrics_lib.Metrics,
    ) -> Self:
        """Makes the limits around a transport."""
        if config.concurrency == "none":
            return cls(inner, None, None)
        gate = gate_lib.Gate(concurrency.KINDS[config.concurrency])
        guard = guarded.Guard(
            quarantine.Quarantine(quarantine.Canary(config.canary)),
            probes.TcpProber(_PROBE_TIMEOUT_MS),
            announcement_cache,
            clock,
            wall_ms,
            metrics,
        )
        gated_transport = gated.GatedTransport(
            guarded.WatchedTransport(inner, guard),
            gated.Placement(holder, is_leaving),
            gate,
            own_name,
            live_hosts,
            clock,
            metrics,
        )
        transport = guarded.GuardedTransport(gated_transport, guard)
        metrics.registry.register(gauges.GateCollector(gate))
        if config.admission == "none":
            return cls(transport, gate, None)
        admitter = admitting.Admitter(
            gated_transport.capacity, clock, random.Random(), metrics, guard
        )
        gated_transport.on_attempt_end(admitter.on_attempt_end)
        metrics.registry.register(gauges.AdmissionCollector(admitter))
        return cls(transport, gate, admitter)

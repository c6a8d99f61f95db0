"""The settings of an entry host that passes opaque requests on."""

from typing import Any, Literal

import pydantic

from greengagedale.config import options
from greengagedale.config import settings

DurationS = pydantic.PositiveFloat


class HostSettings(settings.Section):
    """Who this host is."""

    name: options.Name
    data_centre: options.Name


class GatewaySection(settings.Section):
    """Where the host listens.

    Attributes:
        caller_endpoint: For callers' requests.
        ready_endpoint: For the platform's checks.
        locate_endpoint: For callers that ask where to connect.
        peer_endpoint: For other hosts.
        metrics_endpoint: For metrics; none if it is left out.
        locate_ttl_ms: How long callers keep the answer to where to connect.
    """

    caller_endpoint: options.Endpoint
    ready_endpoint: options.Endpoint
    locate_endpoint: options.Endpoint
    peer_endpoint: options.Endpoint
    metrics_endpoint: options.Endpoint | None = None
    locate_ttl_ms: options.DurationMs = 1000


class StoreSettings(settings.Section):
    """How to reach the platform's store."""

    endpoint: options.Endpoint
    timeout_ms: options.DurationMs = 1500


class PeersSettings(settings.Section):
    """Other hosts that are known from the start; they may be gone."""

    seeds: list[options.Endpoint] = []


class RetrySettings(settings.Section):
    """The budget of extra attempts at a service, over all hosts.

    Attributes:
        window_s: Length of the sliding window.
        ratio: Extra attempts for each request in it.
        burst: Extra attempts besides.
    """

    window_s: DurationS = 10.0
    ratio: options.Share = 0.1
    burst: pydantic.NonNegativeFloat = 10.0


class ShutdownSettings(settings.Section):
    """How the host leaves.

    Attributes:
        grace_s: Time from SIGTERM until the process is killed.
    """

    grace_s: DurationS = 6.0


class LogsSettings(settings.Section):
    """What is logged."""

    level: Literal["DEBUG", "INFO", "WARNING", "ERROR"] = "INFO"


class GatewaySettings(settings.Document):
    """All settings of an entry host that passes opaque requests on."""

    host: HostSettings
    gateway: GatewaySection
    platform: StoreSettings
    peers: PeersSettings = PeersSettings()
    retries: RetrySettings = RetrySettings()
    shutdown: ShutdownSettings = ShutdownSettings()
    logs: LogsSettings = LogsSettings()


def is_gateway(config: dict[str, Any]) -> bool:
    """Tells whether settings are those of such a host."""
    return "gateway" in config

"""Settings of a gateway, an entry host that forwards opaque requests.

They are validated without pydantic, which the other settings use: importing
it takes longer than anything else that a host does before it serves requests.
"""

import abc
import pathlib
from typing import Any, NamedTuple, Self

from greengagedale import exceptions
from greengagedale.config import toml_files
from greengagedale.config import validators

_LOG_LEVELS = ("DEBUG", "INFO", "WARNING", "ERROR")
_HOUR_S = 3600.0
_HOUR_MS = 3_600_000.0
_MAX_EXTRA_ATTEMPTS = 1_000_000.0
_MAX_EXTRA_REQUESTS = 1_000_000.0
_MAX_BYTES = 1024.0 * 1024.0 * 1024.0
_MAX_CORES = 1024.0
_MAX_MEMORY_MIB = 1024.0 * 1024.0
_MAX_DESCRIPTORS = 1024.0 * 1024.0
_REQUIRED = object()


class Option(abc.ABC):
    """An option: its validation and its default."""

    def __init__(self, default: Any = _REQUIRED) -> None:
        self.default = default

    @abc.abstractmethod
    def validate(self, value: Any) -> Any:
        """Returns the validated value.

        Raises:
            ValueError: The value is not accepted; the message says what is.
        """


class Name(Option):
    """A name, such as that of a host or data centre."""

    def validate(self, value: Any) -> str:
        """Returns the validated value."""
        return validators.validate_name(_require_string(value))


class Endpoint(Option):
    """An IP address with a port."""

    def validate(self, value: Any) -> str:
        """Returns the validated value."""
        return validators.validate_endpoint(_require_string(value))


class Endpoints(Option):
    """A list of IP addresses with ports."""

    def validate(self, value: Any) -> tuple[str, ...]:
        """Returns the validated values."""
        if not isinstance(value, list):
            raise ValueError("use a list")
        return tuple(
            validators.validate_endpoint(_require_string(item))
            for item in value
        )


class Words(Option):
    """A list of words."""

    def validate(self, value: Any) -> tuple[str, ...]:
        """Returns the validated values."""
        if not isinstance(value, list):
            raise ValueError("use a list")
        return tuple(map(_require_string, value))


class Pairs(Option):
    """A list of pairs of words."""

    def validate(self, value: Any) -> tuple[tuple[str, str], ...]:
        """Returns the validated values."""
        if not isinstance(value, list) or not all(
            isinstance(pair, list) and len(pair) == 2 for pair in value
        ):
            raise ValueError("use a list of pairs")
        return tuple(
            (_require_string(first), _require_string(second))
            for first, second in value
        )


class Number(Option):
    """A number between two bounds, inclusive.

    Bounds are wide: they reject typing errors, and leave room for tuning.
    """

    def __init__(
        self, minimum: float, maximum: float, default: Any = _REQUIRED
    ) -> None:
        super().__init__(default)
        self._minimum = minimum
        self._maximum = maximum

    def validate(self, value: Any) -> float:
        """Returns the validated value."""
        if isinstance(value, bool) or not isinstance(value, int | float):
            raise ValueError("use a number")
        if not self._minimum <= value <= self._maximum:
            raise ValueError(f"use {self._minimum:g} to {self._maximum:g}")
        return float(value)


class Choice(Option):
    """One of a fixed set of strings."""

    def __init__(self, choices: tuple[str, ...], default: str) -> None:
        super().__init__(default)
        self._choices = choices

    def validate(self, value: Any) -> str:
        """Returns the validated value."""
        if value not in self._choices:
            raise ValueError(f"use one of {', '.join(self._choices)}")
        return value


class HostSettings(NamedTuple):
    """Identity and size of the host.

    Attributes:
        name: Name of the host.
        data_centre: Data centre that it runs in.
        data_centre_regions: Names of all data centres, each with its region.
        cpu_cores: Computing power of its core, in reference cores.
        cpu_share: Share of that core that it may use.
        memory_mib: Memory of the process, in MiB.
        max_descriptors: Maximum number of open descriptors of the process.
    """

    name: str
    data_centre: str
    data_centre_regions: tuple[tuple[str, str], ...]
    cpu_cores: float
    cpu_share: float
    memory_mib: float
    max_descriptors: float

    @property
    def power_cores(self) -> float:
        """Computing power of the host, in reference cores."""
        return self.cpu_cores * self.cpu_share


class ConnectionsSettings(NamedTuple):
    """Connections of callers, peers and the platform to the host.

    Attributes:
        memory_share: Share of the host's memory that requests and responses
            may use that are being received, run or sent.
    """

    memory_share: float


class GatewaySection(NamedTuple):
    """Endpoints on which the host listens.

    Attributes:
        caller_endpoint: Endpoint for requests of callers.
        ready_endpoint: Endpoint for the readiness checks of the platform.
        locate_endpoint: Endpoint for locate requests, with which callers ask
            for the hosts to use.
        peer_endpoint: Endpoint for other hosts.
        metrics_endpoint: Endpoint for metrics; None disables it.
        locate_ttl_s: Time for which callers may cache the reply to a locate
            request, in seconds.
        min_relative_power: Callers are not sent to hosts with a smaller
            fraction of the power of the most powerful host; 0 spares none.
    """

    caller_endpoint: str
    ready_endpoint: str
    locate_endpoint: str
    peer_endpoint: str
    metrics_endpoint: str | None
    locate_ttl_s: float
    min_relative_power: float


class StoreSettings(NamedTuple):
    """The platform: connection to its store, and what else it offers.

    Attributes:
        endpoint: Endpoint of the store.
        timeout_ms: Timeout of calls to the store, in milliseconds.
        features: Names of the platform's features in force, as it calls them.
    """

    endpoint: str
    timeout_ms: float
    features: tuple[str, ...]


class UpstreamsSettings(NamedTuple):
    """Size limits of upstream replies; exceeding one closes the connection.

    Attributes:
        max_head_bytes: Maximum total size of the status line, headers and
            trailers of a reply.
        max_body_bytes: Maximum size of the body without its framing.
    """

    max_head_bytes: float
    max_body_bytes: float


class PeersSettings(NamedTuple):
    """Other hosts that are known at start; they may no longer exist."""

    seeds: tuple[str, ...]


class RetrySettings(NamedTuple):
    """Budget of extra attempts at a service, shared by all hosts.

    Attributes:
        window_s: Length of the sliding window, in seconds.
        ratio: Extra attempts allowed for each request in the window.
        burst: Extra attempts allowed in addition.
    """

    window_s: float
    ratio: float
    burst: float


class KeysSettings(NamedTuple):
    """Callers' keys.

    Attributes:
        revocation_ms: Time after which a revoked key is refused on every host,
            also on hosts that are cut off, in milliseconds; None if hosts that
            are cut off may accept it for longer.
    """

    revocation_ms: float | None


class QuotasSettings(NamedTuple):
    """Bounds on the requests of a workspace over all hosts.

    In any window, a workspace may have (rate x window + burst) x (1 + overage)
    + slack requests, with the rate and burst of its configuration.

    Attributes:
        window_s: Length of the window, in seconds; None disables quotas.
        overage: Fraction of the quota allowed in addition.
        slack: Requests allowed in addition.
    """

    window_s: float | None
    overage: float
    slack: float


class WarmUpSettings(NamedTuple):
    """Bounds on the requests to an upstream that warms up, over all hosts.

    In any second, an upstream may get its service's rate x overage + slack.
    """

    overage: float
    slack: float


class LearningSettings(NamedTuple):
    """Learning of what upstreams take well, together with other hosts.

    A host with little computing power serves few requests and sees too little
    of each upstream alone.

    Attributes:
        max_cores: Hosts with less computing power than this tell each other
            what they see of upstreams; 0 disables it.
    """

    max_cores: float


class ShutdownSettings(NamedTuple):
    """Shutdown of the host.

    Attributes:
        grace_s: Time from SIGTERM until the process is killed, in seconds.
    """

    grace_s: float


class LogsSettings(NamedTuple):
    """Logging of the process."""

    level: str


_SECTIONS: dict[str, tuple[Any, dict[str, Option]]] = {
    "host": (
        HostSettings,
        {
            "name": Name(),
            "data_centre": Name(),
            "data_centre_regions": Pairs(()),
            "cpu_cores": Number(0.001, _MAX_CORES, 1.0),
            "cpu_share": Number(0.001, 1.0, 1.0),
            "memory_mib": Number(1.0, _MAX_MEMORY_MIB, 1024.0),
            "max_descriptors": Number(1.0, _MAX_DESCRIPTORS, 4096.0),
        },
    ),
    "gateway": (
        GatewaySection,
        {
            "caller_endpoint": Endpoint(),
            "ready_endpoint": Endpoint(),
            "locate_endpoint": Endpoint(),
            "peer_endpoint": Endpoint(),
            "metrics_endpoint": Endpoint(None),
            "locate_ttl_s": Number(0.001, 60.0, 1.0),
            "min_relative_power": Number(0.0, 1.0, 0.0),
        },
    ),
    "connections": (
        ConnectionsSettings,
        {"memory_share": Number(0.01, 0.9, 0.25)},
    ),
    "platform": (
        StoreSettings,
        {
            "endpoint": Endpoint(),
            "timeout_ms": Number(1.0, 60_000.0, 1500.0),
            "features": Words(()),
        },
    ),
    "upstreams": (
        UpstreamsSettings,
        {
            "max_head_bytes": Number(1024.0, _MAX_BYTES, 64.0 * 1024.0),
            "max_body_bytes": Number(1024.0, _MAX_BYTES, 1024.0 * 1024.0),
        },
    ),
    "peers": (PeersSettings, {"seeds": Endpoints(())}),
    "retries": (
        RetrySettings,
        {
            "window_s": Number(0.1, _HOUR_S, 10.0),
            "ratio": Number(0.0, 1.0, 0.1),
            "burst": Number(0.0, _MAX_EXTRA_ATTEMPTS, 10.0),
        },
    ),
    "keys": (KeysSettings, {"revocation_ms": Number(1.0, _HOUR_MS, None)}),
    "quotas": (
        QuotasSettings,
        {
            "window_s": Number(0.1, _HOUR_S, None),
            "overage": Number(0.0, 10.0, 0.0),
            "slack": Number(0.0, _MAX_EXTRA_REQUESTS, 0.0),
        },
    ),
    "warm_up": (
        WarmUpSettings,
        {
            "overage": Number(1.0, 10.0, 1.0),
            "slack": Number(0.0, _MAX_EXTRA_REQUESTS, 0.0),
        },
    ),
    "learning": (
        LearningSettings,
        {
            "max_cores": Number(0.0, _MAX_CORES, 0.0),
        },
    ),
    "shutdown": (ShutdownSettings, {"grace_s": Number(0.1, _HOUR_S, 6.0)}),
    "logs": (LogsSettings, {"level": Choice(_LOG_LEVELS, "INFO")}),
}


class GatewaySettings(NamedTuple):
    """All settings of a gateway."""

    host: HostSettings
    gateway: GatewaySection
    connections: ConnectionsSettings
    platform: StoreSettings
    upstreams: UpstreamsSettings
    peers: PeersSettings
    retries: RetrySettings
    keys: KeysSettings
    quotas: QuotasSettings
    warm_up: WarmUpSettings
    learning: LearningSettings
    shutdown: ShutdownSettings
    logs: LogsSettings

    @classmethod
    def from_file(cls, path: pathlib.Path) -> Self:
        """Reads and validates a settings file.

        Raises:
            ConfigError: The file can't be read or has validation errors; all
                of them are listed, each with its key.
        """
        return cls.from_config(toml_files.read_toml(path), subject=str(path))

    @classmethod
    def from_config(
        cls, config: dict[str, Any], subject: str = "settings"
    ) -> Self:
        """Validates settings that have already been read.

        Raises:
            ConfigError: There are validation errors; all of them are listed.
        """
        field_errors = [
            exceptions.FieldError(key, "unknown section")
            for key in config
            if key not in _SECTIONS
        ]
        sections = {
            key: _validate_section(key, config.get(key, {}), field_errors)
            for key in _SECTIONS
        }
        if field_errors:
            raise exceptions.ConfigError(subject, field_errors)
        return cls(**sections)


def is_gateway_config(config: dict[str, Any]) -> bool:
    """Returns whether the settings are those of a gateway."""
    return "gateway" in config


def _validate_section(
    key: str, table: Any, field_errors: list[exceptions.FieldError]
) -> Any:
    section_type, options = _SECTIONS[key]
    if not isinstance(table, dict):
        field_errors.append(exceptions.FieldError(key, "use a table"))
        return None
    errors_before = len(field_errors)
    field_errors += [
        exceptions.FieldError(
            f"{key}.{name}",
            "unknown key; check its spelling and the unit in its name",
        )
        for name in table
        if name not in options
    ]
    values: dict[str, Any] = {}
    for name, option in options.items():
        if name not in table:
            values[name] = option.default
            if option.default is _REQUIRED:
                field_errors.append(
                    exceptions.FieldError(f"{key}.{name}", "missing")
                )
            continue
        try:
            values[name] = option.validate(table[name])
        except ValueError as error:
            field_errors.append(
                exceptions.FieldError(f"{key}.{name}", str(error))
            )
    return (
        section_type(**values) if len(field_errors) == errors_before else None
    )


def _require_string(value: Any) -> str:
    if not isinstance(value, str):
        raise ValueError("use text")
    return value

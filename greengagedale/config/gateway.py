"""The settings of an entry host that passes opaque requests on.

These are checked without the model library that the other settings use:
loading it takes longer than anything else a host does before it serves.
"""

import abc
import pathlib
from typing import Any, NamedTuple, Self

from greengagedale import exceptions
from greengagedale.config import toml_files
from greengagedale.config import validators

_LEVELS = ("DEBUG", "INFO", "WARNING", "ERROR")
_HOUR_S = 3600.0
_MAX_EXTRA_ATTEMPTS = 1_000_000.0
_MAX_BYTES = 1024.0 * 1024.0 * 1024.0
_REQUIRED = object()


class Option(abc.ABC):
    """One setting: what it may be, and what it is if left out."""

    def __init__(self, default: Any = _REQUIRED) -> None:
        self.default = default

    @abc.abstractmethod
    def validate(self, value: Any) -> Any:
        """Returns the value.

        Raises:
            ValueError: It is not accepted; the text says what is.
        """


class Name(Option):
    """The name of a host or the like."""

    def validate(self, value: Any) -> str:
        """Returns the value."""
        return validators.validate_name(_require_string(value))


class Endpoint(Option):
    """An IP number with a port."""

    def validate(self, value: Any) -> str:
        """Returns the value."""
        return validators.validate_endpoint(_require_string(value))


class Endpoints(Option):
    """A list of IP numbers with ports."""

    def validate(self, value: Any) -> tuple[str, ...]:
        """Returns the values."""
        if not isinstance(value, list):
            raise ValueError("use a list")
        return tuple(
            validators.validate_endpoint(_require_string(item))
            for item in value
        )


class Number(Option):
    """A number between bounds; they catch slips, not tuning."""

    def __init__(
        self, minimum: float, maximum: float, default: Any = _REQUIRED
    ) -> None:
        super().__init__(default)
        self._minimum = minimum
        self._maximum = maximum

    def validate(self, value: Any) -> float:
        """Returns the value."""
        if isinstance(value, bool) or not isinstance(value, int | float):
            raise ValueError("use a number")
        if not self._minimum <= value <= self._maximum:
            raise ValueError(f"use {self._minimum:g} to {self._maximum:g}")
        return float(value)


class Choice(Option):
    """One of a few words."""

    def __init__(self, choices: tuple[str, ...], default: str) -> None:
        super().__init__(default)
        self._choices = choices

    def validate(self, value: Any) -> str:
        """Returns the value."""
        if value not in self._choices:
            raise ValueError(f"use one of {', '.join(self._choices)}")
        return value


class HostSettings(NamedTuple):
    """Who this host is."""

    name: str
    data_centre: str


class GatewaySection(NamedTuple):
    """Where the host listens.

    Attributes:
        caller_endpoint: For callers' requests.
        ready_endpoint: For the platform's checks.
        locate_endpoint: For callers that ask where to connect.
        peer_endpoint: For other hosts.
        metrics_endpoint: For metrics; none if it is left out.
        locate_ttl_s: How long callers keep the answer to where to connect.
    """

    caller_endpoint: str
    ready_endpoint: str
    locate_endpoint: str
    peer_endpoint: str
    metrics_endpoint: str | None
    locate_ttl_s: float


class StoreSettings(NamedTuple):
    """How to reach the platform's store."""

    endpoint: str
    timeout_ms: float


class UpstreamsSettings(NamedTuple):
    """What upstreams may answer; connections with more on them are closed.

    Attributes:
        max_head_bytes: Status line, headers and trailers of an answer.
        max_body_bytes: Body without framing.
    """

    max_head_bytes: float
    max_body_bytes: float


class PeersSettings(NamedTuple):
    """Other hosts that are known from the start; they may be gone."""

    seeds: tuple[str, ...]


class RetrySettings(NamedTuple):
    """The budget of extra attempts at a service, over all hosts.

    Attributes:
        window_s: Length of the sliding window.
        ratio: Extra attempts for each request in it.
        burst: Extra attempts besides.
    """

    window_s: float
    ratio: float
    burst: float


class ShutdownSettings(NamedTuple):
    """How the host leaves.

    Attributes:
        grace_s: Time from SIGTERM until the process is killed.
    """

    grace_s: float


class LogsSettings(NamedTuple):
    """What is logged."""

    level: str


_SECTIONS: dict[str, tuple[Any, dict[str, Option]]] = {
    "host": (HostSettings, {"name": Name(), "data_centre": Name()}),
    "gateway": (
        GatewaySection,
        {
            "caller_endpoint": Endpoint(),
            "ready_endpoint": Endpoint(),
            "locate_endpoint": Endpoint(),
            "peer_endpoint": Endpoint(),
            "metrics_endpoint": Endpoint(None),
            "locate_ttl_s": Number(0.001, 60.0, 1.0),
        },
    ),
    "platform": (
        StoreSettings,
        {"endpoint": Endpoint(), "timeout_ms": Number(1.0, 60_000.0, 1500.0)},
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
    "shutdown": (ShutdownSettings, {"grace_s": Number(0.1, _HOUR_S, 6.0)}),
    "logs": (LogsSettings, {"level": Choice(_LEVELS, "INFO")}),
}


class GatewaySettings(NamedTuple):
    """All settings of an entry host that passes opaque requests on."""

    host: HostSettings
    gateway: GatewaySection
    platform: StoreSettings
    upstreams: UpstreamsSettings
    peers: PeersSettings
    retries: RetrySettings
    shutdown: ShutdownSettings
    logs: LogsSettings

    @classmethod
    def from_file(cls, path: pathlib.Path) -> Self:
        """Reads and checks a settings file.

        Raises:
            ConfigError: The file can't be read or has mistakes; all of them
                are listed, each with its key.
        """
        return cls.from_config(toml_files.read_toml(path), subject=str(path))

    @classmethod
    def from_config(
        cls, config: dict[str, Any], subject: str = "settings"
    ) -> Self:
        """Checks settings that have been read already.

        Raises:
            ConfigError: There are mistakes; all of them are listed.
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
    """Tells whether settings are those of such a host."""
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

"""Settings of an entry host for searches and actions, read from TOML."""

import pathlib
from typing import Any, Literal, Self

import pydantic

from greengagedale import exceptions
from greengagedale.config import option_types
from greengagedale.config import toml_files


class Section(pydantic.BaseModel):
    """A table of the settings; unknown keys are rejected."""

    model_config = pydantic.ConfigDict(extra="forbid", frozen=True, strict=True)


class HostSettings(Section):
    """Identity of the host, and where it listens."""

    name: option_types.Name
    data_centre: option_types.Name
    address: option_types.IpAddress
    caller_port: option_types.Port
    operator_port: option_types.Port
    peer_port: option_types.Port


class PlatformSettings(Section):
    """Connection to the platform's object API."""

    endpoint: option_types.Endpoint
    timeout_ms: option_types.DurationMs = 1000
    watch_wait_ms: option_types.DurationMs = 2000


class PeersSettings(Section):
    """Communication with peers; seeds are known before the platform answers."""

    seeds: list[option_types.Endpoint] = []
    advertised_endpoint: option_types.Endpoint | None = None
    timeout_ms: option_types.DurationMs = 300
    max_bytes_per_s: option_types.Count = 1800


class ConnectionsSettings(Section):
    """Connections of callers and operators to the host.

    Attributes:
        max_held_mib: Maximum memory of requests and responses that are being
            received, run or sent, in MiB.
        max_descriptors: Maximum number of open descriptors of the process; the
            limit of the operating system is used if it is lower.
    """

    max_held_mib: option_types.Count = 32
    max_descriptors: option_types.Count = 4096


class CallersSettings(Section):
    """Limits of caller requests, and the lifetime of locate replies."""

    locate_ttl_ms: option_types.DurationMs = 2000
    max_body_bytes: option_types.SizeBytes = 64 * 1024
    max_timeout_ms: option_types.DurationMs = 10_000
    record_requests: option_types.Count = 2000


class ActionsSettings(Section):
    """Non-idempotent requests (actions) and their idempotency keys."""

    ticket_life_ms: option_types.DurationMs = 30_000
    retention_ms: option_types.DurationMs = 30_000
    most_keys: option_types.Count = 20_000


class ConfigurationSettings(Section):
    """Acceptance of configuration changes."""

    accept_timeout_ms: option_types.DurationMs = 10_000


class UpstreamsSettings(Section):
    """Connections to upstreams."""

    connect_timeout_ms: option_types.DurationMs = 200
    spare_connections: option_types.Count = 2
    idle_check_ms: option_types.DurationMs = 5000


class RoutingSettings(Section):
    """Routing of attempts; the policy `plain` is a baseline for benchmarks."""

    policy: Literal["adaptive", "plain"] = "adaptive"
    retry_share: option_types.Fraction = 0.1


class LimitsSettings(Section):
    """Admission and concurrency limits; `none` disables a limit.

    Attributes:
        admission: Admission policy for requests.
        concurrency: Algorithm that adjusts the concurrency limit of each
            upstream to its behaviour.
        canary: Searches that send one sub-request ahead of the others, as a
            canary (see `limits.quarantine.Canary`).
    """

    admission: Literal["fair", "none"] = "fair"
    concurrency: Literal["gradient", "aimd", "fixed", "none"] = "aimd"
    canary: Literal["always", "after_deaths", "suspected"] = "after_deaths"


class ShutdownSettings(Section):
    """Shutdown of the host."""

    hard_limit_ms: option_types.DurationMs = 30_000
    spread_ms: option_types.DurationMs = 2000


class DrainSettings(Section):
    """Detection of draining upstreams."""

    poll_interval_ms: option_types.DurationMs = 1000


class LogsSettings(Section):
    """Logging of the process."""

    level: Literal["DEBUG", "INFO", "WARNING", "ERROR"] = "INFO"


class Settings(Section):
    """All settings of an entry host."""

    host: HostSettings
    platform: PlatformSettings
    peers: PeersSettings = PeersSettings()
    connections: ConnectionsSettings = ConnectionsSettings()
    callers: CallersSettings = CallersSettings()
    actions: ActionsSettings = ActionsSettings()
    configuration: ConfigurationSettings = ConfigurationSettings()
    upstreams: UpstreamsSettings = UpstreamsSettings()
    limits: LimitsSettings = LimitsSettings()
    routing: RoutingSettings = RoutingSettings()
    shutdown: ShutdownSettings = ShutdownSettings()
    drain: DrainSettings = DrainSettings()
    logs: LogsSettings = LogsSettings()

    @pydantic.model_validator(mode="after")
    def _check_ticket_life(self) -> Self:
        needed_ms = self.callers.locate_ttl_ms + self.callers.max_timeout_ms
        if self.actions.ticket_life_ms < needed_ms:
            raise ValueError(
                "actions.ticket_life_ms must be at least "
                f"callers.locate_ttl_ms + callers.max_timeout_ms = {needed_ms}"
            )
        return self

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
        try:
            return cls.model_validate(config)
        except pydantic.ValidationError as error:
            raise exceptions.ConfigError(
                subject, to_field_errors(error)
            ) from error


def to_field_errors(
    error: pydantic.ValidationError,
) -> list[exceptions.FieldError]:
    """Converts a pydantic error to field errors with dotted keys."""
    return [
        exceptions.FieldError(
            ".".join(str(part) for part in item["loc"]) or "(top)",
            _error_message(item["type"], item["msg"]),
        )
        for item in error.errors()
    ]


def _error_message(kind: str, message: str) -> str:
    if kind == "extra_forbidden":
        return "unknown key; check its spelling and the unit in its name"
    if kind == "missing":
        return "missing"
    return message.removeprefix("Value error, ")

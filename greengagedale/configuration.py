"""The active configuration of this host, and results of changes to it."""

import dataclasses
import itertools
import logging
from typing import ClassVar, NamedTuple

from greengagedale import clocks
from greengagedale import exceptions
from greengagedale.catalog import catalogs
from greengagedale.catalog import edits
from greengagedale.catalog import services

log = logging.getLogger(__name__)


@dataclasses.dataclass(frozen=True, slots=True)
class Accepted:
    """The change was added to the catalog at this revision."""

    tag: ClassVar[str] = "accepted"
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class NotAccepted:
    """The change is not in the catalog and will not be added to it later.

    Attributes:
        reason: Label for counters: `invalid`, `conflict`, `too_large`,
            `expired`, `platform_down`, `busy` or `unreadable`.
        detail: Explanation for the operator.
        field_errors: All validation errors of the change.
        conflicts: Concurrent changes that the change conflicts with.
    """

    tag: ClassVar[str] = "not_accepted"
    reason: str
    detail: str
    field_errors: list[exceptions.FieldError] = dataclasses.field(
        default_factory=list
    )
    conflicts: list[edits.Conflict] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(frozen=True, slots=True)
class AcceptanceUnknown:
    """It is unknown whether the change was accepted.

    The operator can ask for its status again by the change id.
    """

    tag: ClassVar[str] = "unknown"
    change_id: str
    detail: str


@dataclasses.dataclass(frozen=True, slots=True)
class Absent:
    """The newest catalog that was read does not contain the change."""

    tag: ClassVar[str] = "not_accepted"
    as_of_revision: int


ChangeResult = Accepted | NotAccepted | AcceptanceUnknown
ChangeStatus = Accepted | Absent | AcceptanceUnknown


class StoredService(NamedTuple):
    """The stored object of a service, in the form that hosts exchange.

    Attributes:
        name: Name of the service.
        version: Version that the platform assigned to the object.
        value: The encoded object.
    """

    name: str
    version: int
    value: bytes


_MAX_DOCUMENT_BYTES_PER_MESSAGE = 2_000_000


class ActiveConfiguration:
    """The configuration and services in use on this host.

    The revision of the configuration and the versions of services never
    decrease.

    Attributes:
        current: The active configuration.
        services: Services by name.
        configuration_known: Whether the configuration was received from the
            platform or another host; False right after the start.
        services_known: Whether the services were received from the platform
            or another host; False right after the start.
    """

    def __init__(self, clock: clocks.Clock | None = None) -> None:
        self._clock = clock or clocks.MonotonicClock()
        self._current_as_of_ms: float | None = None
        self._stored_services: dict[str, StoredService] = {}
        self.current = catalogs.EMPTY
        self.services: dict[str, services.Service] = {}
        self.configuration_known = False
        self.services_known = False

    @property
    def loaded(self) -> bool:
        """Whether both the configuration and the services are known."""
        return self.configuration_known and self.services_known

    def apply_if_newer(self, candidate: catalogs.Configuration) -> bool:
        """Activates a configuration if its revision is higher.

        Returns:
            Whether it was activated.
        """
        if candidate.revision <= self.current.revision:
            return False
        self.current = candidate
        log.info(
            "configuration in force", extra={"revision": candidate.revision}
        )
        return True

    def mark_current(self, age_ms: float = 0.0) -> None:
        """Records that the configuration was the newest one `age_ms` ago."""
        at_ms = self._clock.now_ms() - age_ms
        self._current_as_of_ms = max(self._current_as_of_ms or at_ms, at_ms)

    def age_ms(self) -> float | None:
        """Returns the time since the configuration was known to be current.

        Returns:
            Milliseconds, or None if it was never known to be current.
        """
        if self._current_as_of_ms is None:
            return None
        return self._clock.now_ms() - self._current_as_of_ms

    def apply_service_if_newer(self, candidate: StoredService) -> bool:
        """Stores a service if its version is higher.

        Returns:
            Whether it was stored.

        Raises:
            msgspec.DecodeError: The value is not a valid service.
        """
        stored = self._stored_services.get(candidate.name)
        if stored is not None and candidate.version <= stored.version:
            return False
        self.services[candidate.name] = services.decode_service(*candidate)
        self._stored_services[candidate.name] = candidate
        return True

    def newer_services(self, known: dict[str, int]) -> list[StoredService]:
        """Returns services that are newer than or missing from `known`."""
        return [
            item
            for item in self._stored_services.values()
            if item.version > known.get(item.name, 0)
        ]

    def documents_for_message(self, names: list[str]) -> dict[str, bytes]:
        """Returns the first named documents that fit in one message."""
        stored = self.current.encoded.documents
        found = {name: stored[name] for name in names if name in stored}
        sizes = itertools.accumulate(len(value) for value in found.values())
        return {
            name: found[name]
            for name, size in zip(found, sizes, strict=True)
            if size <= _MAX_DOCUMENT_BYTES_PER_MESSAGE
        }

    def service_versions(self) -> dict[str, int]:
        """Returns the stored version of each service by name."""
        return {
            item.name: item.version for item in self._stored_services.values()
        }

"""Interface to the platform's object API, independent of its wire protocol."""

import abc
import dataclasses
from typing import NamedTuple


class StoredObject(NamedTuple):
    """An object with the version assigned by the platform."""

    kind: str
    name: str
    version: int
    value: bytes


class PlatformHost(NamedTuple):
    """A host in the platform's host list, which may be out of date.

    Attributes:
        name: Name of the host.
        data_centre: Data centre of the host.
        caller_endpoint: Endpoint for callers.
        peer_endpoint: Endpoint for other hosts.
        leaving: Whether the host is leaving.
    """

    name: str
    data_centre: str
    caller_endpoint: str
    peer_endpoint: str
    leaving: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Found:
    """The object exists."""

    stored: StoredObject


@dataclasses.dataclass(frozen=True, slots=True)
class NotFound:
    """The object does not exist."""


@dataclasses.dataclass(frozen=True, slots=True)
class Written:
    """The write took effect."""

    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class Conflict:
    """The version of the object differs from the expected one.

    HTTP client libraries may resend a write when a connection breaks, so this
    write itself may have created the other version. The caller must read the
    object to find out.
    """


@dataclasses.dataclass(frozen=True, slots=True)
class Unavailable:
    """The call did not take effect."""

    detail: str


@dataclasses.dataclass(frozen=True, slots=True)
class WriteOutcomeUnknown:
    """The write may have taken effect.

    The caller must read the object to find out.
    """

    detail: str


@dataclasses.dataclass(frozen=True, slots=True)
class Changes:
    """The changed objects of one kind, with the cursor of the next watch."""

    objects: list[StoredObject]
    cursor: int


class ObjectStore(abc.ABC):
    """Versioned objects with conditional updates and watches."""

    @abc.abstractmethod
    async def get(self, kind: str, name: str) -> Found | NotFound | Unavailable:
        """Reads one object."""

    @abc.abstractmethod
    async def put(
        self, kind: str, name: str, value: bytes, expected_version: int
    ) -> Written | Conflict | Unavailable | WriteOutcomeUnknown:
        """Writes an object if its version is still the expected one.

        Args:
            kind: Kind of the object.
            name: Name of the object.
            value: New value, at most one megabyte.
            expected_version: Version to replace; 0 to create the object.
        """

    @abc.abstractmethod
    async def delete(
        self, kind: str, name: str, expected_version: int
    ) -> Written | Conflict | Unavailable | WriteOutcomeUnknown:
        """Deletes an object if its version is still the expected one."""

    @abc.abstractmethod
    async def list_names(self, kind: str) -> list[str] | Unavailable:
        """Lists the names of all objects of a kind."""

    @abc.abstractmethod
    async def watch(
        self, kind: str, cursor: int, wait_ms: int
    ) -> Changes | Unavailable:
        """Waits for changes of objects of a kind.

        Args:
            kind: Kind of the objects.
            cursor: Cursor returned by the last watch; 0 returns all objects.
            wait_ms: Maximum time to wait; if nothing changes, the result is
                empty.
        """

    @abc.abstractmethod
    async def list_hosts(self) -> list[PlatformHost] | Unavailable:
        """Lists the running and leaving hosts known to the platform."""

    @abc.abstractmethod
    async def close(self) -> None:
        """Closes all connections."""

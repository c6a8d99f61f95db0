"""The interface to the platform's object API, whatever its wire details."""

import abc
import dataclasses
from typing import NamedTuple


class StoredObject(NamedTuple):
    """An object with the version that the platform gave it."""

    kind: str
    name: str
    version: int
    value: bytes


class PlatformHost(NamedTuple):
    """A host as the platform lists it; the list lags.

    Attributes:
        name: Name of the host.
        data_centre: Where it runs.
        caller_endpoint: Where callers connect.
        peer_endpoint: Where other hosts connect.
        leaving: Whether it is on its way out.
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
    """There is no such object."""


@dataclasses.dataclass(frozen=True, slots=True)
class Written:
    """The write took effect."""

    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class Conflict:
    """The object has another version than the expected one.

    Client libraries may send a write again when a connection breaks, so the
    other version can be due to this very write; only reading tells.
    """


@dataclasses.dataclass(frozen=True, slots=True)
class Unavailable:
    """The call did not take effect."""

    detail: str


@dataclasses.dataclass(frozen=True, slots=True)
class WriteOutcomeUnknown:
    """The write may have taken effect; only reading tells."""

    detail: str


@dataclasses.dataclass(frozen=True, slots=True)
class Changes:
    """Objects of one kind that changed, and where to watch on from."""

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
            value: At most a megabyte.
            expected_version: Version to replace; 0 to create it.
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
        """Waits for changes of a kind, at most for the given time.

        Args:
            kind: Kind of the objects.
            cursor: Where the last watch ended; 0 gives all objects.
            wait_ms: After this long an empty answer comes.
        """

    @abc.abstractmethod
    async def list_hosts(self) -> list[PlatformHost] | Unavailable:
        """Lists live and leaving hosts, as the platform knows them."""

    @abc.abstractmethod
    async def close(self) -> None:
        """Closes all connections."""

"""The interface between hosts, whatever its wire details are."""

import abc
from typing import NamedTuple

from greengagedale import configuration
from greengagedale import records


class PeerStatus(NamedTuple):
    """What a host says of itself.

    Attributes:
        name: Name of the host.
        data_centre: Where it runs.
        incarnation: Identifies one life of its process.
        caller_endpoint: Where callers connect.
        revision: Revision of the configuration in force.
        ready: Whether it knows enough to serve.
        leaving: Whether it is on its way out.
        running: Requests in progress.
    """

    name: str
    data_centre: str
    incarnation: str
    caller_endpoint: str
    revision: int
    ready: bool
    leaving: bool
    running: int


class SharedCatalog(NamedTuple):
    """A catalog in force on a host, for another to take over.

    Attributes:
        revision: Its revision.
        value: The catalog as the platform keeps it.
        age_ms: How long ago the host knew that it was current, if ever.
    """

    revision: int
    value: bytes
    age_ms: float | None


class PeerService(abc.ABC):
    """What a host answers to other hosts."""

    @abc.abstractmethod
    def status(self) -> PeerStatus:
        """Returns the status of this host."""

    @abc.abstractmethod
    def explain(self, request_id: str) -> records.Record | None:
        """Returns the record of a request that this host served."""

    @abc.abstractmethod
    def catalog(self) -> SharedCatalog | None:
        """Returns the catalog in force, None if nothing is known."""

    @abc.abstractmethod
    def shared_documents(self, names: list[str]) -> dict[str, bytes]:
        """Returns the first of the named documents, as fit in one message."""

    @abc.abstractmethod
    def newer_services(
        self, known: dict[str, int]
    ) -> list[configuration.StoredService] | None:
        """Returns services of higher versions, None if nothing is known."""


class PeerTransport(abc.ABC):
    """Asks other hosts; None stands for no answer."""

    @abc.abstractmethod
    async def status(self, endpoint: str) -> PeerStatus | None:
        """Asks a host for its status."""

    @abc.abstractmethod
    async def explain(
        self, endpoint: str, request_id: str
    ) -> records.Record | None:
        """Asks a host for the record of a request."""

    @abc.abstractmethod
    async def catalog(self, endpoint: str) -> SharedCatalog | None:
        """Asks a host for its catalog."""

    @abc.abstractmethod
    async def documents(
        self, endpoint: str, names: list[str]
    ) -> dict[str, bytes] | None:
        """Asks a host for documents; it may send only some of them."""

    @abc.abstractmethod
    async def services(
        self, endpoint: str, known: dict[str, int]
    ) -> list[configuration.StoredService] | None:
        """Asks a host for services of higher versions than the known."""

    @abc.abstractmethod
    async def close(self) -> None:
        """Closes all connections."""

"""The interface between hosts, whatever its wire details are."""

import abc
from collections.abc import Callable
from typing import NamedTuple

from greengagedale import configuration
from greengagedale import records
from greengagedale.membership import messages

PeerStatus = messages.PeerStatus


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
    def members(self) -> list[messages.Update]:
        """Returns what is known of all hosts, this one included."""

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
    async def members(self, endpoint: str) -> list[messages.Update] | None:
        """Asks a host what it knows of all hosts."""

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


Receiver = Callable[[messages.Datagram], list[messages.Outgoing]]


class DatagramTransport(abc.ABC):
    """Carries small messages that may be lost, doubled or reordered.

    Attributes:
        malformed: How many datagrams could not be read.
    """

    malformed: int = 0

    @abc.abstractmethod
    def send(self, outgoing: list[messages.Outgoing]) -> None:
        """Sends messages, as far as the network takes them."""

    @abc.abstractmethod
    async def close(self) -> None:
        """Stops to send and to receive."""

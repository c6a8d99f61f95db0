"""The interface between hosts, whatever its wire details are."""

import abc
from collections.abc import Callable

from greengagedale import records
from greengagedale.membership import messages

PeerStatus = messages.PeerStatus


class PeerService(abc.ABC):
    """What a host answers to other hosts."""

    @abc.abstractmethod
    def members(self) -> list[messages.Update]:
        """Returns what is known of all hosts, this one included."""

    @abc.abstractmethod
    def explain(self, request_id: str) -> records.Record | None:
        """Returns the record of a request that this host served."""


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

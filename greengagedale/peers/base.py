"""The interface between hosts, whatever its wire details are."""

import abc
from collections.abc import Callable
from typing import Any, NamedTuple

from greengagedale import configuration
from greengagedale import records
from greengagedale.membership import messages

PeerStatus = messages.PeerStatus


class ForwardedAction(NamedTuple):
    """A request that only one incarnation may run.

    Attributes:
        incarnation: The incarnation that may run it.
        request_id: Identifier of the request.
        key: The idempotency key.
        workspace: Workspace in which it runs.
        member: Member on whose behalf it runs.
        service: Service whose upstreams hold the document.
        target: Key of the document that it acts on.
        body: What to do.
        left_ms: Time left until the answer is due.
    """

    incarnation: str
    request_id: str
    key: str
    workspace: str
    member: str
    service: str
    target: int
    body: Any
    remaining_ms: float


class ForwardedResult(NamedTuple):
    """What became of a forwarded request.

    Attributes:
        outcome: Tag of the outcome.
        reason: Why it was not run or is unknown; empty if it ran.
        retry_after_ms: When to come back if it was not run.
        value: The answer if it ran.
        events: What the host did.
    """

    outcome: str
    reason: str
    retry_after_ms: int
    value: Any
    events: list[records.Event]


class SharedCatalog(NamedTuple):
    """A catalog in force on a host, for another to take over.

    Attributes:
        revision: Its revision.
        value: The catalog as the platform keeps it; empty if the asking host
            knows this revision.
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
    async def act_forwarded(self, request: ForwardedAction) -> ForwardedResult:
        """Runs a request that only this host may run."""

    @abc.abstractmethod
    def catalog(self, known_revision: int) -> SharedCatalog | None:
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
    async def act(
        self, endpoint: str, request: ForwardedAction
    ) -> ForwardedResult | None:
        """Forwards a request; without an answer it may have run."""

    @abc.abstractmethod
    async def catalog(
        self, endpoint: str, known_revision: int
    ) -> SharedCatalog | None:
        """Asks a host for its catalog, without the content if it is known."""

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


DatagramHandler = Callable[[messages.Datagram], list[messages.Outgoing]]


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

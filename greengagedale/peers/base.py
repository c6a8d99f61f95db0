"""Interfaces for communication between hosts, independent of the transport."""

import abc
from collections.abc import Callable
from typing import Any, NamedTuple

from greengagedale import configuration
from greengagedale import request_records
from greengagedale.membership import messages

PeerStatus = messages.PeerStatus


class ForwardedAction(NamedTuple):
    """A request forwarded to the only host incarnation that may run it.

    Attributes:
        incarnation: The incarnation that may run the request.
        request_id: Identifier of the request.
        key: Idempotency key of the request.
        workspace: Workspace in which the request runs.
        member: Member on whose behalf the request runs.
        service: Service whose upstreams hold the document.
        target: Key of the document that the request acts on.
        body: Action to run, as sent by the caller.
        remaining_ms: Time left until the deadline.
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
    """Outcome of a forwarded request.

    Attributes:
        outcome: Tag of the outcome.
        reason: Reason if the request was not run or its outcome is unknown;
            empty if it ran.
        retry_after_ms: Time to wait before a retry if the request was not run.
        value: Answer if the request ran.
        events: Events of the request on the host that ran it.
    """

    outcome: str
    reason: str
    retry_after_ms: int
    value: Any
    events: list[request_records.TraceEvent]


class SharedCatalog(NamedTuple):
    """The catalog in force on a host, sent to another host.

    Attributes:
        revision: Revision of the catalog.
        value: The catalog as stored on the platform; empty if the requesting
            host already has this revision.
        age_ms: Time since the catalog was last known to be current; None if
            it never was.
    """

    revision: int
    value: bytes
    age_ms: float | None


class PeerService(abc.ABC):
    """Handlers of the requests that other hosts send to this host."""

    @abc.abstractmethod
    def members(self) -> list[messages.Update]:
        """Returns the known updates of all hosts, including this one."""

    @abc.abstractmethod
    def explain(self, request_id: str) -> request_records.RequestRecord | None:
        """Returns the record of a request that this host served."""

    @abc.abstractmethod
    async def act_forwarded(self, request: ForwardedAction) -> ForwardedResult:
        """Runs a request that was forwarded to this host."""

    @abc.abstractmethod
    def catalog(self, known_revision: int) -> SharedCatalog | None:
        """Returns the catalog in force, or None if this host has none."""

    @abc.abstractmethod
    def shared_documents(self, names: list[str]) -> dict[str, bytes]:
        """Returns as many of the named documents as fit into one message.

        Documents are added in the order of their names in the request.
        """

    @abc.abstractmethod
    def newer_services(
        self, known: dict[str, int]
    ) -> list[configuration.StoredService] | None:
        """Returns the services that have higher versions than the known ones.

        Returns None if this host knows no services.
        """


class PeerTransport(abc.ABC):
    """Client for requests to other hosts; methods return None on failure."""

    @abc.abstractmethod
    async def members(self, endpoint: str) -> list[messages.Update] | None:
        """Requests the updates that a host has about all hosts."""

    @abc.abstractmethod
    async def explain(
        self, endpoint: str, request_id: str
    ) -> request_records.RequestRecord | None:
        """Requests the record of a request that a host served."""

    @abc.abstractmethod
    async def act(
        self, endpoint: str, request: ForwardedAction
    ) -> ForwardedResult | None:
        """Forwards a request; if there is no answer, it may have run."""

    @abc.abstractmethod
    async def catalog(
        self, endpoint: str, known_revision: int
    ) -> SharedCatalog | None:
        """Requests the catalog, without content if the revision is known."""

    @abc.abstractmethod
    async def documents(
        self, endpoint: str, names: list[str]
    ) -> dict[str, bytes] | None:
        """Requests documents; the host may return only some of them."""

    @abc.abstractmethod
    async def services(
        self, endpoint: str, known: dict[str, int]
    ) -> list[configuration.StoredService] | None:
        """Requests the services with higher versions than the known ones."""

    @abc.abstractmethod
    async def close(self) -> None:
        """Closes all connections."""


DatagramHandler = Callable[[messages.Datagram], list[messages.Outgoing]]


class DatagramTransport(abc.ABC):
    """Sends datagrams, which may be lost, duplicated or reordered.

    Attributes:
        malformed: Number of received datagrams that could not be decoded.
    """

    malformed: int = 0

    @abc.abstractmethod
    def send(self, outgoing: list[messages.Outgoing]) -> None:
        """Sends messages; those that the network does not accept are lost."""

    @abc.abstractmethod
    async def close(self) -> None:
        """Stops sending and receiving."""

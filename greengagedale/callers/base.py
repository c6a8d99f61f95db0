"""What callers can ask of a host, whatever the wire details are."""

import abc
from typing import Any, NamedTuple, TypedDict

from greengagedale import outcomes
from greengagedale import request_records


class LocatedHost(TypedDict):
    """A host that callers may use."""

    name: str
    data_centre: str
    endpoint: str


class LocateReply(TypedDict):
    """Hosts in the order to try them; kept for at most the TTL.

    Attributes:
        hosts: The hosts.
        ttl_ms: How long to keep the answer.
        revision: Revision of the configuration on the host that answers.
        ticket: Makes idempotency keys that this host may run; empty if the
            host is leaving.
    """

    hosts: list[LocatedHost]
    ttl_ms: int
    revision: int
    ticket: str


class SearchCall(NamedTuple):
    """A search as a caller asks for it; None takes the workspace's own."""

    workspace: str
    text: str
    limit: int | None
    timeout_ms: int | None


class ActionCall(NamedTuple):
    """A request that is not safe to repeat, as a caller asks for it.

    Attributes:
        workspace: Workspace to act in.
        key: The idempotency key.
        target: Key of the document that it acts on.
        body: What to do.
        timeout_ms: Time until the answer is due; None for the workspace's.
        first_send: Whether the caller never sent the key before.
    """

    workspace: str
    key: str
    target: int
    body: Any
    timeout_ms: int | None
    first_send: bool


class Reply(NamedTuple):
    """The outcome of a request, with its identifier."""

    request_id: str
    outcome: outcomes.Outcome


class CallerService(abc.ABC):
    """What a host does for callers."""

    @abc.abstractmethod
    def locate(self, data_centre: str | None) -> LocateReply:
        """Returns the hosts to use, best first for a data centre."""

    @abc.abstractmethod
    def has_workspace(self, workspace: str) -> bool:
        """Tells whether a workspace is in force."""

    @abc.abstractmethod
    def is_ready(self) -> bool:
        """Tells whether this host knows enough to serve."""

    @abc.abstractmethod
    async def search(self, call: SearchCall) -> Reply:
        """Runs a search."""

    @abc.abstractmethod
    async def act(self, call: ActionCall) -> Reply:
        """Runs a request that is not safe to repeat."""

    @abc.abstractmethod
    async def explain_from_any_host(
        self, request_id: str
    ) -> request_records.RequestRecord | None:
        """Returns what was done for a request, by whichever host."""

    @abc.abstractmethod
    def metrics(self) -> bytes:
        """Returns all metrics in the Prometheus text format."""

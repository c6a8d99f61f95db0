"""Interface of a host for callers, independent of the wire protocol."""

import abc
from typing import Any, NamedTuple, TypedDict

from greengagedale import outcomes
from greengagedale import request_records


class LocatedHost(TypedDict):
    """A host to which callers may connect."""

    name: str
    data_centre: str
    endpoint: str


class LocateReply(TypedDict):
    """Reply to a locate request.

    Attributes:
        hosts: Hosts in the order in which to try them.
        ttl_ms: Time for which the caller may cache the reply.
        revision: Revision of the configuration on the host that replies.
        ticket: Ticket for creating idempotency keys that this host may run;
            empty if the host is leaving.
    """

    hosts: list[LocatedHost]
    ttl_ms: int
    revision: int
    ticket: str


class SearchCall(NamedTuple):
    """A caller's search; None selects the workspace's default."""

    workspace: str
    text: str
    limit: int | None
    timeout_ms: int | None


class ActionCall(NamedTuple):
    """A caller's request that must not run twice.

    Attributes:
        workspace: Name of the workspace.
        key: The idempotency key.
        target: Key of the document that the action applies to.
        body: Body of the action.
        timeout_ms: Timeout of the request; None selects the workspace's
            default.
        first_send: Whether the caller sends the key for the first time.
    """

    workspace: str
    key: str
    target: int
    body: Any
    timeout_ms: int | None
    first_send: bool


class Reply(NamedTuple):
    """The outcome of a request with its identifier."""

    request_id: str
    outcome: outcomes.Outcome


class CallerService(abc.ABC):
    """Operations that a host provides to callers."""

    @abc.abstractmethod
    def locate(self, data_centre: str | None) -> LocateReply:
        """Returns the hosts to use, the best one for a data centre first."""

    @abc.abstractmethod
    def has_workspace(self, workspace: str) -> bool:
        """Returns whether the active configuration has a workspace."""

    @abc.abstractmethod
    def is_ready(self) -> bool:
        """Returns whether this host has all information it needs to serve."""

    @abc.abstractmethod
    async def search(self, call: SearchCall) -> Reply:
        """Runs a search."""

    @abc.abstractmethod
    async def act(self, call: ActionCall) -> Reply:
        """Runs a request that must not run twice."""

    @abc.abstractmethod
    async def explain_from_any_host(
        self, request_id: str
    ) -> request_records.RequestRecord | None:
        """Returns the record of a request, from whichever host served it."""

    @abc.abstractmethod
    def metrics(self) -> bytes:
        """Returns all metrics in the Prometheus text format."""

"""Interface to upstreams, independent of the transport."""

import abc
from typing import Any, NamedTuple

from greengagedale import outcomes
from greengagedale.query import attempts


class Upstream(NamedTuple):
    """One upstream of a service.

    Attributes:
        name: Name of the upstream, unique across all services.
        endpoint: IP address and port.
        data_centre: Data centre of the upstream.
        slots: Number of requests that it runs concurrently.
        connections: Number of connections that it accepts from all hosts
            together.
        leaving: Whether the platform lists it as leaving.
    """

    name: str
    endpoint: str
    data_centre: str
    slots: int
    connections: int
    leaving: bool = False


class SubSearch(NamedTuple):
    """A search of one key range, as sent to an upstream.

    Attributes:
        attempt: Attempt that the search belongs to.
        member: Member on whose behalf the search runs.
        text: Query text.
        limit: Maximum number of hits to return.
        timeout_ms: Time left until the caller's deadline.
    """

    attempt: attempts.Attempt
    member: str
    text: str
    limit: int
    timeout_ms: float


class Action(NamedTuple):
    """A request that is not safe to repeat, as sent to an upstream.

    Attributes:
        attempt_id: Identifier of the attempt, never reused by any host.
        key: Idempotency key of the caller.
        member: Member on whose behalf the action runs.
        target: Key of the document that the action acts on.
        body: Body of the action, passed on unchanged.
        timeout_ms: Time left until the caller's deadline.
    """

    attempt_id: str
    key: str
    member: str
    target: int
    body: Any
    timeout_ms: float


class ActionAnswered(NamedTuple):
    """Answer of an upstream that ran an action.

    Attributes:
        body: Body of the answer.
    """

    body: Any


class HealthReport(NamedTuple):
    """Health and load report of an upstream; it may be outdated or wrong.

    Attributes:
        state: `ready`, `cold` or `draining`.
        load: Number of running requests that the upstream reports.
    """

    state: str
    load: int


class UpstreamTransport(abc.ABC):
    """Sends attempts to upstreams.

    Failures of upstreams or of the network raise no exception; they are
    returned as `AttemptFailure`. Cancelling a call abandons the attempt.
    """

    @abc.abstractmethod
    async def search(
        self, upstream: Upstream, request: SubSearch
    ) -> attempts.AttemptResult:
        """Sends a search and returns how it ended."""

    @abc.abstractmethod
    async def act(
        self, upstream: Upstream, action: Action
    ) -> ActionAnswered | outcomes.AttemptFailure:
        """Sends an action at most once and returns how it ended."""

    @abc.abstractmethod
    async def cancel(self, upstream: Upstream, attempt_id: str) -> bool:
        """Cancels an attempt; returns whether the upstream confirmed it."""

    @abc.abstractmethod
    async def health(self, upstream: Upstream) -> HealthReport | None:
        """Requests the health report; returns None if there is no valid one."""

    async def prewarm(self, upstream: Upstream) -> None:  # noqa: B027
        """Opens spare connections in advance, if the transport has any."""

    async def check_idle(self) -> None:  # noqa: B027
        """Finds and closes idle connections that no longer respond."""

    @abc.abstractmethod
    async def close(self) -> None:
        """Closes all connections."""

"""The interface to upstreams, whatever their wire details are."""

import abc
from typing import Any, NamedTuple

from greengagedale import outcomes
from greengagedale.query import attempts


class Upstream(NamedTuple):
    """One upstream of a service.

    Attributes:
        name: Unique over all services.
        endpoint: IP number and port.
        data_centre: Where it runs.
        slots: Requests that it runs at once.
        connections: Connections that it accepts, over all hosts.
        leaving: Whether the platform says that it is leaving.
    """

    name: str
    endpoint: str
    data_centre: str
    slots: int
    connections: int
    leaving: bool = False


class SubSearch(NamedTuple):
    """A search for one range, as an upstream is asked for it.

    Attributes:
        attempt: The attempt that it belongs to.
        member: Member on whose behalf it runs.
        text: The query.
        limit: How many hits are wanted.
        timeout_ms: Time left until the caller's deadline.
    """

    attempt: attempts.Attempt
    member: str
    text: str
    limit: int
    timeout_ms: float


class Action(NamedTuple):
    """A request that is not safe to repeat, as an upstream is asked for it.

    Attributes:
        attempt_id: Unique over all hosts and time.
        key: The caller's idempotency key.
        member: Member on whose behalf it runs.
        target: Key of the document that it acts on.
        body: What to do, passed on as it is.
        timeout_ms: Time left until the caller's deadline.
    """

    attempt_id: str
    key: str
    member: str
    target: int
    body: Any
    timeout_ms: float


class ActionAnswered(NamedTuple):
    """An upstream ran an action; `body` is its answer."""

    body: Any


class HealthReport(NamedTuple):
    """What an upstream says of itself; it may lag or mislead.

    Attributes:
        state: `ready`, `cold` or `draining`.
        load: Requests that it says are running.
    """

    state: str
    load: int


class UpstreamTransport(abc.ABC):
    """Carries attempts to upstreams.

    No method raises for what upstreams or the network do: every end is a
    tagged outcome. Cancelling a call abandons the attempt.
    """

    @abc.abstractmethod
    async def search(
        self, upstream: Upstream, request: SubSearch
    ) -> attempts.AttemptResult:
        """Sends a search and returns how it ended."""

    @abc.abstractmethod
    async def act(
        self, upstream: Upstream, action: Action
    ) -> ActionAnswered | outcomes.AttemptEnd:
        """Sends an action, once, and returns how it ended."""

    @abc.abstractmethod
    async def cancel(self, upstream: Upstream, attempt_id: str) -> bool:
        """Asks an upstream to stop an attempt; True once it confirms."""

    @abc.abstractmethod
    async def health(self, upstream: Upstream) -> HealthReport | None:
        """Asks an upstream about itself; None if it does not say."""

    async def prewarm(self, upstream: Upstream) -> None:  # noqa: B027
        """Opens connections ahead of need, where that makes sense."""

    async def check_idle(self) -> None:  # noqa: B027
        """Finds connections that went silent while idle."""

    @abc.abstractmethod
    async def close(self) -> None:
        """Closes all connections."""

"""The interface between hosts, whatever its wire details are."""

import abc
from typing import NamedTuple

from greengagedale import records
from greengagedale.membership import news


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


class Heartbeat(NamedTuple):
    """What one host tells another regularly.

    Attributes:
        status: Status of the host that sends it.
        news: The newest facts that it knows.
    """

    status: PeerStatus
    news: list[news.News]


class PeerService(abc.ABC):
    """What a host answers to other hosts."""

    @abc.abstractmethod
    def status(self) -> PeerStatus:
        """Returns the status of this host."""

    @abc.abstractmethod
    def heartbeat(self, told: list[news.News]) -> Heartbeat:
        """Takes in what another host tells and answers with the same."""

    @abc.abstractmethod
    def explain(self, request_id: str) -> records.Record | None:
        """Returns the record of a request that this host served."""


class PeerTransport(abc.ABC):
    """Asks other hosts; None stands for no answer."""

    @abc.abstractmethod
    async def heartbeat(
        self, endpoint: str, told: list[news.News]
    ) -> Heartbeat | None:
        """Tells a host the news and returns its status and news."""

    @abc.abstractmethod
    async def explain(
        self, endpoint: str, request_id: str
    ) -> records.Record | None:
        """Asks a host for the record of a request."""

    @abc.abstractmethod
    async def close(self) -> None:
        """Closes all connections."""

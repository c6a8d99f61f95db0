"""The interface between hosts, whatever its wire details are."""

import abc
from typing import NamedTuple

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


class PeerService(abc.ABC):
    """What a host answers to other hosts."""

    @abc.abstractmethod
    def status(self) -> PeerStatus:
        """Returns the status of this host."""

    @abc.abstractmethod
    def explain(self, request_id: str) -> records.Record | None:
        """Returns the record of a request that this host served."""


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
    async def close(self) -> None:
        """Closes all connections."""

"""Where configuration and upstreams come from, whatever its wire details."""

import abc
import dataclasses

from greengagedale.gateway import entries
from greengagedale.gateway import plans
from greengagedale.gateway import roster


@dataclasses.dataclass(frozen=True, slots=True)
class Unavailable:
    """The source did not answer, or refused to."""

    detail: str


@dataclasses.dataclass(frozen=True, slots=True)
class HistoryGone:
    """The source no longer knows what changed since then; list again."""


@dataclasses.dataclass(frozen=True, slots=True)
class RoutesRead:
    """The configuration as of a revision; None if there is none.

    Attributes:
        routes: The configuration, or None if it is missing or unreadable.
        revision: Watch on from here.
    """

    routes: plans.Routes | None
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamsListed:
    """All upstreams as of a revision."""

    upstreams: list[entries.Upstream]
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamChange:
    """One change of an upstream's entry.

    Attributes:
        name: Name of the entry.
        upstream: What it says now; None if it is gone or unreadable.
    """

    name: str
    upstream: entries.Upstream | None


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamsChanged:
    """What changed up to a revision; may be empty."""

    changes: list[UpstreamChange]
    revision: int


class StoreApi(abc.ABC):
    """The platform's store, as far as the gateway reads it.

    Revisions rise with each change of anything in the store, and mean the
    same on every host.
    """

    @abc.abstractmethod
    async def list_upstreams(
        self, allow_stale: bool = False
    ) -> UpstreamsListed | Unavailable:
        """Reads all upstreams.

        Args:
            allow_stale: A cheaper answer that is seconds old will do; its
                revision means nothing.
        """

    @abc.abstractmethod
    async def watch_upstreams(
        self, revision: int, wait_ms: int
    ) -> UpstreamsChanged | HistoryGone | Unavailable:
        """Waits for changes after a revision, at most for the given time."""

    @abc.abstractmethod
    async def read_routes(
        self, allow_stale: bool = False
    ) -> RoutesRead | Unavailable:
        """Reads the configuration.

        Args:
            allow_stale: A cheaper answer that is seconds old will do; its
                revision means nothing.
        """

    @abc.abstractmethod
    async def watch_routes(
        self, revision: int, wait_ms: int
    ) -> RoutesRead | HistoryGone | Unavailable:
        """Waits for a change after a revision, at most for the given time.

        Without a change the routes are None.
        """

    @abc.abstractmethod
    async def ping(self) -> Unavailable | None:
        """Finds out cheaply whether the store still answers; None if so."""

    @abc.abstractmethod
    async def read_roster(self) -> roster.HostList | Unavailable:
        """Reads the list of hosts; `NONE_LISTED` if there is none."""

    @abc.abstractmethod
    async def write_roster(
        self, host_list: roster.HostList
    ) -> roster.HostList | Unavailable:
        """Replaces the list of hosts, if it is still the one that was read.

        Args:
            host_list: The hosts, with the revision of the list to replace.

        Returns:
            The list as written; `Unavailable` also if it was replaced by
            someone else, or if no answer tells.
        """

    @abc.abstractmethod
    async def close(self) -> None:
        """Closes all connections."""

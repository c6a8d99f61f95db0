"""Interface to the platform's store, independent of its wire format."""

import abc
import dataclasses

from greengagedale.gateway import evacuations as evacuations_lib
from greengagedale.gateway import roster
from greengagedale.gateway import route_config
from greengagedale.gateway import store_revision
from greengagedale.gateway import upstream_entries


@dataclasses.dataclass(frozen=True, slots=True)
class Unavailable:
    """The store did not answer, or refused the call.

    Attributes:
        detail: Description of the failure.
    """

    detail: str


@dataclasses.dataclass(frozen=True, slots=True)
class HistoryGone:
    """The store has dropped the changes since that revision; list again."""


@dataclasses.dataclass(frozen=True, slots=True)
class RoutesRead:
    """The configuration as of a revision.

    Attributes:
        routes: The configuration, or None if it is missing or unreadable.
        revision: Revision from which to continue watching.
    """

    routes: route_config.RouteConfiguration | None
    revision: store_revision.Revision


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamsListed:
    """All upstreams as of a revision."""

    upstreams: list[upstream_entries.Upstream]
    revision: store_revision.Revision


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamChange:
    """One change of an upstream's entry.

    Attributes:
        name: Name of the entry.
        upstream: The new entry; None if it was removed or is unreadable.
    """

    name: str
    upstream: upstream_entries.Upstream | None


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamsChanged:
    """The changes up to a revision; may be empty."""

    changes: list[UpstreamChange]
    revision: store_revision.Revision


class StoreApi(abc.ABC):
    """The part of the platform's store that the gateway uses.

    Revisions increase with each change of anything in the store, and are the
    same for every host. A store that returns from an older copy begins a new
    epoch, see `store_recovery`.

    Attributes:
        epoch: Latest epoch of the store in any answer; 0 if it has no epochs.
    """

    epoch: int = 0

    @abc.abstractmethod
    async def list_upstreams(
        self, allow_stale: bool = False
    ) -> UpstreamsListed | Unavailable:
        """Reads all upstreams.

        Args:
            allow_stale: Whether a cheaper answer that is seconds old will do;
                its revision must not be used.
        """

    @abc.abstractmethod
    async def watch_upstreams(
        self, revision: store_revision.Revision, wait_ms: int
    ) -> UpstreamsChanged | HistoryGone | Unavailable:
        """Waits for changes after a revision, for at most `wait_ms`.

        The history is gone if the store has begun another epoch.
        """

    @abc.abstractmethod
    async def read_routes(
        self, allow_stale: bool = False
    ) -> RoutesRead | Unavailable:
        """Reads the configuration.

        Args:
            allow_stale: Whether a cheaper answer that is seconds old will do;
                its revision must not be used.
        """

    @abc.abstractmethod
    async def watch_routes(
        self, revision: store_revision.Revision, wait_ms: int
    ) -> RoutesRead | HistoryGone | Unavailable:
        """Waits for a change after a revision, for at most `wait_ms`.

        The routes are None if nothing changed. The history is gone if the store
        has begun another epoch.
        """

    @abc.abstractmethod
    async def read_evacuations(
        self, allow_stale: bool = False
    ) -> evacuations_lib.EvacuationList | Unavailable:
        """Reads the evacuated data centres.

        Args:
            allow_stale: Whether a cheaper answer that is seconds old will do;
                its revision must not be used.
        """

    @abc.abstractmethod
    async def watch_evacuations(
        self, known: evacuations_lib.EvacuationList, wait_ms: int
    ) -> evacuations_lib.EvacuationList | HistoryGone | Unavailable:
        """Waits for changes of a list, for at most `wait_ms`.

        Returns:
            The list with the changes after its revision; only the revision
            differs if nothing changed.
        """

    @abc.abstractmethod
    async def ping(self) -> Unavailable | None:
        """Makes a cheap call to the store; returns None if it answers."""

    @abc.abstractmethod
    async def read_roster(self) -> roster.HostList | Unavailable:
        """Reads the host list; `EMPTY_HOST_LIST` if there is none.

        The epoch of its revision is that in which the list was written.
        """

    @abc.abstractmethod
    async def write_roster(
        self, host_list: roster.HostList
    ) -> roster.HostList | Unavailable:
        """Replaces the host list if its revision is still the expected one.

        Args:
            host_list: The new list, with the revision of the list to replace.

        Returns:
            The list as written; `Unavailable` also on a conflict with another
            writer, or if the result is unknown.
        """

    @abc.abstractmethod
    async def close(self) -> None:
        """Closes all connections."""

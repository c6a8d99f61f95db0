"""Interface of a host for operators, independent of the wire protocol."""

import abc

from greengagedale import configuration
from greengagedale.catalog import catalogs
from greengagedale.catalog import edits
from greengagedale.peers import base as peers_base


class OperatorService(abc.ABC):
    """Operations that a host provides to operators."""

    @abc.abstractmethod
    async def apply_change(
        self, change: edits.Change, first_attempt: bool
    ) -> configuration.ChangeResult:
        """Applies a change; returns whether it was accepted."""

    @abc.abstractmethod
    async def change_status(self, change_id: str) -> configuration.ChangeStatus:
        """Returns whether a change was accepted."""

    @abc.abstractmethod
    def current(self) -> catalogs.Configuration:
        """Returns the active configuration of this host."""

    @abc.abstractmethod
    def configuration_age_ms(self) -> float | None:
        """Returns the time since the configuration was known to be current."""

    @abc.abstractmethod
    async def configuration_ages(self) -> dict[str, float | None]:
        """Returns the age of each host's configuration, by host name.

        The age is the time since it was known to be current.
        """

    @abc.abstractmethod
    async def fleet(self) -> list[peers_base.PeerStatus]:
        """Returns the status of all hosts that answer."""

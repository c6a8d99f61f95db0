"""What operators can ask of a host, whatever the wire details are."""

import abc

from greengagedale import configuration
from greengagedale.catalog import catalogs
from greengagedale.catalog import edits
from greengagedale.peers import base as peers_base


class OperatorService(abc.ABC):
    """What a host does for operators."""

    @abc.abstractmethod
    async def apply_change(
        self, change: edits.Change, first_attempt: bool
    ) -> configuration.ChangeResult:
        """Gets a change accepted, or says why not."""

    @abc.abstractmethod
    async def change_status(self, change_id: str) -> configuration.ChangeStatus:
        """Finds out what became of a change."""

    @abc.abstractmethod
    def current(self) -> catalogs.Configuration:
        """Returns the configuration in force on this host."""

    @abc.abstractmethod
    def configuration_age_ms(self) -> float | None:
        """Returns how long ago the configuration was known to be current."""

    @abc.abstractmethod
    async def configuration_ages(self) -> dict[str, float | None]:
        """Returns how long ago each host knew that it was current, by name."""

    @abc.abstractmethod
    async def fleet(self) -> list[peers_base.PeerStatus]:
        """Returns the status of every host that answers."""

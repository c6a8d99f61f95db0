"""What operators can ask of a host, whatever the wire details are."""

import abc

from greengagedale import configuration
from greengagedale.catalog import catalogs
from greengagedale.peers import base as peers_base


class OperatorService(abc.ABC):
    """What a host does for operators."""

    @abc.abstractmethod
    async def change(
        self, change: catalogs.Change
    ) -> configuration.ChangeResult:
        """Gets a change accepted, or says why not."""

    @abc.abstractmethod
    def current(self) -> catalogs.Configuration:
        """Returns the configuration in force on this host."""

    @abc.abstractmethod
    async def fleet(self) -> list[peers_base.PeerStatus]:
        """Returns the status of every host that answers."""

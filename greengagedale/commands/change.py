"""`greengagedale change`: shows the outcome of a configuration change."""

from greengagedale.commands import configuration_changes
from greengagedale.commands import host_api


def change(host: host_api.OperatorEndpoint, change_id: str) -> None:
    """Show whether a change was accepted, by its id."""
    configuration_changes.show_change(host, change_id)

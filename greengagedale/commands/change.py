"""`greengagedale change`: tells what became of a change."""

from greengagedale.commands import changes
from greengagedale.commands import remote


def change(host: remote.OperatorEndpoint, change_id: str) -> None:
    """Show whether a change was accepted, by its id."""
    changes.show_change(host, change_id)

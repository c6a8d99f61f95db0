"""`greengagedale status`: shows the state of every host of a deployment."""

from typing import Annotated, Any

import rich.console
import rich.table
import typer

from greengagedale.commands import host_api

_COLUMNS = (
    "name",
    "data_centre",
    "caller_endpoint",
    "revision",
    "configuration_age_ms",
    "ready",
    "leaving",
    "running",
)


def status(
    host: host_api.OperatorEndpoint,
    as_json: Annotated[
        bool, typer.Option("--json", help="One JSON line, no table.")
    ] = False,
) -> None:
    """Show the state of every host that answers."""
    fleet = host_api.run(host_api.fetch(host, "/v1/fleet"))
    if as_json:
        host_api.show(fleet)
        return
    rich.console.Console().print(_make_table(fleet["hosts"]))


def _make_table(hosts: list[dict[str, Any]]) -> rich.table.Table:
    table = rich.table.Table(*_COLUMNS)
    for host in sorted(hosts, key=lambda item: item["name"]):
        table.add_row(*(str(host[column]) for column in _COLUMNS))
    return table

"""`greengagedale locate`: shows which hosts a caller should use."""

from typing import Annotated

import typer

from greengagedale.commands import host_api


def locate(
    host: host_api.CallerEndpoint,
    data_centre: Annotated[
        str | None, typer.Option(help="Data centre of the caller.")
    ] = None,
) -> None:
    """Show the hosts to use, best first, and how long to keep the answer."""
    suffix = f"?data_centre={data_centre}" if data_centre else ""
    host_api.show(host_api.run(host_api.fetch(host, f"/v1/locate{suffix}")))

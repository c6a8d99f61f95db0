"""`greengagedale locate`: shows which hosts a caller should use."""

from typing import Annotated

import typer

from greengagedale.commands import remote


def locate(
    host: remote.CallerEndpoint,
    data_centre: Annotated[
        str | None, typer.Option(help="Data centre of the caller.")
    ] = None,
) -> None:
    """Show the hosts to use, best first, and how long to keep the answer."""
    suffix = f"?data_centre={data_centre}" if data_centre else ""
    remote.show(remote.run(remote.fetch(host, f"/v1/locate{suffix}")))

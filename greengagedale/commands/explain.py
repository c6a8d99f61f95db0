"""`greengagedale explain`: shows what was done for a request."""

from typing import Annotated

import typer

from greengagedale.commands import remote


def explain(
    host: remote.CallerEndpoint,
    request_id: Annotated[str, typer.Argument(help="From the answer.")],
) -> None:
    """Show what was done for a recent request, and why."""
    remote.show(remote.run(remote.fetch(host, f"/v1/explain/{request_id}")))

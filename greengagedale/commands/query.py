"""`greengagedale query`: runs one search through the caller interface."""

from typing import Annotated

import typer

from greengagedale import client as client_lib
from greengagedale import outcomes
from greengagedale.commands import host_api

EXIT_NOT_RUN = 3
EXIT_UNKNOWN = 4


def query(
    host: host_api.CallerEndpoint,
    workspace: Annotated[str, typer.Argument(help="Workspace to search.")],
    text: Annotated[str, typer.Argument(help="What to search for.")],
    limit: Annotated[int | None, typer.Option(min=1, help="Most hits.")] = None,
    timeout_ms: Annotated[
        int | None, typer.Option(min=1, help="Time until the answer is due.")
    ] = None,
) -> None:
    """Run one search and print the answer as a JSON line."""
    outcome = host_api.run(_query(host, workspace, text, limit, timeout_ms))
    show_outcome(outcome)


def show_outcome(outcome: outcomes.Outcome) -> None:
    """Prints an outcome and exits with its exit code if it is not `Ran`."""
    match outcome:
        case outcomes.Ran(value):
            host_api.show(value)
        case outcomes.NotRun(reason, retry_after_ms):
            host_api.show(
                {
                    "outcome": outcome.tag,
                    "reason": reason,
                    "retry_after_ms": retry_after_ms,
                }
            )
            raise typer.Exit(EXIT_NOT_RUN)
        case outcomes.Unknown(reason):
            host_api.show({"outcome": outcome.tag, "reason": reason})
            raise typer.Exit(EXIT_UNKNOWN)


async def _query(
    host: str,
    workspace: str,
    text: str,
    limit: int | None,
    timeout_ms: int | None,
) -> outcomes.Outcome:
    client = client_lib.Client.from_config([host])
    try:
        return await client.search(workspace, text, limit, timeout_ms)
    finally:
        await client.close()

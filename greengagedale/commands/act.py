"""`greengagedale act`: runs one non-idempotent request."""

from typing import Annotated, Any

import msgspec
import typer

from greengagedale import client as client_lib
from greengagedale import exceptions
from greengagedale import outcomes
from greengagedale import untrusted_json
from greengagedale.commands import host_api
from greengagedale.commands import query


def act(
    host: host_api.CallerEndpoint,
    workspace: Annotated[str, typer.Argument(help="Workspace to act in.")],
    target: Annotated[int, typer.Argument(help="Key of the document.")],
    body: Annotated[str, typer.Argument(help="What to do, in JSON.")],
    key: Annotated[
        str | None, typer.Option(help="Idempotency key; made up if absent.")
    ] = None,
    first_send: Annotated[
        bool, typer.Option(help="The key was never sent before.")
    ] = False,
    timeout_ms: Annotated[
        int | None, typer.Option(min=1, help="Time until the answer is due.")
    ] = None,
) -> None:
    """Run one booking or the like, at most once, and print the answer."""
    try:
        decoded = untrusted_json.decode(body)
    except msgspec.DecodeError as error:
        field_error = exceptions.FieldError("body", f"is not JSON: {error}")
        raise exceptions.InvalidInputError("request", [field_error]) from error
    outcome = host_api.run(
        _act(host, workspace, target, decoded, key, timeout_ms, first_send)
    )
    query.show_outcome(outcome)


async def _act(
    host: str,
    workspace: str,
    target: int,
    body: Any,
    key: str | None,
    timeout_ms: int | None,
    first_send: bool,
) -> outcomes.Outcome:
    client = client_lib.Client.from_config([host])
    try:
        return await client.act(
            workspace, target, body, key, timeout_ms, first_send
        )
    finally:
        await client.close()

"""What the commands that change configuration have in common."""

import asyncio
import pathlib
import secrets
import time
import tomllib
from typing import Annotated, Any

import msgspec
import typer

from greengagedale import exceptions
from greengagedale.commands import remote
from greengagedale.operators import wire

EXIT_NOT_ACCEPTED = 3
EXIT_UNKNOWN = 4

_CHANGE_ID_BYTES = 12
_WAIT_S = 10.0
_POLL_S = 0.1
_STATUS_UNKNOWN = 502
_STATUS_OK = 200

File = Annotated[pathlib.Path, typer.Argument(help="Document, in TOML.")]
Wait = Annotated[
    bool, typer.Option("--wait", help="Wait until every host has it in force.")
]


def read_document(path: pathlib.Path) -> dict[str, Any]:
    """Reads a TOML document with a name.

    Raises:
        InvalidInputError: It can't be read or has no name.
    """
    try:
        document = tomllib.loads(path.read_text(encoding="utf-8"))
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError) as error:
        mistake = exceptions.Mistake("(file)", str(error))
        raise exceptions.InvalidInputError(str(path), [mistake]) from error
    if not isinstance(document.get("name"), str):
        mistake = exceptions.Mistake("name", "missing")
        raise exceptions.InvalidInputError(str(path), [mistake])
    return document


def change(
    method: str, host: str, path: str, document: Any, wait: bool
) -> None:
    """Asks for a change, prints the result and ends with its exit code."""
    body = msgspec.json.encode(document) if document is not None else None
    result = remote.run(_change(method, host, path, body, wait))
    if result.status == _STATUS_OK:
        remote.show(result.body)
        return
    typer.echo(f"Error: {remote.message_of(result)}", err=True)
    remote.show(result.body)
    unknown = result.status == _STATUS_UNKNOWN
    raise typer.Exit(EXIT_UNKNOWN if unknown else EXIT_NOT_ACCEPTED)


async def _change(
    method: str, host: str, path: str, body: bytes | None, wait: bool
) -> remote.Reply:
    change_id = secrets.token_hex(_CHANGE_ID_BYTES)
    headers = {wire.HEADER_CHANGE_ID: change_id}
    reply = await remote.ask(method, host, path, body, headers)
    if reply.status != _STATUS_OK or not wait:
        return reply
    hosts = await _wait_for(host, reply.body["revision"])
    return remote.Reply(reply.status, {**reply.body, "hosts": hosts})


async def _wait_for(host: str, revision: int) -> dict[str, int]:
    until = time.monotonic() + _WAIT_S
    while True:
        fleet = await remote.fetch(host, "/v1/fleet")
        hosts = {item["name"]: item["revision"] for item in fleet["hosts"]}
        if all(have >= revision for have in hosts.values()):
            return hosts
        if time.monotonic() > until:
            raise exceptions.RemoteError(
                f"accepted at revision {revision}, but not yet in force on "
                f"every host: {hosts}"
            )
        await asyncio.sleep(_POLL_S)

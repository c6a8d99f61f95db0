"""What the commands that change configuration have in common."""

import asyncio
import pathlib
import time
import tomllib
from typing import Annotated, Any, NamedTuple

import msgspec
import typer

from greengagedale import exceptions
from greengagedale.commands import remote
from greengagedale.operators import wire

EXIT_NOT_ACCEPTED = 3
EXIT_UNKNOWN = 4
EXIT_NOT_EVERYWHERE = 5

_WAIT_S = 10.0
_POLL_S = 0.1
_STATUS_UNKNOWN = 502
_STATUS_OK = 200
_ACCEPTED = "accepted"
_UNKNOWN = "unknown"

File = Annotated[pathlib.Path, typer.Argument(help="Document, in TOML.")]
Wait = Annotated[
    bool, typer.Option("--wait", help="Wait until every host has it in force.")
]
Version = Annotated[
    str | None,
    typer.Option(
        "--if-version",
        help="Only if the document still has this version, as `get` shows it.",
    ),
]


class Request(NamedTuple):
    """A change as it is sent to a host.

    Attributes:
        method: HTTP method.
        path: Path of the document.
        document: The document, None to delete it.
        version: Version that it must still have, if any.
    """

    method: str
    path: str
    document: dict[str, Any] | None = None
    version: str | None = None


def read_document(path: pathlib.Path) -> dict[str, Any]:
    """Reads a TOML document with a name.

    Raises:
        InvalidInputError: It can't be read or has no name.
    """
    try:
        document = tomllib.loads(path.read_text(encoding="utf-8"))
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError) as error:
        mistake = exceptions.FieldError("(file)", str(error))
        raise exceptions.InvalidInputError(str(path), [mistake]) from error
    if not isinstance(document.get("name"), str):
        mistake = exceptions.FieldError("name", "missing")
        raise exceptions.InvalidInputError(str(path), [mistake])
    return document


def change(host: str, request: Request, wait: bool) -> None:
    """Asks for a change, prints the result and ends with its exit code."""
    _finish(remote.run(_change(host, request, wait)))


def follow_up(host: str, change_id: str) -> None:
    """Prints what became of a change and ends with its exit code."""
    path = f"/v1/changes/{change_id}"
    _finish(remote.run(remote.ask("GET", host, path)))


def show_document(host: str, path: str) -> None:
    """Prints a document that is in force, with its version.

    Raises:
        RemoteError: The host answers with an error, or not at all.
    """
    reply = remote.run(remote.ask("GET", host, path))
    if reply.status != _STATUS_OK:
        raise exceptions.RemoteError(remote.message_of(reply))
    remote.show({**reply.body, "version": reply.version})


def _finish(reply: remote.Reply) -> None:
    remote.show(reply.body)
    outcome = reply.body.get("outcome")
    if outcome == _ACCEPTED and not reply.body.get("pending"):
        return
    if outcome == _ACCEPTED:
        pending = ", ".join(reply.body["pending"])
        typer.echo(f"Error: accepted, but not yet on {pending}", err=True)
        raise typer.Exit(EXIT_NOT_EVERYWHERE)
    typer.echo(f"Error: {_message_of(reply)}", err=True)
    raise typer.Exit(EXIT_UNKNOWN if outcome == _UNKNOWN else EXIT_NOT_ACCEPTED)


def _message_of(reply: remote.Reply) -> str:
    if reply.body.get("outcome") == _UNKNOWN:
        change_id = reply.body["change_id"]
        return (
            f"unknown whether it was accepted: {remote.message_of(reply)}; "
            f"ask with: greengagedale change {change_id}"
        )
    if "as_of_revision" in reply.body:
        return f"not accepted as of revision {reply.body['as_of_revision']}"
    return remote.message_of(reply)


async def _change(host: str, request: Request, wait: bool) -> remote.Reply:
    made = await remote.ask("POST", host, "/v1/changes")
    if made.status != _STATUS_OK:
        raise exceptions.RemoteError(remote.message_of(made))
    reply = await _send(host, request, made.body["change_id"])
    if reply.body.get("outcome") != _ACCEPTED or not wait:
        return reply
    revisions = await _wait_for(host, reply.body["revision"])
    pending = sorted(
        name
        for name, revision in revisions.items()
        if revision < reply.body["revision"]
    )
    return remote.Reply(
        reply.status, {**reply.body, "hosts": revisions, "pending": pending}
    )


async def _send(host: str, request: Request, change_id: str) -> remote.Reply:
    headers = {
        wire.HEADER_CHANGE_ID: change_id,
        wire.HEADER_CHANGE_ATTEMPT: "1",
    }
    if request.version is not None:
        headers["If-Match"] = f'"{request.version}"'
    body = (
        msgspec.json.encode(request.document)
        if request.document is not None
        else None
    )
    try:
        return await remote.ask(
            request.method, host, request.path, body, headers
        )
    except exceptions.RemoteError as error:
        # The host may have had the change accepted before it went silent.
        lost = wire.ChangeReply(
            outcome=_UNKNOWN, change_id=change_id, detail=str(error)
        )
        return remote.Reply(_STATUS_UNKNOWN, lost)


async def _wait_for(host: str, revision: int) -> dict[str, int]:
    until = time.monotonic() + _WAIT_S
    while True:
        fleet = await remote.fetch(host, "/v1/fleet")
        hosts = {item["name"]: item["revision"] for item in fleet["hosts"]}
        everywhere = all(have >= revision for have in hosts.values())
        if everywhere or time.monotonic() > until:
            return hosts
        await asyncio.sleep(_POLL_S)

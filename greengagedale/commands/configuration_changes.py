"""Shared code of the commands that change configuration."""

import asyncio
import pathlib
import time
import tomllib
from typing import Annotated, Any, NamedTuple

import msgspec
import typer

from greengagedale import exceptions
from greengagedale.commands import host_api
from greengagedale.operators import wire

EXIT_NOT_ACCEPTED = 3
EXIT_UNKNOWN = 4
EXIT_PENDING = 5

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


class ChangeRequest(NamedTuple):
    """A configuration change as sent to a host.

    Attributes:
        method: HTTP method.
        path: Path of the document.
        document: New content of the document, or None to delete it.
        version: Version that the document must still have, or None if the
            change is unconditional.
    """

    method: str
    path: str
    document: dict[str, Any] | None = None
    version: str | None = None


def read_document(path: pathlib.Path) -> dict[str, Any]:
    """Reads a TOML document that has a name.

    Raises:
        InvalidInputError: The file can't be read, is not valid TOML or has no
            name.
    """
    try:
        document = tomllib.loads(path.read_text(encoding="utf-8"))
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError) as error:
        field_error = exceptions.FieldError("(file)", str(error))
        raise exceptions.InvalidInputError(str(path), [field_error]) from error
    if not isinstance(document.get("name"), str):
        field_error = exceptions.FieldError("name", "missing")
        raise exceptions.InvalidInputError(str(path), [field_error])
    return document


def submit_change(host: str, request: ChangeRequest, wait: bool) -> None:
    """Submits a change, prints its outcome and exits with its exit code."""
    _show_result(host_api.run(_submit_change(host, request, wait)))


def show_change(host: str, change_id: str) -> None:
    """Prints the outcome of a change and exits with its exit code."""
    path = f"/v1/changes/{change_id}"
    _show_result(host_api.run(host_api.send_request("GET", host, path)))


def show_document(host: str, path: str) -> None:
    """Prints the current content of a document, with its version.

    Raises:
        RemoteError: The host answers with an error, or does not answer.
    """
    reply = host_api.run(host_api.send_request("GET", host, path))
    if reply.status != _STATUS_OK:
        raise exceptions.RemoteError(host_api.error_text(reply))
    host_api.show({**reply.body, "version": reply.version})


def _show_result(reply: host_api.Reply) -> None:
    host_api.show(reply.body)
    outcome = reply.body.get("outcome")
    if outcome == _ACCEPTED and not reply.body.get("pending"):
        return
    if outcome == _ACCEPTED:
        pending = ", ".join(reply.body["pending"])
        typer.echo(f"Error: accepted, but not yet on {pending}", err=True)
        raise typer.Exit(EXIT_PENDING)
    typer.echo(f"Error: {_error_text(reply)}", err=True)
    raise typer.Exit(EXIT_UNKNOWN if outcome == _UNKNOWN else EXIT_NOT_ACCEPTED)


def _error_text(reply: host_api.Reply) -> str:
    if reply.body.get("outcome") == _UNKNOWN:
        change_id = reply.body["change_id"]
        return (
            f"unknown whether it was accepted: {host_api.error_text(reply)}; "
            f"ask with: greengagedale change {change_id}"
        )
    if "as_of_revision" in reply.body:
        return f"not accepted as of revision {reply.body['as_of_revision']}"
    return host_api.error_text(reply)


async def _submit_change(
    host: str, request: ChangeRequest, wait: bool
) -> host_api.Reply:
    id_reply = await host_api.send_request("POST", host, "/v1/changes")
    if id_reply.status != _STATUS_OK:
        raise exceptions.RemoteError(host_api.error_text(id_reply))
    reply = await _send(host, request, id_reply.body["change_id"])
    if reply.body.get("outcome") != _ACCEPTED or not wait:
        return reply
    revisions = await _wait_until_applied(host, reply.body["revision"])
    pending = sorted(
        name
        for name, revision in revisions.items()
        if revision < reply.body["revision"]
    )
    return host_api.Reply(
        reply.status, {**reply.body, "hosts": revisions, "pending": pending}
    )


async def _send(
    host: str, request: ChangeRequest, change_id: str
) -> host_api.Reply:
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
        return await host_api.send_request(
            request.method, host, request.path, body, headers
        )
    except exceptions.RemoteError as error:
        # The change may have been accepted before the host stopped answering.
        unknown_reply = wire.ChangeReply(
            outcome=_UNKNOWN, change_id=change_id, detail=str(error)
        )
        return host_api.Reply(_STATUS_UNKNOWN, unknown_reply)


async def _wait_until_applied(host: str, revision: int) -> dict[str, int]:
    deadline_s = time.monotonic() + _WAIT_S
    while True:
        fleet = await host_api.fetch(host, "/v1/fleet")
        hosts = {item["name"]: item["revision"] for item in fleet["hosts"]}
        is_applied_everywhere = all(
            applied >= revision for applied in hosts.values()
        )
        if is_applied_everywhere or time.monotonic() > deadline_s:
            return hosts
        await asyncio.sleep(_POLL_S)

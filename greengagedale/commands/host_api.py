"""Requests from commands to the HTTP interfaces of a host."""

from collections.abc import Coroutine
from typing import Annotated, Any, NamedTuple

import aiohttp
import msgspec
import pydantic
import typer

from greengagedale import exceptions
from greengagedale import http_bodies
from greengagedale import loops
from greengagedale import untrusted_json
from greengagedale.config import option_types

_TIMEOUT_S = 30.0
_STATUS_OK = 200


def _validate_endpoint(endpoint: str | None) -> str | None:
    if endpoint is None:
        return None
    try:
        return _ENDPOINT_ADAPTER.validate_python(endpoint)
    except pydantic.ValidationError:
        raise typer.BadParameter(
            f"{endpoint!r} is not an IP number and a port, as in 192.0.2.7:80"
        ) from None


_ENDPOINT_ADAPTER = pydantic.TypeAdapter(option_types.Endpoint)

OperatorEndpoint = Annotated[
    str,
    typer.Option(
        "--host",
        callback=_validate_endpoint,
        envvar="GREENGAGEDALE_OPERATOR",
        help="Operator address of any entry host, as IP:PORT.",
    ),
]
CallerEndpoint = Annotated[
    str,
    typer.Option(
        "--host",
        callback=_validate_endpoint,
        envvar="GREENGAGEDALE_CALLER",
        help="Caller address of any entry host, as IP:PORT.",
    ),
]
OptionalCallerEndpoint = Annotated[
    str | None,
    typer.Option(
        "--host",
        callback=_validate_endpoint,
        envvar="GREENGAGEDALE_CALLER",
        help="Caller address of any entry host, as IP:PORT.",
    ),
]


class Reply(NamedTuple):
    """A decoded reply of a host.

    Attributes:
        status: HTTP status code.
        body: Body decoded from JSON.
        version: Version of the document from the `ETag` header, or None.
    """

    status: int
    body: Any
    version: str | None = None


def run(coroutine: Coroutine[Any, Any, Any]) -> Any:
    """Runs the coroutine of a command and returns its result."""
    return loops.run(coroutine)


def show(body: Any) -> None:
    """Prints a value as one JSON line."""
    typer.echo(msgspec.json.encode(body).decode())


async def send_request(
    method: str,
    endpoint: str,
    path: str,
    body: bytes | None = None,
    headers: dict[str, str] | None = None,
) -> Reply:
    """Sends one request to a host and returns its reply.

    Raises:
        RemoteError: The host can't be reached, does not answer in time, or
            answers with something else than JSON.
    """
    timeout = aiohttp.ClientTimeout(total=_TIMEOUT_S)
    try:
        async with (
            aiohttp.ClientSession(timeout=timeout) as session,
            session.request(
                method, f"http://{endpoint}{path}", data=body, headers=headers
            ) as response,
        ):
            content = await http_bodies.read_body(
                response, http_bodies.MAX_DOCUMENT_BODY_BYTES
            )
            decoded = untrusted_json.decode(content)
            version = response.headers.get("ETag")
            return Reply(
                response.status, decoded, version and version.strip('"')
            )
    except aiohttp.ClientConnectorError as error:
        raise exceptions.RemoteError(
            f"can't connect to {endpoint}; check --host and that the host runs"
        ) from error
    except TimeoutError as error:
        raise exceptions.RemoteError(
            f"{endpoint} did not answer within {_TIMEOUT_S:.0f} s; "
            "try another host"
        ) from error
    except (aiohttp.ClientError, OSError, msgspec.DecodeError) as error:
        raise exceptions.RemoteError(
            f"{endpoint} does not answer as an entry host; check that --host "
            "names its port for callers or operators, as the command needs"
        ) from error


async def fetch(endpoint: str, path: str) -> Any:
    """Returns the decoded body of a GET request to a host.

    Raises:
        RemoteError: The host answers with an error, or does not answer.
    """
    reply = await send_request("GET", endpoint, path)
    if reply.status != _STATUS_OK:
        raise exceptions.RemoteError(error_text(reply))
    return reply.body


def error_text(reply: Reply) -> str:
    """Returns the message of an error reply, for people."""
    body = reply.body if isinstance(reply.body, dict) else {}
    text = body.get("message") or body.get("detail") or body.get("reason")
    return str(text or f"the host answered with status {reply.status}")

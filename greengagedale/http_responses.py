"""JSON request and response helpers of the HTTP servers.

The server for callers and the server for operators both use them.
"""

from collections.abc import Awaitable, Callable
import logging
import math
from typing import Any

from aiohttp import web
import msgspec

from greengagedale import exceptions
from greengagedale import untrusted_json
from greengagedale.callers import wire

log = logging.getLogger(__name__)

_JSON = "application/json"
_MS_PER_S = 1000

Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]


def json_response(body: Any, status: int = 200) -> web.Response:
    """Returns a JSON response."""
    return web.Response(
        body=msgspec.json.encode(body), status=status, content_type=_JSON
    )


def retry_later_response(body: Any, retry_after_ms: int) -> web.Response:
    """Returns a 503 response with a `Retry-After` header."""
    response = json_response(body, status=503)
    response.headers["Retry-After"] = str(math.ceil(retry_after_ms / _MS_PER_S))
    return response


def error_response(
    status: int,
    tag: str,
    message: str,
    field_errors: list[exceptions.FieldError] | None = None,
) -> web.Response:
    """Returns an error response for a request that was not run."""
    return json_response(
        wire.error_reply(tag, message, field_errors or []), status
    )


async def read_json(request: web.Request, as_type: Any) -> Any:
    """Returns the JSON body of a request, decoded as the given type.

    Raises:
        InvalidInputError: The body is not valid JSON of that type.
    """
    try:
        return untrusted_json.decode(await request.read(), as_type)
    except msgspec.ValidationError as invalid:
        message, _, key = str(invalid).partition(" - at ")
        field_error = exceptions.FieldError(
            key.strip("`$.") or "(body)", message
        )
    except (msgspec.DecodeError, UnicodeDecodeError) as broken:
        field_error = exceptions.FieldError("(body)", str(broken))
    raise exceptions.InvalidInputError("request", [field_error])


@web.middleware
async def error_middleware(
    request: web.Request, handler: Handler
) -> web.StreamResponse:
    """Converts every exception of a handler to a typed JSON response."""
    try:
        return await handler(request)
    except exceptions.InvalidInputError as invalid:
        return error_response(
            400, "invalid_request", str(invalid), invalid.field_errors
        )
    except web.HTTPRequestEntityTooLarge as large:
        return error_response(413, "body_too_large", large.text or large.reason)
    except web.HTTPException as other:
        return error_response(other.status, "http", other.reason)
    except Exception:
        log.exception("unexpected error in request to %s", request.path)
        return error_response(
            500, "internal", "an internal error; see the host's log"
        )

"""JSON requests and responses of the servers for callers and operators."""

import math
from typing import Any

import msgspec

from greengagedale import exceptions
from greengagedale import outcomes
from greengagedale import untrusted_json
from greengagedale.callers import wire
from greengagedale.http1 import messages

_JSON = b"application/json"
_TEXT = b"text/plain; charset=utf-8"
_TOO_LARGE_STATUS = 413
_OVERLOAD_RETRY_MS = 1000
_MS_PER_S = 1000


def json_response(body: Any, status: int = 200) -> messages.Response:
    """Returns a JSON response."""
    return _response(status, _JSON, msgspec.json.encode(body))


def text_response(body: bytes) -> messages.Response:
    """Returns a response with plain text."""
    return _response(200, _TEXT, body)


def with_header(
    response: messages.Response, name: str, value: str
) -> messages.Response:
    """Returns a response with another header."""
    header = (name.encode(), value.encode())
    return response._replace(headers=(*response.headers, header))


def retry_later_response(body: Any, retry_after_ms: int) -> messages.Response:
    """Returns a 503 response with a `Retry-After` header."""
    retry_after_s = math.ceil(retry_after_ms / _MS_PER_S)
    return with_header(
        json_response(body, status=503), "Retry-After", str(retry_after_s)
    )


def overload_response() -> messages.Response:
    """Returns the response to a request for which the host has no room."""
    body = wire.FailureReply(
        request_id="",
        outcome=outcomes.NotRun.tag,
        reason=outcomes.Reason.OVERLOADED,
        retry_after_ms=_OVERLOAD_RETRY_MS,
    )
    return retry_later_response(body, _OVERLOAD_RETRY_MS)


def error_response(
    status: int,
    tag: str,
    message: str,
    field_errors: list[exceptions.FieldError] | None = None,
) -> messages.Response:
    """Returns an error response for a request that was not run."""
    return json_response(
        wire.error_reply(tag, message, field_errors or []), status
    )


def refusal_response(status: int, reason: str) -> messages.Response:
    """Returns the response to a request that the server does not receive."""
    tag = "body_too_large" if status == _TOO_LARGE_STATUS else "http"
    return error_response(status, tag, reason)


def read_json(request: messages.Request, as_type: Any) -> Any:
    """Returns the JSON body of a request, decoded as the given type.

    Raises:
        InvalidInputError: The body is not valid JSON of that type.
    """
    try:
        return untrusted_json.decode(request.body, as_type)
    except msgspec.ValidationError as invalid:
        message, _, key = str(invalid).partition(" - at ")
        field_error = exceptions.FieldError(
            key.strip("`$.") or "(body)", message
        )
    except (msgspec.DecodeError, UnicodeDecodeError) as broken:
        field_error = exceptions.FieldError("(body)", str(broken))
    raise exceptions.InvalidInputError("request", [field_error])


def _response(
    status: int, content_type: bytes, body: bytes
) -> messages.Response:
    return messages.Response(status, ((b"Content-Type", content_type),), body)

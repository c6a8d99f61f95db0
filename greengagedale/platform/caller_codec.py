"""Codec for callers' requests and responses on this platform."""

import msgspec

from greengagedale import outcomes
from greengagedale.gateway import caller_handlers
from greengagedale.gateway import calls
from greengagedale.http1 import messages

_REQUEST_ID = b"request-id"
# Remaining time that the client waits, in milliseconds; not a point in time.
_REMAINING_TIME = b"deadline-ms"
_KEY = b"api-key"
# Around a value, it is not part of it; the parser leaves what follows a value.
_WHITESPACE = b" \t"
_PATH_RESOLVE = "/-/resolve"
_FIELD_ZONE = "zone="
_FIELD_HOST = "name="
_PATH_READY = "/-/ready"
_STATUS_OK = 200
_STATUS_TOO_MANY_REQUESTS = 429
_STATUS_UNAVAILABLE = 503
_STATUS_BAD_GATEWAY = 502
_STATUS_GATEWAY_TIMEOUT = 504
_MS_PER_S = 1000.0
_MAX_DIGITS = 12
_JSON = (b"Content-Type", b"application/json")


class PlatformCallerCodec(caller_handlers.CallerCodec):
    """Decodes callers' requests and encodes responses for this platform."""

    def decode_call(
        self, request: messages.Request
    ) -> calls.Call | caller_handlers.MalformedRequest:
        """Decodes a caller's request, or returns why it is malformed."""
        request_id = request.header(_REQUEST_ID)
        host = request.header(b"host")
        if not request_id:
            return caller_handlers.MalformedRequest(
                "the request has no Request-Id"
            )
        if not host:
            return caller_handlers.MalformedRequest("the request has no Host")
        path, _, _ = request.target.partition(b"?")
        if not path.startswith(b"/"):
            return caller_handlers.MalformedRequest(
                "the request's target is not a path"
            )
        remaining = request.header(_REMAINING_TIME)
        if remaining is not None and not (
            remaining.isdigit() and len(remaining) <= _MAX_DIGITS
        ):
            return caller_handlers.MalformedRequest(
                "Deadline-Ms is not a whole number of milliseconds"
            )
        return calls.Call(
            request_id.decode("latin-1"),
            host.decode("latin-1").partition(":")[0].lower(),
            path.decode("latin-1"),
            request,
            request.received_ms,
            None if remaining is None else request.received_ms + int(remaining),
        )

    def key_of(self, request: messages.Request) -> bytes | None:
        """Returns the caller's key; None without exactly one key."""
        keys = [value for name, value in request.headers if name == _KEY]
        return keys[0].strip(_WHITESPACE) if len(keys) == 1 else None

    def encode_answer(self, answer: calls.Answer) -> messages.Response:
        """Encodes an upstream's answer for the caller."""
        return messages.Response(answer.status, answer.headers, answer.body)

    def encode_merged(self, merged: calls.MergedAnswer) -> messages.Response:
        """Encodes the merged answer of a fan-out."""
        return messages.Response(
            _STATUS_OK,
            (
                (
                    b"Part-Seals",
                    ", ".join(merged.signatures).encode("latin-1"),
                ),
                (b"Parts-Missing", b"%d" % merged.missing),
                (b"Content-Type", b"application/octet-stream"),
            ),
            merged.body,
        )

    def encode_failure(
        self,
        outcome: outcomes.NotRun | outcomes.Unknown,
    ) -> messages.Response:
        """Encodes the response to a request without a known result."""
        body = msgspec.json.encode(
            {"error": str(outcome.reason), "outcome": outcome.tag}
        )
        if isinstance(outcome, outcomes.NotRun):
            retry_after = b"%.3f" % (outcome.retry_after_ms / _MS_PER_S)
            is_over_quota = outcome.reason is outcomes.Reason.OVER_QUOTA
            return messages.Response(
                _STATUS_TOO_MANY_REQUESTS
                if is_over_quota
                else _STATUS_UNAVAILABLE,
                (_JSON, (b"Retry-After", retry_after)),
                body,
            )
        is_timeout = outcome.reason is outcomes.Reason.DEADLINE
        return messages.Response(
            _STATUS_GATEWAY_TIMEOUT if is_timeout else _STATUS_BAD_GATEWAY,
            (_JSON,),
            body,
        )

    def encode_error(self, status: int, detail: str) -> messages.Response:
        """Encodes an error response with a description of the error."""
        return messages.Response(
            status, (_JSON,), msgspec.json.encode({"error": detail})
        )

    def decode_locate(
        self, request: messages.Request
    ) -> caller_handlers.LocateRequest | None:
        """Decodes a locate request; returns None for other requests."""
        path, _, query = request.target.decode("latin-1").partition("?")
        if path != _PATH_RESOLVE:
            return None
        # Names need no escapes. The region follows from the zone.
        return caller_handlers.LocateRequest(
            _query_field(query, _FIELD_ZONE),
            (_query_field(query, _FIELD_HOST) or "").lower(),
        )

    def is_ready_check(self, request: messages.Request) -> bool:
        """Returns whether a request is the platform's readiness check."""
        return _path_of(request) == _PATH_READY

    def encode_endpoints(
        self, endpoints: list[str], ttl_ms: float
    ) -> messages.Response:
        """Encodes the endpoints to which callers should connect."""
        body = {"addrs": endpoints, "ttl_s": ttl_ms / _MS_PER_S}
        return messages.Response(
            _STATUS_OK, (_JSON,), msgspec.json.encode(body)
        )


def _query_field(query: str, prefix: str) -> str | None:
    values = (
        field.removeprefix(prefix)
        for field in query.split("&")
        if field.startswith(prefix)
    )
    return next(values, None)


def _path_of(request: messages.Request) -> str:
    return request.target.decode("latin-1").partition("?")[0]

"""HTTP/1.1 messages and their encoding."""

import http
from typing import NamedTuple

Headers = tuple[tuple[bytes, bytes], ...]

_CRLF = b"\r\n"
_REASONS = {status.value: status.phrase for status in http.HTTPStatus}
_NO_BODY_STATUSES = frozenset({204, 304})


class Request(NamedTuple):
    """A complete request as received by a server.

    Attributes:
        method: HTTP method, as received.
        target: Path and query, as received.
        headers: Headers in the order received, with names in lower case.
        body: Body without its framing.
        received_ms: Time at which the first byte was received, by the clock
            of the process.
    """

    method: bytes
    target: bytes
    headers: Headers
    body: bytes
    received_ms: float

    def header(self, name: bytes) -> bytes | None:
        """Returns the first value of a header, or None."""
        return first_value(self.headers, name)


class Response(NamedTuple):
    """A response that a server sends.

    Attributes:
        status: Status code.
        headers: Headers without the framing headers, which are added by
            `encode_response`.
        body: Complete body.
        close: Whether the connection is closed after the response.
    """

    status: int
    headers: Headers = ()
    body: bytes = b""
    close: bool = False


class Reply(NamedTuple):
    """A complete reply as received by a client.

    Attributes:
        status: Status code.
        headers: Headers in the order received, with names in lower case.
        body: Body without its framing.
        is_framed: Whether the headers determined the length of the body;
            otherwise an orderly close of the connection ended it.
    """

    status: int
    headers: Headers
    body: bytes
    is_framed: bool

    def header(self, name: bytes) -> bytes | None:
        """Returns the first value of a header, or None."""
        return first_value(self.headers, name)


def first_value(headers: Headers, name: bytes) -> bytes | None:
    """Returns the first value of a header, or None."""
    return next((value for key, value in headers if key == name), None)


def encode_request(
    method: bytes, target: bytes, headers: Headers, body: bytes
) -> bytes:
    """Encodes a request; a body is sent with a `Content-Length` header."""
    lines = [b"%s %s HTTP/1.1" % (method, target)]
    lines += [b"%s: %s" % item for item in headers]
    if body or method not in (b"GET", b"HEAD", b"DELETE", b"OPTIONS"):
        lines.append(b"content-length: %d" % len(body))
    return _CRLF.join([*lines, b"", body])


def encode_response(response: Response, to_head: bool = False) -> bytes:
    """Encodes a response, without its body if it is for a HEAD request."""
    phrase = _REASONS.get(response.status, "Unknown").encode()
    lines = [b"HTTP/1.1 %d %s" % (response.status, phrase)]
    lines += [b"%s: %s" % item for item in response.headers]
    if response.close:
        lines.append(b"Connection: close")
    has_body = response.status not in _NO_BODY_STATUSES
    if has_body:
        lines.append(b"Content-Length: %d" % len(response.body))
    body = response.body if has_body and not to_head else b""
    return _CRLF.join([*lines, b"", body])

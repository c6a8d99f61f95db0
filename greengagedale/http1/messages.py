"""HTTP/1.1 messages and how they are written."""

import http
from typing import NamedTuple

Headers = tuple[tuple[bytes, bytes], ...]

_CRLF = b"\r\n"
_REASONS = {status.value: status.phrase for status in http.HTTPStatus}
_NO_BODY_STATUSES = frozenset({204, 304})


class Request(NamedTuple):
    """A whole request.

    Attributes:
        method: As received.
        target: Path and query, as received.
        headers: Names in lower case, in the order received.
        body: Without its framing.
        received_ms: When its first byte came, by the clock of the process.
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
    """An answer to a request.

    Attributes:
        status: Status code.
        headers: Without framing, which is added when it is written.
        body: Whole body.
        close: Whether the connection ends after it.
    """

    status: int
    headers: Headers = ()
    body: bytes = b""
    close: bool = False


class Reply(NamedTuple):
    """A whole answer as received from a server.

    Attributes:
        status: Status code.
        headers: Names in lower case, in the order received.
        body: Without its framing.
        is_framed: Whether its length was told; otherwise it ended with an
            orderly close of its connection.
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
    """Writes a request whose body, if there is one, has a length."""
    lines = [b"%s %s HTTP/1.1" % (method, target)]
    lines += [b"%s: %s" % item for item in headers]
    if body or method not in (b"GET", b"HEAD", b"DELETE", b"OPTIONS"):
        lines.append(b"content-length: %d" % len(body))
    return _CRLF.join([*lines, b"", body])


def encode_response(response: Response, to_head: bool = False) -> bytes:
    """Writes an answer; without its body if it answers a HEAD request."""
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

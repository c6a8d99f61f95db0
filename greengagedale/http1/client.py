"""HTTP/1.1 client connection that carries one request at a time.

A reply is accepted only if it is complete: framed, or ended by an orderly
close. Bytes that arrive while no request is in flight, or after a reply, can't
be matched to a request; the connection is then closed and not reused. The same
holds for a connection on which a reply exceeds the size limits.
"""

import asyncio
from collections.abc import Callable
import dataclasses
import logging
import socket
from typing import NamedTuple, Self, cast

import httptools

from greengagedale.http1 import messages

log = logging.getLogger(__name__)

ReplyPredicate = Callable[[messages.Reply], bool]

# Maximum number of replies to other requests that are skipped while a request
# waits for its own; upstreams may send an extra reply late, and repeat it.
MAX_SKIPPED_REPLIES = 4
# Framing of a header: `: ` and CRLF; and the shortest status line.
_HEADER_FRAMING_BYTES = 4
_MIN_HEAD_BYTES = 17
_VALID_STATUSES = range(100, 600)
_INFORMATIONAL = range(100, 200)
_NO_BODY_STATUSES = frozenset({204, 304})


class InvalidStatusError(Exception):
    """Raised if a reply has a status that HTTP does not define.

    Such a reply says nothing about its request.
    """


class _ReplyTooLargeError(Exception):
    """Raised by callbacks of the parser, which then stops at once."""


class ReplyLimits(NamedTuple):
    """Size limits of a reply; exceeding one closes the connection.

    Attributes:
        max_head_bytes: Maximum total size of the status line, headers and
            trailers of a reply and of the informational replies before it.
            Chunk framing may take this size plus the size of the body.
        max_body_bytes: Maximum size of the body without its framing.
    """

    max_head_bytes: int = 64 * 1024
    max_body_bytes: int = 1024 * 1024


@dataclasses.dataclass(frozen=True, slots=True)
class ExchangeFailure:
    """An exchange that ended without a complete reply.

    Attributes:
        detail: Cause of the failure, for people.
        sent: Whether a byte of the request may have reached the server.
    """

    detail: str
    sent: bool


class Connection(asyncio.Protocol):
    """A connection to a server.

    Attributes:
        last_used_ms: Time of the last reply, by the clock of the pool.
        keep_alive_ms: Time for which the server keeps the connection open
            while it is idle, or None if the server did not announce it.
        is_new: Whether no reply has been received on it yet.
    """

    def __init__(self, limits: ReplyLimits | None = None) -> None:
        self.last_used_ms = 0.0
        self.keep_alive_ms: float | None = None
        self.is_new = True
        self._transport: asyncio.Transport | None = None
        self._parser: httptools.HttpResponseParser | None = None
        self._future: (
            asyncio.Future[messages.Reply | ExchangeFailure] | None
        ) = None
        self._limits = limits or ReplyLimits()
        self._received_bytes = 0
        self._header_bytes = 0
        self._skipped_replies = 0
        self._accept: ReplyPredicate = _accept_any
        self._is_head = False
        self._must_close = False
        self._accepted_reply: messages.Reply | None = None
        self._reset_reply()

    @classmethod
    async def open(
        cls,
        address: str,
        port: int,
        timeout_s: float,
        limits: ReplyLimits | None = None,
    ) -> Self:
        """Connects to a server.

        Args:
            address: IP address of the server.
            port: TCP port of the server.
            timeout_s: Connect timeout, in seconds.
            limits: Size limits of replies; defaults to `ReplyLimits()`.

        Raises:
            OSError: The connection was refused, or timed out
                (`TimeoutError`).
        """
        loop = asyncio.get_running_loop()
        async with asyncio.timeout(timeout_s):
            _, connection = await loop.create_connection(
                lambda: cls(limits), address, port
            )
        return connection

    @property
    def is_usable(self) -> bool:
        """Whether another request may be sent on the connection."""
        return (
            self._transport is not None
            and not self._transport.is_closing()
            and not self._must_close
            and self._future is None
        )

    async def exchange(
        self,
        data: bytes,
        accept: ReplyPredicate | None = None,
        is_head: bool = False,
    ) -> messages.Reply | ExchangeFailure:
        """Sends a request and returns its reply.

        Cancelling the exchange closes the connection.

        Args:
            data: The encoded request.
            accept: Returns whether a reply belongs to this request; other
                replies are skipped. Accepts any reply by default.
            is_head: Whether this is a HEAD request, whose reply has no body
                even if its headers announce one.
        """
        if not self.is_usable or self._transport is None:
            return ExchangeFailure("the connection is closed", sent=False)
        future = asyncio.get_running_loop().create_future()
        self._future = future
        self._accept = accept or _accept_any
        self._is_head = is_head
        self._parser = httptools.HttpResponseParser(self)
        self._received_bytes = 0
        self._header_bytes = 0
        self._skipped_replies = 0
        self._reset_reply()
        self._transport.write(data)
        try:
            return await future
        except asyncio.CancelledError:
            self.abort()
            raise

    def abort(self) -> None:
        """Closes the connection at once; unsent data is discarded."""
        self._must_close = True
        if self._transport is not None:
            self._transport.abort()

    def close(self) -> None:
        """Closes the connection after sending buffered data."""
        self._must_close = True
        if self._transport is not None:
            self._transport.close()

    # Called by the event loop.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Stores the transport."""
        # The transport class of the event loop does not derive from
        # `asyncio.Transport`.
        self._transport = cast(asyncio.Transport, transport)

    def connection_lost(self, exc: Exception | None) -> None:
        """Fails the request in flight, if there is one."""
        self._must_close = True
        self._resolve(
            ExchangeFailure(
                repr(exc) if exc else "closed before the reply ended",
                sent=True,
            )
        )

    def eof_received(self) -> bool:
        """Completes a reply that is delimited by the close."""
        self._must_close = True
        is_complete = (
            self._until_eof and self._in_body and not self._was_reset()
        )
        if is_complete and self._future is not None:
            self._complete_reply()
            self._deliver_reply()
        return False

    def data_received(self, data: bytes) -> None:
        """Parses received data."""
        if self._future is None or self._parser is None:
            self.close()
            return
        self._received_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as exc:
            self._must_close = True
            if isinstance(exc.__context__, _ReplyTooLargeError):
                self._fail_too_large()
                return
            if self._accepted_reply is None:
                cause = exc.__context__
                if not isinstance(cause, InvalidStatusError):
                    cause = exc
                self._resolve(
                    ExchangeFailure(f"malformed reply: {cause!r}", sent=True)
                )
                self.close()
                return
        if self._accepted_reply is None:
            self._check_size()
        self._deliver_reply()

    # Called by the parser.

    def on_message_begin(self) -> None:
        """Starts a reply."""
        if self._accepted_reply is not None:
            self._must_close = True
        self._reset_reply()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Adds a header or trailer."""
        self._headers.append((name.lower(), value))
        self._add_header_bytes(len(name) + len(value) + _HEADER_FRAMING_BYTES)

    def on_headers_complete(self) -> None:
        """Determines how the body is framed."""
        assert self._parser is not None
        self._add_header_bytes(_MIN_HEAD_BYTES)
        self._status = self._parser.get_status_code()
        if self._status not in _VALID_STATUSES:
            raise InvalidStatusError(
                f"expected a status from 100 to 599, got {self._status:03d}"
            )
        names = {name for name, _ in self._headers}
        has_no_body = (
            self._status in _NO_BODY_STATUSES or self._status in _INFORMATIONAL
        )
        self._until_eof = not has_no_body and names.isdisjoint(
            (b"content-length", b"transfer-encoding")
        )
        self._in_body = True
        length = messages.first_value(tuple(self._headers), b"content-length")
        if length is not None and not self._is_head:
            self._declared_bytes = int(length)
        if self._is_head and self._status not in _INFORMATIONAL:
            self._must_close = True
            self._complete_reply()

    def on_body(self, body: bytes) -> None:
        """Appends a part of the body."""
        if len(self._body) + len(body) > self._limits.max_body_bytes:
            raise _ReplyTooLargeError
        self._body += body

    def on_message_complete(self) -> None:
        """Completes a reply; informational replies are ignored."""
        assert self._parser is not None
        if self._status in _INFORMATIONAL:
            self._reset_reply()
            return
        if not self._parser.should_keep_alive():
            self._must_close = True
        self._complete_reply()

    def _was_reset(self) -> bool:
        """Returns whether the input ended with a connection reset.

        The event loop may report a reset that follows data as an orderly
        close; the pending error of the socket distinguishes them.
        """
        assert self._transport is not None
        sock = self._transport.get_extra_info("socket")
        return bool(
            sock is not None
            and sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        )

    def _check_size(self) -> None:
        """Fails the exchange if the reply exceeds the size limits."""
        limits = self._limits
        body_bytes = len(self._body)
        head_bytes = self._received_bytes - body_bytes
        is_too_large = (
            max(body_bytes, self._declared_bytes) > limits.max_body_bytes
            or head_bytes > limits.max_head_bytes + body_bytes
            or self._skipped_replies > MAX_SKIPPED_REPLIES
        )
        if is_too_large:
            self._fail_too_large()

    def _add_header_bytes(self, count: int) -> None:
        # A single read may hold far more than the limit, and each header takes
        # a multiple of its size, so each one is checked.
        self._header_bytes += count
        if self._header_bytes > self._limits.max_head_bytes:
            raise _ReplyTooLargeError

    def _fail_too_large(self) -> None:
        """Fails the exchange, unless its reply is already complete."""
        if self._accepted_reply is not None:
            self._deliver_reply()
            return
        if self._future is None:
            return
        log.warning(
            "answer too large",
            extra={
                "server": self._peer_address(),
                "head_bytes": self._received_bytes - len(self._body),
                "body_bytes": len(self._body),
                "declared_bytes": self._declared_bytes,
                "passed_over": self._skipped_replies,
            },
        )
        self._resolve(ExchangeFailure("the reply is too large", sent=True))
        self.abort()
        self._parser = None
        self._reset_reply()

    def _peer_address(self) -> str:
        assert self._transport is not None
        name = self._transport.get_extra_info("peername")
        return ":".join(map(str, name[:2])) if name else "unknown"

    def _reset_reply(self) -> None:
        self._status = 0
        self._headers: list[tuple[bytes, bytes]] = []
        self._body = bytearray()
        self._declared_bytes = 0
        self._until_eof = False
        self._in_body = False

    def _complete_reply(self) -> None:
        if self._accepted_reply is not None or (
            len(self._body) > self._limits.max_body_bytes
        ):
            return
        reply = messages.Reply(
            self._status,
            tuple(self._headers),
            bytes(self._body),
            not self._until_eof,
        )
        # An idle connection holds no reply.
        self._reset_reply()
        if self._accept(reply):
            self._accepted_reply = reply
        else:
            # This is a reply to an earlier request. The expected reply may
            # still follow, but the connection can't be trusted any more.
            self._must_close = True
            self._skipped_replies += 1
            self._received_bytes = 0
            self._header_bytes = 0

    def _deliver_reply(self) -> None:
        """Returns the accepted reply after all received data is parsed."""
        if self._accepted_reply is None:
            return
        reply, self._accepted_reply = self._accepted_reply, None
        self.is_new = False
        transport = self._transport
        if transport is not None and transport.get_write_buffer_size() > 0:
            # The server replied before the request was sent completely; the
            # rest of the body must not be followed by another request.
            self._must_close = True
        self._resolve(reply)
        if self._must_close:
            self.close()

    def _resolve(self, result: messages.Reply | ExchangeFailure) -> None:
        future, self._future = self._future, None
        if future is not None and not future.done():
            future.set_result(result)


def _accept_any(reply: messages.Reply) -> bool:
    del reply
    return True

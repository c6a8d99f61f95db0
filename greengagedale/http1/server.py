"""HTTP/1.1 server that cancels requests whose client has disconnected."""

import abc
import asyncio
import collections
import logging
from typing import NamedTuple, cast

import httptools

from greengagedale import clocks
from greengagedale.http1 import messages

log = logging.getLogger(__name__)

# Maximum number of pipelined requests on one connection; more close it.
MAX_PIPELINED_REQUESTS = 16
# Maximum time for which a client may read nothing of a response.
SEND_TIMEOUT_MS = 60_000.0
# Interval at which the timeouts of connections are checked.
SWEEP_INTERVAL_S = 0.25
# After refusing a request that was not read completely, received data is
# discarded for this time: closing a socket with unread data sends a reset,
# which could discard the response.
LINGER_TIMEOUT_S = 0.5
# Maximum number of bytes that the event loop reads at once.
_READ_BYTES = 256 * 1024
# Length of the kernel's queue of connections that are not accepted yet; a full
# queue delays clients by seconds.
LISTEN_BACKLOG = 1024

_CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
_BAD_REQUEST = 400
_TIMEOUT = 408
_BODY_TOO_LARGE = 413
_HEADERS_TOO_LARGE = 431
_INTERNAL_ERROR = 500


class Limits(NamedTuple):
    """Size limits of requests, and timeouts of connections.

    Hosts send them to each other, so a further field would keep hosts of other
    versions from reading a configuration.

    Attributes:
        max_header_bytes: Maximum total size of the request line, headers and
            trailers, and of empty lines before a request. Chunk framing may
            take twice this size plus the size of the body.
        max_body_bytes: Maximum size of the body without its framing.
        header_timeout_ms: Maximum time from the first byte to the end of the
            headers, and maximum pause while the body is sent.
        idle_timeout_ms: Maximum idle time between requests.
    """

    max_header_bytes: int = 16 * 1024
    max_body_bytes: int = 1024 * 1024
    header_timeout_ms: float = 10_000.0
    idle_timeout_ms: float = 60_000.0


class Handler(abc.ABC):
    """Interface of request handlers."""

    @abc.abstractmethod
    async def handle(self, request: messages.Request) -> messages.Response:
        """Handles a request; cancelled when its client disconnects."""

    def limits(self) -> Limits:
        """Returns the current limits."""
        return Limits()


class Server:
    """HTTP server that listens on one address.

    Attributes:
        closing: Whether connections are closed after each response.
        send_timeout_ms: Maximum time for which a client may read nothing of a
            response.
    """

    def __init__(self, handler: Handler, clock: clocks.Clock) -> None:
        self.handler = handler
        self.clock = clock
        self.closing = False
        self.send_timeout_ms = SEND_TIMEOUT_MS
        self.connections: set[_Connection] = set()
        self._listener: asyncio.Server | None = None
        self._sweeper: asyncio.TimerHandle | None = None

    async def start(self, address: str, port: int) -> None:
        """Starts accepting connections.

        Raises:
            OSError: The server can't listen on the address.
        """
        loop = asyncio.get_running_loop()
        self._listener = await loop.create_server(
            lambda: _Connection(self), address, port, backlog=LISTEN_BACKLOG
        )
        self._sweep()

    @property
    def in_flight_requests(self) -> int:
        """The number of requests in flight; pipelined ones count as one."""
        return sum(connection.is_busy for connection in self.connections)

    @property
    def unanswered_requests(self) -> int:
        """The number of connections whose answer is not yet sent in full."""
        return sum(
            connection.is_busy or connection.has_unsent_data
            for connection in self.connections
        )

    def stop_accepting(self) -> None:
        """Closes the listener; open connections stay open."""
        if self._listener is not None:
            self._listener.close()
            self._listener = None

    def close_idle(self) -> None:
        """Closes connections that have no request in flight."""
        for connection in list(self.connections):
            if not connection.is_busy:
                connection.close()

    def close(self) -> None:
        """Closes the listener and all connections."""
        self.stop_accepting()
        if self._sweeper is not None:
            self._sweeper.cancel()
        for connection in list(self.connections):
            connection.close()

    def _sweep(self) -> None:
        limits = self.handler.limits()
        now_ms = self.clock.now_ms()
        for connection in list(self.connections):
            connection.enforce_timeouts(limits, now_ms)
        loop = asyncio.get_running_loop()
        self._sweeper = loop.call_later(SWEEP_INTERVAL_S, self._sweep)


class _RefusedError(Exception):
    """Raised by callbacks of the parser, which then stops at once.

    Attributes:
        status: Status of the refusal.
        reason: Why the request is refused, for people.
    """

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status = status
        self.reason = reason


class _Connection(asyncio.Protocol):
    def __init__(self, server: Server) -> None:
        self._server = server
        self._parser: httptools.HttpRequestParser | None = (
            httptools.HttpRequestParser(self)
        )
        self._transport: asyncio.Transport | None = None
        self._pending: collections.deque[messages.Request] = collections.deque()
        self._task: asyncio.Task[None] | None = None
        self._limits = server.handler.limits()
        self._is_refused = False
        self._close_after = False
        self._last_progress_ms = server.clock.now_ms()
        self._is_reading = False
        self._in_headers = False
        self._blank_bytes = 0
        self._is_write_paused = False
        self._unsent_bytes = 0
        self._send_progress_ms = 0.0
        self._reset_request()

    @property
    def is_busy(self) -> bool:
        """Whether a request is being received or has no response yet."""
        return bool(self._task or self._pending or self._is_reading)

    @property
    def has_unsent_data(self) -> bool:
        """Whether a part of a response waits for the client to read."""
        return self._transport is not None and (
            self._transport.get_write_buffer_size() > 0
        )

    def close(self) -> None:
        """Closes the connection after sending buffered data."""
        if self._transport is not None:
            self._transport.close()

    def enforce_timeouts(self, limits: Limits, now_ms: float) -> None:
        """Closes the connection if its client is too slow or idle too long."""
        if self._is_send_stalled(now_ms):
            self._abort("the client does not read the response")
            return
        if self._task or self._is_refused:
            return
        elapsed_ms = now_ms - self._last_progress_ms
        if self._is_reading:
            if elapsed_ms > limits.header_timeout_ms:
                self._refuse(_TIMEOUT, "the request took too long to arrive")
        elif elapsed_ms > limits.idle_timeout_ms:
            self.close()

    # Called by the event loop.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Registers the connection with the server."""
        # The transport class of the event loop does not derive from
        # `asyncio.Transport`.
        self._transport = cast(asyncio.Transport, transport)
        self._server.connections.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancels the requests of the disconnected client."""
        del exc
        self._server.connections.discard(self)
        self._is_write_paused = False
        self._pending.clear()
        self._discard_request()
        if self._task is not None:
            self._task.cancel()

    def eof_received(self) -> bool:
        """Treats the end of the input as a disconnect of the client."""
        return False

    def pause_writing(self) -> None:
        """Starts no further request until the client reads responses."""
        self._is_write_paused = True

    def resume_writing(self) -> None:
        """Starts the next request."""
        self._is_write_paused = False
        if self._task is None and self._pending:
            self._start_next()

    def data_received(self, data: bytes) -> None:
        """Parses received data."""
        if self._is_refused or self._parser is None:
            return
        if not self._is_reading:
            self._limits = self._server.handler.limits()
            self._blank_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            # Upgrades are not supported: the request is handled as a plain
            # one, and data that follows it is ignored.
            self._is_refused = True
            self._close_after = True
        except httptools.HttpParserError as error:
            cause = error.__context__
            if isinstance(cause, _RefusedError):
                self._refuse(cause.status, cause.reason)
            else:
                self._refuse(_BAD_REQUEST, f"malformed request: {error}")
        if len(self._pending) > MAX_PIPELINED_REQUESTS:
            self.close()
        if self._pending and self._transport is not None:
            # Further requests wait in the socket, not in memory.
            self._transport.pause_reading()
        if self._is_refused:
            return
        if self._is_reading:
            self._received_bytes += len(data)
            self._check_size()
        elif self._blank_bytes > self._limits.max_header_bytes:
            self._refuse(_BAD_REQUEST, "expected a request, got empty lines")

    # Called by the parser.

    def on_message_begin(self) -> None:
        """Starts a request."""
        self._reset_request()
        self._is_reading = True
        self._in_headers = True
        self._blank_bytes = 0
        self._last_progress_ms = self._server.clock.now_ms()
        self._received_ms = self._last_progress_ms

    def on_url(self, url: bytes) -> None:
        """Appends a part of the request target."""
        self._target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Adds a header or trailer."""
        self._headers.append((name.lower(), value))
        self._header_bytes += len(name) + len(value) + 4
        # A single read may hold far more than the limit, and each header takes
        # a multiple of its size, so each one is checked.
        if self._header_bytes + len(self._target) > (
            self._limits.max_header_bytes
        ):
            part = "headers" if self._in_headers else "trailers"
            raise _RefusedError(_HEADERS_TOO_LARGE, f"the {part} are too large")

    def on_headers_complete(self) -> None:
        """Checks the headers against the limits."""
        if len(self._target) > self._limits.max_header_bytes:
            raise _RefusedError(
                _HEADERS_TOO_LARGE, "the request target is too large"
            )
        self._in_headers = False
        self._last_progress_ms = self._server.clock.now_ms()
        headers = tuple(self._headers)
        length = messages.first_value(headers, b"content-length")
        if length is not None and int(length) > self._limits.max_body_bytes:
            raise _RefusedError(_BODY_TOO_LARGE, "the body is too large")
        expect = messages.first_value(headers, b"expect")
        if expect is not None and expect.lower() == b"100-continue":
            self._write(_CONTINUE)

    def on_body(self, body: bytes) -> None:
        """Appends a part of the body."""
        if len(self._body) + len(body) > self._limits.max_body_bytes:
            raise _RefusedError(_BODY_TOO_LARGE, "the body is too large")
        self._body += body
        self._last_progress_ms = self._server.clock.now_ms()

    def on_message_complete(self) -> None:
        """Queues the request; requests are handled in the order received."""
        assert self._parser is not None
        self._is_reading = False
        request = messages.Request(
            self._parser.get_method(),
            bytes(self._target),
            tuple(self._headers),
            bytes(self._body),
            self._received_ms,
        )
        keep_alive = self._parser.should_keep_alive()
        self._pending.append(request)
        self._close_after = not keep_alive
        if self._task is None and not self._is_write_paused:
            self._start_next()

    def _reset_request(self) -> None:
        self._target = bytearray()
        self._headers: list[tuple[bytes, bytes]] = []
        self._body = bytearray()
        self._header_bytes = 0
        self._received_bytes = 0
        self._received_ms = 0.0

    def _check_size(self) -> None:
        """Limits all received bytes outside the body, framing included."""
        max_bytes = 2 * self._limits.max_header_bytes
        if not self._in_headers:
            # The first read may also contain the end of another request.
            max_bytes += 2 * len(self._body) + _READ_BYTES
        if self._received_bytes > max_bytes:
            self._refuse(_HEADERS_TOO_LARGE, "the headers are too large")

    def _is_send_stalled(self, now_ms: float) -> bool:
        assert self._transport is not None
        unsent_bytes = self._transport.get_write_buffer_size()
        if unsent_bytes != self._unsent_bytes:
            self._unsent_bytes = unsent_bytes
            self._send_progress_ms = now_ms
        return bool(unsent_bytes) and (
            now_ms - self._send_progress_ms > self._server.send_timeout_ms
        )

    def _start_next(self) -> None:
        """Starts the next request, once the client reads the responses."""
        self._task = None
        if not self._pending:
            self._last_progress_ms = self._server.clock.now_ms()
            if self._close_after:
                self.close()
            return
        if self._is_write_paused:
            return
        request = self._pending.popleft()
        if not self._pending and self._transport is not None:
            self._transport.resume_reading()
        loop = asyncio.get_running_loop()
        self._task = loop.create_task(self._answer(request))

    async def _answer(self, request: messages.Request) -> None:
        try:
            response = await self._server.handler.handle(request)
        except Exception:
            # A bug in this program; the outcome of the request is unknown.
            log.exception("request handler failed")
            response = messages.Response(_INTERNAL_ERROR, close=True)
        is_last = not self._pending and self._close_after
        if is_last or self._server.closing:
            response = response._replace(close=True)
        self._write(
            messages.encode_response(response, request.method == b"HEAD")
        )
        if response.close:
            self._pending.clear()
            self._close_after = True
        self._start_next()

    def _discard_request(self) -> None:
        """Frees what has been received of a request that is not completed."""
        self._reset_request()
        # The parser refers to this connection.
        self._parser = None

    def _refuse(self, status: int, reason: str) -> None:
        self._is_refused = True
        self._is_reading = False
        self._discard_request()
        log.info(
            "malformed request", extra={"status": status, "reason": reason}
        )
        response = messages.Response(
            status,
            ((b"Content-Type", b"text/plain"),),
            reason.encode(),
            close=True,
        )
        if self._task is None:
            self._write(messages.encode_response(response))
        if self._transport is not None and self._transport.can_write_eof():
            asyncio.get_running_loop().call_later(LINGER_TIMEOUT_S, self.close)

    def _abort(self, reason: str) -> None:
        """Closes the connection at once, without sending the rest."""
        log.info("connection aborted", extra={"reason": reason})
        if self._transport is not None:
            self._transport.abort()

    def _write(self, data: bytes) -> None:
        if self._transport is not None and not self._transport.is_closing():
            self._transport.write(data)

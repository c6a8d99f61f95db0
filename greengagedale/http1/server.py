"""A server of HTTP/1.1 whose connections tell when their client has left."""

import abc
import asyncio
import collections
import logging
from typing import NamedTuple, cast

import httptools

from greengagedale import clocks
from greengagedale.http1 import messages

log = logging.getLogger(__name__)

# Requests a client may send ahead on one connection before it is cut.
MAX_PIPELINED_REQUESTS = 16
# How often connections are checked against their time limits.
SWEEP_INTERVAL_S = 0.25
# After a refusal of a request that is not read to its end, input is read and
# thrown away this long, as closing with unread bytes would reset the answer.
LINGER_TIMEOUT_S = 0.5
# Most that the loop reads at once.
_READ_BYTES = 256 * 1024
# Accepted connections that wait for the process; a full queue costs seconds.
LISTEN_BACKLOG = 1024

_CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
_BAD_REQUEST = 400
_TIMEOUT = 408
_BODY_TOO_LARGE = 413
_HEADERS_TOO_LARGE = 431
_INTERNAL_ERROR = 500


class Limits(NamedTuple):
    """What a client may send, and how long it may take.

    Attributes:
        max_header_bytes: Request line, headers and trailers together. The
            framing of chunks may have twice as much, and besides as much as
            the body.
        max_body_bytes: Body without framing.
        header_timeout_ms: From the first byte to the end of the headers; a
            body may pause no longer than this either.
        idle_timeout_ms: Between requests.
    """

    max_header_bytes: int = 16 * 1024
    max_body_bytes: int = 1024 * 1024
    header_timeout_ms: float = 10_000.0
    idle_timeout_ms: float = 60_000.0


class Handler(abc.ABC):
    """Answers requests."""

    @abc.abstractmethod
    async def handle(self, request: messages.Request) -> messages.Response:
        """Answers a request; is cancelled when its client leaves."""

    def limits(self) -> Limits:
        """Returns the limits in force."""
        return Limits()


class Server:
    """Listens on one address.

    Attributes:
        closing: Whether each answer closes its connection.
    """

    def __init__(self, handler: Handler, clock: clocks.Clock) -> None:
        self.handler = handler
        self.clock = clock
        self.closing = False
        self.connections: set[_Connection] = set()
        self._listener: asyncio.Server | None = None
        self._sweeper: asyncio.TimerHandle | None = None

    async def start(self, address: str, port: int) -> None:
        """Begins to accept connections.

        Raises:
            OSError: The address can't be used.
        """
        loop = asyncio.get_running_loop()
        self._listener = await loop.create_server(
            lambda: _Connection(self), address, port, backlog=LISTEN_BACKLOG
        )
        self._sweep()

    @property
    def in_flight_requests(self) -> int:
        """The number of requests that have no answer yet."""
        return sum(connection.is_busy for connection in self.connections)

    def stop_accepting(self) -> None:
        """Closes the listener; open connections stay."""
        if self._listener is not None:
            self._listener.close()
            self._listener = None

    def close_idle(self) -> None:
        """Closes connections on which no request is waiting."""
        for connection in list(self.connections):
            if not connection.is_busy:
                connection.close()

    def close(self) -> None:
        """Closes everything at once."""
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


class _Connection(asyncio.Protocol):
    def __init__(self, server: Server) -> None:
        self._server = server
        self._parser = httptools.HttpRequestParser(self)
        self._transport: asyncio.Transport | None = None
        self._pending: collections.deque[messages.Request] = collections.deque()
        self._task: asyncio.Task[None] | None = None
        self._limits = server.handler.limits()
        self._is_refused = False
        self._close_after = False
        self._last_progress_ms = server.clock.now_ms()
        self._is_reading = False
        self._in_headers = False
        self._reset_request()

    @property
    def is_busy(self) -> bool:
        """Whether a request was read, or is being read, without an answer."""
        return bool(self._task or self._pending or self._is_reading)

    def close(self) -> None:
        """Closes the connection once what was written is sent."""
        if self._transport is not None:
            self._transport.close()

    def enforce_timeouts(self, limits: Limits, now_ms: float) -> None:
        """Ends the connection if its client is too slow or idle too long."""
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
        """Registers the connection."""
        # The loop's own class does not derive from the library's.
        self._transport = cast(asyncio.Transport, transport)
        self._server.connections.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Abandons what the client has left."""
        del exc
        self._server.connections.discard(self)
        self._pending.clear()
        if self._task is not None:
            self._task.cancel()

    def eof_received(self) -> bool:
        """Takes the end of the input for the client's leaving."""
        return False

    def data_received(self, data: bytes) -> None:
        """Parses input."""
        if self._is_refused:
            return
        if not self._is_reading:
            self._limits = self._server.handler.limits()
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            # An upgrade is not taken up: the request is answered as it is,
            # and what follows it is not read.
            self._is_refused = True
            self._close_after = True
        except httptools.HttpParserError as error:
            if not self._is_refused:
                self._refuse(_BAD_REQUEST, f"malformed request: {error}")
        if len(self._pending) > MAX_PIPELINED_REQUESTS:
            self.close()
        if self._is_reading and not self._is_refused:
            self._received_bytes += len(data)
            self._check_size()

    # Called by the parser.

    def on_message_begin(self) -> None:
        """Starts a request."""
        self._reset_request()
        self._is_reading = True
        self._in_headers = True
        self._last_progress_ms = self._server.clock.now_ms()
        self._received_ms = self._last_progress_ms

    def on_url(self, url: bytes) -> None:
        """Takes a piece of the target."""
        self._target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Takes a header."""
        self._headers.append((name.lower(), value))
        self._header_bytes += len(name) + len(value) + 4
        is_trailer = not self._in_headers
        if is_trailer and self._header_bytes > self._limits.max_header_bytes:
            self._refuse(_HEADERS_TOO_LARGE, "the trailers are too large")

    def on_headers_complete(self) -> None:
        """Checks the headers."""
        self._in_headers = False
        self._last_progress_ms = self._server.clock.now_ms()
        if self._header_bytes + len(self._target) > (
            self._limits.max_header_bytes
        ):
            self._refuse(_HEADERS_TOO_LARGE, "the headers are too large")
            return
        headers = tuple(self._headers)
        length = messages.first_value(headers, b"content-length")
        if length is not None and int(length) > self._limits.max_body_bytes:
            self._refuse(_BODY_TOO_LARGE, "the body is too large")
            return
        expect = messages.first_value(headers, b"expect")
        if expect is not None and expect.lower() == b"100-continue":
            self._write(_CONTINUE)

    def on_body(self, body: bytes) -> None:
        """Takes a piece of the body."""
        if self._is_refused:
            return
        self._body += body
        self._last_progress_ms = self._server.clock.now_ms()
        if len(self._body) > self._limits.max_body_bytes:
            self._refuse(_BODY_TOO_LARGE, "the body is too large")

    def on_message_complete(self) -> None:
        """Hands the request on, in the order received."""
        self._is_reading = False
        if self._is_refused:
            return
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
        if self._task is None:
            self._start_next()

    def _reset_request(self) -> None:
        self._target = bytearray()
        self._headers: list[tuple[bytes, bytes]] = []
        self._body = bytearray()
        self._header_bytes = 0
        self._received_bytes = 0
        self._received_ms = 0.0

    def _check_size(self) -> None:
        """Bounds what is not the body, wherever it stands in the request."""
        max_bytes = 2 * self._limits.max_header_bytes
        if not self._in_headers:
            # The first read may have begun with the end of another request.
            max_bytes += 2 * len(self._body) + _READ_BYTES
        if self._received_bytes > max_bytes:
            self._refuse(_HEADERS_TOO_LARGE, "the headers are too large")

    def _start_next(self) -> None:
        if not self._pending:
            self._task = None
            self._last_progress_ms = self._server.clock.now_ms()
            if self._close_after:
                self.close()
            return
        request = self._pending.popleft()
        loop = asyncio.get_running_loop()
        self._task = loop.create_task(self._answer(request))

    async def _answer(self, request: messages.Request) -> None:
        try:
            response = await self._server.handler.handle(request)
        except Exception:
            # A fault of this program; the request's fate is not known.
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

    def _refuse(self, status: int, reason: str) -> None:
        self._is_refused = True
        self._is_reading = False
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

    def _write(self, data: bytes) -> None:
        if self._transport is not None and not self._transport.is_closing():
            self._transport.write(data)

"""HTTP/1.1 server that cancels requests whose client has disconnected.

Clients are not trusted. What a connection holds is counted while it is parsed,
what all of them hold is bounded (see `connection_budget`), clients that send
without pause read in turns (see `read_turns`), and a request starts when its
client has read the responses before it.
"""

import abc
import asyncio
import collections
import logging
from typing import NamedTuple, cast

import httptools

from greengagedale import clocks
from greengagedale import logs
from greengagedale.http1 import connection_budget
from greengagedale.http1 import messages
from greengagedale.http1 import read_turns

log = logging.getLogger(__name__)

# Maximum number of pipelined requests on one connection; those before it are
# answered, and the next one is refused.
MAX_PIPELINED_REQUESTS = 16
# Maximum time for which a client may read nothing of a response.
SEND_TIMEOUT_MS = 60_000.0
# Interval at which the timeouts of connections are checked.
SWEEP_INTERVAL_S = 0.25
# After refusing a request that was not read completely, received data is
# discarded for this time: closing a socket with unread data sends a reset,
# which could discard the response.
LINGER_TIMEOUT_S = 0.5
# Size of the framing of chunks that is allowed beside that which is as large
# as the body, and as the headers.
_FRAMING_BYTES = 256 * 1024
# Maximum number of log lines per second about connections that are refused or
# aborted; others are counted.
REFUSAL_LINES_PER_S = 20
# Length of the kernel's queue of connections that are not accepted yet; a full
# queue delays clients by seconds.
LISTEN_BACKLOG = 1024

# Estimated memory of a header beside its bytes, and the smallest number of
# bytes that a header takes in a request.
_HEADER_OVERHEAD_BYTES = 160
_MIN_HEADER_BYTES = 4
# The body of a request that runs is held as received, as sent on, and in the
# buffer of the connection that it is sent on.
_BODY_COPIES = 3
_CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
_BAD_REQUEST = 400
_TIMEOUT = 408
_BODY_TOO_LARGE = 413
_HEADERS_TOO_LARGE = 431
_INTERNAL_ERROR = 500
_UNAVAILABLE = 503
_OVERLOAD_RETRY_S = b"1"


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

    @property
    def max_request_memory_bytes(self) -> int:
        """Memory that the largest request takes while it runs."""
        return (
            _request_memory_bytes(
                self.max_header_bytes,
                self.max_header_bytes // _MIN_HEADER_BYTES,
            )
            + _BODY_COPIES * self.max_body_bytes
        )


class Handler(abc.ABC):
    """Interface of request handlers."""

    @abc.abstractmethod
    async def handle(self, request: messages.Request) -> messages.Response:
        """Handles a request; cancelled when its client disconnects."""

    def limits(self) -> Limits:
        """Returns the current limits."""
        return Limits()

    def refusal_response(self, status: int, reason: str) -> messages.Response:
        """Returns the response to a request that is not received completely.

        Args:
            status: Status of the response.
            reason: Why the request is refused, for people.
        """
        return messages.Response(
            status, ((b"Content-Type", b"text/plain"),), reason.encode()
        )

    def overload_response(self) -> messages.Response:
        """Returns the response to a request for which there is no room.

        The request has not been handled and will not be.
        """
        return messages.Response(
            _UNAVAILABLE, ((b"Retry-After", _OVERLOAD_RETRY_S),)
        )


class Server:
    """HTTP server that listens on one address.

    Attributes:
        closing: Whether connections are closed after each response.
        send_timeout_ms: Maximum time for which a client may read nothing of a
            response.
        budget: Bounds what all connections hold together.
        refusal_log: Log of refused and aborted connections.
        read_buffer: Buffer that the connections read into, one at a time.
        turns: Shares the event loop among connections; set by `start`.
    """

    def __init__(
        self,
        handler: Handler,
        clock: clocks.Clock,
        bounds: connection_budget.Bounds | None = None,
        turns: "read_turns.ReadTurns[_Connection] | None" = None,
    ) -> None:
        """Initializes the server.

        Args:
            handler: Handles requests.
            clock: Clock of the process.
            bounds: Bounds of all connections together.
            turns: Shares the event loop, also with other servers of the
                process; by default among the connections of this one.
        """
        self.handler = handler
        self.clock = clock
        self.closing = False
        self.send_timeout_ms = SEND_TIMEOUT_MS
        self.budget: connection_budget.ConnectionBudget[_Connection] = (
            connection_budget.ConnectionBudget(
                bounds or connection_budget.Bounds(), clock
            )
        )
        self.connections: set[_Connection] = set()
        self.refusal_log = logs.RequestLog(clock, REFUSAL_LINES_PER_S)
        self.read_buffer = memoryview(bytearray(read_turns.TURN_BYTES))
        self.turns = turns
        self._listener: asyncio.Server | None = None
        self._sweeper: asyncio.TimerHandle | None = None

    async def start(self, address: str, port: int) -> None:
        """Starts accepting connections.

        Raises:
            OSError: The server can't listen on the address.
        """
        loop = asyncio.get_running_loop()
        self.turns = self.turns or new_turns()
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
        """The number of connections whose client may miss an answer."""
        return sum(
            connection.is_busy
            or connection.has_unsent_data
            or connection.is_lingering
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
            if not connection.is_busy and not connection.is_lingering:
                connection.close()

    def close(self) -> None:
        """Closes the listener and all connections."""
        self.stop_accepting()
        if self._sweeper is not None:
            self._sweeper.cancel()
        for connection in list(self.connections):
            connection.close()

    def make_room(self) -> None:
        """Ends connections until what all hold is within the bounds."""
        while self.budget.is_exceeded:
            connection = self.budget.next_to_end(
                self.handler.limits().max_request_memory_bytes
            )
            if connection is None:
                return
            connection.end_for_others()

    def _sweep(self) -> None:
        limits = self.handler.limits()
        now_ms = self.clock.now_ms()
        for connection in list(self.connections):
            connection.enforce_timeouts(limits, now_ms)
        self.make_room()
        loop = asyncio.get_running_loop()
        self._sweeper = loop.call_later(SWEEP_INTERVAL_S, self._sweep)


def new_turns() -> "read_turns.ReadTurns[_Connection]":
    """Returns turns of servers that run on the running event loop."""
    loop = asyncio.get_running_loop()
    return read_turns.ReadTurns(loop.call_later, _Connection.read_on)


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


class _NoRoomError(_RefusedError):
    """Raised if a request is refused for lack of room."""

    def __init__(self, reason: str) -> None:
        super().__init__(_UNAVAILABLE, reason)


class _Connection(asyncio.BufferedProtocol):
    """A connection of a client.

    Attributes:
        is_lingering: Whether a refusal has been sent and the connection is kept
            open for a while, so that its client gets it.
    """

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
        # What is sent after the responses to earlier requests, to a client
        # whose further requests are not read.
        self._refusal: bytes | None = None
        self.is_lingering = False
        self._close_after = False
        self._last_progress_ms = server.clock.now_ms()
        self._is_reading = False
        self._in_headers = False
        self._blank_bytes = 0
        self._is_write_paused = False
        self._unsent_bytes = 0
        self._send_progress_ms = 0.0
        self._running_bytes = 0
        self._bytes_in_turn = 0
        self._waits_for_turn = False
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
        self.is_lingering = False
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
        self._server.budget.enter(self, connection_budget.Phase.IDLE)
        self._server.make_room()

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancels the requests of the disconnected client."""
        del exc
        self._server.connections.discard(self)
        self._server.budget.leave(self)
        self._turns.leave(self)
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
        self._update_account()

    def get_buffer(self, sizehint: int) -> memoryview:
        """Returns the buffer to read into."""
        del sizehint
        return self._server.read_buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Parses received data."""
        started_ms = self._server.clock.now_ms()
        self._bytes_in_turn += nbytes
        self._parse(self._server.read_buffer[:nbytes])
        if self._bytes_in_turn >= read_turns.TURN_BYTES:
            self._waits_for_turn = True
            self._turns.wait(self, self._server.clock.now_ms() - started_ms)
        self._update_reading()
        self._update_account()
        self._server.make_room()

    def read_on(self) -> None:
        """Reads on; called when it is the connection's turn."""
        self._bytes_in_turn = 0
        self._waits_for_turn = False
        self._update_reading()

    def end_for_others(self) -> None:
        """Frees what the connection holds; called when there is no room."""
        phase = self._server.budget.phase_of(self)
        if phase is not connection_budget.Phase.RECEIVING:
            self._abort(f"{phase.value} while there is no room")
            return
        has_too_many = self._server.budget.has_too_many
        self._refuse_with(
            self._server.handler.overload_response(), "no room for the request"
        )
        if has_too_many:
            # Its descriptor is needed now.
            self._server.budget.leave(self)
            self.close()

    @property
    def _turns(self) -> "read_turns.ReadTurns[_Connection]":
        assert self._server.turns is not None
        return self._server.turns

    def _update_reading(self) -> None:
        """Stops or continues to read; further data waits in the socket."""
        assert self._transport is not None
        if self._transport.is_closing():
            return
        if self._pending or self._waits_for_turn:
            self._transport.pause_reading()
        else:
            self._transport.resume_reading()

    def _parse(self, data: memoryview) -> None:
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
            if isinstance(cause, _NoRoomError):
                self._refuse_with(
                    self._server.handler.overload_response(), cause.reason
                )
            elif isinstance(cause, _RefusedError):
                self._refuse(cause.status, cause.reason)
            else:
                self._refuse(_BAD_REQUEST, f"malformed request: {error}")
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
        self._bytes_in_turn = 0
        if len(self._pending) >= MAX_PIPELINED_REQUESTS:
            raise _NoRoomError("too many pipelined requests")
        request = messages.Request(
            self._parser.get_method(),
            bytes(self._target),
            tuple(self._headers),
            bytes(self._body),
            self._received_ms,
        )
        self._reset_request()
        keep_alive = self._parser.should_keep_alive()
        self._pending.append(request)
        self._close_after = not keep_alive
        if self._task is None and not self._is_write_paused:
            self._start_next()

    def _update_account(self) -> None:
        """Tells the budget what the connection waits for and what it holds."""
        if self not in self._server.budget:
            return
        phase = self._phase()
        if phase is not self._server.budget.phase_of(self):
            self._server.budget.enter(self, phase)
        self._server.budget.hold(self, self._held_bytes())

    def _phase(self) -> connection_budget.Phase:
        if self._task is not None:
            return connection_budget.Phase.RUNNING
        if self._is_write_paused or self.has_unsent_data:
            return connection_budget.Phase.SENDING
        if self._is_refused:
            return connection_budget.Phase.REFUSED
        if self._is_reading:
            return connection_budget.Phase.RECEIVING
        return connection_budget.Phase.IDLE

    def _held_bytes(self) -> int:
        assert self._transport is not None
        return (
            _request_memory_bytes(
                max(self._received_bytes, self._header_bytes)
                if self._in_headers
                else self._header_bytes,
                len(self._headers),
            )
            + len(self._target)
            + len(self._body)
            + self._running_bytes
            + sum(map(_memory_of, self._pending))
            + self._transport.get_write_buffer_size()
        )

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
            max_bytes += 2 * len(self._body) + _FRAMING_BYTES
        if self._received_bytes > max_bytes:
            self._refuse(_HEADERS_TOO_LARGE, "the headers are too large")

    def _is_send_stalled(self, now_ms: float) -> bool:
        assert self._transport is not None
        unsent_bytes = self._transport.get_write_buffer_size()
        if unsent_bytes != self._unsent_bytes:
            self._unsent_bytes = unsent_bytes
            self._send_progress_ms = now_ms
            self._record_send_progress()
        return bool(unsent_bytes) and (
            now_ms - self._send_progress_ms > self._server.send_timeout_ms
        )

    def _start_next(self) -> None:
        """Starts the next request, once the client reads the responses."""
        self._task = None
        if not self._pending:
            self._last_progress_ms = self._server.clock.now_ms()
            if self._refusal is not None:
                self._send_refusal()
            elif self._close_after:
                self.close()
            return
        if self._is_write_paused:
            return
        request = self._pending.popleft()
        self._running_bytes = _memory_of(request)
        self._update_reading()
        loop = asyncio.get_running_loop()
        self._task = loop.create_task(self._answer(request))

    async def _answer(self, request: messages.Request) -> None:
        try:
            response = await self._response_to(request)
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
        self._running_bytes = 0
        if response.close:
            self._pending.clear()
            self._close_after = True
        self._start_next()
        self._update_account()
        self._server.make_room()

    async def _response_to(
        self, request: messages.Request
    ) -> messages.Response:
        handler = self._server.handler
        self._update_account()
        if not self._server.budget.may_run(
            self, handler.limits().max_request_memory_bytes
        ):
            self._log_refusal(_UNAVAILABLE, "no room to run the request")
            return handler.overload_response()
        return await handler.handle(request)

    def _record_send_progress(self) -> None:
        self._update_account()
        budget = self._server.budget
        if self in budget and (
            budget.phase_of(self) is connection_budget.Phase.SENDING
        ):
            budget.enter(self, connection_budget.Phase.SENDING)

    def _discard_request(self) -> None:
        """Frees what has been received of a request that is not completed."""
        self._reset_request()
        # The parser refers to this connection.
        self._parser = None

    def _refuse(self, status: int, reason: str) -> None:
        self._refuse_with(
            self._server.handler.refusal_response(status, reason), reason
        )

    def _refuse_with(self, response: messages.Response, reason: str) -> None:
        """Refuses a request that is not received completely, and its client."""
        self._is_refused = True
        self._is_reading = False
        self._discard_request()
        self._log_refusal(response.status, reason)
        self._refusal = messages.encode_response(response._replace(close=True))
        if self._task is None and not self._pending:
            self._send_refusal()
        self._update_account()

    def _send_refusal(self) -> None:
        """Sends a refusal, and discards what its client still sends."""
        refusal, self._refusal = self._refusal, None
        self._write(refusal or b"")
        self.is_lingering = True
        asyncio.get_running_loop().call_later(LINGER_TIMEOUT_S, self.close)

    def _log_refusal(self, status: int, reason: str) -> None:
        self._log("request not received", reason, status=status)

    def _log(self, message: str, reason: str, **fields: int) -> None:
        assert self._transport is not None
        budget = self._server.budget
        client = self._transport.get_extra_info("peername")
        self._server.refusal_log.write(
            message,
            reason=reason,
            client=":".join(map(str, client[:2])) if client else "unknown",
            connections=len(budget),
            held_bytes=budget.held_bytes,
            **fields,
        )

    def _abort(self, reason: str) -> None:
        """Closes the connection at once, without sending the rest."""
        self._log("connection aborted", reason)
        self._server.budget.leave(self)
        if self._transport is not None:
            self._transport.abort()

    def _write(self, data: bytes) -> None:
        if self._transport is not None and not self._transport.is_closing():
            self._transport.write(data)


def _request_memory_bytes(header_bytes: int, header_count: int) -> int:
    return header_bytes + _HEADER_OVERHEAD_BYTES * header_count


def _memory_of(request: messages.Request) -> int:
    """Returns the memory that a request takes while it runs."""
    header_bytes = sum(
        len(name) + len(value) for name, value in request.headers
    )
    return (
        _request_memory_bytes(header_bytes, len(request.headers))
        + len(request.target)
        + _BODY_COPIES * len(request.body)
    )

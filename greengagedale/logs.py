"""Structured logging with one JSON object per line.

The buffered handler keeps lines in memory and writes them later, in chunks
that a pipe accepts either completely without blocking or not at all. A stalled
reader therefore never blocks the process. Lines that exceed the buffer are
dropped and counted.
"""

import collections
import logging
import os
import select
import sys
from typing import Any, TextIO

from pythonjsonlogger import json as json_logger

from greengagedale import clocks

_FIELDS = "%(asctime)s %(levelname)s %(name)s %(message)s"
# A pipe that is ready for writing accepts this many bytes without blocking
# (PIPE_BUF in POSIX).
_CHUNK_BYTES = 4096
# Maximum size of the lines buffered while the reader is stalled.
MAX_BUFFERED_BYTES = 256 * 1024
# Maximum number of lines about single requests per second; further lines are
# only counted.
REQUEST_LINES_PER_S = 200


def configure(
    host: str,
    data_centre: str,
    level: str = "INFO",
    stream: TextIO | None = None,
) -> None:
    """Sends all logs of the process to a stream as JSON lines.

    Args:
        host: Name of the host, added to every line.
        data_centre: Data centre of the host, added to every line.
        level: Minimum level of the lines written.
        stream: Stream to write to; standard error if None.
    """
    _install(
        logging.StreamHandler(stream or sys.stderr), host, data_centre, level
    )


def configure_buffered(
    host: str, data_centre: str, level: str = "INFO"
) -> "BufferedHandler":
    """Sends all logs to standard output without ever blocking.

    Returns:
        The handler. Its owner calls `flush_without_blocking` regularly.
    """
    handler = BufferedHandler(sys.stdout.fileno())
    _install(handler, host, data_centre, level)
    return handler


class BufferedHandler(logging.Handler):
    """Buffers lines until they can be written without blocking.

    Attributes:
        dropped: Number of lines dropped because the buffer was full.
    """

    def __init__(self, descriptor: int) -> None:
        super().__init__()
        self.dropped = 0
        self._descriptor = descriptor
        self._poll = select.poll()
        self._poll.register(descriptor, select.POLLOUT)
        self._buffer: collections.deque[bytes] = collections.deque()
        self._buffered_bytes = 0
        self._reported_dropped = 0

    def emit(self, record: logging.LogRecord) -> None:
        """Adds a line to the buffer, or drops it if the buffer is full."""
        try:
            line = self.format(record).encode() + b"\n"
        except (TypeError, ValueError):
            self.handleError(record)
            return
        if self._buffered_bytes + len(line) > MAX_BUFFERED_BYTES:
            self.dropped += 1
            return
        self._buffer.append(line)
        self._buffered_bytes += len(line)

    def flush(self) -> None:
        """Writes the buffered lines that can be written without blocking."""
        self.flush_without_blocking()

    def flush_without_blocking(self) -> None:
        """Writes the buffered lines that can be written without blocking."""
        if self.dropped > self._reported_dropped and not self._buffer:
            self._reported_dropped = self.dropped
            logging.getLogger(__name__).warning(
                "log lines dropped", extra={"dropped": self.dropped}
            )
        while self._buffer and self._poll.poll(0):
            chunk = self._next_chunk()
            try:
                written = os.write(self._descriptor, chunk)
            except OSError:
                # The reader has closed the pipe, so nothing can be written.
                self._buffer.clear()
                self._buffered_bytes = 0
                return
            if written < len(chunk):
                self._buffer.appendleft(chunk[written:])
                self._buffered_bytes += len(chunk) - written

    def _next_chunk(self) -> bytes:
        chunk = bytearray()
        while (
            self._buffer and len(chunk) + len(self._buffer[0]) <= _CHUNK_BYTES
        ):
            chunk += self._buffer.popleft()
        if not chunk:
            line = self._buffer.popleft()
            chunk += line[:_CHUNK_BYTES]
            if line[_CHUNK_BYTES:]:
                self._buffer.appendleft(line[_CHUNK_BYTES:])
        self._buffered_bytes -= len(chunk)
        return bytes(chunk)


class RequestLog:
    """Logs single requests, up to a maximum number of lines per second."""

    def __init__(
        self, clock: clocks.Clock, lines_per_s: int = REQUEST_LINES_PER_S
    ) -> None:
        self._clock = clock
        self._lines_per_s = lines_per_s
        self._log = logging.getLogger("greengagedale.requests")
        self._second = 0
        self._lines = 0
        self._suppressed = 0

    def write(self, message: str, **fields: Any) -> None:
        """Writes a line, or only counts it above the limit of this second."""
        second = int(self._clock.now_ms() // 1000)
        if second != self._second:
            if self._suppressed:
                self._log.warning(
                    "request log lines above the rate limit were dropped",
                    extra={"count": self._suppressed},
                )
            self._second, self._lines, self._suppressed = second, 0, 0
        if self._lines >= self._lines_per_s:
            self._suppressed += 1
            return
        self._lines += 1
        self._log.info(message, extra=fields)


def _install(
    handler: logging.Handler, host: str, data_centre: str, level: str
) -> None:
    handler.setFormatter(
        json_logger.JsonFormatter(
            _FIELDS,
            rename_fields={"asctime": "time", "levelname": "level"},
            static_fields={"host": host, "data_centre": data_centre},
        )
    )
    logging.basicConfig(level=level, handlers=[handler], force=True)
    logging.getLogger("aiohttp.access").setLevel(logging.WARNING)

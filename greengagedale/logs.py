"""Structured logs: one JSON object a line.

Lines are kept in memory and written a little later in pieces that a pipe
takes at once or not at all, so that a reader that stands still never blocks
the process. What does not fit is dropped and counted.
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
# A pipe that is ready for writing takes this many bytes without blocking
# (POSIX, PIPE_BUF).
_PIECE_BYTES = 4096
# Lines kept for a reader that stands still.
MAX_BUFFERED_BYTES = 256 * 1024
# Lines about single requests written in a second; more are counted only.
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
        level: Lowest level that is written.
        stream: Where to; standard error if None.
    """
    _install(
        logging.StreamHandler(stream or sys.stderr), host, data_centre, level
    )


def configure_buffered(
    host: str, data_centre: str, level: str = "INFO"
) -> "BufferedHandler":
    """Sends all logs to standard output without ever blocking.

    Returns:
        The handler; its owner calls `flush_some` every now and then.
    """
    handler = BufferedHandler(sys.stdout.fileno())
    _install(handler, host, data_centre, level)
    return handler


class BufferedHandler(logging.Handler):
    """Keeps lines until they can be written without blocking.

    Attributes:
        dropped: Lines that did not fit.
    """

    def __init__(self, descriptor: int) -> None:
        super().__init__()
        self.dropped = 0
        self._descriptor = descriptor
        self._poll = select.poll()
        self._poll.register(descriptor, select.POLLOUT)
        self._kept: collections.deque[bytes] = collections.deque()
        self._kept_bytes = 0
        self._told = 0

    def emit(self, record: logging.LogRecord) -> None:
        """Keeps a line."""
        try:
            line = self.format(record).encode() + b"\n"
        except (TypeError, ValueError):
            self.handleError(record)
            return
        if self._kept_bytes + len(line) > MAX_BUFFERED_BYTES:
            self.dropped += 1
            return
        self._kept.append(line)
        self._kept_bytes += len(line)

    def flush(self) -> None:
        """Writes what can be written at once."""
        self.flush_without_blocking()

    def flush_without_blocking(self) -> None:
        """Writes what can be written at once."""
        if self.dropped > self._told and not self._kept:
            self._told = self.dropped
            logging.getLogger(__name__).warning(
                "log lines dropped", extra={"dropped": self.dropped}
            )
        while self._kept and self._poll.poll(0):
            piece = self._next_piece()
            try:
                written = os.write(self._descriptor, piece)
            except OSError:
                # Nobody reads any more; the lines have nowhere to go.
                self._kept.clear()
                self._kept_bytes = 0
                return
            if written < len(piece):
                self._kept.appendleft(piece[written:])
                self._kept_bytes += len(piece) - written

    def _next_piece(self) -> bytes:
        piece = bytearray()
        while self._kept and len(piece) + len(self._kept[0]) <= _PIECE_BYTES:
            piece += self._kept.popleft()
        if not piece:
            line = self._kept.popleft()
            piece += line[:_PIECE_BYTES]
            if line[_PIECE_BYTES:]:
                self._kept.appendleft(line[_PIECE_BYTES:])
        self._kept_bytes -= len(piece)
        return bytes(piece)


class RequestLog:
    """Lines about single requests, so many a second at most."""

    def __init__(
        self, clock: clocks.Clock, lines_per_s: int = REQUEST_LINES_PER_S
    ) -> None:
        self._clock = clock
        self._lines_per_s = lines_per_s
        self._log = logging.getLogger("greengagedale.requests")
        self._second = 0
        self._lines = 0
        self._left_out = 0

    def write(self, message: str, **fields: Any) -> None:
        """Writes a line, or counts it if there were enough this second."""
        second = int(self._clock.now_ms() // 1000)
        if second != self._second:
            if self._left_out:
                self._log.warning(
                    "request lines left out", extra={"count": self._left_out}
                )
            self._second, self._lines, self._left_out = second, 0, 0
        if self._lines >= self._lines_per_s:
            self._left_out += 1
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

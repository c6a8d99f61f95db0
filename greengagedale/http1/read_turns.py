"""Shares the event loop among connections whose clients send without pause.

Answers the load of clients that keep the process busy with parsing: long
bodies, chunks of one byte, or data that is only discarded. Such connections
read in turns, one at a time, and the next turn comes after as much time as the
reading took. They use at most half of the processor together, and a single one
is hardly delayed. All other connections read whenever data arrives.
"""

from collections.abc import Callable
from typing import Any, Generic, TypeVar

# A connection that has read this much without completing a request waits for
# its next turn.
TURN_BYTES = 32 * 1024
_MS_PER_S = 1000.0

# Calls a function after a time in seconds.
CallLater = Callable[[float, Callable[[], None]], Any]
_T = TypeVar("_T")


class ReadTurns(Generic[_T]):
    """A queue of connections that wait to read on."""

    def __init__(
        self, call_later: CallLater, read_on: Callable[[_T], None]
    ) -> None:
        """Initializes an empty queue.

        Args:
            call_later: Calls a function after a time in seconds.
            read_on: Lets a connection read again.
        """
        self._call_later = call_later
        self._read_on = read_on
        # A dict keeps the order in which connections came.
        self._waiting: dict[_T, None] = {}
        self._is_scheduled = False
        self._unpaid_ms = 0.0

    def __len__(self) -> int:
        return len(self._waiting)

    def wait(self, connection: _T, cost_ms: float) -> None:
        """Queues a connection for its next turn.

        Args:
            connection: The connection, which has stopped reading.
            cost_ms: Time that its reading took.
        """
        self._waiting[connection] = None
        self._unpaid_ms += cost_ms
        self._schedule()

    def leave(self, connection: _T) -> None:
        """Removes a connection, which may not be waiting."""
        self._waiting.pop(connection, None)

    def _schedule(self) -> None:
        if self._is_scheduled or not self._waiting:
            return
        self._is_scheduled = True
        delay_ms, self._unpaid_ms = self._unpaid_ms, 0.0
        self._call_later(delay_ms / _MS_PER_S, self._give_turn)

    def _give_turn(self) -> None:
        self._is_scheduled = False
        if self._waiting:
            connection = next(iter(self._waiting))
            del self._waiting[connection]
            self._read_on(connection)
        self._schedule()

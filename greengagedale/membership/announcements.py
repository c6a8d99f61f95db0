"""News: small facts that every host should know soon, and then forget.

Hosts pass news on with their heartbeats. News is bounded, expires, and needs
no agreement: a host that misses some is only slower to act on it.
"""

from collections.abc import Callable
from typing import NamedTuple

from greengagedale import clocks

MAX_ANNOUNCEMENTS = 256


class Announcement(NamedTuple):
    """One fact.

    Attributes:
        kind: What it is about, such as `leaving` or `quarantine`.
        name: What it is true of; one fact is kept for each kind and name.
        sequence: Rises when the fact changes; the highest wins.
        body: Details, as text.
        left_ms: How much longer it is to be passed on.
    """

    kind: str
    name: str
    sequence: int
    body: str
    remaining_ms: float


Listener = Callable[[Announcement], None]


class AnnouncementCache:
    """The news that this host knows; the oldest goes when it is full."""

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._entries: dict[tuple[str, str], tuple[Announcement, float]] = {}
        self._listeners: list[tuple[str, Listener]] = []

    def subscribe(self, kind: str, listener: Listener) -> None:
        """Calls a listener with each fact of a kind that is new here."""
        self._listeners.append((kind, listener))

    def add(self, item: Announcement) -> bool:
        """Takes in a fact; False if it is known or has expired."""
        key = (item.kind, item.name)
        held = self._entries.get(key)
        if item.remaining_ms <= 0 or (
            held and held[0].sequence >= item.sequence
        ):
            return False
        self._entries.pop(key, None)
        self._entries[key] = (item, self._clock.now_ms() + item.remaining_ms)
        if len(self._entries) > MAX_ANNOUNCEMENTS:
            del self._entries[next(iter(self._entries))]
        for kind, listener in self._listeners:
            if kind == item.kind:
                listener(item)
        return True

    def current(self) -> list[Announcement]:
        """Returns all facts that have not expired, newest first."""
        now_ms = self._clock.now_ms()
        self._entries = {
            key: entry
            for key, entry in self._entries.items()
            if entry[1] > now_ms
        }
        return [
            item._replace(remaining_ms=expires_ms - now_ms)
            for item, expires_ms in reversed(self._entries.values())
        ]

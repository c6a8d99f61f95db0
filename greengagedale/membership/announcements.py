"""Announcements: small, short-lived facts that are gossiped to all hosts.

Hosts add announcements to the datagrams of the membership protocol. Their
number is bounded, they expire, and they need no consensus: a host that misses
an announcement only reacts later.
"""

from collections.abc import Callable
from typing import NamedTuple

from greengagedale import clocks

MAX_ANNOUNCEMENTS = 256


class Announcement(NamedTuple):
    """One announcement.

    Attributes:
        kind: Kind of the announcement, such as `leaving` or `quarantine`.
        name: Name of its subject. One announcement is stored for each kind
            and name.
        sequence: Increases with each change; the highest sequence replaces
            lower ones.
        body: Details, as text.
        remaining_ms: Time until it expires and is no longer passed on.
    """

    kind: str
    name: str
    sequence: int
    body: str
    remaining_ms: float


Listener = Callable[[Announcement], None]


class AnnouncementCache:
    """Announcements known to this host; evicts the oldest when full."""

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._entries: dict[tuple[str, str], tuple[Announcement, float]] = {}
        self._listeners: list[tuple[str, Listener]] = []

    def subscribe(self, kind: str, listener: Listener) -> None:
        """Calls a listener with each new announcement of a kind."""
        self._listeners.append((kind, listener))

    def add(self, item: Announcement) -> bool:
        """Adds an announcement; returns False if it is known or expired."""
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
        """Returns all unexpired announcements, last added first."""
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

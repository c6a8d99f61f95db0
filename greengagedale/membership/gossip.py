"""Chooses what is added to messages, within a budget of bytes."""

from collections.abc import Iterable
import itertools
import math
import random

from greengagedale.membership import announcements as announcements_lib
from greengagedale.membership import messages
from greengagedale.membership import peer_table as peer_table_lib

_REPEATS = 3
MOST_NEWS_BYTES = 250
_BURST_S = 4.0
_MS_PER_S = 1000.0


class Budget:
    """Bytes that may be sent; unused ones are saved for some seconds."""

    def __init__(self, bytes_per_s: float, now_ms: float) -> None:
        self._rate = bytes_per_s
        self._left = bytes_per_s * _BURST_S
        self._at_ms = now_ms

    def left_bytes(self, now_ms: float) -> int:
        """Returns how much may be sent now; negative when overdrawn."""
        earned = (now_ms - self._at_ms) / _MS_PER_S * self._rate
        self._left = min(self._rate * _BURST_S, self._left + earned)
        self._at_ms = now_ms
        return int(self._left)

    def spend(self, sent_bytes: int) -> None:
        """Takes bytes off the budget."""
        self._left -= sent_bytes

    def has_reserve(self, now_ms: float) -> bool:
        """Tells whether more is saved than what is kept for urgent things."""
        return self.left_bytes(now_ms) > self._rate * _BURST_S / 2


class Gossip:
    """What is still to be passed on, the least often passed on first.

    Attributes:
        urgent: Whether something new is worth a message of its own.
    """

    def __init__(
        self,
        table: peer_table_lib.PeerTable,
        announcement_cache: announcements_lib.AnnouncementCache,
        rng: random.Random,
    ) -> None:
        self._table = table
        self._announcement_cache = announcement_cache
        self._rng = rng
        self._updates: dict[str, int] = {}
        self._news: dict[tuple[str, str, int], int] = {}
        self._rotation: list[str] = []
        self.urgent = False

    def enqueue(self, name: str, urgent: bool) -> None:
        """Has what is known of a host passed on."""
        self._updates.pop(name, None)
        self._updates[name] = 0
        self.urgent = self.urgent or urgent

    def note_news(self) -> None:
        """Looks for facts that have not been passed on yet."""
        keys = {
            _key_of(item)
            for item in self._announcement_cache.current()
            if messages.size_bytes(item) <= MOST_NEWS_BYTES
        }
        self._news = {key: self._news.get(key, 0) for key in keys}
        if any(sends == 0 for sends in self._news.values()):
            self.urgent = True

    def fill(
        self,
        message: messages.Datagram,
        first: str | None,
        limit_bytes: int,
        rotate: bool,
    ) -> messages.Datagram:
        """Adds updates and news to a message, up to a size.

        Args:
            message: The message without any.
            first: Host to tell about before all others, if it is known.
            limit_bytes: Largest size of the result.
            rotate: Whether hosts without news fill what room is left.
        """
        left = limit_bytes - messages.size_bytes(message)
        share = max(left // 2, min(left, MOST_NEWS_BYTES))
        chosen_news, left = self._take(self._news_to_send(), share, left)
        names = itertools.chain(
            [first] if first is not None else [],
            sorted(self._updates, key=self._updates.__getitem__),
            self._rotated() if rotate else [],
        )
        updates = self._updates_of(names, message.sender.name)
        chosen, _ = self._take(updates, left, left)
        self._count(chosen, chosen_news)
        return message._replace(
            updates=tuple(chosen), announcements=tuple(chosen_news)
        )

    def _take(
        self, items: Iterable, share_bytes: int, left_bytes: int
    ) -> tuple[list, int]:
        chosen = []
        for item in items:
            size = messages.size_bytes(item)
            if size > share_bytes:
                break
            chosen.append(item)
            share_bytes -= size
            left_bytes -= size
        return chosen, left_bytes

    def _news_to_send(self) -> list[announcements_lib.Announcement]:
        most = self._most_sends()
        items = [
            item._replace(remaining_ms=int(item.remaining_ms))
            for item in self._announcement_cache.current()
            if self._news.get(_key_of(item), most) < most
        ]
        return sorted(items, key=lambda item: self._news.get(_key_of(item), 0))

    def _rotated(self) -> Iterable[str]:
        """Names each host in turn: refreshes load, repairs lost updates."""
        for _ in range(len(self._table.peers)):
            yield self._next_in_rotation()

    def _next_in_rotation(self) -> str:
        if not self._rotation:
            self._rotation = list(self._table.peers)
            self._rng.shuffle(self._rotation)
        return self._rotation.pop()

    def _updates_of(
        self, names: Iterable[str], sender: str
    ) -> Iterable[messages.Update]:
        seen = {sender}
        for name in names:
            member = self._table.peers.get(name)
            if member is None or name in seen:
                continue
            seen.add(name)
            yield _told(member.update)

    def _count(
        self,
        updates: list[messages.Update],
        items: list[announcements_lib.Announcement],
    ) -> None:
        most = self._most_sends()
        for update in updates:
            sends = self._updates.get(update.name)
            if sends is None:
                continue
            if sends + 1 >= most:
                del self._updates[update.name]
            else:
                self._updates[update.name] = sends + 1
        for item in items:
            key = _key_of(item)
            self._news[key] = self._news.get(key, 0) + 1

    def _most_sends(self) -> int:
        hosts = len(self._table.peers) + 1
        return _REPEATS * math.ceil(math.log2(hosts + 1))


def _told(update: messages.Update) -> messages.Update:
    if update.state is messages.State.ALIVE:
        return update
    return update._replace(status=None)


def _key_of(item: announcements_lib.Announcement) -> tuple[str, str, int]:
    return item.kind, item.name, item.sequence

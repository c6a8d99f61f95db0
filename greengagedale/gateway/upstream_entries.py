"""Entries of upstreams in the platform's list."""

import functools
import ipaddress
from typing import NamedTuple

MAX_TEXT_CHARS = 256
MAX_SLOTS = 1_000_000
# Largest number that all encodings of messages carry.
MAX_COUNT = 2**63 - 1
MAX_WARM_UP_MS = 1e12
_MAX_PORT = 2**16 - 1

# Name of an upstream and start time of the incarnation, as in `born_ms`.
UpstreamIncarnation = tuple[str, int]


class Upstream(NamedTuple):
    """One incarnation of an upstream.

    Attributes:
        name: Name, unique among the upstreams at any time; a restarted upstream
            may keep it.
        service: Name of its service.
        address: IP address.
        port: TCP port.
        data_centre: Data centre that it runs in.
        slots: Number of requests that it can run at once.
        is_leaving: Whether it announced that it is leaving.
        born_ms: Start time reported by the upstream; distinguishes
            incarnations.
        sequence: Number that increases with each report of an incarnation.
        warm_up_ms: Remaining warm-up time, as last reported.
    """

    name: str
    service: str
    address: str
    port: int
    data_centre: str
    slots: int
    is_leaving: bool
    born_ms: int
    sequence: int
    warm_up_ms: float

    @property
    def incarnation(self) -> UpstreamIncarnation:
        """The key of this incarnation of the upstream."""
        return (self.name, self.born_ms)

    def problem(self) -> str | None:
        """Returns why hosts can't use or pass on this entry; None if they can.

        Anyone may write entries. The name becomes part of requests, the address
        is connected to, and the whole entry of messages to other hosts.
        """
        if not self.name.isascii() or not self.name.isprintable():
            return f"expected a name of printable ASCII, got {self.name!r}"
        if not self.name.strip() == self.name != "" or not self.service:
            return "expected a name and a service"
        longest = max(len(self.name), len(self.service), len(self.data_centre))
        if longest > MAX_TEXT_CHARS:
            return f"expected at most {MAX_TEXT_CHARS} characters in each text"
        if not _is_ip_address(self.address):
            return f"expected an IP address, got {self.address!r}"
        if not 1 <= self.port <= _MAX_PORT:
            return f"expected a port from 1 to {_MAX_PORT}, got {self.port}"
        if not 1 <= self.slots <= MAX_SLOTS:
            return f"expected 1 to {MAX_SLOTS} slots, got {self.slots}"
        if not min(self.born_ms, self.sequence) >= 0:
            return "expected a start time and a sequence of at least 0"
        if max(self.born_ms, self.sequence) > MAX_COUNT:
            return f"expected a start time and a sequence up to {MAX_COUNT}"
        if not 0.0 <= self.warm_up_ms <= MAX_WARM_UP_MS:
            return f"expected up to {MAX_WARM_UP_MS} ms of warm-up"
        return None

    def supersedes(self, other: "Upstream") -> bool:
        """Returns whether this entry is as new as another of the same name."""
        return (self.born_ms, self.sequence) >= (other.born_ms, other.sequence)


# Upstreams report often, and each time with the same address.
@functools.lru_cache(maxsize=4096)
def _is_ip_address(text: str) -> bool:
    if not text.isascii() or not text.isprintable():
        # The scope of an IPv6 address may hold any character.
        return False
    try:
        ipaddress.ip_address(text)
    except ValueError:
        return False
    return True

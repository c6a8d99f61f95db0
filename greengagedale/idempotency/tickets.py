"""Tickets, from which callers create keys that only one incarnation may run.

A locate answer contains a ticket issued by the answering host. A key created
from the ticket names the incarnation of that host, so no other process ever
runs it, and no record of the key has to outlive the process.
"""

import secrets
from typing import NamedTuple, Self

_PREFIX = "t1"
_SEPARATOR = "."
_NONCE_BYTES = 9
_TICKET_PARTS = 4
_HEX_BASE = 16


class Issuer(NamedTuple):
    """The only process that may run a key.

    Attributes:
        host: Name of the host.
        incarnation: Incarnation of the host's process.
    """

    host: str
    incarnation: str


class Ticket(NamedTuple):
    """Allows a caller to create keys for one process.

    Attributes:
        issuer: Process that may run the keys.
        issued_ms: Issue time, by the issuer's clock.
    """

    issuer: Issuer
    issued_ms: int

    def encode(self) -> str:
        """Returns the ticket as text."""
        return _SEPARATOR.join((_PREFIX, *self.issuer, f"{self.issued_ms:x}"))

    @classmethod
    def from_key(cls, key: str) -> Self | None:
        """Returns the ticket that a key was created from, or None."""
        parts = key.split(_SEPARATOR)
        if len(parts) != _TICKET_PARTS + 1 or parts[0] != _PREFIX:
            return None
        try:
            issued_ms = int(parts[3], _HEX_BASE)
        except ValueError:
            return None
        return cls(Issuer(parts[1], parts[2]), issued_ms)


def new_key(ticket: str) -> str:
    """Creates a key from an encoded ticket."""
    return f"{ticket}{_SEPARATOR}{secrets.token_hex(_NONCE_BYTES)}"

"""Tickets: rights to make idempotency keys that one incarnation may run.

A locate answer carries a ticket of the host that gave it. A key made from the
ticket names that host's incarnation, so no other process ever runs it, and no
record of it has to outlive the process.
"""

import secrets
from typing import NamedTuple, Self

_PREFIX = "t1"
_SEPARATOR = "."
_NONCE_BYTES = 9
_TICKET_PARTS = 4
_HEX = 16


class Issuer(NamedTuple):
    """The one process that may run a key.

    Attributes:
        host: Name of the host.
        incarnation: Identifies the life of its process.
    """

    host: str
    incarnation: str


class Ticket(NamedTuple):
    """A right to make keys.

    Attributes:
        issuer: The process that may run them.
        issued_ms: When it was issued, by the issuer's clock.
    """

    issuer: Issuer
    issued_ms: int

    def encode(self) -> str:
        """Returns the ticket as text."""
        return _SEPARATOR.join((_PREFIX, *self.issuer, f"{self.issued_ms:x}"))

    @classmethod
    def from_key(cls, key: str) -> Self | None:
        """Returns the ticket that a key was made from, or None."""
        parts = key.split(_SEPARATOR)
        if len(parts) != _TICKET_PARTS + 1 or parts[0] != _PREFIX:
            return None
        try:
            issued_ms = int(parts[3], _HEX)
        except ValueError:
            return None
        return cls(Issuer(parts[1], parts[2]), issued_ms)


def new_key(ticket: str) -> str:
    """Makes a key from an encoded ticket."""
    return f"{ticket}{_SEPARATOR}{secrets.token_hex(_NONCE_BYTES)}"

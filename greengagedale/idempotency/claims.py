"""Claims: keys that callers choose, owned by one process in the platform.

The claim is created on the condition that there is none, before the request
is dispatched. It is never taken over, so a lapsed or frozen owner is no
danger: a key whose owner is gone is unknown for ever.
"""

import abc
import asyncio
import dataclasses
import hashlib
import secrets
from typing import ClassVar, NamedTuple

import msgspec

from greengagedale import clocks
from greengagedale.idempotency import key_table
from greengagedale.idempotency import tickets
from greengagedale.store import base as store_base

KIND_CLAIM = "claims"

_MS_PER_S = 1000.0
_TOKEN_BYTES = 12
_PAUSES_S = (0.02, 0.05, 0.1)
_MOST_UNRESOLVED = 10_000


class Claim(NamedTuple):
    """What the platform holds of a key.

    Attributes:
        host: Name of the owner.
        incarnation: Incarnation of the owner.
        token: Identifies the call that made the claim.
    """

    host: str
    incarnation: str
    token: str


@dataclasses.dataclass(frozen=True, slots=True)
class Owned:
    """This process owns the key, from now on."""

    tag: ClassVar[str] = "owned"


@dataclasses.dataclass(frozen=True, slots=True)
class OwnedByOther:
    """Another process owns the key, or an earlier call of this one."""

    tag: ClassVar[str] = "held_by_other"
    owner: tickets.Issuer


@dataclasses.dataclass(frozen=True, slots=True)
class NotClaimed:
    """The platform refused; this call left no claim behind."""

    tag: ClassVar[str] = "refused"


@dataclasses.dataclass(frozen=True, slots=True)
class Unresolved:
    """It could not be found out in time whose the key is."""

    tag: ClassVar[str] = "unresolved"


ClaimResult = Owned | OwnedByOther | NotClaimed | Unresolved


class ClaimRegistry(abc.ABC):
    """Decides which process owns a key."""

    @abc.abstractmethod
    async def claim(
        self, identity: key_table.ScopedKey, deadline_ms: float
    ) -> ClaimResult:
        """Claims a key for this process, unless it is owned already."""


class PlatformClaimRegistry(ClaimRegistry):
    """Claims as objects in the platform."""

    def __init__(
        self,
        store: store_base.ObjectStore,
        owner: tickets.Issuer,
        clock: clocks.Clock,
    ) -> None:
        self._store = store
        self._owner = owner
        self._clock = clock
        self._unresolved: dict[key_table.ScopedKey, str] = {}

    async def claim(
        self, identity: key_table.ScopedKey, deadline_ms: float
    ) -> ClaimResult:
        """Claims a key for this process, unless it is owned already.

        A create whose reply is lost is resolved by reading the claim's token.
        While that fails, the token is kept for the next call.
        """
        token = self._unresolved.pop(identity, None)
        unsure = token is not None
        token = token or secrets.token_hex(_TOKEN_BYTES)
        wanted = Claim(*self._owner, token)
        for pause_s in _PAUSES_S:
            if self._clock.now_ms() >= deadline_ms:
                break
            written = await self._create(identity, wanted, deadline_ms)
            if isinstance(written, store_base.Written):
                return Owned()
            if isinstance(written, store_base.Unavailable) and not unsure:
                return NotClaimed()
            unsure = True
            found = await self._store.get(KIND_CLAIM, name_of(identity))
            if isinstance(found, store_base.Found):
                return _owner_of(found.stored.value, wanted)
            await asyncio.sleep(pause_s)
        self._keep(identity, token)
        return Unresolved()

    async def _create(
        self, identity: key_table.ScopedKey, wanted: Claim, deadline_ms: float
    ) -> (
        store_base.Written
        | store_base.Conflict
        | store_base.Unavailable
        | store_base.Unsure
    ):
        name, value = name_of(identity), msgspec.json.encode(wanted)
        left_ms = max(0.0, deadline_ms - self._clock.now_ms())
        try:
            async with asyncio.timeout(left_ms / _MS_PER_S):
                return await self._store.put(KIND_CLAIM, name, value, 0)
        except TimeoutError:
            return store_base.Unsure("no reply until the deadline")

    def _keep(self, identity: key_table.ScopedKey, token: str) -> None:
        self._unresolved[identity] = token
        if len(self._unresolved) > _MOST_UNRESOLVED:
            del self._unresolved[next(iter(self._unresolved))]


def name_of(identity: key_table.ScopedKey) -> str:
    """Returns the name of a key's claim; keys may hold any character."""
    encoded = msgspec.json.encode(identity)
    return hashlib.sha256(encoded).hexdigest()


def _owner_of(value: bytes, wanted: Claim) -> ClaimResult:
    try:
        held = msgspec.json.decode(value, type=Claim)
    except msgspec.DecodeError:
        return Unresolved()
    if held.token == wanted.token:
        return Owned()
    return OwnedByOther(tickets.Issuer(held.host, held.incarnation))

"""Claims that make one process the owner of a key chosen by a caller.

A claim is an object in the platform, created before the request is dispatched
and only if the key has no claim yet. A claim is never taken over, so an owner
that is frozen or whose lease has expired can't cause a second run. The outcome
of a key whose owner is gone stays unknown permanently.
"""

import abc
import asyncio
import dataclasses
import hashlib
import secrets
from typing import ClassVar, NamedTuple

import msgspec

from greengagedale import clocks
from greengagedale import untrusted_json
from greengagedale.idempotency import key_table
from greengagedale.idempotency import tickets
from greengagedale.store import base as store_base

KIND_CLAIM = "claims"

_MS_PER_S = 1000.0
_TOKEN_BYTES = 12
_RETRY_DELAYS_S = (0.02, 0.05, 0.1)
_MAX_UNRESOLVED = 10_000


class Claim(NamedTuple):
    """A claim as stored in the platform.

    Attributes:
        host: Host name of the owner.
        incarnation: Incarnation of the owner.
        token: Identifies the call that created the claim.
    """

    host: str
    incarnation: str
    token: str


@dataclasses.dataclass(frozen=True, slots=True)
class Owned:
    """This call made this process the owner of the key."""

    tag: ClassVar[str] = "owned"


@dataclasses.dataclass(frozen=True, slots=True)
class OwnedByOther:
    """Another process, or an earlier call of this one, owns the key."""

    tag: ClassVar[str] = "held_by_other"
    owner: tickets.Issuer


@dataclasses.dataclass(frozen=True, slots=True)
class NotClaimed:
    """The platform was unavailable, and this call created no claim."""

    tag: ClassVar[str] = "refused"


@dataclasses.dataclass(frozen=True, slots=True)
class Unresolved:
    """The owner of the key could not be determined in time."""

    tag: ClassVar[str] = "unresolved"


ClaimResult = Owned | OwnedByOther | NotClaimed | Unresolved


class ClaimRegistry(abc.ABC):
    """Registers which process owns a key."""

    @abc.abstractmethod
    async def claim(
        self, scoped_key: key_table.ScopedKey, deadline_ms: float
    ) -> ClaimResult:
        """Claims a key for this process, unless it is already owned."""


class PlatformClaimRegistry(ClaimRegistry):
    """Stores claims as objects in the platform."""

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
        self, scoped_key: key_table.ScopedKey, deadline_ms: float
    ) -> ClaimResult:
        """Claims a key for this process, unless it is already owned.

        If the reply to the create is lost, the token of the stored claim tells
        whether it succeeded. If that can't be read, the token is kept for the
        next call.
        """
        token = self._unresolved.pop(scoped_key, None)
        may_exist = token is not None
        token = token or secrets.token_hex(_TOKEN_BYTES)
        own_claim = Claim(*self._owner, token)
        for delay_s in _RETRY_DELAYS_S:
            if self._clock.now_ms() >= deadline_ms:
                break
            created = await self._create(scoped_key, own_claim, deadline_ms)
            if isinstance(created, store_base.Written):
                return Owned()
            if isinstance(created, store_base.Unavailable) and not may_exist:
                return NotClaimed()
            may_exist = True
            found = await self._store.get(KIND_CLAIM, object_name(scoped_key))
            if isinstance(found, store_base.Found):
                return _claim_result(found.stored.value, own_claim)
            await asyncio.sleep(delay_s)
        self._remember_unresolved(scoped_key, token)
        return Unresolved()

    async def _create(
        self,
        scoped_key: key_table.ScopedKey,
        own_claim: Claim,
        deadline_ms: float,
    ) -> (
        store_base.Written
        | store_base.Conflict
        | store_base.Unavailable
        | store_base.WriteOutcomeUnknown
    ):
        name, value = object_name(scoped_key), msgspec.json.encode(own_claim)
        remaining_ms = max(0.0, deadline_ms - self._clock.now_ms())
        try:
            async with asyncio.timeout(remaining_ms / _MS_PER_S):
                return await self._store.put(KIND_CLAIM, name, value, 0)
        except TimeoutError:
            return store_base.WriteOutcomeUnknown(
                "no reply before the deadline"
            )

    def _remember_unresolved(
        self, scoped_key: key_table.ScopedKey, token: str
    ) -> None:
        self._unresolved[scoped_key] = token
        if len(self._unresolved) > _MAX_UNRESOLVED:
            del self._unresolved[next(iter(self._unresolved))]


def object_name(scoped_key: key_table.ScopedKey) -> str:
    """Returns the hashed object name; keys may hold any character."""
    encoded = msgspec.json.encode(scoped_key)
    return hashlib.sha256(encoded).hexdigest()


def _claim_result(value: bytes, own_claim: Claim) -> ClaimResult:
    try:
        stored = untrusted_json.decode(value, Claim)
    except msgspec.DecodeError:
        return Unresolved()
    if stored.token == own_claim.token:
        return Owned()
    return OwnedByOther(tickets.Issuer(stored.host, stored.incarnation))

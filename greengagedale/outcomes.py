"""What became of a caller's request: the only three answers there are.

`NotRun` is a promise, so it is made in one place, `of_attempts`, and only
from evidence that no upstream can have started on the request.
"""

from collections.abc import Iterable
import dataclasses
import enum
from typing import Any, ClassVar


class Reason(enum.StrEnum):
    """Why a request was not run, or why that is unknown."""

    CONNECT_FAILED = "connect_failed"
    DEADLINE = "deadline"
    DRAINING = "draining"
    EARLY_STOP = "early_stop"
    EXPIRED_KEY = "expired_key"
    FOREIGN_KEY = "foreign_key"
    INTERNAL = "internal"
    ISSUER_GONE = "issuer_gone"
    ISSUER_UNREACHABLE = "issuer_unreachable"
    KEY_CONFLICT = "key_conflict"
    KEYS_FULL = "keys_full"
    NO_PROGRESS = "no_progress"
    NO_REPLICA = "no_replica"
    NOT_READY = "not_ready"
    OVERLOADED = "overloaded"
    PLATFORM_DOWN = "platform_down"
    QUARANTINED = "quarantined"
    REPLY_LOST = "reply_lost"
    REJECTED = "rejected"
    SNAPSHOT_GONE = "snapshot_gone"
    STOPPING = "stopping"


@dataclasses.dataclass(frozen=True, slots=True)
class Ran:
    """The request ran; `value` is its whole answer."""

    tag: ClassVar[str] = "ran"
    value: Any


@dataclasses.dataclass(frozen=True, slots=True)
class NotRun:
    """No upstream started on the request, and none will.

    Attributes:
        reason: Why it was not run.
        retry_after_ms: When a new try is worth while.
    """

    tag: ClassVar[str] = "not_run"
    reason: Reason
    retry_after_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class Unknown:
    """The request may have run; it will not be sent to an upstream again."""

    tag: ClassVar[str] = "unknown"
    reason: Reason


Outcome = Ran | NotRun | Unknown


@dataclasses.dataclass(frozen=True, slots=True)
class AttemptEnd:
    """How one attempt at an upstream ended without an answer.

    Attributes:
        reason: What ended it.
        written: Whether any byte may have reached the upstream.
        refused: Whether the upstream said that it did not run the attempt.
        retry_after_ms: When the upstream asked to be tried again; 0 if unsaid.
    """

    reason: Reason
    written: bool
    refused: bool
    retry_after_ms: int = 0


def is_safe_to_resend(ends: Iterable[AttemptEnd]) -> bool:
    """Tells whether another attempt can't make a request run twice."""
    return not any(end.written for end in ends)


def of_attempts(
    ends: Iterable[AttemptEnd], reason: Reason, retry_after_ms: int
) -> NotRun | Unknown:
    """Decides between `NotRun` and `Unknown` for a request without an answer.

    Args:
        ends: The ends of all attempts that were ever begun.
        reason: Why the request was given up on.
        retry_after_ms: When a new try is worth while.
    """
    maybe_ran = [end for end in ends if end.written and not end.refused]
    if maybe_ran:
        return Unknown(maybe_ran[-1].reason)
    return NotRun(reason, retry_after_ms)

"""The three possible outcomes of a caller's request.

`NotRun` guarantees that no upstream started on the request. For requests that
were sent to upstreams it is returned by `from_failures` only, on evidence from
every attempt.
"""

from collections.abc import Iterable
import dataclasses
import enum
from typing import Any, ClassVar


class Reason(enum.StrEnum):
    """Why a request was not run, or why its outcome is unknown."""

    CONFIGURATION_UNPROVEN = "configuration_unproven"
    CONNECT_FAILED = "connect_failed"
    DEADLINE = "deadline"
    DRAINING = "draining"
    EARLY_STOP = "early_stop"
    EVACUATED = "evacuated"
    EXPIRED_KEY = "expired_key"
    FOREIGN_KEY = "foreign_key"
    HOST_EXHAUSTED = "host_exhausted"
    INTERNAL = "internal"
    ISSUER_GONE = "issuer_gone"
    ISSUER_UNREACHABLE = "issuer_unreachable"
    KEY_CONFLICT = "key_conflict"
    KEYS_FULL = "keys_full"
    KEY_REVOKED = "key_revoked"
    NO_PROGRESS = "no_progress"
    NO_REPLICA = "no_replica"
    NOT_READY = "not_ready"
    OVERLOADED = "overloaded"
    OVER_QUOTA = "over_quota"
    PLATFORM_DOWN = "platform_down"
    QUARANTINED = "quarantined"
    QUOTA_UNCHECKED = "quota_unchecked"
    REPLY_LOST = "reply_lost"
    REJECTED = "rejected"
    SNAPSHOT_GONE = "snapshot_gone"
    STOPPING = "stopping"
    UPSTREAM_LIMIT = "upstream_limit"
    WARMING_UP = "warming_up"


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
        retry_after_ms: Suggested delay before a retry.
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
class AttemptFailure:
    """An attempt that ended without an answer from the upstream.

    Attributes:
        reason: Why it ended.
        written: Whether any byte may have reached the upstream.
        refused: Whether the upstream reported that it did not run the attempt.
        retry_after_ms: Delay before a retry that the upstream asked for; 0 if
            it gave none.
    """

    reason: Reason
    written: bool
    refused: bool
    retry_after_ms: int = 0


def is_safe_to_resend(failures: Iterable[AttemptFailure]) -> bool:
    """Returns whether another attempt cannot make the request run twice."""
    return not any(failure.written for failure in failures)


def from_failures(
    failures: Iterable[AttemptFailure], reason: Reason, retry_after_ms: int
) -> NotRun | Unknown:
    """Returns `NotRun` or `Unknown` for a request without an answer.

    Args:
        failures: The failures of all attempts that were started.
        reason: Why the request was given up.
        retry_after_ms: Suggested delay before a retry.
    """
    maybe_ran = [
        failure
        for failure in failures
        if failure.written and not failure.refused
    ]
    if maybe_ran:
        return Unknown(maybe_ran[-1].reason)
    return NotRun(reason, retry_after_ms)

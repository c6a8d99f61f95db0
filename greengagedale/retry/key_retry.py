"""Decides how a caller retries a request that is not idempotent.

The module does no I/O and reads no clock: it maps the result of each send to
the next step.
"""

import dataclasses

from greengagedale import outcomes

# Unknown outcomes that another host or a later send may resolve.
_RESOLVABLE_REASONS = frozenset(
    {outcomes.Reason.ISSUER_UNREACHABLE, outcomes.Reason.PLATFORM_DOWN}
)
# Refusals that a retry of the same request would receive again.
_PERMANENT_REASONS = frozenset(
    {
        outcomes.Reason.DEADLINE,
        outcomes.Reason.KEY_CONFLICT,
        outcomes.Reason.QUARANTINED,
        outcomes.Reason.REJECTED,
    }
)


@dataclasses.dataclass(frozen=True, slots=True)
class Answered:
    """A host answered with an outcome."""

    outcome: outcomes.Outcome


@dataclasses.dataclass(frozen=True, slots=True)
class NotConnected:
    """No connection could be opened, so nothing was sent."""


@dataclasses.dataclass(frozen=True, slots=True)
class ReplyLost:
    """No answer arrived; the host may have received the request."""


@dataclasses.dataclass(frozen=True, slots=True)
class Rejected:
    """A host rejected the request as invalid."""

    message: str


HostResult = Answered | NotConnected | ReplyLost | Rejected


@dataclasses.dataclass(frozen=True, slots=True)
class Resend:
    """Step: send the request with the same key to the next host."""


@dataclasses.dataclass(frozen=True, slots=True)
class UseNewKey:
    """Step: drop the key, which no host has, and create one for another."""


@dataclasses.dataclass(frozen=True, slots=True)
class ReportOutcome:
    """Step: return the outcome to the caller."""

    outcome: outcomes.Outcome


@dataclasses.dataclass(frozen=True, slots=True)
class ReportInvalid:
    """Step: report to the caller that the request is invalid."""

    message: str


Step = Resend | UseNewKey | ReportOutcome | ReportInvalid


class KeyRetryState:
    """Retry state of one idempotency key.

    Attributes:
        never_sent: Whether no host can have received the key.
    """

    def __init__(self, ticketed: bool, sent_before: bool = False) -> None:
        """Initializes the state of a key that has not been sent from here.

        Args:
            ticketed: Whether the key was made from a ticket.
            sent_before: Whether the key may have been sent earlier, such as
                by another process.
        """
        self._ticketed = ticketed
        self.never_sent = not sent_before
        self._may_have_arrived = False
        self._unknown = outcomes.Unknown(outcomes.Reason.CONNECT_FAILED)

    def on_result(self, result: HostResult) -> Step:
        """Returns the next step after the result of a send."""
        if not isinstance(result, NotConnected | Rejected):
            self.never_sent = False
        match result:
            case Answered(outcomes.Unknown(reason)) if (
                reason in _RESOLVABLE_REASONS
            ):
                self._unknown = outcomes.Unknown(reason)
                self._may_have_arrived = True
                return Resend()
            case Answered(outcome):
                return ReportOutcome(outcome)
            case ReplyLost():
                self._unknown = outcomes.Unknown(outcomes.Reason.REPLY_LOST)
                self._may_have_arrived = True
                return Resend()
            case Rejected(message) if not self._may_have_arrived:
                return ReportInvalid(message)
            case Rejected():
                return ReportOutcome(outcomes.Unknown(outcomes.Reason.REJECTED))
        if self._ticketed and self.never_sent:
            return UseNewKey()
        return Resend()

    def on_deadline(self) -> outcomes.Outcome:
        """Returns the outcome if the deadline leaves no time for a retry."""
        if self.never_sent:
            return outcomes.NotRun(outcomes.Reason.CONNECT_FAILED, 0)
        return self._unknown


def may_retry_with_new_key(outcome: outcomes.Outcome) -> bool:
    """Returns whether a request may be retried with a new key."""
    refused = isinstance(outcome, outcomes.NotRun)
    return refused and outcome.reason not in _PERMANENT_REASONS

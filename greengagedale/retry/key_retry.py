"""What a caller does next with a request that is not safe to repeat.

No input or output and no clock: results go in, the next step comes out.
"""

import dataclasses

from greengagedale import outcomes

# With these, another host or a later time may tell more.
_MAY_BE_LEARNT = frozenset(
    {outcomes.Reason.ISSUER_UNREACHABLE, outcomes.Reason.PLATFORM_DOWN}
)
# With these, the same request would be refused again.
_LASTING = frozenset(
    {
        outcomes.Reason.DEADLINE,
        outcomes.Reason.KEY_CONFLICT,
        outcomes.Reason.QUARANTINED,
        outcomes.Reason.REJECTED,
    }
)


@dataclasses.dataclass(frozen=True, slots=True)
class Answered:
    """A host answered."""

    outcome: outcomes.Outcome


@dataclasses.dataclass(frozen=True, slots=True)
class NotConnected:
    """No connection could be opened; nothing was written."""


@dataclasses.dataclass(frozen=True, slots=True)
class ReplyLost:
    """No answer came; the host may have the request."""


@dataclasses.dataclass(frozen=True, slots=True)
class Rejected:
    """A host found the request not valid."""

    message: str


HostResult = Answered | NotConnected | ReplyLost | Rejected


@dataclasses.dataclass(frozen=True, slots=True)
class Resend:
    """Send the same key to the next host."""


@dataclasses.dataclass(frozen=True, slots=True)
class UseNewKey:
    """No host has the key: drop it and make one for another host."""


@dataclasses.dataclass(frozen=True, slots=True)
class ReportOutcome:
    """Tell the caller."""

    outcome: outcomes.Outcome


@dataclasses.dataclass(frozen=True, slots=True)
class ReportInvalid:
    """Tell the caller that the request is not valid."""

    message: str


Step = Resend | UseNewKey | ReportOutcome | ReportInvalid


class KeyRetryState:
    """All sends of one key.

    Attributes:
        first: Whether no host can have the key.
    """

    def __init__(self, ticketed: bool, sent_before: bool = False) -> None:
        """Begins with no sends.

        Args:
            ticketed: Whether the key was made from a ticket.
            sent_before: Whether it may have been sent by someone else.
        """
        self._ticketed = ticketed
        self.never_sent = not sent_before
        self._sent = False
        self._unknown = outcomes.Unknown(outcomes.Reason.CONNECT_FAILED)

    def on_result(self, result: HostResult) -> Step:
        """Takes in how one send ended."""
        if not isinstance(result, NotConnected | Rejected):
            self.never_sent = False
        match result:
            case Answered(outcomes.Unknown(reason)) if reason in _MAY_BE_LEARNT:
                self._unknown = outcomes.Unknown(reason)
                self._sent = True
                return Resend()
            case Answered(outcome):
                return ReportOutcome(outcome)
            case ReplyLost():
                self._unknown = outcomes.Unknown(outcomes.Reason.REPLY_LOST)
                self._sent = True
                return Resend()
            case Rejected(message) if not self._sent:
                return ReportInvalid(message)
            case Rejected():
                return ReportOutcome(outcomes.Unknown(outcomes.Reason.REJECTED))
        if self._ticketed and self.never_sent:
            return UseNewKey()
        return Resend()

    def on_deadline(self) -> outcomes.Outcome:
        """Returns the outcome when no time is left to send again."""
        if self.never_sent:
            return outcomes.NotRun(outcomes.Reason.CONNECT_FAILED, 0)
        return self._unknown


def may_retry_with_new_key(outcome: outcomes.Outcome) -> bool:
    """Tells whether a request may be tried again under a new key."""
    refused = isinstance(outcome, outcomes.NotRun)
    return refused and outcome.reason not in _LASTING

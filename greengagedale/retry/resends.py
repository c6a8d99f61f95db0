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
class Unreached:
    """No connection could be opened; nothing was written."""


@dataclasses.dataclass(frozen=True, slots=True)
class Lost:
    """No answer came; the host may have the request."""


@dataclasses.dataclass(frozen=True, slots=True)
class Rejected:
    """A host found the request not valid."""

    message: str


HostResult = Answered | Unreached | Lost | Rejected


@dataclasses.dataclass(frozen=True, slots=True)
class SendAgain:
    """Send the same key to the next host."""


@dataclasses.dataclass(frozen=True, slots=True)
class TakeNewKey:
    """No host has the key: drop it and make one for another host."""


@dataclasses.dataclass(frozen=True, slots=True)
class Done:
    """Tell the caller."""

    outcome: outcomes.Outcome


@dataclasses.dataclass(frozen=True, slots=True)
class Refuse:
    """Tell the caller that the request is not valid."""

    message: str


Step = SendAgain | TakeNewKey | Done | Refuse


class Resends:
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
        self.first = not sent_before
        self._sent = False
        self._unknown = outcomes.Unknown(outcomes.Reason.CONNECT_FAILED)

    def on_result(self, result: HostResult) -> Step:
        """Takes in how one send ended."""
        if not isinstance(result, Unreached | Rejected):
            self.first = False
        match result:
            case Answered(outcomes.Unknown(reason)) if reason in _MAY_BE_LEARNT:
                self._unknown = outcomes.Unknown(reason)
                self._sent = True
                return SendAgain()
            case Answered(outcome):
                return Done(outcome)
            case Lost():
                self._unknown = outcomes.Unknown(outcomes.Reason.REPLY_LOST)
                self._sent = True
                return SendAgain()
            case Rejected(message) if not self._sent:
                return Refuse(message)
            case Rejected():
                return Done(outcomes.Unknown(outcomes.Reason.REJECTED))
        if self._ticketed and self.first:
            return TakeNewKey()
        return SendAgain()

    def on_deadline(self) -> outcomes.Outcome:
        """Returns the outcome when no time is left to send again."""
        if self.first:
            return outcomes.NotRun(outcomes.Reason.CONNECT_FAILED, 0)
        return self._unknown


def worth_a_new_key(outcome: outcomes.Outcome) -> bool:
    """Tells whether a request may be tried again under a new key."""
    refused = isinstance(outcome, outcomes.NotRun)
    return refused and outcome.reason not in _LASTING

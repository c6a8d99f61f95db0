"""Outcomes of forwarded requests, as messages between hosts."""

from greengagedale import outcomes
from greengagedale import records
from greengagedale.peers import base


def from_outcome(
    outcome: outcomes.Outcome, events: list[records.Event]
) -> base.ForwardedResult:
    """Makes the answer to a forwarded request."""
    value, reason, retry_after_ms = None, "", 0
    match outcome:
        case outcomes.Ran():
            value = outcome.value
        case outcomes.NotRun():
            reason, retry_after_ms = outcome.reason, outcome.retry_after_ms
        case outcomes.Unknown():
            reason = outcome.reason
    return base.ForwardedResult(
        outcome.tag, reason, retry_after_ms, value, events
    )


def to_outcome(result: base.ForwardedResult) -> outcomes.Outcome:
    """Reads the answer to a forwarded request."""
    if result.outcome == outcomes.Ran.tag:
        return outcomes.Ran(result.value)
    try:
        reason = outcomes.Reason(result.reason)
    except ValueError:
        return outcomes.Unknown(outcomes.Reason.INTERNAL)
    if result.outcome == outcomes.NotRun.tag:
        return outcomes.NotRun(reason, result.retry_after_ms)
    return outcomes.Unknown(reason)

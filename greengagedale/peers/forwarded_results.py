"""Conversion between outcomes and results of forwarded requests."""

from greengagedale import outcomes
from greengagedale import request_records
from greengagedale.peers import base


def from_outcome(
    outcome: outcomes.Outcome, events: list[request_records.TraceEvent]
) -> base.ForwardedResult:
    """Converts an outcome to the answer to a forwarded request."""
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
    """Converts the answer to a forwarded request to an outcome.

    A reason that this version does not know gives an unknown outcome.
    """
    if result.outcome == outcomes.Ran.tag:
        return outcomes.Ran(result.value)
    try:
        reason = outcomes.Reason(result.reason)
    except ValueError:
        return outcomes.Unknown(outcomes.Reason.INTERNAL)
    if result.outcome == outcomes.NotRun.tag:
        return outcomes.NotRun(reason, result.retry_after_ms)
    return outcomes.Unknown(reason)

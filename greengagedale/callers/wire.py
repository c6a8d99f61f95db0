"""JSON messages of the HTTP protocol for callers."""

from typing import Any, NotRequired, TypedDict

from greengagedale import exceptions
from greengagedale import outcomes
from greengagedale.callers import base
from greengagedale.query import fanout
from greengagedale.query import hits


class SearchBody(TypedDict):
    """Body of `POST /v1/workspaces/{workspace}/search`."""

    text: str
    limit: NotRequired[int]
    timeout_ms: NotRequired[int]


class ActionBody(TypedDict):
    """Body of `POST /v1/workspaces/{workspace}/act`."""

    key: str
    target: int
    body: Any
    timeout_ms: NotRequired[int]
    first_send: NotRequired[bool]


class SnapshotReply(TypedDict):
    """The snapshot that an answer was computed from."""

    index_version: int
    map_version: int


class MissingReply(TypedDict):
    """A range that is missing from an answer, with the reason."""

    low: int
    high: int
    reason: str


class CoverageReply(TypedDict):
    """Coverage of an answer: number of covered keys, and of all keys."""

    covered: int
    total: int
    missing: list[MissingReply]


class SearchReply(TypedDict):
    """Reply to a search that ran."""

    request_id: str
    outcome: str
    snapshot: SnapshotReply
    coverage: CoverageReply
    hits: list[hits.Hit]


class ActionReply(TypedDict):
    """Reply to an action that ran."""

    request_id: str
    outcome: str
    body: Any


class FailureReply(TypedDict):
    """Reply to a request that did not run, or whose outcome is unknown."""

    request_id: str
    outcome: str
    reason: str
    retry_after_ms: NotRequired[int]


class FieldErrorReply(TypedDict):
    """A validation error of a request."""

    key: str
    message: str


class ErrorReply(TypedDict):
    """Reply to an invalid request, which was not run."""

    error: str
    message: str
    mistakes: list[FieldErrorReply]


def search_reply(request_id: str, answer: fanout.SearchAnswer) -> SearchReply:
    """Creates the reply to a search that ran."""
    return SearchReply(
        request_id=request_id,
        outcome=outcomes.Ran.tag,
        snapshot=SnapshotReply(**answer.snapshot._asdict()),
        coverage=CoverageReply(
            covered=answer.coverage.covered,
            total=answer.coverage.total,
            missing=[
                MissingReply(
                    low=item.key_range.low,
                    high=item.key_range.high,
                    reason=item.reason,
                )
                for item in answer.coverage.missing
            ],
        ),
        hits=answer.hits,
    )


def failure_reply(
    reply: base.Reply, outcome: outcomes.NotRun | outcomes.Unknown
) -> FailureReply:
    """Creates the reply to a request without a result."""
    body = FailureReply(
        request_id=reply.request_id, outcome=outcome.tag, reason=outcome.reason
    )
    if isinstance(outcome, outcomes.NotRun):
        body["retry_after_ms"] = outcome.retry_after_ms
    return body


def error_reply(
    error: str, message: str, field_errors: list[exceptions.FieldError]
) -> ErrorReply:
    """Creates the reply to an invalid request."""
    return ErrorReply(
        error=error,
        message=message,
        mistakes=[FieldErrorReply(**item._asdict()) for item in field_errors],
    )

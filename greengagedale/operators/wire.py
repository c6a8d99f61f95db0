"""JSON messages of the HTTP protocol for operators."""

from typing import Any, NotRequired, TypedDict

from greengagedale.callers import wire as callers_wire
from greengagedale.peers import base as peers_base

HEADER_CHANGE_ID = "X-Change-Id"
HEADER_CHANGE_ATTEMPT = "X-Change-Attempt"


class ConflictReply(TypedDict):
    """A document that was changed since the operator read it."""

    key: str
    change_id: str
    revision: int


class ChangeReply(TypedDict):
    """Reply to a change: `accepted`, `not_accepted` or `unknown`.

    In the reply to a status request, `as_of_revision` is the revision at which
    a change that is not accepted is absent.
    """

    outcome: str
    change_id: str
    revision: NotRequired[int]
    as_of_revision: NotRequired[int]
    reason: NotRequired[str]
    detail: NotRequired[str]
    mistakes: NotRequired[list[callers_wire.FieldErrorReply]]
    conflicts: NotRequired[list[ConflictReply]]


class ChangeIdReply(TypedDict):
    """A new id for a change, with the active revision."""

    change_id: str
    revision: int


class ConfigurationReply(TypedDict):
    """The active revision of the host that replies.

    `age_ms` is the time since it was known to be current; null means never.
    """

    revision: int
    age_ms: float | None


class DocumentsReply(TypedDict):
    """Active templates or workspaces of the host that replies."""

    revision: int
    items: list[dict[str, Any]]


class FleetReply(TypedDict):
    """Status of all hosts that answer."""

    hosts: list[peers_base.PeerStatus]

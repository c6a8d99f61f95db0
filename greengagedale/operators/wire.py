"""Messages of the operators' HTTP protocol, in JSON."""

from typing import Any, NotRequired, TypedDict

from greengagedale.callers import wire as callers_wire
from greengagedale.peers import base as peers_base

HEADER_CHANGE_ID = "X-Change-Id"
HEADER_CHANGE_ATTEMPT = "X-Change-Attempt"


class ConflictReply(TypedDict):
    """What was changed since the operator read it."""

    key: str
    change_id: str
    revision: int


class ChangeReply(TypedDict):
    """Answer to a change: `accepted`, `not_accepted` or `unknown`."""

    outcome: str
    change_id: str
    revision: NotRequired[int]
    as_of_revision: NotRequired[int]
    reason: NotRequired[str]
    detail: NotRequired[str]
    mistakes: NotRequired[list[callers_wire.MistakeReply]]
    conflicts: NotRequired[list[ConflictReply]]


class ChangeIdReply(TypedDict):
    """A new id for a change, with the revision in force."""

    change_id: str
    revision: int


class ConfigurationReply(TypedDict):
    """What is in force on the host that was asked.

    `age_ms` tells how long ago it was known to be current; null is never.
    """

    revision: int
    age_ms: float | None


class DocumentsReply(TypedDict):
    """Templates or workspaces in force on the host that was asked."""

    revision: int
    items: list[dict[str, Any]]


class FleetReply(TypedDict):
    """Status of every host that answers."""

    hosts: list[peers_base.PeerStatus]

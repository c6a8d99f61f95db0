"""Messages of the operators' HTTP protocol, in JSON."""

from typing import Any, NotRequired, TypedDict

from greengagedale.peers import base as peers_base

HEADER_CHANGE_ID = "X-Change-Id"


class ChangeReply(TypedDict):
    """Answer to a change: `accepted`, `not_accepted` or `unknown`."""

    outcome: str
    change_id: str
    revision: NotRequired[int]
    reason: NotRequired[str]
    detail: NotRequired[str]


class DocumentsReply(TypedDict):
    """Templates or workspaces in force on the host that was asked."""

    revision: int
    items: list[dict[str, Any]]


class FleetReply(TypedDict):
    """Status of every host that answers."""

    hosts: list[peers_base.PeerStatus]

"""JSON messages of the HTTP protocol of upstreams."""

from typing import Any, NotRequired, TypedDict

import msgspec

from greengagedale import untrusted_json
from greengagedale.query import hits


class SearchBody(TypedDict):
    """Body of `POST /v1/search`."""

    attempt_id: str
    member: str
    index_version: int
    map_version: int
    low: int
    high: int
    text: str
    limit: int
    timeout_ms: float


class SearchReply(msgspec.Struct):
    """Answer to `POST /v1/search`; the digest covers the encoded hits.

    This is a struct, because a `TypedDict` cannot hold a field that stays
    encoded (`msgspec.Raw`).
    """

    attempt_id: str
    index_version: int
    map_version: int
    low: int
    high: int
    count: int
    digest: str
    hits: msgspec.Raw


class ActionBody(TypedDict):
    """Body of `POST /v1/act`."""

    attempt_id: str
    key: str
    member: str
    target: int
    body: Any
    timeout_ms: float


class ActionReply(TypedDict):
    """Answer to `POST /v1/act`."""

    attempt_id: str
    body: Any


class RefusalReply(TypedDict):
    """Answer with status 503 or 409: the upstream did not run the request.

    A refusal without an attempt id proves this only if it is the first answer
    on its connection, because an upstream may send a copy of an earlier
    refusal.
    """

    refused: str
    retry_after_ms: int
    attempt_id: NotRequired[str]


class AttemptEcho(msgspec.Struct):
    """The attempt id of any answer; None if the answer has none."""

    attempt_id: str | None = None


class CancelBody(TypedDict):
    """Body of `POST /v1/cancel`."""

    attempt_id: str


class HealthReply(TypedDict):
    """Answer to `GET /v1/health`."""

    state: str
    load: int


HEADER_DATA_CENTRE = "X-Data-Centre"
STATUS_REFUSED = 503
STATUS_NOT_HELD = 409

search_reply_decoder = untrusted_json.Decoder(SearchReply)
action_reply_decoder = untrusted_json.Decoder(ActionReply)
echo_decoder = untrusted_json.Decoder(AttemptEcho)
refusal_decoder = untrusted_json.Decoder(RefusalReply)
health_decoder = untrusted_json.Decoder(HealthReply)
hits_decoder = untrusted_json.Decoder(list[hits.Hit])
encode = msgspec.json.encode

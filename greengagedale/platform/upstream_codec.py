"""Codec for requests to upstreams and their answers on this platform."""

import math

from greengagedale import outcomes
from greengagedale.gateway import calls
from greengagedale.gateway import upstream_notices
from greengagedale.http1 import messages

_REQUEST_ID = b"request-id"
_REMAINING_TIME = b"deadline-ms"
# Name of the intended upstream. If its address was reassigned, the other
# upstream at the address refuses the request.
_EXPECTED_UPSTREAM = b"target-instance"
# Name of the caller's workspace. Whatever the caller sent under this name or as
# its key is not forwarded.
_WORKSPACE = b"tenant"
_CALLER_HEADERS = (b"api-key", _WORKSPACE)
_SIGNATURE = b"server-seal"
_NOT_RUN = b"not-executed"
_LOAD = b"server-load"
_ENCODING = b"content-encoding"
# The upstream accepts no new requests, whatever its entry in the store says.
_LEAVING = b"server-leaving"
_TRUE = b"1"
# With a refusal: backoff, in seconds, that the upstream asks of this host.
_RETRY_AFTER = b"retry-after"
# Remaining warm-up time of the upstream, in milliseconds.
_WARM_UP = b"warmup-ms"
# Requests per second that the upstream takes from all hosts together.
_LIMIT = b"server-limit"
_KEEP_ALIVE = b"keep-alive"
_TIMEOUT_FIELD = b"timeout="
_STATUS_UNAVAILABLE = 503
_MS_PER_S = 1000.0
_STATUS_MISDIRECTED = 421
_SUCCESS_CLASS = 2
# Running, waiting and slots; some upstreams add their pace.
_LOAD_FIELDS = (3, 4)
# Numbers with more digits are not plausible durations or counts.
_MAX_DIGITS = 12
# Headers that apply to a single connection and are not forwarded.
_HOP_BY_HOP = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
        b"expect",
    }
)


def encode_attempt(attempt: calls.Attempt, remaining_ms: float) -> bytes:
    """Encodes an attempt: the caller's request with the remaining time."""
    message = attempt.call.message
    identity = attempt.call.identity
    replaced = (_REMAINING_TIME, _EXPECTED_UPSTREAM)
    if identity is not None:
        replaced += _CALLER_HEADERS
    headers = (
        *_end_to_end(message.headers, replaced),
        (_REMAINING_TIME, b"%d" % max(1, int(remaining_ms))),
        (_EXPECTED_UPSTREAM, attempt.upstream.name.encode("latin-1")),
    )
    if identity is not None and identity.workspace is not None:
        headers += ((_WORKSPACE, identity.workspace.encode()),)
    return messages.encode_request(
        message.method, message.target, headers, message.body
    )


def may_match_request(call: calls.Call, reply: messages.Reply) -> bool:
    """Returns whether an answer may belong to this request.

    Refusals may have no request id; see `has_request_id`.
    """
    request_id = reply.header(_REQUEST_ID)
    return request_id is None or request_id.decode("latin-1") == call.request_id


def has_request_id(reply: messages.Reply) -> bool:
    """Returns whether an answer has the id of its request.

    An answer without the id can be attributed to its request only if it is
    the first one on its connection, since an upstream may send a late copy of
    an earlier answer.
    """
    return reply.header(_REQUEST_ID) is not None


def decode_answer(
    call: calls.Call, reply: messages.Reply
) -> calls.Answer | outcomes.AttemptFailure:
    """Decodes an upstream's answer to a request."""
    if reply.header(_NOT_RUN) is not None:
        return _refusal(outcomes.Reason.OVERLOADED)
    if reply.status == _STATUS_MISDIRECTED:
        return _refusal(outcomes.Reason.NO_REPLICA)
    signature = reply.header(_SIGNATURE)
    is_success = reply.status // 100 == _SUCCESS_CLASS
    if is_success and not _is_valid_success(call, reply, signature):
        return outcomes.AttemptFailure(
            outcomes.Reason.REJECTED, written=True, refused=False
        )
    return calls.Answer(
        reply.status,
        None if signature is None else signature.decode("latin-1"),
        _end_to_end(reply.headers),
        reply.body,
        _decode_load(reply),
    )


def decode_notice(reply: messages.Reply) -> upstream_notices.Notice:
    """Decodes the notice that an upstream sends with an answer.

    The notice of an upstream other than the expected one is ignored, since it
    applies to that other upstream only.
    """
    if reply.status == _STATUS_MISDIRECTED:
        return upstream_notices.Notice(is_leaving=False, backoff_ms=0.0)
    value = reply.header(_RETRY_AFTER)
    has_backoff = reply.status == _STATUS_UNAVAILABLE and value is not None
    return upstream_notices.Notice(
        reply.header(_LEAVING) == _TRUE,
        _parse_number(value or b"") * _MS_PER_S if has_backoff else 0.0,
        _parse_number(reply.header(_WARM_UP) or b""),
        _decode_limit(reply),
    )


def decode_keep_alive(reply: messages.Reply) -> float | None:
    """Decodes how long an idle connection is kept open, in ms.

    Returns:
        None if the answer does not say so in whole seconds.
    """
    fields = (reply.header(_KEEP_ALIVE) or b"").split(b",")
    values = (
        field.strip().removeprefix(_TIMEOUT_FIELD)
        for field in fields
        if field.strip().startswith(_TIMEOUT_FIELD)
    )
    value = next(values, b"")
    if not value.isdigit() or len(value) > _MAX_DIGITS:
        return None
    return int(value) * _MS_PER_S


def _decode_limit(reply: messages.Reply) -> float | None:
    """Decodes the limit that an answer announces.

    An answer that names none ends a limit only if its id shows that it is no
    late copy of an earlier one.
    """
    value = reply.header(_LIMIT)
    if value is None:
        return math.inf if has_request_id(reply) else None
    return _parse_number(value) if _is_number(value) else None


def _parse_number(value: bytes) -> float:
    """Parses a decimal number; returns 0 for dates and invalid values."""
    return float(value) if _is_number(value) else 0.0


def _is_number(value: bytes) -> bool:
    whole, _, fraction = value.partition(b".")
    digits = whole + fraction
    return digits.isdigit() and len(digits) <= _MAX_DIGITS


def _is_valid_success(
    call: calls.Call, reply: messages.Reply, signature: bytes | None
) -> bool:
    request_id = reply.header(_REQUEST_ID)
    return (
        bool(signature)
        and request_id is not None
        and request_id.decode("latin-1") == call.request_id
        and reply.header(_ENCODING) is None
    )


def _refusal(reason: outcomes.Reason) -> outcomes.AttemptFailure:
    return outcomes.AttemptFailure(reason, written=True, refused=True)


def _end_to_end(
    headers: messages.Headers, extra: tuple[bytes, ...] = ()
) -> messages.Headers:
    connection_options = {
        name.strip().lower()
        for key, value in headers
        if key == b"connection"
        for name in value.split(b",")
    }
    excluded = _HOP_BY_HOP.union(connection_options, extra)
    return tuple(item for item in headers if item[0] not in excluded)


def _decode_load(reply: messages.Reply) -> calls.LoadReport | None:
    value = reply.header(_LOAD)
    if value is None:
        return None
    fields = value.split(b",")
    if len(fields) not in _LOAD_FIELDS or not all(
        field.strip().isdigit() and len(field) <= _MAX_DIGITS
        for field in fields
    ):
        return None
    running, waiting, slots, *pace_percent = map(int, fields)
    # Work that takes no time is not a pace.
    pace = pace_percent[0] if pace_percent and pace_percent[0] > 0 else None
    return calls.LoadReport(running, waiting, slots, pace)

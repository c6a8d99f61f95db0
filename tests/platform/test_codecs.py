"""Tests of the codecs for the platform's messages, also for invalid ones."""

import math
import random

from gateway_scripts import upstream
from hypothesis import given
from hypothesis import strategies
import pytest

from greengagedale import clocks
from greengagedale import outcomes
from greengagedale.gateway import caller_handlers
from greengagedale.gateway import calls
from greengagedale.gateway import route_config
from greengagedale.gateway import upstream_scores
from greengagedale.http1 import messages
from greengagedale.platform import caller_codec
from greengagedale.platform import store_documents
from greengagedale.platform import upstream_codec

ENTRY = {
    "service": "s",
    "address": "10.0.0.1:80",
    "zone": "here",
    "version": "v1",
    "slots": 5,
    "state": "ready",
    "warmupLeftMs": 100,
    "sequence": 4,
    "born": 7,
}
ROUTE = {
    "name": "r",
    "host": "A.example",
    "pathPrefix": "/a/",
    "type": "idempotent",
    "timeoutMs": 500,
    "targetLatencyMs": 95,
    "priority": 2,
    "maxAttempts": 2,
}
CONFIGURATION = {
    "version": 7,
    "routes": [
        {**ROUTE, "service": "s"},
        {**ROUTE, "gather": ["s", "t"], "topK": 5, "minCoverage": 0.75},
        {
            **ROUTE,
            "type": "non_idempotent",
            "split": [{"service": "s", "weight": 3}],
        },
    ],
    "services": [{"name": "s", "healthPath": "/h", "maxConnections": 41}],
    "limits": {
        "maxHeaderBytes": 1,
        "maxBodyBytes": 2,
        "headerTimeoutMs": 3,
        "idleTimeoutMs": 4,
    },
}
json_values = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers()
    | strategies.floats()
    | strategies.text(max_size=9),
    lambda inner: (
        strategies.lists(inner, max_size=3)
        | strategies.dictionaries(
            strategies.text(max_size=9), inner, max_size=3
        )
    ),
    max_leaves=9,
)


def request(headers=(), target=b"/a/b?c", body=b""):
    return messages.Request(b"GET", target, tuple(headers), body, 1000.0)


def reply(headers, status=200, body=b"x"):
    return messages.Reply(status, tuple(headers), body, True)


@pytest.fixture
def codec():
    return caller_codec.PlatformCallerCodec()


@pytest.fixture
def call(codec):
    return codec.decode_call(
        request(
            [
                (b"host", b"A.example:80"),
                (b"request-id", b"r1"),
                (b"deadline-ms", b"300"),
                (b"target-instance", b"forged"),
                (b"connection", b"x-hop, close"),
                (b"x-hop", b"1"),
                (b"x-kept", b"2"),
            ]
        )
    )


def test_entry_is_decoded():
    decoded = store_documents.decode_upstream("i", ENTRY)
    assert decoded == upstream(
        "i",
        address="10.0.0.1",
        port=80,
        slots=5,
        born_ms=7,
        sequence=4,
        warm_up_ms=100.0,
    )


@pytest.mark.parametrize(
    "fields",
    [
        {"state": "unknown"},
        {"service": 5},
        {"service": ""},
        {"address": "10.0.0.1"},
        {"address": "10.0.0.1:0"},
        {"address": None},
        {"slots": 0},
        {"slots": "5"},
        {"sequence": 1.5},
        {"born": True},
        {"zone": []},
    ],
)
def test_invalid_entry_is_ignored(fields):
    assert store_documents.decode_upstream("i", {**ENTRY, **fields}) is None


@pytest.mark.parametrize("field", ["service", "address", "state", "slots"])
def test_entry_with_a_missing_field_is_ignored(field):
    incomplete = {key: value for key, value in ENTRY.items() if key != field}
    assert store_documents.decode_upstream("i", incomplete) is None


@given(json_values)
def test_any_document_is_decoded_or_ignored(document):
    store_documents.decode_upstream("i", document)
    store_documents.decode_routes(document)


@given(strategies.sampled_from(sorted(ENTRY)), json_values)
def test_any_field_value_is_decoded_or_ignored(field, value):
    store_documents.decode_upstream("i", {**ENTRY, field: value})


def test_configuration_is_decoded():
    routes = store_documents.decode_routes(CONFIGURATION)
    single, merged, split = routes.routes
    assert routes.version == 7
    assert single.services == ("s",)
    assert single.host == "a.example"
    assert (single.timeout_ms, single.target_latency_ms) == (500.0, 95.0)
    assert merged.fanout.shards == ("s", "t")
    assert merged.fanout.min_parts == 2
    assert not split.is_idempotent
    assert split.targets[0].weight == 3.0
    assert routes.limits == (1, 2, 3.0, 4.0)


def test_call_is_decoded(call):
    assert (call.request_id, call.host, call.path) == (
        "r1",
        "a.example",
        "/a/b",
    )
    assert call.deadline_ms == 1300.0


@pytest.mark.parametrize(
    "headers",
    [
        [(b"host", b"a")],
        [(b"request-id", b"r")],
        *(
            [(b"host", b"a"), (b"request-id", b"r"), (b"deadline-ms", value)]
            for value in (b"x", b"-1", b"1.5", b"", b"9" * 40, b"\xb2")
        ),
    ],
)
def test_invalid_call_is_reported_as_malformed(codec, headers):
    assert isinstance(
        codec.decode_call(request(headers)), caller_handlers.MalformedRequest
    )


def test_encoded_attempt_has_the_request_and_the_remaining_time(call):
    attempt = calls.Attempt(call, upstream("i-1"), 9999.0, True, set())
    data = upstream_codec.encode_attempt(attempt, 250.9)
    assert data.startswith(b"GET /a/b?c HTTP/1.1\r\n")
    assert b"deadline-ms: 250\r\n" in data
    assert b"target-instance: i-1\r\n" in data
    assert b"request-id: r1\r\n" in data
    assert b"x-kept: 2\r\n" in data
    for dropped in (b"forged", b"x-hop", b"connection"):
        assert dropped not in data


def test_attempt_names_the_workspace_and_not_the_key(call):
    message = call.message._replace(
        headers=(
            *call.message.headers,
            (b"api-key", b"secret"),
            (b"api-key", b"secret-2"),
            (b"tenant", b"claimed"),
        )
    )
    identity = calls.CallerIdentity("w1", b"digest")
    data = upstream_codec.encode_attempt(
        calls.Attempt(
            call._replace(message=message, identity=identity),
            upstream("i-1"),
            9999.0,
            True,
            set(),
        ),
        250.0,
    )
    assert data.lower().count(b"tenant: ") == 1
    assert b"tenant: w1\r\n" in data
    for dropped in (b"api-key", b"secret", b"claimed"):
        assert dropped not in data


def test_public_attempt_names_no_workspace(call):
    message = call.message._replace(
        headers=((b"api-key", b"secret"), (b"tenant", b"claimed"))
    )
    identity = calls.CallerIdentity(None, b"")
    data = upstream_codec.encode_attempt(
        calls.Attempt(
            call._replace(message=message, identity=identity),
            upstream("i-1"),
            9999.0,
            True,
            set(),
        ),
        250.0,
    )
    for dropped in (b"api-key", b"tenant", b"secret", b"claimed"):
        assert dropped not in data


@pytest.mark.parametrize(
    ("keys", "expected"),
    [((), None), ((b"a",), b"a"), ((b"a", b"b"), None), ((b"a", b"a"), None)],
)
def test_request_has_exactly_one_key(codec, keys, expected):
    headers = [(b"api-key", key) for key in keys]
    assert codec.key_of(request(headers)) == expected


def test_workspaces_are_decoded():
    routes = store_documents.decode_routes(
        {
            **CONFIGURATION,
            "tenants": [
                {"name": "w1", "apiKeys": ["a", "b"], "ratePerS": 2.5},
                {"name": "w2", "burst": 4, "priority": 1},
            ],
        }
    )
    first, second = routes.workspaces
    assert first.key_digests == tuple(
        map(route_config.key_digest, (b"a", b"b"))
    )
    assert (first.rate_per_s, first.priority) == (2.5, None)
    assert (second.burst, second.priority, second.key_digests) == (4.0, 1, ())


def test_configuration_without_workspaces_uses_no_keys():
    routes = store_documents.decode_routes(CONFIGURATION)
    assert routes.workspaces is None
    assert not route_config.RouteTable(routes).uses_keys


SIGNED = [(b"server-seal", b"sig"), (b"request-id", b"r1")]


def test_answer_is_decoded(call):
    decoded = upstream_codec.decode_answer(
        call, reply([*SIGNED, (b"server-load", b"3,1,5")])
    )
    assert (decoded.signature, decoded.body, decoded.load) == (
        "sig",
        b"x",
        (3, 1, 5, None),
    )
    assert decoded.is_success


@pytest.mark.parametrize(
    "headers",
    [
        SIGNED[:1],
        SIGNED[1:],
        [SIGNED[0], (b"request-id", b"r2")],
        [*SIGNED, (b"content-encoding", b"gzip")],
    ],
)
def test_unverified_success_response_is_rejected(call, headers):
    decoded = upstream_codec.decode_answer(call, reply(headers))
    assert decoded == outcomes.AttemptFailure(
        outcomes.Reason.REJECTED, written=True, refused=False
    )


@pytest.mark.parametrize(
    ("headers", "status", "refused"),
    [
        ([(b"not-executed", b"1")], 503, True),
        ([(b"not-executed", b"1")], 429, True),
        ([], 421, True),
    ],
)
def test_explicit_refusal_is_decoded_as_refused(call, headers, status, refused):
    decoded = upstream_codec.decode_answer(call, reply(headers, status))
    assert decoded.refused == refused


@pytest.mark.parametrize("status", [500, 503, 504, 429])
def test_error_response_without_refusal_is_an_answer(call, status):
    decoded = upstream_codec.decode_answer(call, reply(SIGNED, status))
    assert isinstance(decoded, calls.Answer)
    assert not decoded.is_success


@pytest.mark.parametrize(
    ("load", "expected"),
    [
        (b"1,2,3", (1, 2, 3, None)),
        (b"1, 2, 3, 250", (1, 2, 3, 250)),
        (b"0,0,8,100", (0, 0, 8, 100)),
        (b"1,2,3,0", (1, 2, 3, None)),
    ],
)
def test_load_report_may_have_a_pace(call, load, expected):
    decoded = upstream_codec.decode_answer(
        call, reply([*SIGNED, (b"server-load", load)])
    )
    assert decoded.load == expected


@pytest.mark.parametrize(
    "load",
    [
        b"",
        b"1,2",
        b"a,b,c",
        b"-1,0,1",
        b"1,2,3,",
        b"1,2,3,x",
        b"1,2,3,-4",
        b"1,2,3,1.5",
        b"1,2,3,4,5",
        b"1,2,3," + b"9" * 400,
    ],
)
def test_invalid_load_report_is_ignored(call, load):
    decoded = upstream_codec.decode_answer(
        call, reply([*SIGNED, (b"server-load", load)])
    )
    assert decoded.load is None


def test_refusal_has_a_retry_after_header(codec):
    outcome = outcomes.NotRun(outcomes.Reason.OVERLOADED, 150)
    response = codec.encode_failure(outcome)
    assert response.status == 503
    assert (b"Retry-After", b"0.150") in response.headers


@pytest.mark.parametrize(
    ("reason", "status"),
    [(outcomes.Reason.DEADLINE, 504), (outcomes.Reason.REPLY_LOST, 502)],
)
def test_unknown_outcome_has_its_status(codec, reason, status):
    response = codec.encode_failure(outcomes.Unknown(reason))
    assert response.status == status


def test_merged_answer_has_its_coverage(codec):
    response = codec.encode_merged(calls.MergedAnswer(("a", "b"), 1, b"r" * 16))
    headers = dict(response.headers)
    assert headers[b"Part-Seals"] == b"a, b"
    assert headers[b"Parts-Missing"] == b"1"


@pytest.mark.parametrize(
    ("target", "expected"),
    [
        (
            b"/-/resolve?name=a&region=r&zone=z1",
            caller_handlers.LocateRequest("z1", "a"),
        ),
        (b"/-/resolve?name=A.b", caller_handlers.LocateRequest(None, "a.b")),
        (b"/-/resolve", caller_handlers.LocateRequest(None)),
        (b"/-/ready?zone=z1", None),
        (b"/elsewhere", None),
    ],
)
def test_locate_request_has_the_data_centre_and_the_host(
    codec, target, expected
):
    request = messages.Request(b"GET", target, (), b"", 0.0)
    assert codec.decode_locate(request) == expected


def reply_with_headers(status, **headers):
    named = tuple(
        (name.replace("_", "-").encode(), value)
        for name, value in headers.items()
    )
    return messages.Reply(status, named, b"", True)


@pytest.mark.parametrize(
    ("value", "backoff_ms"),
    [
        (b"2", 2000.0),
        (b"0.25", 250.0),
        (b".5", 500.0),
        (b"0", 0.0),
        (b"-1", 0.0),
        (b"1e9", 0.0),
        (b"1.2.3", 0.0),
        (b"", 0.0),
        (b".", 0.0),
        (b"nan", 0.0),
        (b"9" * 400, 0.0),
        (b"Fri, 04 Dec 2026 09:00:00 GMT", 0.0),
        (b"\xff", 0.0),
    ],
)
def test_retry_after_is_decoded_as_seconds(value, backoff_ms):
    notice = upstream_codec.decode_notice(
        reply_with_headers(503, retry_after=value)
    )
    assert notice.backoff_ms == backoff_ms


@pytest.mark.parametrize("status", [200, 429, 500])
def test_retry_after_is_ignored_without_a_refusal(status):
    notice = upstream_codec.decode_notice(
        reply_with_headers(status, retry_after=b"5")
    )
    assert notice.backoff_ms == 0.0


@pytest.mark.parametrize(
    ("status", "value", "is_leaving"),
    [
        (200, b"1", True),
        (503, b"1", True),
        (200, b"0", False),
        (200, b"yes", False),
        (421, b"1", False),
    ],
)
def test_leaving_flag_is_decoded_from_any_answer(status, value, is_leaving):
    notice = upstream_codec.decode_notice(
        reply_with_headers(status, server_leaving=value)
    )
    assert notice.is_leaving == is_leaving


@pytest.mark.parametrize(
    ("status", "value", "warm_up_ms"),
    [
        (200, b"2500", 2500.0),
        (503, b"0.5", 0.5),
        (200, b"0", 0.0),
        (200, b"soon", 0.0),
        (200, b"-1", 0.0),
        (421, b"2500", 0.0),
    ],
)
def test_warm_up_is_decoded_from_any_answer(status, value, warm_up_ms):
    notice = upstream_codec.decode_notice(
        reply_with_headers(status, warmup_ms=value)
    )
    assert notice.warm_up_ms == warm_up_ms


@pytest.mark.parametrize(
    ("status", "value", "limit_per_s"),
    [
        (200, b"18.3", 18.3),
        (503, b"0.25", 0.25),
        (200, b"0", 0.0),
        (200, b"soon", None),
        (200, b"-1", None),
        (421, b"18.3", None),
    ],
)
def test_limit_is_decoded_from_any_answer(status, value, limit_per_s):
    notice = upstream_codec.decode_notice(
        reply_with_headers(status, server_limit=value)
    )
    assert notice.limit_per_s == limit_per_s


@pytest.mark.parametrize(
    ("headers", "limit_per_s"),
    [({"request_id": b"r1"}, math.inf), ({}, None)],
)
def test_limit_ends_only_with_an_answer_that_has_an_id(headers, limit_per_s):
    notice = upstream_codec.decode_notice(reply_with_headers(200, **headers))
    assert notice.limit_per_s == limit_per_s


@pytest.mark.parametrize(
    ("value", "expected_ms"),
    [
        (b"timeout=5", 5000.0),
        (b"max=3, timeout=5", 5000.0),
        (b"timeout=", None),
        (b"timeout=-5", None),
        (b"timeout=" + b"9" * 400, None),
        (b"max=3", None),
    ],
)
def test_keep_alive_time_is_decoded(value, expected_ms):
    decoded = upstream_codec.decode_keep_alive(reply([(b"keep-alive", value)]))
    assert decoded == expected_ms


# Guards against a header of an upstream that ends the request with an error of
# this host, although it ran.
@given(
    strategies.sampled_from(
        [
            b"keep-alive",
            b"not-executed",
            b"request-id",
            b"retry-after",
            b"server-leaving",
            b"server-limit",
            b"server-load",
            b"server-seal",
            b"warmup-ms",
        ]
    ),
    strategies.binary(max_size=20)
    | strategies.from_regex(rb"(timeout=)?[0-9]{300,400}", fullmatch=True)
    | strategies.from_regex(rb"[0-9]{1,12}(,[0-9]{1,13}){2,3}", fullmatch=True)
    | strategies.from_regex(rb"[0-9.e+-]{1,20}", fullmatch=True),
    strategies.sampled_from([200, 421, 429, 500, 503]),
)
def test_any_header_of_an_upstream_is_read_or_ignored(name, value, status):
    answer = reply([*SIGNED, (name, value)], status)
    message = request([(b"host", b"a"), (b"request-id", b"r1")])
    call = caller_codec.PlatformCallerCodec().decode_call(message)
    upstream_codec.decode_notice(answer)
    upstream_codec.decode_keep_alive(answer)
    upstream_codec.may_match_request(call, answer)
    decoded = upstream_codec.decode_answer(call, answer)
    load = getattr(decoded, "load", None)
    if load is not None:
        score = upstream_scores.UpstreamScores(
            "here", clocks.ManualClock(0.0), random.Random(1)
        ).get(upstream("i"))
        score.record_load(load, 0.0)

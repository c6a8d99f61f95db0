"""Tests that each checker finds its violation, and none in valid histories."""

import json

import pytest

from greengagedale.query import ranges
from proofs import checkers
from proofs import history as history_lib
from standins import records
from standins import synthetic_documents

LOW, HIGH = ranges.split_evenly(ranges.KEY_SPACE, 2)
LIMIT = 5


def search_call(request_id="h.1.1", text="a", version=1, missing=(), **changes):
    covered = [part for part in (LOW, HIGH) if part not in missing]
    found = [
        hit
        for part in covered
        for hit in synthetic_documents.search(part, version, text, LIMIT)
    ]
    found.sort(key=lambda hit: (-hit.score, hit.key))
    body = {
        "request_id": request_id,
        "outcome": "ran",
        "snapshot": {"index_version": version, "map_version": 1},
        "coverage": {
            "covered": sum(part.width for part in covered),
            "total": ranges.KEY_SPACE.width,
            "missing": [
                {"low": part.low, "high": part.high, "reason": "deadline"}
                for part in missing
            ],
        },
        "hits": [list(hit) for hit in found[:LIMIT]],
    }
    call = history_lib.Call(
        0, 10, "h", "search", text, LIMIT, "", 200, body, ""
    )
    return call._replace(**changes)


def answer_events(request_id="h.1.1", version=1, parts=(LOW, HIGH)):
    return [
        history_lib.UpstreamEvent(
            5, event, "u", f"{request_id}.{i}", "", (version, 1, *part)
        )
        for i, part in enumerate(parts)
        for event in ("search", "answer")
    ]


def act_call(key, outcome, request_id="h.1.2"):
    body = {"request_id": request_id, "outcome": outcome}
    return history_lib.Call(0, 10, "h", "act", "", 0, key, 200, body, "")


def act_event(key, request_id="h.1.2", at_ms=5):
    return history_lib.UpstreamEvent(at_ms, "act", "u", f"{request_id}.0", key)


def control_event(at_ms, draining):
    return history_lib.UpstreamEvent(at_ms, "control", "u", draining=draining)


def refused_event(at_ms):
    return history_lib.UpstreamEvent(at_ms, "refused_draining", "u", "h.1.3.0")


VALID_HISTORY = history_lib.History(
    calls=[
        search_call(),
        search_call("h.1.4", "b", missing=(HIGH,)),
        act_call("k", "ran"),
        act_call("k", "ran"),
        act_call("n", "not_run", "h.1.5"),
    ],
    upstream_events=[
        *answer_events(),
        *answer_events("h.1.4", parts=(LOW,)),
        act_event("k"),
        control_event(100, draining=True),
        refused_event(1500),
        control_event(9000, draining=False),
        act_event("later", "h.1.9", at_ms=9500),
    ],
    changes=[history_lib.Change(0, 1, "c", "accepted", 3)],
    observations=[
        history_lib.Observation(0, "h", 2),
        history_lib.Observation(8000, "h", 3),
    ],
    final_change_ids=frozenset({"c"}),
)


def with_mixed_versions(call):
    call.body["hits"][0][2] = "v2"
    return call


def with_overstated_coverage(call):
    call.body["coverage"] |= {
        "covered": ranges.KEY_SPACE.width,
        "missing": [],
    }
    return call


INVALID_HISTORIES = {
    "one_snapshot: hits of another version": (
        checkers.one_snapshot,
        VALID_HISTORY._replace(calls=[with_mixed_versions(search_call())]),
    ),
    "one_snapshot: a version that was never published": (
        checkers.one_snapshot,
        VALID_HISTORY._replace(calls=[search_call(version=7)]),
    ),
    "true_coverage: a range that no upstream answered": (
        checkers.true_coverage,
        VALID_HISTORY._replace(upstream_events=answer_events(parts=(LOW,))),
    ),
    "true_coverage: a range answered at another version": (
        checkers.true_coverage,
        VALID_HISTORY._replace(upstream_events=answer_events(version=2)),
    ),
    "true_coverage: more than was merged": (
        checkers.true_coverage,
        VALID_HISTORY._replace(
            calls=[with_overstated_coverage(search_call(missing=(HIGH,)))],
            upstream_events=answer_events(parts=(LOW,)),
        ),
    ),
    "whole_and_own: the answer to another text": (
        checkers.whole_and_own,
        VALID_HISTORY._replace(calls=[search_call(text="a", missing=())]),
    ),
    "whole_and_own: one identifier for two answers": (
        checkers.whole_and_own,
        VALID_HISTORY._replace(calls=[search_call(), search_call()]),
    ),
    "not_run_is_true: the request ran": (
        checkers.not_run_is_true,
        VALID_HISTORY._replace(calls=[act_call("k", "not_run")]),
    ),
    "not_run_is_true: the key ran under another identifier": (
        checkers.not_run_is_true,
        VALID_HISTORY._replace(
            calls=[act_call("k", "not_run", "x.1.1")],
            upstream_events=[act_event("k", "y.1.1")],
        ),
    ),
    "at_most_once: a key ran on two upstreams": (
        checkers.at_most_once,
        VALID_HISTORY._replace(
            upstream_events=[act_event("k"), act_event("k", "x.1.1")]
        ),
    ),
    "no_work_to_leaving: sent after the bound": (
        checkers.no_work_to_leaving,
        VALID_HISTORY._replace(
            upstream_events=[
                control_event(0, draining=True),
                refused_event(2001),
            ]
        ),
    ),
    "shutdown_cuts_nothing: cut by a graceful stop": (
        checkers.shutdown_cuts_nothing,
        VALID_HISTORY._replace(
            calls=[search_call(failure="cut", status=0, body=None)],
            faults=[history_lib.FaultWindow(0, 20, "stop", "h")],
        ),
    ),
    "configuration_holds: a lost change": (
        checkers.configuration_holds,
        VALID_HISTORY._replace(final_change_ids=frozenset()),
    ),
    "configuration_holds: a reversion": (
        checkers.configuration_holds,
        VALID_HISTORY._replace(
            observations=[
                history_lib.Observation(0, "h", 3),
                history_lib.Observation(1, "h", 2),
            ]
        ),
    ),
    "configuration_holds: not in force in time": (
        checkers.configuration_holds,
        VALID_HISTORY._replace(
            observations=[history_lib.Observation(6002, "h", 2)]
        ),
    ),
}
# search_call() only builds correct answers, so the text is replaced here.
INVALID_HISTORIES["whole_and_own: the answer to another text"][1].calls[0] = (
    search_call(text="other")._replace(text="a")
)


@pytest.mark.parametrize("checker", checkers.ALL)
def test_valid_history_has_no_violations(checker):
    assert checker(VALID_HISTORY) == []


@pytest.mark.parametrize("name", INVALID_HISTORIES)
def test_invalid_history_has_violations(name):
    checker, history = INVALID_HISTORIES[name]
    assert checker(history)
    assert {item.check for item in checker(history)} == {checker.__name__}


def test_requests_cut_by_hard_faults_are_allowed():
    call = search_call(failure="cut", status=0, body=None)
    killed = history_lib.FaultWindow(0, 20, "kill", "h")
    history = VALID_HISTORY._replace(calls=[call], faults=[killed])
    assert checkers.shutdown_cuts_nothing(history) == []


def test_changes_are_read_from_all_versions_of_the_catalog(tmp_path):
    path = tmp_path / "platform.jsonl"
    recorder = records.Recorder.from_config(path)
    for window in (["a"], ["a", "b"], ["b", "c"], ["c", "e"], ["c", "f"]):
        changes = [{"change_id": name, "revision": 1} for name in window]
        recorder.add(
            "write",
            kind="catalog",
            name="main",
            value=json.dumps({"changes": changes}),
        )
    assert history_lib.change_ids(path) == {"a", "b", "c", "f"}

"""Searches, actions, changes and errors end to end, with real processes."""

import os
import pathlib

import pytest

from greengagedale.query import hits
from greengagedale.query import ranges
from standins import deployments
from standins import httpcalls
from standins import synthetic_documents

SEARCH = "/v1/workspaces/search-a/search"
ACT = "/v1/workspaces/search-a/act"


@pytest.fixture
def caller_address(shared_deployment):
    return shared_deployment.caller_address(shared_deployment.host(2))


@pytest.fixture
def operator_address(shared_deployment):
    return shared_deployment.operator_address(shared_deployment.host(3))


def test_search_merges_all_ranges_of_one_snapshot(caller_address):
    answer = httpcalls.call(
        "POST", caller_address, SEARCH, {"text": "go", "limit": 7}
    )
    assert answer.status == 200
    assert answer.body["outcome"] == "ran"
    assert answer.body["snapshot"] == {"index_version": 1, "map_version": 1}
    coverage = answer.body["coverage"]
    assert coverage["covered"] == coverage["total"] == 1 << 32
    assert coverage["missing"] == []
    found_hits = [hits.Hit(*item) for item in answer.body["hits"]]
    assert found_hits == synthetic_documents.search(
        ranges.KEY_SPACE, 1, "go", 7
    )


def test_action_runs_once_for_its_key(caller_address, shared_deployment):
    body = {"key": "k-once", "target": 9, "body": {"offer": "place"}}
    answers = [
        httpcalls.call("POST", caller_address, ACT, body) for _ in range(3)
    ]
    assert [answer.body["outcome"] for answer in answers] == ["ran"] * 3
    runs = [
        event
        for placed in shared_deployment.shape.upstreams()
        for event in shared_deployment.read_record(placed.upstream.name)
        if event["event"] == "act" and event["key"] == "k-once"
    ]
    assert len(runs) == 1


def test_explain_is_answered_by_any_host(caller_address, shared_deployment):
    answer = httpcalls.call("POST", caller_address, SEARCH, {"text": "x"})
    other = shared_deployment.caller_address(shared_deployment.host(4))
    request_id = answer.body["request_id"]
    record = httpcalls.get(other, f"/v1/explain/{request_id}")
    assert record.status == 200
    assert record.body["request_id"] == request_id
    assert record.body["outcome"] == "ran"


def descriptors_of(process):
    """Returns the targets of all descriptors; None if one was closed."""
    try:
        entries = pathlib.Path(f"/proc/{process.pid}/fd").iterdir()
        return [os.readlink(entry) for entry in entries]
    except FileNotFoundError:
        return None


def test_no_process_holds_an_io_uring_descriptor(shared_deployment):
    targets = [
        target
        for process in shared_deployment.processes.values()
        for target in deployments.wait_until(
            lambda process=process: descriptors_of(process),
            "a whole list of descriptors",
        )
    ]
    assert len(targets) > 100
    assert not [target for target in targets if "io_uring" in target]


@pytest.mark.parametrize(
    ("method", "path", "body", "status", "error", "key"),
    [
        ("POST", SEARCH, b"{", 400, "invalid_request", "(body)"),
        ("POST", SEARCH, b"\xff\xfe", 400, "invalid_request", "(body)"),
        ("POST", SEARCH, {}, 400, "invalid_request", "(body)"),
        ("POST", SEARCH, {"text": 5}, 400, "invalid_request", "text"),
        (
            "POST",
            SEARCH,
            {"text": "a", "limit": 0},
            400,
            "invalid_request",
            "limit",
        ),
        ("POST", SEARCH, b" " * 70_000, 413, "body_too_large", None),
        (
            "POST",
            "/v1/workspaces/none/search",
            {"text": "a"},
            404,
            "unknown_workspace",
            None,
        ),
        (
            "POST",
            ACT,
            {"target": 1, "body": 0},
            400,
            "invalid_request",
            "(body)",
        ),
        (
            "POST",
            ACT,
            {"key": "", "target": 1, "body": 0},
            400,
            "invalid_request",
            "key",
        ),
        ("GET", "/v1/explain/none", None, 404, "unknown_request", None),
        ("GET", "/nowhere", None, 404, "http", None),
        ("GET", SEARCH, None, 405, "http", None),
    ],
)
def test_invalid_calls_get_typed_errors(
    caller_address, method, path, body, status, error, key
):
    answer = httpcalls.call(method, caller_address, path, body)
    assert answer.status == status
    assert answer.body["error"] == error
    if key is not None:
        assert [item["key"] for item in answer.body["mistakes"]] == [key]
    good = httpcalls.call("POST", caller_address, SEARCH, {"text": "after"})
    assert good.status == 200


def test_all_errors_of_a_template_are_reported_together(operator_address):
    body = {
        "parameters": {"p": {"type": "integer", "default": "x"}},
        "workspace": {"servce": "places", "timeout_ms": "${q}"},
    }
    answer = httpcalls.call("PUT", operator_address, "/v1/templates/bad", body)
    assert answer.status == 400
    keys = {item["key"] for item in answer.body["mistakes"]}
    assert keys == {
        "workspace.timeout_ms",
        "parameters.p.default",
        "workspace.servce",
    }


def test_workspace_without_its_template_is_not_accepted(operator_address):
    body = {"member": "member-a", "template": "none"}
    answer = httpcalls.call("PUT", operator_address, "/v1/workspaces/w", body)
    assert answer.status == 422
    assert answer.body["outcome"] == "not_accepted"
    assert "no template 'none'" in answer.body["detail"]


def test_health_and_metrics_are_served(caller_address):
    assert httpcalls.get(caller_address, "/healthz").status == 200
    assert httpcalls.get(caller_address, "/readyz").status == 200
    text = httpcalls.get(caller_address, "/metrics").body
    assert "greengagedale_platform_calls_total{" in text
    assert "greengagedale_request_latency_ms" in text

"""A request that crashes upstreams is quarantined when sent repeatedly."""

import contextlib

import pytest

from standins import deployments
from standins import httpcalls
from standins import upstream

SEARCH = "/v1/workspaces/search-a/search"
SENDS = 5
MAX_CRASHES = 2


@pytest.fixture
def deployment(own_deployment):
    own_deployment.start('\n[limits]\ncanary = "always"\n')
    own_deployment.apply_example_workspace()
    return own_deployment


def search(deployment, number, text):
    host = deployment.host(1 + number % 4)
    body = {"text": text, "timeout_ms": 2000}
    return httpcalls.call(
        "POST", deployment.caller_address(host), SEARCH, body
    ).body


def crashes(deployment):
    return [
        event
        for placed in deployment.shape.upstreams()
        for event in deployment.read_record(placed.upstream.name)
        if event["event"] == "crash"
    ]


def restart_crashed(deployment):
    for placed in deployment.shape.upstreams():
        name = placed.upstream.name
        if deployment.processes[name].poll() is not None:
            deployment.start_upstream(name)
            deployments.wait_until(
                lambda upstream_name=name: health_of(deployment, upstream_name),
                name,
            )


def health_of(deployment, name):
    placed = {
        entry.upstream.name: entry.upstream
        for entry in deployment.shape.upstreams()
    }
    with contextlib.suppress(OSError):
        return httpcalls.get(placed[name].endpoint, "/v1/health").body
    return None


def test_poison_request_is_quarantined_on_all_hosts_after_two_crashes(
    deployment,
):
    assert search(deployment, 0, "healthy")["outcome"] == "ran"
    poison = f"{upstream.CRASH_TEXT} here"
    poison_answers = []
    for number in range(SENDS):
        poison_answers.append(search(deployment, number, poison))
        restart_crashed(deployment)
    assert len(crashes(deployment)) <= MAX_CRASHES
    reasons = [answer.get("reason") for answer in poison_answers]
    assert reasons[2:] == ["quarantined"] * (SENDS - 2)
    for number in range(4):
        healthy = search(deployment, number, "healthy")
        assert healthy["outcome"] == "ran"
        assert healthy["coverage"]["missing"] == []

"""Actions run at most once across hosts, tested with real processes."""

from concurrent import futures
import signal

import pytest

from greengagedale import client as client_lib
from greengagedale import outcomes
from standins import deployments
from standins import httpcalls

ACT = "/v1/workspaces/search-a/act"


def runs_of(deployment, key):
    """Returns all runs of a key recorded by the upstreams."""
    return [
        event
        for placed in deployment.shape.upstreams()
        for event in deployment.read_record(placed.upstream.name)
        if event["event"] == "act" and event["key"] == key
    ]


def caller_endpoints(deployment):
    return [
        deployment.caller_address(host)
        for host in deployment.shape.entry_hosts()
    ]


def ticketed_key(endpoint, nonce):
    ticket = httpcalls.get(endpoint, "/v1/locate").body["ticket"]
    return f"{ticket}.{nonce}"


def send(endpoint, key, timeout_ms=1000, **fields):
    body = {"key": key, "target": 9, "body": {"offer": "place"}}
    return httpcalls.call(
        "POST", endpoint, ACT, {**body, "timeout_ms": timeout_ms, **fields}
    ).body


def search_steps(endpoint):
    """Runs a search; returns the events in its record with their reasons."""
    path = "/v1/workspaces/search-a/search"
    answer = httpcalls.call("POST", endpoint, path, {"text": "x"}).body
    record = httpcalls.get(endpoint, f"/v1/explain/{answer['request_id']}").body
    return [(kind, reason) for _, _, kind, _, reason in record["events"]]


@pytest.fixture
def deployment(own_deployment):
    own_deployment.start()
    own_deployment.apply_example_workspace()
    return own_deployment


@pytest.mark.parametrize("ticketed", [True, False])
def test_resends_to_all_hosts_run_once(shared_deployment, ticketed):
    hosts = caller_endpoints(shared_deployment)
    key = ticketed_key(hosts[0], "a1") if ticketed else "family-7-club-3"
    answers = [send(host, key) for host in [*hosts, *hosts]]
    assert [answer["outcome"] for answer in answers] == ["ran"] * 8
    assert len(runs_of(shared_deployment, key)) == 1


@pytest.mark.parametrize("ticketed", [True, False])
def test_concurrent_copies_on_all_hosts_run_once(shared_deployment, ticketed):
    hosts = caller_endpoints(shared_deployment)
    key = ticketed_key(hosts[2], "b1") if ticketed else "family-8-club-3"
    with futures.ThreadPoolExecutor(8) as pool:
        answers = list(pool.map(lambda host: send(host, key), hosts * 2))
    assert {answer["outcome"] for answer in answers} == {"ran"}
    assert len(runs_of(shared_deployment, key)) == 1


def test_key_with_another_body_is_refused(shared_deployment):
    hosts = caller_endpoints(shared_deployment)
    key = ticketed_key(hosts[0], "c1")
    assert send(hosts[0], key)["outcome"] == "ran"
    other = send(hosts[1], key, body={"offer": "another place"})
    assert (other["outcome"], other["reason"]) == ("not_run", "key_conflict")
    assert len(runs_of(shared_deployment, key)) == 1


def test_keys_of_a_lost_host_are_unknown_and_never_run(deployment):
    hosts = caller_endpoints(deployment)
    ran, unsent = ticketed_key(hosts[0], "ran"), ticketed_key(hosts[0], "un")
    assert send(hosts[0], ran)["outcome"] == "ran"
    assert send(hosts[0], "chosen")["outcome"] == "ran"
    deployment.kill("entry-1")
    for key in (ran, unsent, "chosen"):
        answers = [send(host, key) for host in hosts[1:]]
        assert {answer["outcome"] for answer in answers} == {"unknown"}
    deployment.start_host(deployment.host(1))
    deployment.wait_ready()
    for key in (ran, unsent, "chosen"):
        deployments.wait_until(
            lambda key=key: (
                [send(host, key)["reason"] for host in hosts]
                == ["issuer_gone"] * len(hosts)
            ),
            "all hosts to learn that the issuer is gone",
        )
    runs = [len(runs_of(deployment, key)) for key in (ran, unsent, "chosen")]
    assert runs == [1, 0, 1]


def test_frozen_host_runs_each_key_once_and_reports_correctly(deployment):
    hosts = caller_endpoints(deployment)
    key, late = ticketed_key(hosts[0], "d1"), ticketed_key(hosts[0], "d2")
    deployment.signal("entry-1", signal.SIGSTOP)
    with futures.ThreadPoolExecutor(2) as pool:
        frozen_answer = pool.submit(send, hosts[0], late, 300)
        answers = [send(host, key, 300) for host in hosts[1:]]
        assert {answer["outcome"] for answer in answers} == {"unknown"}
        deployment.signal("entry-1", signal.SIGCONT)
        assert frozen_answer.result()["outcome"] == "ran"
    deployment.wait_ready()
    assert send(hosts[1], key)["outcome"] == "ran"
    assert len(runs_of(deployment, key)) == 1
    assert len(runs_of(deployment, late)) == 1


def test_platform_outage_affects_only_caller_chosen_keys(deployment):
    hosts = caller_endpoints(deployment)
    deployment.control_platform(down=True)
    ticketed = ticketed_key(hosts[0], "e1")
    assert {send(host, ticketed)["outcome"] for host in hosts} == {"ran"}
    first = send(hosts[0], "chosen", first_send=True)
    assert (first["outcome"], first["reason"]) == ("not_run", "platform_down")
    assert first["retry_after_ms"] > 0
    again = send(hosts[1], "chosen")
    assert (again["outcome"], again["reason"]) == ("unknown", "platform_down")
    assert runs_of(deployment, "chosen") == []
    deployment.control_platform()
    assert {send(host, "chosen")["outcome"] for host in hosts} == {"ran"}
    assert len(runs_of(deployment, "chosen")) == 1


def test_claim_whose_reply_is_lost_is_resolved(deployment):
    hosts = caller_endpoints(deployment)
    deployment.control_platform(lose_replies=2)
    assert {send(host, "chosen")["outcome"] for host in hosts} == {"ran"}
    assert len(runs_of(deployment, "chosen")) == 1


def test_unreachable_replica_is_replaced_before_anything_is_sent(deployment):
    hosts = caller_endpoints(deployment)
    placed = deployment.shape.upstreams()
    first_group = [entry.upstream.name for entry in placed if entry.group == 0]
    for name in first_group[1:]:
        deployment.kill(name)
    keys = [ticketed_key(hosts[0], f"f{number}") for number in range(12)]
    assert {send(hosts[0], key)["outcome"] for key in keys} == {"ran"}
    runs = [
        event["key"]
        for event in deployment.read_record(first_group[0])
        if event["event"] == "act"
    ]
    assert sorted(runs) == sorted(keys)
    deployments.wait_until(
        lambda: ("retry", "connect_failed") in search_steps(hosts[1]),
        "a search with a retry in its record",
    )


async def test_client_fails_over_and_reports_correct_outcomes(deployment):
    hosts = caller_endpoints(deployment)
    client = client_lib.Client.from_config(hosts)
    try:
        await client.locate()
        deployment.signal("entry-1", signal.SIGSTOP)
        frozen = await client.act("search-a", 9, {"n": 1}, timeout_ms=1200)
        assert isinstance(frozen, outcomes.Unknown)
        deployment.kill("entry-1")
        after = await client.act("search-a", 9, {"n": 2}, timeout_ms=3000)
        assert isinstance(after, outcomes.Ran)
        found = await client.search("search-a", "go", timeout_ms=3000)
        assert isinstance(found, outcomes.Ran)
    finally:
        await client.close()
    runs = [
        event
        for placed in deployment.shape.upstreams()
        for event in deployment.read_record(placed.upstream.name)
        if event["event"] == "act"
    ]
    assert len(runs) == 1


def test_explain_shows_which_host_ran_a_forwarded_action(shared_deployment):
    hosts = caller_endpoints(shared_deployment)
    key = ticketed_key(hosts[0], "x1")
    answer = send(hosts[1], key)
    path = f"/v1/explain/{answer['request_id']}"
    record = httpcalls.get(hosts[3], path).body
    assert record["key"] == key
    steps = [(host, kind) for _, host, kind, _, _ in record["events"]]
    assert steps[:3] == [
        ("entry-2", "forward"),
        ("entry-1", "start"),
        ("entry-1", "attempt"),
    ]
    assert record["events_left_out"] == 0

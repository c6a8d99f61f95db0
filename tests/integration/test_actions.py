"""At most once, through real processes and across hosts."""

import pytest

from standins import httpcalls

ACT = "/v1/workspaces/search-a/act"


def runs_of(deployment, key):
    """Returns every run of a key that any upstream has recorded."""
    return [
        event
        for placed in deployment.shape.upstreams()
        for event in deployment.record_of(placed.upstream.name)
        if event["event"] == "act" and event["key"] == key
    ]


def callers(deployment):
    return [deployment.caller(host) for host in deployment.shape.entry_hosts()]


def ticketed_key(endpoint, nonce):
    ticket = httpcalls.get(endpoint, "/v1/locate").body["ticket"]
    return f"{ticket}.{nonce}"


@pytest.mark.parametrize("ticketed", [True, False])
def test_resends_to_all_hosts_run_once(shared_deployment, ticketed):
    hosts = callers(shared_deployment)
    key = ticketed_key(hosts[0], "a1") if ticketed else "family-7-club-3"
    body = {"key": key, "target": 9, "body": {"offer": "place"}}
    answers = [
        httpcalls.call("POST", host, ACT, body) for host in [*hosts, *hosts]
    ]
    assert [answer.body["outcome"] for answer in answers] == ["ran"] * 8
    assert len(runs_of(shared_deployment, key)) == 1

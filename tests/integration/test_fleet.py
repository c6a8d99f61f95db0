"""Hosts and upstreams that fail, leave and come back, as real processes."""

import concurrent.futures
import http.client
import signal
import socket
import time

import pytest

from standins import deployments
from standins import httpcalls

SEARCH = "/v1/workspaces/search-a/search"
BOUND_S = 2.0
SHORT_LEAVE = """
[shutdown]
spread_ms = 500
[callers]
locate_ttl_ms = 500
"""


@pytest.fixture
def fleet(own_deployment):
    own_deployment.start(SHORT_LEAVE)
    own_deployment.apply_examples()
    return own_deployment


def names_at(fleet, *numbers):
    return [set(fleet.located(fleet.host(number))) for number in numbers]


def searches(fleet, count=12):
    return [
        httpcalls.call(
            "POST", fleet.caller(fleet.host(1 + n % 4)), SEARCH, {"text": "a"}
        ).body
        for n in range(count)
    ]


def test_frozen_host_is_gone_in_time_and_comes_back(fleet):
    everyone = {f"entry-{n}" for n in range(1, 5)}
    rest = everyone - {"entry-2"}
    fleet.signal("entry-2", signal.SIGSTOP)
    deployments.wait_until(
        lambda: names_at(fleet, 1, 3, 4) == [rest] * 3,
        "the frozen host to be gone",
        BOUND_S,
    )
    fleet.signal("entry-2", signal.SIGCONT)
    deployments.wait_until(
        lambda: names_at(fleet, 1, 2, 3, 4) == [everyone] * 4,
        "all hosts to be back",
    )


def test_malformed_datagrams_are_counted_and_dropped(fleet):
    host = fleet.host(3)
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
        for body in (b"", b"\x00", b"\xff" * 900, b"\x97\x00\x01"):
            sender.sendto(body, (host.address, host.peer_port))
    line = 'greengagedale_membership_events_total{event="malformed"} 4.0'
    deployments.wait_until(
        lambda: line in httpcalls.get(fleet.caller(host), "/metrics").body,
        "the datagrams to be counted",
    )
    assert len(fleet.located(host)) == 4


@pytest.mark.parametrize("platform_down", [False, True])
def test_leaving_upstream_gets_no_new_work(fleet, platform_down):
    fleet.control_platform(down=platform_down)
    left = fleet.shape.upstreams()[0].upstream.name
    fleet.control_upstream(left, draining=True)
    time.sleep(BOUND_S)
    bound_ms = time.monotonic() * 1000.0
    assert {body["outcome"] for body in searches(fleet)} == {"ran"}
    sent = [
        event
        for event in fleet.record_of(left)
        if event["at_ms"] >= bound_ms and event["event"] != "control"
    ]
    assert sent == []
    fleet.control_upstream(left, draining=False)
    deployments.wait_until(
        lambda: (
            searches(fleet)
            and any(
                event["event"] == "search" and event["at_ms"] >= bound_ms
                for event in fleet.record_of(left)
            )
        ),
        "work to come back",
    )


def test_platform_says_that_an_upstream_leaves(fleet):
    left = fleet.shape.upstreams()[1].upstream.name
    service = fleet.shape.initial_service("places")
    upstream = service.upstreams[left]._replace(leaving=True)
    upstreams = {**service.upstreams, left: upstream}
    fleet.publish(service._replace(upstreams=upstreams))
    time.sleep(BOUND_S)
    bound_ms = time.monotonic() * 1000.0
    assert {body["outcome"] for body in searches(fleet)} == {"ran"}
    assert not [e for e in fleet.record_of(left) if e["at_ms"] >= bound_ms]


def test_host_that_leaves_cuts_nothing(fleet):
    for placed in fleet.shape.upstreams():
        fleet.control_upstream(
            placed.upstream.name,
            straggler_share=1.0,
            straggler_factor=(1200.0, 1200.0),
        )
    host = fleet.host(4)
    process = fleet.processes["entry-4"]
    kept = http.client.HTTPConnection(host.address, host.caller_port, timeout=5)
    body = {"text": "slow", "timeout_ms": 9000}
    with concurrent.futures.ThreadPoolExecutor() as pool:
        fleet.signal("entry-4", signal.SIGTERM)
        deployments.wait_until(
            lambda: all("entry-4" not in n for n in names_at(fleet, 1, 2, 3)),
            "the leaving host to be gone",
            BOUND_S,
        )
        slow = pool.submit(
            httpcalls.call, "POST", fleet.caller(host), SEARCH, body
        )
        told = deployments.wait_until(
            lambda: _connection_header(kept) == "close", "the closing phase"
        )
        assert told
        assert slow.result().body["outcome"] == "ran"
    assert process.wait(10) == 0


def test_second_signal_ends_at_once(fleet):
    fleet.signal("entry-4", signal.SIGTERM)
    deployments.wait_until(
        lambda: "entry-4" not in fleet.located(fleet.host(1)), "it to leave"
    )
    fleet.signal("entry-4", signal.SIGTERM)
    assert fleet.processes["entry-4"].wait(1) == 1


def _connection_header(connection):
    connection.request("GET", "/v1/locate")
    response = connection.getresponse()
    response.read()
    return response.headers.get("Connection")

"""Hosts and upstreams that fail, leave and return, as real processes."""

import concurrent.futures
import http.client
import signal
import socket
import time

import pytest

from standins import deployments
from standins import httpcalls

SEARCH = "/v1/workspaces/search-a/search"
DETECTION_BOUND_S = 2.0
SHORT_SHUTDOWN_SETTINGS = """
[shutdown]
spread_ms = 500
[callers]
locate_ttl_ms = 500
"""


@pytest.fixture
def fleet(own_deployment):
    own_deployment.start(SHORT_SHUTDOWN_SETTINGS)
    own_deployment.apply_example_workspace()
    return own_deployment


def located_names(fleet, *numbers):
    return [set(fleet.located_hosts(fleet.host(number))) for number in numbers]


def run_searches(fleet, count=12):
    return [
        httpcalls.call(
            "POST",
            fleet.caller_address(fleet.host(1 + n % 4)),
            SEARCH,
            {"text": "a"},
        ).body
        for n in range(count)
    ]


def test_frozen_host_is_removed_in_time_and_rejoins(fleet):
    all_names = {f"entry-{n}" for n in range(1, 5)}
    remaining_names = all_names - {"entry-2"}
    fleet.signal("entry-2", signal.SIGSTOP)
    deployments.wait_until(
        lambda: located_names(fleet, 1, 3, 4) == [remaining_names] * 3,
        "the frozen host to be removed",
        DETECTION_BOUND_S,
    )
    fleet.signal("entry-2", signal.SIGCONT)
    deployments.wait_until(
        lambda: located_names(fleet, 1, 2, 3, 4) == [all_names] * 4,
        "all hosts to rejoin",
    )


def test_malformed_datagrams_are_counted_and_dropped(fleet):
    host = fleet.host(3)
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
        for body in (b"", b"\x00", b"\xff" * 900, b"\x97\x00\x01"):
            sender.sendto(body, (host.address, host.peer_port))
    line = 'greengagedale_membership_events_total{event="malformed"} 4.0'
    deployments.wait_until(
        lambda: (
            line in httpcalls.get(fleet.caller_address(host), "/metrics").body
        ),
        "the datagrams to be counted",
    )
    assert len(fleet.located_hosts(host)) == 4


@pytest.mark.parametrize("platform_down", [False, True])
def test_leaving_upstream_gets_no_new_requests(fleet, platform_down):
    fleet.control_platform(down=platform_down)
    leaving_name = fleet.shape.upstreams()[0].upstream.name
    fleet.control_upstream(leaving_name, draining=True)
    time.sleep(DETECTION_BOUND_S)
    bound_ms = time.monotonic() * 1000.0
    assert {body["outcome"] for body in run_searches(fleet)} == {"ran"}
    sent = [
        event
        for event in fleet.read_record(leaving_name)
        if event["at_ms"] >= bound_ms and event["event"] != "control"
    ]
    assert sent == []
    fleet.control_upstream(leaving_name, draining=False)
    deployments.wait_until(
        lambda: (
            run_searches(fleet)
            and any(
                event["event"] == "search" and event["at_ms"] >= bound_ms
                for event in fleet.read_record(leaving_name)
            )
        ),
        "the upstream to receive requests again",
    )


def test_upstream_listed_as_leaving_gets_no_new_requests(fleet):
    leaving_name = fleet.shape.upstreams()[1].upstream.name
    service = fleet.shape.initial_service("places")
    upstream = service.upstreams[leaving_name]._replace(leaving=True)
    upstreams = {**service.upstreams, leaving_name: upstream}
    fleet.publish_service(service._replace(upstreams=upstreams))
    time.sleep(DETECTION_BOUND_S)
    bound_ms = time.monotonic() * 1000.0
    assert {body["outcome"] for body in run_searches(fleet)} == {"ran"}
    assert not [
        e for e in fleet.read_record(leaving_name) if e["at_ms"] >= bound_ms
    ]


def test_leaving_host_completes_requests_in_flight(fleet):
    for placed in fleet.shape.upstreams():
        fleet.control_upstream(
            placed.upstream.name,
            straggler_share=1.0,
            straggler_factor=(1200.0, 1200.0),
        )
    host = fleet.host(4)
    process = fleet.processes["entry-4"]
    connection = http.client.HTTPConnection(
        host.address, host.caller_port, timeout=5
    )
    body = {"text": "slow", "timeout_ms": 9000}
    with concurrent.futures.ThreadPoolExecutor() as pool:
        fleet.signal("entry-4", signal.SIGTERM)
        deployments.wait_until(
            lambda: all(
                "entry-4" not in n for n in located_names(fleet, 1, 2, 3)
            ),
            "the leaving host to be removed",
            DETECTION_BOUND_S,
        )
        slow = pool.submit(
            httpcalls.call, "POST", fleet.caller_address(host), SEARCH, body
        )
        saw_close = deployments.wait_until(
            lambda: _connection_header(connection) == "close",
            "the closing phase",
        )
        assert saw_close
        assert slow.result().body["outcome"] == "ran"
    assert process.wait(10) == 0


def test_second_signal_exits_immediately(fleet):
    fleet.signal("entry-4", signal.SIGTERM)
    deployments.wait_until(
        lambda: "entry-4" not in fleet.located_hosts(fleet.host(1)),
        "entry-4 to leave",
    )
    fleet.signal("entry-4", signal.SIGTERM)
    assert fleet.processes["entry-4"].wait(1) == 1


def _connection_header(connection):
    connection.request("GET", "/v1/locate")
    response = connection.getresponse()
    response.read()
    return response.headers.get("Connection")

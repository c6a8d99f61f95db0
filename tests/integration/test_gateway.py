"""Gateway hosts as processes: the whole request path, with faults."""

import asyncio
import collections
import json
import os
import random
import signal

import pytest

from bench import overhead
from greengagedale.http1 import client
from standins import endless
from standins import gateway_site
from standins.gateway_site import RECORD_FORMAT
from standins.gateway_site import SHARDS
from standins.gateway_site import configuration
from standins.gateway_site import route
from standins.gateway_site import running_site

IN_FORCE_S = 3.0
# Target for 20 upstreams with endless answers.
MOST_GROWTH_MIB = 16.0
# Longer than the grace time of a stop.
LONG_MS = 5000


@pytest.fixture
async def site(tmp_path):
    async with running_site(tmp_path) as running:
        yield running


async def until(check, timeout_s=IN_FORCE_S):
    """Waits until an asynchronous check returns true."""
    async with asyncio.timeout(timeout_s):
        while not await check():
            await asyncio.sleep(0.05)


async def test_search_is_merged_from_all_shards(site):
    reply = await site.hosts[0].search()
    assert reply.status == 200
    assert reply.header(b"parts-missing") == b"0"
    assert len(reply.header(b"part-seals").split(b",")) == 3
    expected = b"".join(RECORD_FORMAT % number for number in (12, 11, 10, 2))
    assert reply.body == expected


async def test_callers_are_told_all_hosts(site):
    for host in site.hosts:
        await until(lambda host=host: knows_all_hosts(host, site))


async def knows_all_hosts(host, site):
    reply = await host.get("/-/resolve?name=a.example&zone=here", "directory")
    ports = [str(each.ports["http"]).encode() for each in site.hosts]
    return reply.status == 200 and all(port in reply.body for port in ports)


async def test_non_idempotent_request_with_lost_answer_runs_once(site):
    site.upstreams["one-0"].mode = "lost"
    reply = await site.hosts[0].get(
        "/book/x", method=b"POST", request_id="b1", deadline_ms=2000
    )
    assert reply.status == 502
    assert site.upstreams["one-0"].runs["b1"] == 1


async def test_refused_non_idempotent_request_has_retry_after(site):
    site.upstreams["one-0"].mode = "full"
    reply = await site.hosts[0].get(
        "/book/x", method=b"POST", request_id="b1", deadline_ms=2000
    )
    assert reply.status == 503
    assert float(reply.header(b"retry-after")) > 0.0
    assert site.upstreams["one-0"].runs["b1"] == 0


async def test_evacuated_data_centre_gets_nothing_until_taken_back(tmp_path):
    async with running_site(tmp_path, contracts=["places"]) as site:
        for name, each in site.upstreams.items():
            if name.endswith("-1"):
                each.data_centre = "there"
                site.write_upstream_entry(name)
        site.store.put("evacuations", "there", {})
        evacuated = [site.upstreams[f"{shard}-1"] for shard in SHARDS]

        async def is_known(state):
            message = f"evacuation of a data centre {state}"
            return all(
                message in [line["message"] for line in host.json_log_lines()]
                for host in site.hosts
            )

        await until(lambda: is_known("began"))
        # The host that reads the store is lost, and one starts meanwhile.
        await site.hosts[0].stop()
        await site.hosts[0].start()
        await site.hosts[0].wait_ready()
        counts = [len(each.requests) for each in evacuated]
        for host in site.hosts * 10:
            assert (await host.search()).status == 200
        assert [len(each.requests) for each in evacuated] == counts
        site.store.delete("evacuations", "there")

        await until(lambda: is_known("ended"))
        # Hosts prefer upstreams of their own data centre.
        for shard in SHARDS:
            site.write_upstream_entry(f"{shard}-0", "draining")

        async def is_used():
            await site.hosts[1].search()
            return all(each.requests[counts[0] :] for each in evacuated)

        await until(is_used)


async def test_request_bound_to_a_region_reaches_no_other(site):
    far = site.upstreams["s1-1"]
    far.data_centre = "there"
    site.write_upstream_entry("s1-1")
    more = [
        route("near", "/near/", service="s1", allowedRegions=["near"]),
        route("far", "/far/", service="s1", allowedRegions=["far"]),
    ]
    site.store.put("config", "main", configuration(8, more))

    async def is_served():
        reply = await site.hosts[0].get("/far/x", request_id="f1")
        return reply.status == 200

    await until(is_served)
    count = len(far.requests)
    for number in range(20):
        reply = await site.hosts[0].get("/near/x", request_id=f"n{number}")
        assert reply.status == 200
    assert len(far.requests) == count
    site.upstreams["s1-0"].mode = "full"
    reply = await site.hosts[0].get("/near/x", request_id="n")
    assert reply.status == 503
    assert len(far.requests) == count


@pytest.mark.parametrize("mode", ["unsigned", "foreign", "failing", "lost"])
async def test_invalid_answer_is_not_merged(site, mode):
    for name in ("s1-0", "s1-1"):
        site.upstreams[name].mode = mode
    reply = await site.hosts[0].search()
    assert reply.status == 200
    assert reply.header(b"parts-missing") == b"1"
    assert b"s1" not in reply.header(b"part-seals")


async def test_unknown_route_is_404_and_new_one_comes_in_force(site):
    reply = await site.hosts[1].get("/new/x", request_id="n1")
    assert reply.status == 404
    more = [route("new", "/new/", service="s2")]
    site.store.put("config", "main", configuration(8, more))

    async def is_served():
        replies = [
            await host.get("/new/x", request_id="n2") for host in site.hosts
        ]
        return all(each.status == 200 for each in replies)

    await until(is_served)


async def test_leaving_upstream_gets_no_new_work(site):
    leaving_upstream = site.upstreams["s1-0"]
    site.write_upstream_entry("s1-0", state="draining")
    await asyncio.sleep(IN_FORCE_S)
    before = len(leaving_upstream.requests)
    for number in range(20):
        await site.hosts[number % 2].get("/get/x", request_id=f"g{number}")
    assert len(leaving_upstream.requests) == before


async def test_malformed_entries_are_ignored(site):
    for name, document in (("x", None), ("y", {"service": 5}), ("z", "text")):
        site.store.put("servers", name, document)
    await asyncio.sleep(0.5)
    assert (await site.hosts[0].search()).status == 200


async def test_sigterm_cuts_no_request(site):
    """Requests on open connections are served until their host has drained."""
    leaving, other = site.hosts
    for upstream in site.upstreams.values():
        upstream.delay_ms = 300.0
    statuses, cut = [], []

    async def caller(number):
        connection = await leaving.connect()
        for step in range(50):
            reply = await leaving.send_request(
                connection, "/get/x", request_id=f"c{number}-{step}"
            )
            if isinstance(reply, client.ExchangeFailure):
                cut.append(reply)
                return
            statuses.append(reply.status)
            if not connection.is_usable:
                return

    callers = [asyncio.create_task(caller(number)) for number in range(8)]
    await asyncio.sleep(0.4)
    leaving.signal(signal.SIGTERM)
    await asyncio.sleep(0.5)
    assert not await leaving.is_ready()
    located = await other.get("/-/resolve?name=a.example", "directory")
    assert str(leaving.ports["http"]).encode() not in located.body
    await asyncio.gather(*callers)
    assert await leaving.wait_exit() == 0
    assert cut == []
    assert set(statuses) == {200}
    messages = [line["message"] for line in leaving.json_log_lines()]
    assert messages[-1] == "stopped"


# Guards against requests that a host takes late in a planned stop, passes on
# and cuts at its end, among them some that may run once.
@pytest.mark.parametrize("seed", range(2))
async def test_late_requests_of_a_stop_are_answered_or_refused(site, seed):
    leaving = site.hosts[0]
    rng = random.Random(seed)
    slow = [
        route("slow", "/slow/", service="s1", timeoutMs=LONG_MS),
        route(
            "once",
            "/once/",
            service="s1",
            timeoutMs=LONG_MS,
            type="non_idempotent",
        ),
    ]
    site.store.put("config", "main", configuration(4, slow))
    await asyncio.sleep(IN_FORCE_S)
    for upstream in site.upstreams.values():
        upstream.delay_ms = LONG_MS
    kept = [await leaving.connect() for _ in range(12)]

    async def send_late(number):
        await asyncio.sleep(
            rng.uniform(0.45, 0.6) * gateway_site.BOUNDS["graceS"]
        )
        path = "/once/x" if number % 2 else "/slow/x"
        headers = {"request_id": f"late-{number}", "deadline_ms": LONG_MS}
        if number < len(kept):
            return await leaving.send_request(kept[number], path, **headers)
        try:
            return await leaving.get(path, **headers)
        except OSError:
            # The host has closed its listener; the caller goes to another one.
            return None

    leaving.signal(signal.SIGTERM)
    replies = await asyncio.gather(*map(send_late, range(24)))
    assert await leaving.wait_exit() == 0
    cut = [each for each in replies if isinstance(each, client.ExchangeFailure)]
    assert cut == []
    runs = collections.Counter()
    for upstream in site.upstreams.values():
        runs.update(upstream.runs)
    ran = {number for number in range(24) if runs[f"late-{number}"]}
    statuses = {number: getattr(replies[number], "status", 0) for number in ran}
    assert set(statuses.values()) <= {502, 504}
    # Those that may run once can't be answered in time.
    assert all(number % 2 == 0 for number in ran)


async def test_sighup_reloads_settings_without_interruption(site):
    host = site.hosts[0]
    host.signal(signal.SIGHUP)
    await asyncio.sleep(0.3)
    assert (await host.search()).status == 200
    assert any(
        line["message"] == "settings reloaded" for line in host.json_log_lines()
    )


async def test_store_outage_changes_nothing_for_callers(site):
    site.store.mode = "busy"
    await asyncio.sleep(1.0)
    for host in site.hosts:
        assert (await host.search()).status == 200


async def test_host_that_starts_in_an_outage_learns_from_a_peer(site):
    site.store.mode = "silent"
    host = site.hosts[1]
    await host.stop()
    await host.start()
    await host.wait_ready(5.0)
    assert (await host.search()).status == 200


async def test_host_without_data_answers_503_and_is_not_listed(site):
    site.store.mode = "busy"
    for host in site.hosts:
        await host.stop()
    host = site.hosts[0]
    await host.start()

    async def is_up():
        try:
            return (await host.search()).status == 503
        except OSError:
            return False

    await until(is_up, 8.0)
    located = await host.get("/-/resolve?name=a.example", "directory")
    assert located.status == 503
    assert not await host.is_ready()
    site.store.mode = "up"
    await host.wait_ready()
    assert (await host.search()).status == 200


async def new_route_comes_in_force(site):
    """Writes a configuration and waits until the second host serves it."""
    more = [route("new", "/new/", service="s2")]
    site.store.put("config", "main", configuration(9, more))

    async def is_served():
        reply = await site.hosts[1].get("/new/x", request_id="n2")
        return reply.status == 200

    await until(is_served, 4.0)


async def test_reader_that_is_killed_is_replaced(site):
    await site.hosts[0].stop()
    await new_route_comes_in_force(site)


async def test_dropped_history_is_read_again(site):
    site.store.mode = "gone"
    await new_route_comes_in_force(site)


async def test_blocked_standard_output_delays_no_request(site):
    host = site.hosts[0]
    await host.stop()
    read_end, write_end = os.pipe()
    try:
        await host.start(stdout=write_end)
        await host.wait_ready()
        slowest_s = 0.0
        loop = asyncio.get_running_loop()
        for number in range(600):
            started_s = loop.time()
            await host.get("/get/x", request_id=f"{number:0100d}")
            slowest_s = max(slowest_s, loop.time() - started_s)
        assert slowest_s < 0.5
    finally:
        os.close(read_end)
        os.close(write_end)


async def test_metrics_are_served(site):
    await site.hosts[0].search()
    reply = await site.hosts[0].get("/metrics", "metrics")
    assert b"greengagedale_requests_total" in reply.body
    assert b'route="find"' in reply.body


async def test_every_request_has_an_explanatory_log_line(site):
    site.upstreams["s1-0"].mode = "failing"
    site.upstreams["s1-1"].mode = "failing"
    await site.hosts[0].search("why-partial")
    json_log_lines = await logged(site.hosts[0], "why-partial")
    assert len(json_log_lines) == 1
    assert json_log_lines[0]["detail"] == "2 of 3 parts"
    assert any(step[2] == "s1" for step in json_log_lines[0]["steps"])


# Guards against hosts that run out of memory on endless answers of upstreams;
# `scripts/bench endless` measures the same for longer.
async def test_memory_is_bounded_with_endless_answers(site):
    host = site.hosts[0]
    before_mib = await peak_memory_of_searches(host)

    async def is_tried():
        reply = await host.get(
            endless.PATH, request_id="first", deadline_ms=3000
        )
        return getattr(reply, "status", 0) == 502

    async with (
        endless.running_upstreams(site, 20),
        asyncio.TaskGroup() as group,
    ):
        await until(is_tried)
        for number in range(100):
            asked = host.get(
                endless.PATH, request_id=f"p{number}", deadline_ms=3000
            )
            group.create_task(asked)
        meanwhile_mib = await peak_memory_of_searches(host)
    assert meanwhile_mib - before_mib <= MOST_GROWTH_MIB
    assert any(
        line["message"] == "answer too large" for line in host.json_log_lines()
    )


async def logged(host, request_id):
    """Returns the log lines about a request, once they are written."""
    await asyncio.sleep(0.5)
    lines = host.json_log_lines()
    return [each for each in lines if each.get("request_id") == request_id]


async def peak_memory_of_searches(host):
    """Searches for about 3 s; returns the host's peak memory in MiB."""
    peak_mib = 0.0
    for number in range(60):
        reply = await host.search(f"m{number}", 1000)
        assert reply.status == 200, json.dumps(await logged(host, f"m{number}"))
        peak_mib = max(peak_mib, overhead.resident_mib(host.pid))
        await asyncio.sleep(0.05)
    return peak_mib

"""Requests that are bound to regions reach no upstream elsewhere.

The load answered: replicas in two regions, of which the allowed ones fail, are
slow or are lost, so that hedges and retries look for others.
"""

import asyncio
import random

from gateway_scripts import Bench
from gateway_scripts import at
from gateway_scripts import fanout
from gateway_scripts import lost
from gateway_scripts import refused
from gateway_scripts import single
import pytest

from greengagedale import outcomes
from greengagedale.gateway import calls
from greengagedale.gateway import regions
from greengagedale.gateway import route_config
from greengagedale.http1 import server


def workspace(*allowed):
    return route_config.Workspace("w", (b"digest",), regions=allowed)


@pytest.mark.parametrize(
    ("of_route", "of_workspace", "allowed"),
    [
        ((), (), None),
        (("near",), (), {"near"}),
        ((), ("near", "far"), {"near", "far"}),
        (("near", "far"), ("far",), {"far"}),
        (("near",), ("far",), set()),
    ],
)
def test_regions_of_route_and_workspace_both_bind(
    of_route, of_workspace, allowed
):
    found = regions.allowed_regions(
        single(regions=of_route), workspace(*of_workspace)
    )
    assert found == allowed


def test_data_centre_without_a_known_region_is_in_no_allowed_one(bench):
    bench.add("a", data_centre="elsewhere")
    found = bench.context.within(frozenset(["near"])).candidates("s")
    assert found == []


def table(*routes):
    return route_config.RouteTable(
        route_config.RouteConfiguration(1, routes, (), server.Limits())
    )


@pytest.mark.parametrize(
    ("stated", "home"),
    [
        ([()], None),
        ([("near",), ()], {"near"}),
        ([("near", "far"), ("far",)], {"far"}),
        ([("near",), ("far",)], {"near", "far"}),
    ],
)
def test_home_regions_are_those_that_routes_of_the_host_share(stated, home):
    routes = [
        single(path_prefix=f"/{number}/", regions=each)
        for number, each in enumerate(stated)
    ]
    elsewhere = single(host="other", regions=("third",))
    found = regions.home_regions(table(*routes, elsewhere), "host")
    assert found == home
    assert regions.home_regions(None, "host") is None


async def test_bound_request_stays_in_its_region_despite_failures(bench):
    bench.add("a", script=[(0.0, lost()), (150.0, None), (0.0, refused())] * 9)
    bench.add("b", script=[(0.0, refused()), (0.0, lost())] * 9)
    bench.add("c", data_centre="there")
    for _ in range(10):
        await bench.run(single(max_attempts=4, regions=("near",)))
    assert "c" not in bench.client.sent
    await bench.run(single(regions=("far",)))
    assert bench.client.sent[-1] == "c"


async def test_shard_without_upstreams_in_the_region_is_left_out(bench):
    for name in "abc":
        bench.add(name, name, data_centre="there" if name == "a" else "here")
    outcome = await bench.run(fanout("abc", regions=("near",)))
    assert outcome.value.missing == 1
    assert "a" not in bench.client.sent


@pytest.mark.parametrize("allowed", [("far",), ("near", "far")])
async def test_request_without_upstreams_in_its_regions_is_refused(
    bench, allowed
):
    bench.add("a", data_centre="elsewhere")
    outcome = await bench.run(single(regions=allowed))
    assert isinstance(outcome, outcomes.NotRun)
    assert bench.client.sent == []
    assert bench.steps[0].reason == ", ".join(sorted(allowed))


async def test_workspace_binds_its_requests(bench):
    bench.add("a")
    bench.add("b", data_centre="there")
    configuration = route_config.RouteConfiguration(
        1, (single(),), (), server.Limits(), (workspace("far"),)
    )
    bench.registry.apply_routes(configuration, at(1))
    identity = calls.CallerIdentity("w", b"digest")
    for _ in range(10):
        call = bench.call()._replace(identity=identity)
        await bench.runner.run(call, single(), [])
    assert {*bench.client.sent} == {"b"}


def test_runners_of_regions_that_no_route_states_are_dropped(bench):
    bench.runner._within(frozenset(["near"]))
    bench.runner._within(frozenset(["far"]))
    bench.runner.retain_only(table(single(regions=("far",))).configuration)
    assert [*bench.runner._regional] == [frozenset(["far"])]


@pytest.mark.parametrize("seed", range(8))
async def test_no_bound_request_leaves_its_region_under_load(seed):
    rng = random.Random(seed)
    bench = Bench(burst=1000.0)
    region_of = {"here": "near", "there": "far"}
    results = [None, lost(), refused()]
    for number in range(12):
        script = [
            (rng.choice([0.0, 5.0, 60.0]), rng.choice(results))
            for _ in range(200)
        ]
        bench.add(
            f"u{number}",
            "xyz"[number % 3],
            script,
            data_centre=rng.choice([*region_of]),
        )
    entries = {
        each.name: each for group in bench.upstreams.values() for each in group
    }
    sent = []
    send = bench.client.send

    async def recording_send(attempt):
        sent.append((attempt.call.path, attempt.upstream.name))
        return await send(attempt)

    bench.client.send = recording_send
    running = []
    allowed_by_path = {}
    for _ in range(80):
        allowed = rng.choice([(), ("near",), ("far",), ("near", "far")])
        call = bench.call(rng.uniform(50.0, 300.0))
        allowed_by_path[call.path] = allowed or ("near", "far")
        route = fanout(
            "xyz", target_latency_ms=40.0, max_attempts=3, regions=allowed
        )
        running.append(asyncio.create_task(bench.runner.run(call, route, [])))
        await asyncio.sleep(rng.uniform(0.0, 0.01))
        if rng.random() < 0.1:
            rng.choice(running).cancel()
    await asyncio.gather(*running, return_exceptions=True)
    assert sent
    for path, name in sent:
        assert region_of[entries[name].data_centre] in allowed_by_path[path]

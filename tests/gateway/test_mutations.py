"""Each mechanism is needed: without it, the check of its rule finds a fault."""

from gateway_scripts import Bench
from gateway_scripts import answer
from gateway_scripts import fanout
from gateway_scripts import lost
from gateway_scripts import single
from gateway_scripts import upstream
import pytest

from greengagedale import clocks
from greengagedale import outcomes
from greengagedale.gateway import calls
from greengagedale.gateway import fetches
from greengagedale.gateway import plans
from greengagedale.gateway import registry
from greengagedale.gateway import source
from greengagedale.http1 import client
from greengagedale.http1 import messages
from greengagedale.http1 import server
from greengagedale.platform import upstreams
from greengagedale.retry import windows


async def runs_once():
    """A request that may run once, whose answer is lost, is sent once."""
    bench = Bench()
    bench.add("a", script=[(0.0, lost())])
    bench.add("b", script=[(0.0, lost())])
    await bench.run(single(is_idempotent=False, max_attempts=3))
    return len(bench.link.sent) == 1


async def budget_holds():
    """No more extra attempts go out than the budget has."""
    bench = Bench(burst=0.0, ratio=0.0)
    for name in "abc":
        bench.add(name, script=[(0.0, lost())] * 9)
    await bench.run(single(max_attempts=3))
    return len(bench.link.sent) == 1


async def failures_are_no_parts():
    """An upstream's failure is not merged."""
    bench = Bench()
    bench.add("a", "a")
    bench.add("b", "b", [(0.0, answer("b", status=500))] * 9)
    outcome = await bench.run(fanout("ab", least=0.5))
    return outcome.value.missing == 1


async def foreign_answers_are_dropped():
    """A success with another request's id is not used."""
    message = messages.Request(b"GET", b"/", (), b"", 0.0)
    call = calls.Call("r1", "h", "/", message, 0.0, None)
    headers = ((b"server-seal", b"x"), (b"request-id", b"r2"))
    reply = messages.Reply(200, headers, b"", True)
    got = upstreams.decode(call, reply)
    return isinstance(got, outcomes.AttemptEnd)


async def resets_are_not_ends():
    """An answer without a length that was reset is not whole."""

    class Reset:
        def get_extra_info(self, name):
            del name
            return self

        def getsockopt(self, level, option):
            del level, option
            return 104

        def is_closing(self):
            return False

        def close(self):
            pass

        def get_write_buffer_size(self):
            return 0

    connection = client.Connection()
    connection.connection_made(Reset())
    return connection._was_reset()


def held_registry():
    held = registry.Registry(clocks.ManualClock(0.0))
    listed = [upstream("a"), upstream("b", is_leaving=True)]
    held.apply_list(source.UpstreamsListed(listed, 5))
    return held


async def versions_only_rise():
    """A configuration never gives way to an older one."""
    held = held_registry()
    for version in (4, 3):
        routes = plans.Routes(version, (single(),), (), server.Limits())
        held.apply_routes(routes, 6)
    return held.routes_version == 4


async def leaving_upstreams_get_nothing():
    """Upstreams that leave are not among those for new work."""
    return [item.name for item in held_registry().of_service("s")] == ["a"]


def always(value):
    return lambda *arguments: value


def take_any_version(self, routes, revision):
    del revision
    self.table = plans.RouteTable(routes)
    return True


def index_all(self):
    self._by_service = {}
    for item in self.upstreams.values():
        self._by_service.setdefault(item.service, []).append(item)


MUTATIONS = {
    "send_again": (runs_once, fetches.Fetch, "_may_repeat", always(True)),
    "spend_freely": (
        budget_holds,
        windows.WindowBudget,
        "take",
        lambda self, now_ms, reserve_share=0.0: True,
    ),
    "count_failures_as_parts": (
        failures_are_no_parts,
        calls.Answer,
        "is_success",
        property(always(True)),
    ),
    "trust_any_answer": (
        foreign_answers_are_dropped,
        upstreams,
        "_is_trustworthy",
        always(True),
    ),
    "take_resets_for_ends": (
        resets_are_not_ends,
        client.Connection,
        "_was_reset",
        always(False),
    ),
    "take_any_version": (
        versions_only_rise,
        registry.Registry,
        "apply_routes",
        take_any_version,
    ),
    "keep_leaving_upstreams": (
        leaving_upstreams_get_nothing,
        registry.Registry,
        "_index",
        index_all,
    ),
}


@pytest.mark.parametrize("name", MUTATIONS)
async def test_check_is_green_with_the_mechanism_and_red_without(
    name, monkeypatch
):
    check, owner, attribute, mutant = MUTATIONS[name]
    assert await check()
    monkeypatch.setattr(owner, attribute, mutant)
    assert not await check()

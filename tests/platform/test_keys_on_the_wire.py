"""No spelling of a request passes on a key or a workspace of its own choice."""

import asyncio

from gateway_scripts import REGION_MAP
from gateway_scripts import Bench
from gateway_scripts import at
from gateway_scripts import caller_handler_of
from gateway_scripts import freshness_of
from gateway_scripts import host_state
from gateway_scripts import single
from gateway_scripts import upstream
import pytest

from greengagedale import clocks
from greengagedale.gateway import authorization
from greengagedale.gateway import caller_handlers
from greengagedale.gateway import fleet as fleet_lib
from greengagedale.gateway import registry as registry_lib
from greengagedale.gateway import route_config
from greengagedale.gateway import store_api
from greengagedale.http1 import server
from greengagedale.platform import caller_codec
from greengagedale.platform import upstream_codec

KEY = b"Api-Key: secret-1\r\n"
OTHER_KEY = b"Api-Key: secret-2\r\n"
FORGED = b"Tenant: forged\r\n"


class Site:
    """A host that listens for callers, with a recording upstream.

    Attributes:
        attempts: The attempts as encoded for the upstream.
    """

    def __init__(self, bound_ms):
        bench = Bench()
        bench.add("a")
        send = bench.client.send
        self.attempts = []

        async def record(attempt):
            self.attempts.append(upstream_codec.encode_attempt(attempt, 100.0))
            return await send(attempt)

        bench.client.send = record
        self.freshness = freshness_of(bench.clock, bound_ms)
        self.fleet = fleet_lib.Fleet("m", bench.clock)
        authorizer = authorization.Authorizer(bench.registry, self.freshness)
        bench.runner._context = bench.context._replace(authorizer=authorizer)
        bench.registry.apply_list(
            store_api.UpstreamsListed([upstream("a")], at(1))
        )
        workspaces = tuple(
            route_config.Workspace(name, (route_config.key_digest(key),))
            for name, key in (("w1", b"secret-1"), ("w2", b"secret-2"))
        )
        public = single(name="p", path_prefix="/p/", is_public=True)
        bench.registry.apply_routes(
            route_config.RouteConfiguration(
                1, (single(), public), (), server.Limits(), workspaces
            ),
            at(1),
        )
        self.metrics = bench.metrics
        handler = caller_handler_of(bench, authorizer, self.fleet)
        self._server = server.Server(handler, bench.clock)

    async def start(self):
        await self._server.start("127.0.0.1", 0)
        self._port = self._server._listener.sockets[0].getsockname()[1]

    def close(self):
        self._server.close()

    async def request(self, headers, path=b"/a/x", after=b"\r\n"):
        """Sends a request; returns the status and all of the response."""
        reader, writer = await asyncio.open_connection("127.0.0.1", self._port)
        writer.write(
            b"POST %s HTTP/1.1\r\nHost: host\r\nRequest-Id: r1\r\n" % path
            + headers
            + after
        )
        async with asyncio.timeout(5.0):
            answer = await reader.readuntil(b"\r\n\r\n")
        writer.close()
        return int(answer.split(b" ", 2)[1]), answer


@pytest.fixture
async def site():
    started = Site(bound_ms=None)
    await started.start()
    yield started
    started.close()


@pytest.fixture
async def strict_site():
    started = Site(bound_ms=5000.0)
    await started.start()
    yield started
    started.close()


def workspaces_of(attempt):
    lines = attempt.lower().split(b"\r\n")
    return [line for line in lines if line.startswith(b"tenant")]


def retry_after_s(answer):
    return float(answer.partition(b"Retry-After: ")[2].partition(b"\r\n")[0])


def chunked(trailers):
    return b"Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n%s\r\n" % trailers


@pytest.mark.parametrize(
    ("headers", "after"),
    [
        (KEY, b"\r\n"),
        (b"API-KEY: secret-1\r\n", b"\r\n"),
        (b"api-key:secret-1\r\n", b"\r\n"),
        (b"Api-Key:  \t secret-1 \t \r\n", b"\r\n"),
        (KEY + FORGED, b"\r\n"),
        (FORGED + KEY + b"TENANT: w2\r\n", b"\r\n"),
        (KEY + b"Connection: api-key\r\n", b"\r\n"),
        (KEY + FORGED + b"Connection: tenant\r\n", b"\r\n"),
        (KEY + b"Connection: close, Tenant , API-KEY\r\n", b"\r\n"),
        (KEY, chunked(FORGED)),
        (KEY + b"Trailer: Tenant\r\n", chunked(FORGED)),
        (KEY + b"TE: trailers\r\n", chunked(b"tenant: w2\r\n")),
        (KEY + b"X-A: 1\n" + FORGED, b"\r\n"),
    ],
)
async def test_upstream_gets_the_workspace_of_the_key(site, headers, after):
    status, answer = await site.request(headers, after=after)
    # Some spellings are no HTTP at all; the others name the caller's workspace.
    if status == 400:
        assert site.attempts == []
        return
    assert status == 200, answer
    (attempt,) = site.attempts
    assert workspaces_of(attempt) == [b"tenant: w1"]
    assert b"secret" not in attempt
    assert b"api-key" not in attempt.lower()


@pytest.mark.parametrize(
    ("headers", "after"),
    [
        (b"", b"\r\n"),
        (b"Api-Key:\r\n", b"\r\n"),
        (KEY + OTHER_KEY, b"\r\n"),
        (KEY + KEY, b"\r\n"),
        (KEY + b"API-KEY: secret-2\r\n", b"\r\n"),
        (b"Api-Key: secret-1, secret-2\r\n", b"\r\n"),
        (b"Api-Key: SECRET-1\r\n", b"\r\n"),
        (b"Api_Key: secret-1\r\n", b"\r\n"),
        (b"Tenant: w1\r\n", b"\r\n"),
        (KEY, chunked(OTHER_KEY)),
        (KEY, chunked(KEY)),
    ],
)
async def test_nothing_runs_without_exactly_one_key(site, headers, after):
    status, _ = await site.request(headers, after=after)
    assert status in (400, 401)
    assert site.attempts == []


# Spellings that a lenient parser, here or at an upstream, takes for another
# header than the one that was checked.
@pytest.mark.parametrize(
    "hidden",
    [
        b"Tenant : forged\r\n",
        b" Tenant: forged\r\n",
        b"X-A: 1\r\n Tenant: forged\r\n",
        b"X-A: 1\rTenant: forged\r\n",
        b"X-A: 1\x00\r\nTenant\x00: forged\r\n",
        b"Tenant\x0b: forged\r\n",
        b"Ten\r\nant: forged\r\n",
    ],
)
async def test_no_line_for_an_upstream_names_another_workspace(site, hidden):
    status, _ = await site.request(KEY + hidden)
    for attempt in site.attempts:
        lines = attempt.replace(b"\r", b"\n").split(b"\n")
        named = [
            line for line in lines if line.strip().lower().startswith(b"tenant")
        ]
        assert named == [b"tenant: w1"]
    assert status == 400 or site.attempts


async def test_public_request_names_nobody(site):
    status, _ = await site.request(KEY + FORGED, path=b"/p/x")
    assert status == 200
    (attempt,) = site.attempts
    assert workspaces_of(attempt) == []
    assert b"secret" not in attempt


@pytest.mark.parametrize("headers", [KEY, b"Api-Key: new\r\n"])
async def test_host_without_proof_refuses_any_key_as_not_run(
    strict_site, headers
):
    status, answer = await strict_site.request(headers)
    assert status == 503
    assert 0.1 <= retry_after_s(answer) <= 0.4
    assert strict_site.attempts == []
    assert strict_site.metrics.refusals.counts == {
        ("edge", "configuration_unproven"): 1
    }


async def test_callers_go_to_another_host_with_a_proof_at_once(strict_site):
    strict_site.fleet.observe(host_state("a", is_proven=True))
    _, answer = await strict_site.request(KEY)
    assert retry_after_s(answer) == 0.01


async def test_host_without_proof_serves_public_routes(strict_site):
    status, _ = await strict_site.request(b"", path=b"/p/x")
    assert status == 200


async def test_host_with_proof_refuses_an_unknown_key_at_once(strict_site):
    strict_site.freshness.confirm(strict_site.freshness._clock.now_ms())
    assert (await strict_site.request(b"Api-Key: new\r\n"))[0] == 401
    assert (await strict_site.request(KEY))[0] == 200


class OwnState(caller_handlers.LocalHostState):
    def __init__(self, state):
        self._state = state

    def get(self):
        return self._state


@pytest.mark.parametrize(
    ("proven", "expected"),
    [("", "mab"), ("b", "b"), ("m", "m"), ("ab", "ab")],
)
def test_callers_are_sent_to_hosts_with_a_proof(proven, expected):
    fleet = fleet_lib.Fleet("m", clocks.ManualClock())
    own, *others = (
        host_state(name, is_proven=name in proven) for name in "mab"
    )
    for state in others:
        fleet.observe(state)
    locator = caller_handlers.LocateHandler(
        caller_codec.PlatformCallerCodec(),
        OwnState(own),
        fleet,
        registry_lib.Registry(clocks.ManualClock()),
        REGION_MAP,
        1000.0,
    )
    response = locator._locate_response(
        own, caller_handlers.LocateRequest("here")
    )
    assert all(
        (b'"%s:1"' % name.encode() in response.body) == (name in expected)
        for name in "mab"
    )

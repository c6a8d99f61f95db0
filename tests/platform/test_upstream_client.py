"""Tests of the upstream client against a stand-in upstream."""

import asyncio
import contextlib
import errno
from unittest import mock

from gateway_scripts import freshness_of
from gateway_scripts import upstream
import pytest

from greengagedale import clocks
from greengagedale import outcomes
from greengagedale.gateway import announced_limits
from greengagedale.gateway import authorization
from greengagedale.gateway import calls
from greengagedale.gateway import connection_pools
from greengagedale.gateway import evacuations
from greengagedale.gateway import metrics
from greengagedale.gateway import reachability
from greengagedale.gateway import registry as registry_lib
from greengagedale.gateway import roster
from greengagedale.gateway import store_revision
from greengagedale.gateway import upstream_limits
from greengagedale.gateway import upstream_notices as notices_lib
from greengagedale.gateway import upstream_scores
from greengagedale.gateway import warm_up
from greengagedale.http1 import client
from greengagedale.http1 import messages
from greengagedale.platform import upstream_client
from standins import gateway_site
from standins import gateway_upstream


@pytest.fixture
def clock():
    return clocks.ManualClock(1000.0)


@pytest.fixture
async def server():
    sender = gateway_upstream.GatewayUpstream("u", "s", b"done")
    await sender.start(gateway_site.ADDRESS, gateway_site.free_port())
    yield sender
    sender.close()


@pytest.fixture
def notices(clock):
    return notices_lib.UpstreamNotices(clock)


@pytest.fixture
def evacuated():
    return evacuations.Evacuations(metrics.Metrics())


@pytest.fixture
def rates():
    """Requests per second that warming upstreams accept, by service."""
    return {}


@pytest.fixture
def limit(clock, rates):
    return warm_up.SharedWarmUpLimit(
        "m",
        roster.Roster("m", clock),
        lambda: rates,
        1.5,
        5.0,
        metrics.Metrics(),
        clock,
    )


@pytest.fixture
def freshness(clock):
    return freshness_of(clock, 5000.0)


@pytest.fixture
def authorizer(clock, freshness):
    return authorization.Authorizer(registry_lib.Registry(clock), freshness)


@pytest.fixture
def pools(clock, notices, evacuated):
    return connection_pools.ConnectionPools(
        notices,
        evacuated,
        client.ReplyLimits(),
        clock,
        mock.Mock(spec=reachability.Reachability),
    )


@pytest.fixture
def send(clock, notices, pools, limit, server, authorizer):
    sender = upstream_client.PlatformUpstreamClient(
        pools,
        notices,
        upstream_limits.UpstreamLimits(
            limit,
            announced_limits.AnnouncedLimits(
                "m", roster.Roster("m", clock), metrics.Metrics(), clock
            ),
        ),
        lambda entry: 2,
        authorizer,
        clock,
    )

    async def call(
        remaining_ms=500.0,
        port=None,
        identity=None,
        earlier_connections=None,
        **fields,
    ):
        message = messages.Request(
            b"GET", b"/", ((b"request-id", b"r1"),), b"", clock.now_ms()
        )
        request = calls.Call(
            "r1", "h", "/", message, clock.now_ms(), None, identity
        )
        entry = upstream("u", port=port or server.port, **fields)
        return await sender.send(
            calls.Attempt(
                request,
                entry,
                clock.now_ms() + remaining_ms,
                False,
                set() if earlier_connections is None else earlier_connections,
            )
        )

    return call


async def test_answer_is_returned(send):
    assert (await send()).body == b"done"


# A process may be frozen while it waits for a connection.
async def test_attempt_without_proof_is_not_written(send, server, freshness):
    identity = calls.CallerIdentity("w", b"digest")
    failure = await send(identity=identity)
    assert failure.reason is outcomes.Reason.CONFIGURATION_UNPROVEN
    assert not failure.written
    freshness.confirm(1000.0)
    assert (await send(identity=identity)).body == b"done"
    assert len(server._server.connections) == 1


async def test_connections_are_reused(send, server):
    for _ in range(3):
        await send()
    assert len(server._server.connections) == 1


async def test_non_idempotent_request_does_not_reuse_an_old_connection(
    send, server, clock
):
    await send()
    clock.advance(2000.0)
    await send()
    assert len(server.requests) == 2
    assert len(server._server.connections) <= 1


async def test_nothing_is_sent_after_the_deadline(send, server):
    result = await send(remaining_ms=0.0)
    assert result == outcomes.AttemptFailure(
        outcomes.Reason.DEADLINE, written=False, refused=False
    )
    assert server.requests == []


async def test_connection_failure_is_reported_as_not_written(send):
    result = await send(port=gateway_site.free_port())
    assert result.reason is outcomes.Reason.CONNECT_FAILED
    assert not result.written


# A host without descriptors would take all upstreams for unreachable.
async def test_lack_of_descriptors_is_not_the_fault_of_the_upstream(
    send, pools
):
    async def fail(*arguments):
        raise OSError(errno.EMFILE, "too many open files")

    pools.connect = fail
    result = await send()
    assert result.reason is outcomes.Reason.HOST_EXHAUSTED
    assert not result.written
    assert not upstream_scores.is_upstream_failure(result)
    pools._reachability.record_connect.assert_not_called()


async def test_lost_reply_is_reported_as_written(send, server):
    server.mode = "lost"
    result = await send()
    assert (result.written, result.refused) == (True, False)


async def test_reassigned_address_is_reported_as_refused(send, server):
    server.name = "other"
    result = await send()
    assert result.refused
    assert result.reason is outcomes.Reason.NO_REPLICA


NOT_ACCEPTING = outcomes.AttemptFailure(
    outcomes.Reason.DRAINING, written=False, refused=False
)


@pytest.mark.parametrize("mode", ["ok", "full", "failing", "unsigned"])
async def test_leaving_upstream_gets_no_new_requests(send, server, mode):
    server.is_leaving = True
    server.mode = mode
    await send()
    assert await send() == NOT_ACCEPTING
    assert len(server.requests) == 1
    server.is_leaving, server.mode = False, "ok"
    assert (await send(born_ms=2)).body == b"done"


async def test_leaving_notice_in_a_foreign_answer_is_recorded(send, server):
    server.is_leaving = True
    server.mode = "foreign"
    task = asyncio.create_task(send())
    while server.leaving_sent_ms is None:
        await asyncio.sleep(0.005)
    await asyncio.sleep(0.02)
    assert await send() == NOT_ACCEPTING
    task.cancel()


async def test_leaving_notice_of_another_upstream_is_ignored(send, server):
    server.is_leaving = True
    server.name = "other"
    await send()
    server.name, server.is_leaving = "u", False
    assert (await send()).body == b"done"


async def test_attempts_waiting_for_a_leaving_upstream_end_at_once(
    send, server
):
    server.delay_ms = 50.0
    tasks = [asyncio.create_task(send()) for _ in range(5)]
    await asyncio.sleep(0.02)
    server.is_leaving = True
    results = await asyncio.gather(*tasks)
    assert results[2:] == [NOT_ACCEPTING] * 3
    assert len(server.requests) == 2


async def test_upstream_gets_no_requests_during_its_backoff(
    send, server, clock
):
    server.mode = "full"
    server.backoff_ms = 1500.0
    await send()
    server.mode = "ok"
    clock.advance(1400.0)
    assert await send() == NOT_ACCEPTING
    clock.advance(101.0)
    assert (await send()).body == b"done"
    assert len(server.requests) == 2


REFUSED = b"HTTP/1.1 503 X\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"


# Guards against reporting a request that ran as not run. This could happen if
# an upstream sends a late second copy of an earlier refusal on the same
# connection.
async def test_refusal_of_an_earlier_request_does_not_prove_not_run(send):
    received = []

    async def refuse(reader, writer):
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            while True:
                received.append(await reader.readuntil(b"\r\n\r\n"))
                writer.write(REFUSED)

    listener = await asyncio.start_server(refuse, "127.0.0.1", 0)
    async with listener:
        port = listener.sockets[0].getsockname()[1]
        results = [await send(port=port) for _ in range(3)]
    # The first answer on the second connection is trusted again.
    assert [result.refused for result in results] == [True, False, True]
    assert results[1].written
    assert len(received) == 3


REFUSED_WITH_ID = REFUSED.replace(b"\r\n", b"\r\nRequest-Id: r1\r\n", 1)
DONE = (
    b"HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nServer-Seal: u\r\n"
    b"Content-Length: 4\r\n\r\ndone"
)


@pytest.fixture
async def repeating_upstream():
    """An upstream that sends a copy of each refusal before the next answer.

    It refuses the first request on each of its first connections.
    """
    received = []
    refusing = {"connections": 1}

    async def serve(reader, writer):
        connection = len({*received})
        repeated = b""
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            while True:
                await reader.readuntil(b"\r\n\r\n")
                received.append(connection)
                writer.write(repeated)
                is_refused = connection < refusing["connections"] and (
                    received.count(connection) == 1
                )
                repeated = REFUSED_WITH_ID if is_refused else b""
                writer.write(repeated or DONE)

    listener = await asyncio.start_server(serve, "127.0.0.1", 0)
    async with listener:
        port = listener.sockets[0].getsockname()[1]
        yield port, received, refusing


# Guards against a request that runs twice, as a late second copy of its own
# refusal passes for the answer when it is sent again.
async def test_request_is_sent_again_on_another_connection(
    send, repeating_upstream
):
    port, received, _ = repeating_upstream
    earlier = set()
    first = await send(port=port, earlier_connections=earlier)
    again = await send(port=port, earlier_connections=earlier)
    assert first.refused
    assert again.body == b"done"
    assert received == [0, 1]


async def test_request_is_sent_again_although_all_connections_carried_it(
    send, repeating_upstream
):
    port, received, refusing = repeating_upstream
    refusing["connections"] = 2
    earlier = set()
    for _ in range(2):
        assert (await send(port=port, earlier_connections=earlier)).refused
    assert (await send(port=port, earlier_connections=earlier)).body == b"done"
    assert received == [0, 1, 2]


async def test_connection_of_a_refusal_serves_other_requests(
    send, repeating_upstream
):
    port, received, refusing = repeating_upstream
    refusing["connections"] = 0
    for _ in range(3):
        assert (await send(port=port)).body == b"done"
    assert received == [0, 0, 0]


WARMING_UP = outcomes.AttemptFailure(
    outcomes.Reason.WARMING_UP, written=False, refused=False
)


async def test_upstream_that_says_it_is_cold_gets_only_this_hosts_part(
    send, server, rates
):
    server.warm_up_ms = 3000
    await send()
    assert (await send()).body == b"done"
    rates["s"] = 1.0
    assert (await send()).body == b"done"
    # This host is on no host list, so it has no part.
    assert await send() == WARMING_UP
    assert len(server.requests) == 3


async def test_work_that_waits_when_its_upstream_turns_cold_is_not_sent(
    send, server, rates
):
    rates["s"] = 1.0
    server.delay_ms = 50.0
    server.warm_up_ms = 3000
    # Two connections may be open, so the third attempt waits.
    results = await asyncio.gather(send(), send(), send())
    assert results[2] == WARMING_UP
    assert len(server.requests) == 2


async def test_upstream_that_refused_a_connection_counts_as_cold(
    send, rates, limit
):
    rates["s"] = 1.0
    assert limit.available([upstream("u")])
    await send(port=gateway_site.free_port())
    assert limit.available([upstream("u")]) == []


async def test_evacuated_upstream_gets_no_new_requests(send, server, evacuated):
    evacuated.replace_if_newer(
        evacuations.EvacuationList(store_revision.Revision(0, 1), ("here",))
    )
    assert await send() == NOT_ACCEPTING
    assert server.requests == []

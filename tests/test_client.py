"""The client library: locating hosts, failover, new keys and retries."""

import random

import pytest

from greengagedale import client as client_lib
from greengagedale import clocks
from greengagedale import exceptions
from greengagedale import outcomes
from greengagedale.callers import base
from greengagedale.callers import http_client
from greengagedale.retry import key_retry

RAN = key_retry.Answered(outcomes.Ran("done"))
BUSY = key_retry.Answered(outcomes.NotRun(outcomes.Reason.OVERLOADED, 1))
HOSTS = ["127.0.1.1:1", "127.0.1.2:1"]


class ScriptedCalls(http_client.HostClient):
    """Returns scripted results of sends, and a ticket of each located host."""

    def __init__(self, script=()):
        self.script = list(script)
        self.located = []
        self.sent = []
        self.unresponsive = set()
        self.leaving = set()

    async def locate(self, endpoint, data_centre):
        self.located.append(endpoint)
        if endpoint in self.unresponsive:
            return None
        hosts = [
            base.LocatedHost(name=item, data_centre="dc-a", endpoint=item)
            for item in HOSTS
        ]
        number = HOSTS.index(endpoint) + 1
        ticket = f"t1.entry-{number}.ab.{len(self.located):x}"
        if endpoint in self.leaving:
            ticket = ""
        return base.LocateReply(
            hosts=hosts, ttl_ms=2000, revision=1, ticket=ticket
        )

    async def send(self, endpoint, path, body, wait_ms):
        self.sent.append((endpoint, body.get("key"), wait_ms))
        return self.script.pop(0)


@pytest.fixture
def calls():
    return ScriptedCalls()


@pytest.fixture
def client(calls):
    return client_lib.Client(
        calls, HOSTS, None, clocks.ManualClock(), random.Random(1)
    )


async def test_one_locate_serves_many_actions(client, calls):
    calls.script = [RAN, RAN]
    for _ in range(2):
        assert isinstance(await client.act("w", 1, {}), outcomes.Ran)
    assert calls.located == HOSTS[:1]
    keys = {key for _, key, _ in calls.sent}
    assert len(keys) == 2
    assert all(key.startswith("t1.entry-1.") for key in keys)


async def test_refused_key_is_replaced(client, calls):
    calls.script = [BUSY, RAN]
    assert isinstance(await client.act("w", 1, {}), outcomes.Ran)
    assert len({key for _, key, _ in calls.sent}) == 2


async def test_no_retry_after_the_deadline(client, calls):
    later = outcomes.NotRun(outcomes.Reason.OVERLOADED, 5000)
    calls.script = [key_retry.Answered(later)]
    assert await client.act("w", 1, {}, timeout_ms=1000) == later
    assert len(calls.sent) == 1


async def test_key_with_a_lost_reply_is_resent_and_never_replaced(
    client, calls
):
    calls.script = [key_retry.ReplyLost(), RAN]
    assert isinstance(await client.act("w", 1, {}), outcomes.Ran)
    assert [endpoint for endpoint, _, _ in calls.sent] == HOSTS
    assert len({key for _, key, _ in calls.sent}) == 1


async def test_unreachable_issuer_is_replaced_with_its_key(client, calls):
    calls.script = [key_retry.NotConnected(), RAN]
    assert isinstance(await client.act("w", 1, {}), outcomes.Ran)
    issuers = [key.split(".")[1] for _, key, _ in calls.sent]
    assert issuers == ["entry-1", "entry-2"]


async def test_search_fails_over_to_another_host(client, calls):
    stopping = outcomes.NotRun(outcomes.Reason.STOPPING, 0)
    calls.script = [key_retry.Answered(stopping), RAN]
    assert isinstance(await client.search("w", "x"), outcomes.Ran)
    assert [endpoint for endpoint, _, _ in calls.sent] == HOSTS


async def test_error_without_reachable_hosts_says_what_to_check(client, calls):
    calls.unresponsive = set(HOSTS)
    with pytest.raises(exceptions.RemoteError, match="check the addresses"):
        await client.search("w", "x")


async def test_search_that_may_have_run_is_never_reported_as_not_run(
    client, calls
):
    stopping = outcomes.NotRun(outcomes.Reason.STOPPING, 0)
    calls.script = [key_retry.ReplyLost(), key_retry.Answered(stopping)]
    outcome = await client.search("w", "x")
    assert outcome == outcomes.Unknown(outcomes.Reason.REPLY_LOST)


async def test_host_without_a_ticket_is_skipped(client, calls):
    calls.leaving = {HOSTS[0]}
    await client.locate()
    calls.script = [RAN]
    assert isinstance(await client.act("w", 1, {}), outcomes.Ran)
    [(endpoint, key, _)] = calls.sent
    assert endpoint == HOSTS[1]
    assert key.startswith("t1.entry-2.")

"""Checks that each mechanism is needed: a check fails without it."""

import asyncio
import math
import random
import sys
import time
import types

from gateway_scripts import REGION_MAP
from gateway_scripts import Bench
from gateway_scripts import QuotaSite
from gateway_scripts import RevocationWorld
from gateway_scripts import answer
from gateway_scripts import at
from gateway_scripts import caller_handler_of
from gateway_scripts import exchange_of
from gateway_scripts import fanout
from gateway_scripts import host_state
from gateway_scripts import lost
from gateway_scripts import run_beside_long_queues
from gateway_scripts import single
from gateway_scripts import unreachable
from gateway_scripts import upstream
import httptools
import msgspec
import pytest

from greengagedale import clocks
from greengagedale import outcomes
from greengagedale import untrusted_json
from greengagedale.gateway import announced_limits
from greengagedale.gateway import authorization
from greengagedale.gateway import caller_handlers
from greengagedale.gateway import calls
from greengagedale.gateway import connection_pools
from greengagedale.gateway import evacuations
from greengagedale.gateway import extra_attempts
from greengagedale.gateway import fleet
from greengagedale.gateway import freshness
from greengagedale.gateway import host_parts
from greengagedale.gateway import metrics
from greengagedale.gateway import peer_exchange
from greengagedale.gateway import precedence
from greengagedale.gateway import quarantine
from greengagedale.gateway import quota_exchange
from greengagedale.gateway import reachability
from greengagedale.gateway import reader_election
from greengagedale.gateway import regions
from greengagedale.gateway import registry
from greengagedale.gateway import relay_policy
from greengagedale.gateway import roster
from greengagedale.gateway import route_config
from greengagedale.gateway import runner
from greengagedale.gateway import shutdown
from greengagedale.gateway import shutdown_schedule
from greengagedale.gateway import store_api
from greengagedale.gateway import store_reader
from greengagedale.gateway import sub_requests
from greengagedale.gateway import upstream_entries
from greengagedale.gateway import upstream_notices
from greengagedale.gateway import upstream_scores
from greengagedale.gateway import warm_up
from greengagedale.http1 import client
from greengagedale.http1 import messages
from greengagedale.http1 import server
from greengagedale.limits import quota_shares
from greengagedale.limits import quota_windows
from greengagedale.platform import upstream_codec
from greengagedale.retry import window_budget


async def non_idempotent_request_is_sent_once():
    """A non-idempotent request whose answer is lost is sent once."""
    bench = Bench()
    bench.add("a", script=[(0.0, lost())])
    bench.add("b", script=[(0.0, lost())])
    await bench.run(single(is_idempotent=False, max_attempts=3))
    return len(bench.client.sent) == 1


async def extra_attempts_stay_within_budget():
    """No more extra attempts are sent than the budget allows."""
    bench = Bench(burst=0.0, ratio=0.0)
    for name in "abc":
        bench.add(name, script=[(0.0, lost())] * 9)
    await bench.run(single(max_attempts=3))
    return len(bench.client.sent) == 1


async def failures_are_not_merged():
    """A failure of an upstream is not merged into a search result."""
    bench = Bench()
    bench.add("a", "a")
    bench.add("b", "b", [(0.0, answer("b", status=500))] * 9)
    outcome = await bench.run(fanout("ab", min_coverage=0.5))
    return outcome.value.missing == 1


async def answers_with_foreign_ids_are_dropped():
    """A success with another request's id is not used."""
    message = messages.Request(b"GET", b"/", (), b"", 0.0)
    call = calls.Call("r1", "h", "/", message, 0.0, None)
    headers = ((b"server-seal", b"x"), (b"request-id", b"r2"))
    reply = messages.Reply(200, headers, b"", True)
    got = upstream_codec.decode_answer(call, reply)
    return isinstance(got, outcomes.AttemptFailure)


async def reset_answers_are_incomplete():
    """An answer without a length is incomplete if its connection was reset."""

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


def filled_registry():
    new_registry = registry.Registry(clocks.ManualClock(0.0))
    listed = [upstream("a"), upstream("b", is_leaving=True)]
    new_registry.apply_list(store_api.UpstreamsListed(listed, at(5)))
    return new_registry


async def older_configurations_are_ignored():
    """A configuration is never replaced by an older one."""
    new_registry = filled_registry()
    for version in (4, 3):
        routes = route_config.RouteConfiguration(
            version, (single(),), (), server.Limits()
        )
        new_registry.apply_routes(routes, at(6))
    return new_registry.routes_version == 4


async def leaving_upstreams_get_no_work():
    """Leaving upstreams are not offered for new work."""
    return [item.name for item in filled_registry().upstreams_of("s")] == ["a"]


async def evacuated_upstreams_get_no_work():
    """Upstreams of an evacuated data centre are not sent to."""
    bench = Bench()
    bench.add("a", data_centre="north")
    bench.add("b", data_centre="south")
    bench.evacuations.replace_if_newer(
        evacuations.EvacuationList(at(1), ("north",))
    )
    for _ in range(20):
        await bench.run(single())
    return {*bench.client.sent} == {"b"}


async def warming_upstreams_are_limited():
    """An upstream that warms up gets no more than this host's part."""
    bench = Bench()
    bench.rates["s"] = 1.0
    bench.roster.replace_if_newer(roster.HostList(at(1), ("a", "m")))
    cold = upstream("u", warm_up_ms=5000.0)
    # In the second after the host list has changed nothing is sent.
    return [bench.warm_up.try_send(cold) for _ in range(9)] == [None] * 9


def cut_off_policy(other_reaches):
    """Returns the policy of a host that is cut off and knows another one."""
    known = fleet.Fleet("m", clocks.ManualClock(0.0))
    known.observe(host_state("n", reaches_upstreams=other_reaches))
    cut_off = reachability.Reachability()
    cut_off.record_trial(reachability.Trial.SEVERAL, False, 0.0)
    return relay_policy.RelayPolicy(
        "here", cut_off, known, REGION_MAP, 0.0, random.Random(1)
    )


async def cut_off_hosts_pass_requests_on():
    """A host that reaches no upstream passes requests to one that does."""
    return len(cut_off_policy(other_reaches=True).peers(None)) == 1


async def silent_hosts_refuse_requests():
    bench = Bench()
    bench.add("u")
    silent = bench.reachability
    silent.record_trial(reachability.Trial.SEVERAL, False, 0.0)
    silent.next_trial(reachability.LONG_SILENCE_MS, 1, 0.0)
    results = [await bench.run(single()) for _ in range(3)]
    refusals = [isinstance(each, outcomes.NotRun) for each in results]
    return refusals == [False, True, True] and bench.client.sent == ["u"]


async def cut_off_hosts_get_no_requests():
    """A host that is cut off neither gets nor takes others' requests."""
    policy = cut_off_policy(other_reaches=False)
    return not policy.peers(None) and not policy.can_take_requests


async def announced_limits_hold_over_all_hosts():
    """Two hosts send an upstream no more than it takes from both."""
    clock = clocks.ManualClock(0.0)
    needy = upstream("u")
    permits = []
    for name in ("a", "m"):
        host_list = roster.Roster(name, clock)
        host_list.replace_if_newer(roster.HostList(at(1), ("a", "m")))
        limits = announced_limits.AnnouncedLimits(
            name, host_list, metrics.Metrics(), clock
        )
        limits.retain_only([needy.incarnation])
        clock.advance(5000.0)
        limits.observe(needy, 2.0, math.inf)
        permits += [limits.try_send(needy) for _ in range(9)]
    return len(list(filter(None, permits))) == 4


async def bound_requests_stay_in_their_regions():
    """A request that is bound to a region reaches no upstream elsewhere."""
    bench = Bench()
    bench.add("a")
    bench.add("b", data_centre="there")
    await bench.run(single(regions=("far",)))
    return bench.client.sent == ["b"]


async def lower_ranks_give_way():
    """A search of a lower rank is not sent where a more urgent one waits."""
    bench = Bench()
    await run_beside_long_queues(bench, "wide")
    return bench.client.sent == []


async def old_heartbeats_end():
    """A lost host's heartbeat is not passed on again and again."""
    clock = clocks.ManualClock()
    teller, listener = (fleet.Fleet(name, clock) for name in "mn")
    teller.observe(host_state("gone"))
    clock.advance(fleet.LOST_AFTER_MS - 1.0)
    heard = host_state("gone").heartbeat._replace(age_ms=3000)
    teller.observe_heartbeat(heard._replace(sequence=2))
    clock.advance(fleet.LOST_AFTER_MS - 1.0)
    addresses = [each.address for each in teller.alive()]
    listener.merge_addresses(addresses, teller.heartbeats())
    return listener.serving() == []


class Parsed:
    """The bodies of the requests in a piece of input."""

    def __init__(self, data):
        self.bodies = []
        httptools.HttpRequestParser(self).feed_data(data)

    def on_message_begin(self):
        self.bodies.append(b"")

    def on_body(self, body):
        self.bodies[-1] += body


def encoded(left_ms=40.0):
    message = messages.Request(
        b"POST",
        b"/a/x?q=1",
        ((b"deadline-ms", b"300"), (b"transfer-encoding", b"chunked")),
        b"GET /smuggled HTTP/1.1\r\n\r\n",
        0.0,
    )
    call = calls.Call("r1", "h", "/a/x", message, 0.0, 300.0)
    attempt = calls.Attempt(call, upstream("a"), 300.0, False, set())
    return message, upstream_codec.encode_attempt(attempt, left_ms)


async def request_smuggling_is_prevented():
    """A body that looks like a request is parsed as a body."""
    message, data = encoded()
    return Parsed(data).bodies == [message.body]


async def remaining_time_is_sent():
    """An upstream gets the remaining time, not the caller's original one."""
    _, data = encoded()
    return b"deadline-ms: 40\r" in data and b"300" not in data


async def abandoned_requests_are_cancelled():
    """Attempts are cancelled when their caller disconnects."""
    bench = Bench()
    bench.add("a", script=[(5000.0, None)])
    task = asyncio.ensure_future(bench.run(single()))
    await asyncio.sleep(0.01)
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)
    await asyncio.sleep(0.01)
    return bench.client.cancelled == ["a"]


class BusyListener:
    """A stub listener with a request that runs for a while."""

    def __init__(self, busy_s):
        self.closing = False
        self._until_s = time.monotonic() + busy_s

    @property
    def unanswered_requests(self):
        return int(time.monotonic() < self._until_s)

    def stop_accepting(self):
        pass

    def close_idle(self):
        pass


async def shutdown_waits_for_requests():
    """A stopping host waits for its last request within the grace time."""
    listener = BusyListener(busy_s=0.3)
    edge = types.SimpleNamespace(
        is_refusing=False, begin_shutdown=lambda schedule: None
    )
    clock = clocks.MonotonicClock()
    schedule = shutdown_schedule.ShutdownSchedule.from_config(
        0.5, clock.now_ms()
    )
    await shutdown.drain(listener, edge, schedule, set(), clock)
    return listener.unanswered_requests == 0


async def stopping_hosts_refuse_what_they_cannot_answer():
    """A request that may run once fits into the shutdown, or is refused."""
    schedule = shutdown_schedule.ShutdownSchedule.from_config(6.0, 0.0)
    route = single(is_idempotent=False, timeout_ms=5000.0)
    call = Bench(clock=clocks.ManualClock(3000.0)).call(left_ms=5000.0)
    return not schedule.may_accept(call, route, 3000.0)


async def stopping_hosts_answer_what_runs():
    """A request that still runs when answers are due has an answer."""
    bench = Bench()
    bench.add("a", script=[(5000.0, None)])
    bench.registry.apply_list(store_api.UpstreamsListed([upstream("a")], at(1)))
    bench.registry.apply_routes(
        route_config.RouteConfiguration(1, (single(),), (), server.Limits()),
        at(1),
    )
    handler = caller_handler_of(bench)
    headers = ((b"host", b"host"), (b"request-id", b"r"))
    message = messages.Request(
        b"GET", b"/a/x", headers, b"", bench.clock.now_ms()
    )
    running = asyncio.create_task(handler.handle(message))
    await asyncio.sleep(0.01)
    handler.begin_shutdown(
        shutdown_schedule.ShutdownSchedule.from_config(
            0.1, bench.clock.now_ms()
        )
    )
    done, _ = await asyncio.wait([running], timeout=0.3)
    running.cancel()
    return bool(done)


class IdleConnection:
    """A stub connection that is idle and usable."""

    is_usable = True
    keep_alive_ms = None
    last_used_ms = 0.0

    def close(self):
        pass


async def requests_are_sent_once_on_each_connection():
    """A connection that carried a request is not used for it again."""
    clock = clocks.ManualClock(0.0)
    host_metrics = metrics.Metrics()
    pools = connection_pools.ConnectionPools(
        upstream_notices.UpstreamNotices(clock),
        evacuations.Evacuations(host_metrics),
        client.ReplyLimits(),
        clock,
    )

    async def connect(address, port, timeout_s, limits):
        return IdleConnection()

    pools.connect = connect
    pool = pools.get(upstream("a"), 1)
    first = await pool.acquire(1000.0)
    pool.release(first)
    return await pool.acquire(1000.0, {first}) is not first


async def unreadable_values_cost_no_other_ones():
    """A value that can't be decoded costs just itself."""
    try:
        members = untrusted_json.members(b'{"a":"\\ud800","b":1}')
    except msgspec.DecodeError:
        return False
    return bytes(members["b"]) == b"1"


async def entries_can_be_passed_on():
    """An entry that can't be encoded for other hosts is not used."""
    return upstream("a", sequence=2**64).problem() is not None


async def new_hosts_learn_from_peers():
    """A host without data gets all of it from one exchange."""
    clock = clocks.MonotonicClock()
    informed, uninformed = filled_registry(), registry.Registry(clock)
    informed.apply_routes(
        route_config.RouteConfiguration(4, (single(),), (), server.Limits()),
        at(6),
    )
    informed_exchange = exchange_of("a", clock, informed)
    uninformed_exchange = exchange_of("b", clock, uninformed)
    summary = peer_exchange.StateSummary(
        host_state("b"), [], 0, 0, uninformed.version, at(0), [], []
    )
    uninformed_exchange._merge(informed_exchange._update_for(summary))
    return uninformed.is_ready and uninformed.routes_version == 4


async def down_shards_are_left_out_first():
    """Long queues of one shard do not exclude it in place of a dead one."""
    bench = Bench()
    for name in "ab":
        bench.add(name, name)
    bench.add("dead", "dead", [(0.0, unreachable())] * 99)
    plan = fanout(["a", "b", "dead"], min_coverage=0.6)
    await bench.run(plan)
    overloaded = bench.context.scores.get(bench.upstreams["a"][0])
    overloaded.record_load(calls.LoadReport(2, 40, 2), bench.clock.now_ms())
    return isinstance(await bench.run(plan), outcomes.Ran)


async def hosts_take_over_reading_one_by_one():
    """Hosts that lose their reader don't all read the store at once."""
    clock = clocks.ManualClock(1000.0)
    names = [f"h{index}" for index in range(6)]
    elected = []
    for name in names:
        others = fleet.Fleet(name, clock)
        for other in names:
            if other != name:
                others.observe(host_state(other))
        election = reader_election.ReaderElection(others, name, [], clock)
        elected.append(election.should_read(-1.0))
    return elected.count(True) == 1


async def new_processes_start_with_empty_budget():
    """A new process does not spend what the previous one may have spent."""
    budget = window_budget.WindowBudget(1000.0, 0.2, 5.0, spent_ms=0.0)
    return not budget.try_withdraw(500.0)


async def isolated_hosts_take_small_shares():
    """24 hosts that are all isolated stay within the burst."""
    clock = clocks.ManualClock(1000.0)
    cut_off = [roster.Roster(f"h{number}", clock) for number in range(24)]
    return sum(each.share_of(160.0) for each in cut_off) <= 160.0


async def crashing_requests_are_quarantined():
    """A request that crashes its upstreams is refused."""
    bench = Bench()
    for name in "abcdef":
        bench.add(name, script=[(0.0, lost())] * 9)
    for _ in range(3):
        await bench.run(single(), target=b"/a/poison")
    outcome = await bench.run(single(), target=b"/a/poison")
    return isinstance(outcome, outcomes.NotRun)


async def leaving_notices_are_honoured():
    """An upstream that announces that it is leaving gets no new work."""
    bench = Bench()
    bench.add("a")
    leaving = upstream_notices.Notice(is_leaving=True, backoff_ms=0.0)
    bench.notices.observe(bench.upstreams["s"][0], leaving)
    await bench.run(single())
    return bench.client.sent == []


async def few_removed_entries_are_not_kept():
    """One of five entries removed around an outage is not kept in use."""
    new_registry = registry.Registry(clocks.ManualClock(10_000.0))
    listed = [upstream(name) for name in "abcde"]
    new_registry.apply_list(store_api.UpstreamsListed(listed, at(5)))
    new_registry.record_store_failure()
    removal = store_api.UpstreamChange("a", None)
    new_registry.apply_changes(store_api.UpstreamsChanged([removal], at(6)))
    return "a" not in [each.name for each in new_registry.upstreams_of("s")]


def append_without_limit(connection, body):
    """Appends a part of a body, and takes the limits of it away."""
    connection._limits = client.ReplyLimits(max_body_bytes=sys.maxsize)
    connection._body += body


async def oversized_answers_are_aborted():
    """A body that is longer than allowed is not read to the end."""
    connection = client.Connection(client.ReplyLimits(max_body_bytes=100))
    connection.connection_made(_Transport())
    waiting = asyncio.ensure_future(connection.exchange(b""))
    await asyncio.sleep(0)
    connection.data_received(b"HTTP/1.1 200 OK\r\n\r\n")
    for _ in range(10):
        connection.data_received(b"b" * 100)
    await asyncio.sleep(0.01)
    is_aborted = waiting.done()
    waiting.cancel()
    return is_aborted


async def refusals_without_id_are_not_trusted():
    """A refusal without a request id does not count as naming its request."""
    refusal = messages.Reply(503, ((b"not-executed", b"1"),), b"", True)
    return not upstream_codec.has_request_id(refusal)


async def overloaded_searches_are_not_sent():
    """Nothing is sent for a search that queues would make too late."""
    bench = Bench()
    for shard in "abc":
        bench.add(shard, shard)
        score = bench.context.scores.get(bench.upstreams[shard][0])
        score.record_load(calls.LoadReport(2, 60, 2), bench.clock.now_ms())
    bench.context.scores.record_queue_overload(bench.clock.now_ms())
    await bench.run(fanout("abc"))
    return bench.client.sent == []


async def time_waited_by_caller_counts():
    """A caller that has already waited is answered sooner."""
    bench = Bench(burst=0.0, ratio=0.0)
    bench.add("a", "a")
    bench.add("still", "still", [(400.0, None)] * 9)
    plan = fanout(["a", "still"])
    await bench.run(plan, left_ms=1000.0)
    began_ms = bench.clock.now_ms()
    await bench.run(plan, left_ms=970.0)
    return bench.clock.now_ms() - began_ms < 75.0


async def late_answers_prove_the_time_of_their_request():
    """An exchange whose answer is held up proves nothing of its arrival."""
    world = RevocationWorld()
    world.start_exchange(1, 0)
    world.serve_all()
    world.write(holds_key=False)
    world.advance(4000.0)
    world.deliver_all()
    world.advance(2000.0)
    world.request(1)
    return world.violations == []


async def late_reads_prove_the_time_of_their_call():
    """A read whose answer is held up proves nothing of its arrival."""
    world = RevocationWorld()
    world.start_read(1)
    world.serve_all()
    world.write(holds_key=False)
    world.advance(4000.0)
    world.deliver_all()
    world.advance(2000.0)
    world.request(1)
    return world.violations == []


async def proofs_of_peers_keep_their_age():
    """A proof does not get younger when hosts pass it on."""
    world = RevocationWorld()
    world.write(holds_key=False)
    for asker, answerer in ((1, 0), (2, 1)):
        world.advance(3000.0)
        world.exchange(asker, answerer)
    world.request(2)
    return world.violations == []


async def keys_are_checked_before_each_send():
    """A request that has waited is not sent after its key was revoked."""
    world = RevocationWorld()
    world.accept(0)
    world.write(holds_key=False)
    world.advance(world.BOUND_MS + 1.0)
    world.try_all()
    return world.violations == []


async def stale_answers_prove_nothing():
    """A reader that gets nothing but pings and silent watches refuses keys."""
    world = RevocationWorld()
    world.write(holds_key=False)
    for _ in range(6):
        world.advance(1000.0)
        world.ping(0)
    world.request(0)
    return world.violations == []


async def suspended_time_counts():
    """A host that was frozen does not trust its proof when it wakes."""
    world = RevocationWorld()
    world.write(holds_key=False)
    world.advance(60_000.0)
    world.request(0)
    return world.violations == []


def quota_keeper(now_ms=0.0):
    """Returns a keeper of one slot with a quota of ten requests a window."""
    terms = quota_shares.QuotaTerms(5000.0, 0.0, 0.0)
    keeper = quota_windows.QuotaKeeper(terms, always(0), random.Random(1))
    keeper.set_quotas({"w": quota_shares.Quota(1.0, 5.0)}, now_ms)
    return keeper


def quota_lender(started_ms=0.0):
    """Returns a lender that owns everything, and the terms of its leases."""
    terms = quota_shares.QuotaTerms(5000.0, 0.0, 0.0)
    lender = quota_shares.ShareLender(1, 1, terms, started_ms)
    lender.set_share(1.0, 1, started_ms)
    return lender


async def quota_leases_count_from_the_request():
    """A keeper stops using a share before its lender may lend it again."""
    lender, keeper = quota_lender(), quota_keeper()
    lender.set_share(1.0, 1, 9000.0)
    first, second = (quota_shares.Process(name, 1) for name in "ab")
    # The answer takes a second.
    grant = lender.lend(0, first, 10_000.0, 0.0)
    keeper.add_lease(0, "l", grant, 10_000.0, 11_000.0)
    lent_again_ms = 10_000.0 + grant.lease_ms + 1.0
    again = lender.lend(0, second, lent_again_ms, 0.0)
    return again is not None and not keeper.held_share(0, lent_again_ms)


async def new_processes_lend_nothing_at_once():
    """A new process does not lend what its predecessor may have lent."""
    lender = quota_lender()
    keeper = quota_shares.Process("a", 1)
    return lender.lend(0, keeper, 500.0, 0.0) is None


async def new_keepers_do_not_use_the_whole_quota():
    """A keeper that takes over does not allow what another one just did."""
    keeper = quota_keeper()
    grant = quota_shares.Grant(1.0, 1500.0, 0.0, True, 1)
    keeper.add_lease(0, "l", grant, 0.0, 0.0)
    return keeper.take("w", 0.0).verdict is not quota_windows.Verdict.ALLOWED


async def requests_of_the_former_keeper_count():
    """A keeper that takes over settled shares counts what was allowed."""
    former, following = quota_keeper(), quota_keeper()
    settled = quota_shares.Grant(1.0, 1500.0, 60_000.0, False, 1)
    for keeper in (former, following):
        keeper.add_lease(0, "l", settled, 0.0, 0.0)
    allowed = quota_windows.Verdict.ALLOWED
    while former.take("w", 0.0).verdict is allowed:
        pass
    following.add_uses(former.recent_uses(0, 0.0), 0.0)
    return following.take("w", 0.0).verdict is not allowed


async def late_tokens_are_not_used():
    """A token that comes after its validity is not used."""
    clock = clocks.ManualClock(1000.0)
    site = QuotaSite(clock)
    await site.run(20_000.0)
    site.late_path = quota_exchange._PATH_TOKENS
    site.late_ms = 10_000.0
    asker = site.other_than(site.keeper())
    verdict = await site.admit(asker)
    return verdict is not quota_windows.Verdict.ALLOWED


class _Transport:
    """A transport that accepts and ignores all data."""

    def get_extra_info(self, name):
        del name

    def get_write_buffer_size(self):
        return 0

    def is_closing(self):
        return False

    def write(self, data):
        del data

    def abort(self):
        pass

    def close(self):
        pass


def return_tokens_at_once(self, tokens, now_ms):
    del now_ms
    self._saved += tokens


def omit_content_length(method, target, headers, body):
    lines = [b"%s %s HTTP/1.1" % (method, target)]
    lines += [b"%s: %s" % item for item in headers]
    return b"\r\n".join([*lines, b"", body])


def forward_all_headers(headers, more=()):
    del more
    return headers


def always(value):
    return lambda *arguments: value


def apply_any_version(self, routes, revision):
    del revision
    self.table = route_config.RouteTable(routes)
    return True


def index_all(self):
    self._by_service = {}
    for item in self.upstreams.values():
        self._by_service.setdefault(item.service, []).append(item)


def confirm_on_arrival(self, proof, version, sent_ms):
    del version, sent_ms
    self.confirm(self._clock.now_ms() - proof.age_ms)


def confirm_without_age(self, proof, version, sent_ms):
    del proof, version
    self.confirm(sent_ms)


def confirm_read_on_arrival(self, routes, sent_ms):
    del routes, sent_ms
    self._freshness.confirm(self._clock.now_ms())


def confirm_any_answer(self):
    self._freshness.confirm(self._clock.now_ms())


_add_lease = quota_windows.QuotaKeeper.add_lease


def count_from_arrival(self, slot, lender, grant, sent_ms, now_ms):
    del sent_ms
    _add_lease(self, slot, lender, grant, now_ms, now_ms)


def take_idle_although_excluded(self, max_idle_ms, excluded):
    return self._idle.pop() if self._idle else None


def decode_as_a_whole(data, opening):
    raise msgspec.DecodeError("malformed")


def exit_at_once(grace_s, now_ms):
    del grace_s
    return shutdown_schedule.ShutdownSchedule(now_ms, now_ms, now_ms)


MUTATIONS = {
    "accept_until_the_exit": (
        stopping_hosts_refuse_what_they_cannot_answer,
        shutdown_schedule.ShutdownSchedule,
        "may_accept",
        always(True),
    ),
    "cut_what_runs_at_the_exit": (
        stopping_hosts_answer_what_runs,
        caller_handlers.CallerHandler,
        "begin_shutdown",
        always(None),
    ),
    "send_again_on_the_same_connection": (
        requests_are_sent_once_on_each_connection,
        connection_pools.ConnectionPool,
        "_take_idle",
        take_idle_although_excluded,
    ),
    "decode_lists_as_a_whole": (
        unreadable_values_cost_no_other_ones,
        untrusted_json,
        "_parts",
        decode_as_a_whole,
    ),
    "use_any_entry": (
        entries_can_be_passed_on,
        upstream_entries.Upstream,
        "problem",
        always(None),
    ),
    "ignore_precedence": (
        lower_ranks_give_way,
        precedence.Precedence,
        "patience",
        always(precedence.FULL_PATIENCE),
    ),
    "prove_on_arrival_of_exchange": (
        late_answers_prove_the_time_of_their_request,
        freshness.Freshness,
        "confirm_from_peer",
        confirm_on_arrival,
    ),
    "prove_on_arrival_of_read": (
        late_reads_prove_the_time_of_their_call,
        store_reader.StoreReader,
        "_confirm",
        confirm_read_on_arrival,
    ),
    "ignore_age_of_peers_proof": (
        proofs_of_peers_keep_their_age,
        freshness.Freshness,
        "confirm_from_peer",
        confirm_without_age,
    ),
    "check_keys_on_arrival_only": (
        keys_are_checked_before_each_send,
        authorization.Authorizer,
        "send_refusal",
        always(None),
    ),
    "prove_by_stale_answers": (
        stale_answers_prove_nothing,
        store_reader.StoreReader,
        "_record_answer",
        confirm_any_answer,
    ),
    "ignore_age_of_proof": (
        suspended_time_counts,
        freshness.Freshness,
        "is_proven",
        always(True),
    ),
    "ignore_notices": (
        leaving_notices_are_honoured,
        upstream_notices.UpstreamNotices,
        "accepts_work",
        always(True),
    ),
    "send_to_evacuated": (
        evacuated_upstreams_get_no_work,
        evacuations.Evacuations,
        "is_evacuated",
        always(False),
    ),
    "ignore_regions": (
        bound_requests_stay_in_their_regions,
        regions,
        "allowed_regions",
        always(None),
    ),
    "pass_heartbeats_on_forever": (
        old_heartbeats_end,
        fleet,
        "MAX_HEARTBEAT_AGE_MS",
        float("inf"),
    ),
    "ignore_warm_up": (
        warming_upstreams_are_limited,
        warm_up.SharedWarmUpLimit,
        "_find",
        always(None),
    ),
    "keep_requests_while_cut_off": (
        cut_off_hosts_pass_requests_on,
        reachability.Reachability,
        "record_trial",
        always(None),
    ),
    "send_while_cut_off_and_silent": (
        silent_hosts_refuse_requests,
        reachability.Reachability,
        "should_refuse",
        always(False),
    ),
    "take_requests_while_cut_off": (
        cut_off_hosts_get_no_requests,
        relay_policy.RelayPolicy,
        "can_take_requests",
        True,
    ),
    "ignore_announced_limits": (
        announced_limits_hold_over_all_hosts,
        announced_limits.AnnouncedLimits,
        "_find",
        always(None),
    ),
    "take_the_limit_for_this_host_alone": (
        announced_limits_hold_over_all_hosts,
        host_parts.HostParts,
        "part",
        always(9),
    ),
    "keep_all_removed_entries": (
        few_removed_entries_are_not_kept,
        registry,
        "MASS_EXPIRY_SHARE",
        0.0,
    ),
    "read_without_limit": (
        oversized_answers_are_aborted,
        client.Connection,
        "on_body",
        append_without_limit,
    ),
    "trust_refusals_without_id": (
        refusals_without_id_are_not_trusted,
        upstream_codec,
        "has_request_id",
        always(True),
    ),
    "send_despite_queues": (
        overloaded_searches_are_not_sent,
        runner.Runner,
        "_refuse_if_overloaded",
        always(None),
    ),
    "ignore_caller_waiting_time": (
        time_waited_by_caller_counts,
        extra_attempts.RouteLatency,
        "waited_ms",
        always(0.0),
    ),
    "count_leases_from_arrival": (
        quota_leases_count_from_the_request,
        quota_windows.QuotaKeeper,
        "add_lease",
        count_from_arrival,
    ),
    "lend_in_new_life_at_once": (
        new_processes_lend_nothing_at_once,
        quota_shares,
        "longest_lease_ms",
        always(0.0),
    ),
    "start_with_whole_quota": (
        new_keepers_do_not_use_the_whole_quota,
        quota_windows.QuotaKeeper,
        "_is_settled",
        always(True),
    ),
    "forget_what_the_former_keeper_allowed": (
        requests_of_the_former_keeper_count,
        quota_windows.QuotaKeeper,
        "add_uses",
        always(None),
    ),
    "use_tokens_at_any_age": (
        late_tokens_are_not_used,
        quota_exchange.QuotaExchange,
        "_is_valid",
        always(True),
    ),
    "omit_content_length": (
        request_smuggling_is_prevented,
        messages,
        "encode_request",
        omit_content_length,
    ),
    "forward_all_headers": (
        remaining_time_is_sent,
        upstream_codec,
        "_end_to_end",
        forward_all_headers,
    ),
    "ignore_down_shards": (
        down_shards_are_left_out_first,
        upstream_scores.UpstreamScores,
        "is_down",
        always(False),
    ),
    "take_over_without_delay": (
        hosts_take_over_reading_one_by_one,
        reader_election,
        "TAKEOVER_STEP_MS",
        0.0,
    ),
    "keep_abandoned_attempts": (
        abandoned_requests_are_cancelled,
        sub_requests.SubRequest,
        "_cancel_running",
        always(None),
    ),
    "exit_without_waiting": (
        shutdown_waits_for_requests,
        shutdown_schedule.ShutdownSchedule,
        "from_config",
        exit_at_once,
    ),
    "ignore_peer_updates": (
        new_hosts_learn_from_peers,
        registry.Registry,
        "replace_if_newer",
        always(False),
    ),
    "retry_non_idempotent": (
        non_idempotent_request_is_sent_once,
        sub_requests.SubRequest,
        "_may_retry",
        always(True),
    ),
    "ignore_budget": (
        extra_attempts_stay_within_budget,
        window_budget.WindowBudget,
        "try_withdraw",
        lambda self, now_ms, reserve_share=0.0: True,
    ),
    "start_with_full_budget": (
        new_processes_start_with_empty_budget,
        window_budget.WindowBudget,
        "_return_later",
        return_tokens_at_once,
    ),
    "divide_by_fixed_count": (
        isolated_hosts_take_small_shares,
        roster.Roster,
        "share_of",
        lambda self, burst: burst / 4,
    ),
    "ignore_quarantine": (
        crashing_requests_are_quarantined,
        quarantine.Quarantine,
        "should_refuse",
        always(False),
    ),
    "merge_failures": (
        failures_are_not_merged,
        calls.Answer,
        "is_success",
        property(always(True)),
    ),
    "accept_any_answer": (
        answers_with_foreign_ids_are_dropped,
        upstream_codec,
        "_is_valid_success",
        always(True),
    ),
    "accept_reset_answers": (
        reset_answers_are_incomplete,
        client.Connection,
        "_was_reset",
        always(False),
    ),
    "apply_any_version": (
        older_configurations_are_ignored,
        registry.Registry,
        "apply_routes",
        apply_any_version,
    ),
    "keep_leaving_upstreams": (
        leaving_upstreams_get_no_work,
        registry.Registry,
        "_index",
        index_all,
    ),
}


@pytest.mark.parametrize("name", MUTATIONS)
async def test_check_passes_with_the_mechanism_and_fails_without(
    name, monkeypatch
):
    check, owner, attribute, mutant = MUTATIONS[name]
    assert await check()
    monkeypatch.setattr(owner, attribute, mutant)
    assert not await check()

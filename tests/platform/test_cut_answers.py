"""An answer that its upstream cuts off anywhere never passes for a whole one.

The upstream closes or resets its connection after each number of bytes of its
answer; callers ask for one service, for a search over shards, over another
host, and during a planned stop.
"""

import pytest
from raw_upstreams import BODIES
from raw_upstreams import RECORDS

from greengagedale.gateway import shutdown_schedule


# Guards against a 200 with an empty or short body, framed as whole, after an
# upstream stopped in the middle of its answer.
@pytest.mark.parametrize("host", ["own", "other"])
async def test_cut_answer_is_no_success(site, host):
    for cutting in site.cuts():
        reply = await site.ask(b"/a/x", host)
        assert reply.status == 502, (cutting.framing, cutting.cut)


async def test_cut_part_is_missing(site):
    for cutting in site.cuts():
        reply = await site.ask(b"/f/x")
        assert reply.status == 200
        assert reply.header(b"part-seals") == b"sound", cutting.cut
        assert reply.header(b"parts-missing") == b"1"
        assert reply.body == RECORDS


async def test_cut_answer_in_a_planned_stop_is_no_success(site):
    schedule = shutdown_schedule.ShutdownSchedule.from_config(
        60.0, site.bench.clock.now_ms()
    )
    site.edge.begin_shutdown(schedule)
    for cutting in site.cuts():
        reply = await site.ask(b"/a/x")
        assert reply.status == 502, (cutting.framing, cutting.cut)


@pytest.mark.parametrize("framing", BODIES)
@pytest.mark.parametrize("host", ["own", "other"])
async def test_whole_answer_is_a_success(site, framing, host):
    site.cutting.framing = framing
    reply = await site.ask(b"/a/x", host)
    assert (reply.status, reply.body) == (200, RECORDS)

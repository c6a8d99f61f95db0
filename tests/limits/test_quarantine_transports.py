"""Attempts that wait for a canary or a trial."""

import asyncio

import pytest

from greengagedale import clocks
from greengagedale import metrics
from greengagedale import outcomes
from greengagedale.limits import quarantine
from greengagedale.limits import quarantine_transports
from greengagedale.membership import announcements
from greengagedale.upstreams import base
from greengagedale.upstreams import process_probes

POISON = "poison"
UPSTREAM = base.Upstream("u1", "127.0.0.1:1", "here", 1, 1)


class AllEndedProber(process_probes.Prober):
    """Reports the process of every upstream as ended."""

    async def has_ended(self, upstream):
        del upstream
        return True


@pytest.fixture
def guard():
    clock = clocks.MonotonicClock()
    return quarantine_transports.QuarantineGuard(
        quarantine.Quarantine(quarantine.Canary.ALWAYS),
        AllEndedProber(),
        announcements.AnnouncementCache(clock),
        clock,
        lambda: 1,
        metrics.Metrics(),
    )


# Guards against a third crash caused by the same request on a busy machine:
# the upstream that runs the canary may take long to crash, and other attempts
# must not be sent before.
async def test_attempts_wait_for_a_canary_whose_upstream_crashes_slowly(guard):
    assert await guard.wait_until_allowed(POISON, "canary", 2000.0)
    guard.on_sent(POISON, UPSTREAM.name, "canary")
    waiting_attempts = [
        asyncio.create_task(
            guard.wait_until_allowed(POISON, f"other{number}", 2000.0)
        )
        for number in range(2)
    ]
    await asyncio.sleep(0.2)
    assert not any(waiting.done() for waiting in waiting_attempts)
    lost = outcomes.AttemptFailure(
        outcomes.Reason.REPLY_LOST, written=True, refused=False
    )
    await guard.on_end(POISON, UPSTREAM, "canary", lost)
    guard.on_done(POISON, "canary")
    await asyncio.sleep(0.05)
    # One of them is sent as the trial.
    assert [waiting.done() for waiting in waiting_attempts].count(True) == 1
    for waiting in waiting_attempts:
        waiting.cancel()


async def test_attempts_are_sent_if_the_canary_is_not_answered_in_time(guard):
    assert await guard.wait_until_allowed(POISON, "canary", 200.0)
    async with asyncio.timeout(1.0):
        assert await guard.wait_until_allowed(POISON, "other", 200.0)

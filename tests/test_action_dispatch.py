"""An action runs on at most one upstream."""

import random

import pytest

from greengagedale import action_dispatch
from greengagedale import clocks
from greengagedale import configuration
from greengagedale import metrics
from greengagedale import outcomes
from greengagedale import request_records
from greengagedale.catalog import services
from greengagedale.query import ranges
from greengagedale.query import snapshots
from greengagedale.routing import policies
from greengagedale.upstreams import base

NAMES = ("u1", "u2", "u3")
NOT_CONNECTED = outcomes.AttemptFailure(
    outcomes.Reason.CONNECT_FAILED, False, False
)
LOST = outcomes.AttemptFailure(outcomes.Reason.REPLY_LOST, True, False)
REFUSED = outcomes.AttemptFailure(outcomes.Reason.OVERLOADED, True, True, 70)
Reason = outcomes.Reason


class ScriptedTransport(base.UpstreamTransport):
    """Returns scripted results of attempts; each attempt takes 400 ms."""

    def __init__(self, clock, script):
        self._clock = clock
        self._script = list(script)
        self.sent = []

    async def act(self, upstream, action):
        self.sent.append((upstream.name, action.attempt_id))
        assert action.timeout_ms > 0
        self._clock.advance(400.0)
        return self._script.pop(0)

    async def search(self, upstream, request):
        raise NotImplementedError

    async def cancel(self, upstream, attempt_id):
        raise NotImplementedError

    async def health(self, upstream):
        raise NotImplementedError

    async def prewarm(self, upstream):
        raise NotImplementedError

    async def close(self):
        pass


@pytest.mark.parametrize(
    ("script", "sends", "expected"),
    [
        ([base.ActionAnswered("ok")], 1, outcomes.Ran("ok")),
        ([NOT_CONNECTED, base.ActionAnswered("ok")], 2, outcomes.Ran("ok")),
        ([LOST], 1, outcomes.Unknown(Reason.REPLY_LOST)),
        ([NOT_CONNECTED, LOST], 2, outcomes.Unknown(Reason.REPLY_LOST)),
        ([REFUSED], 1, outcomes.NotRun(Reason.OVERLOADED, 200)),
        ([NOT_CONNECTED] * 3, 2, outcomes.NotRun(Reason.DEADLINE, 200)),
    ],
)
async def test_resent_only_while_nothing_was_written(script, sends, expected):
    clock = clocks.ManualClock()
    transport = ScriptedTransport(clock, script)
    active_configuration = configuration.ActiveConfiguration(clock)
    upstreams = {
        name: base.Upstream(name, "127.0.0.1:1", "dc-a", 1, 1) for name in NAMES
    }
    partition_map = snapshots.PartitionMap(
        snapshots.Snapshot(1, 1),
        (snapshots.RangeReplicas(ranges.KEY_SPACE, NAMES),),
    )
    active_configuration.services["s"] = services.Service(
        "s", 1, upstreams, (partition_map,)
    )
    dispatcher = action_dispatch.ActionDispatcher(
        active_configuration,
        transport,
        policies.RandomPolicy(random.Random(1)),
        clock,
        metrics.Metrics(),
    )
    request = action_dispatch.ActionRequest(
        "r.1", "k", "w", "member-a", "s", 1, {}, 800.0, first_send=True
    )
    trace = request_records.RequestTrace("entry-1", clock)
    assert await dispatcher.dispatch(request, trace) == expected
    assert len(transport.sent) == sends
    assert len({name for name, _ in transport.sent}) == sends

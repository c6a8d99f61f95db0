"""Generated failures: attempts and deadlines stay within the limits."""

import collections
import random

from gateway_scripts import Bench
from gateway_scripts import answer
from gateway_scripts import fanout
from gateway_scripts import lost
from gateway_scripts import refused
from gateway_scripts import single
from gateway_scripts import unreachable
import pytest

from greengagedale import outcomes
from greengagedale.gateway import route_config

ENDS = (None, None, lost(), refused(), unreachable(), "failing")
MAX_DELAY_MS = 30.0
CALLS = 12


def draw_script(rng, name):
    ends = [
        answer(name, status=500) if end == "failing" else end
        for end in rng.choices(ENDS, k=60)
    ]
    return [(rng.uniform(0.0, MAX_DELAY_MS), end) for end in ends]


def may_run(end):
    return not isinstance(end, outcomes.AttemptFailure) or (
        end.written and not end.refused
    )


# Guards against two violations of BUDGET that were considered and ruled out in
# the incident: more attempts than the route allows, and attempts with a later
# deadline than the caller's.
@pytest.mark.parametrize("seed", range(20))
async def test_attempts_and_deadlines_stay_within_the_limits(seed):
    rng = random.Random(seed)
    bench = Bench(burst=1000.0)
    shards = ["x", "y", "z"]
    for shard in shards:
        for copy in "123":
            name = shard + copy
            bench.add(name, shard, draw_script(rng, name))
    runs = collections.Counter()
    attempts = []
    send = bench.client.send

    async def recording_send(attempt):
        attempts.append(attempt)
        name = attempt.upstream.name
        script = bench.client.scripts[name]
        if not script or may_run(script[0][1]):
            runs[attempt.call.deadline_ms, attempt.upstream.service] += 1
        return await send(attempt)

    bench.client.send = recording_send
    max_attempts = rng.randint(1, 3)
    route = rng.choice(
        [
            fanout(shards, max_attempts=max_attempts, target_latency_ms=20.0),
            single(
                targets=(route_config.Target("x", 1.0),),
                max_attempts=max_attempts,
                target_latency_ms=20.0,
                is_idempotent=rng.random() < 0.5,
            ),
        ]
    )
    for _ in range(CALLS):
        await bench.run(route, left_ms=rng.uniform(50.0, 200.0))
    limit = max_attempts if route.is_idempotent else 1
    assert attempts
    assert max(runs.values(), default=0) <= limit
    for attempt in attempts:
        assert attempt.deadline_ms <= attempt.call.deadline_ms

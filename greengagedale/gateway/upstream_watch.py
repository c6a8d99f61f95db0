"""Finds out by trials whether upstreams can be reached (see `reachability`)."""

import asyncio
from collections.abc import Awaitable, Callable
import logging
import random

from greengagedale import clocks
from greengagedale.gateway import metrics as metrics_lib
from greengagedale.gateway import reachability as reachability_lib
from greengagedale.gateway import upstream_entries
from greengagedale.gateway import upstream_scores as scores_lib

log = logging.getLogger(__name__)

CHECK_INTERVAL_S = 0.05
# Upstreams of a trial: the last ones that answered, each of another service,
# and others at random, as all upstreams of a service may be down.
LATEST_PER_TRIAL = 2
RANDOM_PER_TRIAL = 3
# Opening a connection takes a few milliseconds.
TRIAL_TIMEOUT_MS = 150.0

# Opens a connection to an upstream and keeps it for use; returns whether that
# took no longer than a time in ms.
TryConnect = Callable[[upstream_entries.Upstream, float], Awaitable[bool]]


class UpstreamWatch:
    """Suspects, tries and records whether this host can reach upstreams."""

    def __init__(
        self,
        reachability: reachability_lib.Reachability,
        scores: scores_lib.UpstreamScores,
        upstreams: Callable[[], list[upstream_entries.Upstream]],
        try_connect: TryConnect,
        metrics: metrics_lib.Metrics,
        clock: clocks.Clock,
        rng: random.Random,
    ) -> None:
        """Initializes the watch.

        Args:
            reachability: Holds what is known.
            scores: What was observed of the upstreams.
            upstreams: Returns the upstreams that accept requests.
            try_connect: Opens a connection to an upstream.
            metrics: Metrics of the process.
            clock: Clock of the process.
            rng: Random generator for the choice of upstreams.
        """
        self._reachability = reachability
        self._scores = scores
        self._upstreams = upstreams
        self._try_connect = try_connect
        self._metrics = metrics
        self._clock = clock
        self._rng = rng

    async def run(self) -> None:
        """Checks at short intervals until it is cancelled."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            await self.check()

    async def check(self) -> None:
        """Makes a trial if one is due."""
        now_ms = self._clock.now_ms()
        silence_ms = now_ms - self._scores.last_contact_ms
        silent_count = (
            self._scores.silent_count(reachability_lib.SILENCE_MS)
            if silence_ms >= reachability_lib.SILENCE_MS
            else 0
        )
        trial = self._reachability.next_trial(silence_ms, silent_count, now_ms)
        chosen = self._choose(trial)
        if not chosen:
            return
        connected = await asyncio.gather(
            *(self._try_connect(each, TRIAL_TIMEOUT_MS) for each in chosen)
        )
        has_connected = any(connected)
        was_cut_off = self._reachability.is_cut_off
        self._reachability.record_trial(
            trial, has_connected, self._clock.now_ms()
        )
        result = "connected" if has_connected else "failed"
        self._metrics.reachability_trials.inc(result)
        if has_connected and was_cut_off:
            self._scores.forget_unresponsive()
        if was_cut_off and not has_connected:
            return
        log.info(
            "tried to reach upstreams",
            extra={
                "upstreams": [each.name for each in chosen],
                "connected": sum(connected),
                "silence_ms": round(silence_ms),
                "silent": silent_count,
            },
        )

    def _choose(
        self, trial: reachability_lib.Trial
    ) -> list[upstream_entries.Upstream]:
        """Returns the upstreams of a trial."""
        if trial is reachability_lib.Trial.NONE:
            return []
        listed = self._upstreams()
        latest = sorted(listed, key=self._scores.last_answer_ms, reverse=True)
        by_service: dict[str, upstream_entries.Upstream] = {}
        for upstream in latest:
            by_service.setdefault(upstream.service, upstream)
        if trial is reachability_lib.Trial.ONE:
            return list(by_service.values())[:1]
        chosen = list(by_service.values())[:LATEST_PER_TRIAL]
        others = [each for each in listed if each not in chosen]
        count = min(RANDOM_PER_TRIAL, len(others))
        return chosen + self._rng.sample(others, count)

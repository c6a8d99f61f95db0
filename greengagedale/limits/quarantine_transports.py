"""Carries attempts to upstreams past the quarantine.

`GuardedTransport` decides before an attempt gets a slot whether it may go;
`WatchedTransport`, beneath the slots, sees where it goes and how it ends.
Both share one `Guard`.
"""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any, NamedTuple

import msgspec

from greengagedale import clocks
from greengagedale import metrics as metrics_lib
from greengagedale import outcomes
from greengagedale.limits import quarantine
from greengagedale.limits import slot_transport
from greengagedale.membership import announcements
from greengagedale.query import attempts
from greengagedale.upstreams import base
from greengagedale.upstreams import delegating
from greengagedale.upstreams import probes

NEWS_KIND = "quarantine"
_MS_PER_S = 1000.0
# Time in which all hosts hear of a death before its caller may send again.
_SPREAD_MS = 150.0
# How long the others wait for a canary: a busy upstream that crashes may take
# hundreds of milliseconds to do so.
_HOLD_MS = 500.0
_REFUSED = outcomes.AttemptEnd(
    outcomes.Reason.QUARANTINED, written=False, refused=False
)


class _Body(NamedTuple):
    state: quarantine.State
    deaths: tuple[str, ...]


class QuarantineGuard:
    """The quarantine of this host, joined to its clock, news and probes."""

    def __init__(
        self,
        held: quarantine.Quarantine,
        prober: probes.Prober,
        announcement_cache: announcements.AnnouncementCache,
        clock: clocks.Clock,
        wall_ms: Callable[[], int],
        metrics: metrics_lib.Metrics,
    ) -> None:
        self._held = held
        self._prober = prober
        self._announcement_cache = announcement_cache
        self._clock = clock
        self._wall_ms = wall_ms
        self._metrics = metrics
        self._probes: dict[str, asyncio.Task[bool]] = {}
        self._waiting: dict[str, set[asyncio.Future[None]]] = {}
        self._spread_until_ms: dict[str, float] = {}
        announcement_cache.subscribe(NEWS_KIND, self._on_news)

    def refusal(self, fingerprint: str) -> outcomes.NotRun | None:
        """Returns what to answer to a request in quarantine, else None."""
        now_ms = self._clock.now_ms()
        state = self._held.state(fingerprint, now_ms)
        if state is not quarantine.State.QUARANTINED:
            return None
        left_ms = self._held.left_ms(fingerprint, now_ms)
        self._count("refused")
        return outcomes.NotRun(outcomes.Reason.QUARANTINED, int(left_ms) + 1)

    async def wait_for_propagation(
        self, fingerprint: str, deadline_ms: float
    ) -> None:
        """Waits until other hosts know of deaths that a request has seen."""
        until_ms = self._spread_until_ms.pop(fingerprint, 0.0)
        now_ms = self._clock.now_ms()
        wait_ms = min(until_ms, deadline_ms) - now_ms
        if wait_ms > 0:
            await asyncio.sleep(wait_ms / _MS_PER_S)

    async def wait_until_allowed(
        self, fingerprint: str, attempt_id: str, timeout_ms: float
    ) -> bool:
        """Waits until an attempt may go; False if it must not."""
        asked_ms = self._clock.now_ms()
        until_ms = asked_ms + timeout_ms
        canary_until_ms = asked_ms + min(_HOLD_MS, timeout_ms / 2)
        while True:
            now_ms = self._clock.now_ms()
            decision = self._held.check_attempt(fingerprint, attempt_id, now_ms)
            if decision is quarantine.SendDecision.SEND:
                return True
            if decision is quarantine.SendDecision.REFUSE or now_ms >= until_ms:
                self._count("attempt_refused")
                return False
            if decision is quarantine.SendDecision.WAIT:
                if now_ms >= canary_until_ms:
                    return True
                await self._wait(fingerprint, canary_until_ms - now_ms)
            else:
                await self._wait(fingerprint, until_ms - now_ms)

    def on_sent(self, fingerprint: str, upstream: str, attempt_id: str) -> None:
        """Takes in that an attempt goes to an upstream."""
        self._held.on_sent(fingerprint, upstream, attempt_id)

    async def on_end(
        self,
        fingerprint: str,
        upstream: base.Upstream,
        attempt_id: str,
        result: Any,
    ) -> None:
        """Takes in how an attempt ended; asks whether its upstream died."""
        if _may_be_death(result):
            await self._look_for_death(upstream)
        self._end(
            fingerprint,
            upstream.name,
            attempt_id,
            slot_transport.was_answered(result),
        )

    def on_cancel(
        self, fingerprint: str, upstream: str, attempt_id: str
    ) -> None:
        """Takes in that nobody waits for an attempt any more."""
        self._end(fingerprint, upstream, attempt_id, False)

    def on_done(self, fingerprint: str, attempt_id: str) -> None:
        """Takes in that an attempt is over, sent or not."""
        self._held.on_done(fingerprint, attempt_id)
        for waiter in self._waiting.pop(fingerprint, set()):
            if not waiter.done():
                waiter.set_result(None)

    def _end(
        self, fingerprint: str, upstream: str, attempt_id: str, answered: bool
    ) -> None:
        now_ms = self._clock.now_ms()
        found = self._held.on_end(
            fingerprint, upstream, attempt_id, answered, now_ms
        )
        if found is not None:
            self._publish(found)

    async def _wait(self, fingerprint: str, wait_ms: float) -> None:
        waiter: asyncio.Future[None] = (
            asyncio.get_running_loop().create_future()
        )
        waiting = self._waiting.setdefault(fingerprint, set())
        waiting.add(waiter)
        try:
            async with asyncio.timeout(wait_ms / _MS_PER_S):
                await waiter
        except TimeoutError:
            pass
        finally:
            waiting.discard(waiter)

    async def _look_for_death(self, upstream: base.Upstream) -> None:
        probe = self._probes.get(upstream.name)
        if probe is None:
            probe = asyncio.create_task(self._probe(upstream))
            self._probes[upstream.name] = probe
        await asyncio.shield(probe)

    async def _probe(self, upstream: base.Upstream) -> bool:
        gone = await self._prober.is_gone(upstream)
        del self._probes[upstream.name]
        if gone:
            now_ms = self._clock.now_ms()
            self._count("upstream_death")
            for found in self._held.on_crash(upstream.name, now_ms):
                until_ms = now_ms + _SPREAD_MS
                self._spread_until_ms[found.fingerprint] = until_ms
                self._publish(found)
        return gone

    def _publish(self, found: quarantine.Finding) -> None:
        self._count(found.state)
        body = _Body(found.state, found.crashed_upstreams)
        self._announcement_cache.add(
            announcements.Announcement(
                NEWS_KIND,
                found.fingerprint,
                self._wall_ms(),
                msgspec.json.encode(body).decode(),
                found.left_ms,
            )
        )

    def _on_news(self, item: announcements.Announcement) -> None:
        try:
            body = msgspec.json.decode(item.body, type=_Body)
        except msgspec.DecodeError:
            self._count("bad_news")
            return
        found = quarantine.Finding(
            item.name, body.state, body.deaths, item.remaining_ms
        )
        self._held.merge(found, self._clock.now_ms())

    def _count(self, event: str) -> None:
        self._metrics.quarantine.labels(event).inc()


class _GuardedTransport(delegating.DelegatingTransport):
    def __init__(
        self, inner: base.UpstreamTransport, guard: QuarantineGuard
    ) -> None:
        super().__init__(inner)
        self._guard = guard


class QuarantineTransport(_GuardedTransport):
    """Lets attempts go, wait for a canary or trial, or refuses them."""

    async def search(
        self, upstream: base.Upstream, request: base.SubSearch
    ) -> attempts.AttemptResult:
        """Sends a search unless its fingerprint is in quarantine."""
        name = search_fingerprint(request.member, request.text)
        attempt_id = request.attempt.attempt_id

        async def send(left_ms: float) -> attempts.AttemptResult:
            bound = request._replace(timeout_ms=left_ms)
            return await self._inner.search(upstream, bound)

        return await self._pass(name, attempt_id, request.timeout_ms, send)

    async def act(
        self, upstream: base.Upstream, action: base.Action
    ) -> base.ActionAnswered | outcomes.AttemptEnd:
        """Sends an action unless its fingerprint is in quarantine."""
        name = action_fingerprint(action.member, action.body)

        async def send(
            left_ms: float,
        ) -> base.ActionAnswered | outcomes.AttemptEnd:
            bound = action._replace(timeout_ms=left_ms)
            return await self._inner.act(upstream, bound)

        return await self._pass(
            name, action.attempt_id, action.timeout_ms, send
        )

    async def _pass(
        self,
        fingerprint: str,
        attempt_id: str,
        timeout_ms: float,
        send: Callable[[float], Awaitable[Any]],
    ) -> Any:
        loop = asyncio.get_running_loop()
        asked_s = loop.time()
        try:
            if not await self._guard.wait_until_allowed(
                fingerprint, attempt_id, timeout_ms
            ):
                return _REFUSED
            waited_ms = (loop.time() - asked_s) * _MS_PER_S
            return await send(max(0.0, timeout_ms - waited_ms))
        finally:
            self._guard.on_done(fingerprint, attempt_id)


class TrackingTransport(_GuardedTransport):
    """Tells the guard which attempts are at which upstream."""

    async def search(
        self, upstream: base.Upstream, request: base.SubSearch
    ) -> attempts.AttemptResult:
        """Sends a search and returns how it ended."""
        return await self._watch(
            search_fingerprint(request.member, request.text),
            upstream,
            request.attempt.attempt_id,
            self._inner.search(upstream, request),
        )

    async def act(
        self, upstream: base.Upstream, action: base.Action
    ) -> base.ActionAnswered | outcomes.AttemptEnd:
        """Sends an action, once, and returns how it ended."""
        return await self._watch(
            action_fingerprint(action.member, action.body),
            upstream,
            action.attempt_id,
            self._inner.act(upstream, action),
        )

    async def _watch(
        self,
        fingerprint: str,
        upstream: base.Upstream,
        attempt_id: str,
        call: Awaitable[Any],
    ) -> Any:
        self._guard.on_sent(fingerprint, upstream.name, attempt_id)
        try:
            result = await call
            await self._guard.on_end(fingerprint, upstream, attempt_id, result)
        except BaseException:
            self._guard.on_cancel(fingerprint, upstream.name, attempt_id)
            raise
        return result


def search_fingerprint(member: str, text: str) -> str:
    """Returns the fingerprint of a search."""
    return quarantine.fingerprint_of(member, "search", text.encode())


def action_fingerprint(member: str, body: Any) -> str:
    """Returns the fingerprint of an action."""
    content = msgspec.json.encode(body, order="sorted")
    return quarantine.fingerprint_of(member, "act", content)


def _may_be_death(result: Any) -> bool:
    return (
        isinstance(result, outcomes.AttemptEnd)
        and result.written
        and not result.refused
    )

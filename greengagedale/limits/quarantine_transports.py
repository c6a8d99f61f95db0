"""Transports that apply the quarantine to attempts.

`QuarantineTransport` decides whether an attempt may be sent, before it gets a
slot. `TrackingTransport` wraps the transport below the slots and records which
upstream an attempt is sent to and how it ends. Both share one
`QuarantineGuard`.
"""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any, NamedTuple

import msgspec

from greengagedale import clocks
from greengagedale import metrics as metrics_lib
from greengagedale import outcomes
from greengagedale import untrusted_json
from greengagedale.limits import quarantine
from greengagedale.limits import slot_transport
from greengagedale.membership import announcements
from greengagedale.query import attempts
from greengagedale.upstreams import base
from greengagedale.upstreams import delegating
from greengagedale.upstreams import process_probes

ANNOUNCEMENT_KIND = "quarantine"
_MS_PER_S = 1000.0
# Time for the announcement of a crash to reach all hosts. The answer to the
# caller is delayed until then, so that its retry finds all hosts informed.
_PROPAGATION_MS = 150.0
# How long other attempts wait for the canary: a busy upstream may take
# hundreds of milliseconds to crash.
_CANARY_WAIT_MS = 500.0
_REFUSED = outcomes.AttemptFailure(
    outcomes.Reason.QUARANTINED, written=False, refused=False
)


class _AnnouncementBody(NamedTuple):
    state: quarantine.State
    crashed_upstreams: tuple[str, ...]


class QuarantineGuard:
    """Applies the quarantine of this host to attempts.

    Probes upstreams that may have crashed, and exchanges findings with other
    hosts through announcements.
    """

    def __init__(
        self,
        local_quarantine: quarantine.Quarantine,
        prober: process_probes.Prober,
        announcement_cache: announcements.AnnouncementCache,
        clock: clocks.Clock,
        wall_ms: Callable[[], int],
        metrics: metrics_lib.Metrics,
    ) -> None:
        self._quarantine = local_quarantine
        self._prober = prober
        self._announcement_cache = announcement_cache
        self._clock = clock
        self._wall_ms = wall_ms
        self._metrics = metrics
        self._probes: dict[str, asyncio.Task[bool]] = {}
        self._waiting: dict[str, set[asyncio.Future[None]]] = {}
        self._propagation_until_ms: dict[str, float] = {}
        announcement_cache.subscribe(ANNOUNCEMENT_KIND, self._on_announcement)

    def refusal(self, fingerprint: str) -> outcomes.NotRun | None:
        """Returns the refusal of a quarantined request; None for others."""
        now_ms = self._clock.now_ms()
        state = self._quarantine.state(fingerprint, now_ms)
        if state is not quarantine.State.QUARANTINED:
            return None
        remaining_ms = self._quarantine.remaining_ms(fingerprint, now_ms)
        self._count("refused")
        return outcomes.NotRun(
            outcomes.Reason.QUARANTINED, int(remaining_ms) + 1
        )

    async def wait_for_propagation(
        self, fingerprint: str, deadline_ms: float
    ) -> None:
        """Waits until other hosts know of the crashes seen by a request.

        Args:
            fingerprint: Fingerprint of the request.
            deadline_ms: Time at which the wait ends in any case.
        """
        until_ms = self._propagation_until_ms.pop(fingerprint, 0.0)
        now_ms = self._clock.now_ms()
        wait_ms = min(until_ms, deadline_ms) - now_ms
        if wait_ms > 0:
            await asyncio.sleep(wait_ms / _MS_PER_S)

    async def wait_until_allowed(
        self, fingerprint: str, attempt_id: str, timeout_ms: float
    ) -> bool:
        """Waits until an attempt may be sent; False if it must not be.

        Args:
            fingerprint: Fingerprint of the request.
            attempt_id: Identifier of the attempt.
            timeout_ms: Longest wait. Other attempts wait for a canary for at
                most half of it.
        """
        requested_ms = self._clock.now_ms()
        until_ms = requested_ms + timeout_ms
        canary_until_ms = requested_ms + min(_CANARY_WAIT_MS, timeout_ms / 2)
        while True:
            now_ms = self._clock.now_ms()
            decision = self._quarantine.check_attempt(
                fingerprint, attempt_id, now_ms
            )
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
        """Records that an attempt is sent to an upstream."""
        self._quarantine.on_sent(fingerprint, upstream, attempt_id)

    async def on_end(
        self,
        fingerprint: str,
        upstream: base.Upstream,
        attempt_id: str,
        result: Any,
    ) -> None:
        """Records the result of an attempt.

        Probes the upstream first if the result may mean that it crashed.
        """
        if _may_be_crash(result):
            await self._probe_upstream(upstream)
        self._record_end(
            fingerprint,
            upstream.name,
            attempt_id,
            slot_transport.was_answered(result),
        )

    def on_cancel(
        self, fingerprint: str, upstream: str, attempt_id: str
    ) -> None:
        """Records that an attempt was cancelled or failed with an error."""
        self._record_end(fingerprint, upstream, attempt_id, False)

    def on_done(self, fingerprint: str, attempt_id: str) -> None:
        """Records that an attempt is over, whether or not it was sent."""
        self._quarantine.on_done(fingerprint, attempt_id)
        for waiter in self._waiting.pop(fingerprint, set()):
            if not waiter.done():
                waiter.set_result(None)

    def _record_end(
        self, fingerprint: str, upstream: str, attempt_id: str, answered: bool
    ) -> None:
        now_ms = self._clock.now_ms()
        finding = self._quarantine.on_end(
            fingerprint, upstream, attempt_id, answered, now_ms
        )
        if finding is not None:
            self._publish(finding)

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

    async def _probe_upstream(self, upstream: base.Upstream) -> None:
        probe = self._probes.get(upstream.name)
        if probe is None:
            probe = asyncio.create_task(self._run_probe(upstream))
            self._probes[upstream.name] = probe
        await asyncio.shield(probe)

    async def _run_probe(self, upstream: base.Upstream) -> bool:
        has_ended = await self._prober.has_ended(upstream)
        del self._probes[upstream.name]
        if has_ended:
            now_ms = self._clock.now_ms()
            self._count("upstream_death")
            for finding in self._quarantine.on_crash(upstream.name, now_ms):
                until_ms = now_ms + _PROPAGATION_MS
                self._propagation_until_ms[finding.fingerprint] = until_ms
                self._publish(finding)
        return has_ended

    def _publish(self, finding: quarantine.Finding) -> None:
        self._count(finding.state)
        body = _AnnouncementBody(finding.state, finding.crashed_upstreams)
        self._announcement_cache.add(
            announcements.Announcement(
                ANNOUNCEMENT_KIND,
                finding.fingerprint,
                self._wall_ms(),
                msgspec.json.encode(body).decode(),
                finding.remaining_ms,
            )
        )

    def _on_announcement(self, item: announcements.Announcement) -> None:
        try:
            body = untrusted_json.decode(item.body, _AnnouncementBody)
        except msgspec.DecodeError:
            self._count("bad_news")
            return
        finding = quarantine.Finding(
            item.name, body.state, body.crashed_upstreams, item.remaining_ms
        )
        self._quarantine.merge(finding, self._clock.now_ms())

    def _count(self, event: str) -> None:
        self._metrics.quarantine.labels(event).inc()


class _GuardedTransport(delegating.DelegatingTransport):
    def __init__(
        self, inner: base.UpstreamTransport, guard: QuarantineGuard
    ) -> None:
        super().__init__(inner)
        self._guard = guard


class QuarantineTransport(_GuardedTransport):
    """Sends attempts, delays them for a canary or trial, or refuses them."""

    async def search(
        self, upstream: base.Upstream, request: base.SubSearch
    ) -> attempts.AttemptResult:
        """Sends a search unless its fingerprint is quarantined."""
        fingerprint = search_fingerprint(request.member, request.text)
        attempt_id = request.attempt.attempt_id

        async def send(remaining_ms: float) -> attempts.AttemptResult:
            delayed_request = request._replace(timeout_ms=remaining_ms)
            return await self._inner.search(upstream, delayed_request)

        return await self._send_if_allowed(
            fingerprint, attempt_id, request.timeout_ms, send
        )

    async def act(
        self, upstream: base.Upstream, action: base.Action
    ) -> base.ActionAnswered | outcomes.AttemptFailure:
        """Sends an action unless its fingerprint is quarantined."""
        fingerprint = action_fingerprint(action.member, action.body)

        async def send(
            remaining_ms: float,
        ) -> base.ActionAnswered | outcomes.AttemptFailure:
            delayed_action = action._replace(timeout_ms=remaining_ms)
            return await self._inner.act(upstream, delayed_action)

        return await self._send_if_allowed(
            fingerprint, action.attempt_id, action.timeout_ms, send
        )

    async def _send_if_allowed(
        self,
        fingerprint: str,
        attempt_id: str,
        timeout_ms: float,
        send: Callable[[float], Awaitable[Any]],
    ) -> Any:
        loop = asyncio.get_running_loop()
        requested_s = loop.time()
        try:
            if not await self._guard.wait_until_allowed(
                fingerprint, attempt_id, timeout_ms
            ):
                return _REFUSED
            waited_ms = (loop.time() - requested_s) * _MS_PER_S
            return await send(max(0.0, timeout_ms - waited_ms))
        finally:
            self._guard.on_done(fingerprint, attempt_id)


class TrackingTransport(_GuardedTransport):
    """Reports the start and the result of each attempt to the guard."""

    async def search(
        self, upstream: base.Upstream, request: base.SubSearch
    ) -> attempts.AttemptResult:
        """Sends a search and returns its result."""
        return await self._track(
            search_fingerprint(request.member, request.text),
            upstream,
            request.attempt.attempt_id,
            self._inner.search(upstream, request),
        )

    async def act(
        self, upstream: base.Upstream, action: base.Action
    ) -> base.ActionAnswered | outcomes.AttemptFailure:
        """Sends an action, at most once, and returns its result."""
        return await self._track(
            action_fingerprint(action.member, action.body),
            upstream,
            action.attempt_id,
            self._inner.act(upstream, action),
        )

    async def _track(
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


def _may_be_crash(result: Any) -> bool:
    return (
        isinstance(result, outcomes.AttemptFailure)
        and result.written
        and not result.refused
    )

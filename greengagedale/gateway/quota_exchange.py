"""Exchange of quota shares and tokens between hosts.

Each slot of workspaces has a keeper (`quota_keepers`). The keeper asks all live
hosts for the leases of their shares and renews them (`limits.quota_shares`).
The other hosts ask it for a token for each request (`limits.quota_windows`).
"""

import asyncio
from collections.abc import Callable
import itertools
import logging
import random
from typing import Any, NamedTuple

import msgspec

from greengagedale import clocks
from greengagedale.gateway import fleet as fleet_lib
from greengagedale.gateway import message_codec
from greengagedale.gateway import metrics as metrics_lib
from greengagedale.gateway import peer_connections
from greengagedale.gateway import quota_keepers
from greengagedale.gateway import registry as registry_lib
from greengagedale.gateway import returning_callers
from greengagedale.gateway import roster as roster_lib
from greengagedale.gateway import route_config
from greengagedale.http1 import client
from greengagedale.http1 import messages
from greengagedale.http1 import server
from greengagedale.limits import quota_shares
from greengagedale.limits import quota_windows

log = logging.getLogger(__name__)

# Interval at which keepers are chosen anew and leases that are due renewed.
TICK_INTERVAL_MS = 150.0
# Timeout of a renewal; the next one follows at once.
LEASE_TIMEOUT_MS = 400.0
# Timeout of a request for tokens; their validity starts when it is sent.
TOKEN_TIMEOUT_MS = quota_shares.TOKEN_VALIDITY_MS
# How long a request waits for its token: long enough for two round trips
# between data centres, or this fraction of the route's target latency.
MIN_WAIT_MS = 60.0
WAIT_SHARE = 0.2
# A host that is asked for tokens keeps the slot for at least this long, even if
# it is not the keeper in its own view.
ASKED_KEEP_MS = 2000.0
# Change of the held share that is logged, and maximum number of workspaces in
# one line about usage.
LOGGED_SHARE_CHANGE = 0.1
MAX_LOGGED_WORKSPACES = 20
_PATH_LEASES = b"/peers/quota-leases"
_PATH_TOKENS = b"/peers/quota-tokens"
_PATH_HAND_OVERS = b"/peers/quota-hand-overs"
_PATH_RELEASES = b"/peers/quota-releases"
_STATUS_OK = 200
_STATUS_BAD_REQUEST = 400
_MS_PER_S = 1000.0
_LIFE_BITS = 62


class LeaseRequest(NamedTuple):
    """A keeper's request for the leases of the asked host.

    Attributes:
        keeper: The process that asks.
        slots: The slots that it keeps.
        lender_life: Life of the asked host's process that last answered it; 0
            if none has.
        held_shares: Share of the asked host that the keeper holds in each slot.
    """

    keeper: quota_shares.Process
    slots: list[int]
    lender_life: int
    held_shares: list[float]


class LeaseReply(NamedTuple):
    """The asked host's answer.

    Attributes:
        life: Life of its process.
        grants: The grant for each slot, or None.
    """

    life: int
    grants: list[quota_shares.Grant | None]


class TokenAsk(NamedTuple):
    """A request that a keeper is to decide on.

    Attributes:
        workspace: Name of its workspace.
        is_returning: Whether its caller was probably refused before.
    """

    workspace: str
    is_returning: bool


class TokenRequest(NamedTuple):
    """Requests that a keeper is to decide on."""

    asks: list[TokenAsk]


class TokenReply(NamedTuple):
    """The keeper's decisions, in the order of the requests."""

    decisions: list[quota_windows.Decision]


class HandOver(NamedTuple):
    """Tells the next keeper what one that has stopped has allowed.

    Attributes:
        keeper: The process that has stopped.
        slot: The slot that it kept.
        uses: Ages in ms of the last requests that it allowed, by workspace.
    """

    keeper: quota_shares.Process
    slot: int
    uses: dict[str, list[float]]


class HandOverReply(NamedTuple):
    """Confirms that a process counts these requests as its own."""

    successor: quota_shares.Process


class Release(NamedTuple):
    """Tells lenders that a keeper no longer uses their shares.

    Attributes:
        keeper: The process that has stopped.
        successors: The process that counts its requests, by slot; None if none
            does.
    """

    keeper: quota_shares.Process
    successors: list[quota_shares.Process | None] = []


_lease_request_decoder = msgspec.msgpack.Decoder(LeaseRequest)
_lease_reply_decoder = msgspec.msgpack.Decoder(LeaseReply)
_token_request_decoder = msgspec.msgpack.Decoder(TokenRequest)
_token_reply_decoder = msgspec.msgpack.Decoder(TokenReply)
_hand_over_decoder = msgspec.msgpack.Decoder(HandOver)
_hand_over_reply_decoder = msgspec.msgpack.Decoder(HandOverReply)
_release_decoder = msgspec.msgpack.Decoder(Release)
_empty_decoder = msgspec.msgpack.Decoder(None)


class _Batch(NamedTuple):
    asks: list[TokenAsk]
    futures: list[asyncio.Future[quota_windows.Decision]]


class _Poll(NamedTuple):
    """The last renewal that was sent to a lender."""

    sent_ms: float
    is_waiting: bool


class QuotaExchange(server.Handler):
    """Client and server side of the quotas of one host."""

    def __init__(
        self,
        terms: quota_shares.QuotaTerms,
        own_state: Callable[[], fleet_lib.HostState],
        fleet: fleet_lib.Fleet,
        registry: registry_lib.Registry,
        roster: roster_lib.Roster,
        other_requests: server.Handler,
        metrics: metrics_lib.Metrics,
        clock: clocks.Clock,
        rng: random.Random,
    ) -> None:
        """Makes the exchange of a host.

        Args:
            terms: Terms of the quotas.
            own_state: Returns the current state of this host.
            fleet: The other hosts.
            registry: Holds the configuration with the quotas.
            roster: The host list, which tells this host's share.
            other_requests: Handles requests of peers that are not about quotas.
            metrics: Metrics of the process.
            clock: Clock of the process; must count time in suspend.
            rng: Random generator.
        """
        self._terms = terms
        self._own_state = own_state
        self._fleet = fleet
        self._registry = registry
        self._roster = roster
        self._other_requests = other_requests
        self._metrics = metrics
        self._clock = clock
        self._rng = rng
        self._own = quota_shares.Process(
            own_state().name, rng.getrandbits(_LIFE_BITS)
        )
        self._directory = quota_keepers.KeeperDirectory(clock)
        self._keeper = quota_windows.QuotaKeeper(
            terms, quota_keepers.slot_of, rng
        )
        self._lender = quota_shares.ShareLender(
            self._own.life, quota_keepers.SLOT_COUNT, terms, clock.now_ms()
        )
        self._connections = peer_connections.PeerConnections(
            client.ReplyLimits()
        )
        self._returning = returning_callers.ReturningCallers()
        self._quotas_version = 0
        self._endpoints: dict[str, str] = {}
        self._lender_lives: dict[str, int] = {}
        self._polls: dict[str, _Poll] = {}
        self._batches: dict[str, _Batch] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._tick_requested = asyncio.Event()
        slots = range(quota_keepers.SLOT_COUNT)
        self._asked_ms = [float("-inf") for _ in slots]
        self._preferred_asked_ms = [float("-inf") for _ in slots]
        self._logged_shares = [0.0 for _ in slots]
        self._logged_holders: list[str | None] = [None for _ in slots]
        self._usage_logged_ms = clock.now_ms()

    # Callers' requests.

    async def admit(
        self, workspace: str, route: route_config.Route, left_ms: float | None
    ) -> quota_windows.Decision:
        """Decides whether a request of a workspace with a quota may run.

        Args:
            workspace: Name of the workspace.
            route: Route of the request.
            left_ms: Time that the caller still waits; None if unknown.
        """
        asked_ms = self._clock.now_ms()
        ask = TokenAsk(
            workspace,
            self._returning.is_returning(
                route.name, left_ms, route.target_latency_ms
            ),
        )
        slot = quota_keepers.slot_of(workspace)
        keeper = self._directory.keeper_of(slot)
        if keeper is None:
            decision = self._undecided()
        elif keeper == self._own.host:
            decision = self._decide(ask)
        else:
            wait_ms = max(MIN_WAIT_MS, WAIT_SHARE * route.target_latency_ms)
            decision = await self._ask(keeper, ask, wait_ms)
        if (
            decision.verdict is quota_windows.Verdict.ALLOWED
            and not self._is_valid(asked_ms)
        ):
            decision = self._undecided()
        self._metrics.quota_decisions.inc(workspace, str(decision.verdict))
        return decision

    async def _ask(
        self, keeper: str, ask: TokenAsk, wait_ms: float
    ) -> quota_windows.Decision:
        loop = asyncio.get_running_loop()
        batch = self._batches.get(keeper)
        if batch is None:
            batch = _Batch([], [])
            self._batches[keeper] = batch
            # Requests that arrive in the same turn of the loop share a message.
            loop.call_soon(self._send_batch, keeper)
        future: asyncio.Future[quota_windows.Decision] = loop.create_future()
        batch.asks.append(ask)
        batch.futures.append(future)
        try:
            async with asyncio.timeout(wait_ms / _MS_PER_S):
                return await future
        except TimeoutError:
            self._record_no_answer(keeper)
            return self._undecided()

    def _send_batch(self, keeper: str) -> None:
        self._spawn(self._ask_keeper(keeper, self._batches.pop(keeper)))

    async def _ask_keeper(self, keeper: str, batch: _Batch) -> None:
        decisions = await self._fetch_decisions(keeper, batch)
        for future, decision in itertools.zip_longest(batch.futures, decisions):
            if future is not None and not future.done():
                future.set_result(decision or self._undecided())

    async def _fetch_decisions(
        self, keeper: str, batch: _Batch
    ) -> list[quota_windows.Decision]:
        """Returns a keeper's decisions; none if it did not answer in time."""
        request = TokenRequest(batch.asks)
        endpoint = self._endpoints.get(keeper, "")
        reply = await self._post(
            endpoint,
            _PATH_TOKENS,
            request,
            _token_reply_decoder,
            TOKEN_TIMEOUT_MS,
        )
        if reply is None:
            self._record_no_answer(keeper)
            return []
        self._directory.record_answer(keeper)
        return reply.decisions

    def _is_valid(self, asked_ms: float) -> bool:
        """Returns whether a token may be used that was asked for at a time.

        A process may be suspended at any point; its tokens expire meanwhile.
        """
        age_ms = self._clock.now_ms() - asked_ms
        return age_ms <= quota_shares.TOKEN_VALIDITY_MS

    def _record_no_answer(self, keeper: str) -> None:
        endpoint = self._endpoints.get(keeper, "")
        if self._fleet.refuses_connections(endpoint):
            self._directory.avoid(keeper)
        elif not self._directory.record_no_answer(keeper):
            return
        log.info("quota keeper lost", extra={"keeper": keeper})
        self._tick_requested.set()

    # Requests of other hosts.

    async def handle(self, request: messages.Request) -> messages.Response:
        """Answers a request of another host."""
        handlers: dict[bytes, tuple[Any, Callable[[Any], Any]]] = {
            _PATH_TOKENS: (_token_request_decoder, self._handle_tokens),
            _PATH_LEASES: (_lease_request_decoder, self._handle_lease),
            _PATH_HAND_OVERS: (_hand_over_decoder, self._handle_hand_over),
            _PATH_RELEASES: (_release_decoder, self._handle_release),
        }
        if request.target not in handlers:
            return await self._other_requests.handle(request)
        decoder, handler = handlers[request.target]
        try:
            message = message_codec.decode(request.body, decoder)
        except msgspec.DecodeError as error:
            log.warning(
                "quota message of a peer could not be decoded; refusing it",
                extra={"reason": str(error)},
            )
            return messages.Response(_STATUS_BAD_REQUEST)
        return messages.Response(
            _STATUS_OK, (), message_codec.encode(handler(message))
        )

    def _handle_tokens(self, request: TokenRequest) -> TokenReply:
        now_ms = self._clock.now_ms()
        for slot in {
            quota_keepers.slot_of(ask.workspace) for ask in request.asks
        }:
            if now_ms - self._asked_ms[slot] > ASKED_KEEP_MS:
                self._tick_requested.set()
            self._asked_ms[slot] = now_ms
        return TokenReply([*map(self._decide, request.asks)])

    def _handle_lease(self, request: LeaseRequest) -> LeaseReply:
        is_own_life = request.lender_life == self._own.life
        return LeaseReply(
            self._own.life,
            [
                self._lend(
                    slot, request.keeper, held_share if is_own_life else 0.0
                )
                for slot, held_share in zip(
                    request.slots, request.held_shares, strict=False
                )
                if 0 <= slot < quota_keepers.SLOT_COUNT
            ],
        )

    def _handle_hand_over(self, hand_over: HandOver) -> HandOverReply:
        now_ms = self._clock.now_ms()
        self._keeper.add_uses(hand_over.uses, now_ms)
        if 0 <= hand_over.slot < quota_keepers.SLOT_COUNT:
            self._asked_ms[hand_over.slot] = now_ms
        log.info(
            "quota handed over",
            extra={
                "keeper": hand_over.keeper.host,
                "slot": hand_over.slot,
                "requests": sum(map(len, hand_over.uses.values())),
            },
        )
        return HandOverReply(self._own)

    def _handle_release(self, release: Release) -> None:
        now_ms = self._clock.now_ms()
        for slot, successor in itertools.zip_longest(
            range(quota_keepers.SLOT_COUNT),
            release.successors[: quota_keepers.SLOT_COUNT],
        ):
            self._lender.release(slot, release.keeper, successor, now_ms)
        self._directory.avoid(release.keeper.host)
        self._tick_requested.set()

    def _lend(
        self, slot: int, keeper: quota_shares.Process, claimed_share: float
    ) -> quota_shares.Grant | None:
        now_ms = self._clock.now_ms()
        host_count = len(self._roster.host_list.hosts)
        if keeper.host == self._directory.keeper_of(slot):
            self._preferred_asked_ms[slot] = now_ms
        elif now_ms - self._preferred_asked_ms[slot] < quota_shares.lease_ms(
            host_count
        ):
            return None
        self._update_share()
        return self._lender.lend(slot, keeper, now_ms, claimed_share)

    def _update_share(self) -> None:
        self._lender.set_share(
            self._roster.fraction(),
            len(self._roster.host_list.hosts),
            self._clock.now_ms(),
        )

    # What this host keeps.

    def _decide(self, ask: TokenAsk) -> quota_windows.Decision:
        """Decides on a request as the keeper of its workspace.

        Hosts learn of a configuration within a second of each other. Meanwhile
        the quotas that this host knows are in force, as if nobody had the newer
        ones yet.
        """
        table = self._registry.table
        if table is None:
            return self._undecided()
        configured = table.workspaces.get(ask.workspace)
        if configured is not None and configured.rate_per_s <= 0.0:
            return quota_windows.ALLOWED
        self._apply_quotas()
        return self._keeper.take(
            ask.workspace, self._clock.now_ms(), ask.is_returning
        )

    def _apply_quotas(self) -> None:
        table = self._registry.table
        if table is None or table.version == self._quotas_version:
            return
        self._quotas_version = table.version
        self._returning.retain_only(
            {route.name for route in table.configuration.routes}
        )
        self._keeper.set_quotas(
            {
                workspace.name: quota_shares.Quota(
                    workspace.rate_per_s, workspace.burst
                )
                for workspace in table.workspaces.values()
                if workspace.rate_per_s > 0.0
            },
            self._clock.now_ms(),
        )

    async def run(self) -> None:
        """Chooses keepers and renews leases until it is cancelled."""
        while True:
            self._tick()
            self._tick_requested.clear()
            try:
                async with asyncio.timeout(TICK_INTERVAL_MS / _MS_PER_S):
                    await self._tick_requested.wait()
            except TimeoutError:
                continue

    def _tick(self) -> None:
        own = self._own_state()
        self._choose_keepers(own)
        self._connections.retain_only({*self._endpoints.values()})
        self._apply_quotas()
        self._update_share()
        if own.accepts_callers:
            self._renew_leases()
        self._log_shares()
        self._log_usage()

    def _choose_keepers(self, own: fleet_lib.HostState) -> None:
        """Takes in which hosts are alive and could be keepers."""
        alive = self._fleet.alive()
        self._endpoints = {
            state.name: state.address.peer_endpoint for state in alive
        }
        self._directory.set_candidates(
            quota_keepers.Candidate(state.name, state.heartbeat.sequence)
            for state in (own, *alive)
            if state.accepts_callers
        )

    def _kept_slots(self) -> list[int]:
        now_ms = self._clock.now_ms()
        return [
            slot
            for slot in range(quota_keepers.SLOT_COUNT)
            if self._directory.keeper_of(slot) == self._own.host
            or now_ms - self._asked_ms[slot] < ASKED_KEEP_MS
        ]

    def _renew_leases(self) -> None:
        slots = self._kept_slots()
        if not slots:
            return
        now_ms = self._clock.now_ms()
        for slot in slots:
            grant = self._lend(slot, self._own, 0.0)
            if grant is not None:
                self._keeper.add_lease(
                    slot, self._own.host, grant, now_ms, now_ms
                )
        interval_ms = quota_shares.renewal_interval_ms(len(self._endpoints))
        for name, endpoint in self._endpoints.items():
            poll = self._polls.get(name, _Poll(float("-inf"), False))
            is_held = all(
                self._keeper.share_of(slot, name, now_ms) for slot in slots
            )
            is_due = not is_held or now_ms - poll.sent_ms >= interval_ms
            if is_due and not poll.is_waiting:
                self._polls[name] = _Poll(now_ms, True)
                self._spawn(self._renew(name, endpoint, slots))
        for name in self._polls.keys() - self._endpoints.keys():
            if not self._polls[name].is_waiting:
                del self._polls[name]
                self._lender_lives.pop(name, None)

    async def _renew(
        self, lender: str, endpoint: str, slots: list[int]
    ) -> None:
        """Asks a host for the leases of its shares."""
        try:
            # A new process of the host needs the answer to a second request.
            for _ in range(2):
                sent_ms = self._clock.now_ms()
                life = self._lender_lives.get(lender, 0)
                held_shares = [
                    self._keeper.share_of(slot, lender, sent_ms)
                    for slot in slots
                ]
                request = LeaseRequest(self._own, slots, life, held_shares)
                reply = await self._post(
                    endpoint,
                    _PATH_LEASES,
                    request,
                    _lease_reply_decoder,
                    LEASE_TIMEOUT_MS,
                )
                if reply is None:
                    return
                self._add_leases(lender, slots, reply, sent_ms)
                self._lender_lives[lender] = reply.life
                if reply.life == life or not any(held_shares):
                    return
        finally:
            poll = self._polls.get(lender)
            if poll is not None:
                self._polls[lender] = poll._replace(is_waiting=False)

    def _add_leases(
        self, lender: str, slots: list[int], reply: LeaseReply, sent_ms: float
    ) -> None:
        now_ms = self._clock.now_ms()
        for slot, grant in zip(slots, reply.grants, strict=False):
            if grant is not None:
                self._keeper.add_lease(slot, lender, grant, sent_ms, now_ms)

    async def release(self) -> None:
        """Gives all leases back, so that another keeper takes over at once."""
        slots = self._kept_slots()
        self._keeper.stop()
        if not slots:
            return
        # Without this host, others may have run for long enough to be keepers.
        self._choose_keepers(self._own_state())
        self._directory.avoid(self._own.host)
        confirmed = await asyncio.gather(*map(self._hand_over, slots))
        by_slot = dict(zip(slots, confirmed, strict=True))
        successors = [
            by_slot.get(slot) for slot in range(quota_keepers.SLOT_COUNT)
        ]
        release = Release(self._own, successors)
        self._handle_release(release)
        log.info(
            "quota shares released",
            extra={
                "slots": slots,
                "successors": [each and each.host for each in successors],
            },
        )
        await asyncio.gather(
            *(
                self._post(
                    endpoint,
                    _PATH_RELEASES,
                    release,
                    _empty_decoder,
                    LEASE_TIMEOUT_MS,
                )
                for endpoint in self._endpoints.values()
            )
        )

    async def _hand_over(self, slot: int) -> quota_shares.Process | None:
        """Tells the next keeper of a slot what this one has allowed.

        Returns:
            The process that counts these requests now; None if none does.
        """
        endpoint = self._endpoints.get(self._directory.keeper_of(slot) or "")
        if endpoint is None:
            return None
        uses = self._keeper.recent_uses(slot, self._clock.now_ms())
        reply = await self._post(
            endpoint,
            _PATH_HAND_OVERS,
            HandOver(self._own, slot, uses),
            _hand_over_reply_decoder,
            LEASE_TIMEOUT_MS,
        )
        return None if reply is None else reply.successor

    def close(self) -> None:
        """Closes connections and cancels exchanges in flight."""
        for task in self._tasks:
            task.cancel()
        self._connections.close()

    # Messages and logs.

    async def _post(
        self,
        endpoint: str,
        path: bytes,
        message: Any,
        decoder: msgspec.msgpack.Decoder[Any],
        timeout_ms: float,
    ) -> Any:
        """Returns a host's answer, or None if there is no valid one."""
        try:
            reply = await self._connections.post(
                endpoint, path, message_codec.encode(message), timeout_ms
            )
        except ConnectionRefusedError:
            self._fleet.record_connection_refused(endpoint)
            return None
        except (OSError, ValueError) as error:
            log.debug("peer %s did not answer: %r", endpoint, error)
            return None
        if (
            isinstance(reply, client.ExchangeFailure)
            or reply.status != _STATUS_OK
        ):
            log.debug("exchange with %s failed: %r", endpoint, reply)
            return None
        try:
            return message_codec.decode(reply.body, decoder)
        except msgspec.DecodeError as error:
            log.warning(
                "quota message of a peer could not be decoded; dropping it",
                extra={"reason": str(error)},
            )
            return None

    def _spawn(self, work: Any) -> None:
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._end_task)

    def _end_task(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            log.error("quota exchange failed", exc_info=task.exception())

    def _undecided(self) -> quota_windows.Decision:
        return quota_windows.undecided(self._rng)

    def _log_shares(self) -> None:
        """Logs who holds what when it has changed."""
        now_ms = self._clock.now_ms()
        for slot in range(quota_keepers.SLOT_COUNT):
            share = self._keeper.held_share(slot, now_ms)
            logged = self._logged_shares[slot]
            if abs(share - logged) >= LOGGED_SHARE_CHANGE or (
                bool(share) != bool(logged)
            ):
                self._logged_shares[slot] = share
                log.info(
                    "quota shares held",
                    extra={
                        "slot": slot,
                        "share": round(share, 3),
                        "roster_revision": self._roster.host_list.revision,
                    },
                )
            holder = self._lender.holder_of(slot, now_ms)
            name = None if holder is None else holder.host
            if name != self._logged_holders[slot]:
                self._logged_holders[slot] = name
                log.info(
                    "own quota share lent" if name else "own quota share free",
                    extra={
                        "slot": slot,
                        "keeper": name,
                        "preferred": self._directory.keeper_of(slot),
                    },
                )

    def _log_usage(self) -> None:
        """Logs what workspaces asked for and got in the last window."""
        now_ms = self._clock.now_ms()
        if now_ms - self._usage_logged_ms < self._terms.window_ms:
            return
        self._usage_logged_ms = now_ms
        used = self._keeper.collect_usage()
        most = sorted(used, key=lambda name: -used[name].asked)
        if most:
            log.info(
                "quota usage",
                extra={
                    "workspaces": len(used),
                    "asked": sum(each.asked for each in used.values()),
                    "allowed": sum(each.allowed for each in used.values()),
                    "most_asked": {
                        name: [
                            used[name].asked,
                            used[name].allowed,
                            used[name].over_quota,
                        ]
                        for name in itertools.islice(
                            most, MAX_LOGGED_WORKSPACES
                        )
                    },
                },
            )

"""Passes whole requests of callers on to a host that can reach upstreams."""

import asyncio
import logging
from typing import Any, NamedTuple

import msgspec

from greengagedale import clocks
from greengagedale import logs
from greengagedale import outcomes
from greengagedale.gateway import caller_handlers
from greengagedale.gateway import calls
from greengagedale.gateway import message_codec
from greengagedale.gateway import metrics as metrics_lib
from greengagedale.gateway import peer_connections
from greengagedale.gateway import regions as regions_lib
from greengagedale.gateway import relay_policy as relay_policy_lib
from greengagedale.gateway import route_config
from greengagedale.http1 import client
from greengagedale.http1 import messages
from greengagedale.http1 import server

log = logging.getLogger(__name__)

# A host that can't be reached in this time is not waited for.
CONNECT_TIMEOUT_MS = 100.0
_PATH = b"/peers/relay"
# Marks an answer for the caller; an answer without it shows that the request
# has not run at that host.
_IS_ANSWER = b"relayed-answer"
_FRAMING = (b"connection", b"content-length", b"keep-alive", _IS_ANSWER)
_STATUS_BAD_REQUEST = 400
_STATUS_UNAVAILABLE = 503
# Room for the headers of a request beside its body, in a message.
_HEADER_ROOM = 2


class RelayedRequest(NamedTuple):
    """A caller's request as passed on between hosts.

    Attributes:
        method: HTTP method.
        target: Path and query.
        headers: All headers, as the caller sent them.
        body: Body without its framing.
        age_ms: Time since it began to arrive.
        origin: Name of the host that the caller sent it to.
    """

    method: bytes
    target: bytes
    headers: messages.Headers
    body: bytes
    age_ms: float
    origin: str


class RelayResult(NamedTuple):
    """What became of a request that was passed on to one host.

    Attributes:
        name: Name of the result in logs and metrics.
        outcome: The response for the caller, or that the request may have run;
            None if it has not run.
    """

    name: str
    outcome: messages.Response | outcomes.Unknown | None


_decoder = msgspec.msgpack.Decoder(RelayedRequest)


class RelayClient(caller_handlers.Relay):
    """Passes requests on while this host can reach no upstream."""

    def __init__(
        self,
        own_name: str,
        policy: relay_policy_lib.RelayPolicy,
        reply_limits: client.ReplyLimits,
        metrics: metrics_lib.Metrics,
        request_log: logs.RequestLog,
        clock: clocks.Clock,
    ) -> None:
        self._own_name = own_name
        self._policy = policy
        self._connections = peer_connections.PeerConnections(reply_limits)
        self._metrics = metrics
        self._request_log = request_log
        self._clock = clock

    async def forward(
        self,
        call: calls.Call,
        route: route_config.Route,
        allowed: regions_lib.AllowedRegions,
    ) -> messages.Response | outcomes.Unknown | None:
        """Passes a request on if this host should not run it itself."""
        for peer in self._policy.peers(allowed):
            reply = await self._exchange(
                call, route, peer.address.peer_endpoint
            )
            result = _result_of(reply)
            self._record(call, route, peer.name, result, reply)
            if result.outcome is not None:
                return result.outcome
        return None

    def close(self) -> None:
        """Closes all idle connections."""
        self._connections.close()

    async def _exchange(
        self, call: calls.Call, route: route_config.Route, endpoint: str
    ) -> messages.Reply | client.ExchangeFailure:
        now_ms = self._clock.now_ms()
        age_ms = now_ms - call.received_ms
        timeout_ms = route.timeout_ms - age_ms
        if call.deadline_ms is not None:
            timeout_ms = min(timeout_ms, call.deadline_ms - now_ms)
        message = call.message
        return await self._connections.exchange(
            endpoint,
            _PATH,
            message_codec.encode(
                RelayedRequest(
                    message.method,
                    message.target,
                    message.headers,
                    message.body,
                    age_ms,
                    self._own_name,
                )
            ),
            CONNECT_TIMEOUT_MS,
            timeout_ms,
            # A kept connection may turn out to be closed, which leaves open
            # whether the request has run.
            may_reuse=route.is_idempotent,
        )

    def _record(
        self,
        call: calls.Call,
        route: route_config.Route,
        peer: str,
        result: RelayResult,
        reply: messages.Reply | client.ExchangeFailure,
    ) -> None:
        self._metrics.relayed_requests.inc("sent", result.name)
        self._request_log.write(
            "request passed on",
            request_id=call.request_id,
            route=route.name,
            peer=peer,
            result=result.name,
            detail=str(getattr(reply, "status", reply)),
            took_ms=round(self._clock.now_ms() - call.received_ms, 1),
        )


class RelayHandler(server.Handler):
    """Runs requests that other hosts pass on; hands other requests on."""

    def __init__(
        self,
        edge: caller_handlers.CallerHandler,
        policy: relay_policy_lib.RelayPolicy,
        other_requests: server.Handler,
        background: set[asyncio.Task[Any]],
        metrics: metrics_lib.Metrics,
    ) -> None:
        """Initializes the handler.

        Args:
            edge: Handler of callers' requests.
            policy: Whether this host can run requests.
            other_requests: Handler of other requests of hosts.
            background: Holds what must end before the process does.
            metrics: Metrics of the process.
        """
        self._edge = edge
        self._policy = policy
        self._other_requests = other_requests
        self._background = background
        self._metrics = metrics

    def limits(self) -> server.Limits:
        """Returns limits that leave room for the largest request."""
        limits = self._other_requests.limits()
        edge = self._edge.limits()
        needed = edge.max_body_bytes + _HEADER_ROOM * edge.max_header_bytes
        return limits._replace(
            max_body_bytes=max(limits.max_body_bytes, needed)
        )

    async def handle(self, request: messages.Request) -> messages.Response:
        """Answers a request of another host."""
        if request.target != _PATH:
            return await self._other_requests.handle(request)
        try:
            relayed = message_codec.decode(request.body, _decoder)
        except msgspec.DecodeError as error:
            log.warning(
                "request passed on by a peer could not be decoded; refusing it",
                extra={"reason": str(error)},
            )
            return messages.Response(_STATUS_BAD_REQUEST)
        if self._edge.is_refusing or not self._policy.can_take_requests:
            self._metrics.relayed_requests.inc("received", "sent back")
            return messages.Response(_STATUS_UNAVAILABLE)
        self._metrics.relayed_requests.inc("received", "run")
        task = asyncio.current_task()
        assert task is not None
        self._background.add(task)
        try:
            response = await self._edge.handle_relayed(
                messages.Request(
                    relayed.method,
                    relayed.target,
                    relayed.headers,
                    relayed.body,
                    request.received_ms - relayed.age_ms,
                ),
                relayed.origin,
            )
        finally:
            self._background.discard(task)
        return response._replace(
            headers=(*response.headers, (_IS_ANSWER, b"1"))
        )


def _result_of(reply: messages.Reply | client.ExchangeFailure) -> RelayResult:
    """Returns what a host's reply says of a request."""
    if isinstance(reply, client.ExchangeFailure):
        if reply.sent:
            return RelayResult(
                "unknown", outcomes.Unknown(outcomes.Reason.REPLY_LOST)
            )
        return RelayResult("not run", None)
    if reply.header(_IS_ANSWER) is None:
        return RelayResult("not run", None)
    headers = tuple(
        header for header in reply.headers if header[0] not in _FRAMING
    )
    return RelayResult(
        "answered", messages.Response(reply.status, headers, reply.body)
    )

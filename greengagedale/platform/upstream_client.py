"""Client that sends attempts to upstreams on this platform."""

from collections.abc import Callable

from greengagedale import clocks
from greengagedale import descriptors
from greengagedale import logs
from greengagedale import outcomes
from greengagedale.gateway import authorization
from greengagedale.gateway import calls
from greengagedale.gateway import connection_pools as pools_lib
from greengagedale.gateway import upstream_entries
from greengagedale.gateway import upstream_limits as limits_lib
from greengagedale.gateway import upstream_notices as notices_lib
from greengagedale.http1 import client
from greengagedale.http1 import messages
from greengagedale.platform import upstream_codec

# Maximum age of a reused connection for a request that must not run twice.
# Such a request can't be retried if its connection turns out to be closed, so
# only connections that were used very recently are reused for it.
_MAX_REUSE_AGE_MS = 1000.0
_ANY_AGE_MS = float("inf")
_SHORTAGE_LINES_PER_S = 5


class PlatformUpstreamClient(calls.UpstreamClient):
    """Sends attempts over HTTP/1.1, one at a time on each connection."""

    def __init__(
        self,
        pools: pools_lib.ConnectionPools,
        notices: notices_lib.UpstreamNotices,
        limits: limits_lib.UpstreamLimits,
        max_connections: Callable[[upstream_entries.Upstream], int],
        authorizer: authorization.Authorizer,
        clock: clocks.Clock,
    ) -> None:
        """Initializes the client.

        Args:
            pools: Connection pools of all upstreams.
            notices: Receives the notices that upstreams send with answers.
            limits: Limits what this host may send to upstreams.
            max_connections: Returns the maximum number of connections from
                this host to an upstream.
            authorizer: Decides whether a caller's requests may still be sent.
            clock: Clock of the process.
        """
        self._pools = pools
        self._notices = notices
        self._limits = limits
        self._max_connections = max_connections
        self._authorizer = authorizer
        self._clock = clock
        self._shortage_log = logs.RequestLog(clock, _SHORTAGE_LINES_PER_S)

    async def send(
        self, attempt: calls.Attempt
    ) -> calls.Answer | outcomes.AttemptFailure:
        """Sends an attempt and returns its answer or failure."""
        upstream = attempt.upstream
        pool = self._pools.get(upstream, self._max_connections(upstream))
        max_age_ms = _ANY_AGE_MS if attempt.is_idempotent else _MAX_REUSE_AGE_MS
        try:
            connection = await pool.acquire(
                max_age_ms, attempt.earlier_connections
            )
        except pools_lib.UpstreamNotAcceptingError:
            return _unsent_failure(outcomes.Reason.DRAINING)
        except OSError as error:
            if descriptors.is_shortage(error):
                self._log_shortage(error)
                return _unsent_failure(outcomes.Reason.HOST_EXHAUSTED)
            self._limits.observe_unreachable(upstream)
            return _unsent_failure(outcomes.Reason.CONNECT_FAILED)
        # Connecting may have taken long, or the process may have stalled.
        remaining_ms = attempt.deadline_ms - self._clock.now_ms()
        if remaining_ms <= 0.0:
            pool.release(connection)
            return _unsent_failure(outcomes.Reason.DEADLINE)
        refusal = self._authorizer.send_refusal(attempt.call)
        if refusal is not None:
            pool.release(connection)
            return _unsent_failure(refusal)
        end_permit = self._limits.try_send(upstream)
        if isinstance(end_permit, outcomes.Reason):
            pool.release(connection)
            return _unsent_failure(end_permit)
        attempt.earlier_connections.add(connection)
        is_first = connection.is_new
        sent_ms = self._clock.now_ms()
        try:
            reply = await connection.exchange(
                upstream_codec.encode_attempt(attempt, remaining_ms),
                lambda reply: self._accept(attempt, reply, sent_ms),
                attempt.call.message.method == b"HEAD",
            )
            if isinstance(reply, messages.Reply):
                _apply_keep_alive(connection, reply)
                if not is_first and not upstream_codec.has_request_id(reply):
                    # This may be a copy of an earlier answer, and the answer
                    # to this attempt may still arrive.
                    connection.close()
                    return outcomes.AttemptFailure(
                        outcomes.Reason.REPLY_LOST, written=True, refused=False
                    )
        finally:
            end_permit()
            pool.release(connection)
        if isinstance(reply, client.ExchangeFailure):
            return outcomes.AttemptFailure(
                outcomes.Reason.REPLY_LOST, written=reply.sent, refused=False
            )
        return upstream_codec.decode_answer(attempt.call, reply)

    def _log_shortage(self, error: OSError) -> None:
        self._shortage_log.write(
            "no connection could be opened for lack of descriptors or memory; "
            "the upstream is not blamed",
            reason=repr(error),
        )

    def _accept(
        self, attempt: calls.Attempt, reply: messages.Reply, sent_ms: float
    ) -> bool:
        """Records an answer's notice and checks that it is to this attempt."""
        notice = upstream_codec.decode_notice(reply)
        self._notices.observe(attempt.upstream, notice)
        is_match = upstream_codec.may_match_request(attempt.call, reply)
        if not is_match:
            notice = notice._replace(limit_per_s=None)
        self._limits.observe(attempt.upstream, notice, sent_ms)
        return is_match


def _unsent_failure(reason: outcomes.Reason) -> outcomes.AttemptFailure:
    return outcomes.AttemptFailure(reason, written=False, refused=False)


def _apply_keep_alive(
    connection: client.Connection, reply: messages.Reply
) -> None:
    keep_alive_ms = upstream_codec.decode_keep_alive(reply)
    if keep_alive_ms is not None:
        connection.keep_alive_ms = keep_alive_ms

"""Forwards actions to the one host that may run their key."""

from greengagedale import action_dispatch
from greengagedale import action_execution
from greengagedale import clocks
from greengagedale import host_directory as directory_lib
from greengagedale import outcomes
from greengagedale import request_records
from greengagedale.idempotency import tickets
from greengagedale.peers import base as peers_base
from greengagedale.peers import forwarded_results


class PeerForwarder(action_execution.ActionForwarder):
    """Forwards actions to other hosts over the peer transport."""

    def __init__(
        self,
        directory: directory_lib.HostDirectory,
        peers: peers_base.PeerTransport,
        clock: clocks.Clock,
    ) -> None:
        self._directory = directory
        self._peers = peers
        self._clock = clock

    async def forward(
        self,
        issuer: tickets.Issuer,
        request: action_dispatch.ActionRequest,
        trace: request_records.RequestTrace,
    ) -> outcomes.Outcome:
        """Forwards a request to the issuer and returns its outcome.

        Returns:
            The outcome reported by the issuer; `Unknown` if the issuer is gone,
            can't be reached or the deadline has passed.
        """
        endpoint = self._directory.peer_endpoint_of(issuer.host)
        remaining_ms = request.deadline_ms - self._clock.now_ms()
        if self._has_new_incarnation(issuer):
            return outcomes.Unknown(outcomes.Reason.ISSUER_GONE)
        if endpoint is None:
            return outcomes.Unknown(outcomes.Reason.ISSUER_UNREACHABLE)
        if remaining_ms <= 0:
            return outcomes.Unknown(outcomes.Reason.DEADLINE)
        requested_ms = trace.elapsed_ms()
        result = await self._peers.act(
            endpoint, _forwarded_action(issuer, request, remaining_ms)
        )
        if result is None:
            return outcomes.Unknown(outcomes.Reason.ISSUER_UNREACHABLE)
        trace.add_remote_events(result.events, requested_ms)
        return forwarded_results.to_outcome(result)

    def _has_new_incarnation(self, issuer: tickets.Issuer) -> bool:
        """Returns whether the host is known to run as another incarnation."""
        return any(
            status.name == issuer.host
            and status.incarnation != issuer.incarnation
            for status in self._directory.healthy_hosts.values()
        )


def _forwarded_action(
    issuer: tickets.Issuer,
    request: action_dispatch.ActionRequest,
    remaining_ms: float,
) -> peers_base.ForwardedAction:
    return peers_base.ForwardedAction(
        issuer.incarnation,
        request.request_id,
        request.key,
        request.workspace,
        request.member,
        request.service,
        request.target,
        request.body,
        remaining_ms,
    )

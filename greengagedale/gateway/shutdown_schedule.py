"""Decides what a host that is shutting down still accepts, and until when.

Answers the load of a planned stop: callers have cached the host's address and
use open connections, so that requests arrive until the process ends. Whatever
is accepted has to be answered before that. A request that may run once can't be
retried after an answer that leaves its outcome open, so it is accepted only if
all the time that it may take fits. A request that may be repeated is accepted
if it can be answered within the route's target latency; if it then takes
longer, its caller can still repeat it elsewhere.
"""

from typing import NamedTuple, Self

from greengagedale.gateway import calls
from greengagedale.gateway import route_config

# Share of the grace time in which new requests are accepted at all, as callers
# cache addresses for a while. Later requests are refused and go to other hosts.
ACCEPTING_SHARE = 0.55
# Share of the grace time between the last answer that is due and the exit.
ANSWERED_MARGIN_SHARE = 0.03
# Ending the interpreter takes up to this long on a busy machine.
EXIT_MARGIN_MS = 300.0
# Share of a short grace time that is kept for it.
MAX_EXIT_MARGIN_SHARE = 0.2
_MS_PER_S = 1000.0


class ShutdownSchedule(NamedTuple):
    """Times of one shutdown, in ms by the clock of the process.

    Attributes:
        accept_until_ms: When the last request is accepted.
        answer_by_ms: When each accepted request has an answer.
        exit_by_ms: When the process exits.
    """

    accept_until_ms: float
    answer_by_ms: float
    exit_by_ms: float

    @classmethod
    def from_config(cls, grace_s: float, now_ms: float) -> Self:
        """Makes the schedule of a shutdown that begins now.

        Args:
            grace_s: Time in s until the process is killed.
            now_ms: Current time.
        """
        grace_ms = grace_s * _MS_PER_S
        exit_after_ms = grace_ms - min(
            EXIT_MARGIN_MS, MAX_EXIT_MARGIN_SHARE * grace_ms
        )
        return cls(
            now_ms + ACCEPTING_SHARE * grace_ms,
            now_ms + exit_after_ms - ANSWERED_MARGIN_SHARE * grace_ms,
            now_ms + exit_after_ms,
        )

    def may_accept(
        self, call: calls.Call, route: route_config.Route, now_ms: float
    ) -> bool:
        """Returns whether a request can be answered before the process ends.

        Args:
            call: The request.
            route: Its route.
            now_ms: Current time.
        """
        if now_ms > self.accept_until_ms:
            return False
        needed_until_ms = call.received_ms + route.timeout_ms
        if call.deadline_ms is not None:
            needed_until_ms = min(needed_until_ms, call.deadline_ms)
        if route.is_idempotent:
            needed_until_ms = min(
                needed_until_ms, now_ms + route.target_latency_ms
            )
        return needed_until_ms <= self.answer_by_ms

    def shortened(
        self, call: calls.Call, route: route_config.Route
    ) -> route_config.Route:
        """Returns a route whose timeout ends when answers are due.

        Args:
            call: The accepted request.
            route: Its route.
        """
        left_ms = self.answer_by_ms - call.received_ms
        return route._replace(timeout_ms=min(route.timeout_ms, left_ms))

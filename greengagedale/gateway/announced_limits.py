"""Limits on requests that upstreams announce in their answers.

An upstream in need announces how many requests per second it takes from all
hosts together. The limit holds until one of its answers announces none.

The limit becomes a bound of whole requests in a window, of which each host has
its part (see `host_parts`), and a token is used for one attempt and returns one
window after that attempt can no longer arrive (`retry.window_budget`). From the
time at which the hosts that send to the upstream have heard of the limit, it
thus gets no more than the bound in any window, whatever the number and order of
their processes: a new process waits for a window before it uses its part.

Hosts that disagree on the limit, as they have not heard of its last change,
exceed the higher value by nothing, since a lower bound increases no part. Each
request that they send tells them the present value.

A host without a part sends nothing and hears nothing, so hosts pass on what
upstreams announce where there are more hosts than whole requests. One that
hears of nobody who sends to the upstream probes it with single requests, one
host after the other; these come on top of the bound.

What is not covered: requests of hosts that have not heard of the limit yet.
"""

from collections.abc import Collection, Iterable, Mapping
import logging
import math
from typing import NamedTuple

from greengagedale import clocks
from greengagedale import outcomes
from greengagedale.gateway import host_parts
from greengagedale.gateway import metrics as metrics_lib
from greengagedale.gateway import roster as roster_lib
from greengagedale.gateway import send_limit
from greengagedale.gateway import upstream_entries
from greengagedale.retry import window_budget

log = logging.getLogger(__name__)

# What an answer announces that names no limit.
UNLIMITED = math.inf
# The bound holds in any window of this length, or in the time of one request if
# that is longer.
WINDOW_MS = 2000.0
# An upstream that takes less than this still gets as much, as hosts hear from
# its answers alone that it takes more again.
MIN_LIMIT_PER_S = 0.05
# While a limit holds, what this host sent is logged at this interval.
REPORT_INTERVAL_MS = 2000.0
# A limit is passed on to other hosts for this long after it was announced.
SHARE_FOR_MS = 3000.0
# Limits passed on in one exchange; the latest are.
MAX_SHARED = 16
# A host without a part that has heard nothing of the upstream for this long
# sends it one request to find out whether the limit still holds.
PROBE_AFTER_MS = 10_000.0
# The end of a limit is remembered for this long, so that a late copy of the
# announcement does not renew it.
RETENTION_MS = 10_000.0
_MS_PER_S = 1000.0


class LimitObservation(NamedTuple):
    """What an upstream has announced, as hosts tell each other.

    Attributes:
        name: Name of the upstream.
        born_ms: Start time of its incarnation.
        limit_per_s: The limit, or `UNLIMITED`.
        age_ms: Time since it was announced.
    """

    name: str
    born_ms: int
    limit_per_s: float
    age_ms: int


class _Limited:
    """What one incarnation of an upstream has announced.

    Attributes:
        upstream: The upstream.
        limit_per_s: The limit, or `UNLIMITED` if it has ended.
        observed_ms: Time at which it was announced.
        bound: Requests that all hosts may send in a window.
        window_ms: Length of the window.
        part: How many of them this host may send.
        budget: The tokens of this host; None if the limit has ended.
        probed_ms: Time of the last probe.
        sent_count: Requests sent since the last report.
        withheld_count: Choices without this upstream since the last report.
        reported_ms: Time of the last report.
    """

    def __init__(
        self, upstream: upstream_entries.Upstream, now_ms: float
    ) -> None:
        self.upstream = upstream
        self.limit_per_s = UNLIMITED
        self.observed_ms = float("-inf")
        self.bound = 0
        self.window_ms = WINDOW_MS
        self.part = 0
        self.budget: window_budget.WindowBudget | None = None
        self.probed_ms = float("-inf")
        self.sent_count = 0
        self.withheld_count = 0
        self.reported_ms = now_ms


class AnnouncedLimits(send_limit.SendLimit):
    """Divides the limits that upstreams announce among the listed hosts."""

    def __init__(
        self,
        own_name: str,
        roster: roster_lib.Roster,
        metrics: metrics_lib.Metrics,
        clock: clocks.Clock,
    ) -> None:
        self._parts = host_parts.HostParts(own_name, roster, clock)
        self._metrics = metrics
        self._clock = clock
        self._limited: dict[upstream_entries.UpstreamIncarnation, _Limited] = {}
        self._told_count = 0

    @property
    def reason(self) -> outcomes.Reason:
        """Why upstreams are withheld."""
        return outcomes.Reason.UPSTREAM_LIMIT

    def available(
        self, upstreams: list[upstream_entries.Upstream]
    ) -> list[upstream_entries.Upstream]:
        """Returns the given upstreams that this host may send to now."""
        if not self._limited:
            return upstreams
        now_ms = self._clock.now_ms()
        found = []
        for upstream in upstreams:
            limited = self._find(upstream, now_ms)
            if limited is None or self._has_room(limited, now_ms):
                found.append(upstream)
                continue
            limited.withheld_count += 1
            self._metrics.limit_choices.inc(upstream.service, "withheld")
            self._report_if_due(limited, now_ms)
        return found

    def without_limit(
        self, upstreams: list[upstream_entries.Upstream]
    ) -> list[upstream_entries.Upstream]:
        """Returns the given upstreams that announce no limit."""
        if not self._limited:
            return upstreams
        now_ms = self._clock.now_ms()
        return [each for each in upstreams if self._find(each, now_ms) is None]

    def available_in_ms(
        self, upstreams: list[upstream_entries.Upstream]
    ) -> float:
        """Returns the time until this host may send to one, or infinity.

        Consecutive calls return the times of different tokens.
        """
        now_ms = self._clock.now_ms()
        self._told_count += 1
        return min(
            (self._wait_ms(each, now_ms) for each in upstreams),
            default=math.inf,
        )

    def try_send(
        self, upstream: upstream_entries.Upstream
    ) -> send_limit.EndPermit | None:
        """Returns a permit to send one request now, or None."""
        now_ms = self._clock.now_ms()
        limited = self._find(upstream, now_ms)
        if limited is None or limited.budget is None:
            return send_limit.no_permit_to_end
        if self._may_probe(limited, now_ms):
            limited.probed_ms = now_ms
            self._metrics.limit_choices.inc(upstream.service, "probe")
            self._log("probing an upstream with a limit", limited, "")
            return send_limit.no_permit_to_end
        budget = limited.budget
        if not budget.try_withdraw(now_ms):
            self._metrics.limit_choices.inc(upstream.service, "refused")
            return None
        limited.sent_count += 1
        self._metrics.limit_choices.inc(upstream.service, "sent")
        self._report_if_due(limited, now_ms)

        def end() -> None:
            budget.on_attempt_end(
                self._clock.now_ms() + host_parts.IN_TRANSIT_MS
            )

        return end

    def observe(
        self,
        upstream: upstream_entries.Upstream,
        limit_per_s: float,
        sent_ms: float,
    ) -> None:
        """Records what an answer announces.

        Args:
            upstream: The upstream that answered.
            limit_per_s: The limit in requests per second, or `UNLIMITED`.
            sent_ms: Time at which the request was sent.
        """
        limited = self._limited.get(upstream.incarnation)
        if limit_per_s == UNLIMITED and (
            # Answers to earlier requests may be older than the announcement.
            limited is None or sent_ms <= limited.observed_ms
        ):
            return
        self._apply(upstream, limit_per_s, self._clock.now_ms(), "answer")

    def observations(self) -> list[LimitObservation]:
        """Returns what other hosts may not hear from the upstreams."""
        now_ms = self._clock.now_ms()
        host_count = len(self._parts.host_list.hosts)
        shared = (
            limited
            for limited in self._limited.values()
            if limited.bound < host_count
            and now_ms - limited.observed_ms <= SHARE_FOR_MS
        )
        latest = sorted(shared, key=lambda limited: -limited.observed_ms)
        return [
            LimitObservation(
                *limited.upstream.incarnation,
                limited.limit_per_s,
                int(now_ms - limited.observed_ms),
            )
            for limited in latest[:MAX_SHARED]
        ]

    def merge(
        self,
        observations: Iterable[LimitObservation],
        upstreams: Mapping[str, upstream_entries.Upstream],
    ) -> None:
        """Applies what another host has told, where it is newer."""
        now_ms = self._clock.now_ms()
        for observation in observations:
            upstream = upstreams.get(observation.name)
            if upstream is None or upstream.born_ms != observation.born_ms:
                continue
            observed_ms = now_ms - max(0, observation.age_ms)
            limited = self._limited.get(upstream.incarnation)
            if limited is None or observed_ms > limited.observed_ms:
                self._apply(
                    upstream, observation.limit_per_s, observed_ms, "peer"
                )

    def retain_only(
        self, incarnations: Collection[upstream_entries.UpstreamIncarnation]
    ) -> None:
        """Discards the state of all other upstreams, and of ended limits."""
        now_ms = self._clock.now_ms()
        self._follow_host_list(now_ms)
        oldest_ms = now_ms - RETENTION_MS
        self._limited = {
            incarnation: limited
            for incarnation, limited in self._limited.items()
            if incarnation in incarnations
            and (limited.budget is not None or limited.observed_ms > oldest_ms)
        }

    def _find(
        self, upstream: upstream_entries.Upstream, now_ms: float
    ) -> _Limited | None:
        """Returns the state of an upstream that is limited, or None."""
        limited = self._limited.get(upstream.incarnation)
        if limited is None or limited.budget is None:
            return None
        self._follow_host_list(now_ms)
        return limited

    def _has_room(self, limited: _Limited, now_ms: float) -> bool:
        budget = limited.budget
        return (
            budget is None
            or budget.available(now_ms) >= 1.0
            or self._may_probe(limited, now_ms)
        )

    def _may_probe(self, limited: _Limited, now_ms: float) -> bool:
        return limited.part == 0 and now_ms >= self._probe_ms(limited)

    def _probe_ms(self, limited: _Limited) -> float:
        """Returns when a host without a part may probe; hosts take turns."""
        since_ms = max(limited.observed_ms, limited.probed_ms)
        turn = self._parts.rank(limited.upstream.name)
        return since_ms + PROBE_AFTER_MS + limited.window_ms * (1 + turn)

    def _apply(
        self,
        upstream: upstream_entries.Upstream,
        limit_per_s: float,
        observed_ms: float,
        source: str,
    ) -> None:
        now_ms = self._clock.now_ms()
        self._follow_host_list(now_ms)
        limited = self._limited.get(upstream.incarnation)
        if limited is None:
            limited = _Limited(upstream, now_ms)
            self._limited[upstream.incarnation] = limited
            spent_ms = self._parts.spent_until_ms
        else:
            # What was sent since the limit ended counts as well.
            spent_ms = now_ms
        limited.observed_ms = observed_ms
        if limit_per_s == UNLIMITED:
            if limited.budget is not None:
                self._end(limited, source)
            return
        limit_per_s = max(MIN_LIMIT_PER_S, limit_per_s)
        if limited.budget is not None and limited.limit_per_s == limit_per_s:
            return
        is_new = limited.budget is None
        window_ms = max(WINDOW_MS, _MS_PER_S / limit_per_s)
        limited.bound = max(1, int(limit_per_s * window_ms / _MS_PER_S))
        limited.part = self._parts.part(upstream.name, limited.bound)
        if limited.budget is None or limited.window_ms != window_ms:
            limited.window_ms = window_ms
            limited.budget = window_budget.WindowBudget(
                window_ms, 0.0, float(limited.part), spent_ms
            )
        else:
            limited.budget.set_share(float(limited.part), now_ms)
        limited.limit_per_s = limit_per_s
        if is_new:
            self._log("upstream announces a limit", limited, source)
        else:
            self._report_if_due(limited, now_ms)

    def _end(self, limited: _Limited, source: str) -> None:
        self._log("upstream announces no limit", limited, source)
        limited.budget = None
        limited.limit_per_s = UNLIMITED

    def _follow_host_list(self, now_ms: float) -> None:
        """Applies changed parts to the budgets."""
        if not self._parts.follow(now_ms):
            return
        for limited in self._limited.values():
            limited.part = self._parts.part(
                limited.upstream.name, limited.bound
            )
            if limited.budget is not None:
                limited.budget.set_share(float(limited.part), now_ms)

    def _wait_ms(
        self, upstream: upstream_entries.Upstream, now_ms: float
    ) -> float:
        limited = self._find(upstream, now_ms)
        if limited is None or limited.budget is None:
            return 0.0
        if self._has_room(limited, now_ms):
            return 0.0
        if limited.part == 0:
            return math.inf
        returns_ms = limited.budget.returns_ms()
        if not returns_ms:
            return limited.window_ms
        return returns_ms[self._told_count % len(returns_ms)] - now_ms

    def _report_if_due(self, limited: _Limited, now_ms: float) -> None:
        if now_ms - limited.reported_ms >= REPORT_INTERVAL_MS:
            self._log("requests to an upstream with a limit", limited, "")

    def _log(self, message: str, limited: _Limited, source: str) -> None:
        now_ms = self._clock.now_ms()
        log.info(
            message,
            extra={
                "upstream": limited.upstream.name,
                "service": limited.upstream.service,
                "source": source,
                "limit_per_s": limited.limit_per_s,
                "bound": limited.bound,
                "window_ms": round(limited.window_ms),
                "part": limited.part,
                "roster_revision": self._parts.host_list.revision,
                "sent": limited.sent_count,
                "withheld": limited.withheld_count,
                "within_ms": round(now_ms - limited.reported_ms),
            },
        )
        limited.sent_count = 0
        limited.withheld_count = 0
        limited.reported_ms = now_ms

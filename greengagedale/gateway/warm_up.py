"""Limits what upstreams get from all hosts together while they warm up.

In any second, an upstream that warms up may get a bounded number of requests
from all hosts, including hosts that are cut off. The bound is a whole number of
requests, of which each host has its part (see `host_parts`).

Over time, a token is used for one attempt and returns one second after that
attempt can no longer arrive (`retry.window_budget`). A part that is added, or
that an earlier process of the host may have used, is available a second later.

What is not covered: requests that arrive before this host learns that the
upstream has become cold.
"""

import abc
from collections.abc import Callable, Collection, Mapping
import logging
import math
from typing import NamedTuple, Self

from greengagedale import clocks
from greengagedale import outcomes
from greengagedale.config import gateway as config
from greengagedale.gateway import host_parts
from greengagedale.gateway import metrics as metrics_lib
from greengagedale.gateway import roster as roster_lib
from greengagedale.gateway import send_limit
from greengagedale.gateway import upstream_entries
from greengagedale.retry import window_budget

log = logging.getLogger(__name__)

# The bound holds in any window of this length.
WINDOW_MS = 1000.0
# An upstream that may have restarted or cooled down unseen is treated as cold
# for this long: its next entry is written within about 1.2 s and reaches all
# hosts within another second.
UNCONFIRMED_MS = 3000.0


class WarmUpLimit(send_limit.SendLimit):
    """Decides which upstreams may get another request while they warm up."""

    @abc.abstractmethod
    def observe(
        self, upstream: upstream_entries.Upstream, warm_up_ms: float
    ) -> None:
        """Records that an upstream says how long it still warms up."""

    @abc.abstractmethod
    def observe_unreachable(self, upstream: upstream_entries.Upstream) -> None:
        """Records that an upstream refused a connection: it may restart."""

    @abc.abstractmethod
    def observe_evacuations(
        self, began: frozenset[str], ended: frozenset[str]
    ) -> None:
        """Records changed evacuations: upstreams taken back may be cold."""


class _Warming(NamedTuple):
    service: str
    until_ms: float
    budget: window_budget.WindowBudget


class SharedWarmUpLimit(WarmUpLimit):
    """Divides the bound of each upstream among the listed hosts."""

    def __init__(
        self,
        own_name: str,
        roster: roster_lib.Roster,
        rates: Callable[[], Mapping[str, float]],
        overage: float,
        slack: float,
        metrics: metrics_lib.Metrics,
        clock: clocks.Clock,
    ) -> None:
        """Makes the limit of a new process.

        Args:
            own_name: Name of this host.
            roster: The host list, and whether this host has a share.
            rates: Returns the requests per second that a warming upstream
                accepts, by service; services without a limit are left out.
            overage: Factor of the rate.
            slack: Requests per second in addition.
            metrics: Metrics of the process.
            clock: Clock of the process.
        """
        self._parts = host_parts.HostParts(own_name, roster, clock)
        self._rates = rates
        self._overage = overage
        self._slack = slack
        self._metrics = metrics
        self._clock = clock
        self._warming: dict[upstream_entries.UpstreamIncarnation, _Warming] = {}
        # Latest entries that were taken into account, by their sequence.
        self._sequences: dict[upstream_entries.UpstreamIncarnation, int] = {}
        # Times until which requests of this host may arrive, by name: they may
        # reach a later incarnation.
        self._sent_until_ms: dict[str, float] = {}
        self._unconfirmed_until_ms: dict[str, float] = {}

    @property
    def reason(self) -> outcomes.Reason:
        """Why upstreams are withheld."""
        return outcomes.Reason.WARMING_UP

    @classmethod
    def from_config(
        cls,
        settings: config.GatewaySettings,
        roster: roster_lib.Roster,
        rates: Callable[[], Mapping[str, float]],
        metrics: metrics_lib.Metrics,
        clock: clocks.Clock,
    ) -> Self:
        """Makes the limit that the settings describe."""
        warm_up = settings.warm_up
        return cls(
            settings.host.name,
            roster,
            rates,
            warm_up.overage,
            warm_up.slack,
            metrics,
            clock,
        )

    def available(
        self, upstreams: list[upstream_entries.Upstream]
    ) -> list[upstream_entries.Upstream]:
        """Returns the given upstreams that this host may send to now."""
        if not self._rates():
            return upstreams
        now_ms = self._clock.now_ms()
        found = [each for each in upstreams if self._has_room(each, now_ms)]
        if len(found) < len(upstreams):
            self._metrics.warm_up_choices.inc(upstreams[0].service, "withheld")
        return found

    def available_in_ms(
        self, upstreams: list[upstream_entries.Upstream]
    ) -> float:
        """Returns the time until this host may send to one, or infinity."""
        if not self._rates():
            return 0.0
        now_ms = self._clock.now_ms()
        if any(self._has_room(each, now_ms) for each in upstreams):
            return 0.0
        ends_ms = (
            max(0.0, warming.until_ms - now_ms)
            for each in upstreams
            if (warming := self._warming.get(each.incarnation)) is not None
        )
        # A spent token returns within a window unless its attempt still runs.
        return min((min(WINDOW_MS, end) for end in ends_ms), default=math.inf)

    def try_send(
        self, upstream: upstream_entries.Upstream
    ) -> send_limit.EndPermit | None:
        """Returns a permit to send one request now, or None."""
        if upstream.service not in self._rates():
            return send_limit.no_permit_to_end
        now_ms = self._clock.now_ms()
        warming = self._find(upstream, now_ms)
        if warming is not None and not warming.budget.try_withdraw(now_ms):
            self._metrics.warm_up_choices.inc(upstream.service, "refused")
            return None

        def end() -> None:
            arrived_ms = self._clock.now_ms() + host_parts.IN_TRANSIT_MS
            self._sent_until_ms[upstream.name] = arrived_ms
            if warming is not None:
                warming.budget.on_attempt_end(arrived_ms)

        self._sent_until_ms[upstream.name] = now_ms + host_parts.IN_TRANSIT_MS
        if warming is not None:
            self._metrics.warm_up_choices.inc(upstream.service, "sent")
        return end

    def observe(
        self, upstream: upstream_entries.Upstream, warm_up_ms: float
    ) -> None:
        """Records that an upstream says how long it still warms up."""
        self._extend(upstream, warm_up_ms, "answer")

    def observe_unreachable(self, upstream: upstream_entries.Upstream) -> None:
        """Records that an upstream refused a connection: it may restart."""
        self._extend(upstream, UNCONFIRMED_MS, "unreachable")

    def observe_evacuations(
        self, began: frozenset[str], ended: frozenset[str]
    ) -> None:
        """Records changed evacuations: upstreams taken back may be cold."""
        del began
        until_ms = self._clock.now_ms() + UNCONFIRMED_MS
        self._unconfirmed_until_ms |= dict.fromkeys(ended, until_ms)

    def retain_only(
        self, incarnations: Collection[upstream_entries.UpstreamIncarnation]
    ) -> None:
        """Discards the state of all other upstreams."""
        now_ms = self._clock.now_ms()
        names = {name for name, _ in incarnations}
        self._warming = {
            incarnation: warming
            for incarnation, warming in self._warming.items()
            if incarnation in incarnations and warming.until_ms > now_ms
        }
        self._sequences = {
            incarnation: sequence
            for incarnation, sequence in self._sequences.items()
            if incarnation in incarnations
        }
        self._sent_until_ms = {
            name: until_ms
            for name, until_ms in self._sent_until_ms.items()
            if name in names
        }

    def _has_room(
        self, upstream: upstream_entries.Upstream, now_ms: float
    ) -> bool:
        warming = self._find(upstream, now_ms)
        return warming is None or warming.budget.available(now_ms) >= 1.0

    def _find(
        self, upstream: upstream_entries.Upstream, now_ms: float
    ) -> _Warming | None:
        """Returns the state of an upstream that warms up, or None."""
        if upstream.service not in self._rates():
            return None
        self._follow_host_list(now_ms)
        incarnation = upstream.incarnation
        if upstream.sequence > self._sequences.get(incarnation, -1):
            self._sequences[incarnation] = upstream.sequence
            if upstream.warm_up_ms > 0.0:
                self._extend(upstream, upstream.warm_up_ms, "entry")
        until_ms = self._unconfirmed_until_ms.get(upstream.data_centre, now_ms)
        if until_ms > now_ms:
            self._extend(upstream, until_ms - now_ms, "evacuation ended")
        warming = self._warming.get(incarnation)
        if warming is None or warming.until_ms <= now_ms:
            return None
        return warming

    def _extend(
        self,
        upstream: upstream_entries.Upstream,
        warm_up_ms: float,
        source: str,
    ) -> None:
        """Records that an upstream warms up for at least this long."""
        if upstream.service not in self._rates() or warm_up_ms <= 0.0:
            return
        now_ms = self._clock.now_ms()
        self._follow_host_list(now_ms)
        until_ms = now_ms + warm_up_ms
        warming = self._warming.get(upstream.incarnation)
        if warming is not None and warming.until_ms > now_ms:
            if until_ms > warming.until_ms:
                self._warming[upstream.incarnation] = warming._replace(
                    until_ms=until_ms
                )
            return
        part = self._part(upstream.name, upstream.service)
        spent_ms = max(
            self._parts.spent_until_ms,
            self._sent_until_ms.get(upstream.name, float("-inf")),
        )
        budget = window_budget.WindowBudget(
            WINDOW_MS, 0.0, float(part), spent_ms
        )
        self._warming[upstream.incarnation] = _Warming(
            upstream.service, until_ms, budget
        )
        log.info(
            "upstream warms up",
            extra={
                "upstream": upstream.name,
                "service": upstream.service,
                "source": source,
                "for_ms": round(warm_up_ms),
                "bound": self._bound(upstream.service),
                "part": part,
                "roster_revision": self._parts.host_list.revision,
            },
        )

    def _bound(self, service: str) -> int:
        rate_per_s = self._rates().get(service, 0.0)
        return int(rate_per_s * self._overage + self._slack)

    def _part(self, name: str, service: str) -> int:
        return self._parts.part(name, self._bound(service))

    def _follow_host_list(self, now_ms: float) -> None:
        """Applies changed parts to the budgets."""
        if not self._parts.follow(now_ms):
            return
        for (name, _), warming in self._warming.items():
            part = self._part(name, warming.service)
            warming.budget.set_share(float(part), now_ms)

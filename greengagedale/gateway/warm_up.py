"""Limits what upstreams get from all hosts together while they warm up.

In any second, an upstream that warms up may get a bounded number of requests
from all hosts, including hosts that are cut off. The bound is a whole number of
requests, which are dealt to the hosts of the agreed host list (see `roster`) in
an order that depends on the upstream. A host has part `ceil((bound - rank) /
hosts)` by its rank in that order, and none if it is not on the list, is still
joining, or has given up its share.

The parts add up to no more than the bound while hosts use different lists,
because every list that a host with a part uses contains all hosts with a part:
a joining host gets one only when the others use a list that contains it or have
given up theirs, and a host is removed only after it has given up its own. A
longer list gives a host the same or a later rank and no greater part. So each
host has at most its part by the list of just those hosts, and these parts add
up to the bound.

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

import xxhash

from greengagedale import clocks
from greengagedale.config import gateway as config
from greengagedale.gateway import metrics as metrics_lib
from greengagedale.gateway import roster as roster_lib
from greengagedale.gateway import upstream_entries
from greengagedale.retry import window_budget

log = logging.getLogger(__name__)

# The bound holds in any window of this length.
WINDOW_MS = 1000.0
# Upper bound on the time until bytes that were written arrive.
IN_TRANSIT_MS = 100.0
# An upstream that may have restarted or cooled down unseen is treated as cold
# for this long: its next entry is written within about 1.2 s and reaches all
# hosts within another second.
UNCONFIRMED_MS = 3000.0

# Ends a permit to send; to be called once, when the attempt has ended.
EndPermit = Callable[[], None]


class WarmUpLimit(abc.ABC):
    """Decides which upstreams may get another request while they warm up."""

    @abc.abstractmethod
    def available(
        self, upstreams: list[upstream_entries.Upstream]
    ) -> list[upstream_entries.Upstream]:
        """Returns the given upstreams that this host may send to now."""

    @abc.abstractmethod
    def available_in_ms(
        self, upstreams: list[upstream_entries.Upstream]
    ) -> float:
        """Returns the time until this host may send to one, or infinity."""

    @abc.abstractmethod
    def try_send(self, upstream: upstream_entries.Upstream) -> EndPermit | None:
        """Returns a permit to send one request now, or None."""

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

    @abc.abstractmethod
    def retain_only(
        self, incarnations: Collection[upstream_entries.UpstreamIncarnation]
    ) -> None:
        """Discards the state of all other upstreams."""


def part_of(
    own_name: str, host_list: roster_lib.HostList, upstream: str, bound: int
) -> int:
    """Returns how many requests of a bound are dealt to a listed host."""

    def order(host: str) -> tuple[int, str]:
        return xxhash.xxh64_intdigest(f"{upstream} {host}".encode()), host

    own = order(own_name)
    rank = sum(order(host) < own for host in host_list.hosts)
    return max(0, -(-(bound - rank) // len(host_list.hosts)))


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
        self._own_name = own_name
        self._roster = roster
        self._rates = rates
        self._overage = overage
        self._slack = slack
        self._metrics = metrics
        self._clock = clock
        # An earlier process may have used this host's parts until now.
        self._spent_until_ms = clock.now_ms() + IN_TRANSIT_MS
        self._host_list = roster.host_list
        self._had_share = False
        self._warming: dict[upstream_entries.UpstreamIncarnation, _Warming] = {}
        # Latest entries that were taken into account, by their sequence.
        self._sequences: dict[upstream_entries.UpstreamIncarnation, int] = {}
        # Times until which requests of this host may arrive, by name: they may
        # reach a later incarnation.
        self._sent_until_ms: dict[str, float] = {}
        self._unconfirmed_until_ms: dict[str, float] = {}

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

    def try_send(self, upstream: upstream_entries.Upstream) -> EndPermit | None:
        """Returns a permit to send one request now, or None."""
        if upstream.service not in self._rates():
            return _no_permit_to_end
        now_ms = self._clock.now_ms()
        warming = self._find(upstream, now_ms)
        if warming is not None and not warming.budget.try_withdraw(now_ms):
            self._metrics.warm_up_choices.inc(upstream.service, "refused")
            return None

        def end() -> None:
            arrived_ms = self._clock.now_ms() + IN_TRANSIT_MS
            self._sent_until_ms[upstream.name] = arrived_ms
            if warming is not None:
                warming.budget.on_attempt_end(arrived_ms)

        self._sent_until_ms[upstream.name] = now_ms + IN_TRANSIT_MS
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
            self._spent_until_ms,
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
                "roster_revision": self._host_list.revision,
            },
        )

    def _bound(self, service: str) -> int:
        rate_per_s = self._rates().get(service, 0.0)
        return int(rate_per_s * self._overage + self._slack)

    def _part(self, name: str, service: str) -> int:
        if not self._had_share:
            return 0
        return part_of(
            self._own_name, self._host_list, name, self._bound(service)
        )

    def _follow_host_list(self, now_ms: float) -> None:
        """Applies a changed host list, or a share gained or given up."""
        has_share = self._roster.has_share
        if (
            self._roster.host_list == self._host_list
            and has_share == self._had_share
        ):
            return
        self._host_list = self._roster.host_list
        self._had_share = has_share
        # Another host may just have used what this host gains.
        self._spent_until_ms = max(self._spent_until_ms, now_ms)
        for (name, _), warming in self._warming.items():
            part = self._part(name, warming.service)
            warming.budget.set_share(float(part), now_ms)


def _no_permit_to_end() -> None:
    pass

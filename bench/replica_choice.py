"""Compares ways to choose among three upstreams, one of which slows down.

A model in virtual time of many hosts that see little each: requests arrive at
random hosts, each upstream has four slots and a queue, works at random speed
and pauses now and then. One upstream is slow for eight seconds. Run it with
`python -m bench.replica_choice`.
"""

import abc
import argparse
import collections
import heapq
import itertools
import random

from greengagedale import clocks
from greengagedale.gateway import calls
from greengagedale.gateway import metrics
from greengagedale.gateway import upstream_capacity as capacity_lib
from greengagedale.gateway import upstream_entries
from greengagedale.gateway import upstream_scores as scores_lib

_HOSTS = 143
_RATE_PER_S = 24.0
_SLOTS = 4
_WORK_MS = 25.0
_LATE_RATIO = 6.0
_SLOW_RATIO = 9.0
_SLOW_FROM_MS, _SLOW_UNTIL_MS, _UNTIL_MS = 10_000.0, 18_000.0, 30_000.0
_PAUSE_MS, _PAUSE_EVERY_MS = 150.0, 3600.0
_ROUND_MS = 250.0
_PEERS = 2
_UPSTREAMS = [
    upstream_entries.Upstream(
        name, "s", "127.0.0.1", 1, "there", _SLOTS, False, 1, 1, 0.0
    )
    for name in "abc"
]
_BY_NAME = {each.name: each for each in _UPSTREAMS}


class Policy(abc.ABC):
    """One host's way to choose, and what it keeps of answers."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._running: collections.Counter[str] = collections.Counter()

    def start(self, name: str, now_ms: float) -> int:
        """Records that a request is sent; returns its number."""
        del now_ms
        self._running[name] += 1
        return 0

    def end(
        self, name: str, number: int, ratio: float, told: int, now_ms: float
    ) -> None:
        """Records an answer, with the requests that the upstream told."""
        del number, ratio, told, now_ms
        self._running[name] -= 1

    @abc.abstractmethod
    def choose(self, now_ms: float) -> str:
        """Returns the name of the upstream to use."""


class FixedWeights(Policy):
    """Equal shares, whatever happens."""

    def choose(self, now_ms: float) -> str:
        """Returns a random upstream."""
        return self._rng.choice(_UPSTREAMS).name


class _Cost(Policy):
    """The least cost by what this host has seen."""

    half_life_ms = 3000.0

    def __init__(self, rng: random.Random) -> None:
        super().__init__(rng)
        self._ratio = dict.fromkeys(_BY_NAME, 1.0)
        self._seen_ms = dict.fromkeys(_BY_NAME, 0.0)
        self._told = dict.fromkeys(_BY_NAME, 0)

    def ratio(self, name: str, now_ms: float) -> float:
        """Returns the average latency ratio, which decays to 1."""
        age_ms = now_ms - self._seen_ms[name]
        return 1.0 + (self._ratio[name] - 1.0) * 0.5 ** (
            age_ms / self.half_life_ms
        )

    def end(
        self, name: str, number: int, ratio: float, told: int, now_ms: float
    ) -> None:
        """Averages latencies and keeps the load."""
        super().end(name, number, ratio, told, now_ms)
        old = self.ratio(name, now_ms)
        self._ratio[name] = self.average(old, ratio)
        self._seen_ms[name] = now_ms
        self._told[name] = told

    def average(self, old: float, new: float) -> float:
        """Returns the average after a new answer."""
        return old + 0.3 * (new - old)

    def cost(self, name: str, now_ms: float) -> float:
        """Returns the cost of an upstream."""
        return (self._running[name] + 1) * self.ratio(name, now_ms)

    def choose(self, now_ms: float) -> str:
        """Returns the upstream of least cost."""
        names = self._rng.sample(sorted(_BY_NAME), len(_BY_NAME))
        return min(names, key=lambda name: self.cost(name, now_ms))


class LeastLoaded(_Cost):
    """Least requests running and waiting, as last told."""

    def cost(self, name: str, now_ms: float) -> float:
        """Returns the load."""
        return self._told[name] + self._running[name]


class LittlesLaw(_Cost):
    """Least expected wait: told load times the average latency."""

    def cost(self, name: str, now_ms: float) -> float:
        """Returns the load times the latency over the slots."""
        load = self._told[name] + self._running[name] + 1
        return load * self.ratio(name, now_ms) / _SLOTS


class TwoChoices(_Cost):
    """The better of two random ones by (in flight + 1) x latency."""

    def choose(self, now_ms: float) -> str:
        """Returns the better of two."""
        names = self._rng.sample(sorted(_BY_NAME), 2)
        return min(names, key=lambda name: self.cost(name, now_ms))


class PeakEwma(_Cost):
    """A peak counts at once, and decays."""

    half_life_ms = 7000.0

    def average(self, old: float, new: float) -> float:
        """Returns the new latency if it is higher, or the average."""
        return max(new, super().average(old, new))


class Gradient(_Cost):
    """Requests in flight against a limit that follows the latency gradient."""

    def __init__(self, rng: random.Random) -> None:
        super().__init__(rng)
        self._limit = dict.fromkeys(_BY_NAME, float(_SLOTS))

    def end(
        self, name: str, number: int, ratio: float, told: int, now_ms: float
    ) -> None:
        """Moves the limit by typical over current latency."""
        super().end(name, number, ratio, told, now_ms)
        gradient = max(0.5, min(1.0, 1.5 / ratio))
        limit = self._limit[name] * gradient + 0.5
        self._limit[name] = max(1.0, min(float(_SLOTS), limit))

    def cost(self, name: str, now_ms: float) -> float:
        """Returns the use of the limit."""
        return (self._running[name] + 1) / self._limit[name]


class Product(Policy):
    """The product's choice, without learned capacities."""

    is_sharing = False

    def __init__(
        self, rng: random.Random, host: str, clock: clocks.Clock
    ) -> None:
        super().__init__(rng)
        self.capacities = capacity_lib.Capacities(
            host, self.is_sharing, clock, metrics.Metrics()
        )
        self._scores = scores_lib.UpstreamScores(
            "here", clock, rng, self.capacities
        )

    def start(self, name: str, now_ms: float) -> int:
        """Records that a request is sent; returns its number."""
        return self._scores.get(_BY_NAME[name]).start_attempt(now_ms)

    def end(
        self, name: str, number: int, ratio: float, told: int, now_ms: float
    ) -> None:
        """Records an answer as sub-requests do."""
        upstream = _BY_NAME[name]
        score = self._scores.get(upstream)
        score.end_attempt(number)
        running = min(told, _SLOTS)
        report = calls.LoadReport(running, told - running, _SLOTS)
        score.record_load(report, now_ms)
        score.record_latency(ratio, now_ms)
        self.capacities.record(upstream, ratio, told)

    def choose(self, now_ms: float) -> str:
        """Returns the product's choice."""
        choice = self._scores.choose(_UPSTREAMS, _WORK_MS)
        assert choice is not None
        return choice.upstream.name


class Learned(Product):
    """The product's choice with capacities that each host learns alone."""

    is_sharing = True


class Shared(Learned):
    """The product's choice with capacities that hosts tell each other."""


_SIMPLE = (
    FixedWeights,
    LeastLoaded,
    TwoChoices,
    PeakEwma,
    Gradient,
    LittlesLaw,
)
_PRODUCT = (Product, Learned, Shared)


class Model:
    """The upstreams and the arrivals."""

    def __init__(self, way: type[Policy], seed: int, rate_per_s: float) -> None:
        self._rng = random.Random(seed)
        self._rate_per_s = rate_per_s
        self.clock = clocks.ManualClock()
        self._policies: list[Policy] = [
            way(self._rng, f"h{number}", self.clock)
            if issubclass(way, Product)
            else way(self._rng)
            for number in range(_HOSTS)
        ]
        self._is_shared = way is Shared
        self._free_ms = {name: [0.0] * _SLOTS for name in _BY_NAME}
        self._ends: dict[str, list[float]] = {name: [] for name in _BY_NAME}

    def run(self) -> list[tuple[float, str, float]]:
        """Returns the start, upstream and latency ratio of all requests."""
        order = itertools.count()
        events: list[tuple[float, int, tuple[object, ...]]] = []
        now_ms = 0.0
        while now_ms < _UNTIL_MS:
            now_ms += self._rng.expovariate(self._rate_per_s) * 1000.0
            heapq.heappush(events, (now_ms, next(order), ()))
        for step in range(int(_UNTIL_MS / _ROUND_MS)):
            heapq.heappush(events, (step * _ROUND_MS, next(order), (None,)))
        served = []
        while events:
            now_ms, _, event = heapq.heappop(events)
            self.clock.advance(now_ms - self.clock.now_ms())
            if event == (None,):
                self._tell()
            elif event:
                policy, name, number, ratio = event
                self._ends[name] = [
                    each for each in self._ends[name] if each > now_ms
                ]
                told = len(self._ends[name])
                policy.end(name, number, ratio, told, now_ms)
            else:
                policy = self._rng.choice(self._policies)
                name = policy.choose(now_ms)
                number = policy.start(name, now_ms)
                end_ms = self._serve(name, now_ms)
                ratio = (end_ms - now_ms) / _WORK_MS
                served.append((now_ms, name, ratio))
                heapq.heappush(
                    events, (end_ms, next(order), (policy, name, number, ratio))
                )
        return served

    def _serve(self, name: str, now_ms: float) -> float:
        """Returns when an upstream ends a request that arrives now."""
        free_ms = self._free_ms[name]
        offset_ms = ord(name) * 1000.0
        phase_ms = (now_ms + offset_ms) % _PAUSE_EVERY_MS
        pause_ms = max(0.0, _PAUSE_MS - phase_ms)
        start_ms = max(now_ms + pause_ms, heapq.heappop(free_ms))
        work_ms = _WORK_MS * self._rng.lognormvariate(-0.06, 0.35)
        if name == "a" and _SLOW_FROM_MS <= start_ms < _SLOW_UNTIL_MS:
            work_ms *= _SLOW_RATIO
        end_ms = start_ms + work_ms
        heapq.heappush(free_ms, end_ms)
        self._ends[name].append(end_ms)
        return end_ms

    def _tell(self) -> None:
        if not self._is_shared:
            return
        for policy in self._policies:
            for peer in self._rng.sample(self._policies, _PEERS):
                for source, target in ((policy, peer), (peer, policy)):
                    target.capacities.merge(
                        source.capacities.observations(), _BY_NAME
                    )


def measure(
    way: type[Policy], seed: int, rate_per_s: float
) -> tuple[float, ...]:
    """Returns what a way gives.

    Returns:
        Late requests in percent while the upstream is slow, and outside; the
        upstream's share of the work in the first and third second after it is
        fast again; the greatest change of its share from second to second
        outside the slow phase and the second after its begin.
    """
    served = Model(way, seed, rate_per_s).run()
    late = [
        (_SLOW_FROM_MS <= start < _SLOW_UNTIL_MS, ratio > _LATE_RATIO)
        for start, _, ratio in served
    ]
    shares = []
    for second in range(int(_UNTIL_MS / 1000.0)):
        names = [
            name
            for start, name, _ in served
            if second <= start / 1000.0 < second + 1
        ]
        shares.append(names.count("a") / max(1, len(names)))

    def percent(is_slow: bool) -> float:
        chosen = [value for phase, value in late if phase == is_slow]
        return 100.0 * sum(chosen) / max(1, len(chosen))

    back = int(_SLOW_UNTIL_MS / 1000.0)
    return (
        percent(True),
        percent(False),
        shares[back],
        shares[back + 2],
        max(shares[back:]),
    )


def main() -> None:
    """Prints a table for each way, averaged over the seeds."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=5)
    parser.add_argument("--rate", type=float, default=_RATE_PER_S)
    arguments = parser.parse_args()
    print("way            late, slow %  late, else %  share +1 s  +3 s  most")
    for way in (*_SIMPLE, *_PRODUCT):
        rows = [
            measure(way, seed, arguments.rate)
            for seed in range(arguments.seeds)
        ]
        means = [sum(column) / len(rows) for column in zip(*rows, strict=True)]
        print(
            f"{way.__name__:14} {means[0]:12.2f} {means[1]:13.2f}"
            f" {means[2]:11.2f} {means[3]:5.2f} {means[4]:5.2f}"
        )


if __name__ == "__main__":
    main()

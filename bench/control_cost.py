"""Cost of the control plane per host, extrapolated to a large fleet."""

from collections.abc import Iterable
import json
import random
import statistics
import subprocess
import sys
import time
import tracemalloc

from bench import cases
from greengagedale import clocks
from greengagedale.catalog import services
from greengagedale.membership import announcements
from greengagedale.membership import hash_ring
from greengagedale.membership import messages
from greengagedale.membership import swim as swim_lib
from greengagedale.query import ranges
from greengagedale.query import snapshots
from greengagedale.upstreams import base as upstreams_base
from standins import member

_FLEET_SIZES = (4, 8, 16, 32)
_TARGET_FLEET_SIZE = 820
_UPSTREAM_COUNT = 3800
_RANGE_COUNT = 1500
_REPLICAS_PER_RANGE = 3
_WARM_UP_S = 6.0
_SIMULATED_S = 60.0
_MAX_BYTES_PER_S = 2000.0
_MAX_CPU_PERCENT = 3.1
_MAX_GROWTH_KIB = 32 * 1024
_TARGET = "at most 2000 B/s sent, 3.1% of a core, 32 MiB more than idle"
_MS_PER_S = 1000.0


class ControlCost(cases.Case):
    """Traffic, CPU time and memory of membership and of the catalog.

    Small fleets run as processes that only do membership; a line fitted
    through their figures gives the cost at full size. One peer with a full
    table, and one service of full size, are then measured in this process.
    """

    name = "control_cost"
    shapes = ("small",)
    seeds = (1,)
    duration_s = 12.0

    def run(self, context: cases.Context) -> Iterable[cases.Row]:
        """Measures small fleets, extrapolates, then measures at full size."""
        measured = {n: _measure_fleet(n, context) for n in _FLEET_SIZES}
        for count, figures in measured.items():
            yield self._row(context, f"{count} processes", figures)
        extrapolated = {
            name: _extrapolate(
                [float(n) for n in measured],
                [figures[name] for figures in measured.values()],
            )
            for name in ("sent_bytes_per_s", "processor_percent", "grown_kib")
        }
        yield self._row(
            context, f"line carried to {_TARGET_FLEET_SIZE}", extrapolated
        )
        yield self._row(
            context,
            f"one core, {_TARGET_FLEET_SIZE} members",
            _simulate_peer(context),
        )
        yield cases.Row(
            self.name,
            context.shape.name,
            f"service of {_UPSTREAM_COUNT} upstreams",
            context.seed,
            _measure_service(),
        )

    def _row(
        self, context: cases.Context, policy: str, figures: dict[str, float]
    ) -> cases.Row:
        met = (
            figures["sent_bytes_per_s"] <= _MAX_BYTES_PER_S
            and figures["processor_percent"] <= _MAX_CPU_PERCENT
            and figures["grown_kib"] <= _MAX_GROWTH_KIB
        )
        shape = context.shape.name
        return cases.Row(
            self.name, shape, policy, context.seed, figures, _TARGET, met
        )


def _measure_fleet(count: int, context: cases.Context) -> dict[str, float]:
    arguments = [
        [
            sys.executable,
            *("-m", "standins", "member"),
            *("--number", str(number), "--count", str(count)),
            *("--base-port", str(context.base_port)),
            *("--warm-s", str(_WARM_UP_S)),
            *("--measured-s", str(context.duration_s)),
        ]
        for number in range(count)
    ]
    processes = [
        subprocess.Popen(item, stdout=subprocess.PIPE) for item in arguments
    ]
    usages = [
        [member.Usage(*item) for item in json.loads(process.communicate()[0])]
        for process in processes
    ]
    spans = [(idle, warm, end) for idle, warm, end in usages]
    return {
        "sent_bytes_per_s": statistics.mean(
            (end.sent_bytes - warm.sent_bytes) / (end.at_s - warm.at_s)
            for _, warm, end in spans
        ),
        "most_bytes_per_s": max(
            (end.sent_bytes - warm.sent_bytes) / (end.at_s - warm.at_s)
            for _, warm, end in spans
        ),
        "processor_percent": 100
        * statistics.mean(
            (end.processor_s - warm.processor_s) / (end.at_s - warm.at_s)
            for _, warm, end in spans
        ),
        "grown_kib": statistics.mean(
            end.resident_kib - idle.resident_kib for idle, _, end in spans
        ),
        "idle_kib": statistics.mean(idle.resident_kib for idle, _, _ in spans),
        "least_alive": float(min(end.alive for _, _, end in spans)),
    }


def _extrapolate(sizes: list[float], values: list[float]) -> float:
    slope, intercept = statistics.linear_regression(sizes, values)
    return intercept + slope * _TARGET_FLEET_SIZE


def _make_update(number: int) -> messages.Update:
    endpoint = f"10.0.{number // 250}.{number % 250}:7000"
    status = messages.PeerStatus(
        f"entry-{number}", "dc-a", "0" * 12, endpoint, 1, True, False, 5
    )
    return messages.Update(
        status.name, endpoint, 1, messages.State.ALIVE, 1, status
    )


def _simulate_peer(context: cases.Context) -> dict[str, float]:
    """Simulates one peer with a full table.

    The clock is simulated, and every ping gets an immediate ack.
    """
    clock = clocks.ManualClock()
    updates = [_make_update(number) for number in range(_TARGET_FLEET_SIZE)]
    tracemalloc.start()
    own_update = updates[0]
    options = swim_lib.Options()
    swim = swim_lib.Swim(
        own_update.status,
        own_update.endpoint,
        1,
        options,
        announcements.AnnouncementCache(clock),
        random.Random(context.seed),
        0.0,
    )
    swim.merge_updates(updates[1:])
    grown_kib = tracemalloc.get_traced_memory()[0] / 1024
    tracemalloc.stop()
    by_endpoint = {item.endpoint: item for item in updates}
    rng = random.Random(context.seed)
    cpu_s = time.process_time()
    next_ping_ms = 0.0
    while clock.now_ms() < _SIMULATED_S * _MS_PER_S:
        clock.advance(options.tick_ms)
        for endpoint, message in swim.tick(clock.now_ms()):
            encoded = messages.encode(message)
            if message.kind is messages.Kind.PING:
                ack = messages.Datagram(
                    messages.Kind.ACK,
                    message.sequence,
                    by_endpoint[endpoint],
                    updates=tuple(rng.sample(updates[1:], 3)),
                )
                swim.receive(messages.decode(messages.encode(ack)))
            del encoded
        if clock.now_ms() >= next_ping_ms:
            next_ping_ms += options.probe_interval_ms
            ping = messages.Datagram(
                messages.Kind.PING,
                1,
                rng.choice(updates[1:]),
                own_update.name,
                updates=tuple(rng.sample(updates[1:], 3)),
            )
            for _, answer in swim.receive(
                messages.decode(messages.encode(ping))
            ):
                messages.encode(answer)
    cpu_s = time.process_time() - cpu_s
    return {
        "sent_bytes_per_s": swim.counts["sent_bytes"] / _SIMULATED_S,
        "processor_percent": 100 * cpu_s / _SIMULATED_S,
        "grown_kib": grown_kib,
    }


def _measure_service() -> dict[str, float]:
    names = [f"upstream-{number}" for number in range(_UPSTREAM_COUNT)]
    upstreams_by_name = {
        name: upstreams_base.Upstream(
            name, f"10.1.{n // 250}.{n % 250}:7000", "dc-a", 5, 40
        )
        for n, name in enumerate(names)
    }
    entries = tuple(
        snapshots.RangeReplicas(
            key_range,
            tuple(
                names[(number * _REPLICAS_PER_RANGE + r) % _UPSTREAM_COUNT]
                for r in range(_REPLICAS_PER_RANGE)
            ),
        )
        for number, key_range in enumerate(
            ranges.split_evenly(ranges.KEY_SPACE, _RANGE_COUNT)
        )
    )
    partition_map = snapshots.PartitionMap(snapshots.Snapshot(1, 1), entries)
    value = services.encode_service(
        services.Service("all", 1, upstreams_by_name, (partition_map,))
    )
    tracemalloc.start()
    start_s = time.process_time()
    decoded = services.decode_service("all", 1, value)
    decode_s = time.process_time() - start_s
    grown_kib = tracemalloc.get_traced_memory()[0] / 1024
    tracemalloc.stop()
    hash_ring.HashRing(
        f"entry-{number}" for number in range(_TARGET_FLEET_SIZE)
    )
    start_s = time.process_time()
    ring = hash_ring.HashRing(
        f"entry-{number}" for number in range(1, _TARGET_FLEET_SIZE)
    )
    owners = [ring.owner_of(name) for name in decoded.upstreams]
    ring_s = time.process_time() - start_s
    return {
        "object_bytes": float(len(value)),
        "decode_ms": decode_s * _MS_PER_S,
        "held_kib": grown_kib,
        "owners_ms": ring_s * _MS_PER_S,
        "most_owned": float(max(map(owners.count, set(owners)))),
    }

"""A process that runs only the membership protocol, to measure its cost."""

import asyncio
import pathlib
import random
import time
from typing import NamedTuple, Self

from greengagedale import clocks
from greengagedale.membership import announcements
from greengagedale.membership import messages
from greengagedale.membership import swim as swim_lib
from greengagedale.peers import udp

_KIB = 1024
_MS_PER_S = 1000.0


class Usage(NamedTuple):
    """Resource usage of a process since its start.

    Attributes:
        at_s: Monotonic time of the measurement.
        processor_s: CPU time.
        resident_kib: Resident memory.
        sent_bytes: Bytes sent, including packet headers.
        alive: Number of other hosts that the process considers healthy.
    """

    at_s: float
    processor_s: float
    resident_kib: int
    sent_bytes: int
    alive: int

    @classmethod
    def measure(cls, swim: swim_lib.Swim | None) -> Self:
        """Measures the usage of the current process."""
        pages = int(
            pathlib.Path("/proc/self/statm")
            .read_text(encoding="ascii")
            .split()[1]
        )
        return cls(
            time.monotonic(),
            time.process_time(),
            pages * 4,
            swim.counts["sent_bytes"] if swim else 0,
            len(swim.usable()) if swim else 0,
        )


def endpoint_of(number: int, base_port: int) -> str:
    """Returns the endpoint on which a membership process listens."""
    return f"127.0.2.{number + 1}:{base_port}"


async def run(
    number: int, count: int, base_port: int, warm_s: float, measured_s: float
) -> list[Usage]:
    """Runs the protocol; returns usage at start, after warm-up, at the end."""
    clock = clocks.MonotonicClock()
    own = endpoint_of(number, base_port)
    usages = [Usage.measure(None)]
    options = swim_lib.Options()
    swim = swim_lib.Swim(
        messages.PeerStatus(
            f"entry-{number}", "dc-a", "0" * 12, own, 1, True, False, 0
        ),
        own,
        int(time.time()),
        options,
        announcements.AnnouncementCache(clock),
        random.Random(number),
        clock.now_ms(),
    )
    swim.set_join_candidates(
        endpoint_of(other, base_port) for other in range(count)
    )
    transport = await udp.UdpTransport.from_config(own, swim.receive)
    for until_s in (warm_s, measured_s):
        end_s = time.monotonic() + until_s
        while time.monotonic() < end_s:
            transport.send(swim.tick(clock.now_ms()))
            await asyncio.sleep(options.tick_ms / _MS_PER_S)
        usages.append(Usage.measure(swim))
    await transport.close()
    return usages

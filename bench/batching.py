"""How the cost of a sub-query falls with sub-queries in one message."""

import asyncio
from collections.abc import Iterable
import heapq
import itertools
import struct
import time
from typing import NamedTuple

import msgspec

from bench import cases
from greengagedale import loops

_BATCHES = (1, 4, 16, 64, 256)
_NEEDED_PER_S = 220_000.0
_HITS = 10
_LENGTH = struct.Struct("!I")


class SubQuery(NamedTuple):
    """One sub-query: a text over one range of keys."""

    attempt: int
    low: int
    high: int
    limit: int
    text: str


class SubAnswer(NamedTuple):
    """The answer to one sub-query: keys and scores, best first."""

    attempt: int
    low: int
    high: int
    hits: list[tuple[int, float]]


class Batching(cases.Case):
    """Both ends in one process, over one TCP connection of loopback."""

    name = "batching"
    shapes = ("small",)
    seeds = (1,)
    duration_s = 3.0

    def run(self, context: cases.Context) -> Iterable[cases.Row]:
        """Measures each batch size."""
        for batch in _BATCHES:
            figures = loops.run(_measure(batch, context))
            yield cases.Row(
                self.name,
                context.shape.name,
                f"{batch} in one message",
                context.seed,
                figures,
                f"{_NEEDED_PER_S:.0f} sub-queries/s on one core of a node",
                figures["client_per_core_s"] >= _NEEDED_PER_S,
            )


async def _measure(batch: int, context: cases.Context) -> dict[str, float]:
    server = await asyncio.start_server(_answer, "127.0.0.1", context.base_port)
    reader, writer = await asyncio.open_connection(
        "127.0.0.1", context.base_port
    )
    decoder = msgspec.msgpack.Decoder(list[SubAnswer])
    queries = [
        SubQuery(n, n << 20, (n + 1) << 20, _HITS, "chess club tuesday")
        for n in range(batch)
    ]
    done = 0
    began_s = time.monotonic()
    used_s = time.process_time()
    client_s = 0.0
    while time.monotonic() < began_s + context.duration_s:
        at_s = time.perf_counter()
        _send(writer, msgspec.msgpack.encode(queries))
        client_s += time.perf_counter() - at_s
        received = await _receive(reader)
        at_s = time.perf_counter()
        answers = decoder.decode(received)
        hits = itertools.chain.from_iterable(a.hits for a in answers)
        heapq.nlargest(_HITS, hits, key=lambda hit: hit[1])
        client_s += time.perf_counter() - at_s
        done += batch
    used_s = time.process_time() - used_s
    writer.close()
    server.close()
    return {
        "both_ends_us": used_s / done * 1e6,
        "client_codec_us": client_s / done * 1e6,
        "both_ends_per_core_s": done / used_s,
        "client_per_core_s": 2 * done / used_s,
    }


async def _answer(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    decoder = msgspec.msgpack.Decoder(list[SubQuery])
    hits = [(key * 977, 1.0 / (key + 1)) for key in range(_HITS)]
    try:
        while True:
            queries = decoder.decode(await _receive(reader))
            answers = [
                SubAnswer(q.attempt, q.low, q.high, hits) for q in queries
            ]
            _send(writer, msgspec.msgpack.encode(answers))
    except asyncio.IncompleteReadError:
        writer.close()


def _send(writer: asyncio.StreamWriter, body: bytes) -> None:
    writer.write(_LENGTH.pack(len(body)) + body)


async def _receive(reader: asyncio.StreamReader) -> bytes:
    [length] = _LENGTH.unpack(await reader.readexactly(_LENGTH.size))
    return await reader.readexactly(length)

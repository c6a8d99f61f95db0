"""Processor cost of a sub-query by the number batched in one message."""

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

_BATCH_SIZES = (1, 4, 16, 64, 256)
_TARGET_PER_S = 220_000.0
_HITS_PER_ANSWER = 10
_LENGTH_PREFIX = struct.Struct("!I")


class SubQuery(NamedTuple):
    """A text query over one range of keys."""

    attempt: int
    low: int
    high: int
    limit: int
    text: str


class SubAnswer(NamedTuple):
    """The answer to one sub-query: (key, score) pairs, best first."""

    attempt: int
    low: int
    high: int
    hits: list[tuple[int, float]]


class Batching(cases.Case):
    """Client and server in one process, over one loopback TCP connection."""

    name = "batching"
    shapes = ("small",)
    seeds = (1,)
    duration_s = 3.0

    def run(self, context: cases.Context) -> Iterable[cases.Row]:
        """Measures each batch size."""
        for batch_size in _BATCH_SIZES:
            figures = loops.run(_measure(batch_size, context))
            yield cases.Row(
                self.name,
                context.shape.name,
                f"{batch_size} in one message",
                context.seed,
                figures,
                f"{_TARGET_PER_S:.0f} sub-queries/s on one core of a node",
                figures["client_per_core_s"] >= _TARGET_PER_S,
            )


async def _measure(batch_size: int, context: cases.Context) -> dict[str, float]:
    server = await asyncio.start_server(
        _serve_connection, "127.0.0.1", context.base_port
    )
    reader, writer = await asyncio.open_connection(
        "127.0.0.1", context.base_port
    )
    decoder = msgspec.msgpack.Decoder(list[SubAnswer])
    queries = [
        SubQuery(
            n, n << 20, (n + 1) << 20, _HITS_PER_ANSWER, "chess club tuesday"
        )
        for n in range(batch_size)
    ]
    completed = 0
    start_s = time.monotonic()
    cpu_s = time.process_time()
    client_s = 0.0
    while time.monotonic() < start_s + context.duration_s:
        step_start_s = time.perf_counter()
        _send_message(writer, msgspec.msgpack.encode(queries))
        client_s += time.perf_counter() - step_start_s
        received = await _receive_message(reader)
        step_start_s = time.perf_counter()
        answers = decoder.decode(received)
        hits = itertools.chain.from_iterable(answer.hits for answer in answers)
        heapq.nlargest(_HITS_PER_ANSWER, hits, key=lambda hit: hit[1])
        client_s += time.perf_counter() - step_start_s
        completed += batch_size
    cpu_s = time.process_time() - cpu_s
    writer.close()
    server.close()
    return {
        "both_ends_us": cpu_s / completed * 1e6,
        "client_codec_us": client_s / completed * 1e6,
        "both_ends_per_core_s": completed / cpu_s,
        "client_per_core_s": 2 * completed / cpu_s,
    }


async def _serve_connection(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    decoder = msgspec.msgpack.Decoder(list[SubQuery])
    hits = [(key * 977, 1.0 / (key + 1)) for key in range(_HITS_PER_ANSWER)]
    try:
        while True:
            queries = decoder.decode(await _receive_message(reader))
            answers = [
                SubAnswer(query.attempt, query.low, query.high, hits)
                for query in queries
            ]
            _send_message(writer, msgspec.msgpack.encode(answers))
    except asyncio.IncompleteReadError:
        writer.close()


def _send_message(writer: asyncio.StreamWriter, body: bytes) -> None:
    writer.write(_LENGTH_PREFIX.pack(len(body)) + body)


async def _receive_message(reader: asyncio.StreamReader) -> bytes:
    [length] = _LENGTH_PREFIX.unpack(
        await reader.readexactly(_LENGTH_PREFIX.size)
    )
    return await reader.readexactly(length)

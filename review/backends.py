"""A backend on plain sockets, whose answers can be repeated late."""

import asyncio
import contextlib
import time

from review import harness
from standins import gateway_site

_LINE_END = b"\r\n"
_HEAD_END = b"\r\n\r\n"


class Backend:
    """A backend that runs requests, refuses them while full, and answers.

    Attributes:
        name: Its id; it does not run requests for another one.
        service: Name of its service.
        work_s: Time that a request takes.
        full_until_s: Monotonic time until which its queue is full.
        must_repeat: Whether it sends its next refusal a second time, at the
            point where the next answer on that connection is expected.
        runs: The requests that it began to run, in order.
        answers: Number of its answers.
        repeats: Number of answers that it sent a second time.
    """

    def __init__(
        self, record: harness.Record, name: str, service: str, work_s: float
    ) -> None:
        self.name = name
        self.service = service
        self.work_s = work_s
        self.full_until_s = 0.0
        self.must_repeat = False
        self.runs: list[str] = []
        self.answers = 0
        self.repeats = 0
        self.is_leaving = False
        self._record = record
        self._port = 0
        self._sequence = 0
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Starts to listen."""
        self._port = gateway_site.free_port()
        self._server = await asyncio.start_server(
            self._serve, gateway_site.ADDRESS, self._port
        )

    def close(self) -> None:
        """Closes the listener and all connections."""
        if self._server is not None:
            self._server.close()
        for writer in self._writers:
            writer.transport.abort()

    def next_store_entry(self, address: str, state: str) -> dict[str, object]:
        """Returns the next entry that it writes to the store."""
        self._sequence += 1
        return {
            "service": self.service,
            "address": f"{address}:{self._port}",
            "zone": "here",
            "version": "v1",
            "slots": 4,
            "state": state,
            "warmupLeftMs": 0,
            "sequence": self._sequence,
            "born": 1,
        }

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        repeated = b""
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while True:
                headers = await _read_request(reader)
                if repeated:
                    writer.write(repeated)
                    repeated = b""
                    self.repeats += 1
                    self._record.write(f"  {self.name}: the refusal again")
                answer, is_refusal = await self._answer(headers)
                self.answers += 1
                writer.write(answer)
                if is_refusal and self.must_repeat:
                    repeated = answer
                    self.must_repeat = False
        self._writers.discard(writer)
        writer.transport.abort()

    async def _answer(self, headers: dict[str, str]) -> tuple[bytes, bool]:
        request_id = headers.get("request-id", "")
        if headers.get("target-instance", self.name) != self.name:
            return _response(421, request_id, {}), False
        if time.monotonic() < self.full_until_s:
            self._record.write(f"  {self.name} refuses {request_id}")
            refusal = _response(503, request_id, {"Not-Executed": "1"})
            return refusal, True
        self.runs.append(request_id)
        self._record.write(f"  {self.name} runs {request_id}")
        await asyncio.sleep(self.work_s)
        seal = {"Server-Seal": f"{self.name}.{request_id}"}
        return _response(200, request_id, seal), False


async def _read_request(reader: asyncio.StreamReader) -> dict[str, str]:
    """Reads a request; returns its headers with names in lower case."""
    head = await reader.readuntil(_HEAD_END)
    lines = head.decode("latin-1").split("\r\n")[1:]
    fields = (line.partition(":") for line in lines if line)
    headers = {name.lower(): value.strip() for name, _, value in fields}
    await reader.readexactly(int(headers.get("content-length", "0")))
    return headers


def _response(status: int, request_id: str, more: dict[str, str]) -> bytes:
    body = b"done"
    headers = {
        "Request-Id": request_id,
        "Server-Load": "1,0,4",
        "Content-Length": str(len(body)),
        **more,
    }
    lines = [f"HTTP/1.1 {status} Answer"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    return _LINE_END.join([*map(str.encode, lines), b"", body])

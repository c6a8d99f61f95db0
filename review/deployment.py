"""A small deployment for the scripts of the second review.

Gateway hosts run as separate processes with the command of the deploy file; the
store is the project's stand-in. Upstreams are stand-ins with slots and a short
queue, which note when each request reaches them. Callers are plain HTTP
clients. Everything listens on loopback addresses.
"""

import asyncio
from collections.abc import Awaitable, Callable, Mapping, Sequence
import json
import os
import pathlib
import shlex
import sys
import tempfile
import time
import tomllib
from typing import Any, NamedTuple

from greengagedale import clocks
from greengagedale.http1 import client
from greengagedale.http1 import messages
from greengagedale.http1 import server
from standins import gateway_site
from standins import gateway_store

EXIT_HELD = 0
EXIT_BROKEN = 1
EXIT_NOT_RUN = 2
ADDRESS = gateway_site.ADDRESS
_PORTS = ("http", "ready", "directory", "control", "metrics")
_MS_PER_S = 1000.0


class Arrival(NamedTuple):
    """A request that reached an upstream.

    Attributes:
        at_ms: Time at which it arrived.
        upstream: Name of the upstream.
        request_id: Id of the request.
        tenant: Tenant that the host named; empty if none.
        has_run: Whether the upstream began to work on it.
    """

    at_ms: float
    upstream: str
    request_id: str
    tenant: str
    has_run: bool


def now_ms() -> float:
    """Returns monotonic time in milliseconds."""
    return time.monotonic() * _MS_PER_S


def has_trouble() -> bool:
    """Returns whether the disruption of the case takes place."""
    return os.environ.get("TROUBLE", "1") != "0"


class Backend(server.Handler):
    """An upstream with slots and a queue.

    It drops a request when its connection closes.

    Attributes:
        arrivals: All requests for this instance that reached it.
        work_ms: Time that each request takes.
    """

    def __init__(
        self,
        name: str,
        service: str,
        slots: int,
        queue: int,
        work_ms: float,
        arrivals: list[Arrival],
    ) -> None:
        self.name = name
        self.work_ms = work_ms
        self.arrivals = arrivals
        self._service = service
        self._slots = slots
        self._queue = queue
        self._free = asyncio.Semaphore(slots)
        self._held = 0
        self._port = 0
        self._born = int(time.time() * _MS_PER_S)
        self._sequence = 0
        self._server = server.Server(self, clocks.MonotonicClock())

    async def start(self) -> None:
        """Starts to listen."""
        self._port = gateway_site.free_port()
        await self._server.start(ADDRESS, self._port)

    def close(self) -> None:
        """Stops to listen and closes all connections."""
        self._server.close()

    def entry(self, state: str = "ready") -> dict[str, Any]:
        """Returns the next entry that it writes to the store."""
        self._sequence += 1
        return {
            "service": self._service,
            "address": f"{ADDRESS}:{self._port}",
            "zone": "here",
            "version": "1",
            "slots": self._slots,
            "state": state,
            "warmupLeftMs": 0,
            "sequence": self._sequence,
            "born": self._born,
        }

    async def handle(self, request: messages.Request) -> messages.Response:
        """Runs a request, or refuses it if the queue is full."""
        request_id = _text(request, b"request-id")
        if _text(request, b"target-instance") != self.name:
            return messages.Response(421, self._headers(request_id))
        has_room = self._held < self._slots + self._queue
        self.arrivals.append(
            Arrival(
                now_ms(),
                self.name,
                request_id,
                _text(request, b"tenant"),
                has_room,
            )
        )
        if not has_room:
            refusal = (*self._headers(request_id), (b"Not-Executed", b"1"))
            return messages.Response(503, refusal)
        self._held += 1
        try:
            async with self._free:
                await asyncio.sleep(self.work_ms / _MS_PER_S)
        finally:
            self._held -= 1
        seal = (b"Server-Seal", f"{self.name}.{request_id}".encode())
        return messages.Response(
            200, (*self._headers(request_id), seal), b"done"
        )

    def _headers(self, request_id: str) -> messages.Headers:
        running = min(self._held, self._slots)
        waiting = self._held - running
        return (
            (b"Request-Id", request_id.encode()),
            (b"Server-Load", b"%d,%d,%d" % (running, waiting, self._slots)),
        )


class Deployment:
    """A store, upstreams and gateway hosts.

    Attributes:
        store: The store.
        arrivals: All requests that reached upstreams.
        backends: The upstreams by name.
        hosts: The gateway hosts by name.
    """

    def __init__(
        self,
        folder: pathlib.Path,
        bounds: Mapping[str, Any],
        contracts: Sequence[str],
    ) -> None:
        self.store = gateway_store.GatewayStore()
        self.arrivals: list[Arrival] = []
        self.backends: dict[str, Backend] = {}
        self.hosts: dict[str, gateway_site.HostProcess] = {}
        self._folder = folder
        self._bounds = bounds
        self._contracts = contracts
        self._store_port = gateway_site.free_port()

    async def start_store(self, configuration: dict[str, Any]) -> None:
        """Starts the store with a configuration."""
        await self.store.start(ADDRESS, self._store_port)
        self.store.put("config", "main", configuration)

    async def add_backend(
        self, name: str, service: str, slots: int, queue: int, work_ms: float
    ) -> None:
        """Starts an upstream and writes its entry."""
        backend = Backend(name, service, slots, queue, work_ms, self.arrivals)
        await backend.start()
        self.backends[name] = backend
        self.store.put("servers", name, backend.entry())

    def make_host(
        self, name: str, ports: dict[str, int], seeds: list[str]
    ) -> gateway_site.HostProcess:
        """Makes a host that starts with the command of the deploy file."""
        host = gateway_site.HostProcess(
            name,
            self._folder,
            self._store_port,
            seeds,
            ports,
            self._bounds,
            self._contracts,
        )
        deploy = tomllib.loads(
            (gateway_site.ROOT / "deploy" / "system.toml").read_text()
        )
        (role,) = deploy["roles"].values()
        command = shlex.split(role["run"])
        host.command = [*command[:-1], str(host.settings_path)]
        host.environment = {
            "PATH": os.environ["PATH"],
            "PYTHONPATH": str(gateway_site.ROOT / "target" / "deps"),
        }
        self.hosts[name] = host
        return host

    async def stop(self) -> None:
        """Ends all processes and servers."""
        for host in self.hosts.values():
            await host.stop()
        for backend in self.backends.values():
            backend.close()
        self.store.close()


def free_ports() -> dict[str, int]:
    """Returns free ports for a host."""
    return {key: gateway_site.free_port() for key in _PORTS}


def control_endpoint(ports: Mapping[str, int]) -> str:
    """Returns the endpoint that a host's seeds name."""
    return f"{ADDRESS}:{ports['control']}"


def route(name: str, prefix: str, **fields: Any) -> dict[str, Any]:
    """Returns a route as operators write it."""
    return gateway_site.route(name, prefix, **fields)


def _text(request: messages.Request, name: bytes) -> str:
    return (request.header(name) or b"").decode()


class Answer(NamedTuple):
    """What a caller saw of one request.

    Attributes:
        request_id: Id of the request.
        sent_ms: Time before it was sent.
        ended_ms: Time of the answer, or at which the caller left.
        status: Status; 0 if there was no answer.
    """

    request_id: str
    sent_ms: float
    ended_ms: float
    status: int


async def call(
    port: int,
    target: str,
    request_id: str,
    deadline_ms: int,
    leave_after_ms: float | None = None,
    method: bytes = b"GET",
    **headers: str,
) -> Answer:
    """Sends a request on a new connection and closes it afterwards.

    Args:
        port: Port of the host for callers.
        target: Path and query.
        request_id: Id of the request.
        deadline_ms: How long the caller waits.
        leave_after_ms: Time after which the caller closes the connection
            before there is an answer; None if it waits for the deadline.
        method: HTTP method.
        headers: Further headers.
    """
    sent_ms = now_ms()
    try:
        connection = await client.Connection.open(ADDRESS, port, 1.0)
    except OSError:
        return Answer(request_id, sent_ms, now_ms(), 0)
    fields = {
        "host": "a.example",
        "request-id": request_id,
        "deadline-ms": str(deadline_ms),
        **{key.replace("_", "-"): value for key, value in headers.items()},
    }
    data = messages.encode_request(
        method,
        target.encode(),
        tuple((key.encode(), value.encode()) for key, value in fields.items()),
        b"",
    )
    wait_ms = deadline_ms + 500.0 if leave_after_ms is None else leave_after_ms
    status = 0
    try:
        async with asyncio.timeout(wait_ms / _MS_PER_S):
            reply = await connection.exchange(data)
            status = getattr(reply, "status", 0)
    except TimeoutError:
        pass
    finally:
        connection.close()
    return Answer(request_id, sent_ms, now_ms(), status)


async def locate(port: int) -> list[int]:
    """Returns the ports for callers that a host's directory names."""
    connection = await client.Connection.open(ADDRESS, port, 1.0)
    try:
        data = messages.encode_request(
            b"GET",
            b"/-/resolve?name=a.example&region=near&zone=here",
            ((b"host", b"directory"),),
            b"",
        )
        async with asyncio.timeout(1.0):
            reply = await connection.exchange(data)
    finally:
        connection.close()
    if not isinstance(reply, messages.Reply) or reply.status != 200:
        return []
    endpoints = json.loads(reply.body)["addrs"]
    return [int(each.rpartition(":")[2]) for each in endpoints]


class CannotRunError(Exception):
    """Raised if a case can't be carried out."""


def run_case(
    folder: pathlib.Path,
    case: Callable[[pathlib.Path, list[str]], Awaitable[bool]],
) -> None:
    """Carries out a case, writes its record and exits.

    Args:
        folder: Folder of the case, for its record.
        case: The case: gets a temporary folder and the lines of the record,
            and returns whether the rule was broken.
    """
    record: list[str] = [f"trouble: {has_trouble()}"]
    status = EXIT_NOT_RUN
    with tempfile.TemporaryDirectory() as temporary:
        try:
            is_broken = asyncio.run(case(pathlib.Path(temporary), record))
            status = EXIT_BROKEN if is_broken else EXIT_HELD
        except (CannotRunError, OSError, TimeoutError) as error:
            record.append(f"the case couldn't run: {error!r}")
    record.append(f"exit: {status}")
    text = "\n".join(record) + "\n"
    (folder / "record.txt").write_text(text, encoding="utf-8")
    print("\n".join(record[:1] + record[-6:]))
    sys.exit(status)

"""A gateway deployment at one site: store, upstreams and gateway hosts.

Gateway hosts run as separate processes with settings rendered from the deploy
template; the store, the upstreams and the proxies run in the caller's event
loop. Hosts reach the store and the upstreams through fault-injecting proxies.
"""

import asyncio
from collections.abc import AsyncIterator, Iterator, Mapping, Sequence
import contextlib
import functools
import itertools
import json
import pathlib
import re
import sys
from typing import Any

from greengagedale.http1 import client
from greengagedale.http1 import messages
from standins import faultproxy
from standins import gateway_store
from standins import gateway_upstream
from standins import ports as ports_lib

ROOT = pathlib.Path(__file__).parent.parent
TEMPLATE = ROOT / "deploy" / "settings.toml"
ADDRESS = "127.0.0.1"
SHARDS = ("s1", "s2", "s3")
ACTION_SERVICE = "one"
RECORD_FORMAT = b"%015d\n"
BOUNDS = {
    "budgetWindowS": 10,
    "budgetRatio": 0.2,
    "budgetBurst": 56,
    "graceS": 3,
    "ttl_max_s": 1,
}
# Regions of the data centres.
ZONES = {"here": "near", "there": "far"}
METRICS_PORT = 9464
_PORT_KEYS = ("http", "ready", "directory", "control", "metrics")
_REQUEST_TIMEOUT_S = 8.0
_LOG_TAIL_CHARS = 4000
_POLL_S = 0.05


@functools.cache
def _ports() -> Iterator[int]:
    """Returns an endless iterator over the upper half of the port block.

    The lower half is for other deployments of the same run.
    """
    first_port = ports_lib.base_port()
    half = ports_lib.BLOCK_PORTS // 2
    return itertools.cycle(range(first_port + half, first_port + 2 * half))


def free_port() -> int:
    """Returns a port that is not in use."""
    return next(filter(ports_lib.is_free, _ports()))


def render(template: str, fields: dict[str, Any]) -> str:
    """Renders a settings template in the same way as the users' platform."""

    def lookup(path: str) -> Any:
        current: Any = fields
        for key in path.split("."):
            if isinstance(current, list):
                current = current[int(key)]
            else:
                current = (current or {}).get(key)
            if current is None:
                return None
        return current

    def section(match: re.Match[str]) -> str:
        # Only sections of plain values and of tables of them are supported.
        entry = lookup(match.group(1))
        if entry is None or entry is False:
            return ""
        items = entry.items() if isinstance(entry, dict) else [("", entry)]
        rendered = (
            match.group(2).replace("{{@}}", key).replace("{{.}}", str(item))
            for key, item in items
        )
        # Each is followed by a comma except the last.
        return ", ".join(each.replace("{{,}}", "") for each in rendered)

    def value(match: re.Match[str]) -> str:
        current = lookup(match.group(1))
        return json.dumps(current) if match.group(2) else str(current)

    template = re.sub(
        r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, template, flags=re.DOTALL
    )
    return re.sub(r"\{\{([\w.]+)(\|json)?\}\}", value, template)


class HostProcess:
    """A gateway host that runs in its own process.

    Attributes:
        name: Name of the host.
        ports: Ports of the host by purpose, see `_PORT_KEYS`.
        log_path: Path of the log file.
        start_count: Number of times that the process was started.
        settings_path: Path of the settings file.
        command: Command line that starts the host.
        environment: Environment of the process; if None, the process inherits
            the environment of the current one.
    """

    def __init__(
        self,
        name: str,
        folder: pathlib.Path,
        store_port: int,
        seeds: list[str],
        ports: dict[str, int],
        bounds: Mapping[str, float] = BOUNDS,
        contracts: Sequence[str] = (),
        zones: Mapping[str, str] = ZONES,
        machine: Mapping[str, float] | None = None,
    ) -> None:
        self.name = name
        self.ports = ports
        self.log_path = folder / f"{name}.log"
        self.start_count = 0
        self.settings_path = folder / f"{name}.toml"
        self.command = [
            sys.executable,
            "-m",
            "greengagedale",
            "serve",
            "--settings",
            str(self.settings_path),
        ]
        self.environment: dict[str, str] | None = None
        self._process: asyncio.subprocess.Process | None = None
        fields = {
            "nodeName": name,
            "zone": "here",
            "ip": ADDRESS,
            "bindAddresses": {
                key: f"{ADDRESS}:{port}"
                for key, port in ports.items()
                if key != "metrics"
            },
            "platform": {"address": f"{ADDRESS}:{store_port}"},
            "seeds": seeds,
            "bounds": bounds,
            "contracts": list(contracts),
            "zones": zones,
            "limits": machine,
        }
        text = render(TEMPLATE.read_text(encoding="utf-8"), fields)
        # Hosts of a test share an address, so the template's fixed metrics
        # port is replaced.
        text = text.replace(f":{METRICS_PORT}", f":{ports['metrics']}")
        self.settings_path.write_text(text, encoding="utf-8")

    async def start(self, stdout: int | None = None) -> None:
        """Starts the process, logging to `stdout` or else to the log file."""
        self.start_count += 1
        with self.log_path.open("ab") as log:
            self._process = await asyncio.create_subprocess_exec(
                *self.command,
                stdout=log if stdout is None else stdout,
                stderr=asyncio.subprocess.STDOUT,
                cwd=ROOT,
                env=self.environment,
            )

    @property
    def pid(self) -> int:
        """The process id."""
        assert self._process is not None
        return self._process.pid

    @property
    def is_running(self) -> bool:
        """Whether the process has been started and has not ended."""
        return self._process is not None and self._process.returncode is None

    def signal(self, signal_number: int) -> None:
        """Sends a signal to the process."""
        assert self._process is not None
        self._process.send_signal(signal_number)

    async def wait_exit(self) -> int:
        """Waits for the process to exit and returns its exit code."""
        assert self._process is not None
        return await self._process.wait()

    async def stop(self) -> None:
        """Kills the process if it is running."""
        if self._process is not None and self.is_running:
            self._process.kill()
            await self._process.wait()

    def json_log_lines(self) -> list[dict[str, Any]]:
        """Returns the log lines that are JSON objects."""
        text = self.log_path.read_text(encoding="utf-8")
        return [
            json.loads(line) for line in text.splitlines() if line[:1] == "{"
        ]

    def log_tail(self) -> str:
        """Returns the end of the log; empty if there is none."""
        if not self.log_path.exists():
            return ""
        return self.log_path.read_text(encoding="utf-8")[-_LOG_TAIL_CHARS:]

    async def connect(self, port: str = "http") -> client.Connection:
        """Opens a connection to the port with the given purpose.

        Raises:
            OSError: The host does not accept the connection.
        """
        return await client.Connection.open(ADDRESS, self.ports[port], 1.0)

    async def get(
        self,
        target: str,
        port: str = "http",
        method: bytes = b"GET",
        **headers: object,
    ) -> messages.Reply | client.ExchangeFailure:
        """Sends a request on a new connection."""
        connection = await self.connect(port)
        try:
            return await self.send_request(
                connection, target, method, **headers
            )
        finally:
            connection.close()

    async def send_request(
        self,
        connection: client.Connection,
        target: str,
        method: bytes = b"GET",
        **headers: object,
    ) -> messages.Reply | client.ExchangeFailure:
        """Sends a request on a connection."""
        fields = {"host": "a.example", **headers}
        data = messages.encode_request(
            method,
            target.encode(),
            tuple(
                (key.replace("_", "-").encode(), str(value).encode())
                for key, value in fields.items()
            ),
            b"",
        )
        async with asyncio.timeout(_REQUEST_TIMEOUT_S):
            return await connection.exchange(data)

    async def search(
        self, request_id: str = "r1", remaining_ms: int = 2000
    ) -> messages.Reply | client.ExchangeFailure:
        """Sends a search over all shards."""
        return await self.get(
            "/find/x", request_id=request_id, deadline_ms=remaining_ms
        )

    async def is_ready(self) -> bool:
        """Returns whether the host's readiness endpoint answers 200."""
        try:
            reply = await self.get("/-/ready", "ready")
        except OSError:
            return False
        return getattr(reply, "status", 0) == 200

    async def wait_ready(self, timeout_s: float = 10.0) -> None:
        """Waits until the host is ready.

        Raises:
            TimeoutError: It was not; the message has the end of its log.
        """
        try:
            async with asyncio.timeout(timeout_s):
                while not await self.is_ready():
                    await asyncio.sleep(_POLL_S)
        except TimeoutError as error:
            raise TimeoutError(
                f"{self.name} is not ready after {timeout_s} s; its log ends:"
                f" {self.log_tail()}"
            ) from error


def route(name: str, prefix: str, **fields: object) -> dict[str, Any]:
    """Returns a route in the format that operators write."""
    return {
        "name": name,
        "host": "a.example",
        "pathPrefix": prefix,
        "type": "idempotent",
        "timeoutMs": 2000,
        "targetLatencyMs": 400,
        "priority": 1,
        "maxAttempts": 2,
        **fields,
    }


def configuration(
    version: int, extra_routes: Sequence[dict[str, Any]] = ()
) -> dict[str, Any]:
    """Returns a configuration in the format that operators write."""
    fan_out = {"gather": list(SHARDS), "topK": 4, "minCoverage": 0.6}
    return {
        "version": version,
        "routes": [
            route("find", "/find/", **fan_out),
            route("get", "/get/", service="s1"),
            route(
                "book", "/book/", type="non_idempotent", service=ACTION_SERVICE
            ),
            *extra_routes,
        ],
        "services": [
            {"name": name, "healthPath": "/h", "maxConnections": 40}
            for name in (*SHARDS, ACTION_SERVICE)
        ],
    }


class Site:
    """A store, upstreams and gateway hosts with proxies between them.

    Attributes:
        store: The store.
        store_proxy: Proxy between the hosts and the store.
        upstreams: Upstreams by name.
        proxies: Proxies between the hosts and the upstreams, by upstream name.
        hosts: The gateway hosts.
    """

    def __init__(
        self,
        folder: pathlib.Path,
        hosts: int = 2,
        bounds: Mapping[str, float] = BOUNDS,
        contracts: Sequence[str] = (),
        era: int | None = None,
        machine: Mapping[str, float] | None = None,
    ) -> None:
        self.store = gateway_store.GatewayStore()
        self.store.era = era
        self.upstreams: dict[str, gateway_upstream.GatewayUpstream] = {}
        self.proxies: dict[str, faultproxy.RouteProxy] = {}
        self._listeners: list[asyncio.Server] = []
        self._store_port = free_port()
        listen_port = free_port()
        self.store_proxy = self._proxy(listen_port, self._store_port)
        ports = [{key: free_port() for key in _PORT_KEYS} for _ in range(hosts)]
        seeds = [f"{ADDRESS}:{host_ports['control']}" for host_ports in ports]
        self.hosts = [
            HostProcess(
                f"h{i}",
                folder,
                listen_port,
                seeds,
                host_ports,
                bounds,
                contracts,
                machine=machine,
            )
            for i, host_ports in enumerate(ports)
        ]

    async def start(self, replicas: int = 2) -> None:
        """Starts all parts and waits until the hosts are ready."""
        await self.store.start(ADDRESS, self._store_port)
        self._listeners.append(await self.store_proxy.start())
        for number, shard in enumerate(SHARDS):
            for replica in range(replicas):
                body = RECORD_FORMAT % number + RECORD_FORMAT % (number + 10)
                await self.add_upstream(f"{shard}-{replica}", shard, body)
        for replica in range(replicas - 1):
            await self.add_upstream(
                f"{ACTION_SERVICE}-{replica}", ACTION_SERVICE, b"done"
            )
        self.store.put("config", "main", configuration(3))
        for host in self.hosts:
            await host.start()
        for host in self.hosts:
            await host.wait_ready()

    async def add_upstream(self, name: str, service: str, body: bytes) -> None:
        """Starts an upstream behind a proxy and writes its store entry."""
        upstream = gateway_upstream.GatewayUpstream(name, service, body)
        port = free_port()
        await upstream.start(ADDRESS, port)
        upstream.port = free_port()
        self.upstreams[name] = upstream
        self.proxies[name] = self._proxy(upstream.port, port)
        self._listeners.append(await self.proxies[name].start())
        self.write_upstream_entry(name)

    def write_upstream_entry(self, name: str, state: str = "ready") -> None:
        """Writes the next entry of an upstream to the store."""
        entry = self.upstreams[name].next_store_entry(ADDRESS, state)
        self.store.put("servers", name, entry)

    async def stop(self) -> None:
        """Stops all parts."""
        for host in self.hosts:
            await host.stop()
        for listener in self._listeners:
            listener.close()
        for proxy in (self.store_proxy, *self.proxies.values()):
            proxy.close()
        # Lets the proxies' tasks notice the closed connections and end.
        await asyncio.sleep(_POLL_S)
        for upstream in self.upstreams.values():
            upstream.close()
        self.store.close()

    def _proxy(
        self, listen_port: int, target_port: int
    ) -> faultproxy.RouteProxy:
        proxy_route = faultproxy.Route(
            f"{ADDRESS}:{listen_port}", f"{ADDRESS}:{target_port}"
        )
        return faultproxy.RouteProxy(proxy_route, seed=listen_port)


@contextlib.asynccontextmanager
async def running_site(
    folder: pathlib.Path,
    hosts: int = 2,
    replicas: int = 2,
    bounds: Mapping[str, float] = BOUNDS,
    contracts: Sequence[str] = (),
    era: int | None = None,
    machine: Mapping[str, float] | None = None,
) -> AsyncIterator[Site]:
    """Runs a site for the duration of the context.

    Args:
        folder: Folder for settings and logs.
        hosts: Number of gateway hosts.
        replicas: Number of upstreams of each shard.
        bounds: Figures of the rules, as the platform gives them to hosts.
        contracts: Names of the platform's features in force.
        era: Epoch of the store, or None if it has none.
        machine: Size of the hosts' machines, as the platform gives it to
            hosts; None if it gives none.
    """
    site = Site(folder, hosts, bounds, contracts, era, machine)
    try:
        await site.start(replicas)
        yield site
    finally:
        await site.stop()

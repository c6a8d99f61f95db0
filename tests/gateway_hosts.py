"""Starts gateway hosts as processes, with settings from the deploy template."""

import asyncio
import contextlib
import itertools
import json
import pathlib
import re
import socket
import sys

from greengagedale.http1 import client
from greengagedale.http1 import messages
from standins import deployments
from standins import users_store
from standins import users_upstream

ROOT = pathlib.Path(__file__).parent.parent
TEMPLATE = ROOT / "deploy" / "settings.toml"
ADDRESS = "127.0.0.1"
SHARDS = ("s1", "s2", "s3")
RECORD = b"%015d\n"
BOUNDS = {
    "budgetWindowS": 10,
    "budgetRatio": 0.2,
    "budgetBurst": 56,
    "graceS": 3,
}


# Below the range that the kernel draws from for outgoing connections, so that
# none of those takes a port between its choice here and its use.
_PORTS = itertools.count(deployments.BASE_PORT + 2000)


def free_port():
    """Returns a port that nothing listens on."""
    for port in _PORTS:
        with socket.socket() as held, contextlib.suppress(OSError):
            held.bind((ADDRESS, port))
            return port
    raise AssertionError("unreachable")


def render(template, fields):
    """Fills a template in as the platform does."""

    def value(match):
        path, as_json = match.group(1), match.group(2)
        held = fields
        for key in path.split("."):
            held = held[int(key)] if isinstance(held, list) else held[key]
        return json.dumps(held) if as_json else str(held)

    return re.sub(r"\{\{([\w.]+)(\|json)?\}\}", value, template)


class HostProcess:
    """A gateway host as a process."""

    def __init__(self, name, folder, store_port, seeds, ports):
        self.name = name
        self.ports = ports
        self.log_path = folder / f"{name}.log"
        self._settings = folder / f"{name}.toml"
        self._process = None
        fields = {
            "nodeName": name,
            "zone": "here",
            "ip": ADDRESS,
            "bindAddresses": {
                key: f"{ADDRESS}:{port}"
                for key, port in ports.items()
                if key != "metrics"
            },
            "internalPortRange": [ports["metrics"]],
            "platform": {"address": f"{ADDRESS}:{store_port}"},
            "seeds": seeds,
            "bounds": BOUNDS,
        }
        text = render(TEMPLATE.read_text(encoding="utf-8"), fields)
        self._settings.write_text(text, encoding="utf-8")

    async def start(self, stdout=None):
        """Starts the process; its log goes to a file, or where told."""
        with self.log_path.open("ab") as log:
            self._process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "greengagedale",
                "serve",
                "--settings",
                str(self._settings),
                stdout=log if stdout is None else stdout,
                stderr=asyncio.subprocess.STDOUT,
                cwd=ROOT,
            )
        return self._process

    def signal(self, number):
        """Sends a signal to the process."""
        self._process.send_signal(number)

    async def ended(self):
        """Waits for the process to end and returns its exit code."""
        return await self._process.wait()

    async def stop(self):
        """Ends the process."""
        if self._process is not None and self._process.returncode is None:
            self._process.kill()
            await self._process.wait()

    def lines(self):
        """Returns the log lines that are JSON objects."""
        text = self.log_path.read_text(encoding="utf-8")
        return [
            json.loads(line) for line in text.splitlines() if line[:1] == "{"
        ]

    async def get(self, target, port="http", method=b"GET", **headers):
        """Sends a request on a new connection."""
        connection = await client.Connection.open(
            ADDRESS, self.ports[port], 1.0
        )
        try:
            return await self.ask(connection, target, method, **headers)
        finally:
            connection.close()

    async def ask(self, connection, target, method=b"GET", **headers):
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
        async with asyncio.timeout(8.0):
            return await connection.exchange(data)

    async def search(self, request_id="r1", left_ms=2000):
        """Sends a search over all shards."""
        return await self.get(
            "/find/x", request_id=request_id, deadline_ms=left_ms
        )

    async def is_ready(self):
        """Tells whether the host says that it is ready."""
        try:
            reply = await self.get("/-/ready", "ready")
        except OSError:
            return False
        return getattr(reply, "status", 0) == 200

    async def ready(self, timeout_s=10.0):
        """Waits until the host is ready."""
        async with asyncio.timeout(timeout_s):
            while not await self.is_ready():
                await asyncio.sleep(0.05)


def route(name, prefix, **fields):
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


def configuration(version, more=()):
    gather = {"gather": list(SHARDS), "topK": 4, "minCoverage": 0.6}
    return {
        "version": version,
        "routes": [
            route("find", "/find/", **gather),
            route("get", "/get/", service="s1"),
            route("book", "/book/", type="non_idempotent", service="one"),
            *more,
        ],
        "services": [
            {"name": name, "healthPath": "/h", "maxConnections": 40}
            for name in (*SHARDS, "one")
        ],
    }


class Site:
    """A store, upstreams and hosts of the users' platform."""

    def __init__(self, folder, hosts=2):
        self.folder = folder
        self.store = users_store.UsersStore()
        self.store_port = free_port()
        self.upstreams = {}
        ports = [
            {
                key: free_port()
                for key in ("http", "ready", "directory", "control", "metrics")
            }
            for _ in range(hosts)
        ]
        seeds = [f"{ADDRESS}:{each['control']}" for each in ports]
        self.hosts = [
            HostProcess(f"h{i}", folder, self.store_port, seeds, each)
            for i, each in enumerate(ports)
        ]

    async def start(self):
        """Starts everything and waits for the hosts."""
        await self.store.start(ADDRESS, self.store_port)
        for number, shard in enumerate(SHARDS):
            for replica in range(2):
                body = RECORD % number + RECORD % (number + 10)
                await self.add_upstream(f"{shard}-{replica}", shard, body)
        await self.add_upstream("one-0", "one", b"done")
        self.store.put("config", "main", configuration(3))
        for host in self.hosts:
            await host.start()
        for host in self.hosts:
            await host.ready()

    async def add_upstream(self, name, service, body):
        """Starts an upstream and lists it."""
        upstream = users_upstream.UsersUpstream(name, body)
        await upstream.start(ADDRESS, free_port())
        self.upstreams[name] = upstream
        self.store.put("servers", name, upstream.entry(service, ADDRESS))

    async def stop(self):
        """Ends everything."""
        for host in self.hosts:
            await host.stop()
        for upstream in self.upstreams.values():
            upstream.close()
        self.store.close()


@contextlib.asynccontextmanager
async def running_site(folder, hosts=2):
    """Runs a site."""
    site = Site(folder, hosts)
    try:
        await site.start()
        yield site
    finally:
        await site.stop()

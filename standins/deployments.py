"""Starts and stops whole deployments as real processes."""

from collections.abc import Callable, Mapping, Sequence
import contextlib
import os
import pathlib
import signal
import subprocess
import sys
import time
from typing import Any, Self
import urllib.request

from greengagedale.catalog import services
from standins import bare
from standins import httpcalls
from standins import records
from standins import shapes

EXAMPLES_DIR = pathlib.Path(__file__).parents[1] / "examples"
SMALL_SHAPE = EXAMPLES_DIR / "small.toml"
BASE_PORT = int(os.environ.get("GREENGAGEDALE_TEST_BASE_PORT", "23000"))
START_TIMEOUT_S = 30.0
STOP_TIMEOUT_S = 20.0
_POLL_S = 0.05


def wait_until(
    condition: Callable[[], Any], what: str, timeout_s: float = START_TIMEOUT_S
) -> Any:
    """Waits for a condition and returns its value once it is true.

    Raises:
        TimeoutError: It did not come true in time.
    """
    until = time.monotonic() + timeout_s
    while True:
        value = condition()
        if value:
            return value
        if time.monotonic() > until:
            raise TimeoutError(f"waited in vain for {what}")
        time.sleep(_POLL_S)


class Deployment:
    """One platform, the upstreams of a shape and its entry hosts."""

    def __init__(
        self,
        folder: pathlib.Path,
        shape_path: pathlib.Path = SMALL_SHAPE,
        base_port: int = BASE_PORT,
        proxied: bool = False,
        host_command: Sequence[str] = ("-m", "greengagedale", "serve"),
    ) -> None:
        self.folder = folder
        self.shape_path = shape_path
        self.shape = shapes.Shape.from_file(shape_path, base_port, proxied)
        self._host_command = host_command
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self._hosts = self.shape.entry_hosts()
        self._logs = contextlib.ExitStack()

    def start(
        self,
        settings_extra: str = "",
        service: str | None = None,
        hosts: int = shapes.ENTRY_HOSTS,
        one_process_each: bool = False,
        host_settings: Mapping[str, str] | None = None,
    ) -> Self:
        """Starts everything and waits until all hosts know each other.

        Args:
            settings_extra: TOML that goes at the end of hosts' settings.
            service: If given, only its upstreams are started, in one process
                for each replica number; else each has a process of its own.
            hosts: How many entry hosts are started.
            one_process_each: Each upstream has a process of its own also if
                a service is given.
            host_settings: More TOML for hosts, by name.
        """
        if self.shape.proxied:
            self._launch_standin("proxy", "proxy")
        self.start_platform()
        for name, members in self._upstream_groups(
            service, one_process_each
        ).items():
            self.start_upstream(name, members)
        self._hosts = self.shape.entry_hosts()[:hosts]
        for host in self._hosts:
            own = (host_settings or {}).get(host.name, "")
            self.start_host(host, settings_extra + own)
        self.wait_ready()
        return self

    def start_bare_fanout(self, service: str) -> None:
        """Starts the bare fan-out over a service; waits until it answers."""
        self._launch_standin("bare", "bare", "--service", service)
        endpoint = bare.endpoint_of(self.shape)
        wait_until(lambda: _answers(endpoint), "the bare fan-out")

    def _upstream_groups(
        self, service: str | None, one_process_each: bool
    ) -> dict[str, str]:
        names = [
            item.upstream.name
            for item in self.shape.upstreams()
            if service in (None, item.shape.name)
        ]
        if service is None or one_process_each:
            return {name: name for name in names}
        groups: dict[str, list[str]] = {}
        for name in names:
            key = f"{service}-replica-{name.rpartition('-')[2]}"
            groups.setdefault(key, []).append(name)
        return {key: ",".join(members) for key, members in groups.items()}

    def start_platform(self) -> None:
        """Starts the platform."""
        self._launch_standin("platform", "platform")

    def start_upstream(self, name: str, members: str | None = None) -> None:
        """Starts a process that runs the named upstreams.

        Args:
            name: Name of the process.
            members: Upstreams by comma; the one of that name if absent.
        """
        self._launch_standin(name, "upstream", "--names", members or name)

    def start_host(
        self, host: shapes.EntryHost, settings_extra: str = ""
    ) -> None:
        """Starts an entry host; extra TOML goes at the end of its settings."""
        path = self.folder / f"{host.name}.toml"
        path.write_text(host.settings_toml(self.shape) + settings_extra)
        self._launch(host.name, *self._host_command, "--settings", str(path))

    def wait_ready(self) -> None:
        """Waits until every host locates all of them."""
        hosts = self._hosts
        wait_until(
            lambda: all(
                len(self.located_hosts(h)) == len(hosts) for h in hosts
            ),
            "all hosts to be located by each",
        )

    def located_hosts(self, host: shapes.EntryHost) -> list[str]:
        """Returns the names of the hosts that a host locates."""
        with contextlib.suppress(OSError):
            answer = httpcalls.get(self.caller_address(host), "/v1/locate")
            return [item["name"] for item in answer.body["hosts"]]
        return []

    def caller_address(self, host: shapes.EntryHost) -> str:
        """Returns the address for callers."""
        return f"{host.address}:{host.caller_port}"

    def operator_address(self, host: shapes.EntryHost) -> str:
        """Returns the address for operators."""
        return f"{host.address}:{host.operator_port}"

    def host(self, number: int) -> shapes.EntryHost:
        """Returns an entry host; the first has number 1."""
        return self.shape.entry_hosts()[number - 1]

    def apply_example_workspace(self) -> None:
        """Applies a template and a workspace for the small service."""
        self.apply_workspace("search-a", "member-a", "places")

    def apply_workspace(
        self, name: str, member: str, service: str, **plan: Any
    ) -> None:
        """Applies a template and a workspace; waits until all have it.

        Args:
            name: Name of both.
            member: Member that the workspace is for.
            service: Service that it searches.
            **plan: Further settings of the workspace.
        """
        workspace = {"member": member, "template": name}
        self.apply_template(name, {"workspace": {"service": service, **plan}})
        self._apply(f"/v1/workspaces/{name}", workspace)

    def apply_template(self, name: str, template: dict[str, Any]) -> None:
        """Applies a template; waits until all hosts have it."""
        self._apply(f"/v1/templates/{name}", template)

    def _apply(self, path: str, body: dict[str, Any]) -> None:
        operator = self.operator_address(self.host(1))
        answer = httpcalls.call("PUT", operator, path, body)
        if answer.status != httpcalls.STATUS_OK:
            raise RuntimeError(f"{path}: {answer}")
        self.wait_revision(answer.body["revision"])

    def wait_revision(self, revision: int) -> None:
        """Waits until a revision is in force on every host."""
        operator = self.operator_address(self.host(1))
        wait_until(
            lambda: all(
                item["revision"] >= revision
                for item in httpcalls.get(operator, "/v1/fleet").body["hosts"]
            ),
            f"revision {revision} on every host",
        )

    def control_platform(self, **faults: Any) -> None:
        """Sets how the platform misbehaves; none means not at all."""
        httpcalls.call("POST", self.shape.platform_endpoint, "/control", faults)

    def publish_service(self, service: services.Service) -> None:
        """Has the platform replace a service, whatever it holds now."""
        path = f"/v1/objects/{services.KIND_SERVICE}/{service.name}"
        held = httpcalls.get(self.shape.platform_endpoint, path).body
        request = urllib.request.Request(
            f"http://{self.shape.platform_endpoint}{path}",
            services.encode_service(service),
            {"If-Match": str(held["version"])},
            method="PUT",
        )
        urllib.request.urlopen(request).close()

    def control_upstream(self, name: str, **control: Any) -> None:
        """Changes what an upstream holds and how it misbehaves."""
        placed = {p.upstream.name: p for p in self.shape.upstreams()}
        httpcalls.call("POST", placed[name].listen, "/control", control)

    def control_proxy(self, targets: Sequence[str] = (), **fault: Any) -> None:
        """Sets the faults of routes to some targets; no targets means all."""
        body = {"targets": list(targets), "fault": fault}
        endpoint = self.shape.proxy_control_endpoint
        httpcalls.call("POST", endpoint, "/control", body)

    def cut_links(self, *links: tuple[int, int]) -> None:
        """Cuts one-way links between entry hosts, by number; heals others."""
        cut = [
            (self.host(sender).peer_endpoint, self.host(target).peer_endpoint)
            for sender, target in links
        ]
        endpoint = self.shape.cut_control_endpoint
        httpcalls.call("POST", endpoint, "/control", {"cut": cut})

    def signal(self, name: str, number: int) -> None:
        """Sends a signal to a process."""
        self.processes[name].send_signal(number)

    def kill(self, name: str) -> None:
        """Kills a process and waits for its end."""
        process = self.processes.pop(name)
        process.kill()
        process.wait()

    def read_record(self, name: str) -> list[dict[str, Any]]:
        """Returns what a stand-in has recorded."""
        return records.read(self.folder / f"{name}.jsonl")

    def read_log(self, name: str) -> str:
        """Returns what a process has logged."""
        return (self.folder / f"{name}.log").read_text()

    def stop(self) -> None:
        """Kills all processes that were started."""
        for process in self.processes.values():
            process.send_signal(signal.SIGCONT)
            process.kill()
        for process in self.processes.values():
            process.wait(STOP_TIMEOUT_S)
        self._logs.close()

    def _launch_standin(self, name: str, *arguments: str) -> None:
        placed = (
            "--shape",
            str(self.shape_path),
            "--base-port",
            str(self.shape.base_port),
            "--record",
            str(self.folder / f"{name}.jsonl"),
        )
        proxied = ("--proxied",) if self.shape.proxied else ()
        self._launch(name, "-m", "standins", *arguments, *placed, *proxied)

    def _launch(self, name: str, *command: str) -> None:
        path = self.folder / f"{name}.log"
        log = self._logs.enter_context(path.open("a", encoding="utf-8"))
        self.processes[name] = subprocess.Popen(
            [sys.executable, *command], stdout=log, stderr=log
        )


def _answers(endpoint: str) -> bool:
    try:
        httpcalls.get(endpoint, "/")
    except OSError:
        return False
    return True

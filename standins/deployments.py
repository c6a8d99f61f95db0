"""Starts and stops complete deployments as real processes."""

from collections.abc import Callable, Mapping, Sequence
import contextlib
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
from standins import ports
from standins import records
from standins import shapes

EXAMPLES_DIR = pathlib.Path(__file__).parents[1] / "examples"
SMALL_SHAPE = EXAMPLES_DIR / "small.toml"
START_TIMEOUT_S = 30.0
STOP_TIMEOUT_S = 20.0
_POLL_S = 0.05


def wait_until(
    condition: Callable[[], Any],
    description: str,
    timeout_s: float = START_TIMEOUT_S,
) -> Any:
    """Polls a condition and returns its value once it is true.

    Raises:
        TimeoutError: The condition was still false after the timeout.
    """
    deadline_s = time.monotonic() + timeout_s
    while True:
        value = condition()
        if value:
            return value
        if time.monotonic() > deadline_s:
            raise TimeoutError(f"timed out waiting for {description}")
        time.sleep(_POLL_S)


class Deployment:
    """A deployment: the platform, upstreams and entry hosts of a shape."""

    def __init__(
        self,
        folder: pathlib.Path,
        shape_path: pathlib.Path = SMALL_SHAPE,
        base_port: int | None = None,
        proxied: bool = False,
        host_command: Sequence[str] = ("-m", "greengagedale", "serve"),
    ) -> None:
        self.folder = folder
        self.shape_path = shape_path
        if base_port is None:
            base_port = ports.base_port()
        self.shape = shapes.Shape.from_file(shape_path, base_port, proxied)
        self._host_command = host_command
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self._hosts = self.shape.entry_hosts()
        self._log_files = contextlib.ExitStack()

    def start(
        self,
        extra_settings: str = "",
        service: str | None = None,
        hosts: int = shapes.ENTRY_HOSTS,
        one_process_each: bool = False,
        host_settings: Mapping[str, str] | None = None,
    ) -> Self:
        """Starts all processes and waits until all hosts see each other.

        Args:
            extra_settings: TOML appended to the settings of every host.
            service: If given, only the upstreams of this service are started,
                in one process per replica number; otherwise every upstream
                runs in its own process.
            hosts: Number of entry hosts to start.
            one_process_each: Whether every upstream runs in its own process
                even if a service is given.
            host_settings: TOML appended to the settings of single hosts, by
                host name.
        """
        if self.shape.proxied:
            self._launch_standin("proxy", "proxy")
        self.start_platform()
        for name, upstream_names in self._upstream_groups(
            service, one_process_each
        ).items():
            self.start_upstream(name, upstream_names)
        self._hosts = self.shape.entry_hosts()[:hosts]
        for host in self._hosts:
            host_extra = (host_settings or {}).get(host.name, "")
            self.start_host(host, extra_settings + host_extra)
        self.wait_ready()
        return self

    def start_bare_fanout(self, service: str) -> None:
        """Starts the bare fan-out of a service and waits until it answers."""
        self._launch_standin("bare", "bare", "--service", service)
        endpoint = bare.endpoint_of(self.shape)
        wait_until(lambda: _is_answering(endpoint), "the bare fan-out")

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
        return {
            key: ",".join(upstream_names)
            for key, upstream_names in groups.items()
        }

    def start_platform(self) -> None:
        """Starts the platform process."""
        self._launch_standin("platform", "platform")

    def start_upstream(
        self, name: str, upstream_names: str | None = None
    ) -> None:
        """Starts a process that runs the named upstreams.

        Args:
            name: Name of the process.
            upstream_names: Comma-separated names of the upstreams to run;
                defaults to the upstream with the name of the process.
        """
        self._launch_standin(
            name, "upstream", "--names", upstream_names or name
        )

    def start_host(
        self, host: shapes.EntryHost, extra_settings: str = ""
    ) -> None:
        """Starts an entry host; extra TOML is appended to its settings."""
        path = self.folder / f"{host.name}.toml"
        path.write_text(host.settings_toml(self.shape) + extra_settings)
        self._launch(host.name, *self._host_command, "--settings", str(path))

    def wait_ready(self) -> None:
        """Waits until every started host lists all started hosts."""
        hosts = self._hosts
        wait_until(
            lambda: all(
                len(self.located_hosts(h)) == len(hosts) for h in hosts
            ),
            "every host to list all hosts",
        )

    def located_hosts(self, host: shapes.EntryHost) -> list[str]:
        """Returns the host names in a host's answer to `/v1/locate`.

        The list is empty if the host does not answer.
        """
        with contextlib.suppress(OSError):
            answer = httpcalls.get(self.caller_address(host), "/v1/locate")
            return [item["name"] for item in answer.body["hosts"]]
        return []

    def caller_address(self, host: shapes.EntryHost) -> str:
        """Returns the `address:port` of a host for callers."""
        return f"{host.address}:{host.caller_port}"

    def operator_address(self, host: shapes.EntryHost) -> str:
        """Returns the `address:port` of a host for operators."""
        return f"{host.address}:{host.operator_port}"

    def host(self, number: int) -> shapes.EntryHost:
        """Returns an entry host by its number, starting at 1."""
        return self.shape.entry_hosts()[number - 1]

    def apply_example_workspace(self) -> None:
        """Applies a template and a workspace for the service `places`."""
        self.apply_workspace("search-a", "member-a", "places")

    def apply_workspace(
        self, name: str, member: str, service: str, **workspace_settings: Any
    ) -> None:
        """Applies a template and a workspace, and waits for all hosts.

        Args:
            name: Name of both the template and the workspace.
            member: Member that owns the workspace.
            service: Service that the workspace searches.
            **workspace_settings: Further workspace settings of the template.
        """
        workspace = {"member": member, "template": name}
        self.apply_template(
            name, {"workspace": {"service": service, **workspace_settings}}
        )
        self._apply(f"/v1/workspaces/{name}", workspace)

    def apply_template(self, name: str, template: dict[str, Any]) -> None:
        """Applies a template and waits until all hosts use it."""
        self._apply(f"/v1/templates/{name}", template)

    def _apply(self, path: str, body: dict[str, Any]) -> None:
        operator = self.operator_address(self.host(1))
        answer = httpcalls.call("PUT", operator, path, body)
        if answer.status != httpcalls.STATUS_OK:
            raise RuntimeError(f"{path}: {answer}")
        self.wait_revision(answer.body["revision"])

    def wait_revision(self, revision: int) -> None:
        """Waits until every host uses at least the given revision."""
        operator = self.operator_address(self.host(1))
        wait_until(
            lambda: all(
                item["revision"] >= revision
                for item in httpcalls.get(operator, "/v1/fleet").body["hosts"]
            ),
            f"revision {revision} on every host",
        )

    def control_platform(self, **faults: Any) -> None:
        """Replaces the platform's faults; without arguments, clears them."""
        httpcalls.call("POST", self.shape.platform_endpoint, "/control", faults)

    def publish_service(self, service: services.Service) -> None:
        """Overwrites a service on the platform, whatever its version is."""
        path = f"/v1/objects/{services.KIND_SERVICE}/{service.name}"
        stored = httpcalls.get(self.shape.platform_endpoint, path).body
        request = urllib.request.Request(
            f"http://{self.shape.platform_endpoint}{path}",
            services.encode_service(service),
            {"If-Match": str(stored["version"])},
            method="PUT",
        )
        urllib.request.urlopen(request).close()

    def control_upstream(self, name: str, **control: Any) -> None:
        """Changes the holdings and faults of an upstream."""
        by_name = {p.upstream.name: p for p in self.shape.upstreams()}
        httpcalls.call(
            "POST", by_name[name].listen_endpoint, "/control", control
        )

    def control_proxy(self, targets: Sequence[str] = (), **fault: Any) -> None:
        """Sets the proxy's fault for the given targets, or for all if none."""
        body = {"targets": list(targets), "fault": fault}
        endpoint = self.shape.proxy_control_endpoint
        httpcalls.call("POST", endpoint, "/control", body)

    def cut_links(self, *links: tuple[int, int]) -> None:
        """Cuts one-way links between entry hosts and restores all others.

        Each link is a pair of the sender's and the receiver's host number.
        """
        cut_endpoints = [
            (self.host(sender).peer_endpoint, self.host(target).peer_endpoint)
            for sender, target in links
        ]
        endpoint = self.shape.cut_control_endpoint
        httpcalls.call("POST", endpoint, "/control", {"cut": cut_endpoints})

    def signal(self, name: str, signal_number: int) -> None:
        """Sends a signal to a process."""
        self.processes[name].send_signal(signal_number)

    def kill(self, name: str) -> None:
        """Kills a process and waits until it has exited."""
        process = self.processes.pop(name)
        process.kill()
        process.wait()

    def read_record(self, name: str) -> list[dict[str, Any]]:
        """Returns the events that a stand-in has recorded."""
        return records.read(self.folder / f"{name}.jsonl")

    def read_log(self, name: str) -> str:
        """Returns the log of a process."""
        return (self.folder / f"{name}.log").read_text()

    def stop(self) -> None:
        """Kills all started processes."""
        for process in self.processes.values():
            process.send_signal(signal.SIGCONT)
            process.kill()
        for process in self.processes.values():
            process.wait(STOP_TIMEOUT_S)
        self._log_files.close()

    def _launch_standin(self, name: str, *arguments: str) -> None:
        options = (
            "--shape",
            str(self.shape_path),
            "--base-port",
            str(self.shape.base_port),
            "--record",
            str(self.folder / f"{name}.jsonl"),
        )
        proxied = ("--proxied",) if self.shape.proxied else ()
        self._launch(name, "-m", "standins", *arguments, *options, *proxied)

    def _launch(self, name: str, *command: str) -> None:
        path = self.folder / f"{name}.log"
        log = self._log_files.enter_context(path.open("a", encoding="utf-8"))
        self.processes[name] = subprocess.Popen(
            [sys.executable, *command], stdout=log, stderr=log
        )


def _is_answering(endpoint: str) -> bool:
    try:
        httpcalls.get(endpoint, "/")
    except OSError:
        return False
    return True

"""Starts and stops whole deployments as real processes."""

import contextlib
import os
import pathlib
import signal
import subprocess
import sys
import time

import httpcalls

from standins import records
from standins import shapes

SHAPE = pathlib.Path(__file__).parent / "shapes" / "small.toml"
EXAMPLES = pathlib.Path(__file__).parents[1] / "examples"
BASE_PORT = int(os.environ.get("GREENGAGEDALE_TEST_BASE_PORT", "23000"))
START_TIMEOUT_S = 30.0
STOP_TIMEOUT_S = 20.0
_POLL_S = 0.05


def wait_until(condition, what, timeout_s=START_TIMEOUT_S):
    """Waits for a condition; its value is returned once it is true."""
    until = time.monotonic() + timeout_s
    while True:
        value = condition()
        if value:
            return value
        assert time.monotonic() < until, f"waited in vain for {what}"
        time.sleep(_POLL_S)


class Deployment:
    """One platform, the upstreams of a shape and its entry hosts."""

    def __init__(self, folder, shape_path=SHAPE, base_port=BASE_PORT):
        self.folder = folder
        self.shape_path = shape_path
        self.shape = shapes.Shape.from_file(shape_path, base_port)
        self.processes = {}
        self._logs = contextlib.ExitStack()

    def start(self, settings_extra=""):
        self.start_platform()
        for placed in self.shape.upstreams():
            self.start_upstream(placed.upstream.name)
        for host in self.shape.entry_hosts():
            self.start_host(host, settings_extra)
        self.wait_ready()
        return self

    def start_platform(self):
        self._launch("platform", "standins", "platform", *self._placed())

    def start_upstream(self, name):
        self._launch(
            name, "standins", "upstream", *self._placed(), "--names", name
        )

    def start_host(self, host, settings_extra=""):
        path = self.folder / f"{host.name}.toml"
        path.write_text(host.settings_toml(self.shape) + settings_extra)
        self._launch(
            host.name, "greengagedale", "serve", "--settings", str(path)
        )

    def wait_ready(self):
        hosts = self.shape.entry_hosts()
        wait_until(
            lambda: all(len(self.located(h)) == len(hosts) for h in hosts),
            "all hosts to be located by each",
        )

    def located(self, host):
        with contextlib.suppress(OSError):
            answer = httpcalls.get(self.caller(host), "/v1/locate")
            return [item["name"] for item in answer.body["hosts"]]
        return []

    def caller(self, host):
        return f"{host.address}:{host.caller_port}"

    def operator(self, host):
        return f"{host.address}:{host.operator_port}"

    def host(self, number):
        return self.shape.entry_hosts()[number - 1]

    def apply_examples(self):
        """Applies a template and a workspace for the small service."""
        operator = self.operator(self.host(1))
        template = {
            "parameters": {"timeout_ms": {"type": "integer", "default": 2000}},
            "workspace": {"service": "places", "timeout_ms": "${timeout_ms}"},
        }
        workspace = {"member": "member-a", "template": "site"}
        for path, body in (
            ("/v1/templates/site", template),
            ("/v1/workspaces/search-a", workspace),
        ):
            answer = httpcalls.call("PUT", operator, path, body)
            assert answer.status == 200, answer
        self.wait_revision(answer.body["revision"])

    def wait_revision(self, revision):
        operator = self.operator(self.host(1))
        wait_until(
            lambda: all(
                item["revision"] >= revision
                for item in httpcalls.get(operator, "/v1/fleet").body["hosts"]
            ),
            f"revision {revision} on every host",
        )

    def control_platform(self, **faults):
        httpcalls.call("POST", self.shape.platform_endpoint, "/control", faults)

    def control_upstream(self, name, **control):
        placed = {p.upstream.name: p.upstream for p in self.shape.upstreams()}
        httpcalls.call("POST", placed[name].endpoint, "/control", control)

    def signal(self, name, number):
        self.processes[name].send_signal(number)

    def kill(self, name):
        process = self.processes.pop(name)
        process.kill()
        process.wait()

    def record_of(self, name):
        return records.read(self.folder / f"{name}.jsonl")

    def log_of(self, name):
        return (self.folder / f"{name}.log").read_text()

    def stop(self):
        for process in self.processes.values():
            process.send_signal(signal.SIGCONT)
            process.kill()
        for process in self.processes.values():
            process.wait(STOP_TIMEOUT_S)
        self._logs.close()

    def _placed(self):
        return (
            "--shape",
            str(self.shape_path),
            "--base-port",
            str(self.shape.base_port),
        )

    def _launch(self, name, module, *arguments):
        record = (
            ("--record", str(self.folder / f"{name}.jsonl"))
            if module == "standins"
            else ()
        )
        log = self._logs.enter_context((self.folder / f"{name}.log").open("a"))
        self.processes[name] = subprocess.Popen(
            [sys.executable, "-m", module, *arguments, *record],
            stdout=log,
            stderr=log,
        )

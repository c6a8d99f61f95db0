"""Configuration changes through real processes."""

import json
import subprocess
import sys

import pytest

from standins import deployments
from standins import httpcalls

TEMPLATE = """
name = "cli"
[parameters.timeout_ms]
type = "integer"
default = 100
[workspace]
service = "places"
timeout_ms = "${timeout_ms}"
"""
WORKSPACE = """
name = "cli-w"
member = "member-a"
template = "cli"
parameters.timeout_ms = 50
"""


@pytest.fixture
def run(shared_deployment):
    """Returns a function that runs a command against the second host.

    The function returns the exit code, the decoded output and the errors.
    """
    endpoint = shared_deployment.operator_address(shared_deployment.host(2))

    def run_command(*arguments):
        done = subprocess.run(
            [sys.executable, "-m", "greengagedale", *arguments],
            env={"GREENGAGEDALE_OPERATOR": endpoint},
            capture_output=True,
            text=True,
            check=False,
        )
        assert "Traceback" not in done.stderr
        return done.returncode, json.loads(done.stdout or "{}"), done.stderr

    return run_command


def test_commands_show_versions_conflicts_and_change_status(run, tmp_path):
    template = tmp_path / "template.toml"
    template.write_text(TEMPLATE)
    workspace = tmp_path / "workspace.toml"
    workspace.write_text(WORKSPACE)
    code, applied, _ = run("template", "apply", str(template), "--wait")
    assert code == 0
    assert len(applied["hosts"]) == 4
    assert min(applied["hosts"].values()) >= applied["revision"]
    code, status, _ = run("change", applied["change_id"])
    assert (code, status["revision"]) == (0, applied["revision"])
    code, _, error = run("change", f"{applied['revision']}-0123456789")
    assert code == 3
    assert "not accepted as of revision" in error
    assert run("workspace", "apply", str(workspace))[0] == 0
    code, refused, _ = run("template", "delete", "cli")
    assert (code, refused["reason"]) == (3, "invalid")
    version = run("template", "get", "cli")[1]["version"]
    template.write_text(TEMPLATE.replace("100", "200"))
    applying = ("template", "apply", str(template), "--if-version", version)
    changed = run(*applying)[1]
    code, refused, error = run(*applying)
    assert (code, refused["reason"]) == (3, "conflict")
    assert changed["change_id"] in error
    assert refused["conflicts"][0]["key"] == "templates/cli"
    assert run("workspace", "delete", "cli-w")[0] == 0
    assert run("template", "delete", "cli", "--wait")[0] == 0


@pytest.mark.parametrize(
    ("name", "value", "key"),
    [
        ("X-Change-Id", "no-revision", "change_id"),
        ("X-Change-Id", "1-short", "change_id"),
        ("If-Match", "12", "If-Match"),
        ("If-None-Match", '"12-ab"', "If-None-Match"),
    ],
)
def test_invalid_headers_get_typed_errors(shared_deployment, name, value, key):
    operator_address = shared_deployment.operator_address(
        shared_deployment.host(3)
    )
    body = {"member": "member-a", "template": "site"}
    answer = httpcalls.call(
        "PUT", operator_address, "/v1/workspaces/w", body, headers={name: value}
    )
    assert answer.status == 400
    assert [item["key"] for item in answer.body["mistakes"]] == [key]


def test_accepted_change_survives_an_outage_and_restarts(own_deployment):
    deployment = own_deployment
    deployment.start(service="")
    deployment.control_platform(
        silent_clients=["entry-2", "entry-3", "entry-4"]
    )
    body = {"parameters": {}, "workspace": {"service": "places"}}
    operator_address = deployment.operator_address(deployment.host(1))
    answer = httpcalls.call("PUT", operator_address, "/v1/templates/site", body)
    deployment.control_platform(down=True)
    assert answer.body["outcome"] == "accepted"
    deployment.wait_revision(answer.body["revision"])
    refused = httpcalls.call("PUT", operator_address, "/v1/templates/two", body)
    assert refused.status == 503
    assert refused.body["outcome"] == "not_accepted"
    assert "Retry-After" in refused.headers
    for number in (1, 2, 3, 4):
        host = deployment.host(number)
        deployment.kill(host.name)
        deployment.start_host(host)
        deployments.wait_until(
            lambda host=host: host.name in deployment.located_hosts(host),
            "the host to be ready again",
        )
        found = httpcalls.get(
            deployment.operator_address(host), "/v1/configuration"
        )
        assert found.body["revision"] == answer.body["revision"]
    status = httpcalls.get(
        operator_address, f"/v1/changes/{answer.body['change_id']}"
    )
    assert status.body["outcome"] == "accepted"
    unknown = httpcalls.get(operator_address, "/v1/changes/1-0123456789")
    assert unknown.body["outcome"] == "unknown"

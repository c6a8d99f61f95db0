"""The commands in the deploy file build and start a host that serves."""

import os
import shlex
import subprocess
import tomllib

import pytest

from standins import gateway_site

ROOT = gateway_site.ROOT
BUILD_TIMEOUT_S = 400


@pytest.fixture(scope="module")
def deploy():
    """Runs the build and returns the contents of the deploy file."""
    deploy_settings = tomllib.loads(
        (ROOT / "deploy" / "system.toml").read_text()
    )
    subprocess.run(
        shlex.split(deploy_settings["build"]),
        cwd=ROOT,
        check=True,
        timeout=BUILD_TIMEOUT_S,
    )
    return deploy_settings


@pytest.mark.timeout(BUILD_TIMEOUT_S)
async def test_host_from_the_build_serves(deploy, tmp_path):
    (role,) = deploy["roles"].values()
    assert role["template"] == str(gateway_site.TEMPLATE.relative_to(ROOT))
    command = shlex.split(role["run"])
    site = gateway_site.Site(tmp_path, hosts=1)
    (host,) = site.hosts
    # The platform renders the settings to the path given in the command.
    host.command = [*command[:-1], str(host.settings_path)]
    host.environment = {
        "PATH": os.environ["PATH"],
        "PYTHONPATH": str(ROOT / "target" / "deps"),
    }
    try:
        await site.start()
        reply = await host.search()
        assert reply.status == 200
        assert reply.header(b"parts-missing") == b"0"
    finally:
        await site.stop()


def test_host_from_the_build_reports_all_settings_errors(deploy, tmp_path):
    (role,) = deploy["roles"].values()
    path = tmp_path / "bad.toml"
    path.write_text('[gateway]\ncaller_endpoint = "x"\n[logs]\nlevel = "LOUD"')
    done = subprocess.run(
        [*shlex.split(role["run"])[:-1], str(path)],
        cwd=ROOT,
        env={
            "PATH": os.environ["PATH"],
            "PYTHONPATH": str(ROOT / "target" / "deps"),
        },
        capture_output=True,
        text=True,
        timeout=30,
        check=False,
    )
    assert done.returncode == 1
    for message in (
        "host.name: missing",
        "gateway.caller_endpoint: use an IP number and a port",
        "gateway.peer_endpoint: missing",
        "platform.endpoint: missing",
        "logs.level: use one of",
    ):
        assert message in done.stderr
    assert "Traceback" not in done.stderr

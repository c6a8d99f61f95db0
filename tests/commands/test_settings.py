"""The `settings` command validates and shows gateway settings offline."""

import json
import sys

import pytest

from greengagedale import __main__ as command_line

GATEWAY = """
[host]
name = "h-1"
data_centre = "here"
[gateway]
caller_endpoint = "10.0.0.1:80"
ready_endpoint = "10.0.0.1:81"
locate_endpoint = "10.0.0.1:82"
peer_endpoint = "10.0.0.1:83"
[platform]
endpoint = "10.0.0.9:90"
"""


@pytest.fixture
def run(monkeypatch, capsys, tmp_path):
    def call(command, text):
        path = tmp_path / "settings.toml"
        path.write_text(text)
        arguments = ["greengagedale", "settings", command, str(path)]
        monkeypatch.setattr(sys, "argv", arguments)
        with pytest.raises(SystemExit) as ended:
            command_line.main()
        return ended.value.code, capsys.readouterr()

    return call


def test_gateway_settings_are_checked(run):
    code, printed = run("check", GATEWAY)
    assert code == 0
    assert printed.out.endswith(": ok\n")


def test_gateway_settings_are_shown_with_defaults(run):
    code, printed = run("show", GATEWAY)
    assert code == 0
    assert json.loads(printed.out)["gateway"]["locate_ttl_s"] == 1.0


def test_invalid_gateway_settings_are_reported_by_key(run):
    code, printed = run("check", GATEWAY.replace("10.0.0.9:90", "x"))
    assert code == 1
    assert "platform.endpoint: use an IP number and a port" in printed.err

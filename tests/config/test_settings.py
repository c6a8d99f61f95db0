"""Settings report all validation errors together."""

import pathlib
import subprocess
import sys

import pytest

from greengagedale import exceptions
from greengagedale.config import settings

GOOD = """
[host]
name = "entry-1"
data_centre = "dc-a"
address = "127.0.0.1"
caller_port = 7000
operator_port = 7001
peer_port = 7002

[platform]
endpoint = "127.0.0.1:7100"
"""


@pytest.fixture
def write(tmp_path):
    def write_file(text):
        path = tmp_path / "settings.toml"
        path.write_text(text)
        return path

    return write_file


def test_good_settings_have_defaults(write):
    loaded = settings.Settings.from_file(write(GOOD))
    assert loaded.host.name == "entry-1"
    assert loaded.callers.locate_ttl_ms == 2000


def test_all_errors_are_reported_with_their_keys(write):
    text = GOOD.replace('"entry-1"', '"Entry 1"').replace("7000", "70000")
    text += "timeout_s = 5\n[callers]\nlocate_ttl_ms = '2s'\n"
    with pytest.raises(exceptions.ConfigError) as caught:
        settings.Settings.from_file(write(text))
    assert {field_error.key for field_error in caught.value.field_errors} == {
        "host.name",
        "host.caller_port",
        "platform.timeout_s",
        "callers.locate_ttl_ms",
    }


@pytest.mark.parametrize("text", ["[host", "\x00", "host = 1"])
def test_malformed_files_are_rejected(write, text):
    with pytest.raises(exceptions.ConfigError):
        settings.Settings.from_file(write(text))


def test_ticket_lifetime_must_cover_locate_ttl_and_request_timeout(write):
    text = GOOD + "\n[actions]\nticket_life_ms = 5000\n"
    with pytest.raises(exceptions.ConfigError, match=r"at least .* = 12000"):
        settings.Settings.from_file(write(text))


def test_settings_check_works_offline(write):
    good = _check(write(GOOD))
    assert good.returncode == 0
    bad = _check(pathlib.Path("no-such-file.toml"))
    assert bad.returncode == 1
    assert bad.stderr.startswith("Error: no-such-file.toml is not valid:")
    assert "Traceback" not in bad.stderr


def _check(path):
    return subprocess.run(
        [sys.executable, "-m", "greengagedale", "settings", "check", path],
        capture_output=True,
        text=True,
        check=False,
    )

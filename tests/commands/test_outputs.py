"""Snapshot tests of the output of the command line."""

import pathlib
import sys

import pytest

from greengagedale import __main__ as command_line

# Nothing listens here: no deployment uses ports below 1024.
NOWHERE = "127.0.1.1:9"
RECORD = {
    "request_id": "entry-2.ab12.7",
    "workspace": "enrolment-search",
    "member": "member-a",
    "kind": "act",
    "key": "t1.entry-1.cd34.1f.00ff",
    "outcome": "unknown",
    "took_ms": 412.5,
    "detail": {"reason": "reply_lost"},
    "events": [
        [0.1, "entry-2", "forward", "entry-1", ""],
        [0.9, "entry-1", "start", "", ""],
        [1.2, "entry-1", "attempt", "booking-1-2", ""],
        [1.5, "entry-1", "attempt_ended", "booking-1-2", "connect_failed"],
        [1.6, "entry-1", "attempt", "booking-1-3", "connect_failed"],
    ],
    "events_left_out": 3,
}


@pytest.fixture
def run(monkeypatch, capsys):
    """Runs the command line and returns its output and exit code."""
    monkeypatch.setenv("COLUMNS", "80")
    monkeypatch.setenv("TERMINAL_WIDTH", "80")
    monkeypatch.setenv("NO_COLOR", "1")

    def call(*arguments):
        monkeypatch.setattr(sys, "argv", ["greengagedale", *arguments])
        with pytest.raises(SystemExit) as ended:
            command_line.main()
        printed = capsys.readouterr()
        return {
            "code": ended.value.code,
            "out": [line.rstrip() for line in printed.out.splitlines()],
            "err": [line.rstrip() for line in printed.err.splitlines()],
        }

    return call


@pytest.mark.parametrize(
    "command", ["", "query", "act", "explain", "locate", "status"]
)
def test_help(run, snapshot, command):
    arguments = [command, "--help"] if command else ["--help"]
    assert run(*arguments) == snapshot


@pytest.mark.parametrize(
    "arguments",
    [
        ("locate", "--host", NOWHERE),
        ("query", "--host", NOWHERE, "w", "text"),
        ("act", "--host", NOWHERE, "w", "1", "{}"),
        ("act", "--host", NOWHERE, "w", "1", "{not json"),
        ("act", "--host", NOWHERE, "w", "one", "{}"),
        ("explain", "--host", NOWHERE, "entry-1.ab.1"),
        ("status", "--host", NOWHERE),
        ("status", "--host", "somewhere"),
        ("query", "--host", NOWHERE, "w", "text", "--limit", "0"),
        ("template", "get", "--host", NOWHERE, "t"),
        ("workspace", "apply", "--host", NOWHERE, "missing.toml"),
        ("settings", "check", "missing.toml"),
    ],
    ids=lambda arguments: "-".join(arguments[:2]) + f"-{len(arguments)}",
)
def test_errors_are_short_and_say_what_to_do(
    run, snapshot, arguments, monkeypatch, tmp_path
):
    monkeypatch.chdir(pathlib.Path(tmp_path))
    assert run(*arguments) == snapshot


@pytest.mark.parametrize("options", [(), ("--json",)])
def test_explain_shows_a_timeline(run, snapshot, options, monkeypatch):
    async def fetch(endpoint, path):
        assert (endpoint, path) == (NOWHERE, "/v1/explain/entry-2.ab12.7")
        return RECORD

    monkeypatch.setattr("greengagedale.commands.host_api.fetch", fetch)
    shown = run("explain", "--host", NOWHERE, "entry-2.ab12.7", *options)
    assert shown == snapshot

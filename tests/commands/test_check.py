"""`greengagedale check` over files."""

import json

import pytest
from typer import testing

from greengagedale import command_line

ROUTE = {
    "name": "r",
    "host": "a.example",
    "pathPrefix": "/a/",
    "type": "idempotent",
    "timeoutMs": 500,
    "targetLatencyMs": 95,
    "service": "s",
}
SOUND = {
    "version": 7,
    "routes": [ROUTE],
    "services": [{"name": "s", "maxConnections": 41}],
}
TEMPLATE = (
    'name = "t"\n[workspace]\nservice = "${s}"\n[parameters.s]\ntype = "text"\n'
)


@pytest.fixture
def run(tmp_path):
    """Runs the command on documents and returns its result."""

    def call(*documents, options=()):
        paths = []
        for number, document in enumerate(documents):
            is_text = isinstance(document, str)
            path = tmp_path / f"{number}.{'toml' if is_text else 'json'}"
            path.write_text(document if is_text else json.dumps(document))
            paths.append(str(path))
        return testing.CliRunner().invoke(
            command_line.app, ["check", *paths, *options]
        )

    return call


def test_sound_configuration_exits_with_zero(run):
    result = run(SOUND)
    assert (result.exit_code, result.output) == (0, "0 errors, 0 warnings\n")


def test_errors_exit_with_one(run):
    result = run({**SOUND, "services": []})
    assert result.exit_code == 1
    assert "error: routes[0]: r sends to 's'" in result.output


def test_missing_field_is_named(run):
    incomplete = {key: ROUTE[key] for key in ROUTE if key != "host"}
    result = run({**SOUND, "routes": [incomplete]})
    assert "$.routes[0]" in str(result.exception)
    assert "host" in str(result.exception)


def test_findings_and_differences_as_json(run, tmp_path):
    changed = {**SOUND, "version": 8, "routes": [{**ROUTE, "timeoutMs": 50}]}
    old = tmp_path / "old.json"
    old.write_text(json.dumps(SOUND))
    result = run(changed, options=["--against", str(old), "--json"])
    shown = json.loads(result.output)
    assert [item["path"] for item in shown["findings"]] == [
        "routes[0].timeout_ms"
    ]
    assert [item["path"] for item in shown["differences"]] == [
        "version",
        "routes[r].timeout_ms",
    ]


@pytest.mark.parametrize(
    ("parameters", "is_valid"), [('s = "x"', True), ("s = 5", False)]
)
def test_workspace_is_checked_with_its_template(run, parameters, is_valid):
    workspace = (
        'name = "w"\nmember = "m"\ntemplate = "t"\n'
        f"[parameters]\n{parameters}\n"
    )
    assert (run(TEMPLATE, workspace).exception is None) == is_valid

"""Findings in a configuration, and what differs between two."""

from gateway_scripts import fanout
from gateway_scripts import single
import pytest

from greengagedale.gateway import configuration_check
from greengagedale.gateway import route_config
from greengagedale.http1 import server

SERVICES = ("s", "a", "b")


def configuration(*routes, version=1, services=SERVICES, workspaces=None):
    return route_config.RouteConfiguration(
        version,
        routes or (single(), fanout("ab", name="f", path_prefix="/f/")),
        tuple(route_config.ServiceConfiguration(name, 10) for name in services),
        server.Limits(),
        workspaces,
    )


def workspace(name, *keys, **fields):
    return route_config.Workspace(
        name, tuple(map(route_config.key_digest, keys)), **fields
    )


def target(service, weight):
    return route_config.Target(service, weight)


def test_sound_configuration_has_no_findings():
    assert configuration_check.check(configuration()) == []


@pytest.mark.parametrize(
    ("routes", "path", "words"),
    [
        (
            [single(name="x"), single(name="y")],
            "routes[0].path_prefix",
            "never matches: routes[1]",
        ),
        ([single(path_prefix="/a")], "routes[0].path_prefix", "never matches"),
        ([single(), single(path_prefix="/b/")], "routes[1].name", "'r'"),
        ([single(targets=())], "routes[0]", "no service"),
        ([single(targets=(target("t", 1.0),))], "routes[0]", "'t'"),
        (
            [single(targets=(target("s", 0.0), target("a", 0.0)))],
            "routes[0]",
            "all weights are 0",
        ),
        ([single(timeout_ms=0.0)], "routes[0].timeout_ms", "refused"),
        (
            [fanout("ab", min_coverage=1.5)],
            "routes[0].fanout.min_coverage",
            "expected 0 to 1",
        ),
        ([fanout("aa")], "routes[0]", "'a' twice"),
        ([fanout("ab", is_idempotent=False)], "routes[0].is_idempotent", ""),
    ],
)
def test_error_names_path_and_value(routes, path, words):
    errors = [
        item
        for item in configuration_check.check(configuration(*routes))
        if item.severity is configuration_check.Severity.ERROR
    ]
    assert any(item.path == path and words in item.message for item in errors)


@pytest.mark.parametrize(
    ("routes", "path"),
    [
        ([single(timeout_ms=50.0)], "routes[0].timeout_ms"),
        ([fanout("ab", min_coverage=0.9)], "routes[0].fanout.min_coverage"),
        ([single(targets=(target("s", 0.0), target("a", 1.0)))], "routes[0]"),
        ([single(is_public=True)], "routes[0].is_public"),
        ([single()], "services[1]"),
    ],
)
def test_contradicting_limits_are_warned_of(routes, path):
    warnings = [
        item.path
        for item in configuration_check.check(configuration(*routes))
        if item.severity is configuration_check.Severity.WARNING
    ]
    assert path in warnings


def test_attempts_over_the_replicas_are_warned_of():
    counts = {"s": 1, "a": 3, "b": 3}
    findings = configuration_check.check(configuration(), counts)
    assert [item.path for item in findings] == ["routes[0].max_attempts"]


def test_key_held_twice_is_an_error_and_not_shown():
    held = configuration(
        workspaces=(workspace("w1", b"secret"), workspace("w2", b"secret"))
    )
    (finding,) = configuration_check.check(held)
    assert finding.severity is configuration_check.Severity.ERROR
    assert "w1, w2" in finding.message
    assert "secret" not in finding.message


@pytest.mark.parametrize(
    ("fields", "path"),
    [
        ({"rate_per_s": -1.0}, "workspaces[0].rate_per_s"),
        ({"burst": 5.0}, "workspaces[0].burst"),
        ({"rate_per_s": 0.5}, "workspaces[0].burst"),
    ],
)
def test_quota_that_can_not_work_is_found(fields, path):
    held = configuration(workspaces=(workspace("w", b"k", **fields),))
    assert path in [item.path for item in configuration_check.check(held)]


def test_differences_are_told_entry_by_entry():
    old = configuration(workspaces=(workspace("w", b"k1"),))
    new = configuration(
        single(timeout_ms=900.0),
        single(name="new", path_prefix="/n/"),
        version=2,
        workspaces=(workspace("w", b"k2", rate_per_s=3.0),),
    )
    told = [str(item) for item in configuration_check.differences(old, new)]
    assert told[0] == "version: 1 -> 2"
    assert "routes[r].timeout_ms: 1000 -> 900" in told
    assert "routes[new]: added (host/n/ to s)" in told
    assert any(line.startswith("routes[f]: removed") for line in told)
    assert "workspaces[w].rate_per_s: 0 -> 3" in told
    keys = [line for line in told if line.startswith("workspaces[w].keys")]
    assert len(keys) == 2


def test_equal_configurations_do_not_differ():
    assert (
        configuration_check.differences(configuration(), configuration()) == []
    )

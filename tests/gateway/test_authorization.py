"""Callers are told by their keys, on arrival and before each send."""

from gateway_scripts import at
from gateway_scripts import freshness_of
from gateway_scripts import single
import pytest

from greengagedale import outcomes
from greengagedale.gateway import authorization
from greengagedale.gateway import calls
from greengagedale.gateway import registry
from greengagedale.gateway import route_config
from greengagedale.http1 import server

KEY = b"k1"
OTHER_KEY = b"k2"


def workspace(name, *keys):
    return route_config.Workspace(
        name, tuple(map(route_config.key_digest, keys))
    )


def configuration(version, workspaces):
    return route_config.RouteConfiguration(
        version, (single(),), (), server.Limits(), workspaces
    )


@pytest.fixture
def table(clock):
    """A registry whose configuration gives two workspaces a key each."""
    held = registry.Registry(clock)
    held.apply_routes(
        configuration(1, (workspace("w1", KEY), workspace("w2", OTHER_KEY))),
        at(1),
    )
    return held


@pytest.fixture
def authorizer(table, clock):
    return authorization.Authorizer(table, freshness_of(clock))


def test_key_tells_its_workspace(authorizer):
    identity = authorizer.identify(single(), KEY)
    assert identity.workspace == "w1"
    assert KEY not in identity.key_digest


@pytest.mark.parametrize("key", [None, b"", b"k3"])
def test_unknown_key_is_refused(authorizer, key):
    assert isinstance(
        authorizer.identify(single(), key), authorization.UnknownKey
    )


def test_public_route_needs_no_key(authorizer):
    identity = authorizer.identify(single(is_public=True), None)
    assert identity == calls.CallerIdentity(None, b"")


@pytest.mark.parametrize(
    "workspaces",
    [
        (workspace("w1"), workspace("w2", OTHER_KEY)),
        (workspace("w1"), workspace("w2", OTHER_KEY, KEY)),
        (workspace("w2", OTHER_KEY),),
    ],
    ids=["revoked", "moved", "workspace removed"],
)
async def test_nothing_is_sent_after_the_key_is_gone(bench, workspaces):
    bench.add("a")
    bench.registry.apply_routes(
        configuration(1, (workspace("w1", KEY),)), at(1)
    )
    identity = bench.context.authorizer.identify(single(), KEY)
    call = bench.call()._replace(identity=identity)
    bench.registry.apply_routes(configuration(2, workspaces), at(2))
    outcome = await bench.runner.run(call, single(), bench.steps)
    assert outcome.reason is outcomes.Reason.KEY_REVOKED
    assert bench.client.sent == []

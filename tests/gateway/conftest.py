"""Fixtures of the gateway's tests."""

from gateway_scripts import Bench
import pytest

from greengagedale import clocks
from greengagedale.gateway import fleet as fleet_lib


@pytest.fixture
def bench():
    """A runner over scripted upstreams."""
    return Bench()


@pytest.fixture
def clock():
    """A clock that a test moves."""
    return clocks.ManualClock(1000.0)


@pytest.fixture
def fleet(clock):
    """The other hosts, as host `m` knows them."""
    return fleet_lib.Fleet("m", clock)

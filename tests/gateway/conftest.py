"""Fixtures of the gateway's tests."""

from gateway_scripts import Bench
import pytest

from greengagedale import clocks
from greengagedale.gateway import fleet as fleet_lib


@pytest.fixture
def bench():
    """A runner with scripted upstreams."""
    return Bench()


@pytest.fixture
def clock():
    """A clock that the test advances."""
    return clocks.ManualClock(1000.0)


@pytest.fixture
def fleet(clock):
    """The table of other hosts on host `m`."""
    return fleet_lib.Fleet("m", clock)

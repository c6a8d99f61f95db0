"""Fixtures of the gateway's tests."""

from gateway_scripts import Bench
import pytest


@pytest.fixture
def bench():
    """A runner over scripted upstreams."""
    return Bench()

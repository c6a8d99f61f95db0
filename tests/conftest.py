"""Fixtures shared by all tests."""

import pytest

from standins import deployments
from standins import ports


@pytest.fixture(scope="session")
def shared_deployment(tmp_path_factory):
    """A running deployment, shared by tests that inject no faults."""
    deployment = deployments.Deployment(tmp_path_factory.mktemp("shared"))
    try:
        deployment.start()
        deployment.apply_example_workspace()
        yield deployment
    finally:
        deployment.stop()


@pytest.fixture
def own_deployment(tmp_path):
    """A deployment for one test, not yet started, for injecting faults."""
    # The shared deployment may be running too, so the ports must differ.
    deployment = deployments.Deployment(
        tmp_path, base_port=ports.base_port() + 400
    )
    try:
        yield deployment
    finally:
        deployment.stop()

"""Fixtures that all tests share."""

import pytest

from standins import deployments


@pytest.fixture(scope="session")
def shared_deployment(tmp_path_factory):
    """A deployment that tests only read from or search in."""
    deployment = deployments.Deployment(tmp_path_factory.mktemp("shared"))
    try:
        deployment.start()
        deployment.apply_examples()
        yield deployment
    finally:
        deployment.stop()


@pytest.fixture
def own_deployment(tmp_path):
    """A deployment of the test's own, not yet started, to do harm to."""
    # Its ports are apart from the shared one's, which may run beside it.
    deployment = deployments.Deployment(
        tmp_path, base_port=deployments.BASE_PORT + 400
    )
    try:
        yield deployment
    finally:
        deployment.stop()

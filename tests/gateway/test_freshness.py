"""The proof that the configuration is recent: how it ages and is passed on."""

import pytest

from greengagedale.gateway import freshness as freshness_lib
from greengagedale.gateway import metrics as metrics_lib

BOUND_MS = 5000.0


@pytest.fixture
def metrics():
    return metrics_lib.Metrics()


@pytest.fixture
def freshness(clock, metrics):
    return freshness_lib.Freshness(BOUND_MS, clock, metrics)


def test_nothing_is_required_without_a_bound(clock, metrics):
    freshness = freshness_lib.Freshness(None, clock, metrics)
    assert freshness.is_proven()
    assert freshness.proof(3) is None
    assert metrics.proof_changes.counts == {}


def test_new_process_has_no_proof(freshness):
    assert not freshness.is_proven()
    assert freshness.known_age_ms is None
    assert freshness.proof(3) is None


def test_proof_expires_before_the_bound(freshness, clock, metrics):
    freshness.confirm(clock.now_ms())
    clock.advance(BOUND_MS - freshness_lib.MARGIN_MS)
    assert freshness.is_proven()
    clock.advance(1.0)
    assert not freshness.is_proven()
    assert metrics.proof_changes.counts == {("gained",): 1, ("lost",): 1}


def test_older_proof_does_not_replace_a_newer_one(freshness, clock):
    freshness.confirm(clock.now_ms())
    freshness.confirm(clock.now_ms() - 3000.0)
    assert freshness.age_ms == 0.0


def test_proof_of_a_peer_keeps_its_age(freshness, clock):
    sent_ms = clock.now_ms()
    clock.advance(200.0)
    freshness.confirm_from_peer(freshness_lib.Proof(3, 1000), 3, sent_ms)
    assert freshness.age_ms == 1200.0
    clock.advance(0.5)
    assert freshness.proof(3) == freshness_lib.Proof(3, 1201)


@pytest.mark.parametrize("proof", [(4, 0), (3, -1)])
def test_proof_of_a_newer_version_or_of_the_future_is_ignored(
    freshness, clock, proof
):
    freshness.confirm_from_peer(freshness_lib.Proof(*proof), 3, clock.now_ms())
    assert not freshness.is_proven()


def test_store_that_lost_changes_proves_nothing_for_a_while(freshness, clock):
    freshness.record_rollback()
    freshness.confirm(clock.now_ms())
    assert not freshness.is_proven()
    clock.advance(freshness_lib.REWRITE_GRACE_MS)
    freshness.confirm(clock.now_ms())
    assert freshness.is_proven()

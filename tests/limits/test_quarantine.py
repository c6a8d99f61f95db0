"""Quarantine of requests that crash upstreams, and of no healthy ones."""

import random

import pytest

from greengagedale.limits import quarantine

State = quarantine.State
SendDecision = quarantine.SendDecision


@pytest.fixture
def local_quarantine():
    return quarantine.Quarantine(quarantine.Canary.AFTER_DEATHS)


def send(local_quarantine, name, upstream, attempt_id, now_ms=0.0):
    decision = local_quarantine.check_attempt(name, attempt_id, now_ms)
    if decision is SendDecision.SEND:
        local_quarantine.on_sent(name, upstream, attempt_id)
    return decision


def end(local_quarantine, name, upstream, attempt_id, answered, now_ms=0.0):
    finding = local_quarantine.on_end(
        name, upstream, attempt_id, answered, now_ms
    )
    local_quarantine.on_done(name, attempt_id)
    return finding


def states(findings):
    return {item.fingerprint: item.state for item in findings}


def test_crash_in_a_trial_after_an_earlier_crash_quarantines(local_quarantine):
    send(local_quarantine, "poison", "u1", "a")
    assert states(local_quarantine.on_crash("u1", 1.0)) == {
        "poison": State.SUSPECTED
    }
    end(local_quarantine, "poison", "u1", "a", False)
    assert send(local_quarantine, "poison", "u2", "b", 2.0) is SendDecision.SEND
    assert (
        send(local_quarantine, "poison", "u3", "c", 2.0)
        is SendDecision.WAIT_FOR_TRIAL
    )
    assert states(local_quarantine.on_crash("u2", 3.0)) == {
        "poison": State.QUARANTINED
    }
    assert (
        send(local_quarantine, "poison", "u3", "c", 4.0) is SendDecision.REFUSE
    )
    late_ms = 4.0 + quarantine.QUARANTINE_MS
    assert local_quarantine.state("poison", late_ms) is None


def test_loss_of_a_rack_quarantines_no_request(local_quarantine):
    names = [f"t{number}" for number in range(20)]
    for name in names:
        for upstream in ("u1", "u2", "u3"):
            send(local_quarantine, name, upstream, f"{name}.{upstream}")
    for upstream in ("u1", "u2", "u3"):
        found = states(local_quarantine.on_crash(upstream, 1.0))
        assert found == dict.fromkeys(names, State.SUSPECTED)
    for name in names:
        for upstream in ("u1", "u2", "u3"):
            end(local_quarantine, name, upstream, f"{name}.{upstream}", False)
        assert (
            send(local_quarantine, name, "u4", "again", 2.0)
            is SendDecision.SEND
        )
    for name in names:
        assert (
            end(local_quarantine, name, "u4", "again", True, 3.0).state
            is State.CLEARED
        )
        assert local_quarantine.state(name, 3.0) is None


def test_concurrent_trials_at_a_crashed_upstream_are_not_quarantined(
    local_quarantine,
):
    for name in ("poison", "healthy"):
        send(local_quarantine, name, "u1", f"{name}.0")
    local_quarantine.on_crash("u1", 1.0)
    for name in ("poison", "healthy"):
        end(local_quarantine, name, "u1", f"{name}.0", False)
        send(local_quarantine, name, "u2", f"{name}.1", 2.0)
    found = states(local_quarantine.on_crash("u2", 3.0))
    assert set(found.values()) == {State.SUSPECTED}
    for name in ("poison", "healthy"):
        end(local_quarantine, name, "u2", f"{name}.1", False)
    send(local_quarantine, "poison", "u3", "poison.2", 4.0)
    assert states(local_quarantine.on_crash("u3", 5.0)) == {
        "poison": State.QUARANTINED
    }


def test_recently_answered_request_is_not_suspected(local_quarantine):
    send(local_quarantine, "healthy", "u1", "a")
    end(local_quarantine, "healthy", "u1", "a", True)
    send(local_quarantine, "healthy", "u2", "b")
    assert local_quarantine.on_crash("u2", 1.0) == []


def test_canary_is_used_only_after_recent_crashes(local_quarantine):
    assert send(local_quarantine, "calm", "u1", "a.0") is SendDecision.SEND
    assert send(local_quarantine, "calm", "u2", "a.1") is SendDecision.SEND
    local_quarantine.on_crash("u9", 10.0)
    assert send(local_quarantine, "new", "u1", "b.0", 11.0) is SendDecision.SEND
    assert send(local_quarantine, "new", "u2", "b.1", 11.0) is SendDecision.WAIT
    end(local_quarantine, "new", "u1", "b.0", True, 12.0)
    assert send(local_quarantine, "new", "u2", "b.1", 12.0) is SendDecision.SEND
    assert send(local_quarantine, "new", "u3", "b.2", 12.0) is SendDecision.SEND
    after_ms = 11.0 + quarantine.CRASH_ALERT_MS
    assert (
        send(local_quarantine, "other", "u1", "c.0", after_ms)
        is SendDecision.SEND
    )
    assert (
        send(local_quarantine, "other", "u2", "c.1", after_ms)
        is SendDecision.SEND
    )


def test_unanswered_trial_is_followed_by_another(local_quarantine):
    send(local_quarantine, "t", "u1", "a")
    local_quarantine.on_crash("u1", 1.0)
    end(local_quarantine, "t", "u1", "a", False)
    send(local_quarantine, "t", "u2", "b", 2.0)
    assert end(local_quarantine, "t", "u2", "b", False, 3.0) is None
    assert local_quarantine.state("t", 3.0) is State.SUSPECTED
    assert send(local_quarantine, "t", "u3", "c", 4.0) is SendDecision.SEND


def test_findings_of_other_hosts_are_merged(local_quarantine):
    local_quarantine.merge(
        quarantine.Finding("p", State.SUSPECTED, ("u1",), 500.0), 0.0
    )
    assert send(local_quarantine, "p", "u2", "a", 1.0) is SendDecision.SEND
    assert states(local_quarantine.on_crash("u2", 2.0)) == {
        "p": State.QUARANTINED
    }
    local_quarantine.merge(
        quarantine.Finding("p", State.CLEARED, (), 500.0), 3.0
    )
    assert local_quarantine.state("p", 3.0) is State.QUARANTINED


def test_two_crashes_of_the_same_upstream_do_not_quarantine(local_quarantine):
    send(local_quarantine, "t", "u1", "a")
    local_quarantine.on_crash("u1", 1.0)
    end(local_quarantine, "t", "u1", "a", False)
    send(local_quarantine, "t", "u1", "b", 2.0)
    assert states(local_quarantine.on_crash("u1", 3.0)) == {
        "t": State.SUSPECTED
    }


def test_number_of_fingerprints_is_bounded(local_quarantine):
    rng = random.Random(1)
    for number in range(2 * quarantine.MAX_FINGERPRINTS):
        send(local_quarantine, f"f{number}", "u", f"{number}", 0.0)
        if rng.random() < 0.5:
            local_quarantine.on_crash("u", 0.0)
        end(local_quarantine, f"f{number}", "u", f"{number}", False)
    assert (
        sum(local_quarantine.counts(1.0).values())
        <= quarantine.MAX_FINGERPRINTS
    )

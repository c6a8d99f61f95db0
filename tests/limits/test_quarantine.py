"""Quarantine: poison is stopped, and healthy requests are not blamed."""

import random

import pytest

from greengagedale.limits import quarantine

State = quarantine.State
SendDecision = quarantine.SendDecision


@pytest.fixture
def held():
    return quarantine.Quarantine(quarantine.Canary.AFTER_DEATHS)


def send(held, name, upstream, attempt_id, now_ms=0.0):
    decision = held.check_attempt(name, attempt_id, now_ms)
    if decision is SendDecision.SEND:
        held.on_sent(name, upstream, attempt_id)
    return decision


def end(held, name, upstream, attempt_id, answered, now_ms=0.0):
    found = held.on_end(name, upstream, attempt_id, answered, now_ms)
    held.on_done(name, attempt_id)
    return found


def states(findings):
    return {item.fingerprint: item.state for item in findings}


def test_two_deaths_the_second_in_a_trial_quarantine(held):
    send(held, "poison", "u1", "a")
    assert states(held.on_crash("u1", 1.0)) == {"poison": State.SUSPECTED}
    end(held, "poison", "u1", "a", False)
    assert send(held, "poison", "u2", "b", 2.0) is SendDecision.SEND
    assert send(held, "poison", "u3", "c", 2.0) is SendDecision.WAIT_FOR_TRIAL
    assert states(held.on_crash("u2", 3.0)) == {"poison": State.QUARANTINED}
    assert send(held, "poison", "u3", "c", 4.0) is SendDecision.REFUSE
    late_ms = 4.0 + quarantine.QUARANTINE_MS
    assert held.state("poison", late_ms) is None


def test_loss_of_a_rack_quarantines_nobody(held):
    names = [f"t{number}" for number in range(20)]
    for name in names:
        for upstream in ("u1", "u2", "u3"):
            send(held, name, upstream, f"{name}.{upstream}")
    for upstream in ("u1", "u2", "u3"):
        found = states(held.on_crash(upstream, 1.0))
        assert found == dict.fromkeys(names, State.SUSPECTED)
    for name in names:
        for upstream in ("u1", "u2", "u3"):
            end(held, name, upstream, f"{name}.{upstream}", False)
        assert send(held, name, "u4", "again", 2.0) is SendDecision.SEND
    for name in names:
        assert end(held, name, "u4", "again", True, 3.0).state is State.CLEARED
        assert held.state(name, 3.0) is None


def test_trials_that_share_a_death_are_not_quarantined(held):
    for name in ("poison", "healthy"):
        send(held, name, "u1", f"{name}.0")
    held.on_crash("u1", 1.0)
    for name in ("poison", "healthy"):
        end(held, name, "u1", f"{name}.0", False)
        send(held, name, "u2", f"{name}.1", 2.0)
    found = states(held.on_crash("u2", 3.0))
    assert set(found.values()) == {State.SUSPECTED}
    for name in ("poison", "healthy"):
        end(held, name, "u2", f"{name}.1", False)
    send(held, "poison", "u3", "poison.2", 4.0)
    assert states(held.on_crash("u3", 5.0)) == {"poison": State.QUARANTINED}


def test_request_that_was_answered_lately_is_not_suspected(held):
    send(held, "healthy", "u1", "a")
    end(held, "healthy", "u1", "a", True)
    send(held, "healthy", "u2", "b")
    assert held.on_crash("u2", 1.0) == []


def test_canary_goes_ahead_only_while_upstreams_die(held):
    assert send(held, "calm", "u1", "a.0") is SendDecision.SEND
    assert send(held, "calm", "u2", "a.1") is SendDecision.SEND
    held.on_crash("u9", 10.0)
    assert send(held, "new", "u1", "b.0", 11.0) is SendDecision.SEND
    assert send(held, "new", "u2", "b.1", 11.0) is SendDecision.WAIT
    end(held, "new", "u1", "b.0", True, 12.0)
    assert send(held, "new", "u2", "b.1", 12.0) is SendDecision.SEND
    assert send(held, "new", "u3", "b.2", 12.0) is SendDecision.SEND
    after_ms = 11.0 + quarantine.CRASH_ALERT_MS
    assert send(held, "other", "u1", "c.0", after_ms) is SendDecision.SEND
    assert send(held, "other", "u2", "c.1", after_ms) is SendDecision.SEND


def test_trial_that_ends_without_an_answer_lets_the_next_try(held):
    send(held, "t", "u1", "a")
    held.on_crash("u1", 1.0)
    end(held, "t", "u1", "a", False)
    send(held, "t", "u2", "b", 2.0)
    assert end(held, "t", "u2", "b", False, 3.0) is None
    assert held.state("t", 3.0) is State.SUSPECTED
    assert send(held, "t", "u3", "c", 4.0) is SendDecision.SEND


def test_what_other_hosts_found_counts(held):
    held.merge(quarantine.Finding("p", State.SUSPECTED, ("u1",), 500.0), 0.0)
    assert send(held, "p", "u2", "a", 1.0) is SendDecision.SEND
    assert states(held.on_crash("u2", 2.0)) == {"p": State.QUARANTINED}
    held.merge(quarantine.Finding("p", State.CLEARED, (), 500.0), 3.0)
    assert held.state("p", 3.0) is State.QUARANTINED


def test_same_upstream_dying_twice_is_no_proof(held):
    send(held, "t", "u1", "a")
    held.on_crash("u1", 1.0)
    end(held, "t", "u1", "a", False)
    send(held, "t", "u1", "b", 2.0)
    assert states(held.on_crash("u1", 3.0)) == {"t": State.SUSPECTED}


def test_memory_is_bounded(held):
    rng = random.Random(1)
    for number in range(2 * quarantine.MAX_FINGERPRINTS):
        send(held, f"f{number}", "u", f"{number}", 0.0)
        if rng.random() < 0.5:
            held.on_crash("u", 0.0)
        end(held, f"f{number}", "u", f"{number}", False)
    assert sum(held.counts(1.0).values()) <= quarantine.MAX_FINGERPRINTS

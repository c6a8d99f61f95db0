"""Checks that each mechanism of the recovery is needed.

A check passes with the mechanism and fails without it.
"""

import pytest
from recovery_fleet import BURST
from recovery_fleet import Fleet

from greengagedale.gateway import registry as registry_lib
from greengagedale.gateway import roster as roster_lib
from greengagedale.gateway import store_reader as store_reader_lib
from greengagedale.gateway import store_recovery
from greengagedale.platform import store as store_lib

HOSTS = ("a", "b", "c")
UPSTREAMS = ("u0", "u1", "u2", "u3")
OTHERS = [["u1", "u2", "u3"]] * 3


class Drilled:
    """A fleet whose store loses changes that all hosts had seen."""

    def __init__(self, *changes, copy_age_ms=1100.0):
        self.fleet = Fleet(HOSTS, UPSTREAMS)
        self.rounds(8)
        for change in changes:
            change(self.fleet)
        self.rounds(4)
        self.fleet.return_older(copy_age_ms)

    def rounds(self, count, reader="a"):
        for _ in range(count):
            self.fleet.round(reader)

    def in_use(self):
        return [sorted(host.in_use()) for host in self.fleet.hosts.values()]


def leave(fleet):
    fleet.stop_upstream("u0")


def add_host(fleet, name="d"):
    fleet.hosts[name] = fleet._new_host(name)
    for _ in range(4):
        fleet.round("a")


def upstreams_of_the_copy_get_no_work():
    """An upstream that was removed gets no work as the copy lists it."""
    drilled = Drilled(leave)
    drilled.rounds(4)
    return drilled.in_use() == OTHERS


def hosts_without_memory_are_told():
    """The reader is told of an upstream that another host saw leaving."""
    drilled = Drilled(leave)
    drilled.fleet.restart("a")
    drilled.rounds(4)
    return drilled.in_use() == OTHERS


def heartbeats_of_the_copy_prove_nothing():
    """A later sequence in the copy does not show that an upstream is back."""

    def heartbeat_and_leave(fleet):
        fleet.store._objects["servers"]["u0"]["spec"]["sequence"] = 50
        fleet.stop_upstream("u0")

    drilled = Drilled(heartbeat_and_leave)
    drilled.rounds(4)
    return drilled.in_use() == OTHERS


def running_upstreams_return():
    """An upstream that only sends heartbeats is used again in the end."""
    drilled = Drilled(leave)
    drilled.fleet.pending.clear()
    drilled.rounds(80)
    return drilled.in_use() == [[*UPSTREAMS]] * 3


def removed_entries_are_not_released():
    """What the store removed during the hold is not used after it."""
    drilled = Drilled(leave)
    for _ in range(80):
        drilled.rounds(1)
        if drilled.in_use() != OTHERS:
            return False
    return True


def new_upstreams_keep_their_work():
    """An upstream that the copy lacks is used on."""
    drilled = Drilled(lambda fleet: fleet.start_upstream("u4"))
    drilled.rounds(2)
    return drilled.in_use() == [[*UPSTREAMS, "u4"]] * 3


def changes_after_the_return_are_seen():
    """A change is seen though its revision was given out before."""
    drilled = Drilled(Fleet.change_configuration, leave)
    for name in ("u1", "u2"):
        drilled.fleet.drain(name)
    drilled.rounds(2)
    return drilled.in_use() == [["u3"]] * 3


def late_answers_take_nothing_back():
    """A list that was asked for before the return changes nothing after it."""
    fleet = Fleet(HOSTS, UPSTREAMS)
    for _ in range(8):
        fleet.round("a")
    host = fleet.hosts["a"]
    late = fleet.run(host.store.list_upstreams())
    fleet.return_older(500.0)
    fleet.round("a")
    fleet.stop_upstream("u0")
    fleet.round("a")
    host.registry.apply_list(late)
    return "u0" not in host.in_use()


def shares_stay_within_the_bound():
    """Shares add up to no more than the bound though the list went back."""
    drilled = Drilled(add_host, copy_age_ms=2100.0)
    drilled.fleet.hosts["d"].is_isolated = True
    add_host(drilled.fleet, "e")
    for _ in range(80):
        drilled.rounds(1)
        if drilled.fleet.total_share() > BURST:
            return False
    return True


def unknown_shares_are_dropped_first():
    """A reader that knows no list waits for hosts that it can't know."""
    drilled = Drilled(add_host, copy_age_ms=2100.0)
    for name in HOSTS:
        drilled.fleet.restart(name)
    drilled.fleet.hosts["d"].is_isolated = True
    for _ in range(80):
        drilled.fleet.round("a", 1000.0)
        if drilled.fleet.total_share() > BURST:
            return False
    return True


def always(value):
    return lambda *arguments: value


def release_by_any_sequence(self, entry, is_copy=False):
    return withholds(self, entry, is_copy=False)


def compare_revisions_alone(self, reply):
    del self, reply
    return 0


def apply_any_list(self, listed):
    self.version = registry_lib.NO_VERSION
    apply_list(self, listed)


withholds = store_recovery.StoreRecovery.withholds
apply_list = registry_lib.Registry.apply_list

MUTATIONS = {
    "forget_what_left": (
        upstreams_of_the_copy_get_no_work,
        store_recovery.StoreRecovery,
        "remember",
        always(None),
    ),
    "hold_nothing": (
        upstreams_of_the_copy_get_no_work,
        store_recovery.StoreRecovery,
        "withholds",
        always(False),
    ),
    "tell_nobody": (
        hosts_without_memory_are_told,
        store_recovery.StoreRecovery,
        "withdrawals",
        always(()),
    ),
    "believe_heartbeats_of_the_copy": (
        heartbeats_of_the_copy_prove_nothing,
        store_recovery.StoreRecovery,
        "withholds",
        release_by_any_sequence,
    ),
    "hold_for_ever": (
        running_upstreams_return,
        store_recovery.StoreRecovery,
        "release_expired",
        always([]),
    ),
    "release_what_peers_dropped": (
        removed_entries_are_not_released,
        store_recovery.StoreRecovery,
        "record_removed",
        always(None),
    ),
    "drop_what_the_copy_lacks": (
        new_upstreams_keep_their_work,
        registry_lib,
        "RELIST_GRACE_MS",
        0.0,
    ),
    "compare_revisions_alone": (
        changes_after_the_return_are_seen,
        store_lib.PlatformStore,
        "_observe_epoch",
        compare_revisions_alone,
    ),
    "apply_late_answers": (
        late_answers_take_nothing_back,
        registry_lib.Registry,
        "apply_list",
        apply_any_list,
    ),
    "share_by_the_stored_list": (
        shares_stay_within_the_bound,
        store_recovery,
        "is_from_earlier_epoch",
        always(False),
    ),
    "write_without_memory_at_once": (
        unknown_shares_are_dropped_first,
        roster_lib,
        "REMOVE_AFTER_MS",
        0.0,
    ),
}


@pytest.fixture(autouse=True)
def no_waiting(monkeypatch):
    monkeypatch.setattr(store_reader_lib, "CHANGE_BATCH_MS", 0.0)
    monkeypatch.setattr(store_reader_lib, "WATCH_WAIT_MS", 0)


@pytest.mark.parametrize("name", MUTATIONS)
def test_check_passes_with_the_mechanism_and_fails_without(name, monkeypatch):
    check, owner, attribute, mutant = MUTATIONS[name]
    assert check()
    monkeypatch.setattr(owner, attribute, mutant)
    assert not check()

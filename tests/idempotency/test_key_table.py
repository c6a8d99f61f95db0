"""The key table under repeated requests, passing time and a full table."""

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
import pytest

from greengagedale import outcomes
from greengagedale.idempotency import key_table
from greengagedale.idempotency import tickets

LIMITS = key_table.KeyTableLimits(
    capacity=3, ticket_life_ms=30, retention_ms=60
)
RAN = outcomes.Ran("done")


def key(name):
    return key_table.ScopedKey("member-a", name)


@pytest.fixture
def table():
    return key_table.KeyTable(LIMITS)


def test_second_copy_joins_and_third_gets_the_outcome(table):
    assert table.begin(key("k"), "d", 0, 1) == key_table.Start()
    assert table.begin(key("k"), "d", 0, 2) == key_table.Join()
    table.record_outcome(key("k"), RAN)
    assert table.begin(key("k"), "d", 0, 3) == key_table.Decided(
        RAN, in_table=True
    )


def test_different_request_with_the_same_key_is_refused(table):
    table.begin(key("k"), "d", 0, 1)
    conflict = outcomes.NotRun(outcomes.Reason.KEY_CONFLICT, 0)
    decision = table.begin(key("k"), "other", 0, 2)
    assert decision == key_table.Decided(conflict, in_table=True)


def test_members_do_not_share_keys(table):
    table.begin(key("k"), "d", 0, 1)
    other = key_table.ScopedKey("member-b", "k")
    assert table.begin(other, "d", 0, 1) == key_table.Start()


def test_full_table_refuses_all_tickets_issued_so_far(table):
    for name in "abc":
        assert table.begin(key(name), "d", 0, 1) == key_table.Start()
        table.record_outcome(key(name), RAN)
    for now_ms in (2, 95):  # Full, then with room again.
        decision = table.begin(key("d"), "d", 2, now_ms)
        assert not isinstance(decision, key_table.Start)
    assert table.begin(key("e"), "d", 95, 95) == key_table.Start()


@pytest.mark.parametrize(
    ("age_ms", "outcome"),
    [
        (31, outcomes.NotRun(outcomes.Reason.EXPIRED_KEY, 0)),
        (89, outcomes.NotRun(outcomes.Reason.EXPIRED_KEY, 0)),
        (90, outcomes.Unknown(outcomes.Reason.EXPIRED_KEY)),
    ],
)
def test_evicted_key_is_never_reported_as_not_run(table, age_ms, outcome):
    table.begin(key("ran"), "d", 0, 0)
    table.record_outcome(key("ran"), RAN)
    assert table.begin(key("new"), "d", 0, age_ms).outcome == outcome
    evicted_outcome = table.begin(key("ran"), "d", 0, age_ms).outcome
    assert not isinstance(evicted_outcome, outcomes.NotRun)


STEPS = st.lists(
    st.tuples(
        st.sampled_from(["k1", "k2", "k3", "k4", "k5"]),
        st.integers(0, 40),
        st.sampled_from(["settle", "run on", "stop"]),
    ),
    max_size=40,
)


@settings(deadline=None, max_examples=300)
@given(STEPS)
def test_no_key_starts_twice_or_after_a_refusal(steps):
    table = key_table.KeyTable(LIMITS)
    now_ms, started, refused = 0, set(), set()
    issued_ms = {f"k{i}": i * 10 for i in range(1, 6)}
    for name, later_ms, then in steps:
        now_ms += later_ms
        decision = table.begin(key(name), "d", issued_ms[name], now_ms)
        if isinstance(decision, key_table.Start):
            assert name not in started | refused
            started.add(name)
            if then != "run on":
                table.record_outcome(key(name), RAN)
        elif decision != key_table.Join() and isinstance(
            decision.outcome, outcomes.NotRun
        ):
            assert name not in started
            refused.add(name)
        if then == "stop" and name == "k5":
            table.refuse_new_keys()
        assert len(table) <= LIMITS.capacity


def test_ticket_can_be_read_from_its_key():
    issuer = tickets.Issuer("entry-1", "ab12")
    ticket = tickets.Ticket(issuer, 1234)
    assert tickets.Ticket.from_key(tickets.new_key(ticket.encode())) == ticket
    for chosen in ("family-7", "t1.a.b.zz!.n", "t1.a", "t1.a.b.1", ""):
        assert tickets.Ticket.from_key(chosen) is None

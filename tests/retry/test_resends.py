"""What a caller is told follows from all sends of its key."""

from hypothesis import given
from hypothesis import strategies as st
import pytest

from greengagedale import outcomes
from greengagedale.retry import resends

RAN = outcomes.Ran("done")
RESULTS = st.lists(
    st.one_of(
        st.just(resends.Unreached()),
        st.just(resends.Lost()),
        st.just(resends.Rejected("bad")),
        st.builds(
            lambda reason: resends.Answered(outcomes.Unknown(reason)),
            st.sampled_from(outcomes.Reason),
        ),
    ),
    max_size=8,
)


@given(RESULTS, st.booleans(), st.booleans())
def test_only_an_unsent_key_is_dropped_or_said_not_to_have_run(
    results, ticketed, sent_before
):
    sends = resends.Resends(ticketed, sent_before)
    may_have_run = sent_before
    for result in results:
        step = sends.on_result(result)
        may_have_run |= isinstance(result, resends.Lost | resends.Answered)
        if isinstance(step, resends.Done):
            assert isinstance(step.outcome, outcomes.Unknown)
            return
        if isinstance(step, resends.Refuse):
            return
        if isinstance(step, resends.TakeNewKey):
            assert ticketed
            assert not may_have_run
            return
    assert sends.first != may_have_run
    given_up = sends.on_deadline()
    assert isinstance(given_up, outcomes.Unknown) == may_have_run


def test_request_not_valid_after_a_lost_send_is_unknown():
    sends = resends.Resends(ticketed=True)
    sends.on_result(resends.Lost())
    told = sends.on_result(resends.Rejected("no such workspace"))
    assert told == resends.Done(outcomes.Unknown(outcomes.Reason.REJECTED))


@pytest.mark.parametrize(
    ("outcome", "worth"),
    [
        (RAN, False),
        (outcomes.Unknown(outcomes.Reason.REPLY_LOST), False),
        (outcomes.NotRun(outcomes.Reason.OVERLOADED, 50), True),
        (outcomes.NotRun(outcomes.Reason.QUARANTINED, 50), False),
        (outcomes.NotRun(outcomes.Reason.KEY_CONFLICT, 0), False),
    ],
)
def test_new_keys_only_after_refusals_that_may_pass(outcome, worth):
    assert resends.worth_a_new_key(outcome) == worth

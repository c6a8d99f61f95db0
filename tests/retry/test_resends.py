"""What a caller is told follows from all sends of its key."""

from hypothesis import given
from hypothesis import strategies as st
import pytest

from greengagedale import outcomes
from greengagedale.retry import key_retry

RAN = outcomes.Ran("done")
RESULTS = st.lists(
    st.one_of(
        st.just(key_retry.NotConnected()),
        st.just(key_retry.ReplyLost()),
        st.just(key_retry.Rejected("bad")),
        st.builds(
            lambda reason: key_retry.Answered(outcomes.Unknown(reason)),
            st.sampled_from(outcomes.Reason),
        ),
    ),
    max_size=8,
)


@given(RESULTS, st.booleans(), st.booleans())
def test_only_an_unsent_key_is_dropped_or_said_not_to_have_run(
    results, ticketed, sent_before
):
    sends = key_retry.KeyRetryState(ticketed, sent_before)
    may_have_run = sent_before
    for result in results:
        step = sends.on_result(result)
        may_have_run |= isinstance(
            result, key_retry.ReplyLost | key_retry.Answered
        )
        if isinstance(step, key_retry.ReportOutcome):
            assert isinstance(step.outcome, outcomes.Unknown)
            return
        if isinstance(step, key_retry.ReportInvalid):
            return
        if isinstance(step, key_retry.UseNewKey):
            assert ticketed
            assert not may_have_run
            return
    assert sends.never_sent != may_have_run
    given_up = sends.on_deadline()
    assert isinstance(given_up, outcomes.Unknown) == may_have_run


def test_request_not_valid_after_a_lost_send_is_unknown():
    sends = key_retry.KeyRetryState(ticketed=True)
    sends.on_result(key_retry.ReplyLost())
    told = sends.on_result(key_retry.Rejected("no such workspace"))
    assert told == key_retry.ReportOutcome(
        outcomes.Unknown(outcomes.Reason.REJECTED)
    )


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
    assert key_retry.may_retry_with_new_key(outcome) == worth

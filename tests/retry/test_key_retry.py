"""Next steps and outcomes after the sends of an idempotency key."""

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
def test_only_a_key_never_sent_is_replaced_or_reported_as_not_run(
    results, ticketed, sent_before
):
    retry_state = key_retry.KeyRetryState(ticketed, sent_before)
    may_have_run = sent_before
    for result in results:
        step = retry_state.on_result(result)
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
    assert retry_state.never_sent != may_have_run
    outcome = retry_state.on_deadline()
    assert isinstance(outcome, outcomes.Unknown) == may_have_run


def test_rejection_after_a_lost_reply_is_unknown():
    retry_state = key_retry.KeyRetryState(ticketed=True)
    retry_state.on_result(key_retry.ReplyLost())
    step = retry_state.on_result(key_retry.Rejected("no such workspace"))
    assert step == key_retry.ReportOutcome(
        outcomes.Unknown(outcomes.Reason.REJECTED)
    )


@pytest.mark.parametrize(
    ("outcome", "may_retry"),
    [
        (RAN, False),
        (outcomes.Unknown(outcomes.Reason.REPLY_LOST), False),
        (outcomes.NotRun(outcomes.Reason.OVERLOADED, 50), True),
        (outcomes.NotRun(outcomes.Reason.QUARANTINED, 50), False),
        (outcomes.NotRun(outcomes.Reason.KEY_CONFLICT, 0), False),
    ],
)
def test_new_key_is_allowed_only_after_transient_refusals(outcome, may_retry):
    assert key_retry.may_retry_with_new_key(outcome) == may_retry

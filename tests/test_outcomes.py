"""Outcomes are true, whatever ways the attempts ended in."""

from hypothesis import given
from hypothesis import strategies as st

from greengagedale import outcomes

ENDS = st.lists(
    st.builds(
        outcomes.AttemptEnd,
        reason=st.sampled_from(outcomes.Reason),
        written=st.booleans(),
        refused=st.booleans(),
        retry_after_ms=st.integers(0, 1000),
    )
)


@given(ENDS)
def test_not_run_only_if_nothing_written_or_all_refused(ends):
    got = outcomes.of_attempts(ends, outcomes.Reason.OVERLOADED, 200)
    may_have_run = any(end.written and not end.refused for end in ends)
    assert isinstance(got, outcomes.Unknown) == may_have_run
    assert isinstance(got, outcomes.NotRun) != may_have_run


@given(ENDS)
def test_nothing_is_sent_again_once_a_byte_was_written(ends):
    written = any(end.written for end in ends)
    assert outcomes.is_safe_to_resend(ends) != written

"""Outcomes are correct for every combination of attempt failures."""

from hypothesis import given
from hypothesis import strategies as st

from greengagedale import outcomes

FAILURES = st.lists(
    st.builds(
        outcomes.AttemptFailure,
        reason=st.sampled_from(outcomes.Reason),
        written=st.booleans(),
        refused=st.booleans(),
        retry_after_ms=st.integers(0, 1000),
    )
)


@given(FAILURES)
def test_not_run_only_if_nothing_written_or_all_refused(failures):
    outcome = outcomes.from_failures(failures, outcomes.Reason.OVERLOADED, 200)
    may_have_run = any(
        failure.written and not failure.refused for failure in failures
    )
    assert isinstance(outcome, outcomes.Unknown) == may_have_run
    assert isinstance(outcome, outcomes.NotRun) != may_have_run


@given(FAILURES)
def test_no_resend_once_a_byte_was_written(failures):
    written = any(failure.written for failure in failures)
    assert outcomes.is_safe_to_resend(failures) != written

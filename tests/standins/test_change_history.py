"""Tests that the change history checker finds each kind of violation."""

from catalog import test_edits
import pytest

from greengagedale.catalog import catalogs
from greengagedale.catalog import edits
from standins import change_history

NO_VIOLATIONS = change_history.HistoryViolations([], [], [], [], [])


@pytest.fixture
def states():
    first = test_edits.after(
        catalogs.EMPTY, template=test_edits.template(timeout_ms=9)
    )
    second = test_edits.after(first, workspace=test_edits.workspace())
    third = test_edits.after(second, workspace=test_edits.workspace("v"))
    return [first, second, third]


def check(states, outcomes=(), documents=None):
    stored_documents = {
        k: v for s in states for k, v in s.encoded.documents.items()
    }
    values = [state.encoded.catalog for state in states]
    return change_history.check(
        values,
        stored_documents if documents is None else documents,
        list(outcomes),
    )


def make_outcome(state, outcome, **fields):
    change_id = state.catalog["changes"][-1]["change_id"]
    change = edits.Change(change_id, workspace=test_edits.workspace("v"))
    return change_history.ChangeOutcome(change, outcome, **fields)


def test_correct_history_has_no_violations(states):
    invalid_change = edits.Change(
        edits.new_change_id(1),
        workspace=test_edits.workspace("x", unknown=1),
    )
    outcomes = [
        make_outcome(states[2], "accepted", revision=3),
        change_history.ChangeOutcome(
            invalid_change, "not_accepted", reason="invalid"
        ),
    ]
    assert check(states, outcomes) == NO_VIOLATIONS
    assert check([states[0], *states], outcomes) == NO_VIOLATIONS


def test_lost_and_duplicate_changes_are_found(states):
    wrong_revision = make_outcome(states[2], "accepted", revision=2)
    change_id = wrong_revision.change.change_id
    assert check(states, [wrong_revision]).lost == [change_id]
    assert check(states[:2], [wrong_revision]).lost == [change_id]
    duplicate = states[2]._replace(
        encoded=states[2].encoded._replace(
            catalog=states[2].encoded.catalog + b" "
        )
    )
    violations = check([*states, duplicate])
    assert violations.duplicates == [change_id]
    assert violations.gaps == [3]


def test_false_refusals_are_found(states):
    accepted_change = make_outcome(
        states[2], "not_accepted", reason="platform_down"
    )
    assert check(states, [accepted_change]).false_refusals == [
        accepted_change.change.change_id
    ]
    valid_change = edits.Change(
        edits.new_change_id(1), workspace=test_edits.workspace("x")
    )
    refused = change_history.ChangeOutcome(
        valid_change,
        "not_accepted",
        0,
        "invalid",
        from_revision=1,
        to_revision=2,
    )
    assert check(states, [refused]).false_refusals == [valid_change.change_id]
    earlier = refused._replace(from_revision=0)
    assert check(states, [earlier]).false_refusals == []


def test_missing_objects_and_gaps_are_found(states):
    assert check(states, documents={}).invalid == [1, 2, 3]
    assert check([states[0], states[2]]).gaps == [3]

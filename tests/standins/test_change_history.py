"""The checker of changes finds the faults that it is there for."""

from catalog import test_edits
import pytest

from greengagedale.catalog import catalogs
from greengagedale.catalog import edits
from standins import change_history

NONE = change_history.HistoryViolations([], [], [], [], [])


@pytest.fixture
def states():
    first = test_edits.after(
        catalogs.EMPTY, template=test_edits.template(timeout_ms=9)
    )
    second = test_edits.after(first, workspace=test_edits.workspace())
    third = test_edits.after(second, workspace=test_edits.workspace("v"))
    return [first, second, third]


def found(states, told=(), documents=None):
    blobs = {k: v for s in states for k, v in s.encoded.documents.items()}
    values = [state.encoded.catalog for state in states]
    return change_history.check(
        values, blobs if documents is None else documents, list(told)
    )


def told(state, outcome, **fields):
    change_id = state.catalog["changes"][-1]["change_id"]
    change = edits.Change(change_id, workspace=test_edits.workspace("v"))
    return change_history.ChangeOutcome(change, outcome, **fields)


def test_correct_history_has_no_findings(states):
    unfit = edits.Change(
        edits.new_change_id(1),
        workspace=test_edits.workspace("x", unknown=1),
    )
    answers = [
        told(states[2], "accepted", revision=3),
        change_history.ChangeOutcome(unfit, "not_accepted", reason="invalid"),
    ]
    assert found(states, answers) == NONE
    assert found([states[0], *states], answers) == NONE


def test_lost_and_twice_accepted_changes_are_found(states):
    wrong = told(states[2], "accepted", revision=2)
    change_id = wrong.change.change_id
    assert found(states, [wrong]).lost == [change_id]
    assert found(states[:2], [wrong]).lost == [change_id]
    again = states[2]._replace(
        encoded=states[2].encoded._replace(
            catalog=states[2].encoded.catalog + b" "
        )
    )
    findings = found([*states, again])
    assert findings.twice == [change_id]
    assert findings.gaps == [3]


def test_false_refusals_are_found(states):
    taken = told(states[2], "not_accepted", reason="platform_down")
    assert found(states, [taken]).false_refusals == [taken.change.change_id]
    fits = edits.Change(
        edits.new_change_id(1), workspace=test_edits.workspace("x")
    )
    refused = change_history.ChangeOutcome(
        fits, "not_accepted", 0, "invalid", from_revision=1, to_revision=2
    )
    assert found(states, [refused]).false_refusals == [fits.change_id]
    earlier = refused._replace(from_revision=0)
    assert found(states, [earlier]).false_refusals == []


def test_missing_objects_and_gaps_are_found(states):
    assert found(states, documents={}).invalid == [1, 2, 3]
    assert found([states[0], states[2]]).gaps == [3]

"""Tests of the application of changes, and of their refusals and conflicts."""

import pytest

from greengagedale.catalog import catalogs
from greengagedale.catalog import documents
from greengagedale.catalog import edits


def template(name="site", **parameters):
    placeholders = {key: f"${{{key}}}" for key in parameters}
    return documents.parse_template(
        {
            "name": name,
            "parameters": {
                key: {"type": "integer", "default": value}
                for key, value in parameters.items()
            },
            "workspace": {"service": "places", **placeholders},
        }
    )


def workspace(name="w", **parameters):
    return documents.parse_workspace(
        {
            "name": name,
            "member": "member-a",
            "template": "site",
            "parameters": parameters,
        }
    )


def after(current, **parts):
    """Returns the configuration after a valid change."""
    change = edits.Change(edits.new_change_id(current.revision), **parts)
    decision = edits.decide(current, change)
    assert isinstance(decision, edits.PreparedChange), decision
    return decision.configuration


@pytest.fixture
def current():
    first = after(catalogs.EMPTY, template=template(timeout_ms=100))
    return after(first, workspace=workspace(timeout_ms=50))


def refusal(current, **parts):
    change = edits.Change(edits.new_change_id(current.revision), **parts)
    decision = edits.decide(current, change)
    assert isinstance(decision, edits.Refused), decision
    return decision


def test_used_template_can_neither_lose_a_parameter_nor_be_deleted(current):
    removal = refusal(current, template=template())
    assert [item.key for item in removal.field_errors] == [
        "w.parameters.timeout_ms"
    ]
    deletion = refusal(current, delete_template="site")
    assert [item.key for item in deletion.field_errors] == ["w.template"]
    unused = after(current, delete_workspace="w")
    assert after(unused, delete_template="site").templates == {}


def test_conflict_names_the_change_and_the_key(current):
    read_version = current.catalog["workspaces"]["w"]
    read_revision = current.revision
    other = after(current, workspace=workspace(timeout_ms=70))
    expected = edits.Conflict(
        "workspaces/w", other.catalog["changes"][-1]["change_id"], 3
    )
    edit = workspace(timeout_ms=80)
    for precondition in (
        {"expected_version": read_version},
        {"expected_revision": read_revision},
        {"expected_version": edits.ABSENT},
    ):
        refused = refusal(other, workspace=edit, **precondition)
        assert refused.reason == edits.Refused.CONFLICT
        assert refused.conflicts == [expected]
    untouched = workspace("other")
    after(other, workspace=untouched, expected_revision=read_revision)
    deleted = after(other, delete_workspace="w")
    refused = refusal(deleted, workspace=edit, expected_revision=read_revision)
    assert refused.conflicts[0].revision == 4


def test_change_id_has_one_result_until_it_expires(current):
    change = edits.Change(
        edits.new_change_id(current.revision), workspace=workspace("x")
    )
    accepted = edits.decide(current, change).configuration
    later = accepted
    for _ in range(catalogs.MAX_RECENT_CHANGES - 1):
        later = after(later, workspace=workspace("y"))
    repeated = edits.decide(later, change)
    assert repeated == edits.AlreadyAccepted(accepted.revision)
    later = after(later, delete_workspace="x")
    assert isinstance(edits.decide(later, change), edits.Expired)
    assert isinstance(edits.decide(catalogs.EMPTY, change), edits.Stale)


def test_object_above_the_size_limit_is_refused(current, monkeypatch):
    monkeypatch.setattr(edits, "MAX_OBJECT_BYTES", 300)
    refused = refusal(current, workspace=workspace("x"))
    assert refused.reason == edits.Refused.TOO_LARGE
    assert "catalog: would take" in refused.detail


def test_unchanged_documents_are_not_rewritten(current):
    change = edits.Change(
        edits.new_change_id(2), workspace=workspace(timeout_ms=50)
    )
    decision = edits.decide(current, change)
    assert decision.new_documents == {}
    assert decision.configuration.revision == 3


def test_old_catalogs_never_collect_referenced_documents(current):
    states = [current]
    for number in range(60):
        edit = workspace(f"w{number % 3}", timeout_ms=1 + number % 5)
        states.append(after(states[-1], workspace=edit))
    names = sorted({n for s in states for n in s.encoded.documents})
    for index, state in enumerate(states):
        collectable = set(
            catalogs.collectable_documents(state.catalog, [*names, "odd"])
        )
        later = states[max(0, index - catalogs.RETENTION_REVISIONS + 1) :]
        assert not collectable & {n for s in later for n in s.encoded.documents}
    assert len(collectable) > 20

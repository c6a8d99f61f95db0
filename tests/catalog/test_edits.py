"""What a change does, is refused for, and conflicts with."""

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
    """Returns the configuration after a change that fits."""
    change = edits.Change(edits.new_change_id(current.revision), **parts)
    decided = edits.decide(current, change)
    assert isinstance(decided, edits.PreparedChange), decided
    return decided.configuration


@pytest.fixture
def current():
    first = after(catalogs.EMPTY, template=template(timeout_ms=100))
    return after(first, workspace=workspace(timeout_ms=50))


def refusal(current, **parts):
    change = edits.Change(edits.new_change_id(current.revision), **parts)
    decided = edits.decide(current, change)
    assert isinstance(decided, edits.Refused), decided
    return decided


def test_template_in_use_can_neither_lose_a_parameter_nor_go(current):
    lost = refusal(current, template=template())
    assert [item.key for item in lost.field_errors] == [
        "w.parameters.timeout_ms"
    ]
    gone = refusal(current, delete_template="site")
    assert [item.key for item in gone.field_errors] == ["w.template"]
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
    for stated in (
        {"expected_version": read_version},
        {"expected_revision": read_revision},
        {"expected_version": edits.ABSENT},
    ):
        refused = refusal(other, workspace=edit, **stated)
        assert refused.reason == edits.Refused.CONFLICT
        assert refused.conflicts == [expected]
    untouched = workspace("other")
    after(other, workspace=untouched, expected_revision=read_revision)
    deleted = after(other, delete_workspace="w")
    refused = refusal(deleted, workspace=edit, expected_revision=read_revision)
    assert refused.conflicts[0].revision == 4


def test_an_id_gives_one_answer_and_is_refused_once_too_old(current):
    change = edits.Change(
        edits.new_change_id(current.revision), workspace=workspace("x")
    )
    accepted = edits.decide(current, change).configuration
    later = accepted
    for _ in range(catalogs.MAX_RECENT_CHANGES - 1):
        later = after(later, workspace=workspace("y"))
    again = edits.decide(later, change)
    assert again == edits.AlreadyAccepted(accepted.revision)
    later = after(later, delete_workspace="x")
    assert isinstance(edits.decide(later, change), edits.Expired)
    assert isinstance(edits.decide(catalogs.EMPTY, change), edits.Stale)


def test_what_exceeds_the_platforms_limit_is_refused(current, monkeypatch):
    monkeypatch.setattr(edits, "MAX_OBJECT_BYTES", 300)
    refused = refusal(current, workspace=workspace("x"))
    assert refused.reason == edits.Refused.TOO_LARGE
    assert "catalog: would take" in refused.detail


def test_unchanged_documents_are_not_written_again(current):
    change = edits.Change(
        edits.new_change_id(2), workspace=workspace(timeout_ms=50)
    )
    decided = edits.decide(current, change)
    assert decided.new_documents == {}
    assert decided.configuration.revision == 3


def test_no_catalog_however_old_has_a_bound_document_collected(current):
    states = [current]
    for number in range(60):
        edit = workspace(f"w{number % 3}", timeout_ms=1 + number % 5)
        states.append(after(states[-1], workspace=edit))
    names = sorted({n for s in states for n in s.encoded.documents})
    for index, state in enumerate(states):
        doomed = set(
            catalogs.collectable_documents(state.catalog, [*names, "odd"])
        )
        later = states[max(0, index - catalogs.RETENTION_REVISIONS + 1) :]
        assert not doomed & {n for s in later for n in s.encoded.documents}
    assert len(doomed) > 20

"""Checks the outcomes reported to operators against the catalog's history."""

from typing import NamedTuple

from greengagedale import exceptions
from greengagedale.catalog import catalogs
from greengagedale.catalog import edits


class ChangeOutcome(NamedTuple):
    """The final outcome of a change that was reported to an operator.

    Attributes:
        change: The requested change.
        outcome: `accepted`, `not_accepted` or `unknown`.
        revision: Revision at which the change was accepted; 0 otherwise.
        reason: Reason of a refusal; empty without one.
        from_revision: Lower bound of the revision stored when the change was
            sent.
        to_revision: Upper bound of the revision stored when the answer
            arrived; None means unbounded.
    """

    change: edits.Change
    outcome: str
    revision: int = 0
    reason: str = ""
    from_revision: int = 0
    to_revision: int | None = None


class HistoryViolations(NamedTuple):
    """Violations found; all lists are empty for a correct history.

    Attributes:
        invalid: Revisions whose objects are missing or inconsistent.
        gaps: Revisions that are not the previous revision plus one.
        twice: Ids of changes that occur more than once in the history.
        lost: Ids of changes reported as accepted that the history does not
            contain at the reported revision.
        false_refusals: Ids of changes reported as not accepted that are in the
            history, or that were refused although they were valid at every
            revision that may have been current.
    """

    invalid: list[int]
    gaps: list[int]
    duplicates: list[str]
    lost: list[str]
    false_refusals: list[str]


def check(
    values: list[bytes],
    documents: dict[str, bytes],
    outcomes: list[ChangeOutcome],
) -> HistoryViolations:
    """Checks a history.

    Args:
        values: All stored catalogs, in order.
        documents: All documents that were ever stored, by name.
        outcomes: Outcomes that were reported to operators.
    """
    values = _without_identical_rewrites(values)
    stored = [catalogs.decode_catalog(value) for value in values]
    states = [catalogs.EMPTY]
    invalid = []
    for value, catalog in zip(values, stored, strict=True):
        referenced = catalogs.referenced_names(catalog)
        available = {
            name: documents[name] for name in referenced & documents.keys()
        }
        try:
            encoded = catalogs.EncodedConfiguration(value, available)
            states.append(catalogs.decode(encoded, states[-1]))
        except exceptions.InvalidInputError:
            invalid.append(catalog["revision"])
    revisions = [catalog["revision"] for catalog in stored]
    ids = [catalog["changes"][-1]["change_id"] for catalog in stored]
    revisions_by_id = dict(zip(ids, revisions, strict=True))
    return HistoryViolations(
        invalid=invalid,
        gaps=[r for i, r in enumerate(revisions, start=1) if r != i],
        duplicates=sorted({item for item in ids if ids.count(item) > 1}),
        lost=[
            item.change.change_id
            for item in outcomes
            if item.outcome == "accepted"
            and revisions_by_id.get(item.change.change_id) != item.revision
        ],
        false_refusals=[
            item.change.change_id
            for item in outcomes
            if item.outcome == "not_accepted"
            and _falsely_refused(item, revisions_by_id, states)
        ],
    )


def revision_of(value: bytes) -> int:
    """Returns the revision of a catalog."""
    return catalogs.decode_catalog(value)["revision"]


def _without_identical_rewrites(values: list[bytes]) -> list[bytes]:
    """Drops rewrites with identical bytes, which change nothing."""
    earlier = [catalogs.EMPTY.encoded.catalog, *values]
    return [
        value
        for value, previous in zip(values, earlier, strict=False)
        if value != previous
    ]


def stored_values(events: list[dict]) -> tuple[list[bytes], dict[str, bytes]]:
    """Returns the stored catalogs and documents from the platform's record."""
    writes = [
        item
        for item in events
        if item["event"] == "write" and item["value"] is not None
    ]
    values = [
        item["value"].encode()
        for item in writes
        if item["kind"] == catalogs.KIND_CATALOG
    ]
    documents = {
        item["name"]: item["value"].encode()
        for item in writes
        if item["kind"] == catalogs.KIND_DOCUMENT
    }
    return values, documents


def _falsely_refused(
    item: ChangeOutcome,
    revisions_by_id: dict[str, int],
    states: list[catalogs.Configuration],
) -> bool:
    if item.change.change_id in revisions_by_id:
        return True
    if item.reason == "platform_down":
        return False
    end = None if item.to_revision is None else item.to_revision + 1
    candidates = states[item.from_revision : end]
    # A new id ensures that only the content of the change decides.
    retried_changes = [
        item.change._replace(change_id=edits.new_change_id(state.revision))
        for state in candidates
    ]
    return all(
        isinstance(edits.decide(state, change), edits.PreparedChange)
        for state, change in zip(candidates, retried_changes, strict=True)
    )

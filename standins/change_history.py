"""Checks what operators were told against the history of the catalog."""

from typing import NamedTuple

from greengagedale import exceptions
from greengagedale.catalog import catalogs
from greengagedale.catalog import edits


class ChangeOutcome(NamedTuple):
    """What an operator was told in the end.

    Attributes:
        change: The change that was asked for.
        outcome: `accepted`, `not_accepted` or `unknown`.
        revision: Revision at which it was accepted; 0 if it was not.
        reason: Reason of a refusal; empty if there was none.
        from_revision: Revision stored when the change was sent, or lower.
        to_revision: Revision stored when the answer came, or higher.
    """

    change: edits.Change
    outcome: str
    revision: int = 0
    reason: str = ""
    from_revision: int = 0
    to_revision: int | None = None


class HistoryViolations(NamedTuple):
    """Faults found; all of them empty in a correct history.

    Attributes:
        invalid: Revisions whose objects are missing or don't fit together.
        gaps: Revisions that don't follow the one before by one.
        twice: Changes that are in the history more than once.
        lost: Changes told accepted that are not in it at that revision.
        false_refusals: Changes told not accepted that are in it, or refused
            although they fit every revision of their time.
    """

    invalid: list[int]
    gaps: list[int]
    twice: list[str]
    lost: list[str]
    false_refusals: list[str]


def check(
    values: list[bytes], documents: dict[str, bytes], told: list[ChangeOutcome]
) -> HistoryViolations:
    """Checks a history.

    Args:
        values: Every catalog that was stored, in order.
        documents: Every document that was ever stored, by name.
        told: What the operators were told.
    """
    values = _without_repeats(values)
    stored = [catalogs.decode_catalog(value) for value in values]
    states = [catalogs.EMPTY]
    invalid = []
    for value, catalog in zip(values, stored, strict=True):
        bound = catalogs.referenced_names(catalog)
        held = {name: documents[name] for name in bound & documents.keys()}
        try:
            encoded = catalogs.EncodedConfiguration(value, held)
            states.append(catalogs.decode(encoded, states[-1]))
        except exceptions.InvalidInputError:
            invalid.append(catalog["revision"])
    revisions = [catalog["revision"] for catalog in stored]
    ids = [catalog["changes"][-1]["change_id"] for catalog in stored]
    at_revision = dict(zip(ids, revisions, strict=True))
    return HistoryViolations(
        invalid=invalid,
        gaps=[r for i, r in enumerate(revisions, start=1) if r != i],
        twice=sorted({item for item in ids if ids.count(item) > 1}),
        lost=[
            item.change.change_id
            for item in told
            if item.outcome == "accepted"
            and at_revision.get(item.change.change_id) != item.revision
        ],
        false_refusals=[
            item.change.change_id
            for item in told
            if item.outcome == "not_accepted"
            and _falsely_refused(item, at_revision, states)
        ],
    )


def revision_of(value: bytes) -> int:
    """Returns the revision of a catalog."""
    return catalogs.decode_catalog(value)["revision"]


def _without_repeats(values: list[bytes]) -> list[bytes]:
    """Leaves out rewrites of the same bytes, which change nothing."""
    earlier = [catalogs.EMPTY.encoded.catalog, *values]
    return [
        value
        for value, before in zip(values, earlier, strict=False)
        if value != before
    ]


def stored_values(events: list[dict]) -> tuple[list[bytes], dict[str, bytes]]:
    """Returns catalogs and documents from the record of the platform."""
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
    at_revision: dict[str, int],
    states: list[catalogs.Configuration],
) -> bool:
    if item.change.change_id in at_revision:
        return True
    if item.reason == "platform_down":
        return False
    until = None if item.to_revision is None else item.to_revision + 1
    lived = states[item.from_revision : until]
    # The id is given anew, so that only the content of the change decides.
    fresh = [
        item.change._replace(change_id=edits.new_change_id(state.revision))
        for state in lived
    ]
    return all(
        isinstance(edits.decide(state, change), edits.PreparedChange)
        for state, change in zip(lived, fresh, strict=True)
    )

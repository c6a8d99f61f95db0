"""Application of changes to a configuration, without I/O."""

import dataclasses
import re
import secrets
from typing import Any, ClassVar, NamedTuple

import msgspec

from greengagedale import exceptions
from greengagedale.catalog import catalogs
from greengagedale.catalog import documents

MAX_OBJECT_BYTES = 1_000_000
ABSENT = "absent"

_CHANGE_ID = re.compile(r"(0|[1-9][0-9]{0,14})-[0-9A-Za-z_.-]{8,64}")
_TOKEN_BYTES = 12


class Change(NamedTuple):
    """A change that an operator requests.

    Attributes:
        change_id: Id that is unique among all changes; starts with a revision
            that was active when the id was created.
        template: Template to create or replace, if any.
        workspace: Workspace to create or replace, if any.
        delete_template: Name of a template to delete, if any.
        delete_workspace: Name of a workspace to delete, if any.
        expected_version: Version of the document that the operator read, or
            `ABSENT`; None accepts any version.
        expected_revision: Revision that the operator read; None accepts any
            revision.
    """

    change_id: str
    template: documents.Template | None = None
    workspace: documents.Workspace | None = None
    delete_template: str | None = None
    delete_workspace: str | None = None
    expected_version: str | None = None
    expected_revision: int | None = None


class Conflict(NamedTuple):
    """An earlier change that conflicts with an operator's expectation.

    Attributes:
        key: Key of the changed document, such as `templates/site`.
        change_id: Id of the earlier change; empty if it is no longer recorded.
        revision: Revision of the earlier change; 0 if it is no longer
            recorded.
    """

    key: str
    change_id: str
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class PreparedChange:
    """The change is valid; it is accepted once its catalog is stored."""

    configuration: catalogs.Configuration
    new_documents: dict[str, bytes]


@dataclasses.dataclass(frozen=True, slots=True)
class AlreadyAccepted:
    """The change is already part of the configuration."""

    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """The change is invalid, conflicts with another one, or is too large."""

    INVALID: ClassVar[str] = "invalid"
    CONFLICT: ClassVar[str] = "conflict"
    TOO_LARGE: ClassVar[str] = "too_large"
    reason: str
    detail: str
    field_errors: list[exceptions.FieldError] = dataclasses.field(
        default_factory=list
    )
    conflicts: list[Conflict] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(frozen=True, slots=True)
class Absent:
    """The change is not part of the configuration at this revision."""

    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class Expired:
    """The id is older than all recorded changes; its outcome is unknown."""


@dataclasses.dataclass(frozen=True, slots=True)
class Stale:
    """The operator has read a newer configuration than the given one."""


Decision = PreparedChange | AlreadyAccepted | Refused | Expired | Stale
ChangeLookup = AlreadyAccepted | Absent | Expired | Stale


def new_change_id(revision: int) -> str:
    """Returns a new id for a change that is based on a revision."""
    return f"{revision}-{secrets.token_hex(_TOKEN_BYTES)}"


def check_change_id(change_id: str) -> None:
    """Validates the format of a change id.

    Raises:
        InvalidInputError: The id has another format.
    """
    if _CHANGE_ID.fullmatch(change_id):
        return
    message = "must be REVISION-TOKEN, as POST /v1/changes gives them"
    raise exceptions.InvalidInputError(
        "change id", [exceptions.FieldError("change_id", message)]
    )


def touched_keys(change: Change) -> list[str]:
    """Returns keys of documents that a change creates, replaces or deletes."""
    candidates = (
        ("templates", change.template and change.template.name),
        ("templates", change.delete_template),
        ("workspaces", change.workspace and change.workspace.name),
        ("workspaces", change.delete_workspace),
    )
    return [f"{kind}/{name}" for kind, name in candidates if name]


def find_change(
    current: catalogs.Configuration, change_id: str
) -> ChangeLookup:
    """Looks up a change among the recorded ones."""
    for item in current.catalog["changes"]:
        if item["change_id"] == change_id:
            return AlreadyAccepted(item["revision"])
    base_revision = int(change_id.partition("-")[0])
    if base_revision > current.revision:
        return Stale()
    if current.revision - base_revision > catalogs.MAX_RECENT_CHANGES:
        return Expired()
    return Absent(current.revision)


def decide(current: catalogs.Configuration, change: Change) -> Decision:
    """Applies a change, or returns why it can't be applied."""
    lookup = find_change(current, change.change_id)
    if not isinstance(lookup, Absent):
        return lookup
    if (change.expected_revision or 0) > current.revision:
        return Stale()
    conflicts = [
        conflict
        for key in touched_keys(change)
        for conflict in _conflicts(current.catalog, change, key)
    ]
    if conflicts:
        return _conflict_refusal(conflicts)
    missing = _missing_deletions(current, change)
    if missing:
        return _validation_refusal(
            exceptions.InvalidInputError("change", missing)
        )
    try:
        return _prepare(current, change)
    except exceptions.InvalidInputError as error:
        return _validation_refusal(error)


def _prepare(
    current: catalogs.Configuration, change: Change
) -> PreparedChange | Refused:
    revision = current.revision + 1
    templates = _with_edit(
        current.templates, change.template, change.delete_template
    )
    workspaces = _with_edit(
        current.workspaces, change.workspace, change.delete_workspace
    )
    resolved = catalogs.resolve_all(templates, workspaces, current)
    added = _new_documents(current, change, revision)
    catalog = _next_catalog(current.catalog, change, revision, added)
    value = msgspec.json.encode(catalog)
    new_documents = {name: content for _, name, content in added}
    size_refusal = _size_refusal({"catalog": value, **new_documents})
    if size_refusal:
        return size_refusal
    available = {**current.encoded.documents, **new_documents}
    referenced = {
        name: available[name] for name in catalogs.referenced_names(catalog)
    }
    encoded = catalogs.EncodedConfiguration(value, referenced)
    return PreparedChange(
        catalogs.Configuration(
            revision, templates, workspaces, resolved, catalog, encoded
        ),
        new_documents,
    )


def _with_edit(
    items: dict[str, Any], put: Any | None, delete: str | None
) -> dict[str, Any]:
    kept = {name: item for name, item in items.items() if name != delete}
    return kept if put is None else {**kept, put.name: put}


def _new_documents(
    current: catalogs.Configuration, change: Change, revision: int
) -> list[tuple[str, str, bytes]]:
    """Returns key, object name and content of each document to write."""
    puts = (
        ("templates", current.templates, change.template),
        ("workspaces", current.workspaces, change.workspace),
    )
    added = []
    for kind, items, put in puts:
        if put is None or items.get(put.name) == put:
            continue
        content = catalogs.encode_document(put)
        name = catalogs.document_name(content, revision)
        added.append((f"{kind}/{put.name}", name, content))
    return added


def _next_catalog(
    old: catalogs.CatalogObject,
    change: Change,
    revision: int,
    added: list[tuple[str, str, bytes]],
) -> catalogs.CatalogObject:
    names = {key: name for key, name, _ in added}

    def updated_names(
        kind: str, items: dict[str, str], delete: str | None
    ) -> Any:
        new = {
            key.partition("/")[2]: name
            for key, name in names.items()
            if key.startswith(f"{kind}/")
        }
        kept = {name: item for name, item in items.items() if name != delete}
        return {**kept, **new}

    templates = updated_names(
        "templates", old["templates"], change.delete_template
    )
    workspaces = updated_names(
        "workspaces", old["workspaces"], change.delete_workspace
    )
    referenced = {*templates.values(), *workspaces.values()}
    applied = catalogs.AppliedChange(
        change_id=change.change_id,
        revision=revision,
        keys=touched_keys(change),
        released=sorted(catalogs.referenced_names(old) - referenced),
    )
    return catalogs.CatalogObject(
        revision=revision,
        templates=templates,
        workspaces=workspaces,
        changes=[*old["changes"], applied][-catalogs.MAX_RECENT_CHANGES :],
    )


def _missing_deletions(
    current: catalogs.Configuration, change: Change
) -> list[exceptions.FieldError]:
    deletes = (
        (change.delete_template, current.templates),
        (change.delete_workspace, current.workspaces),
    )
    return [
        exceptions.FieldError(name, "not found")
        for name, items in deletes
        if name is not None and name not in items
    ]


def version_of(catalog: catalogs.CatalogObject, key: str) -> str | None:
    """Returns the version of a document, or None if it does not exist."""
    kind, _, name = key.partition("/")
    items = catalog["templates" if kind == "templates" else "workspaces"]
    return items.get(name)


def _conflicts(
    catalog: catalogs.CatalogObject, change: Change, key: str
) -> list[Conflict]:
    version = version_of(catalog, key)
    last_change = _last_change(catalog, key)
    expected = change.expected_version
    if expected is not None and (version or ABSENT) != expected:
        return [last_change]
    base_revision = change.expected_revision
    if base_revision is None:
        return []
    if version is not None:
        return (
            [last_change]
            if catalogs.first_revision(version) > base_revision
            else []
        )
    is_history_truncated = (
        catalog["revision"] - base_revision > catalogs.MAX_RECENT_CHANGES
    )
    return (
        [last_change]
        if last_change.revision > base_revision or is_history_truncated
        else []
    )


def _last_change(catalog: catalogs.CatalogObject, key: str) -> Conflict:
    for item in reversed(catalog["changes"]):
        if key in item["keys"]:
            return Conflict(key, item["change_id"], item["revision"])
    return Conflict(key, "", 0)


def _conflict_refusal(conflicts: list[Conflict]) -> Refused:
    lines = [
        f"{item.key} was changed at revision {item.revision} by "
        f"change {item.change_id}"
        if item.change_id
        else f"{item.key} does not have the expected version; no recent change "
        "to it is recorded"
        for item in conflicts
    ]
    detail = "; ".join(lines) + "; read it again and repeat the edit"
    return Refused(Refused.CONFLICT, detail, conflicts=conflicts)


def _validation_refusal(error: exceptions.InvalidInputError) -> Refused:
    return Refused(Refused.INVALID, str(error), field_errors=error.field_errors)


def _size_refusal(objects: dict[str, bytes]) -> Refused | None:
    field_errors = [
        exceptions.FieldError(
            name,
            f"would take {len(value)} bytes; the platform stores at most "
            f"{MAX_OBJECT_BYTES} in one object",
        )
        for name, value in objects.items()
        if len(value) > MAX_OBJECT_BYTES
    ]
    if not field_errors:
        return None
    detail = "; ".join(str(item) for item in field_errors)
    return Refused(Refused.TOO_LARGE, detail, field_errors=field_errors)

"""The catalog: one small object that binds immutable ones together.

A change of configuration is accepted exactly when the conditional update of
the catalog succeeds, so templates and workspaces cannot drift apart.
"""

import hashlib
from typing import Any, NamedTuple, TypedDict

import msgspec

from greengagedale import exceptions
from greengagedale.catalog import documents

KIND_CATALOG = "catalog"
KIND_DOCUMENT = "documents"
CATALOG_NAME = "main"
RECENT_CHANGES = 200

_DIGEST_BYTES = 16


class AppliedChange(TypedDict):
    """A change that was accepted."""

    change_id: str
    revision: int


class CatalogObject(TypedDict):
    """The catalog as the platform keeps it.

    `templates` and `workspaces` map names to names of immutable objects.
    """

    revision: int
    templates: dict[str, str]
    workspaces: dict[str, str]
    changes: list[AppliedChange]


class Change(NamedTuple):
    """One change that an operator asks for.

    Attributes:
        change_id: Chosen by the operator's side; unique over all changes.
        template: Template to put, if any.
        workspace: Workspace to put, if any.
        delete_workspace: Name of a workspace to delete, if any.
    """

    change_id: str
    template: documents.Template | None = None
    workspace: documents.Workspace | None = None
    delete_workspace: str | None = None


class Configuration(NamedTuple):
    """All configuration at one revision, checked as a whole.

    Attributes:
        revision: Rises by one with each accepted change.
        templates: Templates by name.
        workspaces: Workspaces by name.
        plans: Resolved workspaces by name.
        changes: Recent changes, oldest first.
    """

    revision: int
    templates: dict[str, documents.Template]
    workspaces: dict[str, documents.Workspace]
    plans: dict[str, documents.WorkspacePlan]
    changes: list[AppliedChange]


EMPTY = Configuration(0, {}, {}, {}, [])

object_decoder = msgspec.json.Decoder(CatalogObject)


def apply(current: Configuration, change: Change) -> Configuration:
    """Returns the configuration after a change.

    Raises:
        InvalidInputError: The change does not fit; all mistakes are listed.
    """
    templates = dict(current.templates)
    workspaces = dict(current.workspaces)
    if change.template is not None:
        templates[change.template.name] = change.template
    if change.workspace is not None:
        workspaces[change.workspace.name] = change.workspace
    if change.delete_workspace is not None:
        if change.delete_workspace not in workspaces:
            raise exceptions.InvalidInputError(
                "change",
                [exceptions.Mistake(change.delete_workspace, "not found")],
            )
        del workspaces[change.delete_workspace]
    revision = current.revision + 1
    applied = AppliedChange(change_id=change.change_id, revision=revision)
    return Configuration(
        revision,
        templates,
        workspaces,
        _resolve_all(templates, workspaces),
        [*current.changes, applied][-RECENT_CHANGES:],
    )


def revision_of(current: Configuration, change_id: str) -> int | None:
    """Returns the revision at which a recent change was accepted, if any."""
    found = (
        item["revision"]
        for item in current.changes
        if item["change_id"] == change_id
    )
    return next(found, None)


def encode_document(
    document: documents.Template | documents.Workspace,
) -> bytes:
    """Encodes a document; equal documents have equal encodings."""
    return msgspec.json.encode(document.model_dump(), order="sorted")


def document_name(encoded: bytes) -> str:
    """Names an immutable object after its content."""
    return hashlib.blake2b(encoded, digest_size=_DIGEST_BYTES).hexdigest()


def to_object(current: Configuration) -> tuple[bytes, dict[str, bytes]]:
    """Encodes a configuration as a catalog and its immutable objects.

    Returns:
        The encoded catalog, and the encoded documents by object name.
    """
    blobs: dict[str, bytes] = {}

    def bind(items: dict[str, Any]) -> dict[str, str]:
        bound = {}
        for name, item in items.items():
            encoded = encode_document(item)
            bound[name] = document_name(encoded)
            blobs[bound[name]] = encoded
        return bound

    catalog = CatalogObject(
        revision=current.revision,
        templates=bind(current.templates),
        workspaces=bind(current.workspaces),
        changes=current.changes,
    )
    return msgspec.json.encode(catalog), blobs


def from_object(
    catalog: CatalogObject, blobs: dict[str, bytes]
) -> Configuration:
    """Rebuilds a configuration from a catalog and its immutable objects.

    Raises:
        KeyError: An object is missing from `blobs`.
        InvalidInputError: The objects don't fit together.
    """
    templates = {
        name: documents.parse_template(msgspec.json.decode(blobs[blob]))
        for name, blob in catalog["templates"].items()
    }
    workspaces = {
        name: documents.parse_workspace(msgspec.json.decode(blobs[blob]))
        for name, blob in catalog["workspaces"].items()
    }
    return Configuration(
        catalog["revision"],
        templates,
        workspaces,
        _resolve_all(templates, workspaces),
        catalog["changes"],
    )


def names_in(catalog: CatalogObject) -> set[str]:
    """Returns the names of all immutable objects that a catalog binds."""
    return {*catalog["templates"].values(), *catalog["workspaces"].values()}


def _resolve_all(
    templates: dict[str, documents.Template],
    workspaces: dict[str, documents.Workspace],
) -> dict[str, documents.WorkspacePlan]:
    plans = {}
    mistakes: list[exceptions.Mistake] = []
    for name, workspace in workspaces.items():
        template = templates.get(workspace.template)
        if template is None:
            mistakes.append(
                exceptions.Mistake(
                    f"{name}.template", f"no template {workspace.template!r}"
                )
            )
            continue
        try:
            plans[name] = documents.resolve(workspace, template)
        except exceptions.InvalidInputError as error:
            mistakes.extend(
                exceptions.Mistake(f"{name}.{item.key}", item.message)
                for item in error.mistakes
            )
    if mistakes:
        raise exceptions.InvalidInputError("configuration", mistakes)
    return plans

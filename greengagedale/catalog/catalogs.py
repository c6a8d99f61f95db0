"""The catalog: one small object that binds immutable ones together.

A change of configuration is accepted exactly when the conditional update of
the catalog succeeds, so templates and workspaces cannot drift apart.

A document's name starts with the revision that it was written for. Only the
update that makes this very revision can bind it first, and a name that is no
longer bound is never bound again.
"""

import hashlib
from typing import Any, NamedTuple, TypedDict

import msgspec

from greengagedale import exceptions
from greengagedale.catalog import documents

KIND_CATALOG = "catalog"
KIND_DOCUMENT = "documents"
CATALOG_NAME = "main"
MAX_RECENT_CHANGES = 200
RETENTION_REVISIONS = 20

_DIGEST_BYTES = 16


class AppliedChange(TypedDict):
    """A change that was accepted.

    `keys` names what it touched, such as `templates/site`; `released` names
    the documents that it unbound.
    """

    change_id: str
    revision: int
    keys: list[str]
    released: list[str]


class CatalogObject(TypedDict):
    """The catalog as the platform keeps it.

    `templates` and `workspaces` map names to names of immutable objects.
    """

    revision: int
    templates: dict[str, str]
    workspaces: dict[str, str]
    changes: list[AppliedChange]


class EncodedConfiguration(NamedTuple):
    """A configuration as the platform keeps it.

    Attributes:
        catalog: The catalog.
        documents: The documents that it binds, by object name.
    """

    catalog: bytes
    documents: dict[str, bytes]


class Configuration(NamedTuple):
    """All configuration at one revision, checked as a whole.

    Attributes:
        revision: Rises by one with each accepted change.
        templates: Templates by name.
        workspaces: Workspaces by name.
        plans: Resolved workspaces by name.
        catalog: The catalog that binds them.
        encoded: The same as the platform keeps it.
    """

    revision: int
    templates: dict[str, documents.Template]
    workspaces: dict[str, documents.Workspace]
    resolved_workspaces: dict[str, documents.ResolvedWorkspace]
    catalog: CatalogObject
    encoded: EncodedConfiguration


_EMPTY_CATALOG = CatalogObject(
    revision=0, templates={}, workspaces={}, changes=[]
)
EMPTY = Configuration(
    0,
    {},
    {},
    {},
    _EMPTY_CATALOG,
    EncodedConfiguration(msgspec.json.encode(_EMPTY_CATALOG), {}),
)

_decoder = msgspec.json.Decoder(CatalogObject)


def decode_catalog(value: bytes) -> CatalogObject:
    """Decodes a catalog.

    Raises:
        InvalidInputError: It is not a catalog.
    """
    try:
        return _decoder.decode(value)
    except msgspec.DecodeError as error:
        raise _decode_error("catalog", error) from error


def encode_document(
    document: documents.Template | documents.Workspace,
) -> bytes:
    """Encodes a document; equal documents have equal encodings."""
    return msgspec.json.encode(document.model_dump(), order="sorted")


def document_name(encoded: bytes, revision: int) -> str:
    """Names an immutable object after its first revision and its content."""
    digest = hashlib.blake2b(encoded, digest_size=_DIGEST_BYTES).hexdigest()
    return f"{revision}-{digest}"


def first_revision(name: str) -> int:
    """Returns the revision that a document was written for.

    Raises:
        ValueError: It is not the name of a document.
    """
    return int(name.partition("-")[0])


def referenced_names(catalog: CatalogObject) -> set[str]:
    """Returns the names of all immutable objects that a catalog binds."""
    return {*catalog["templates"].values(), *catalog["workspaces"].values()}


def decode(
    encoded: EncodedConfiguration, previous: Configuration = EMPTY
) -> Configuration:
    """Rebuilds a configuration; parses only what `previous` does not hold.

    Raises:
        InvalidInputError: An object can't be read, or is missing, or the
            objects don't fit together.
    """
    catalog = decode_catalog(encoded.catalog)
    templates = {
        name: previous.templates[name]
        if previous.catalog["templates"].get(name) == object_name
        else documents.parse_template(_decode_document(encoded, object_name))
        for name, object_name in catalog["templates"].items()
    }
    workspaces = {
        name: previous.workspaces[name]
        if previous.catalog["workspaces"].get(name) == object_name
        else documents.parse_workspace(_decode_document(encoded, object_name))
        for name, object_name in catalog["workspaces"].items()
    }
    return Configuration(
        catalog["revision"],
        templates,
        workspaces,
        resolve_all(templates, workspaces, previous),
        catalog,
        encoded,
    )


def resolve_all(
    templates: dict[str, documents.Template],
    workspaces: dict[str, documents.Workspace],
    previous: Configuration = EMPTY,
) -> dict[str, documents.ResolvedWorkspace]:
    """Fills every workspace's template in.

    Args:
        templates: Templates by name.
        workspaces: Workspaces by name.
        previous: Its plans are kept where neither document was replaced.

    Raises:
        InvalidInputError: Some don't fit; all mistakes are listed.
    """
    resolved = {}
    field_errors: list[exceptions.FieldError] = []
    for name, workspace in workspaces.items():
        template = templates.get(workspace.template)
        if template is None:
            field_errors.append(
                exceptions.FieldError(
                    f"{name}.template", f"no template {workspace.template!r}"
                )
            )
            continue
        if (
            previous.workspaces.get(name) is workspace
            and previous.templates.get(workspace.template) is template
        ):
            resolved[name] = previous.resolved_workspaces[name]
            continue
        try:
            resolved[name] = documents.resolve(workspace, template)
        except exceptions.InvalidInputError as error:
            field_errors.extend(
                exceptions.FieldError(f"{name}.{item.key}", item.message)
                for item in error.field_errors
            )
    if field_errors:
        raise exceptions.InvalidInputError("configuration", field_errors)
    return resolved


def collectable_documents(
    catalog: CatalogObject, names: list[str]
) -> list[str]:
    """Chooses the documents that no catalog will bind any more.

    A document whose first revision has passed and that is not bound now is
    never bound again, so an old catalog gives a smaller choice, never a wrong
    one. Documents released lately stay for hosts that still fetch them.

    Args:
        catalog: Any catalog that was in force.
        names: Names of documents; others are left alone.
    """
    revision = catalog["revision"]
    kept = referenced_names(catalog).union(
        name
        for item in catalog["changes"]
        if item["revision"] > revision - RETENTION_REVISIONS
        for name in item["released"]
    )
    return [
        name
        for name in names
        if name not in kept and _is_past_revision(name, revision)
    ]


def _is_past_revision(name: str, revision: int) -> bool:
    try:
        return first_revision(name) <= revision
    except ValueError:
        return False


def _decode_document(encoded: EncodedConfiguration, name: str) -> Any:
    value = encoded.documents.get(name)
    if value is None:
        raise exceptions.InvalidInputError(
            "catalog", [exceptions.FieldError(name, "is missing")]
        )
    try:
        return msgspec.json.decode(value)
    except msgspec.DecodeError as error:
        raise _decode_error(name, error) from error


def _decode_error(key: str, error: Exception) -> exceptions.InvalidInputError:
    return exceptions.InvalidInputError(
        "stored configuration",
        [exceptions.FieldError(key, f"can't be read: {error}")],
    )

"""The catalog: a small object that references immutable documents.

A change of configuration is accepted exactly when the conditional update of
the catalog succeeds, so templates and workspaces are always consistent.

A document's name starts with the revision that it was written for. Only the
update that creates this revision can add the first reference to it, and a name
that is no longer referenced is never referenced again.
"""

import hashlib
from typing import Any, NamedTuple, TypedDict

import msgspec

from greengagedale import exceptions
from greengagedale import untrusted_json
from greengagedale.catalog import documents

KIND_CATALOG = "catalog"
KIND_DOCUMENT = "documents"
CATALOG_NAME = "main"
MAX_RECENT_CHANGES = 200
RETENTION_REVISIONS = 20

_DIGEST_BYTES = 16


class AppliedChange(TypedDict):
    """An accepted change.

    `keys` has the templates and workspaces that it changed, such as
    `templates/site`; `released` has the names of the documents that the
    catalog no longer references since the change.
    """

    change_id: str
    revision: int
    keys: list[str]
    released: list[str]


class CatalogObject(TypedDict):
    """The catalog as stored on the platform.

    `templates` and `workspaces` map names to names of immutable objects.
    """

    revision: int
    templates: dict[str, str]
    workspaces: dict[str, str]
    changes: list[AppliedChange]


class EncodedConfiguration(NamedTuple):
    """A configuration as stored on the platform.

    Attributes:
        catalog: The encoded catalog.
        documents: The encoded documents that it references, by object name.
    """

    catalog: bytes
    documents: dict[str, bytes]


class Configuration(NamedTuple):
    """The whole configuration at one revision, validated.

    Attributes:
        revision: Revision; increases by one with each accepted change.
        templates: Templates by name.
        workspaces: Workspaces by name.
        resolved_workspaces: Resolved workspaces by name.
        catalog: The catalog that references the documents.
        encoded: The configuration as stored on the platform.
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

_decoder = untrusted_json.Decoder(CatalogObject)


def decode_catalog(value: bytes) -> CatalogObject:
    """Decodes a catalog.

    Raises:
        InvalidInputError: The value is not a catalog.
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
    """Returns an immutable object's name: its first revision and a digest."""
    digest = hashlib.blake2b(encoded, digest_size=_DIGEST_BYTES).hexdigest()
    return f"{revision}-{digest}"


def first_revision(name: str) -> int:
    """Returns the revision that a document was written for.

    Raises:
        ValueError: The name is not the name of a document.
    """
    return int(name.partition("-")[0])


def referenced_names(catalog: CatalogObject) -> set[str]:
    """Returns the names of all immutable objects that a catalog references."""
    return {*catalog["templates"].values(), *catalog["workspaces"].values()}


def decode(
    encoded: EncodedConfiguration, previous: Configuration = EMPTY
) -> Configuration:
    """Decodes a configuration.

    Documents that `previous` already contains are not parsed again.

    Raises:
        InvalidInputError: An object is invalid or missing, or the objects are
            inconsistent.
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
    """Resolves every workspace with its template.

    Args:
        templates: Templates by name.
        workspaces: Workspaces by name.
        previous: Configuration whose resolved workspaces are reused where
            neither the workspace nor its template was replaced.

    Raises:
        InvalidInputError: Some workspaces are invalid; all validation errors
            are listed.
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
    """Returns the documents that no later catalog will reference.

    A document whose first revision has passed and that is not referenced now
    is never referenced again. An old catalog therefore gives fewer documents,
    but never a document that is still needed. Documents that were released
    recently are retained for hosts that still fetch them.

    Args:
        catalog: Any catalog that was active at some time.
        names: Names of documents; names in another form are ignored.
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
        return untrusted_json.decode(value)
    except msgspec.DecodeError as error:
        raise _decode_error(name, error) from error


def _decode_error(key: str, error: Exception) -> exceptions.InvalidInputError:
    return exceptions.InvalidInputError(
        "stored configuration",
        [exceptions.FieldError(key, f"could not be decoded: {error}")],
    )

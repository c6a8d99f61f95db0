"""`greengagedale check`: checks a configuration before it is sent."""

import asyncio
import collections
from collections.abc import Mapping
import pathlib
from typing import Annotated, Any, NamedTuple

import msgspec
import typer

from greengagedale import exceptions
from greengagedale import untrusted_json
from greengagedale.catalog import documents
from greengagedale.commands import configuration_changes
from greengagedale.commands import host_api
from greengagedale.gateway import configuration_check
from greengagedale.gateway import metrics
from greengagedale.gateway import route_config
from greengagedale.gateway import store_api
from greengagedale.platform import store
from greengagedale.platform import store_documents

_STORE_TIMEOUT_MS = 3000.0
_TOML_SUFFIX = ".toml"


class _InForce(NamedTuple):
    """What a new configuration is compared with.

    Attributes:
        routes: The configuration.
        replica_counts: Number of upstreams of each service, if known.
    """

    routes: route_config.RouteConfiguration
    replica_counts: Mapping[str, int] | None


def check(
    files: Annotated[
        list[pathlib.Path],
        typer.Argument(
            help="A configuration of routes as the store holds it, in JSON, or "
            "templates and workspaces, in TOML."
        ),
    ],
    against: Annotated[
        pathlib.Path | None,
        typer.Option(help="Show what differs from this configuration."),
    ] = None,
    store_endpoint: Annotated[
        str | None,
        typer.Option(
            "--store",
            help="Show what differs from the version in force, as the store at "
            "this address and port holds it.",
        ),
    ] = None,
    as_json: Annotated[
        bool, typer.Option("--json", help="One JSON object.")
    ] = False,
) -> None:
    """Check a configuration; exits with 1 if it has errors."""
    if all(path.suffix == _TOML_SUFFIX for path in files):
        if against is not None or store_endpoint is not None:
            raise typer.BadParameter(
                "templates and workspaces are compared by `get` and "
                "--if-version; leave out --against and --store"
            )
        _check_documents(files)
        findings: list[configuration_check.Finding] = []
        differences: list[configuration_check.Difference] = []
    else:
        if len(files) != 1:
            raise typer.BadParameter("give one configuration of routes")
        configuration = _read_routes(files[0])
        in_force = _read_in_force(against, store_endpoint)
        findings = configuration_check.check(
            configuration, in_force and in_force.replica_counts
        )
        differences = (
            []
            if in_force is None
            else configuration_check.differences(in_force.routes, configuration)
        )
    error_count = sum(
        item.severity is configuration_check.Severity.ERROR for item in findings
    )
    if as_json:
        host_api.show(
            {
                "findings": [item._asdict() for item in findings],
                "differences": [item._asdict() for item in differences],
            }
        )
    else:
        for item in [*findings, *differences]:
            typer.echo(str(item))
        typer.echo(
            f"{error_count} errors, {len(findings) - error_count} warnings"
        )
    if error_count:
        raise typer.Exit(1)


def _check_documents(paths: list[pathlib.Path]) -> None:
    """Checks templates and workspaces, and workspaces with their templates.

    Raises:
        InvalidInputError: A document is invalid, or doesn't match its template.
    """
    read = [configuration_changes.read_document(path) for path in paths]
    templates = {
        document["name"]: documents.parse_template(document)
        for document in read
        if "workspace" in document
    }
    workspaces = [
        documents.parse_workspace(document)
        for document in read
        if "workspace" not in document
    ]
    for workspace in workspaces:
        template = templates.get(workspace.template)
        if template is not None:
            documents.resolve(workspace, template)


def _read_in_force(
    path: pathlib.Path | None, store_endpoint: str | None
) -> _InForce | None:
    if path is not None:
        return _InForce(_read_routes(path), None)
    if store_endpoint is not None:
        return asyncio.run(_fetch_in_force(store_endpoint))
    return None


def _read_routes(path: pathlib.Path) -> route_config.RouteConfiguration:
    try:
        document: Any = untrusted_json.decode(path.read_bytes())
    except (OSError, msgspec.DecodeError) as error:
        field_error = exceptions.FieldError("(file)", str(error))
        raise exceptions.InvalidInputError(str(path), [field_error]) from error
    return store_documents.parse_routes(document, str(path))


async def _fetch_in_force(endpoint: str) -> _InForce:
    """Reads the configuration and the upstreams from the platform's store.

    Raises:
        RemoteError: The store does not answer, or holds no configuration.
    """
    client = store.PlatformStore.from_config(
        endpoint, _STORE_TIMEOUT_MS, metrics.Metrics()
    )
    try:
        read = await client.read_routes()
        listed = await client.list_upstreams()
    finally:
        await client.close()
    for result in (read, listed):
        if isinstance(result, store_api.Unavailable):
            raise exceptions.RemoteError(
                f"store at {endpoint}: {result.detail}"
            )
    if read.routes is None:
        raise exceptions.RemoteError(
            f"store at {endpoint}: expected a valid configuration, got none"
        )
    counts = collections.Counter(each.service for each in listed.upstreams)
    return _InForce(read.routes, counts)

"""`greengagedale workspace`: declares and shows workspaces."""

import typer

from greengagedale.commands import changes
from greengagedale.commands import remote

app = typer.Typer(no_args_is_help=True, help="Declare and show workspaces.")


@app.command()
def apply(
    host: remote.OperatorEndpoint,
    file: changes.File,
    wait: changes.Wait = False,
    if_version: changes.Version = None,
) -> None:
    """Create or replace a workspace."""
    document = changes.read_document(file)
    path = f"/v1/workspaces/{document['name']}"
    request = changes.Request("PUT", path, document, if_version)
    changes.change(host, request, wait)


@app.command()
def get(host: remote.OperatorEndpoint, name: str) -> None:
    """Show one workspace that is in force, and its version."""
    changes.show_document(host, f"/v1/workspaces/{name}")


@app.command("list")
def list_all(host: remote.OperatorEndpoint) -> None:
    """Show all workspaces that are in force."""
    remote.show(remote.run(remote.fetch(host, "/v1/workspaces")))


@app.command()
def delete(
    host: remote.OperatorEndpoint,
    name: str,
    wait: changes.Wait = False,
    if_version: changes.Version = None,
) -> None:
    """Delete a workspace; its requests are refused from then on."""
    path = f"/v1/workspaces/{name}"
    request = changes.Request("DELETE", path, version=if_version)
    changes.change(host, request, wait)

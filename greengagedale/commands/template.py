"""`greengagedale template`: declares and shows templates."""

import typer

from greengagedale.commands import changes
from greengagedale.commands import remote

app = typer.Typer(no_args_is_help=True, help="Declare and show templates.")


@app.command()
def apply(
    host: remote.OperatorEndpoint,
    file: changes.File,
    wait: changes.Wait = False,
    if_version: changes.Version = None,
) -> None:
    """Create or replace a template."""
    document = changes.read_document(file)
    path = f"/v1/templates/{document['name']}"
    request = changes.Request("PUT", path, document, if_version)
    changes.change(host, request, wait)


@app.command()
def get(host: remote.OperatorEndpoint, name: str) -> None:
    """Show one template that is in force, and its version."""
    changes.show_document(host, f"/v1/templates/{name}")


@app.command("list")
def list_all(host: remote.OperatorEndpoint) -> None:
    """Show all templates that are in force."""
    remote.show(remote.run(remote.fetch(host, "/v1/templates")))


@app.command()
def delete(
    host: remote.OperatorEndpoint,
    name: str,
    wait: changes.Wait = False,
    if_version: changes.Version = None,
) -> None:
    """Delete a template; refused while a workspace uses it."""
    path = f"/v1/templates/{name}"
    request = changes.Request("DELETE", path, version=if_version)
    changes.change(host, request, wait)

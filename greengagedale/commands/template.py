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
) -> None:
    """Create or replace a template."""
    document = changes.read_document(file)
    path = f"/v1/templates/{document['name']}"
    changes.change("PUT", host, path, document, wait)


@app.command()
def get(host: remote.OperatorEndpoint, name: str) -> None:
    """Show one template that is in force."""
    remote.show(remote.run(remote.fetch(host, f"/v1/templates/{name}")))


@app.command("list")
def list_all(host: remote.OperatorEndpoint) -> None:
    """Show all templates that are in force."""
    remote.show(remote.run(remote.fetch(host, "/v1/templates")))

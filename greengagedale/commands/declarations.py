"""The commands that templates and workspaces have in common."""

import typer

from greengagedale.commands import changes
from greengagedale.commands import remote


def command_group(kind: str, delete_help: str) -> typer.Typer:
    """Makes the commands that declare and show documents of a kind.

    Args:
        kind: `template` or `workspace`.
        delete_help: What deleting one means.
    """
    app = typer.Typer(no_args_is_help=True, help=f"Declare and show {kind}s.")
    root = f"/v1/{kind}s"

    @app.command(help=f"Create or replace a {kind}.")
    def apply(
        host: remote.OperatorEndpoint,
        file: changes.File,
        wait: changes.Wait = False,
        if_version: changes.Version = None,
    ) -> None:
        document = changes.read_document(file)
        path = f"{root}/{document['name']}"
        request = changes.ChangeRequest("PUT", path, document, if_version)
        changes.submit_change(host, request, wait)

    @app.command(help=f"Show one {kind} that is in force, and its version.")
    def get(host: remote.OperatorEndpoint, name: str) -> None:
        changes.show_document(host, f"{root}/{name}")

    @app.command("list", help=f"Show all {kind}s that are in force.")
    def list_all(host: remote.OperatorEndpoint) -> None:
        remote.show(remote.run(remote.fetch(host, root)))

    @app.command(help=delete_help)
    def delete(
        host: remote.OperatorEndpoint,
        name: str,
        wait: changes.Wait = False,
        if_version: changes.Version = None,
    ) -> None:
        request = changes.ChangeRequest(
            "DELETE", f"{root}/{name}", version=if_version
        )
        changes.submit_change(host, request, wait)

    return app

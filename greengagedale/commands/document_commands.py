"""Commands that are the same for templates and workspaces."""

import typer

from greengagedale.commands import configuration_changes
from greengagedale.commands import host_api


def command_group(kind: str, delete_help: str) -> typer.Typer:
    """Returns the commands that declare and show documents of one kind.

    Args:
        kind: `template` or `workspace`.
        delete_help: Help text of the `delete` command.
    """
    app = typer.Typer(no_args_is_help=True, help=f"Declare and show {kind}s.")
    root = f"/v1/{kind}s"

    @app.command(help=f"Create or replace a {kind}.")
    def apply(
        host: host_api.OperatorEndpoint,
        file: configuration_changes.File,
        wait: configuration_changes.Wait = False,
        if_version: configuration_changes.Version = None,
    ) -> None:
        document = configuration_changes.read_document(file)
        path = f"{root}/{document['name']}"
        request = configuration_changes.ChangeRequest(
            "PUT", path, document, if_version
        )
        configuration_changes.submit_change(host, request, wait)

    @app.command(help=f"Show one {kind} that is in force, and its version.")
    def get(host: host_api.OperatorEndpoint, name: str) -> None:
        configuration_changes.show_document(host, f"{root}/{name}")

    @app.command("list", help=f"Show all {kind}s that are in force.")
    def list_all(host: host_api.OperatorEndpoint) -> None:
        host_api.show(host_api.run(host_api.fetch(host, root)))

    @app.command(help=delete_help)
    def delete(
        host: host_api.OperatorEndpoint,
        name: str,
        wait: configuration_changes.Wait = False,
        if_version: configuration_changes.Version = None,
    ) -> None:
        request = configuration_changes.ChangeRequest(
            "DELETE", f"{root}/{name}", version=if_version
        )
        configuration_changes.submit_change(host, request, wait)

    return app

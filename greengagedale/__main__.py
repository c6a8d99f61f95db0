"""The command line; each command has its own module in `commands`."""

import sys
from typing import Annotated

import typer

import greengagedale
from greengagedale import exceptions
from greengagedale.commands import act
from greengagedale.commands import change
from greengagedale.commands import explain
from greengagedale.commands import locate
from greengagedale.commands import query
from greengagedale.commands import serve
from greengagedale.commands import settings
from greengagedale.commands import status
from greengagedale.commands import template
from greengagedale.commands import workspace

EXIT_ERROR = 1

app = typer.Typer(
    no_args_is_help=True,
    pretty_exceptions_enable=False,
    help="A query tier over many shards.",
)
app.command("serve")(serve.serve)
app.command("locate")(locate.locate)
app.command("query")(query.query)
app.command("act")(act.act)
app.command("status")(status.status)
app.command("explain")(explain.explain)
app.command("change")(change.change)
app.add_typer(settings.app, name="settings")
app.add_typer(template.app, name="template")
app.add_typer(workspace.app, name="workspace")


def _show_version(wanted: bool) -> None:
    if wanted:
        typer.echo(greengagedale.__version__)
        raise typer.Exit


@app.callback()
def _options(
    version: Annotated[
        bool,
        typer.Option(
            "--version",
            callback=_show_version,
            is_eager=True,
            help="Show the version and exit.",
        ),
    ] = False,
) -> None:
    del version


def main() -> None:
    """Runs the command line; errors end it with one friendly message."""
    try:
        app(prog_name="greengagedale")
    except exceptions.GreengagedaleError as error:
        typer.echo(f"Error: {error}", err=True)
        sys.exit(EXIT_ERROR)


if __name__ == "__main__":
    main()

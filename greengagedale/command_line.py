"""The command-line application; each command is a module in `commands`."""

import pathlib
from typing import Annotated

import typer

import greengagedale
from greengagedale.commands import act
from greengagedale.commands import change
from greengagedale.commands import check
from greengagedale.commands import explain
from greengagedale.commands import locate
from greengagedale.commands import query
from greengagedale.commands import settings
from greengagedale.commands import status
from greengagedale.commands import template
from greengagedale.commands import workspace

SettingsPath = Annotated[
    pathlib.Path, typer.Option("--settings", help="Settings file, in TOML.")
]

app = typer.Typer(
    no_args_is_help=True,
    pretty_exceptions_enable=False,
    help="A query tier over many shards.",
)


@app.command("serve")
def _serve(settings: SettingsPath) -> None:
    """Run an entry host until it gets SIGTERM."""
    # Registered here for its help text; `__main__` runs the command without
    # importing this module.
    from greengagedale.commands import serve

    serve.serve(settings)


app.command("locate")(locate.locate)
app.command("query")(query.query)
app.command("act")(act.act)
app.command("status")(status.status)
app.command("explain")(explain.explain)
app.command("change")(change.change)
app.command("check")(check.check)
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

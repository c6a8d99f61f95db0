"""The command line; each command has its own module in `commands`."""

import importlib
import signal
import sys
from typing import Annotated

import typer

import greengagedale
from greengagedale import exceptions

EXIT_ERROR = 1

_COMMANDS = (
    "serve",
    "locate",
    "query",
    "act",
    "status",
    "explain",
    "change",
)
_GROUPS = ("settings", "template", "workspace")

app = typer.Typer(
    no_args_is_help=True,
    pretty_exceptions_enable=False,
    help="A query tier over many shards.",
)


def _add_commands(arguments: list[str]) -> None:
    """Loads the command that is named, or all if none is."""
    named = [name for name in arguments[:1] if name in _COMMANDS]
    for name in named or _COMMANDS:
        module = importlib.import_module(f"greengagedale.commands.{name}")
        app.command(name)(getattr(module, name))
    for name in () if named else _GROUPS:
        module = importlib.import_module(f"greengagedale.commands.{name}")
        app.add_typer(module.app, name=name)


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
    # Until a host has read its settings there is nothing to read again.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    _add_commands(sys.argv[1:])
    try:
        app(prog_name="greengagedale")
    except exceptions.GreengagedaleError as error:
        typer.echo(f"Error: {error}", err=True)
        sys.exit(EXIT_ERROR)


if __name__ == "__main__":
    main()

"""`greengagedale settings`: checks settings without a running host."""

import pathlib
from typing import Annotated

import typer

from greengagedale.config import settings as settings_lib

app = typer.Typer(no_args_is_help=True, help="Check settings files.")


@app.command()
def check(
    paths: Annotated[list[pathlib.Path], typer.Argument(help="Files.")],
) -> None:
    """Check settings files; every mistake is named with its key."""
    for path in paths:
        settings_lib.Settings.from_file(path)
        typer.echo(f"{path}: ok")


@app.command()
def show(path: pathlib.Path) -> None:
    """Show all settings of a file, defaults included, as JSON."""
    checked = settings_lib.Settings.from_file(path)
    typer.echo(checked.model_dump_json(indent=2))

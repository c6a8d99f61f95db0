"""`greengagedale settings`: validates settings without a running host."""

import pathlib
from typing import Annotated

import msgspec
import typer

from greengagedale.config import gateway as gateway_config
from greengagedale.config import settings as settings_lib
from greengagedale.config import toml_files

app = typer.Typer(no_args_is_help=True, help="Check settings files.")


@app.command()
def check(
    paths: Annotated[list[pathlib.Path], typer.Argument(help="Files.")],
) -> None:
    """Check settings files; every mistake is named with its key."""
    for path in paths:
        _load_as_json(path)
        typer.echo(f"{path}: ok")


@app.command()
def show(path: pathlib.Path) -> None:
    """Show all settings of a file, defaults included, as JSON."""
    typer.echo(_load_as_json(path))


def _load_as_json(path: pathlib.Path) -> str:
    """Returns the settings of a file as JSON, for either kind of host."""
    if not gateway_config.is_gateway_config(toml_files.read_toml(path)):
        checked = settings_lib.Settings.from_file(path)
        return checked.model_dump_json(indent=2)
    settings = gateway_config.GatewaySettings.from_file(path)
    sections = {
        name: section._asdict() for name, section in settings._asdict().items()
    }
    return msgspec.json.format(msgspec.json.encode(sections)).decode()

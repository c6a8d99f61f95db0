"""`greengagedale serve`: runs an entry host."""

import pathlib
from typing import Annotated

import typer

from greengagedale import daemons
from greengagedale import logs
from greengagedale import loops
from greengagedale.config import settings as settings_lib

SettingsPath = Annotated[
    pathlib.Path, typer.Option("--settings", help="Settings file, in TOML.")
]


def serve(settings: SettingsPath) -> None:
    """Run an entry host until it gets SIGTERM."""
    checked = settings_lib.Settings.from_file(settings)
    logs.configure(
        checked.host.name, checked.host.data_centre, checked.logs.level
    )
    loops.run(daemons.serve(checked))

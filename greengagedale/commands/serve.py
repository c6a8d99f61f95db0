"""`greengagedale serve`: runs an entry host."""

import pathlib
from typing import Annotated

import typer

from greengagedale.config import gateway as gateway_config
from greengagedale.config import settings as settings_lib

SettingsPath = Annotated[
    pathlib.Path, typer.Option("--settings", help="Settings file, in TOML.")
]


def serve(settings: SettingsPath) -> None:
    """Run an entry host until it gets SIGTERM."""
    read = settings_lib.read_toml(settings)
    if gateway_config.is_gateway(read):
        _serve_gateway(settings)
    else:
        _serve_searches(settings)


def _serve_gateway(path: pathlib.Path) -> None:
    # Each kind of host loads only what it needs: hosts start often, and
    # their memory is scarce.
    from greengagedale import loops
    from greengagedale.gateway import daemon

    loops.run(daemon.serve(path))


def _serve_searches(path: pathlib.Path) -> None:
    from greengagedale import daemons
    from greengagedale import logs
    from greengagedale import loops

    checked = settings_lib.Settings.from_file(path)
    logs.configure(
        checked.host.name, checked.host.data_centre, checked.logs.level
    )
    loops.run(daemons.serve(checked))

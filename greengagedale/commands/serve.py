"""`greengagedale serve`: runs an entry host."""

import argparse
import pathlib

from greengagedale.config import gateway as gateway_config
from greengagedale.config import toml_files


def main(arguments: list[str]) -> None:
    """Runs the command with argparse instead of typer.

    Hosts start often, and importing typer would delay each start.
    """
    parser = argparse.ArgumentParser(
        prog="greengagedale serve",
        description="Run an entry host until it gets SIGTERM.",
    )
    parser.add_argument(
        "--settings",
        type=pathlib.Path,
        required=True,
        help="Settings file, in TOML.",
    )
    serve(parser.parse_args(arguments).settings)


def serve(settings: pathlib.Path) -> None:
    """Runs an entry host until it gets SIGTERM."""
    if gateway_config.is_gateway_config(toml_files.read_toml(settings)):
        _serve_gateway(settings)
    else:
        _serve_search_host(settings)


def _serve_gateway(path: pathlib.Path) -> None:
    # Each kind of host imports only the modules that it needs: hosts start
    # often, and their memory is scarce.
    from greengagedale import loops
    from greengagedale.gateway import daemon

    loops.run(daemon.serve(path))


def _serve_search_host(path: pathlib.Path) -> None:
    from greengagedale import host_process
    from greengagedale import logs
    from greengagedale import loops
    from greengagedale.config import settings as settings_lib

    settings = settings_lib.Settings.from_file(path)
    logs.configure(
        settings.host.name, settings.host.data_centre, settings.logs.level
    )
    loops.run(host_process.serve(settings))

"""Command line of the stand-ins; each command runs one process."""

import asyncio
import pathlib
from typing import Annotated

from aiohttp import web
import msgspec
import typer

from greengagedale import loops
from standins import bare as bare_lib
from standins import datagramproxy
from standins import endless as endless_lib
from standins import faultproxy
from standins import member as member_lib
from standins import platform as platform_lib
from standins import records
from standins import shapes
from standins import upstream as upstream_lib

app = typer.Typer(no_args_is_help=True, help="Stand-ins for outside systems.")

ShapePath = Annotated[pathlib.Path, typer.Option("--shape", help="Shape file.")]
BasePort = Annotated[
    int | None, typer.Option("--base-port", help="Overrides the shape's port.")
]
Proxied = Annotated[
    bool, typer.Option("--proxied", help="Use the fault-injecting proxy.")
]
RecordPath = Annotated[
    pathlib.Path | None, typer.Option("--record", help="Event record file.")
]


@app.command()
def platform(
    shape: ShapePath,
    base_port: BasePort = None,
    proxied: Proxied = False,
    record: RecordPath = None,
) -> None:
    """Run the platform of a deployment."""
    loaded = shapes.Shape.from_file(shape, base_port, proxied)
    application = platform_lib.application
    loops.run(
        _serve({loaded.platform_endpoint: (application, (loaded,))}, record)
    )


@app.command()
def upstream(
    shape: ShapePath,
    names: Annotated[
        str, typer.Option(help="Comma-separated upstreams or services to run.")
    ],
    base_port: BasePort = None,
    proxied: Proxied = False,
    record: RecordPath = None,
    seed: Annotated[int, typer.Option(help="Seed of random choices.")] = 1,
) -> None:
    """Run upstreams of a deployment in one process."""
    loaded = shapes.Shape.from_file(shape, base_port, proxied)
    wanted = set(names.split(","))
    chosen = [
        placed
        for placed in loaded.upstreams()
        if wanted & {placed.upstream.name, placed.shape.name}
    ]
    if not chosen:
        raise SystemExit(f"no upstream or service is named {names}")
    apps = {
        placed.listen_endpoint: (
            lambda recorder, placed=placed: upstream_lib.application(
                placed, loaded, recorder, seed
            ),
            (),
        )
        for placed in chosen
    }
    loops.run(_serve(apps, record))


@app.command()
def bare(
    shape: ShapePath,
    service: Annotated[str, typer.Option(help="Service to search.")],
    base_port: BasePort = None,
    proxied: Proxied = False,
    record: RecordPath = None,
) -> None:
    """Run a bare fan-out, the baseline of benchmarks."""
    loaded = shapes.Shape.from_file(shape, base_port, proxied)
    apps = {
        bare_lib.endpoint_of(loaded): (
            bare_lib.application,
            (loaded, service),
        )
    }
    loops.run(_serve(apps, record))


@app.command()
def proxy(
    shape: ShapePath,
    base_port: BasePort = None,
    proxied: Proxied = True,
    record: RecordPath = None,
    seed: Annotated[int, typer.Option(help="Seed of random choices.")] = 1,
) -> None:
    """Run the fault-injecting proxy of a deployment."""
    del record
    loaded = shapes.Shape.from_file(shape, base_port, proxied)
    loops.run(_serve_proxies(loaded, seed))


@app.command()
def member(
    number: Annotated[int, typer.Option(help="Number of this process.")],
    count: Annotated[int, typer.Option(help="Number of processes.")],
    base_port: Annotated[int, typer.Option(help="Port of all processes.")],
    warm_s: Annotated[float, typer.Option(help="Warm-up time, unmeasured.")],
    measured_s: Annotated[float, typer.Option(help="Measured time.")],
) -> None:
    """Run only the membership protocol and print its resource usage as JSON."""
    used = loops.run(
        member_lib.run(number, count, base_port, warm_s, measured_s)
    )
    typer.echo(msgspec.json.encode(used))


@app.command()
def endless(
    ports: Annotated[str, typer.Option(help="Comma-separated ports.")],
) -> None:
    """Run upstreams whose responses never end."""
    loops.run(endless_lib.serve([int(port) for port in ports.split(",")]))


@app.command()
def settings(
    shape: ShapePath,
    out: Annotated[pathlib.Path, typer.Option(help="Folder to write to.")],
    base_port: BasePort = None,
) -> None:
    """Write the settings files of a deployment's entry hosts."""
    loaded = shapes.Shape.from_file(shape, base_port)
    out.mkdir(parents=True, exist_ok=True)
    for host in loaded.entry_hosts():
        path = out / f"{host.name}.toml"
        path.write_text(host.settings_toml(loaded), encoding="utf-8")


async def _serve_proxies(shape: shapes.Shape, seed: int) -> None:
    await asyncio.gather(
        faultproxy.serve(shape.routes(), shape.proxy_control_endpoint, seed),
        datagramproxy.serve(shape.peer_routes(), shape.cut_control_endpoint),
    )


async def _serve(apps: dict, record: pathlib.Path | None) -> None:
    recorder = records.Recorder.from_config(record)
    for endpoint, (make, arguments) in apps.items():
        runner = web.AppRunner(
            make(*arguments, recorder), access_log=None, shutdown_timeout=0.1
        )
        await runner.setup()
        address, _, port = endpoint.rpartition(":")
        await web.TCPSite(runner, address, int(port), backlog=1024).start()
    await asyncio.Event().wait()


if __name__ == "__main__":
    app()

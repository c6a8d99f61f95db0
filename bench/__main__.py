"""Command line that runs cases, prints the results and writes JSON."""

from collections.abc import Iterator
import itertools
import pathlib
import tempfile
from typing import Annotated

import msgspec
import rich.console
import rich.table
import typer

from bench import cases as cases_lib
from standins import deployments
from standins import ports


def main(
    names: Annotated[
        list[str] | None, typer.Argument(help="Cases to run; default: all.")
    ] = None,
    seeds: Annotated[str, typer.Option(help="Comma-separated seeds.")] = "",
    shape: Annotated[str, typer.Option(help="Comma-separated shapes.")] = "",
    duration_s: Annotated[
        float, typer.Option(help="Duration of each load.")
    ] = 0.0,
    out: Annotated[
        pathlib.Path | None, typer.Option(help="JSON file for the rows.")
    ] = None,
    list_cases: Annotated[
        bool, typer.Option("--list", help="List the cases and exit.")
    ] = False,
) -> None:
    """Measure greengagedale against stand-ins on this machine."""
    cases_by_name = cases_lib.all_cases()
    if list_cases:
        typer.echo("\n".join(sorted(cases_by_name)))
        return
    unknown = [name for name in names or [] if name not in cases_by_name]
    if unknown:
        raise typer.BadParameter(f"unknown cases: {', '.join(unknown)}")
    selected = [cases_by_name[name] for name in names or sorted(cases_by_name)]
    rows = []
    for row in _run(selected, seeds, shape, duration_s):
        rows.append(row)
        typer.echo(msgspec.json.encode(row._asdict()).decode())
    rich.console.Console(width=160).print(_table(rows))
    if out is not None:
        results = [row._asdict() for row in rows]
        out.write_bytes(msgspec.json.format(msgspec.json.encode(results)))


def _run(
    selected: list[cases_lib.Case], seeds: str, shape: str, duration_s: float
) -> Iterator[cases_lib.Row]:
    for case in selected:
        requested_seeds = [int(item) for item in seeds.split(",") if item]
        requested_shapes = [item for item in shape.split(",") if item]
        combinations = itertools.product(
            requested_shapes or case.shapes, requested_seeds or case.seeds
        )
        for shape_name, seed in combinations:
            with tempfile.TemporaryDirectory() as folder:
                context = cases_lib.Context(
                    deployments.EXAMPLES_DIR / f"{shape_name}.toml",
                    seed,
                    ports.base_port(),
                    pathlib.Path(folder),
                    duration_s or case.duration_s,
                )
                yield from case.run(context)


def _table(rows: list[cases_lib.Row]) -> rich.table.Table:
    table = rich.table.Table(
        "case", "deployment", "policy", "seed", "figures", "target", "met"
    )
    for row in rows:
        figures = ", ".join(
            f"{name} {value:.4g}" for name, value in row.figures.items()
        )
        met = {None: "", True: "yes", False: "NO"}[row.met]
        table.add_row(
            row.case,
            row.deployment,
            row.policy,
            str(row.seed),
            figures,
            row.target,
            met,
        )
    return table


if __name__ == "__main__":
    typer.run(main)

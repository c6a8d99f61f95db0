"""Soak test: long runs under faults, with a summary and the failed seeds."""

import collections
from collections.abc import Iterator
import itertools
import pathlib
import signal
import sys
import tempfile
import time
from typing import Annotated, NamedTuple

import typer

from proofs import checkers
from proofs import history as history_lib
from proofs import nemesis
from proofs import runs
from standins import deployments
from standins import ports

_S_PER_MIN = 60.0
_EXIT_VIOLATIONS = 1


class SoakRun(NamedTuple):
    """One run of a soak test and the violations found in it."""

    shape: str
    seed: int
    history: history_lib.History
    violations: list[checkers.Violation]


def main(
    minutes: Annotated[
        float, typer.Option(help="Total duration in minutes.")
    ] = 20.0,
    seed: Annotated[int, typer.Option(help="Seed of the first run.")] = 1,
    shape: Annotated[
        str, typer.Option(help="Comma-separated names of shapes.")
    ] = ("kodklubben,tuners"),
    run_s: Annotated[
        float, typer.Option(help="Duration of each run in seconds.")
    ] = 60.0,
    keep: Annotated[
        pathlib.Path | None,
        typer.Option(help="Directory for failed histories."),
    ] = None,
) -> None:
    """Run traffic under faults and check the histories."""
    # Exit normally on SIGTERM, so that the processes of the run are stopped.
    signal.signal(signal.SIGTERM, lambda number, frame: sys.exit(number))
    counts: collections.Counter[str] = collections.Counter()
    failed = []
    for soak_run in _run_until_deadline(minutes, seed, shape.split(","), run_s):
        counts += _count_events(soak_run.history)
        counts["violations"] += len(soak_run.violations)
        typer.echo(
            f"{soak_run.shape} seed {soak_run.seed}: {len(soak_run.violations)}"
        )
        for violation in soak_run.violations:
            typer.echo(f"  {violation.check}: {violation.detail}")
        if soak_run.violations:
            failed.append(f"--shape {soak_run.shape} --seed {soak_run.seed}")
            _save_history(keep, soak_run)
    for name, count in sorted(counts.items()):
        typer.echo(f"{name}: {count}")
    typer.echo(f"failed: {failed or 'none'}")
    if failed:
        raise typer.Exit(_EXIT_VIOLATIONS)


def _run_until_deadline(
    minutes: float, seed: int, shape_names: list[str], run_s: float
) -> Iterator[SoakRun]:
    deadline_s = time.monotonic() + minutes * _S_PER_MIN
    for number in itertools.count():
        if time.monotonic() >= deadline_s:
            return
        name = shape_names[number % len(shape_names)]
        run_seed = seed + number // len(shape_names)
        yield _run_seed(name, run_seed, run_s)


def _run_seed(name: str, seed: int, run_s: float) -> SoakRun:
    with tempfile.TemporaryDirectory() as folder:
        deployment = deployments.Deployment(
            pathlib.Path(folder),
            deployments.EXAMPLES_DIR / f"{name}.toml",
            ports.base_port(),
            proxied=True,
        )
        service = deployment.shape.main_service
        try:
            deployment.start(service=service, one_process_each=True)
            plan = runs.RunPlan(
                service, seed, run_s, nemesis.ALL, 2, index_changes=True
            )
            history = runs.run(deployment, plan)
        finally:
            deployment.stop()
    return SoakRun(name, seed, history, checkers.check(history))


def _count_events(history: history_lib.History) -> collections.Counter[str]:
    return collections.Counter(
        [
            *(f"fault {fault.kind}" for fault in history.faults),
            *(
                f"{call.kind} {call.outcome or call.failure or call.status}"
                for call in history.calls
            ),
            *(f"change {c.outcome or 'none'}" for c in history.changes),
            *(f"upstream {e.event}" for e in history.upstream_events),
            *("index version" for _ in history.index_versions),
        ]
    )


def _save_history(folder: pathlib.Path | None, soak_run: SoakRun) -> None:
    if folder is not None:
        folder.mkdir(parents=True, exist_ok=True)
        soak_run.history.save(folder / f"{soak_run.shape}-{soak_run.seed}.json")


if __name__ == "__main__":
    app = typer.Typer(pretty_exceptions_enable=False)
    app.command()(main)
    app()

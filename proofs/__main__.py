"""Long runs under faults: prints a summary and the seeds that failed."""

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

_S_PER_MIN = 60.0
_EXIT_VIOLATIONS = 1


class SoakRun(NamedTuple):
    """One run of a soak and what the checkers found in it."""

    shape: str
    seed: int
    history: history_lib.History
    violations: list[checkers.Violation]


def main(
    minutes: Annotated[float, typer.Option(help="How long in all.")] = 20.0,
    seed: Annotated[int, typer.Option(help="Seed of the first run.")] = 1,
    shape: Annotated[str, typer.Option(help="Shapes, by comma.")] = (
        "kodklubben,tuners"
    ),
    run_s: Annotated[float, typer.Option(help="Length of each run.")] = 60.0,
    keep: Annotated[
        pathlib.Path | None, typer.Option(help="Where failed runs are kept.")
    ] = None,
) -> None:
    """Run traffic under faults and check the histories."""
    # So that SIGTERM, too, stops the processes of the run.
    signal.signal(signal.SIGTERM, lambda number, frame: sys.exit(number))
    counts: collections.Counter[str] = collections.Counter()
    failed = []
    for done in _runs(minutes, seed, shape.split(","), run_s):
        counts += _counts(done.history)
        counts["violations"] += len(done.violations)
        typer.echo(f"{done.shape} seed {done.seed}: {len(done.violations)}")
        for violation in done.violations:
            typer.echo(f"  {violation.check}: {violation.detail}")
        if done.violations:
            failed.append(f"--shape {done.shape} --seed {done.seed}")
            _keep(keep, done)
    for name, count in sorted(counts.items()):
        typer.echo(f"{name}: {count}")
    typer.echo(f"failed: {failed or 'none'}")
    if failed:
        raise typer.Exit(_EXIT_VIOLATIONS)


def _runs(
    minutes: float, seed: int, shape_names: list[str], run_s: float
) -> Iterator[SoakRun]:
    until_s = time.monotonic() + minutes * _S_PER_MIN
    for number in itertools.count():
        if time.monotonic() >= until_s:
            return
        name = shape_names[number % len(shape_names)]
        run_seed = seed + number // len(shape_names)
        yield _one_run(name, run_seed, run_s)


def _one_run(name: str, seed: int, run_s: float) -> SoakRun:
    with tempfile.TemporaryDirectory() as folder:
        deployment = deployments.Deployment(
            pathlib.Path(folder),
            deployments.EXAMPLES_DIR / f"{name}.toml",
            deployments.BASE_PORT,
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


def _counts(history: history_lib.History) -> collections.Counter[str]:
    return collections.Counter(
        [
            *(f"fault {fault.what}" for fault in history.faults),
            *(
                f"{call.kind} {call.outcome or call.failure or call.status}"
                for call in history.calls
            ),
            *(f"change {c.outcome or 'none'}" for c in history.changes),
            *(f"upstream {e.event}" for e in history.upstream_events),
            *("index version" for _ in history.index_versions),
        ]
    )


def _keep(folder: pathlib.Path | None, done: SoakRun) -> None:
    if folder is not None:
        folder.mkdir(parents=True, exist_ok=True)
        done.history.save(folder / f"{done.shape}-{done.seed}.json")


if __name__ == "__main__":
    app = typer.Typer(pretty_exceptions_enable=False)
    app.command()(main)
    app()

"""Runs the seeds of a soak test and prints what they found."""

import collections
from collections.abc import Callable
from typing import NamedTuple

import typer

_EXIT_VIOLATIONS = 1


class SeedResult(NamedTuple):
    """What the run of one seed found.

    Attributes:
        violations: Descriptions of the violations.
        counts: What happened in the run, by kind.
        note: Printed beside the number of violations.
    """

    violations: list[str]
    counts: collections.Counter[str]
    note: str = ""


def run_seeds(
    first_seed: int, count: int, run_seed: Callable[[int], SeedResult]
) -> None:
    """Runs seeds one after the other, prints each result and a summary.

    Raises:
        typer.Exit: A seed has failed.
    """
    counts: collections.Counter[str] = collections.Counter()
    failed_seeds = []
    for seed in range(first_seed, first_seed + count):
        result = run_seed(seed)
        typer.echo(f"seed {seed}: {len(result.violations)}{result.note}")
        for violation in result.violations:
            typer.echo(f"  {violation}")
        counts += result.counts
        failed_seeds += [seed] if result.violations else []
    for name, value in sorted(counts.items()):
        typer.echo(f"{name}: {value}")
    typer.echo(f"failed seeds: {failed_seeds or 'none'}")
    if failed_seeds:
        raise typer.Exit(_EXIT_VIOLATIONS)

"""Base class of the measurements, and their discovery by name.

A case is a subclass of `Case` in a module of this package.
"""

import abc
from collections.abc import Iterable
import importlib
import pathlib
import pkgutil
from typing import ClassVar, NamedTuple

import bench
from standins import deployments
from standins import shapes


class Context(NamedTuple):
    """Parameters of one run of a case.

    Attributes:
        shape_path: Path of the shape file of the deployment.
        seed: Seed of every random number generator of the run.
        base_port: First port of the deployment.
        folder: Empty folder for the logs and event records of the processes.
        duration_s: Duration of each load, in seconds.
    """

    shape_path: pathlib.Path
    seed: int
    base_port: int
    folder: pathlib.Path
    duration_s: float

    @property
    def shape(self) -> shapes.Shape:
        """The deployment shape, with ports counted from `base_port`."""
        return shapes.Shape.from_file(self.shape_path, self.base_port)

    def deployment(
        self, name: str = "", proxied: bool = False
    ) -> deployments.Deployment:
        """Returns a deployment that has not been started.

        Args:
            name: Subfolder of the context folder for this deployment.
            proxied: Whether a fault-injecting proxy runs between processes.
        """
        folder = self.folder / name
        folder.mkdir(parents=True, exist_ok=True)
        return deployments.Deployment(
            folder, self.shape_path, self.base_port, proxied
        )


class Row(NamedTuple):
    """One row of the results.

    Attributes:
        case: Name of the case.
        deployment: Name of the shape.
        policy: Label of the variant that the row measures.
        seed: Seed of the run.
        figures: Measured values by name; the names carry the units.
        target: Description of the target; empty for a baseline.
        met: Whether the target was met; None for a baseline.
    """

    case: str
    deployment: str
    policy: str
    seed: int
    figures: dict[str, float]
    target: str = ""
    met: bool | None = None


class Case(abc.ABC):
    """One measurement.

    Attributes:
        name: Name on the command line.
        shapes: Shapes to run on by default.
        seeds: Seeds to run with by default.
        duration_s: Default duration of each load, in seconds.
    """

    name: ClassVar[str]
    shapes: ClassVar[tuple[str, ...]] = ("kodklubben", "tuners")
    seeds: ClassVar[tuple[int, ...]] = (1, 2, 3)
    duration_s: ClassVar[float] = 8.0

    @abc.abstractmethod
    def run(self, context: Context) -> Iterable[Row]:
        """Runs the measurement and yields one row for each variant."""


def all_cases() -> dict[str, Case]:
    """Imports the modules of this package; returns their cases by name."""
    for module in pkgutil.iter_modules(bench.__path__):
        if module.name != "__main__":
            importlib.import_module(f"bench.{module.name}")
    instances = (case_type() for case_type in _subclasses(Case))
    return {case.name: case for case in instances if hasattr(case, "name")}


def _subclasses(case_type: type[Case]) -> list[type[Case]]:
    direct = case_type.__subclasses__()
    nested = (
        descendant
        for subclass in direct
        for descendant in _subclasses(subclass)
    )
    return [*direct, *nested]

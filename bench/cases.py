"""What a measurement is made of, and where the cases are found.

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
    """Where and how a case runs.

    Attributes:
        shape_path: Shape file of the deployment.
        seed: Seed of all random choices.
        base_port: First port of the deployment.
        folder: Empty folder for logs and records.
        duration_s: How long one load is offered for.
    """

    shape_path: pathlib.Path
    seed: int
    base_port: int
    folder: pathlib.Path
    duration_s: float

    @property
    def shape(self) -> shapes.Shape:
        """The shape, on the ports of this context."""
        return shapes.Shape.from_file(self.shape_path, self.base_port)

    def deployment(
        self, name: str = "", proxied: bool = False
    ) -> deployments.Deployment:
        """Makes a deployment that is not yet started."""
        folder = self.folder / name
        folder.mkdir(parents=True, exist_ok=True)
        return deployments.Deployment(
            folder, self.shape_path, self.base_port, proxied
        )


class Row(NamedTuple):
    """One line of the result.

    Attributes:
        case: Name of the case.
        deployment: Name of the shape.
        policy: What was compared.
        seed: Seed of the run.
        figures: Measured values by name, units in the names.
        target: The stated target, in words; empty for a baseline.
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
        shapes: Shapes that it runs on unless others are asked for.
        seeds: Seeds that it runs with unless others are asked for.
        duration_s: Load duration unless another is asked for.
    """

    name: ClassVar[str]
    shapes: ClassVar[tuple[str, ...]] = ("kodklubben", "tuners")
    seeds: ClassVar[tuple[int, ...]] = (1, 2, 3)
    duration_s: ClassVar[float] = 8.0

    @abc.abstractmethod
    def run(self, context: Context) -> Iterable[Row]:
        """Measures, and yields one row for each thing compared."""


def all_cases() -> dict[str, Case]:
    """Finds the cases in the modules of this package, by name."""
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

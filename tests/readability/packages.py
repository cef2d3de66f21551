"""The finished and the reworded packages, each with a file of the names and words it may keep, and why.

A package is finished when `finished/<package>.toml` is there (`molereach.policy.toml` for molereach/policy).
It is reworded when `reworded/<package>.toml` is there: held to its names alone, not to its structure.
`[words]` allows a withdrawn word in all names of the package, `[names]` one name; the value is the reason.
"""

import ast
import tomllib
from dataclasses import dataclass
from pathlib import Path

from tests.readability import structure, vocabulary

ROOT = Path(__file__).parents[2]
FINISHED = Path(__file__).parent / "finished"
REWORDED = Path(__file__).parent / "reworded"


@dataclass(frozen=True)
class Package:
    """A package with its exceptions; each has a reason."""

    path: Path
    words: dict[str, str]
    names: dict[str, str]

    def files(self) -> list[Path]:
        """Its source files, in order."""
        if self.path.is_file():
            return [self.path]
        return sorted(path for path in self.path.rglob("*.py") if "__pycache__" not in path.parts)


def package_at(path: Path) -> Package:
    """A package or module by its path below the root."""
    name = f"{structure.module_name(path)}.toml"
    exceptions = next((folder / name for folder in (FINISHED, REWORDED) if (folder / name).exists()), None)
    listed = tomllib.loads(exceptions.read_text()) if exceptions else {}
    return Package(ROOT / path, listed.get("words", {}), listed.get("names", {}))


def finished_packages() -> list[Package]:
    """All that are finished."""
    return _packages_listed_in(FINISHED)


def reworded_packages() -> list[Package]:
    """All that are reworded and not yet finished."""
    return _packages_listed_in(REWORDED)


def _packages_listed_in(folder: Path) -> list[Package]:
    found = []
    for file in sorted(folder.glob("*.toml")):
        path = Path(*file.stem.split("."))
        found.append(package_at(path if (ROOT / path).is_dir() else path.with_suffix(".py")))
    return found


def withdrawn_names(package: Package) -> list[vocabulary.Finding]:
    """Names with a withdrawn word that the package may not keep."""
    return [
        finding
        for path in package.files()
        for finding in vocabulary.findings(path)
        if finding.name not in package.names and finding.word not in package.words
    ]


def unused_exceptions(package: Package) -> list[str]:
    """Exceptions that no name of the package needs."""
    found = [finding for path in package.files() for finding in vocabulary.findings(path)]
    names = {finding.name for finding in found}
    words = {finding.word for finding in found if finding.name not in package.names}
    return sorted({*package.names} - names | {*package.words} - words)


def structural_faults(package: Package) -> list[str]:
    """Combined assignments, bare errors, and `__init__` files that hold more than a docstring."""
    faults = []
    for path in package.files():
        tree = ast.parse(path.read_text())
        faults += [f"{path}:{line}: combined assignment" for line in structure.combined_assignments(tree)]
        faults += [f"{path}:{line}: bare built-in error" for line in structure.bare_errors(tree)]
        if path.name == "__init__.py" and not structure.is_one_docstring(tree):
            faults.append(f"{path}:1: more than a docstring")
    return faults

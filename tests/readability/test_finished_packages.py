"""Finished packages keep to standard names, plain assignments, typed errors, imports without circles.

Reworded packages keep to standard names.
"""

import ast
from pathlib import Path

import pytest

from tests.readability import structure
from tests.readability.packages import (
    ROOT,
    Package,
    finished_packages,
    reworded_packages,
    structural_faults,
    unused_exceptions,
    withdrawn_names,
)
from tests.readability.vocabulary import findings, withdrawn_word

PACKAGES = [pytest.param(package, id=str(package.path.relative_to(ROOT))) for package in finished_packages()]
REWORDED = [pytest.param(package, id=str(package.path.relative_to(ROOT))) for package in reworded_packages()]


@pytest.mark.parametrize("package", PACKAGES + REWORDED)
def test_no_name_uses_a_withdrawn_word(package: Package) -> None:
    assert [str(finding) for finding in withdrawn_names(package)] == []


@pytest.mark.parametrize("package", PACKAGES + REWORDED)
def test_each_exception_is_needed_and_has_a_reason(package: Package) -> None:
    assert unused_exceptions(package) == []
    assert all([*package.words.values(), *package.names.values()])


@pytest.mark.parametrize("package", PACKAGES)
def test_assignments_errors_and_package_files_are_plain(package: Package) -> None:
    assert structural_faults(package) == []


@pytest.mark.parametrize("package", PACKAGES)
def test_no_circle_of_imports(package: Package) -> None:
    paths = [path.relative_to(ROOT) for path in package.files()]
    sources = {path: ast.parse((ROOT / path).read_text()) for path in paths}
    graph = {
        structure.module_name(path): set(structure.imported_modules(tree)) for path, tree in sources.items()
    }
    modules = graph.keys()
    inner = {name: imported & modules - {name} for name, imported in graph.items()}
    assert structure.import_circle(inner) == []


def test_names_are_split_into_words() -> None:
    assert withdrawn_word("told_us") == "told"
    assert withdrawn_word("LoanAsk") == "ask"
    assert withdrawn_word("MOST_HELD") == "most"
    assert withdrawn_word("now") == "now"
    assert withdrawn_word("now_us") is None
    assert withdrawn_word("outcome") is None


def test_withdrawn_names_are_found_wherever_they_are_defined(tmp_path: Path) -> None:
    source = tmp_path / "ledger.py"
    source.write_text("class Keeper:\n    def ask(self, home):\n        self.kept = home\n        most = 1\n")
    names = {finding.name for finding in findings(source)}
    assert names == {"Keeper", "ask", "home", "most", "kept", "ledger"}


def test_combined_assignments_are_found_and_an_exchange_is_not() -> None:
    tree = ast.parse("a, b = 1, 2\na = b = 3\na, b = b, a\na, b = pair()\n")
    assert list(structure.combined_assignments(tree)) == [1, 2]


def test_bare_errors_are_found_and_programming_errors_are_not() -> None:
    tree = ast.parse("raise RuntimeError('x')\nraise ValueError('y')\nraise OSError\n")
    assert list(structure.bare_errors(tree)) == [1, 3]


def test_a_circle_of_imports_is_found() -> None:
    assert structure.import_circle({"a": {"b"}, "b": {"c"}, "c": {"a"}}) == ["a", "b", "c"]
    assert structure.import_circle({"a": {"b", "c"}, "b": {"c"}, "c": set()}) == []

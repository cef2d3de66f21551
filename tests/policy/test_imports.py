"""The policy imports no other package of the program, whatever packages are added."""

import ast
from pathlib import Path

from tests.readability.structure import imported_modules

POLICY = Path(__file__).parents[2] / "molereach" / "policy"


def test_policy_imports_no_other_package_of_the_program() -> None:
    for path in sorted(POLICY.rglob("*.py")):
        imported = {
            name for name in imported_modules(ast.parse(path.read_text())) if name.startswith("molereach")
        }
        foreign = {name for name in imported if not f"{name}.".startswith("molereach.policy.")}
        assert foreign == set(), path

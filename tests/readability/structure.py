"""What a finished package's files must look like: assignments, errors, docstrings of packages, imports."""

import ast
from collections.abc import Iterator
from pathlib import Path

# Built-in errors that tell a caller nothing; ValueError, TypeError and the like stand for programming errors.
BUILT_IN_ERRORS = frozenset(
    {"Exception", "RuntimeError", "OSError", "ConnectionError", "LookupError", "TimeoutError"}
)


def combined_assignments(tree: ast.Module) -> Iterator[int]:
    """Lines that assign several values at once, but for two names that are exchanged."""
    for node in ast.walk(tree):
        if not isinstance(node, ast.Assign):
            continue
        if len(node.targets) > 1:
            yield node.lineno
        elif isinstance(node.targets[0], ast.Tuple) and isinstance(node.value, ast.Tuple):
            targets = {ast.unparse(each) for each in node.targets[0].elts}
            values = {ast.unparse(each) for each in node.value.elts}
            if targets != values:
                yield node.lineno


def bare_errors(tree: ast.Module) -> Iterator[int]:
    """Lines that raise a built-in error which is no programming error."""
    for node in ast.walk(tree):
        if isinstance(node, ast.Raise) and node.exc is not None:
            raised = node.exc.func if isinstance(node.exc, ast.Call) else node.exc
            if isinstance(raised, ast.Name) and raised.id in BUILT_IN_ERRORS:
                yield node.lineno


def is_one_docstring(tree: ast.Module) -> bool:
    """Whether a file holds a docstring and nothing else."""
    return len(tree.body) == 1 and ast.get_docstring(tree) is not None


def module_name(path: Path) -> str:
    """The dotted name of a source file."""
    parts = list(path.with_suffix("").parts)
    if parts[-1] == "__init__":
        parts.pop()
    return ".".join(parts)


def imported_modules(tree: ast.Module) -> Iterator[str]:
    """Each name that may be a module and is imported."""
    for node in ast.walk(tree):
        if isinstance(node, ast.Import):
            yield from (alias.name for alias in node.names)
        elif isinstance(node, ast.ImportFrom) and node.module:
            yield node.module
            yield from (f"{node.module}.{alias.name}" for alias in node.names)


def import_circle(graph: dict[str, set[str]]) -> list[str]:
    """The modules of one circle of imports, or none."""
    finished: set[str] = set()

    def visit(module: str, path: list[str]) -> list[str]:
        if module in path:
            return path[path.index(module) :]
        if module in finished:
            return []
        for imported in sorted(graph[module]):
            if circle := visit(imported, [*path, module]):
                return circle
        finished.add(module)
        return []

    for module in sorted(graph):
        if circle := visit(module, []):
            return circle
    return []

"""Scans source code for state that is kept by member: attributes with collections of what carries a customer.

A class carries a customer if a field, an annotated attribute or a constructor argument has the name of one
(`customer`, `member`), or the type of the decisions' key of four numbers, or a type that carries. Names are
resolved through imports, so that two classes with the same name stay apart. An attribute that is a growing
collection of what carries is reported; the class that has it does not itself count as carrying.
"""

import ast
from dataclasses import dataclass, field
from pathlib import Path

CARRYING_FIELDS = {"customer", "customer_checksum", "member"}
CUSTOMER_KEY = "tuple[int, int, int, int]"
GROWING_TYPES = {"dict", "list", "set", "deque", "OrderedDict", "defaultdict", "Counter"}


@dataclass
class Module:
    """Resolves the names at the top level of a module."""

    name: str
    origins: dict[str, str]  # of all modules: an imported name, in full, and where it comes from
    full_names: dict[str, str] = field(default_factory=dict)  # by the name here
    annotation_types: dict[str, frozenset[str]] = field(default_factory=dict)  # cache of `types_in`

    def collect_names(self, tree: ast.Module) -> None:
        for node in ast.walk(tree):
            if isinstance(node, ast.ImportFrom) and node.module:
                for alias in node.names:
                    self.full_names[alias.asname or alias.name] = f"{node.module}.{alias.name}"
                    self.origins[f"{self.name}.{alias.asname or alias.name}"] = f"{node.module}.{alias.name}"
            elif isinstance(node, ast.Import):
                for alias in node.names:
                    self.full_names[alias.asname or alias.name] = alias.name
            elif isinstance(node, ast.ClassDef):
                self.full_names[node.name] = f"{self.name}.{node.name}"
        for statement in tree.body:
            if isinstance(statement, ast.Assign) and isinstance(statement.targets[0], ast.Name):
                self.full_names[statement.targets[0].id] = f"{self.name}.{statement.targets[0].id}"

    def types_in(self, annotation: str) -> frozenset[str]:
        """All types in an annotation, by full name, except the arguments and results of callables."""
        if annotation not in self.annotation_types:
            self.annotation_types[annotation] = frozenset(self.find_types(annotation))
        return self.annotation_types[annotation]

    def find_types(self, annotation: str) -> set[str]:
        found, nodes = set(), [ast.parse(annotation, mode="eval").body]
        while nodes:
            node = nodes.pop()
            if isinstance(node, ast.Subscript) and ast.unparse(node.value).endswith("Callable"):
                continue
            nodes += [child for child in ast.iter_child_nodes(node) if isinstance(child, ast.expr)]
            if isinstance(node, ast.Name):
                found.add(self.full_names.get(node.id, node.id))
            elif isinstance(node, ast.Attribute) and isinstance(node.value, ast.Name):
                found.add(f"{self.full_names.get(node.value.id, node.value.id)}.{node.attr}")
        return {self.origin(name) for name in found}

    def origin(self, name: str) -> str:
        """Where a name that packages re-export is defined."""
        while name in self.origins and self.origins[name] != name:
            name = self.origins[name]
        return name


@dataclass
class ScannedClass:
    """A class: the annotations of its attributes and of its constructor's arguments."""

    module: Module
    name: str
    attributes: dict[str, str]
    arguments: dict[str, str]

    @property
    def full_name(self) -> str:
        return f"{self.module.name}.{self.name}"


def annotation_text(annotation: ast.expr) -> str:
    is_quoted = isinstance(annotation, ast.Constant) and isinstance(annotation.value, str)
    return ast.literal_eval(annotation) if is_quoted else ast.unparse(annotation)


def scan_class(module: Module, node: ast.ClassDef) -> ScannedClass:
    scanned = ScannedClass(module, node.name, {}, {})
    for item in node.body:
        if isinstance(item, ast.AnnAssign) and isinstance(item.target, ast.Name):
            scanned.attributes[item.target.id] = annotation_text(item.annotation)
        if not isinstance(item, (ast.FunctionDef, ast.AsyncFunctionDef)):
            continue
        for child in ast.walk(item):
            if isinstance(child, ast.AnnAssign) and isinstance(child.target, ast.Attribute):
                scanned.attributes[child.target.attr] = annotation_text(child.annotation)
        if item.name == "__init__":
            scanned.arguments = {
                argument.arg: annotation_text(argument.annotation)
                for argument in item.args.args
                if argument.annotation
            }
    return scanned


@dataclass
class SourceCode:
    """All classes and type aliases of some modules."""

    classes: list[ScannedClass] = field(default_factory=list)
    aliases: list[tuple[Module, str, str]] = field(default_factory=list)
    carrying: set[str] = field(default_factory=set)  # full names of classes and aliases
    origins: dict[str, str] = field(default_factory=dict)

    def add(self, name: str, source: str) -> None:
        tree, module = ast.parse(source), Module(name.removesuffix(".__init__"), self.origins)
        module.collect_names(tree)
        self.classes += [
            scan_class(module, node) for node in ast.walk(tree) if isinstance(node, ast.ClassDef)
        ]
        for node in tree.body:
            if (
                isinstance(node, ast.Assign)
                and isinstance(node.targets[0], ast.Name)
                and isinstance(node.value, (ast.BinOp, ast.Subscript, ast.Attribute))
            ):
                self.aliases.append((module, node.targets[0].id, ast.unparse(node.value)))

    def carries(self, module: Module, annotation: str) -> bool:
        return CUSTOMER_KEY in annotation or bool(module.types_in(annotation) & self.carrying)

    def find_carrying(self) -> None:
        """Mark classes and aliases as carrying until no more are found."""
        while True:
            found = {
                scanned.full_name
                for scanned in self.classes
                for name, annotation in (*scanned.attributes.items(), *scanned.arguments.items())
                if name in CARRYING_FIELDS
                or (self.carries(scanned.module, annotation) and not self.grows(scanned.module, annotation))
            }
            found |= {
                f"{module.name}.{name}"
                for module, name, annotation in self.aliases
                if self.carries(module, annotation)
            }
            if found <= self.carrying:
                return
            self.carrying |= found

    def member_state(self) -> dict[tuple[str, str], str]:
        """By class and attribute, the annotations of growing collections of what carries a customer."""
        self.find_carrying()
        return {
            (scanned.full_name, name): annotation
            for scanned in self.classes
            for name, annotation in scanned.attributes.items()
            if self.grows(scanned.module, annotation) and self.carries(scanned.module, annotation)
        }

    def grows(self, module: Module, annotation: str) -> bool:
        types = module.types_in(annotation)
        return any(name.rpartition(".")[2] in GROWING_TYPES for name in types) or any(
            f"{alias_module.name}.{name}" in types and self.grows(alias_module, value)
            for alias_module, name, value in self.aliases
        )


def read_packages(root: Path, packages: tuple[str, ...], excluded: tuple[str, ...] = ()) -> SourceCode:
    """The sources of packages below a root, except modules whose names begin with an excluded prefix."""
    code = SourceCode()
    for package in packages:
        for path in sorted((root / package).rglob("*.py")):
            name = ".".join(path.relative_to(root).with_suffix("").parts)
            if not name.startswith(excluded):
                code.add(name, path.read_text())
    return code

"""Finds, in source code, what is kept by member: attributes that hold many of what carries a customer.

A class carries a customer if a field, an annotated attribute or an argument of its making goes by the name of
one (`customer`, `member`, or the decisions' key of four numbers), or is of a type that carries. Names are
followed through imports, so that two classes of one name are two. An attribute that can grow, of things that
carry, is a holding; who has one is not itself taken for something that goes by a customer.
"""

import ast
from dataclasses import dataclass, field
from pathlib import Path

SEEDS = {"customer", "customer_checksum", "member"}  # names of fields that say whose something is
KEY = "tuple[int, int, int, int]"
GROWING = {"dict", "list", "set", "deque", "OrderedDict", "defaultdict", "Counter"}


@dataclass
class Module:
    """What the names at the top of a module stand for."""

    name: str
    places: dict[str, str]  # of all modules: a name as it is imported, and where that comes from
    known: dict[str, str] = field(default_factory=dict)  # a name here, and in full
    seen: dict[str, frozenset[str]] = field(default_factory=dict)  # annotations, and what is in them

    def read(self, tree: ast.Module) -> None:
        for node in ast.walk(tree):
            if isinstance(node, ast.ImportFrom) and node.module:
                for each in node.names:
                    self.known[each.asname or each.name] = f"{node.module}.{each.name}"
                    self.places[f"{self.name}.{each.asname or each.name}"] = f"{node.module}.{each.name}"
            elif isinstance(node, ast.Import):
                for each in node.names:
                    self.known[each.asname or each.name] = each.name
            elif isinstance(node, ast.ClassDef):
                self.known[node.name] = f"{self.name}.{node.name}"
        for alias in tree.body:
            if isinstance(alias, ast.Assign) and isinstance(alias.targets[0], ast.Name):
                self.known[alias.targets[0].id] = f"{self.name}.{alias.targets[0].id}"

    def names(self, annotation: str) -> frozenset[str]:
        if annotation not in self.seen:
            self.seen[annotation] = frozenset(self.look(annotation))
        return self.seen[annotation]

    def look(self, annotation: str) -> set[str]:
        """All types in an annotation, in full, but for those that a function takes or gives."""
        found, nodes = set(), [ast.parse(annotation, mode="eval").body]
        while nodes:
            node = nodes.pop()
            if isinstance(node, ast.Subscript) and ast.unparse(node.value).endswith("Callable"):
                continue
            nodes += [each for each in ast.iter_child_nodes(node) if isinstance(each, ast.expr)]
            if isinstance(node, ast.Name):
                found.add(self.known.get(node.id, node.id))
            elif isinstance(node, ast.Attribute) and isinstance(node.value, ast.Name):
                found.add(f"{self.known.get(node.value.id, node.value.id)}.{node.attr}")
        return {self.place(name) for name in found}

    def place(self, name: str) -> str:
        """Where a name that a package hands on comes from."""
        while name in self.places and self.places[name] != name:
            name = self.places[name]
        return name


@dataclass
class Kind:
    """A class: its attributes and the arguments of its making, with their annotations."""

    module: Module
    name: str
    parts: dict[str, str]
    arguments: dict[str, str]

    @property
    def full(self) -> str:
        return f"{self.module.name}.{self.name}"


def text(annotation: ast.expr) -> str:
    quoted = isinstance(annotation, ast.Constant) and isinstance(annotation.value, str)
    return ast.literal_eval(annotation) if quoted else ast.unparse(annotation)


def kind_of(module: Module, node: ast.ClassDef) -> Kind:
    kind = Kind(module, node.name, {}, {})
    for item in node.body:
        if isinstance(item, ast.AnnAssign) and isinstance(item.target, ast.Name):
            kind.parts[item.target.id] = text(item.annotation)
        if not isinstance(item, (ast.FunctionDef, ast.AsyncFunctionDef)):
            continue
        for each in ast.walk(item):
            if isinstance(each, ast.AnnAssign) and isinstance(each.target, ast.Attribute):
                kind.parts[each.target.attr] = text(each.annotation)
        if item.name == "__init__":
            kind.arguments = {each.arg: text(each.annotation) for each in item.args.args if each.annotation}
    return kind


@dataclass
class Code:
    """All classes and aliases of some modules."""

    kinds: list[Kind] = field(default_factory=list)
    aliases: list[tuple[Module, str, str]] = field(default_factory=list)
    carrying: set[str] = field(default_factory=set)
    places: dict[str, str] = field(default_factory=dict)

    def add(self, name: str, source: str) -> None:
        tree, module = ast.parse(source), Module(name.removesuffix(".__init__"), self.places)
        module.read(tree)
        self.kinds += [kind_of(module, node) for node in ast.walk(tree) if isinstance(node, ast.ClassDef)]
        for node in tree.body:
            if (
                isinstance(node, ast.Assign)
                and isinstance(node.targets[0], ast.Name)
                and isinstance(node.value, (ast.BinOp, ast.Subscript, ast.Attribute))
            ):
                self.aliases.append((module, node.targets[0].id, ast.unparse(node.value)))

    def carries(self, module: Module, said: str) -> bool:
        return KEY in said or bool(module.names(said) & self.carrying)

    def close(self) -> None:
        """Follow what is made of what until nothing more is found to carry."""
        while True:
            more = {
                kind.full
                for kind in self.kinds
                for name, said in (*kind.parts.items(), *kind.arguments.items())
                if name in SEEDS or (self.carries(kind.module, said) and not self.grows(kind.module, said))
            }
            more |= {
                f"{module.name}.{name}" for module, name, said in self.aliases if self.carries(module, said)
            }
            if more <= self.carrying:
                return
            self.carrying |= more

    def holdings(self) -> dict[tuple[str, str], str]:
        """By class and attribute, the annotation of what holds many that carry a customer."""
        self.close()
        return {
            (kind.full, name): said
            for kind in self.kinds
            for name, said in kind.parts.items()
            if self.grows(kind.module, said) and self.carries(kind.module, said)
        }

    def grows(self, module: Module, said: str) -> bool:
        found = module.names(said)
        return any(name.rpartition(".")[2] in GROWING for name in found) or any(
            f"{of.name}.{name}" in found and self.grows(of, value) for of, name, value in self.aliases
        )


def code_of(root: Path, packages: tuple[str, ...], without: tuple[str, ...] = ()) -> Code:
    """The sources of packages under a root, but for those whose names begin as said."""
    code = Code()
    for package in packages:
        for path in sorted((root / package).rglob("*.py")):
            name = ".".join(path.relative_to(root).with_suffix("").parts)
            if not name.startswith(without):
                code.add(name, path.read_text())
    return code

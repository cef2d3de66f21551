"""The words that are withdrawn from names, and the names in which a source file still uses one.

The words are those of the earlier house style; docs/GLOSSARY.md gives the standard term for each.
"""

import ast
import re
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path

WITHDRAWN = frozenset(
    [
        "again",
        "aim",
        "aims",
        "ask",
        "asked",
        "asking",
        "asks",
        "back",
        "bad",
        "beat",
        "beats",
        "book",
        "books",
        "bye",
        "campaign",
        "campaigns",
        "chance",
        "cold",
        "council",
        "course",
        "crossing",
        "crossings",
        "doubt",
        "ending",
        "endings",
        "fall",
        "fence",
        "fences",
        "gone",
        "hear",
        "heard",
        "hears",
        "hello",
        "held",
        "home",
        "homes",
        "job",
        "jobs",
        "judgment",
        "keeper",
        "keepers",
        "kept",
        "learn",
        "learns",
        "learnt",
        "least",
        "leaves",
        "ledger",
        "let",
        "level",
        "life",
        "lives",
        "look",
        "looks",
        "mine",
        "moot",
        "most",
        "move",
        "moved",
        "moves",
        "news",
        "out",
        "own",
        "panel",
        "panels",
        "part",
        "parts",
        "pinned",
        "pool",
        "probe",
        "probes",
        "pulse",
        "pulses",
        "ramp",
        "reach",
        "reached",
        "refuse",
        "refused",
        "refuses",
        "room",
        "rooms",
        "scene",
        "scenes",
        "seat",
        "seats",
        "seen",
        "share",
        "shares",
        "side",
        "sides",
        "sight",
        "smooth",
        "spoilt",
        "spread",
        "spreads",
        "stand",
        "stands",
        "store",
        "stores",
        "tell",
        "telling",
        "tells",
        "thrown",
        "told",
        "touched",
        "touches",
        "trouble",
        "troubles",
        "view",
        "views",
        "warm",
        "warmth",
        "way",
        "ways",
        "whole",
        "word",
        "words",
        "worth",
    ]
)
SINGLE_NAMES = frozenset({"now", "set", "i", "S", "MS"})  # withdrawn where they are the whole name
WORD = re.compile(r"[A-Z]+(?![a-z])|[A-Z]?[a-z]+|[0-9]+")


@dataclass(frozen=True)
class Finding:
    """A name that uses a withdrawn word."""

    path: Path
    line: int
    name: str
    word: str

    def __str__(self) -> str:
        return f"{self.path}:{self.line}: {self.name} ({self.word})"


def words_of(name: str) -> list[str]:
    """The words of a name in snake case, camel case or capitals, in lower case."""
    return [word.lower() for word in WORD.findall(name)]


def withdrawn_word(name: str) -> str | None:
    """The first withdrawn word of a name, or None."""
    if name in SINGLE_NAMES:
        return name
    return next((word for word in words_of(name) if word in WITHDRAWN), None)


def defined_names(tree: ast.Module) -> Iterator[tuple[str, int]]:
    """Each name that a module gives to something, with its line."""
    for node in ast.walk(tree):
        match node:
            case ast.ClassDef(name=name) | ast.FunctionDef(name=name) | ast.AsyncFunctionDef(name=name):
                yield name, node.lineno
            case ast.arg(arg=name):
                yield name, node.lineno
            case ast.Name(id=name, ctx=ast.Store()) | ast.Attribute(attr=name, ctx=ast.Store()):
                yield name, node.lineno
            case ast.alias(asname=str(name)):
                yield name, node.lineno


def findings(path: Path) -> list[Finding]:
    """The names of one source file that use a withdrawn word, its own file name included."""
    names = list(defined_names(ast.parse(path.read_text())))
    names.append((path.stem, 1))
    return [
        Finding(path, line, name, word) for name, line in names if (word := withdrawn_word(name)) is not None
    ]

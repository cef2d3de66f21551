"""Output of the tool: tables on a terminal, plain lines elsewhere, or JSON."""

import json
import sys
from collections.abc import Iterable, Sequence
from typing import Any

import msgspec
from rich.console import Console
from rich.markup import escape
from rich.table import Table

WIDTH = 160  # where there is no terminal


def as_json(body: object) -> str:
    """Return a body as one JSON object."""
    return json.dumps(msgspec.to_builtins(body))


class Printer:
    """Prints tables and lines, or with `--json` one object."""

    def __init__(self, json_only: bool) -> None:
        """Print to standard output; `json_only` as `--json`."""
        self.json_only = json_only
        self.console = Console(width=None if sys.stdout.isatty() else WIDTH, soft_wrap=True)

    def table(self, title: str, columns: Sequence[str], rows: Iterable[Sequence[Any]]) -> None:
        """Print a table; None is an empty cell."""
        table = Table(title=title, title_justify="left", box=None, pad_edge=False)
        for column in columns:
            table.add_column(column, overflow="fold")
        for row in rows:
            table.add_row(*("" if cell is None else escape(str(cell)) for cell in row))
        self.console.print(table)

    def line(self, text: str) -> None:
        """Print a line."""
        self.console.print(escape(text), highlight=False)

    def result(self, body: object) -> None:
        """Print the object of `--json`; nothing without it."""
        if self.json_only:
            print(as_json(body))

    def note(self, text: str) -> None:
        """Print progress to standard error, on a terminal only."""
        if not self.json_only and sys.stderr.isatty():
            print(text, file=sys.stderr)


def age(ms: int | None) -> str:
    """Return an age in milliseconds as text."""
    return "never" if ms is None else f"{ms / 1000:.1f} s ago"

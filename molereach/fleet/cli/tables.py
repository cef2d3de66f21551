"""Output of the tool: tables and lines of text, or JSON."""

import json
import sys
from collections.abc import Iterable, Sequence
from typing import Any

import msgspec
from rich.console import Console
from rich.markup import escape
from rich.table import Table

DEFAULT_WIDTH = 160  # columns, without a terminal


def as_json(body: object) -> str:
    """Encode a body as one JSON object."""
    return json.dumps(msgspec.to_builtins(body))


class Printer:
    """Prints tables and lines, or one JSON object with `--json`."""

    def __init__(self, json_only: bool) -> None:
        """Print to standard output; `json_only` is the flag `--json`."""
        self.json_only = json_only
        self.console = Console(width=None if sys.stdout.isatty() else DEFAULT_WIDTH, soft_wrap=True)

    def table(self, title: str, columns: Sequence[str], rows: Iterable[Sequence[Any]]) -> None:
        """Print a table; None becomes an empty cell."""
        table = Table(title=title, title_justify="left", box=None, pad_edge=False)
        for column in columns:
            table.add_column(column, overflow="fold")
        for row in rows:
            table.add_row(*("" if cell is None else escape(str(cell)) for cell in row))
        self.console.print(table)

    def line(self, text: str) -> None:
        """Print a line of text."""
        self.console.print(escape(text), highlight=False)

    def result(self, body: object) -> None:
        """Print a result as JSON with `--json`, otherwise nothing."""
        if self.json_only:
            print(as_json(body))

    def progress(self, text: str) -> None:
        """Print a progress message to standard error if it is a terminal, except with `--json`."""
        if not self.json_only and sys.stderr.isatty():
            print(text, file=sys.stderr)


def format_age(age_ms: int | None) -> str:
    """Format an age as text; None stands for never."""
    return "never" if age_ms is None else f"{age_ms / 1000:.1f} s ago"

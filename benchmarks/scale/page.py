"""Whether a page says what a run has measured.

A figure stands on the page as plain text with its name in a comment right behind it:
`142 MB<!-- scale: memory_mb_93000 -->`.
"""

import re
from collections.abc import Iterator, Mapping
from decimal import ROUND_HALF_EVEN, ROUND_HALF_UP, Decimal

MARK = re.compile(r"<!--\s*scale:(?P<name>.*?)-->", re.DOTALL)
NAME = re.compile(r"\s*(?P<name>[A-Za-z0-9_]+)\s*")
# A number with at most one unit of a word or sign behind it; thousands may be cut by commas.
NUMBER = re.compile(
    r"(?P<number>-?[0-9]{1,3}(?:,[0-9]{3})+(?:\.[0-9]+)?|-?[0-9]+(?:\.[0-9]+)?)"
    r"[ \u00a0]?(?:%|[A-Za-zµ/]+(?: [a-z]+){0,3})?[`*]*$"
)
BEFORE = 60  # characters before a comment in which its number stands


def page_faults(page_text: str, figures: Mapping[str, float]) -> list[str]:
    """A line for each place where page and file differ; a page without a figure is at fault, too."""
    marks = list(MARK.finditer(page_text))
    if not marks:
        return ["the page holds no figure of a run"]
    return [fault for mark in marks for fault in mark_faults(page_text, mark, figures)]


def mark_faults(page_text: str, mark: re.Match[str], figures: Mapping[str, float]) -> Iterator[str]:
    line = page_text.count("\n", 0, mark.start()) + 1
    named = NAME.fullmatch(mark["name"])
    if not named:
        yield f"line {line}: {mark['name'].strip()!r:.60} is no figure's name"
        return
    name, text = named["name"], page_text[max(0, mark.start() - BEFORE) : mark.start()]
    found = NUMBER.search(text.rpartition("-->")[2])
    if name not in figures:
        yield f"line {line}: {name} is in no file"
    elif not found:
        yield f"line {line}: no number stands before {name}"
    elif not agrees(found["number"].replace(",", ""), figures[name]):
        yield f"line {line}: {name} is {found['number']}, and {figures[name]:g} in the file"


def agrees(shown: str, figure: float) -> bool:
    """Whether a number is the figure, rounded to the digits shown; a half may be rounded either way."""
    number = Decimal(shown)
    step = Decimal(1).scaleb(int(number.as_tuple().exponent))
    exact = Decimal(repr(float(figure)))
    return number in {exact.quantize(step, how) for how in (ROUND_HALF_UP, ROUND_HALF_EVEN)}

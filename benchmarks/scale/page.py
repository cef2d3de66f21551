"""Whether a page agrees with the figures of a run.

A figure is plain text on the page, directly followed by its name in a comment:
`142 MB<!-- scale: memory_mb_93000 -->`.
"""

import re
from collections.abc import Iterator, Mapping
from decimal import ROUND_HALF_EVEN, ROUND_HALF_UP, Decimal

FIGURE_COMMENT = re.compile(r"<!--\s*scale:(?P<name>.*?)-->", re.DOTALL)
FIGURE_NAME = re.compile(r"\s*(?P<name>[A-Za-z0-9_]+)\s*")
# A number with at most one unit after it, a word or a sign; thousands may be separated by commas.
NUMBER = re.compile(
    r"(?P<number>-?[0-9]{1,3}(?:,[0-9]{3})+(?:\.[0-9]+)?|-?[0-9]+(?:\.[0-9]+)?)"
    r"[ \u00a0]?(?:%|[A-Za-zµ/]+(?: [a-z]+){0,3})?[`*]*$"
)
SEARCHED_CHARS = 60  # characters before a comment that are searched for its number


def page_faults(page_text: str, figures: Mapping[str, float]) -> list[str]:
    """Return a line for each difference between page and figures; a page without figures is a fault, too."""
    comments = list(FIGURE_COMMENT.finditer(page_text))
    if not comments:
        return ["the page holds no figure of a run"]
    return [fault for comment in comments for fault in comment_faults(page_text, comment, figures)]


def comment_faults(page_text: str, comment: re.Match[str], figures: Mapping[str, float]) -> Iterator[str]:
    """Yield the faults of one comment."""
    line = page_text.count("\n", 0, comment.start()) + 1
    named = FIGURE_NAME.fullmatch(comment["name"])
    if not named:
        yield f"line {line}: {comment['name'].strip()!r:.60} is no figure's name"
        return
    name, text = named["name"], page_text[max(0, comment.start() - SEARCHED_CHARS) : comment.start()]
    found = NUMBER.search(text.rpartition("-->")[2])
    if name not in figures:
        yield f"line {line}: {name} is in no file"
    elif not found:
        yield f"line {line}: no number stands before {name}"
    elif not agrees(found["number"].replace(",", ""), figures[name]):
        yield f"line {line}: {name} is {found['number']}, and {figures[name]:g} in the file"


def agrees(shown: str, figure: float) -> bool:
    """Return whether a number is the figure rounded to the digits shown; a half may be rounded either way."""
    number = Decimal(shown)
    last_digit = Decimal(1).scaleb(int(number.as_tuple().exponent))
    exact = Decimal(repr(float(figure)))
    return number in {exact.quantize(last_digit, rounding) for rounding in (ROUND_HALF_UP, ROUND_HALF_EVEN)}

"""What a page says of a block, in HTML comments directly before it. Grammar: docs/design/examples.md.

A comment before a block that is none of these is a fault of the page: a misspelt mark would pass for prose.
"""

import re
from dataclasses import dataclass, field

COMMENT = re.compile(r"<!--\s*(.*?)\s*-->", re.DOTALL)
FILE_KINDS = ("operator file", "fleet file", "agent file", "scenario")
FILE = re.compile(rf"({'|'.join(FILE_KINDS)}): ([A-Za-z0-9][A-Za-z0-9._-]*\.toml)(, more)?")
EXIT = re.compile(r"exit: (\d+(?: or \d+)*)")
SMALLER = re.compile(r'smaller: "([^"]+)" is "([^"]*)": (.+)', re.DOTALL)
BACKGROUND = re.compile(r'background: until "([^"]+)", ends with (\d+)')
OUTPUT = re.compile(r"output(?:, varies: (.+))?", re.DOTALL)
LEAST_REASON = 8  # characters: `todo` and `slow` are no reasons


class MarkError(ValueError):
    """A mark that cannot be used; the text says why."""


@dataclass
class Marks:
    """All that is said of one block."""

    not_run: str = ""  # the reason
    file: str = ""  # its content becomes this file of the page's folder
    file_kind: str = ""
    more: bool = False  # it is added to what the file has
    exits: tuple[int, ...] = (0,)  # that each of its commands may end with
    smaller: list[tuple[str, str]] = field(default_factory=list)
    until: str = ""  # what a process that stays must say before the page goes on
    ends_with: int = 0
    output: bool = False  # what the commands before it print
    varies: list[str] = field(default_factory=list)
    given: list[str] = field(default_factory=list)


def checked_pattern(text: str) -> str:
    try:
        matches_nothing = re.fullmatch(text, "") is not None
    except re.error as error:
        raise MarkError(f"'{text}' is no pattern: {error}") from error
    # `.*` and the like would take all of the output for equal.
    if matches_nothing or re.fullmatch(text, "no such words, line 7: \u2603") is not None:
        raise MarkError(f"the pattern '{text}' matches anything")
    return text


def reason(text: str) -> str:
    if len(text) < LEAST_REASON:
        raise MarkError("a mark without a reason")
    return text


def take(marks: Marks, text: str) -> None:
    """Add what one comment says; MarkError where it is no mark."""
    if text.startswith("not run"):
        marks.not_run = reason(text.removeprefix("not run").removeprefix(":").strip())
    elif found := FILE.fullmatch(text):
        marks.file_kind, marks.file, marks.more = found[1], found[2], bool(found[3])
    elif found := EXIT.fullmatch(text):
        marks.exits = tuple(int(code) for code in found[1].split(" or "))
    elif found := SMALLER.fullmatch(text):
        reason(found[3])
        marks.smaller.append((found[1], found[2]))
    elif found := BACKGROUND.fullmatch(text):
        marks.until, marks.ends_with = found[1], int(found[2])
    elif found := OUTPUT.fullmatch(text):
        marks.output = True
        marks.varies += [checked_pattern(each) for each in (found[1] or "").split(" and ") if each]
    elif text.startswith("given: "):
        marks.given += text.removeprefix("given: ").split(", ")
    else:
        raise MarkError(f"'{text}' is no mark")


def read(comments: list[str]) -> Marks:
    """What the comments before a block say together; MarkError where they cannot be used."""
    marks = Marks()
    for comment in comments:
        for text in COMMENT.findall(comment):
            take(marks, " ".join(text.split()))
    if marks.not_run and (marks.until or marks.output or marks.file or marks.smaller):
        raise MarkError("not run, and another mark that says how it is run")
    return marks

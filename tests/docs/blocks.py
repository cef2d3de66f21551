"""The blocks of code on a page, with their kind, line and marks, and what its prose names in code spans.

CommonMark by markdown-it-py: indented and fenced blocks alike, also in lists; comments are tokens of their
own, so "directly before" is the order of tokens. Source: CommonMark 0.31, 4.4 to 4.6.
"""

import re
from dataclasses import dataclass
from enum import Enum

from markdown_it import MarkdownIt
from markdown_it.token import Token

from tests.docs import marks as m

PROGRAM = r"(?:molereach|python3?|pip|export|until|\.venv/bin/\w+)"
COMMAND = re.compile(rf"(?:\$ )?(?:[A-Z_]+=\S+ )*{PROGRAM}(?: |$)")
END = Token("end", "", 0)  # so that a mark at a page's end is looked at, too
SHELL, TOML = ("sh", "bash", "shell", "console"), ("toml",)


class Kind(Enum):
    """What is done with a block."""

    SHELL = "shell"
    TOML = "toml"
    PYTHON = "python"
    OUTPUT = "output"
    OTHER = "other"  # of no kind that can be run: wants a mark


@dataclass
class Block:
    """One block of code."""

    line: int  # of the page, from 1
    kind: Kind
    text: str
    marks: m.Marks
    fault: str = ""  # of its marks


@dataclass
class Page:
    """What is to be checked of one page."""

    name: str
    blocks: list[Block]
    spans: list[tuple[int, str]]  # line, text of a code span


def kind_of(token: Token, marks: m.Marks) -> Kind:
    language = token.info.split()[0] if token.info.strip() else ""
    lines = [line for line in token.content.splitlines() if line.strip()]
    if marks.output:
        return Kind.OUTPUT
    if marks.file or language in TOML:
        return Kind.TOML
    if language == "python":
        return Kind.PYTHON
    if language in SHELL or (not language and lines and all(map(COMMAND.match, joined(token.content)))):
        return Kind.SHELL
    return Kind.OTHER


def joined(text: str) -> list[str]:
    """The commands of a block, one a line; a line that ends with a backslash goes on."""
    lines = text.replace("\\\n", " ").splitlines()
    return [line.strip() for line in lines if line.strip() and not line.lstrip().startswith("#")]


def block_of(token: Token, comments: list[str]) -> Block:
    marks, fault = m.Marks(), ""
    try:
        marks = m.read(comments)
    except m.MarkError as error:
        fault = str(error)
    line = token.map[0] + 1 if token.map else 0
    return Block(line, kind_of(token, marks), token.content, marks, fault)


def read(name: str, text: str) -> Page:
    """A page's blocks in order."""
    page, comments, begun = Page(name, [], []), list[str](), 0
    for token in [*MarkdownIt("commonmark").enable("table").parse(text), END]:
        begun = token.map[0] + 1 if token.map else begun
        if token.type == "html_block":
            comments.append(token.content)
            continue
        if token.type in ("code_block", "fence"):
            page.blocks.append(block_of(token, comments))
        elif any(m.COMMENT.search(each) and is_mark(each) for each in comments):
            page.blocks.append(Block(begun, Kind.OTHER, "", m.Marks(), "a mark with no block after it"))
        page.spans += [(begun, each.content) for each in token.children or () if each.type == "code_inline"]
        comments = []
    return page


def is_mark(comment: str) -> bool:
    try:
        m.read([comment])
    except m.MarkError:
        return False
    return True

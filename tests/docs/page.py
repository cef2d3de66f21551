"""One page: its blocks in order, in one folder, each run, checked, or marked with its reason."""

import socket
from collections.abc import Iterator
from pathlib import Path

from tests.docs import blocks as b
from tests.docs import files, options, outputs
from tests.docs.given import GIVEN
from tests.docs.shell import Shell

MOST_SHOWN = 1200  # characters of an output in a fault


class Player:
    """Plays one page; faults are lines that name the place."""

    def __init__(self, page: b.Page, folder: Path) -> None:
        self.page, self.shell = page, Shell(folder)
        self.printed: str | None = None  # by the commands of the block before
        self.held: list[socket.socket] = []
        self.stays: list[tuple[b.Block, int]] = []  # what each process that stays is to end with

    def play(self) -> list[str]:
        """All faults of the page."""
        try:
            faults = [
                f"{self.page.name}:{block.line}: {fault}"
                for block in self.page.blocks
                for fault in self.block(block)
            ]
        finally:
            ended = [one.close() for one in self.shell.staying]
            for holder in self.held:
                holder.close()
        for (block, code), done in zip(self.stays, ended, strict=True):
            if done.code != code or done.timed_out:
                faults.append(
                    f"{self.page.name}:{block.line}: ended with {done.code}, not {code}: "
                    f"{done.text[-MOST_SHOWN:]}"
                )
        return faults

    def block(self, block: b.Block) -> Iterator[str]:
        """Run one block; its faults."""
        printed, self.printed = self.printed, None
        if block.fault:
            yield block.fault
        elif block.marks.not_run:
            if call := options.trivial(block.text):
                yield f"marked as not run, and `{call}` runs in an instant"
            if block.kind is b.Kind.TOML or (block.kind is b.Kind.OTHER and files.is_toml(block.text)):
                yield "marked as not run, and TOML can be checked: say which file it is"
        elif block.kind is b.Kind.SHELL:
            yield from self.commands(block)
        elif block.kind is b.Kind.TOML:
            yield from self.file(block)
        elif block.kind is b.Kind.PYTHON:
            done = self.shell.python(block.text)
            if done.code or done.timed_out:
                yield f"ends with {done.code}: {done.text[-MOST_SHOWN:]}"
        elif block.kind is b.Kind.OUTPUT:
            yield from self.output(block, printed)
        else:
            yield "is not run, and has no mark that says why"

    def commands(self, block: b.Block) -> Iterator[str]:
        text = block.text
        for old, new in block.marks.smaller:
            if old not in text:
                yield f"the mark `smaller`: '{old}' is not there"
            text = text.replace(old, new)
        yield from self.give(block)
        lines = [line.removeprefix("$ ") for line in b.joined(text)]
        if block.marks.until:
            yield from self.stay(block, lines)
            return
        self.printed = ""
        for line in lines:
            done = self.shell.run(line)
            self.printed += done.text
            if done.timed_out:
                yield f"`{line}` takes too long: {done.text[-MOST_SHOWN:]}"
            elif done.code not in block.marks.exits:
                yield f"`{line}` ends with {done.code}: {done.text[-MOST_SHOWN:]}"

    def stay(self, block: b.Block, lines: list[str]) -> Iterator[str]:
        if len(lines) != 1:
            yield "in the background: more than one command"
            return
        self.stays.append((block, block.marks.ends_with))
        said, one = self.shell.stay(lines[0], block.marks.until)
        if not said:
            yield f"`{lines[0]}` does not say '{block.marks.until}': {one.text[-MOST_SHOWN:]}"

    def give(self, block: b.Block) -> Iterator[str]:
        for name in block.marks.given:
            if name not in GIVEN:
                yield f"the mark `given`: no '{name}' is known"
            elif not (self.shell.folder / name).exists():
                self.held += GIVEN[name](self.shell.folder)

    def file(self, block: b.Block) -> Iterator[str]:
        if not block.marks.file:
            yield "TOML without a mark that says which file it is"
            return
        path = self.shell.folder / block.marks.file
        with path.open("a" if block.marks.more else "w") as file:
            file.write(block.text)
        if fault := files.fault(block.marks.file_kind, path):
            yield fault

    def output(self, block: b.Block, printed: str | None) -> Iterator[str]:
        if printed is None:
            yield "an output, and no command that was run stands before it"
            return
        for line in outputs.differences(block.text, printed, block.marks.varies):
            yield f"output: {line}"


def named(page: b.Page) -> list[str]:
    """Commands and options that are named on a page and are not there, in blocks and in prose."""
    texts = [(block.line, block.text) for block in page.blocks if block.kind in (b.Kind.SHELL, b.Kind.OTHER)]
    faults, known = [], set[str]()
    for line, text in [*texts, *page.spans]:
        for call in options.calls(text):
            faults += [f"{page.name}:{line}: {fault}" for fault in options.faults_of(call)]
    for path in options.everywhere():
        known |= options.options_in(options.help_of(path)[1])
    for line, text in page.spans:
        if (found := options.OPTION.match(text)) and found[0] not in known:
            faults.append(f"{page.name}:{line}: no command has an option `{found[0]}`")
    return faults

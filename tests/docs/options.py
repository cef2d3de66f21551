"""Commands and options that a page names, in blocks and in its prose, against what `--help` says."""

import contextlib
import functools
import io
import re
import shlex
import subprocess
import sys
from collections.abc import Iterator

from molereach import command
from tests.docs.shell import ROOT

Path = tuple[str, ...]

TRIVIAL = (("--help",), ("--version",), ("config", "check"), ("benchmarks", "list"))
OPTION = re.compile(r"--[a-z][a-z-]*")
COMMAND = re.compile(r"^  ([a-z][a-z-]*)(?:  |$)", re.MULTILINE)
STARTS = {"molereach": ("molereach",), "benchmarks": ("benchmarks",)}
MOST_HELP_S = 30.0


def words_of(text: str) -> list[list[str]]:
    """The simple commands in a text, in words; none where it is no shell."""
    lexer = shlex.shlex(text.replace("\\\n", " "), posix=True, punctuation_chars=True)
    lexer.whitespace_split, found = True, [list[str]()]
    lexer.whitespace = " \t\r"
    try:
        for word in lexer:
            if set(word) <= set("();<>|&\n"):
                found.append([])
            else:
                found[-1].append(word)
    except ValueError:
        return []
    return [words for words in found if words]


def calls(text: str) -> Iterator[Path]:
    """The program's own calls in a text: the words from `molereach` or the module's name on."""
    for line in text.replace("\\\n", " ").splitlines():
        for words in words_of(line):
            words = [word for word in words if not re.match(r"[A-Z_]+=", word)]
            if words and words[0].rsplit("/", 1)[-1] == "molereach":
                yield ("molereach", *words[1:])
            elif len(words) > 2 and "python" in words[0] and words[1] == "-m" and words[2] in STARTS:
                yield tuple(words[2:])


@functools.cache
def help_of(path: Path) -> tuple[int, str]:
    """Exit code and text of `--help` after these words; by a process where the program becomes another."""
    if path[0] == "molereach" and path[1:2] not in [(name,) for name in command.PACKAGE_COMMANDS]:
        with contextlib.redirect_stdout(said := io.StringIO()):
            code = command.run([*path[1:], "--help"], {}, lambda *_: 1)
        return code, said.getvalue()
    done = subprocess.run(
        [sys.executable, "-m", *path, "--help"],
        cwd=ROOT,
        capture_output=True,
        text=True,
        check=False,
        timeout=MOST_HELP_S,
    )
    return done.returncode, done.stdout + done.stderr


def commands_in(text: str) -> set[str]:
    return set(COMMAND.findall(text.partition("\nCommands:\n")[2]))


def options_in(text: str) -> set[str]:
    return set(OPTION.findall(text))


def faults_of(call: Path) -> list[str]:
    """Commands and options of one call that are not there."""
    path, faults = call[:1], list[str]()
    for word in call[1:]:
        code, text = help_of(path)
        if code:
            return [f"`{' '.join(path)} --help` ends with {code}"]
        if word.startswith("-"):
            name = word.split("=", 1)[0]
            if name.startswith("--") and name not in options_in(text):
                faults.append(f"`{' '.join(path)}` has no option `{name}`")
        elif word in commands_in(text):
            path = (*path, word)
        elif commands_in(text) and word.islower() and word.replace("-", "").isalpha():
            faults.append(f"`{' '.join(path)}` has no command `{word}`")
    code, _ = help_of(path)
    return [*faults, f"`{' '.join(path)} --help` ends with {code}"] if code else faults


def trivial(text: str) -> str:
    """The command in a text that runs in an instant anywhere; '' for none."""
    for call in calls(text):
        for words in TRIVIAL:
            if any(call[n : n + len(words)] == words for n in range(len(call))):
                return " ".join(call)
    return ""


@functools.cache
def everywhere() -> tuple[Path, ...]:
    """Every command of the program."""
    found, ahead = list[Path](), list[Path](STARTS.values())
    while ahead:
        found.append(ahead.pop())
        ahead += [(*found[-1], name) for name in sorted(commands_in(help_of(found[-1])[1]))]
    return tuple(found)

"""The checker finds what is wrong on a page: without that, a page that passes says nothing."""

from collections.abc import Callable
from pathlib import Path

import pytest

from tests.docs import blocks, files, options, outputs, page
from tests.docs.shell import Shell

CHECK = "    molereach config check operator.toml\n"
LIMITS = "<!-- operator file: operator.toml -->\n\n    [limits]\n    lease_ms = 2000\n\n"
STAYS = (
    "import os, signal, threading; signal.signal(15, lambda *_: os._exit(7)); "
    "print('ready', flush=True); threading.Event().wait()"
)
SCENARIO = '<!-- scenario: day.toml -->\n\n    name = "day"\n    title = "A day"\n\n'
Played = Callable[[str], list[str]]


@pytest.fixture
def played(tmp_path: Path) -> Played:
    """The faults of a page that is played."""
    return lambda text: page.Player(blocks.read("page.md", text), tmp_path / "page").play()


def test_page_that_is_right_has_no_fault(played: Played) -> None:
    text = f"# A page\n\n{LIMITS}Then:\n\n{CHECK}\n<!-- output -->\n\n    operator.toml: usable; on: limits\n"
    assert played(text) == [] and page.named(blocks.read("page.md", text)) == []


@pytest.mark.parametrize(
    ("text", "reason"),
    [
        (
            f"{LIMITS}x\n\n{CHECK}\n<!-- output -->\n\n    operator.toml: usable; on: log\n",
            "+ operator.toml: usable; on: limits",
        ),
        (LIMITS.replace("lease_ms", "lease"), "unknown field `lease`"),
        (LIMITS.replace("2000", "1"), "$.limits.lease_ms"),
        (
            f'{SCENARIO}x\n\n<!-- scenario: day.toml, more -->\n\n    [[fault]]\n    fault = "eat"\n    at = 1\n',  # noqa: E501
            "eat",
        ),
        ("<!-- fleet file: fleet.toml -->\n\n    flor = 1\n", "fleet.toml: Object"),
        ('<!-- agent file: agent.toml -->\n\n    name = "a0"\n', "missing required field"),
        ("```toml\n[limits]\n```\n", "without a mark that says which file"),
        ("    [limits]\n", "is not run, and has no mark"),
        ("    an excerpt of a log\n", "is not run, and has no mark"),
        ("```\nnone of its lines is a command\n```\n", "is not run, and has no mark"),
        ("1. In a list:\n\n       an excerpt\n", "is not run, and has no mark"),
        ("<!-- not run -->\n\n    molereach demo\n", "without a reason"),
        ("<!-- not run: -->\n\n    molereach demo\n", "without a reason"),
        ("<!-- not run: slow -->\n\n    molereach demo\n", "without a reason"),
        ("<!-- not-run: takes ten minutes -->\n\n    molereach demo\n", "is no mark"),
        ("<!-- not run: takes ten minutes -->\n\nProse.\n", "no block after it"),
        ("Prose.\n\n<!-- not run: takes ten minutes -->\n", "no block after it"),
        (
            "<!-- not run: an excerpt of a file -->\n\n    [limits]\n    lease_ms = 2000\n",
            "TOML can be checked",
        ),
        ("<!-- not run: an excerpt of a file -->\n\n```toml\n[limits\n```\n", "TOML can be checked"),
        (
            "<!-- not run: takes minutes -->\n<!-- output -->\n\n    what it says\n",
            "not run, and another mark",
        ),
        ("<!-- not run: takes ten minutes -->\n\n    molereach demo --help\n", "runs in an instant"),
        ("<!-- not run: no such file here -->\n\n    molereach config check FILE\n", "runs in an instant"),
        (
            "<!-- not run: takes minutes -->\n\n    molereach demo\n    python -m benchmarks list\n",
            "in an instant",
        ),
        (CHECK, "ends with 2: molereach: operator.toml: No such file"),
        ("<!-- exit: 4 -->\n\n" + CHECK, "ends with 2"),
        ("<!-- output -->\n\n    what it says\n", "no command that was run"),
        ('<!-- smaller: "1..20" is "1..1": takes a minute -->\n\n' + CHECK, "'1..20' is not there"),
        ("<!-- given: none.json -->\n\n" + CHECK, "no 'none.json' is known"),
        (
            '<!-- background: until "never said", ends with 0 -->\n\n    python3 -c "print(1)"\n',
            "does not say 'never said'",
        ),
        ("```python\nassert 1 > 2\n```\n", "AssertionError"),
    ],
)
def test_page_that_is_wrong_is_found(text: str, reason: str, played: Played) -> None:
    assert reason in "\n".join(played(text))


@pytest.mark.parametrize(
    ("text", "reason"),
    [
        ("    molereach demo --secnds 10\n", "`molereach demo` has no option `--secnds`"),
        (
            "Use `molereach fleet drain s-1 --wait-for 1`.\n",
            "`molereach fleet drain` has no option `--wait-for`",
        ),
        ("Use `molereach flet status`.\n", "`molereach` has no command `flet`"),
        (
            "<!-- not run: wants agents -->\n\n    molereach fleet stats\n",
            "`molereach fleet` has no command `stats`",
        ),
        ("    python -m benchmarks door --quik\n", "`benchmarks` has no option `--quik`"),
        ("With `--go-onn` all are played.\n", "no command has an option `--go-onn`"),
    ],
)
def test_names_that_are_not_there_are_found(text: str, reason: str) -> None:
    assert reason in "\n".join(page.named(blocks.read("page.md", text)))


def test_help_that_fails_is_a_fault(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(options, "help_of", lambda path: (len(path) - 1, "\nCommands:\n  demo  x\n"))
    assert options.faults_of(("molereach", "demo")) == ["`molereach demo --help` ends with 1"]


@pytest.mark.parametrize("pattern", [".*", "[a-z", r"(?s).+", "x?"])
def test_pattern_that_would_hide_anything_is_refused(pattern: str) -> None:
    found = blocks.read("page.md", f"<!-- output, varies: {pattern} -->\n\n    1 served\n").blocks[0]
    assert "pattern" in found.fault


def test_only_what_varies_may_differ() -> None:
    shown = "served   12  in 3.4 s\n\nno rule is broken\n"
    assert outputs.differences(shown, "served 7 in 10.1 s\nno rule is broken", [r"\d+(?:\.\d+)?"]) == []
    assert outputs.differences(shown, "served 12 in 3.4 s\nno rule is broken", []) == []
    assert outputs.differences(shown, "served 7 in 3.4 s\nno rule is broken", [r"\d+\.\d+"]) == [
        "- served 12 in \N{WHITE SQUARE} s",
        "+ served 7 in \N{WHITE SQUARE} s",
    ]
    assert outputs.differences(shown, "served 12 in 3.4 s\nno rule is broken", ["minutes"]) == [
        "the pattern 'minutes' matches nothing that is shown"
    ]


def test_exported_variables_and_files_go_on_to_the_next_block(played: Played) -> None:
    """And neither another page's nor the tester's own are there."""
    write = "import os; open('made', 'w').write(os.environ['FIRST'])"
    show = "import os; print(open('made').read(), sorted(os.environ)[0])"
    text = (
        f'    export FIRST=one\n\nThen:\n\n    python3 -c "{write}"\n\nThen:\n\n    python3 -c "{show}"\n'
        "\n<!-- output -->\n\n    one COLUMNS\n"
    )
    assert played(text) == []


def test_more_of_a_file_is_added_to_what_it_has(played: Played) -> None:
    more = '    [[fault]]\n    fault = "kill"\n    at = 1.0\n    door = "n1"\n'
    assert played(f"{SCENARIO}Then:\n\n<!-- scenario: day.toml, more -->\n\n{more}") == []


def test_process_that_stays_ends_with_the_page(played: Played) -> None:
    text = f'<!-- background: until "ready", ends with 7 -->\n\n    python3 -c "{STAYS}"\n'
    assert played(text) == []


def test_process_that_ends_otherwise_is_found(played: Played) -> None:
    text = f'<!-- background: until "ready", ends with 0 -->\n\n    python3 -c "{STAYS}"\n'
    assert "ended with 7, not 0" in "\n".join(played(text))


def test_command_that_hangs_is_ended(tmp_path: Path) -> None:
    hangs = "python3 -c 'import threading; threading.Event().wait()'"
    done = Shell(tmp_path / "page").run(hangs, within_s=0.2)
    assert done.timed_out and done.code < 0


def test_settings_in_comments_are_put_in_force_and_prose_is_not() -> None:
    shown = "# Some prose\n# [tls]\n# client-ca = 1\n#\n# [tls.more]  # of it\n# n0 = 2\n"
    assert files.switched_on(shown) == (
        "# Some prose\n[tls]\nclient-ca = 1\n#\n[tls.more]  # of it\nn0 = 2\n"
    )

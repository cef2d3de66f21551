"""Open faults: tests named in KNOWN-RED.txt at the repository's root are expected to fail, and only those.

A line is `test id | cause | #issue`, three lines at most; no file, no open faults. The run prints them, and
fails when one of them passes, when a line names no test, or when there are more.
"""

import re
from collections.abc import Iterator
from pathlib import Path

import pytest

FILE = "KNOWN-RED.txt"
MOST = 3
LINE = re.compile(r"(?P<test>\S.*?) \| (?P<cause>\S.*?) \| (?P<issue>#[0-9]+)")


def known_red(root: Path) -> Iterator[re.Match[str]]:
    file = root / FILE
    lines = [line.strip() for line in file.read_text().splitlines() if line.strip()] if file.exists() else []
    if len(lines) > MOST:
        raise pytest.UsageError(f"{FILE}: {len(lines)} lines, {MOST} at most")
    for line in lines:
        if not (found := LINE.fullmatch(line)):
            raise pytest.UsageError(f"{FILE}: not `test id | cause | #issue`: {line}")
        yield found


@pytest.hookimpl(tryfirst=True)  # before any are deselected
def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    by_id = {item.nodeid: item for item in items}
    files = {item.nodeid.partition("::")[0] for item in items}
    whole = not any("::" in arg for arg in config.args)
    everything = config.args_source is not pytest.Config.ArgsSource.ARGS
    for red in known_red(config.rootpath):
        file, item = red["test"].partition("::")[0], by_id.get(red["test"])
        if item:
            item.add_marker(pytest.mark.xfail(strict=True, reason=f"{red['cause']} ({red['issue']})"))
        elif everything or (whole and file in files) or not (config.rootpath / file).is_file():
            raise pytest.UsageError(f"{FILE}: there is no test {red['test']}")


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter, config: pytest.Config) -> None:
    for red in known_red(config.rootpath):
        terminalreporter.write_line(f"known red: {red.string}", yellow=True)

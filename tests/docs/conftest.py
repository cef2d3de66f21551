"""Pages that are asked for are played side by side, as their commands mostly wait for a day's end."""

from collections.abc import Iterator
from concurrent.futures import Future, ThreadPoolExecutor
from pathlib import Path

import pytest

from tests.docs import blocks
from tests.docs.page import Player
from tests.docs.shell import ROOT

AT_ONCE = 4
PAGES = [ROOT / "README.md", *sorted((ROOT / "docs" / "operators").glob("*.md"))]
NOTES = sorted((ROOT / "docs" / "design").glob("*.md"))

PLAYED = "test_examples_are_run_or_marked"  # whose pages are played

Verdicts = dict[Path, Future[list[str]]]


def read(path: Path) -> blocks.Page:
    return blocks.read(str(path.relative_to(ROOT)), path.read_text())


@pytest.fixture(scope="session")
def verdicts(request: pytest.FixtureRequest, tmp_path_factory: pytest.TempPathFactory) -> Iterator[Verdicts]:
    """The faults of each page, as soon as it has been played."""
    wanted = [
        Path(str(each.callspec.params["path"]))
        for each in request.session.items
        if isinstance(each, pytest.Function) and each.originalname == PLAYED
    ]
    base = tmp_path_factory.mktemp("pages")
    with ThreadPoolExecutor(AT_ONCE) as pool:
        yield {path: pool.submit(Player(read(path), base / path.stem).play) for path in wanted}

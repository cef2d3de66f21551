"""The program makes the recorded bytes; that it reads them as well is tested by kind beside this file."""

import pytest

from tests.compatibility.recording import FILES, FOLDER, recorded


def test_every_file_is_recorded_and_none_is_left_over() -> None:
    files = [path.name for path in FOLDER.iterdir() if path.is_file()]
    assert sorted(files) == sorted(FILES)


@pytest.mark.parametrize("name", FILES)
def test_the_program_makes_the_recorded_bytes(name: str) -> None:
    assert FILES[name]() == recorded(name)

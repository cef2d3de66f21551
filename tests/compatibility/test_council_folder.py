"""A front door's folder, as earlier releases left it, is read and written with the recorded bytes."""

from pathlib import Path

import pytest

from tests.compatibility import council_folder
from tests.compatibility.council_files import recorded_values


@pytest.mark.parametrize("step", council_folder.STEPS)
def test_a_folder_is_written_with_the_recorded_bytes(step: str, tmp_path: Path) -> None:
    written = council_folder.folder_steps(tmp_path / "council")[step]
    assert written == recorded_values(council_folder.file_name(step))


def test_a_recorded_folder_is_opened_with_its_content(tmp_path: Path) -> None:
    folder = tmp_path / "council"
    council_folder.place(folder, recorded_values(council_folder.file_name("written")))
    assert council_folder.open_and_close(folder) == council_folder.expected_content()
    assert council_folder.files_of(folder) == recorded_values(council_folder.file_name("reopened"))


def test_a_recorded_folder_that_was_reopened_has_the_same_content(tmp_path: Path) -> None:
    folder = tmp_path / "council"
    council_folder.place(folder, recorded_values(council_folder.file_name("reopened")))
    assert council_folder.open_and_close(folder) == council_folder.expected_content()


def test_a_recorded_new_folder_holds_nothing_but_its_identity(tmp_path: Path) -> None:
    folder = tmp_path / "council"
    council_folder.place(folder, recorded_values(council_folder.file_name("new")))
    content = council_folder.open_and_close(folder)
    assert content == council_folder.Content(council_folder.IDENTITY.hex(), None, [])

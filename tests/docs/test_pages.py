"""README, operators' pages, snippets of design notes and files by example are true as they stand."""

from pathlib import Path

import pytest

from molereach import operator_config
from tests.docs import blocks, files, page
from tests.docs.conftest import NOTES, PAGES, Verdicts, read
from tests.docs.shell import ROOT


@pytest.fixture(scope="module", autouse=True)
def playing(verdicts: Verdicts) -> None:
    """Pages are played from the start, beside the tests that only read."""


@pytest.mark.parametrize("path", PAGES, ids=lambda path: path.stem)
def test_commands_and_options_that_are_named_are_there(path: Path) -> None:
    faults = page.named(read(path))
    assert not faults, "\n".join(faults)


@pytest.mark.parametrize("path", PAGES, ids=lambda path: path.stem)
def test_examples_are_run_or_marked(path: Path, verdicts: Verdicts) -> None:
    faults = verdicts[path].result()
    assert not faults, "\n".join(faults)


@pytest.mark.parametrize("path", NOTES, ids=lambda path: path.stem)
def test_python_and_files_of_design_notes(path: Path, tmp_path: Path) -> None:
    """Their other blocks are figures and records of what was run once."""
    found = read(path)
    found.blocks = [block for block in found.blocks if block.kind in (blocks.Kind.PYTHON, blocks.Kind.TOML)]
    faults = page.Player(found, tmp_path / "note").play()
    assert not faults, "\n".join(faults)


def test_embedding_example_asserts_something() -> None:
    found = [block for block in read(ROOT / "README.md").blocks if block.kind is blocks.Kind.PYTHON]
    assert found and all("assert " in block.text for block in found)


@pytest.mark.parametrize(("name", "kind"), [("fleet", "fleet file"), ("agent", "agent file")])
def test_settings_in_comments_of_files_by_example(name: str, kind: str, tmp_path: Path) -> None:
    path = tmp_path / f"{name}.toml"
    path.write_text(files.switched_on((ROOT / "deploy" / path.name).read_text()))
    assert files.fault(kind, path) == ""


def test_every_section_of_the_operator_file_by_example() -> None:
    """Its key file is not there: only what the file says is checked."""
    text = files.switched_on((ROOT / "deploy" / "operator.toml").read_text())
    assert set(operator_config.decode(text).sections_on()) == set(
        operator_config.OperatorFile.__struct_fields__
    )

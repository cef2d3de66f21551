"""The operator file: types, checks and one-line errors; subsystems that are off are not imported."""

import json
import os
import subprocess
import sys
from pathlib import Path

import pytest

from molereach import command, operator_config

ROOT = Path(__file__).parents[1]


def test_example_file_is_valid() -> None:
    settings = operator_config.load(ROOT / "deploy" / "operator.toml")
    assert settings.log and settings.log.level is operator_config.LogLevel.INFO
    assert settings.sections_on() == ["log"] and operator_config.decode("").sections_on() == []


@pytest.mark.parametrize(
    ("text", "reason"),
    [
        ("[log]\nlevel = 3\n", "$.log.level"),
        ('[log]\nlevel = "loud"\n', "$.log.level"),
        ("[log]\nwhat = 1\n", "unknown field `what`"),
        ("[unheard_of]\n", "unknown field `unheard_of`"),
        ("[log\n", "line 1"),
        ("log = 1\n", "$.log"),
        ("[limits]\nlease_ms = 100\n", "$.limits.lease_ms"),
        ("[limits]\nkey_file = 'none/such'\n", "limits.key_file: none/such: No such file"),
    ],
)
def test_error_is_one_line_with_file_key_and_reason(
    tmp_path: Path, capsys: pytest.CaptureFixture[str], text: str, reason: str
) -> None:
    file = tmp_path / "operator.toml"
    file.write_text(text)
    served_levels: list[str] = []

    def serve(level: str) -> int:
        served_levels.append(level)
        return 0

    for arguments in (["config", "check", str(file)], ["--operator", str(file)]):
        assert command.run(arguments, {}, serve) == 2
        line = capsys.readouterr().err
        assert line.startswith("molereach: ") and line.count("\n") == 1
        assert str(file) in line and reason in line
    assert command.run([], {operator_config.ENVIRONMENT_VARIABLE: str(file)}, serve) == 2
    assert not served_levels  # no proxy starts with an invalid file


def test_file_that_is_missing_too_large_or_not_text_is_an_error(tmp_path: Path) -> None:
    large, not_text = tmp_path / "large", tmp_path / "odd"
    large.write_bytes(b"#" * (operator_config.MAX_FILE_BYTES + 1))
    not_text.write_bytes(b"\xff\xfe")
    for path, reason in ((tmp_path / "none", "No such file"), (large, "larger than"), (not_text, "utf-8")):
        with pytest.raises(operator_config.OperatorError, match=reason) as caught:
            operator_config.load(path)
        assert str(path) in str(caught.value)


def test_check_prints_which_sections_are_on(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    file = tmp_path / "operator.toml"
    file.write_text('[log]\nlevel = "error"\n')

    def serve(level: str) -> int:
        return {"ERROR": 7, "INFO": 8}[level]

    assert command.run(["config", "check", "--json", str(file)], {}, serve) == 0
    assert json.loads(capsys.readouterr().out) == {"file": str(file), "ok": True, "sections": ["log"]}
    assert command.run(["config", "check", "--json", str(tmp_path)], {}, serve) == 2
    assert json.loads(capsys.readouterr().out)["ok"] is False
    assert command.run(["--operator", str(file)], {}, serve) == 7
    assert command.run([], {}, serve) == 8


def test_help_and_usage_have_their_exit_codes() -> None:
    cases = ((["--help"], 0), (["config", "check", "--help"], 0), (["fly"], 2), (["config"], 2))
    for arguments, exit_code in cases:
        process = subprocess.run(
            [sys.executable, "-m", "molereach", *arguments],
            cwd=ROOT,
            check=False,
            capture_output=True,
            timeout=60,
        )
        assert process.returncode == exit_code, process.stderr


def test_subsystem_that_is_off_is_not_imported() -> None:
    """Without an operator file, only the modules of the front door are imported."""
    program = "import sys, molereach.__main__; print(*sorted(sys.modules))"
    env = {name: text for name, text in os.environ.items() if name != operator_config.ENVIRONMENT_VARIABLE}
    process = subprocess.run(
        [sys.executable, "-c", program],
        cwd=ROOT,
        env=env,
        check=True,
        capture_output=True,
        text=True,
        timeout=60,
    )
    imported = set(process.stdout.split())
    assert "molereach.proxy.proxy" in imported
    modules_that_are_off = (
        "msgspec",
        "argparse",
        "tomllib",
        "molereach.operator_config",
        "molereach.command",
        "rig",
        "hiredis",
        "molereach.limits",
        "molereach.coordination",
        "molereach.keyfile",
    )
    assert not imported.intersection(modules_that_are_off)

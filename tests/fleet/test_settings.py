"""The fleet's file, an agent's file, tokens and secrets; errors are one line with file, key and reason."""

import json
from collections.abc import Iterator
from pathlib import Path

import pytest
import structlog
from click.testing import CliRunner

from molereach.fleet import settings
from molereach.fleet.agent import run as agent_run
from molereach.fleet.agent.auth import Client, Role, Tokens
from molereach.fleet.cli.commands.group import fleet as command
from molereach.fleet.settings import AgentFile, FleetFile, SettingsError, load, load_token
from tests.sockets import refusing_address

AGENT = '[[agents]]\nname = "a{}"\nurl = "http://127.0.0.1:{}"\n'
FLEET = 'token = "token"\n' + AGENT.format(0, 7000) + 'doors = ["n0"]\n' + AGENT.format(1, 7001)
AGENT_FILE = (
    'name = "a0"\nfleet = "fleet.toml"\nsockets = "sockets"\njournal = "j"\nlisten = "127.0.0.1:0"\n'
    'tokens = "tokens"\n'
)


def test_example_files_are_valid() -> None:
    deploy = Path(__file__).parents[2] / "deploy"
    fleet_file = load(deploy / "fleet.toml", FleetFile)
    assert load(deploy / "agent.toml", AgentFile).name in fleet_file.names and fleet_file.expected_proxies()


@pytest.mark.parametrize(
    ("text", "reason"),
    [
        (FLEET + AGENT.format(0, 7009), "agents: 'a0' stands there twice"),
        (FLEET + 'doors = ["n1", "n0"]\n', "doors: 'n0' stands there twice"),
        ('token = "t"\nagents = []\n', "$.agents"),
        (AGENT.format(0, 1), "missing required field `token`"),
        (FLEET.replace("http://127.0.0.1:7001", "http://10.0.0.1:7001"), "in the clear"),
        (FLEET.replace("http://127.0.0.1:7001", "ftp://127.0.0.1"), "$.agents[1]"),
        (FLEET + "what = 1\n", "unknown field `what`"),
        ("floor = -1\n" + FLEET, "$.floor"),
        ('cert = "c"\n' + FLEET, "cert and key"),
        ("floor = [", "at end of document"),
    ],
)
def test_error_of_an_invalid_fleet_file_is_one_line(tmp_path: Path, text: str, reason: str) -> None:
    file = tmp_path / "fleet.toml"
    file.write_text(text)
    with pytest.raises(SettingsError) as caught:
        load(file, FleetFile)
    assert str(file) in str(caught.value) and reason in str(caught.value) and "\n" not in str(caught.value)
    result = CliRunner().invoke(command, ["--fleet", str(file), "status"])
    assert result.exit_code == 2 and reason in result.stderr and result.stderr.count("\n") == 1


@pytest.fixture
def reset_log_configuration() -> Iterator[None]:
    """Resets the log configuration, which would make later tests write to a stream that pytest has closed."""
    yield
    structlog.reset_defaults()


@pytest.mark.usefixtures("reset_log_configuration")
@pytest.mark.parametrize(
    ("change", "reason"),
    [
        (("127.0.0.1:0", "0.0.0.0:7000"), "beyond loopback"),
        (("127.0.0.1:0", "nowhere"), "is not HOST:PORT"),
        (('"a0"', '"a7"'), "there is no 'a7'"),
        (('"sockets"', '"none"'), "there is no folder"),
        (('"tokens"', '"open"'), "others may read it"),
        (('"tokens"', '"odd"'), "line 2 is not"),
        (('"tokens"', '"empty"'), "0 tokens"),
        (("name", "nome"), "unknown field `nome`"),
    ],
)
def test_error_of_an_agent_that_cannot_start_is_one_line(
    tmp_path: Path, capsys: pytest.CaptureFixture[str], change: tuple[str, str], reason: str
) -> None:
    (tmp_path / "sockets").mkdir()
    secrets = {
        "token": "x" * 20,
        "tokens": "read r " + "y" * 20,
        "open": "read r " + "y" * 20,
        "odd": "# who\nroot r secret-word-0000",
        "empty": "",
    }
    for name, text in secrets.items():
        (tmp_path / name).write_text(text)
        (tmp_path / name).chmod(0o644 if name == "open" else 0o600)
    (tmp_path / "fleet.toml").write_text(FLEET)
    file = tmp_path / "agent.toml"
    file.write_text(AGENT_FILE.replace(*change))
    assert agent_run.main(file) == 2
    line = capsys.readouterr().err
    assert line.startswith("molereach agent: ") and reason in line and line.count("\n") == 1
    assert "secret-word" not in line


def test_secret_must_be_private_and_of_valid_length_and_text(tmp_path: Path) -> None:
    file = tmp_path / "token"
    for text, mode, reason in (
        ("x" * 20, 0o640, "others may read"),
        ("short", 0o600, "not a token"),
        ("x" * 70_000, 0o600, "larger than"),
        ("\u00e9" * 20, 0o600, "plain text"),
    ):
        file.write_text(text)
        file.chmod(mode)
        with pytest.raises(SettingsError, match=reason) as caught:
            load_token(file)
        assert text not in str(caught.value)
    with pytest.raises(SettingsError, match="No such file"):
        load_token(tmp_path / "none")


def test_tokens_identify_clients_and_their_roles() -> None:
    tokens = Tokens(f"# c\n\noperate duty {'d' * 16}\nread wall {'w' * 16}\n")
    assert tokens.authenticate("Bearer " + "d" * 16) == Client("duty", Role.OPERATE)
    assert tokens.authenticate("Bearer " + "w" * 16) == Client("wall", Role.READ)
    for header in ("", "Bearer ", "Basic " + "d" * 16, "Bearer " + "d" * 15, "bearer " + "d" * 16):
        assert tokens.authenticate(header) is None
    assert Role.OPERATE.includes(Role.READ) and not Role.READ.includes(Role.OPERATE)


def test_exit_codes_for_unreachable_agents_and_unusable_arguments(tmp_path: Path) -> None:
    (tmp_path / "token").write_text("x" * 20)
    (tmp_path / "token").chmod(0o600)
    file = tmp_path / "fleet.toml"
    file.write_text("agree-s = 0.3\n" + 'token = "token"\n' + AGENT.format(0, refusing_address()[1]))
    invoke = CliRunner().invoke
    result = invoke(command, ["--fleet", str(file), "status", "--json"])
    assert result.exit_code == 5 and list(json.loads(result.stdout)["not_reached"]) == ["a0"]
    drain = invoke(command, ["--fleet", str(file), "drain", "s-1", "--reason", "why", "--json"])
    assert drain.exit_code == 5 and json.loads(drain.stdout)["verdict"] == "unreachable"
    assert invoke(command, ["--fleet", str(file), "drain", "s-1"]).exit_code == 2  # no reason
    assert invoke(command, ["--fleet", str(file), "drain", "s\n1", "--reason", "why"]).exit_code == 2
    assert invoke(command, ["--fleet", str(file), "quota", "xyz"]).exit_code == 2
    for arguments in (["status"], ["--fleet", str(tmp_path / "none"), "status"]):
        result = invoke(command, arguments, env={"MOLEREACH_FLEET": ""})
        assert result.exit_code == 2 and "fleet" in result.stderr


def test_secret_that_is_not_a_file_is_rejected(tmp_path: Path) -> None:
    with pytest.raises(SettingsError):
        settings.read_secret(tmp_path)

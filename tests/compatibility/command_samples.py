"""What the commands print with `--json`, and the files that they are given.

The commands run as they are; only the calls of agents are answered from `fleet_samples`. Agent `c` never
answers.
"""

import contextlib
import io
import os
import tempfile
from collections.abc import AsyncIterator, Callable, Iterator, Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import TypeVar
from unittest.mock import patch

import msgspec
from click.testing import CliRunner, Result

from benchmarks.result import Result as BenchmarkResult
from molereach.command import check_config
from molereach.fleet import api_bodies
from molereach.fleet.agent import api
from molereach.fleet.cli import client, runner
from molereach.fleet.cli.commands.group import fleet
from molereach.fleet.rollout.report import Report
from tests.compatibility import fleet_samples as samples

T = TypeVar("T")
CUSTOMER = "00000000b4d65521"
FLEET_FILE, TOKEN_FILE, OPERATOR_FILE = "fleet.toml", "token", "operator.toml"
TOKEN = "token-of-the-samples\n"
FLEET_TEXT = f"""\
token = "{TOKEN_FILE}"
agents = [
    {{name = "a", url = "http://127.0.0.1:1", doors = ["n0", "n7"]}},
    {{name = "b", url = "http://127.0.0.1:2"}},
    {{name = "c", url = "http://127.0.0.1:3"}},
]
"""
GIVING = ("--reason", "fan", "--issuer", "duty", "--id", "o1")
SILENCE = "no answer in time"

PEER_MEMBERS = api_bodies.Members(agent=samples.PEER, proxies={}, missing={})
PEER_QUOTA = api_bodies.Quota(agent=samples.PEER, proxies={}, missing={})
PEER_ORDERS = api_bodies.Orders(
    agent=samples.PEER, revision=2, in_force=samples.DECIDED[:2], recent=(), pending=None
)
ANSWERS: Mapping[tuple[str, str], msgspec.Struct] = {
    ("a", "/v1/status"): samples.STATUS,
    ("b", "/v1/status"): samples.PEER_STATUS,
    ("a", "/v1/members"): samples.MEMBERS_BODY,
    ("b", "/v1/members"): PEER_MEMBERS,
    ("a", f"/v1/quota/{CUSTOMER}"): samples.QUOTA_BODY,
    ("b", f"/v1/quota/{CUSTOMER}"): PEER_QUOTA,
    ("a", "/v1/orders"): samples.ORDERS_BODY,
    ("b", "/v1/orders"): PEER_ORDERS,
}


@dataclass(frozen=True)
class Command:
    """A command of `molereach fleet`, and how it ends."""

    arguments: tuple[str, ...]
    exit_code: int


PARTLY, UNREACHABLE = 3, 5
COMMANDS: Mapping[str, Command] = {
    "status": Command(("status",), PARTLY),
    "members": Command(("members",), PARTLY),
    "quota": Command(("quota", CUSTOMER), PARTLY),
    "orders": Command(("orders",), PARTLY),
    "orders-all": Command(("orders", "--all"), PARTLY),
    "watch": Command(("watch",), UNREACHABLE),
    "drain": Command(("drain", "s0", *GIVING), PARTLY),
    "drain-wait": Command(("drain", "s0", *GIVING, "--wait", "0"), PARTLY),
    "release": Command(("release", "n0", *GIVING), PARTLY),
}


async def answered(
    self: client.Fleet, agent: str, path: str, kind: type[T], message: object = None, within_s: object = None
) -> T:
    """In place of `Fleet.call`: the sample, through its JSON."""
    if (agent, path) not in ANSWERS:
        raise client.CallError(SILENCE)
    return client.decode_response(200, bytes(api.json_response(ANSWERS[agent, path]).body), kind)


async def watched(self: client.Fleet, agent: str) -> AsyncIterator[api_bodies.Event]:
    """In place of `Fleet.watch`: all events of one agent."""
    for event in samples.EVENTS if agent == samples.AGENT else ():
        yield event


async def given(self: runner.RolloutRunner) -> Report:
    """In place of `RolloutRunner.run`: a recorded report."""
    return samples.REPORTS[0]


@contextlib.contextmanager
def folder() -> Iterator[Path]:
    """A folder that is the working folder meanwhile, so that files are printed by their bare names."""
    with tempfile.TemporaryDirectory() as made, contextlib.chdir(made):
        yield Path(made)


def run_command(command: Command) -> Result:
    """Run a command of the fleet's tool with `--json`."""
    with (
        folder() as files,
        patch.object(client.Fleet, "call", answered),
        patch.object(client.Fleet, "watch", watched),
        patch.object(runner.RolloutRunner, "run", given),
    ):
        (files / FLEET_FILE).write_text(FLEET_TEXT)
        (files / TOKEN_FILE).write_text(TOKEN)
        (files / TOKEN_FILE).chmod(0o600)
        return CliRunner().invoke(fleet, ["--fleet", FLEET_FILE, *command.arguments, "--json"])


# Operator files by what is right or wrong with them, and the exit code of their check.
OPERATOR_TEXTS: Mapping[str, tuple[str, int]] = {
    "usable": ('[log]\nlevel = "debug"\n[control]\nsocket = "/run/n0.sock"\n[limits]\nfloor = 0.1\n', 0),
    "empty": ("", 0),
    "wrong-value": ("[limits]\nlease_ms = 100\n", 2),
    "unknown-key": ("[log]\nwhat = 1\n", 2),
}


def check_operator_file(text: str) -> tuple[int, str]:
    """The exit code of `config check --json`, and what it prints."""
    output = io.StringIO()
    with folder() as files, contextlib.redirect_stdout(output):
        (files / OPERATOR_FILE).write_text(text)
        code = check_config(Path(OPERATOR_FILE), as_json=True)
    return code, output.getvalue()


def benchmark_line() -> str:
    """What a benchmark prints that has met one of its aims."""
    result = BenchmarkResult(
        name="door",
        seed=7,
        aims={"requests_per_s": 1000.0, "most_turn_ms": 30.0},
        figures={"requests_per_s": 1234.5, "turn_ms": 38.0},
        more={"quick": True},
    )
    with patch.object(os, "cpu_count", return_value=4):
        return result.json()


# The recorded files of this module, and what makes each.
FILES: dict[str, Callable[[], bytes]] = {
    **{
        f"command-fleet-{name}.json": lambda command=command: run_command(command).stdout.encode()
        for name, command in COMMANDS.items()
    },
    **{
        f"command-config-check-{name}.json": lambda text=text: check_operator_file(text)[1].encode()
        for name, (text, _) in OPERATOR_TEXTS.items()
    },
    "benchmark-result.json": lambda: f"{benchmark_line()}\n".encode(),
}

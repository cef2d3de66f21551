"""What commands print with `--json`: exit codes, and recorded objects that are read as what they tell."""

import json
from typing import Any

import msgspec
import pytest

from molereach.fleet import api_bodies
from molereach.fleet.rollout.report import Report
from tests.compatibility import command_samples as commands
from tests.compatibility import fleet_samples as samples
from tests.compatibility.recording import recorded, recorded_lines

NOT_REACHED = {"c": commands.SILENCE}


def printed(name: str) -> Any:  # noqa: ANN401
    """The one object of a recorded file."""
    return json.loads(recorded(f"command-fleet-{name}.json"))


@pytest.mark.parametrize("name", commands.COMMANDS)
def test_command_ends_with_its_exit_code(name: str) -> None:
    found = commands.run_command(commands.COMMANDS[name])
    assert found.exit_code == commands.COMMANDS[name].exit_code


@pytest.mark.parametrize(
    ("name", "kind", "bodies"),
    [
        ("status", api_bodies.Status, [samples.STATUS, samples.PEER_STATUS]),
        ("members", api_bodies.Members, [samples.MEMBERS_BODY, commands.PEER_MEMBERS]),
        ("quota", api_bodies.Quota, [samples.QUOTA_BODY, commands.PEER_QUOTA]),
    ],
)
def test_bodies_of_agents_are_printed_whole(name: str, kind: type, bodies: list[msgspec.Struct]) -> None:
    found = printed(name)
    assert msgspec.convert(found["agents"], list[kind], str_keys=True) == bodies  # type: ignore[valid-type]
    assert found["not_reached"] == NOT_REACHED


def test_front_doors_that_nobody_has_seen_are_printed() -> None:
    assert printed("status")["not_seen"] == [{"agent": "a", "door": "n7"}]


def test_orders_are_printed_by_revision_and_then_those_under_way() -> None:
    assert [row["id"] for row in printed("orders")["orders"]] == ["o1", "o2", "o4"]
    assert [row["id"] for row in printed("orders-all")["orders"]] == ["o1", "o2", "o3", "o4"]
    assert printed("orders")["not_reached"] == NOT_REACHED


def test_events_are_printed_one_a_line() -> None:
    lines = recorded_lines("command-fleet-watch.json")
    assert tuple(msgspec.json.decode(line, type=api_bodies.Event) for line in lines) == samples.EVENTS


@pytest.mark.parametrize("name", ["drain", "drain-wait", "release"])
def test_report_is_printed_with_exit_code_and_what_is_in_flight(name: str) -> None:
    found = printed(name)
    assert msgspec.convert(found, Report) == samples.REPORTS[0]
    assert found["exit"] == commands.PARTLY
    assert (found["in_flight"] is not None) == (name == "drain-wait")


@pytest.mark.parametrize("name", commands.OPERATOR_TEXTS)
def test_check_of_an_operator_file_ends_with_its_exit_code(name: str) -> None:
    text, expected = commands.OPERATOR_TEXTS[name]
    assert commands.check_operator_file(text)[0] == expected
    found = json.loads(recorded(f"command-config-check-{name}.json"))
    assert found["ok"] is (expected == 0)
    assert found["file"] == commands.OPERATOR_FILE


def test_result_of_a_benchmark_names_the_aims_that_are_missed() -> None:
    found = json.loads(recorded("benchmark-result.json"))
    assert (found["ok"], found["missed"]) == (False, ["most_turn_ms"])

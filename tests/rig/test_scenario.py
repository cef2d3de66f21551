"""Scenario files: validation with one-line errors, and the same steps for the same seed."""

import subprocess
import sys
from pathlib import Path
from random import Random

import pytest

from rig import scenario as sc
from rig import scenario_files
from rig.timeline import Verb, expand

ROOT = Path(__file__).parents[2]
SHIPPED = [
    "calm",
    "cold-deploy",
    "crowd",
    "garbled-servers",
    "kill-a-door",
    "move-in-split",
    "split",
    "vanish",
]
HEADER = 'name = "x"\ntitle = "x"\n'


def fault(text: str) -> str:
    return f"{HEADER}[[fault]]\n{text}\n"


def test_shipped_scenarios_are_valid_and_named_as_their_files() -> None:
    assert list(scenario_files.shipped()) == SHIPPED
    for name in SHIPPED:
        scenario = scenario_files.load(name)
        assert scenario.name == name and scenario.fault and (scenario.doors, scenario.servers) == (3, 6)


@pytest.mark.parametrize("name", SHIPPED)
def test_same_seed_gives_the_same_steps(name: str) -> None:
    scenario = scenario_files.load(name)
    steps = expand(scenario, Random(5))
    assert steps == expand(scenario, Random(5)) and steps == sorted(steps, key=lambda step: step.at_us)
    assert len(steps) >= len(scenario.fault)
    doors, servers = {"", *scenario.door_names()}, {"", *scenario.server_names()}
    assert all(step.door in doors and step.server in servers for step in steps)


def test_faults_with_a_duration_also_end() -> None:
    text = "".join(
        f'[[fault]]\nfault = "{kind}"\nat = 1\nlasts = 2\n{more}\n'
        for kind, more in (
            ("stop", 'door = "n0"'),
            ("cut", 'door = "n0"\nserver = "s-1"'),
            ("silence", 'server = "s-1"'),
            ("vanish", 'server = "s-1"'),
            ("drain", 'server = "s-1"'),
            ("discovery-down", ""),
            ("split", 'groups = [["n0"]]'),
            ("moved", 'door = "n0"\nshare = 0.5'),
            ("crowd", 'door = "n0"\nclients = 3'),
            ("slow", 'server = "s-1"\ntimes = 2'),
        )
    )
    steps = expand(sc.decode(HEADER + text), Random(1))
    assert [step.at_us for step in steps] == [1_000_000] * 10 + [3_000_000] * 10
    ends = {Verb.CONTINUE, Verb.JOIN, Verb.SPEAK, Verb.RETURN, Verb.UNDRAIN, Verb.DISCOVERY_UP, Verb.HEAL}
    assert ends <= {step.verb for step in steps[10:]}


def test_partial_fault_affects_equal_groups_over_time() -> None:
    text = 'fault = "end"\nat = 1\ndoor = "any"\npart = 0.5\nsteps = 5\nover = 10\nback-after = 1'
    scenario = sc.decode(f"doors = 40\n{fault(text)}", real=False)
    ends = [step for step in expand(scenario, Random(3)) if step.verb is Verb.END]
    assert len({step.door for step in ends}) == len(ends) == 20
    assert [step.at_us // 1_000_000 for step in ends] == [at for at in (1, 3, 5, 7, 9) for _ in range(4)]
    assert {step.door for step in ends} != {step.door for step in expand(scenario, Random(4))}


def test_zone_name_stands_for_all_its_members() -> None:
    text = 'fault = "cut"\nat = 1\nlasts = 2\ndoor = "plant-building"\nserver = "control-building"'
    steps = expand(sc.decode(fault(text)), Random(1))
    cut = {(step.door, step.server) for step in steps if step.verb is Verb.CUT}
    assert cut == {("n0", "s-2"), ("n0", "s-5")}
    text = 'fault = "replace"\nat = 1\nserver = "store-building"\npart = 0.5\ndrains = 2'
    drain, replace = expand(sc.decode(fault(text)), Random(1))
    assert (drain.verb, replace.verb, replace.at_us) == (Verb.DRAIN, Verb.REPLACE, 3_000_000)
    assert drain.server == replace.server and drain.server in ("s-3", "s-6")


INVALID = [
    (fault('fault = "kill"\nat = 1\ndoor = "any"\npart = 1.5'), "$.fault[0].part"),
    (fault('fault = "kill"\nat = 1\ndoor = "any"\nsteps = 0'), "$.fault[0].steps"),
    ("doors = 1\n" + fault('fault = "end"\nat = 1\ndoor = "store-building"'), "no door 'store-building'"),
    (
        "doors = 9\nservers = 64\n"
        + HEADER
        + 18 * ('[[fault]]\nfault = "cut"\nat = 1\nlasts = 1\ndoor = "any"\nserver = "any"\npart = 1\n'),
        "more than 20000 steps",
    ),
    (f'start-list = "none"\n{HEADER}', "$.start-list"),
    (fault('fault = "melt"\nat = 1'), "melt"),
    (fault('fault = "kill"\nat = 1\ndoor = "n7"'), "there is no door 'n7' - at `$.fault[0].door`"),
    (fault('fault = "vanish"\nat = 1\nlasts = 1\nserver = "s-9"'), "there is no server 's-9'"),
    (fault('fault = "kill"\nat = -1\ndoor = "n0"'), "$.fault[0].at"),
    (fault('fault = "kill"\nat = 1\ndoor = "n0"\nhow = "hard"'), "unknown field `how`"),
    (fault('fault = "kill"\nat = 1'), "`door`"),
    (fault('fault = "reset"\nat = 1\nlasts = 1\nserver = "s-1"\nshare = 1.5'), "$.fault[0].share"),
    (fault('fault = "split"\nat = 1\nlasts = 1\ngroups = [["n0"], ["n0"]]'), "two groups"),
    (fault('fault = "split"\nat = 1\nlasts = 1\ngroups = [["n9"]]'), "there is no door 'n9'"),
    (fault('fault = "cold-deploy"\nat = 1\nservers = 9\nevery = 1'), "only 6 servers"),
    ("seconds = 600\n" + HEADER + "[load]\nrate = 2000\n", "more than 200000 requests"),
    ("doors = 99\n" + HEADER, "$.doors"),
    (HEADER + "[load\n", "line"),
    ('title = "x"\n', "`name`"),
]


@pytest.mark.parametrize(("text", "reason"), INVALID)
def test_invalid_scenario_is_a_one_line_error(tmp_path: Path, text: str, reason: str) -> None:
    file = tmp_path / "bad.toml"
    file.write_text(text)
    with pytest.raises(scenario_files.ScenarioError) as caught:
        scenario_files.load(str(file))
    assert str(caught.value).startswith(f"{file}: ") and reason in str(caught.value)
    assert "\n" not in str(caught.value)


@pytest.mark.parametrize(
    "arguments",
    [
        ["--scenario", "melt"],
        ["--scenario", "none.toml"],
        ["--doors", "77"],
        ["--seconds", "-1"],
    ],
)
def test_demo_exits_with_2_and_one_line_for_invalid_input(arguments: list[str]) -> None:
    result = subprocess.run(
        [sys.executable, "-m", "molereach", "demo", "--json", *arguments],
        cwd=ROOT,
        capture_output=True,
        text=True,
        check=False,
        timeout=60,
    )
    assert result.returncode == 2 and result.stdout == ""
    assert result.stderr.startswith("molereach demo: ") and result.stderr.count("\n") == 1

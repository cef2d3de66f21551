"""Scenarios in virtual time: no violations, determinism, kills at each callback, planted defects."""

import json
import os
import subprocess
import sys
from pathlib import Path
from typing import Any

import pytest
from msgspec.structs import replace

from molereach.discovery.poll_backoff import PollBackoff
from rig import scenario as sc
from rig import scenario_files
from rig.audit.ledger import Outcome, Rule
from sim import swarm
from sim.run import Options, evaluate, shrink_failure
from sim.world import ClockSkew, run_scenario

ROOT = Path(__file__).parents[2]
NO_FAULTS = sc.Scenario("calm", "no fault", 3.0, 2, 3, sc.Load(40.0, impatient=0.0))


@pytest.mark.parametrize("name", list(scenario_files.shipped()))
def test_shipped_scenario_has_no_violations(name: str) -> None:
    result = run_scenario(scenario_files.load(name), 1)
    ledger = result.report.ledger
    assert result.ok, result.report.json()
    assert ledger.times_judged and ledger.requests > 1000 and ledger.counts[Outcome.SERVED] > 500
    assert (ledger.counts[Outcome.LOST_TO_KILL] > 0) == (name == "kill-a-door")


REDUCED_FLEET = {"doors": 20, "servers": 30, "load": {"rate": 120.0, "customers": 60, "set-doors": 20}}


def reduced_fleet(name: str) -> sc.Scenario:
    """A scenario of the full fleet at a smaller size; its faults affect fractions of the fleet."""
    return scenario_files.load(name, REDUCED_FLEET, real=False)


@pytest.mark.parametrize("name", scenario_files.SIMULATED_ONLY)
def test_large_fleet_has_no_violations(name: str) -> None:
    """Covers a mass restart, a rolling one with moved discovery, a partition with lost answers and resets, a
    lost zone that returns cold while another is cut off, and the replacement of most servers."""
    full_fleet = scenario_files.load(name, real=False)
    assert (full_fleet.doors, full_fleet.servers) == (200, 200)
    result = run_scenario(reduced_fleet(name), 1)
    ledger = result.report.ledger
    assert result.ok, result.report.json()
    assert ledger.unaccounted == 0 and ledger.times_judged and ledger.requests > 1500
    assert ledger.counts[Outcome.SERVED] > 0.65 * ledger.requests
    with pytest.raises(scenario_files.ScenarioError, match="only `molereach simulate` plays that"):
        scenario_files.load(name)


@pytest.mark.parametrize("name", ["mass-restart", "rolling-restart"])
def test_backoff_before_the_first_poll_breaks_drains(name: str, monkeypatch: pytest.MonkeyPatch) -> None:
    """A front door must poll its local agent at once after a start; a delayed first poll breaks drains in a
    large fleet."""
    monkeypatch.setattr(PollBackoff, "from_settings", lambda settings: PollBackoff(settings.proxy_count))
    ledger = run_scenario(reduced_fleet(name), 1).report.ledger
    assert ledger.rules_broken() == [Rule.DRAIN.value] and not ledger.unaccounted


DIGEST_SCRIPT = """
import sys
from rig import scenario_files
from sim.world import run_scenario
print(run_scenario(scenario_files.load("kill-a-door", {"seconds": 4.0}), int(sys.argv[1])).digest)
"""


def test_digest_depends_on_the_seed_and_not_on_the_hash_seed() -> None:
    def digest(seed: int, hash_seed: str) -> str:
        env = {**os.environ, "PYTHONHASHSEED": hash_seed}
        process = subprocess.run(
            [sys.executable, "-c", DIGEST_SCRIPT, str(seed)],
            cwd=ROOT,
            env=env,
            check=True,
            capture_output=True,
            text=True,
            timeout=120,
        )
        return process.stdout

    assert digest(5, "0") == digest(5, "12345") != digest(6, "0")


def test_digest_is_the_same_when_repeated_in_one_process() -> None:
    assert len({run_scenario(NO_FAULTS, 3).digest for _ in range(3)}) == 1
    assert run_scenario(NO_FAULTS, 3, shuffle=False).digest != run_scenario(NO_FAULTS, 3).digest


def test_kill_at_each_callback_of_a_request_causes_no_violation() -> None:
    """One front door serves a few requests and is killed at each callback in turn; every request has one
    outcome, and no command runs twice."""
    scenario = sc.Scenario("one", "one door", 1.0, 1, 2, sc.Load(6.0, 2, 0.0, 0.0))
    complete = run_scenario(scenario, 4, trace=True)
    door_lines = [line for line in complete.trace or () if " n0 " in line]
    first = next(number for number, line in enumerate(door_lines) if "attach" in line and number > 40)
    lost_to_kill = 0
    for number in range(first, min(first + 120, len(door_lines))):
        result = run_scenario(scenario, 4, kill_at={"n0": number})
        assert result.ok, (number, door_lines[number], result.report.json())
        lost_to_kill += result.report.ledger.counts[Outcome.LOST_TO_KILL]
        assert result.report.ledger.unaccounted == 0
    assert lost_to_kill > 0


def test_clock_skew_and_callback_cost_cause_no_violation() -> None:
    for seed in range(3):
        assert run_scenario(NO_FAULTS, seed, clock_skew=ClockSkew(3_000_000, 0.01)).ok
    with_cost = run_scenario(NO_FAULTS, 1, cost_us=200)
    without_cost = run_scenario(NO_FAULTS, 1)
    assert with_cost.ok and with_cost.report.doors[0].p50_ms > without_cost.report.doors[0].p50_ms


def test_overloaded_front_door_has_higher_latency() -> None:
    slow = run_scenario(replace(NO_FAULTS, load=sc.Load(60.0)), 2, cost_us=8000)
    assert (
        slow.report.doors[0].p50_ms
        > 3 * run_scenario(replace(NO_FAULTS, load=sc.Load(60.0)), 2).report.doors[0].p50_ms
    )


def test_startup_error_of_the_program_is_reported() -> None:
    async def fail_to_start(config: object) -> None:
        raise ZeroDivisionError("no way")

    result = None
    with pytest.raises(RuntimeError, match=r"n0 did not start: .*no way"):
        result = run_scenario(NO_FAULTS, 1, serve_with=fail_to_start)
    assert result is None


DEFECT_SCRIPT = """
import sys
import msgspec
from sim.run import Options, evaluate, plant_defect, scenario_for, shrink_failure
options = Options(seconds=20.0, broken=sys.argv[1])
plant_defect(sys.argv[1])
for seed in range(1, 41):
    verdict = evaluate(options, scenario_for(options, seed), seed)
    if sys.argv[2] in verdict.why:
        shrunk = shrink_failure(options, verdict, 30)
        print(msgspec.json.encode([seed, verdict.why, shrunk.faults, shrunk.line()]).decode())
        break
else:
    print("[0, [], [], '']")
"""


@pytest.mark.parametrize(
    ("mode", "rule"),
    [
        ("drop", "unaccounted"),
        ("twice", "no effect happens twice"),
    ],
)
def test_defective_front_door_is_detected_and_shrunk(mode: str, rule: str) -> None:
    """Random scenarios find the defect within 40 seeds; the benchmark covers the other modes."""
    process = subprocess.run(
        [sys.executable, "-c", DEFECT_SCRIPT, mode, rule],
        cwd=ROOT,
        check=True,
        capture_output=True,
        text=True,
        timeout=120,
    )
    seed, why, faults, line = json.loads(process.stdout)
    assert seed and rule in why and len(faults) <= 3, process.stdout
    reproduced = json.loads(line.partition("--scenario '")[2].rpartition("' --seeds")[0])
    assert len(reproduced["fault"]) == len(faults) and line.endswith(f"--seeds {seed}..{seed}")


# --- random scenarios and shrinking ---


def test_random_scenarios_are_valid_and_cover_all_faults() -> None:
    kinds: set[str] = set()
    for seed in range(200):
        scenario = swarm.draw_scenario(seed, 30.0)
        assert scenario == swarm.draw_scenario(seed, 30.0)
        sc.check_consistency(scenario)
        assert 3 <= scenario.doors <= 10 and 1 <= len(scenario.fault) <= swarm.MAX_FAULTS
        types = {type(fault) for fault in scenario.fault}
        kinds |= {fault_type.__name__ for fault_type in types}
        assert all(getattr(fault, "door", "n0") != sc.ANY for fault in scenario.fault)
    assert len(kinds) == len(swarm.FAULT_KINDS)


@pytest.mark.parametrize("needed", [set(), {3}, {0, 7}, {1, 4, 6}])
def test_shrinking_keeps_exactly_the_needed_faults(needed: set[int]) -> None:
    faults = tuple(sc.Reload(at=float(number), door="n0") for number in range(9))
    scenario = replace(NO_FAULTS, fault=faults)

    def fails(candidate: sc.Scenario) -> bool:
        return needed <= {int(fault.at) for fault in candidate.fault}

    shrunk, runs = swarm.shrink(scenario, fails)
    assert {int(fault.at) for fault in shrunk.fault} == needed and 0 < runs <= 60


def test_failing_scenario_is_shrunk(monkeypatch: pytest.MonkeyPatch) -> None:
    """The evaluation is replaced by one in which any scenario with a drain fails."""
    from sim import run as run_module

    def evaluate_drains(options: Options, scenario: sc.Scenario, seed: int) -> Any:  # noqa: ANN401
        without_faults = evaluate(Options(), NO_FAULTS, seed) if not scenario.fault else None
        has_drain = any(isinstance(fault, sc.Drain) for fault in scenario.fault)
        base = without_faults or evaluate(Options(), replace(NO_FAULTS, seconds=1.0), seed)
        return replace(base, ok=not has_drain, why=("drains are kept",) if has_drain else ())

    monkeypatch.setattr(run_module, "evaluate", evaluate_drains)
    faults = (
        sc.Reload(at=0.1, door="n0"),
        sc.Drain(at=0.2, server="s-1", lasts=0.3),
        sc.Kill(at=0.3, door="n1", back_after=0.2),
    )
    text = json.dumps({"name": "x", "title": "x", "seconds": 1.0, "doors": 2, "servers": 3})
    base = replace(NO_FAULTS, fault=faults)
    monkeypatch.setattr(run_module, "scenario_for", lambda options, seed: base)
    shrunk = shrink_failure(Options(text), evaluate_drains(Options(), base, 1))
    assert shrunk.faults == ["drain"] and shrunk.line().startswith("molereach simulate --scenario '{")


# --- the command ---


def simulate(*arguments: str) -> tuple[int, str, str]:
    process = subprocess.run(
        [sys.executable, "-m", "molereach", "simulate", *arguments],
        cwd=ROOT,
        check=False,
        capture_output=True,
        text=True,
        timeout=120,
    )
    return process.returncode, process.stdout, process.stderr


def test_command_runs_scenarios_and_reports_results(tmp_path: Path) -> None:
    trace = tmp_path / "trace"
    code, out, err = simulate(
        "--seeds", "1..3", "--seconds", "5", "--jobs", "2", "--json", "--trace", str(trace)
    )
    found = json.loads(out)
    assert code == 0 and not err and found["days"] == found["in_order"] == 3 and found["unaccounted"] == 0
    assert found["virtual_s"] == 15.0 and found["requests"] > 100
    lines = trace.read_text().splitlines()
    times = [int(line.split()[0]) for line in lines]
    assert len(lines) > 1000 and times == sorted(times)


@pytest.mark.parametrize(
    ("arguments", "reason"),
    [
        (["--seeds", "9..1"], "seeds"),
        (["--seeds", "x"], "is not A..B"),
        (["--scenario", "none"], "no scenario"),
        (["--scenario", "{}"], "name"),
        (["--seconds", "0"], "--seconds"),
        (["--fly"], "--fly"),
    ],
)
def test_bad_input_exits_with_2(arguments: list[str], reason: str) -> None:
    code, out, err = simulate(*arguments)
    assert code == 2 and reason in err and not out


def test_failure_exits_with_1_and_prints_a_command_that_reproduces_it() -> None:
    code, out, _ = simulate("--broken", "crash", "--seeds", "1..2", "--seconds", "8", "--jobs", "1")
    assert code == 1 and "again: molereach simulate --scenario '{" in out and "no request is lost" in out

"""Whole days in virtual time: in order, the same each time, kills at each callback, broken doors found."""

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
from sim.run import Options, judge, make_small
from sim.world import Clocks, play

ROOT = Path(__file__).parents[2]
CALM = sc.Scenario("calm", "no fault", 3.0, 2, 3, sc.Load(40.0, impatient=0.0))


@pytest.mark.parametrize("name", list(scenario_files.shipped()))
def test_shipped_scenario_is_in_order(name: str) -> None:
    played = play(scenario_files.load(name), 1)
    ledger = played.report.ledger
    assert played.ok, played.report.json()
    assert ledger.times_judged and ledger.requests > 1000 and ledger.counts[Outcome.SERVED] > 500
    assert (ledger.counts[Outcome.LOST_TO_KILL] > 0) == (name == "kill-a-door")


SHORT = {"doors": 20, "servers": 30, "load": {"rate": 120.0, "customers": 60, "set-doors": 20}}


def large(name: str) -> sc.Scenario:
    """A day of the full fleet in small: its faults befall parts of the fleet, whatever its size."""
    return scenario_files.load(name, SHORT, real=False)


@pytest.mark.parametrize("name", scenario_files.SIMULATED_ONLY)
def test_large_fleet_is_in_order(name: str) -> None:
    """A mass restart, a rolling one with discovery moved, a split with lost answers and resets, a zone lost
    and cold with another cut off, most servers replaced at once."""
    whole = scenario_files.load(name, real=False)
    assert (whole.doors, whole.servers) == (200, 200)
    played = play(large(name), 1)
    ledger = played.report.ledger
    assert played.ok, played.report.json()
    assert ledger.unaccounted == 0 and ledger.times_judged and ledger.requests > 1500
    assert ledger.counts[Outcome.SERVED] > 0.65 * ledger.requests
    with pytest.raises(scenario_files.ScenarioError, match="only `molereach simulate` plays that"):
        scenario_files.load(name)


@pytest.mark.parametrize("name", ["mass-restart", "rolling-restart"])
def test_front_doors_that_wait_with_their_first_call_break_drains(
    name: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """As before they asked the agent of their own machine at once: what the full fleet's trial failed on."""
    monkeypatch.setattr(PollBackoff, "from_settings", lambda settings: PollBackoff(settings.proxy_count))
    ledger = play(large(name), 1).report.ledger
    assert ledger.rules_broken() == [Rule.DRAIN.value] and not ledger.unaccounted


DIGEST = """
import sys
from rig import scenario_files
from sim.world import play
print(play(scenario_files.load("kill-a-door", {"seconds": 4.0}), int(sys.argv[1])).digest)
"""


def test_same_seed_is_the_same_to_the_byte_under_any_hash_seed() -> None:
    def digest(seed: int, hash_seed: str) -> str:
        env = {**os.environ, "PYTHONHASHSEED": hash_seed}
        done = subprocess.run(
            [sys.executable, "-c", DIGEST, str(seed)],
            cwd=ROOT,
            env=env,
            check=True,
            capture_output=True,
            text=True,
            timeout=120,
        )
        return done.stdout

    assert digest(5, "0") == digest(5, "12345") != digest(6, "0")


def test_second_day_in_a_process_is_as_the_first() -> None:
    assert len({play(CALM, 3).digest for _ in range(3)}) == 1
    assert play(CALM, 3, shuffle=False).digest != play(CALM, 3).digest


def test_kill_at_each_callback_of_a_requests_life_is_in_order() -> None:
    """One front door serves a handful of requests; whichever callback it is killed at, each has one outcome,
    and nothing runs twice."""
    day = sc.Scenario("one", "one door", 1.0, 1, 2, sc.Load(6.0, 2, 0.0, 0.0))
    whole = play(day, 4, trace=True)
    own = [line for line in whole.trace or () if " n0 " in line]
    first = next(number for number, line in enumerate(own) if "attach" in line and number > 40)
    lost = 0
    for number in range(first, min(first + 120, len(own))):
        played = play(day, 4, kill_at={"n0": number})
        assert played.ok, (number, own[number], played.report.json())
        lost += played.report.ledger.counts[Outcome.LOST_TO_KILL]
        assert played.report.ledger.unaccounted == 0
    assert lost > 0


def test_front_doors_with_clocks_apart_and_costs_are_in_order() -> None:
    for seed in range(3):
        assert play(CALM, seed, clocks=Clocks(3_000_000, 0.01)).ok
    busy = play(CALM, 1, cost_us=200)
    quick = play(CALM, 1)
    assert busy.ok and busy.report.doors[0].p50_ms > quick.report.doors[0].p50_ms


def test_front_door_that_is_overloaded_is_late_in_simulation_too() -> None:
    slow = play(replace(CALM, load=sc.Load(60.0)), 2, cost_us=8000)
    assert slow.report.doors[0].p50_ms > 3 * play(replace(CALM, load=sc.Load(60.0)), 2).report.doors[0].p50_ms


def test_fault_of_the_programs_is_told_with_its_traceback() -> None:
    async def fails(config: object) -> None:
        raise ZeroDivisionError("no way")

    played = None
    with pytest.raises(RuntimeError, match=r"n0 did not start: .*no way"):
        played = play(CALM, 1, serve_with=fails)
    assert played is None


BROKEN = """
import sys
import msgspec
from sim.run import Options, judge, day_of, make_small
options = Options(seconds=20.0, broken=sys.argv[1])
from sim.run import break_once
break_once(sys.argv[1])
for seed in range(1, 41):
    verdict = judge(options, day_of(options, seed), seed)
    if sys.argv[2] in verdict.why:
        small = make_small(options, verdict, 30)
        print(msgspec.json.encode([seed, verdict.why, small.faults, small.line()]).decode())
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
def test_broken_front_door_is_found_and_made_small(mode: str, rule: str) -> None:
    """By random days, without being told where to look. The benchmark finds the others, and has time."""
    done = subprocess.run(
        [sys.executable, "-c", BROKEN, mode, rule],
        cwd=ROOT,
        check=True,
        capture_output=True,
        text=True,
        timeout=120,
    )
    seed, why, faults, line = json.loads(done.stdout)
    assert seed and rule in why and len(faults) <= 3, done.stdout
    again = json.loads(line.partition("--scenario '")[2].rpartition("' --seeds")[0])
    assert len(again["fault"]) == len(faults) and line.endswith(f"--seeds {seed}..{seed}")


# --- random days, and making them small ---


def test_random_days_differ_and_are_what_a_scenario_may_be() -> None:
    kinds: set[str] = set()
    for seed in range(200):
        day = swarm.draw(seed, 30.0)
        assert day == swarm.draw(seed, 30.0)
        sc.check_consistency(day)
        assert 3 <= day.doors <= 10 and 1 <= len(day.fault) <= swarm.MOST_FAULTS
        names = {type(fault) for fault in day.fault}
        kinds |= {each.__name__ for each in names}
        assert all(getattr(fault, "door", "n0") != sc.ANY for fault in day.fault)
    assert len(kinds) == len(swarm.KINDS)


@pytest.mark.parametrize("needed", [set(), {3}, {0, 7}, {1, 4, 6}])
def test_shrinking_keeps_what_is_needed_and_nothing_else(needed: set[int]) -> None:
    faults = tuple(sc.Reload(at=float(number), door="n0") for number in range(9))
    day = replace(CALM, fault=faults)

    def fails(smaller: sc.Scenario) -> bool:
        return needed <= {int(fault.at) for fault in smaller.fault}

    small, runs = swarm.shrink(day, fails)
    assert {int(fault.at) for fault in small.fault} == needed and 0 < runs <= 60


def test_day_that_fails_is_made_small(monkeypatch: pytest.MonkeyPatch) -> None:
    """The auditor is told of a drain as if it had never been allowed to send: any day with one fails."""
    from sim import run as module

    def verdict(options: Options, day: sc.Scenario, seed: int) -> Any:  # noqa: ANN401
        found = judge(Options(), CALM, seed) if not day.fault else None
        bad = any(isinstance(fault, sc.Drain) for fault in day.fault)
        base = found or judge(Options(), replace(CALM, seconds=1.0), seed)
        return replace(base, ok=not bad, why=("drains are kept",) if bad else ())

    monkeypatch.setattr(module, "judge", verdict)
    faults = (
        sc.Reload(at=0.1, door="n0"),
        sc.Drain(at=0.2, server="s-1", lasts=0.3),
        sc.Kill(at=0.3, door="n1", back_after=0.2),
    )
    text = json.dumps({"name": "x", "title": "x", "seconds": 1.0, "doors": 2, "servers": 3})
    base = replace(CALM, fault=faults)
    monkeypatch.setattr(module, "day_of", lambda options, seed: base)
    small = make_small(Options(text), verdict(Options(), base, 1))
    assert small.faults == ["drain"] and small.line().startswith("molereach simulate --scenario '{")


# --- the command ---


def simulate(*arguments: str) -> tuple[int, str, str]:
    done = subprocess.run(
        [sys.executable, "-m", "molereach", "simulate", *arguments],
        cwd=ROOT,
        check=False,
        capture_output=True,
        text=True,
        timeout=120,
    )
    return done.returncode, done.stdout, done.stderr


def test_command_plays_days_and_says_what_became_of_them(tmp_path: Path) -> None:
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
def test_bad_input_is_2(arguments: list[str], reason: str) -> None:
    code, out, err = simulate(*arguments)
    assert code == 2 and reason in err and not out


def test_broken_day_is_1_with_a_line_that_plays_it_again() -> None:
    code, out, _ = simulate("--broken", "crash", "--seeds", "1..2", "--seconds", "8", "--jobs", "1")
    assert code == 1 and "again: molereach simulate --scenario '{" in out and "no request is lost" in out

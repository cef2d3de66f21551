"""Runs and judges many scenarios in parallel processes, and shrinks a failing one."""

import importlib
import json
import multiprocessing
from collections.abc import Iterator
from concurrent.futures import FIRST_COMPLETED, Future, ProcessPoolExecutor, wait
from dataclasses import dataclass, field

import msgspec

from rig import scenario as sc
from sim import swarm
from sim.loop import SimulationError
from sim.world import ClockSkew, run_scenario

RUNS_PER_PROCESS = 40  # a process is then replaced, which frees what its simulations leave behind
MAX_LINES = 3
JOBS_CONTEXT = "forkserver"  # workers inherit no open files or threads of the parent


class Verdict(msgspec.Struct, frozen=True):
    """Outcome of a scenario."""

    seed: int
    ok: bool
    why: tuple[str, ...]  # broken rules and other reasons of the failure
    lines: tuple[str, ...]  # the first few findings
    requests: int
    unaccounted: int
    seconds: float  # virtual time
    callbacks: int
    digest: str
    faults: tuple[str, ...]


class Options(msgspec.Struct, frozen=True):
    """Settings of a simulation."""

    scenario: str = ""  # JSON; empty draws a random scenario for each seed
    seconds: float = 60.0
    cost_us: int = 0
    skew_ms: int = 0
    drift: float = 0.0
    broken: str = ""  # a mode of `rig.broken`
    shuffle: bool = True
    limits: bool = False  # front doors have `[limits]`


def scenario_for(options: Options, seed: int) -> sc.Scenario:
    """The given scenario, or the random one of the seed."""
    if options.scenario:
        return msgspec.json.decode(options.scenario, type=sc.Scenario)
    return swarm.draw_scenario(seed, options.seconds)


def evaluate(options: Options, scenario: sc.Scenario, seed: int) -> Verdict:
    """Run a scenario and judge its report."""
    names = tuple(type(fault).__name__.lower() for fault in scenario.fault)
    try:
        result = run_scenario(
            scenario,
            seed,
            shuffle=options.shuffle,
            cost_us=options.cost_us,
            clock_skew=ClockSkew(options.skew_ms * 1000, options.drift),
            limits=options.limits,
        )
    except SimulationError as error:
        return Verdict(seed, False, ("the simulation",), (str(error),), 0, 0, scenario.seconds, 0, "", names)
    ledger = result.report.ledger
    why = ledger.rules_broken()
    why += ["unaccounted"] if ledger.unaccounted else []
    why += ["no verdict on times"] if not ledger.times_judged else []
    why += ["trouble in the rig"] if result.report.trouble else []
    why += ["a traceback"] if result.tracebacks else []
    why += ["the loop's own handler"] if result.unhandled_errors else []
    lines = [violation.line() for violation in ledger.broken[:MAX_LINES]]
    lines += [*result.report.trouble[:MAX_LINES], *result.unhandled_errors[:MAX_LINES]]
    return Verdict(
        seed,
        not why,
        tuple(why),
        tuple(lines),
        ledger.requests,
        ledger.unaccounted,
        scenario.seconds,
        result.callbacks,
        result.digest,
        names,
    )


def run_seed(text: str, seed: int) -> bytes:
    """Run one seed in a worker process; its options and verdict are JSON."""
    options = msgspec.json.decode(text, type=Options)
    if options.broken:
        plant_defect(options.broken)
    return msgspec.json.encode(evaluate(options, scenario_for(options, seed), seed))


_planted: list[str] = []


def plant_defect(mode: str) -> None:
    """Plant a defect in the front doors of this process; later calls do nothing."""
    if not _planted:
        _planted.append(mode)
        importlib.import_module("rig.broken").MODES[mode]()


def run_seeds(options: Options, seeds: range, jobs: int, hours: float = 0.0) -> Iterator[Verdict]:
    """Verdicts as they complete; with `hours`, seeds are submitted up to that much virtual time."""
    text = msgspec.json.encode(options).decode()
    context = multiprocessing.get_context(JOBS_CONTEXT)
    remaining, virtual_s = iter(seeds), 0.0
    with ProcessPoolExecutor(jobs, context, max_tasks_per_child=RUNS_PER_PROCESS) as pool:
        running: set[Future[bytes]] = set()
        try:
            while True:
                while len(running) < 2 * jobs and (not hours or virtual_s < hours * 3600):
                    seed = next(remaining, None)
                    if seed is None:
                        break
                    running.add(pool.submit(run_seed, text, seed))
                    virtual_s += scenario_for(options, seed).seconds
                if not running:
                    return
                done, running = wait(running, return_when=FIRST_COMPLETED)
                for future in done:
                    yield msgspec.json.decode(future.result(), type=Verdict)
        finally:
            for future in running:
                future.cancel()


@dataclass(slots=True)
class ShrunkFailure:
    """A failing scenario reduced to few faults."""

    scenario: sc.Scenario
    verdict: Verdict
    runs: int
    faults: list[str] = field(default_factory=list)

    def line(self) -> str:
        """The command that reproduces the failure."""
        text = json.dumps(msgspec.to_builtins(self.scenario), separators=(",", ":"))
        return f"molereach simulate --scenario '{text}' --seeds {self.verdict.seed}..{self.verdict.seed}"


def shrink_failure(options: Options, failed: Verdict, max_runs: int = 60) -> ShrunkFailure:
    """Remove faults while at least one of the original failure reasons remains."""
    reasons = set(failed.why)
    smallest = failed

    def fails(scenario: sc.Scenario) -> bool:
        nonlocal smallest
        verdict = evaluate(options, scenario, failed.seed)
        if reasons & set(verdict.why):
            smallest = verdict
            return True
        return False

    if options.broken:
        plant_defect(options.broken)
    scenario, runs = swarm.shrink(scenario_for(options, failed.seed), fails, max_runs)
    return ShrunkFailure(scenario, smallest, runs, [type(fault).__name__.lower() for fault in scenario.fault])

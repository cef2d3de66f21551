"""Many days over the machine's cores: played, judged, and the first that fails made small."""

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
from sim.world import Clocks, play

DAYS_A_PROCESS = 40  # then a new one: what a world leaves behind goes with it
MOST_LINES = 3
JOBS_CONTEXT = "forkserver"  # workers start clean, whatever the parent has open


class Verdict(msgspec.Struct, frozen=True):
    """What became of a day."""

    seed: int
    ok: bool
    why: tuple[str, ...]  # rules that were broken, or what else went wrong
    lines: tuple[str, ...]  # findings, a few
    requests: int
    unaccounted: int
    seconds: float  # virtual
    callbacks: int
    digest: str
    faults: tuple[str, ...]


class Options(msgspec.Struct, frozen=True):
    """How days are played."""

    scenario: str = ""  # JSON; empty: a random one for each seed
    seconds: float = 60.0
    cost_us: int = 0
    skew_ms: int = 0
    drift: float = 0.0
    broken: str = ""  # one of `rig.broken`'s ways
    shuffle: bool = True
    limits: bool = False  # front doors with `[limits]`


def day_of(options: Options, seed: int) -> sc.Scenario:
    if options.scenario:
        return msgspec.json.decode(options.scenario, type=sc.Scenario)
    return swarm.draw(seed, options.seconds)


def judge(options: Options, day: sc.Scenario, seed: int) -> Verdict:
    """Play a day and say what became of it."""
    names = tuple(type(fault).__name__.lower() for fault in day.fault)
    try:
        played = play(
            day,
            seed,
            shuffle=options.shuffle,
            cost_us=options.cost_us,
            clocks=Clocks(options.skew_ms * 1000, options.drift),
            limits=options.limits,
        )
    except SimulationError as error:
        return Verdict(seed, False, ("the simulation",), (str(error),), 0, 0, day.seconds, 0, "", names)
    ledger = played.report.ledger
    why = ledger.rules_broken()
    why += ["unaccounted"] if ledger.unaccounted else []
    why += ["no verdict on times"] if not ledger.times_judged else []
    why += ["trouble in the rig"] if played.report.trouble else []
    why += ["a traceback"] if played.tracebacks else []
    why += ["the loop's own handler"] if played.troubles else []
    lines = [broken.line() for broken in ledger.broken[:MOST_LINES]]
    lines += [*played.report.trouble[:MOST_LINES], *played.troubles[:MOST_LINES]]
    return Verdict(
        seed,
        not why,
        tuple(why),
        tuple(lines),
        ledger.requests,
        ledger.unaccounted,
        day.seconds,
        played.callbacks,
        played.digest,
        names,
    )


def play_one(text: str, seed: int) -> bytes:
    """In a process of its own: one day."""
    options = msgspec.json.decode(text, type=Options)
    if options.broken:
        break_once(options.broken)
    return msgspec.json.encode(judge(options, day_of(options, seed), seed))


_broken: list[str] = []


def break_once(mode: str) -> None:
    """The front doors of this process have one fault from now on."""
    if not _broken:
        _broken.append(mode)
        importlib.import_module("rig.broken").MODES[mode]()


def play_many(options: Options, seeds: range, jobs: int, hours: float = 0.0) -> Iterator[Verdict]:
    """Days as they end, in any order; with `hours`, seeds are taken until so much virtual time was played."""
    text = msgspec.json.encode(options).decode()
    context = multiprocessing.get_context(JOBS_CONTEXT)
    left, virtual_s = iter(seeds), 0.0
    with ProcessPoolExecutor(jobs, context, max_tasks_per_child=DAYS_A_PROCESS) as pool:
        running: set[Future[bytes]] = set()
        try:
            while True:
                while len(running) < 2 * jobs and (not hours or virtual_s < hours * 3600):
                    seed = next(left, None)
                    if seed is None:
                        break
                    running.add(pool.submit(play_one, text, seed))
                    virtual_s += day_of(options, seed).seconds
                if not running:
                    return
                done, running = wait(running, return_when=FIRST_COMPLETED)
                for each in done:
                    yield msgspec.json.decode(each.result(), type=Verdict)
        finally:
            for each in running:
                each.cancel()


@dataclass(slots=True)
class Small:
    """A failing day made small."""

    day: sc.Scenario
    verdict: Verdict
    runs: int
    faults: list[str] = field(default_factory=list)

    def line(self) -> str:
        """What plays it again."""
        text = json.dumps(msgspec.to_builtins(self.day), separators=(",", ":"))
        return f"molereach simulate --scenario '{text}' --seeds {self.verdict.seed}..{self.verdict.seed}"


def make_small(options: Options, failed: Verdict, most_runs: int = 60) -> Small:
    """Leave out faults for as long as the same goes wrong."""
    wanted = set(failed.why)
    best = failed

    def fails(day: sc.Scenario) -> bool:
        nonlocal best
        verdict = judge(options, day, failed.seed)
        if wanted & set(verdict.why):
            best = verdict
            return True
        return False

    if options.broken:
        break_once(options.broken)
    day, runs = swarm.shrink(day_of(options, failed.seed), fails, most_runs)
    return Small(day, best, runs, [type(fault).__name__.lower() for fault in day.fault])

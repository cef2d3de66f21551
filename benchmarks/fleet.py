"""Orders: killed doors, time to the last door's word, status of 200 agents, and what control costs a door."""

import asyncio
import contextlib
import statistics
import subprocess
import sys
import tempfile
import time
from collections.abc import AsyncIterator, Awaitable, Callable
from pathlib import Path

import uvloop

from benchmarks.door import Instant, Loop, cost, start_door
from benchmarks.result import Result, quantile
from molereach.fleet.agent.link import ProxyConnection
from molereach.fleet.api_bodies import Status
from molereach.fleet.cli.client import CallError, Fleet
from molereach.fleet.orders import Verb
from molereach.fleet.rollout.report import Verdict
from molereach.fleet.settings import FleetFile, load
from rig.clock import now_us
from rig.doors import FRONT_DOOR, Door, die_with_parent
from rig.fleet import FleetRig
from rig.orders import STEPS, Trial, draft, give, kill_at, scenario
from rig.sockets import Listener, own_host, reserve
from rig.world.world import World

TRIALS, QUICK_TRIALS, TRIALS_AT_ONCE = 20, 1, 1  # one after another: the rig judges times
ORDERS, QUICK_ORDERS = 60, 8
AGENTS, PER_PROCESS = 200, 50
STATUS_ROUNDS, BIG_ORDERS, QUICK_BIG_ORDERS = 5, 10, 2
COST_PAIRS, QUICK_COST_PAIRS = 14, 2  # of processes: each has a speed of its own by its layout in memory
COST_ROUNDS, QUICK_COST_ROUNDS = 16, 12
COST_REQUESTS = 320
BEAT_S = 0.3  # as an agent asks
SERVERS = 50


async def trials(count: int, seed: int, say: Callable[[str], None]) -> list[Trial]:
    """A front door killed at each step in turn, with load; some side by side."""
    places, done = asyncio.Semaphore(TRIALS_AT_ONCE), []

    async def one(number: int) -> None:
        async with places:
            trial = await kill_at(STEPS[number % len(STEPS)], seed + number)
            done.append(trial)
            late = "" if trial.world.ledger.times_judged else "; the rig was late"
            outcome = "in order" if trial.ok else f"NOT in order: {trial.wrong}{late}"
            say(f"killed at '{trial.step}': {trial.report.verdict.value}, {outcome}")

    await asyncio.gather(*(one(number) for number in range(count)))
    return done


async def orders_under_traffic(count: int, seed: int) -> list[float]:
    """Milliseconds from giving an order to the last of five front doors' confirmation."""
    with tempfile.TemporaryDirectory() as folder:
        world = World(scenario(5, 4.0 + count * 0.25), seed)
        rig, ready = FleetRig(Path(folder), world.host, world.doors), asyncio.Event()
        try:
            await rig.start()
            day = asyncio.get_running_loop().create_task(world.run(ready.set))
            await ready.wait()
            async with Fleet(rig.file, load(rig.file, FleetFile)) as fleet:
                found = await timed_orders(fleet, count)
            day.cancel()
            await asyncio.gather(day, return_exceptions=True)
        finally:
            world.close()
            rig.close()
        return found


async def timed_orders(fleet: Fleet, count: int) -> list[float]:
    """Drains and undrains in turn; an order that is not done everywhere counts as for ever."""
    found = []
    for number in range(count):
        verb = (Verb.DRAIN, Verb.UNDRAIN)[number % 2]
        begun = now_us()
        report = await give(fleet, draft(f"o{number}", verb))
        found.append((now_us() - begun) / 1000 if report.verdict is Verdict.DONE else float("inf"))
    return found


async def many_agents(orders: int, say: Callable[[str], None]) -> dict[str, float]:
    """200 agents in processes of 50: a status of all, and orders."""
    with tempfile.TemporaryDirectory() as name, contextlib.ExitStack() as stack:
        folder, host = Path(name), own_host()
        held = [reserve(host) for _ in range(AGENTS)]
        lines = ['token = "token"', "timeout-s = 30.0", "agree-s = 60.0", "confirm-s = 60.0"]
        for number, (holder, address) in enumerate(held):
            stack.callback(holder.close)
            lines += [
                "[[agents]]",
                f'name = "a{number}"',
                'url = "http://{}:{}"'.format(*address),
                f'doors = ["n{number}"]',
            ]
        file = folder / "fleet.toml"
        file.write_text("\n".join(lines))
        (folder / "token").touch(0o600)
        (folder / "token").write_text("benchmark-token-0001")
        processes = [
            stack.enter_context(
                subprocess.Popen(
                    [sys.executable, "-m", "benchmarks.agents", str(file), str(first), str(PER_PROCESS)],
                    stdin=subprocess.PIPE,
                    stdout=subprocess.PIPE,
                    preexec_fn=die_with_parent(),
                )
            )
            for first in range(0, AGENTS, PER_PROCESS)
        ]
        try:
            for process in processes:
                assert process.stdout is not None
                await asyncio.to_thread(process.stdout.readline)
            say(f"{AGENTS} agents answer")
            async with Fleet(file, load(file, FleetFile)) as fleet:
                found = await timed_orders(fleet, orders)
                warm = [await timed_status(fleet) for _ in range(STATUS_ROUNDS)]
            first = [await fresh_status(file) for _ in range(STATUS_ROUNDS)]
        finally:
            for process in processes:
                assert process.stdin is not None
                process.stdin.close()
                process.wait()
        return {
            "status_200_s": round(statistics.median(first), 3),
            "status_200_again_s": round(statistics.median(warm), 3),
            "order_200_p50_s": round(quantile(found, 0.5) / 1000, 2),
            "order_200_p99_s": round(quantile(found, 0.99) / 1000, 2),
        }


async def fresh_status(file: Path) -> float:
    """Seconds for the state of all agents with connections that are made for it, as the command's are."""
    begun = time.monotonic()
    async with Fleet(file, load(file, FleetFile), http1=True) as fleet:
        failed = await timed_status(fleet) == float("inf")
    return float("inf") if failed else time.monotonic() - begun


async def timed_status(fleet: Fleet) -> float:
    """Seconds for the state of all agents; inf where one did not answer."""
    begun = time.monotonic()
    found = await fleet.call_all("/v1/status", Status)
    failed = any(isinstance(each, CallError) for each in found.values())
    return float("inf") if failed else time.monotonic() - begun


@contextlib.asynccontextmanager
async def watched(path: Path) -> AsyncIterator[None]:
    """What an agent asks of a front door: its news, and its state again and again."""
    link = ProxyConnection(lambda state: None, lambda why: None)
    await link.open(path)
    await link.request("watch")

    async def beat() -> None:
        while True:
            await link.request("state")
            await asyncio.sleep(BEAT_S)

    task = asyncio.get_running_loop().create_task(beat())
    try:
        yield
        assert not task.done(), "the watcher was dropped"
    finally:
        task.cancel()
        await link.close()


async def control_cost(pairs: int, rounds: int) -> dict[str, float]:
    """CPU for a request and memory of a front door with control and a watcher, against one without.

    Medians over pairs of fresh processes. Two equal processes are up to 10% apart by their layout in memory,
    so what a watcher costs is also measured within one process, with it and without it in turn.
    """
    found = [await one_pair(rounds) for _ in range(pairs)]
    return {name: round(statistics.median(each[name] for each in found), 2) for name in found[0]}


async def one_pair(rounds: int) -> dict[str, float]:
    """Two processes, measured in turn: off, control with a watcher, control without one."""
    with tempfile.TemporaryDirectory() as name:
        host, loop, socket = own_host(), Loop(), Path(name) / "n0.sock"
        operator = Path(name) / "operator.toml"
        operator.write_text(f'[control]\nsocket = "{socket}"\n')
        backend = Listener(host, Instant)
        off, off_agent = await start_door(host, SERVERS, backend.address)
        on, on_agent = await start_door(
            host, SERVERS, backend.address, (*FRONT_DOOR, "--operator", str(operator))
        )
        taken: dict[str, list[float]] = {"off": [], "on": [], "idle": []}

        async def measure_door(which: str, door: Door) -> None:
            assert door.process is not None
            taken[which].append((await cost(loop, door.process.pid, door.address, COST_REQUESTS))[0])

        async def measure_watched() -> None:
            async with watched(socket):
                await measure_door("on", on)

        try:
            for door in (off, on):
                await loop.run(door.address, 320)
            for number in range(rounds):
                for which in ("off", "on", "idle") if number % 2 else ("idle", "on", "off"):
                    if which == "on":
                        await measure_watched()
                    else:
                        await measure_door(which, off if which == "off" else on)
            memory = (on.usage()[1] - off.usage()[1]) / (1 << 20)
        finally:
            for door, agent in ((off, off_agent), (on, on_agent)):
                await door.finish()
                door.close()
                agent.close()
            backend.end()

    def more(one: str, other: str) -> float:
        pairs = zip(taken[one], taken[other], strict=True)
        return 100 * statistics.median(first / second - 1 for first, second in pairs)

    return {
        "control_cpu_more_percent": more("on", "off"),
        "watcher_cpu_more_percent": more("on", "idle"),
        "control_off_us": statistics.median(taken["off"]),
        "control_memory_more_mb": memory,
    }


async def everything(quick: bool, seed: int, progress: bool) -> Result:
    def say(text: str) -> None:
        if progress:
            print(text, file=sys.stderr)

    async def step(text: str, job: Awaitable[dict[str, float]]) -> dict[str, float]:
        found = await job
        say(f"{text}: {found}")
        return found

    figures = await step(
        "control",
        control_cost(*((QUICK_COST_PAIRS, QUICK_COST_ROUNDS) if quick else (COST_PAIRS, COST_ROUNDS))),
    )
    times = await orders_under_traffic(QUICK_ORDERS if quick else ORDERS, seed)
    figures |= {
        "order_5_p50_ms": round(quantile(times, 0.5), 1),
        "order_5_p99_ms": round(quantile(times, 0.99), 1),
    }
    figures |= await step("agents", many_agents(QUICK_BIG_ORDERS if quick else BIG_ORDERS, say))
    done = await trials(QUICK_TRIALS if quick else TRIALS, seed, say)
    figures |= {
        "trials": float(len(done)),
        "trials_true": float(sum(not trial.wrong for trial in done)),
        "requests": float(sum(trial.world.ledger.requests for trial in done)),
        "unaccounted": float(sum(trial.world.ledger.unaccounted for trial in done)),
        "rules_broken": float(sum(len(trial.world.ledger.rules_broken()) for trial in done)),
        "tracebacks": float(sum(trial.tracebacks for trial in done)),
        "last_request_after_drain_ms": round(max(trial.late_us for trial in done) / 1000, 1),
        "rig_late_ms": round(max(trial.world.ledger.late_us for trial in done) / 1000, 1),
    }
    aims = {
        "trials_true": float(len(done)),
        "most_unaccounted": 0.0,
        "most_rules_broken": 0.0,
        "most_tracebacks": 0.0,
        "most_last_request_after_drain_ms": 1000.0,
        "most_status_200_s": 1.0,
        "most_watcher_cpu_more_percent": 2.0,
        "most_control_memory_more_mb": 3.0,
        "most_order_5_p99_ms": 1000.0,
    }
    rows = [
        {
            "step": trial.step,
            "seed": trial.seed,
            "verdict": trial.report.verdict.value,
            "wrong": trial.wrong,
            "broken": trial.world.ledger.rules_broken(),
        }
        for trial in done
    ]
    return Result("fleet", seed, aims, figures, {"trials": rows})


def measure(quick: bool, seed: int, progress: bool) -> Result:
    """Aims as the issue has them; a second from an order to the last door's word is the tool's own."""
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        return runner.run(everything(quick, seed, progress))

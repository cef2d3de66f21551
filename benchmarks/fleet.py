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

from benchmarks.door import ClosedLoopClients, ImmediateServer, cpu_per_request_us, start_door
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

TRIALS, QUICK_TRIALS, PARALLEL_TRIALS = 20, 1, 1  # sequential: the rig checks times
ORDERS, QUICK_ORDERS = 60, 8
AGENTS, PER_PROCESS = 200, 50
STATUS_ROUNDS, BIG_ORDERS, QUICK_BIG_ORDERS = 5, 10, 2
COST_PAIRS, QUICK_COST_PAIRS = 14, 2  # pairs of processes: memory layout makes each process's speed differ
COST_ROUNDS, QUICK_COST_ROUNDS = 16, 12
COST_REQUESTS = 320
POLL_INTERVAL_S = 0.3  # an agent's polling interval
SERVERS = 50


async def run_trials(count: int, seed: int, say: Callable[[str], None]) -> list[Trial]:
    """Kill a front door at each step of an order in turn, under load."""
    slots, done = asyncio.Semaphore(PARALLEL_TRIALS), []

    async def run(number: int) -> None:
        async with slots:
            trial = await kill_at(STEPS[number % len(STEPS)], seed + number)
            done.append(trial)
            late = "" if trial.world.ledger.times_judged else "; the rig was late"
            outcome = "in order" if trial.ok else f"NOT in order: {trial.wrong}{late}"
            say(f"killed at '{trial.step}': {trial.report.verdict.value}, {outcome}")

    await asyncio.gather(*(run(number) for number in range(count)))
    return done


async def order_times_under_traffic(count: int, seed: int) -> list[float]:
    """Return the milliseconds from giving an order until the last of five front doors confirms it."""
    with tempfile.TemporaryDirectory() as folder:
        world = World(scenario(5, 4.0 + count * 0.25), seed)
        rig, ready = FleetRig(Path(folder), world.host, world.doors), asyncio.Event()
        try:
            await rig.start()
            run = asyncio.get_running_loop().create_task(world.run(ready.set))
            await ready.wait()
            async with Fleet(rig.file, load(rig.file, FleetFile)) as fleet:
                times_ms = await order_times_ms(fleet, count)
            run.cancel()
            await asyncio.gather(run, return_exceptions=True)
        finally:
            world.close()
            rig.close()
        return times_ms


async def order_times_ms(fleet: Fleet, count: int) -> list[float]:
    """Drain and undrain in turn; an order that is not done everywhere counts as infinite."""
    times_ms = []
    for number in range(count):
        verb = (Verb.DRAIN, Verb.UNDRAIN)[number % 2]
        started_us = now_us()
        report = await give(fleet, draft(f"o{number}", verb))
        times_ms.append((now_us() - started_us) / 1000 if report.verdict is Verdict.DONE else float("inf"))
    return times_ms


async def measure_many_agents(orders: int, say: Callable[[str], None]) -> dict[str, float]:
    """Measure the status of all 200 agents, in processes of 50, and orders to them."""
    with tempfile.TemporaryDirectory() as name, contextlib.ExitStack() as stack:
        folder, host = Path(name), own_host()
        reserved = [reserve(host) for _ in range(AGENTS)]
        lines = ['token = "token"', "timeout-s = 30.0", "agree-s = 60.0", "confirm-s = 60.0"]
        for number, (holder, address) in enumerate(reserved):
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
                    [sys.executable, "-m", "benchmarks.agents", str(file), str(offset), str(PER_PROCESS)],
                    stdin=subprocess.PIPE,
                    stdout=subprocess.PIPE,
                    preexec_fn=die_with_parent(),
                )
            )
            for offset in range(0, AGENTS, PER_PROCESS)
        ]
        try:
            for process in processes:
                assert process.stdout is not None
                await asyncio.to_thread(process.stdout.readline)
            say(f"{AGENTS} agents answer")
            async with Fleet(file, load(file, FleetFile)) as fleet:
                times_ms = await order_times_ms(fleet, orders)
                reused_s = [await status_s(fleet) for _ in range(STATUS_ROUNDS)]
            new_s = [await new_connection_status_s(file) for _ in range(STATUS_ROUNDS)]
        finally:
            for process in processes:
                assert process.stdin is not None
                process.stdin.close()
                process.wait()
        return {
            "status_200_s": round(statistics.median(new_s), 3),
            "status_200_again_s": round(statistics.median(reused_s), 3),
            "order_200_p50_s": round(quantile(times_ms, 0.5) / 1000, 2),
            "order_200_p99_s": round(quantile(times_ms, 0.99) / 1000, 2),
        }


async def new_connection_status_s(file: Path) -> float:
    """Return the seconds for the state of all agents over new connections, as the command line uses them."""
    started_s = time.monotonic()
    async with Fleet(file, load(file, FleetFile), http1=True) as fleet:
        failed = await status_s(fleet) == float("inf")
    return float("inf") if failed else time.monotonic() - started_s


async def status_s(fleet: Fleet) -> float:
    """Return the seconds for the state of all agents; infinite if one did not answer."""
    started_s = time.monotonic()
    answers = await fleet.call_all("/v1/status", Status)
    failed = any(isinstance(answer, CallError) for answer in answers.values())
    return float("inf") if failed else time.monotonic() - started_s


@contextlib.asynccontextmanager
async def polling_agent(path: Path) -> AsyncIterator[None]:
    """Poll a front door as an agent does: subscribe to its events and request its state repeatedly."""
    link = ProxyConnection(lambda state: None, lambda why: None)
    await link.open(path)
    await link.request("watch")

    async def poll() -> None:
        while True:
            await link.request("state")
            await asyncio.sleep(POLL_INTERVAL_S)

    task = asyncio.get_running_loop().create_task(poll())
    try:
        yield
        assert not task.done(), "the front door closed the watcher's connection"
    finally:
        task.cancel()
        await link.close()


async def measure_control(pairs: int, rounds: int) -> dict[str, float]:
    """Compare a front door with control and a watcher against one without: CPU for a request, and memory.

    The figures are medians over pairs of fresh processes. Two equal processes differ by up to 10% because of
    their memory layout, so the cost of a watcher is also measured within one process, with and without it in
    turn.
    """
    measured = [await measure_pair(rounds) for _ in range(pairs)]
    return {name: round(statistics.median(pair[name] for pair in measured), 2) for name in measured[0]}


async def measure_pair(rounds: int) -> dict[str, float]:
    """Measure two processes in turn: without control, with a watcher, with control but no watcher."""
    with tempfile.TemporaryDirectory() as name:
        host, clients, socket = own_host(), ClosedLoopClients(), Path(name) / "n0.sock"
        operator = Path(name) / "operator.toml"
        operator.write_text(f'[control]\nsocket = "{socket}"\n')
        backend = Listener(host, ImmediateServer)
        off, off_agent = await start_door(host, SERVERS, backend.address)
        on, on_agent = await start_door(
            host, SERVERS, backend.address, (*FRONT_DOOR, "--operator", str(operator))
        )
        cpu_us: dict[str, list[float]] = {"off": [], "on": [], "idle": []}

        async def measure_door(which: str, door: Door) -> None:
            assert door.process is not None
            cpu_us[which].append(
                (await cpu_per_request_us(clients, door.process.pid, door.address, COST_REQUESTS))[0]
            )

        async def measure_polled() -> None:
            async with polling_agent(socket):
                await measure_door("on", on)

        try:
            for door in (off, on):
                await clients.run(door.address, 320)
            for number in range(rounds):
                for which in ("off", "on", "idle") if number % 2 else ("idle", "on", "off"):
                    if which == "on":
                        await measure_polled()
                    else:
                        await measure_door(which, off if which == "off" else on)
            memory = (on.usage()[1] - off.usage()[1]) / (1 << 20)
        finally:
            for door, agent in ((off, off_agent), (on, on_agent)):
                await door.finish()
                door.close()
                agent.close()
            backend.end()

    def overhead_percent(one: str, other: str) -> float:
        pairs = zip(cpu_us[one], cpu_us[other], strict=True)
        return 100 * statistics.median(first / second - 1 for first, second in pairs)

    return {
        "control_cpu_more_percent": overhead_percent("on", "off"),
        "watcher_cpu_more_percent": overhead_percent("on", "idle"),
        "control_off_us": statistics.median(cpu_us["off"]),
        "control_memory_more_mb": memory,
    }


async def measure_all(quick: bool, seed: int, progress: bool) -> Result:
    """Run all measurements."""

    def say(text: str) -> None:
        if progress:
            print(text, file=sys.stderr)

    async def step(text: str, job: Awaitable[dict[str, float]]) -> dict[str, float]:
        found = await job
        say(f"{text}: {found}")
        return found

    figures = await step(
        "control",
        measure_control(*((QUICK_COST_PAIRS, QUICK_COST_ROUNDS) if quick else (COST_PAIRS, COST_ROUNDS))),
    )
    times_ms = await order_times_under_traffic(QUICK_ORDERS if quick else ORDERS, seed)
    figures |= {
        "order_5_p50_ms": round(quantile(times_ms, 0.5), 1),
        "order_5_p99_ms": round(quantile(times_ms, 0.99), 1),
    }
    figures |= await step("agents", measure_many_agents(QUICK_BIG_ORDERS if quick else BIG_ORDERS, say))
    done = await run_trials(QUICK_TRIALS if quick else TRIALS, seed, say)
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
    """Aims are the issue's; the second between an order and the last confirmation is the tool's own aim."""
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        return runner.run(measure_all(quick, seed, progress))

"""Trials of orders while a front door fails: compares the tool's report with what each front door did.

What a front door did is taken from its log and from the facts of servers.
"""

import asyncio
import tempfile
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from pathlib import Path

from molereach.fleet.cli.client import Fleet
from molereach.fleet.cli.in_flight import wait_until_idle
from molereach.fleet.cli.rollouts import new_rollout
from molereach.fleet.cli.runner import RolloutRunner
from molereach.fleet.orders import Verb
from molereach.fleet.rollout import events as ev
from molereach.fleet.rollout import report as rp
from molereach.fleet.settings import FleetFile, load
from rig import scenario as sc
from rig.clock import now_us
from rig.facts import Arrived
from rig.fleet import FleetRig
from rig.world.report import Report
from rig.world.world import World

STEPS = (
    "looking",
    "judged",
    "promised",
    "accepting",
    "accepted",
    "decided",
    "told",
    "confirming",
    "reported",
)
SERVER = "s-1"
DRAIN_GRACE_US = 1_000_000  # for new requests at a server after its drain was decided
DOWN_S = 0.5  # for which a killed front door is down
MIN_LOAD_S = 7.0  # of load
MAX_LOAD_S = 60.0  # the same, for a trial whose steps take longer


@dataclass(slots=True)
class Trial:
    """One order and its observed results."""

    step: str
    seed: int
    report: rp.Report
    world: Report
    wrong: list[str] = field(default_factory=list)
    late_us: int = 0  # from the decision of the order to the last new request at the drained server
    tracebacks: int = 0

    @property
    def ok(self) -> bool:
        """Whether the report was correct and the run in order."""
        return not self.wrong and self.world.ok and not self.tracebacks


def scenario(doors: int, seconds: float, rate: float = 100.0) -> sc.Scenario:
    """A scenario without faults."""
    return sc.Scenario("orders", "orders while front doors fail", seconds, doors, 6, sc.Load(rate))


def draft(order_id: str, verb: Verb = Verb.DRAIN, subject: str = SERVER) -> ev.Draft:
    """A draft of an order, by default to drain a server."""
    return ev.Draft(order_id, verb, subject, "rig", "a trial")


async def give(
    fleet: Fleet, order: ev.Draft, on_step: Callable[[str], None] = lambda step: None
) -> rp.Report:
    """Roll out an order as the tool does."""
    return await RolloutRunner(fleet, new_rollout(fleet.settings, order), on_step).run()


async def kill_at(step: str, seed: int) -> Trial:
    """Drain a server at five front doors under load, and kill and restart one at a step of the rollout."""
    with tempfile.TemporaryDirectory() as folder:
        world = World(scenario(5, MAX_LOAD_S), seed)
        fleet_rig = FleetRig(Path(folder), world.host, world.doors)
        victim = world.doors[seed % len(world.doors)]
        ready, decided_us, up_us = asyncio.Event(), 0, 0

        def on_step(name: str) -> None:
            nonlocal decided_us
            if name == "decided":
                decided_us = now_us()
            if name == step:
                victim.kill()

        try:
            await fleet_rig.start()
            run = asyncio.get_running_loop().create_task(world.run(ready.set))
            await ready.wait()
            await asyncio.sleep(1.0)
            async with Fleet(fleet_rig.file, load(fleet_rig.file, FleetFile)) as fleet:
                report = await give(fleet, draft("o1"), on_step)
                carried = {door.name: carried_out(door.log, "o1") for door in world.doors}
                await victim.ended.wait()
                await asyncio.sleep(DOWN_S)
                victim.log.clear()
                up_us = now_us()
                await world.faults.restart(victim)
                second_report = await give(fleet, draft("o1"))
                waited = await wait_until_idle(fleet, SERVER, 3.0, lambda text: None)
            await asyncio.sleep(world.start_us / 1e6 + MIN_LOAD_S - now_us() / 1e6)
            world.clients.stop()
            trial = Trial(step, seed, report, await run)
            await fleet_rig.finish()
        finally:
            world.close()
            fleet_rig.close()
        trial.tracebacks = sum(agent.tracebacks() for agent in fleet_rig.agents)
        trial.wrong += report_errors(report, carried, victim.name)
        if second_report.verdict is not rp.Verdict.DONE or second_report.decided != report.decided:
            trial.wrong.append(f"given again it is {second_report.verdict.value}: {second_report.text}")
        if not waited.ended:
            trial.wrong.append(f"still in flight after the wait: {waited}")
        arrivals = [fact for fact in world.facts if isinstance(fact, Arrived) and fact.server == SERVER]
        trial.late_us = max([fact.at_us - decided_us for fact in arrivals], default=0)
        if decided_us and trial.late_us > DRAIN_GRACE_US:
            trial.wrong.append(f"a request reached the server {trial.late_us / 1e6:.3f} s after the drain")
        if any(fact.door == victim.name and fact.at_us > up_us for fact in arrivals):
            trial.wrong.append("the restarted front door sent to the drained server")
        return trial


def carried_out(log: Iterable[str], order_id: str) -> bool:
    """Whether the log of a front door shows that it carried out an order."""
    return any(f"order {order_id}: " in line for line in log)


def report_errors(report: rp.Report, carried: dict[str, bool], victim: str) -> list[str]:
    """The differences between the tool's report and what each front door did."""
    wrong = []
    if report.verdict not in (rp.Verdict.DONE, rp.Verdict.PARTIAL):
        wrong.append(f"{report.verdict.value}: {report.text}")
    if {proxy.proxy for proxy in report.proxies} != set(carried):
        wrong.append("the report does not name each front door")
    for proxy in report.proxies:
        # The tool may not know that the killed front door applied the order, if its last response was lost.
        if proxy.applied != carried[proxy.proxy] and (proxy.applied or proxy.proxy != victim):
            wrong.append(f"{proxy.proxy}: said {proxy.applied}, was {carried[proxy.proxy]}")
        if not proxy.applied and proxy.proxy not in report.text:
            wrong.append(f"{proxy.proxy} is not named: {report.text}")
    if report.verdict is rp.Verdict.DONE and not all(carried.values()):
        wrong.append("done, and not at each front door")
    return wrong

"""Orders on a world's front doors while one fails, and whether the tool's report is what each door did.

What a front door did is read from its own log and from what servers saw; the report is the tool's.
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
from molereach.fleet.rollout import report as words
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
LATE_US = 1_000_000  # after a front door was told of a drain
DOWN_S, TAIL_S, SECONDS = 0.5, 1.5, 7.0


@dataclass(slots=True)
class Trial:
    """One order, and what was seen."""

    step: str
    seed: int
    report: words.Report
    world: Report
    wrong: list[str] = field(default_factory=list)
    late_us: int = 0  # the last new request at the drained server, after the order was decided
    tracebacks: int = 0

    @property
    def ok(self) -> bool:
        return not self.wrong and self.world.ok and not self.tracebacks


def scenario(doors: int, seconds: float, rate: float = 100.0) -> sc.Scenario:
    return sc.Scenario("orders", "orders while front doors fail", seconds, doors, 6, sc.Load(rate))


def draft(order_id: str, verb: Verb = Verb.DRAIN, subject: str = SERVER) -> ev.Draft:
    return ev.Draft(order_id, verb, subject, "rig", "a trial")


async def give(
    fleet: Fleet, what: ev.Draft, on_step: Callable[[str], None] = lambda step: None
) -> words.Report:
    """Give an order as the tool does."""
    return await RolloutRunner(fleet, new_rollout(fleet.settings, what), on_step).run()


async def kill_at(step: str, seed: int) -> Trial:
    """Drain a server at five front doors under load; one is killed at a step, and started again."""
    with tempfile.TemporaryDirectory() as folder:
        world = World(scenario(5, SECONDS), seed)
        rig = FleetRig(Path(folder), world.host, world.doors)
        victim = world.doors[seed % len(world.doors)]
        ready, decided_us, up_us = asyncio.Event(), 0, 0

        def on_step(name: str) -> None:
            nonlocal decided_us
            if name == "decided":
                decided_us = now_us()
            if name == step:
                victim.kill()

        try:
            await rig.start()
            day = asyncio.get_running_loop().create_task(world.run(ready.set))
            await ready.wait()
            await asyncio.sleep(1.0)
            async with Fleet(rig.file, load(rig.file, FleetFile)) as fleet:
                report = await give(fleet, draft("o1"), on_step)
                carried = {door.name: carried_out(door.log, "o1") for door in world.doors}
                await victim.ended.wait()
                await asyncio.sleep(DOWN_S)
                victim.log.clear()
                up_us = now_us()
                await world.faults.restart(victim)
                again = await give(fleet, draft("o1"))
                waited = await wait_until_idle(fleet, SERVER, 3.0, lambda text: None)
            found = Trial(step, seed, report, await day)
            await rig.finish()
        finally:
            world.close()
            rig.close()
        found.tracebacks = sum(agent.tracebacks() for agent in rig.agents)
        found.wrong += wrong_words(report, carried, victim.name)
        if again.verdict is not words.Verdict.DONE or again.decided != report.decided:
            found.wrong.append(f"given again it is {again.verdict.value}: {again.text}")
        if not waited.ended:
            found.wrong.append(f"still in flight after the wait: {waited}")
        arrivals = [fact for fact in world.facts if isinstance(fact, Arrived) and fact.server == SERVER]
        found.late_us = max([fact.at_us - decided_us for fact in arrivals], default=0)
        if decided_us and found.late_us > LATE_US:
            found.wrong.append(f"a request reached the server {found.late_us / 1e6:.3f} s after the drain")
        if any(fact.door == victim.name and fact.at_us > up_us for fact in arrivals):
            found.wrong.append("the restarted front door sent to the drained server")
        return found


def carried_out(log: Iterable[str], order_id: str) -> bool:
    """Whether a front door's own log says that it carried out an order."""
    return any(f"order {order_id}: " in line for line in log)


def wrong_words(report: words.Report, carried: dict[str, bool], victim: str) -> list[str]:
    """Where the tool's report is not what each front door did."""
    wrong = []
    if report.verdict not in (words.Verdict.DONE, words.Verdict.PARTIAL):
        wrong.append(f"{report.verdict.value}: {report.text}")
    if {word.proxy for word in report.proxies} != set(carried):
        wrong.append("the report does not name each front door")
    for word in report.proxies:
        # Of a killed front door whose last word was lost the tool must say that it does not know.
        if word.applied != carried[word.proxy] and (word.applied or word.proxy != victim):
            wrong.append(f"{word.proxy}: said {word.applied}, was {carried[word.proxy]}")
        if not word.applied and word.proxy not in report.text:
            wrong.append(f"{word.proxy} is not named: {report.text}")
    if report.verdict is words.Verdict.DONE and not all(carried.values()):
        wrong.append("done, and not at each front door")
    return wrong

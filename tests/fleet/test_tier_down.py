"""All proxies of a fleet have ended: orders are carried out nowhere, and the tool must say so."""

import asyncio
import json
import os
import signal
import sys
import tempfile
from pathlib import Path
from typing import Any

import uvloop

from molereach.fleet.api_bodies import AgentSnapshot, Orders, ProxyStatus, Reachability, Status
from molereach.fleet.cli.commands.orders import ListedProxy, decided_rows, listed_proxies
from molereach.fleet.cli.commands.status import is_tier_down
from molereach.fleet.orders import Decided, OrderStateRecord
from molereach.fleet.rollout.observations import Observations
from molereach.fleet.rollout.report import Verdict
from molereach.fleet.rollout.summary import Summary
from molereach.fleet.wire import ProxyState
from rig.fleet import FleetRig
from rig.orders import scenario
from rig.world.world import World
from tests.fleet.orders import order
from tests.fleet.test_rollout import drain, run_rollout
from tests.fleet.virtual import US_PER_MS, Fleet

ROOT = Path(__file__).parents[2]
RECORD = OrderStateRecord(1, (Decided(1, order()),), (Decided(1, order()),))
AGENTS = ("a0", "a1", "a2")


def status(agent: str, reachability: Reachability, revision: int = 1) -> Status:
    name = f"n{agent[1:]}"
    state = ProxyState(name, 1, 1.0, False, revision, 1, 0, 0)
    return Status(agent, AGENTS, 1, True, "", None, (ProxyStatus(name, reachability, 5, "", state),))


def verdict(*reachability: Reachability, revision: int = 1) -> tuple[Verdict, str]:
    """The verdict on an order at revision 1 that all agents know, with these states of their proxies."""
    observations = Observations({})
    for agent, state in zip(AGENTS, reachability, strict=True):
        observations.record_snapshot(0, agent, AgentSnapshot(status(agent, state, revision), RECORD, {}))
    assert all(observations.confirmed(agent, 1) for agent in AGENTS) == (
        Summary(AGENTS, observations, None, RECORD.in_force[0], 1, 0).verdict()[0] is Verdict.DONE
    )
    return Summary(AGENTS, observations, None, RECORD.in_force[0], 1, 0).verdict()


def test_order_is_not_done_while_all_proxies_have_ended() -> None:
    """It used to be: a proxy that has ended was excused whether or not another one served."""
    for revision in (0, 1):
        result, text = verdict("ended", "ended", "ended", revision=revision)
        assert result is Verdict.PARTIAL and all(name in text for name in ("n0", "n1", "n2"))
    assert verdict("up", "ended", "ended")[0] is Verdict.DONE
    assert verdict("up", "ended", "gone", revision=0)[0] is Verdict.PARTIAL


def test_rollout_to_a_fleet_whose_proxies_have_ended_is_partial() -> None:
    fleet = Fleet(1)
    fleet.run(lambda: fleet.now_us > 500 * US_PER_MS)
    for name in fleet.names:
        fleet.end_proxy(name)
    fleet.run(lambda: fleet.now_us > 1500 * US_PER_MS)
    assert run_rollout(fleet, drain("o1", forced=True)) is Verdict.PARTIAL


def test_proxies_that_have_ended_are_listed_as_lacking_if_no_other_runs() -> None:
    ended = {agent: status(agent, "ended") for agent in AGENTS}
    proxies = listed_proxies(ended)
    assert proxies == [ListedProxy("a0/n0"), ListedProxy("a1/n1"), ListedProxy("a2/n2")]
    answers = {agent: Orders(agent, 1, RECORD.in_force, RECORD.recent, None) for agent in AGENTS}
    (row,) = decided_rows(answers, proxies, 3, False)
    assert (row["doors"], row["lacking"]) == ("0/3", ["a0/n0", "a1/n1", "a2/n2"])
    assert is_tier_down(ended) and not is_tier_down({})
    mixed = ended | {"a1": status("a1", "up")}
    assert listed_proxies(mixed) == [ListedProxy("a1/n1", 1)] and not is_tier_down(mixed)


def test_tool_says_that_a_tier_is_down(tmp_path: Path) -> None:
    """Real agents and proxies: once all proxies have ended, `orders` and `drain` end with code 3."""

    async def tool(fleet: FleetRig, *arguments: str) -> tuple[int, dict[str, Any]]:
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            *("-m", "molereach", "fleet", *arguments, "--json"),
            cwd=ROOT,
            env={**os.environ, "MOLEREACH_FLEET": str(fleet.file)},
            stdout=asyncio.subprocess.PIPE,
        )
        out, _ = await process.communicate()
        assert process.returncode is not None
        return process.returncode, json.loads(out)

    async def run() -> None:
        with tempfile.TemporaryDirectory() as folder:
            world = World(scenario(3, 600.0, 5.0), 1)
            fleet = FleetRig(Path(folder), world.host, world.doors)
            ready = asyncio.Event()
            try:
                await fleet.start()
                world_run = asyncio.get_running_loop().create_task(world.run(ready.set))
                await ready.wait()
                while (await tool(fleet, "status"))[0]:
                    pass
                code, found = await tool(fleet, "drain", "s-1", "--reason", "disk", "--id", "d1")
                assert code == 0 and found["verdict"] == "done"
                for door in world.doors:
                    door.signal(signal.SIGTERM)
                    door.stop_requested = True
                for door in world.doors:
                    await door.ended.wait()
                names = ["a0/n0", "a1/n1", "a2/n2"]
                while True:
                    code, found = await tool(fleet, "orders")
                    (row,) = found["orders"]
                    if row["lacking"] == names:
                        break
                    assert code != 0 or row["doors"] != "0/0"
                assert (code, row["doors"]) == (3, "0/3") and (await tool(fleet, "status"))[0] == 3
                code, found = await tool(fleet, "hold", "n1", "--reason", "sick", "--id", "h1")
                assert code == 3 and found["verdict"] == "partly" and "n1" in found["text"]
                world_run.cancel()
                await asyncio.gather(world_run, return_exceptions=True)
            finally:
                world.close()
                fleet.close()

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(run())

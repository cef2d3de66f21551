"""Applies the steps of a scenario to front doors, servers, discovery and the network when they are due."""

import asyncio
import signal
from collections.abc import Sequence
from random import Random

from rig.clock import now_us
from rig.doors import Door
from rig.facts import Fact, Listed, Told
from rig.front import ClientRouter
from rig.hostile_clients import HOSTILE_CLIENTS, hostile_client, idle_client
from rig.mail import DatagramSpec
from rig.member import SetDraining, SetSlow
from rig.relay import Network
from rig.scenario import StartList
from rig.servers import Server
from rig.timeline import Step, Verb
from rig.world.jobs import Jobs
from rig.world.machines import LIST_DELAY_US, Machines

US_PER_S = 1_000_000
FAILURE_DETECTION_US = 500_000  # from the failure of a front door until clients avoid it
PLANNED_END_DETECTION_US = 300_000  # the same from the start of a planned shutdown
CROWD_INTERVAL_S = 0.001  # between connections: a burst that does not block the test bed's event loop


class FaultInjector:
    """Applies faults to a running world. `start_list` selects the endpoint list of restarted front doors."""

    def __init__(
        self,
        doors: Sequence[Door],
        machines: Machines,
        router: ClientRouter,
        network: Network,
        facts: list[Fact],
        random: Random,
        start_list: StartList,
        jobs: Jobs,
    ) -> None:
        self.by_name = {door.name: door for door in doors}
        self.machines, self.router, self.network, self.facts = machines, router, network, facts
        self.random, self.start_list, self.jobs = random, start_list, jobs
        self.crowds: dict[str, asyncio.Event] = {}

    def schedule(self, steps: Sequence[Step], start_us: int) -> None:
        """Schedule all steps; their times count from `start_us`, the start of the load."""
        for step in steps:
            self.jobs.spawn(self.apply_at(step, start_us))

    def end_crowds(self) -> None:
        """Disconnect the idle clients of all crowds."""
        for crowd in self.crowds.values():
            crowd.set()

    async def apply_at(self, step: Step, start_us: int) -> None:
        """Wait until a step is due, then apply it."""
        delay_us = start_us + step.at_us - now_us()
        if delay_us > 0:
            await asyncio.sleep(delay_us / 1e6)
        await self.apply(step)

    async def apply(self, step: Step) -> None:
        """Apply a step at once."""
        if step.door:
            await self.apply_to_door(step, self.by_name[step.door])
        elif step.server:
            self.apply_to_server(step, self.machines.current_server(step.server))
        else:
            await self.apply_to_environment(step)

    async def apply_to_door(self, step: Step, door: Door) -> None:
        """Apply a step that names a front door, and perhaps a server."""
        match step.verb:
            case Verb.KILL:
                door.kill()
            case Verb.END:
                door.end()
                self.router.mark_failed(
                    now_us() + PLANNED_END_DETECTION_US - FAILURE_DETECTION_US, door.number
                )
            case Verb.START:
                await door.ended.wait()
                await self.restart(door)
            case Verb.STOP:
                door.stop()
            case Verb.CONTINUE:
                door.resume()
            case Verb.RELOAD:
                door.signal(signal.SIGHUP)
            case Verb.DISCOVERY_MOVE:
                await self.move_discovery(door)
            case Verb.CUT:
                self.machines.current_server(step.server).cut(door.name)
            case Verb.JOIN:
                self.machines.current_server(step.server).join(door.name)
            case Verb.GATHER:
                self.router.concentrate(door.number, step.amount)
            case Verb.CROWD:
                await self.crowd(door, round(step.amount))
            case Verb.HOSTILE:
                for number in range(round(step.amount)):
                    send = HOSTILE_CLIENTS[number % len(HOSTILE_CLIENTS)]
                    self.jobs.spawn(
                        hostile_client(door.name, door.address, send, self.facts, lambda: not door.up)
                    )

    async def restart(self, door: Door) -> None:
        """Restart a front door that has no state but an endpoint list.

        Whatever its discovery agent holds once it is ready counts as told to it.
        """
        agent = self.machines.agents[door.name]
        door.write_config(seed=f"{self.random.getrandbits(64):016x}")
        if self.start_list is StartList.LAST:
            door.write_config(known=agent.known())
        door.start()
        await door.ready()
        agent.told.clear()
        for entry in agent.view.current():
            agent.told[entry.name] = entry.state
            self.facts.append(Told(now_us(), door.name, entry.name, entry.state))
        self.router.mark_up(door.number)

    async def move_discovery(self, door: Door) -> None:
        """Move a front door's discovery agent to a new address and reload the front door."""
        address = await self.machines.agents[door.name].start(self.machines.host)
        door.write_config(discovery="{}:{}".format(*address))
        door.signal(signal.SIGHUP)

    async def crowd(self, door: Door, count: int) -> None:
        """Connect `count` idle clients to a front door; 0 disconnects those that are there."""
        if not count:
            if crowd := self.crowds.pop(door.name, None):
                crowd.set()
            return
        leave = self.crowds.setdefault(door.name, asyncio.Event())
        for _ in range(count):
            self.jobs.spawn(idle_client(door.address, leave))
            await asyncio.sleep(CROWD_INTERVAL_S)

    def apply_to_server(self, step: Step, server: Server) -> None:
        """Apply a step that names a server only."""
        match step.verb:
            case Verb.SILENCE:
                server.silent = True
            case Verb.SPEAK:
                server.silent = False
                server.reset_all()
            case Verb.VANISH:
                server.vanish()
            case Verb.RETURN:
                server.restart(cold=True)
                self.machines.list_server(server.name, Listed.SERVING)
            case Verb.RESET:
                server.reset_share = step.amount
            case Verb.SPOIL:
                server.spoil_share = step.amount
            case Verb.SLOW:
                server.handle(SetSlow(step.amount))
            case Verb.DRAIN | Verb.UNDRAIN:
                server.handle(SetDraining(step.verb is Verb.DRAIN))
                self.machines.list_server(
                    server.name, Listed.DRAINING if step.verb is Verb.DRAIN else Listed.SERVING
                )
            case Verb.REPLACE:
                self.machines.replace(step.server, server)

    async def apply_to_environment(self, step: Step) -> None:
        """Apply a step to discovery, to the network between front doors or to the spread of clients."""
        match step.verb:
            case Verb.DISCOVERY_DOWN | Verb.DISCOVERY_UP:
                for agent in self.machines.agents.values():
                    await agent.set_silent(step.verb is Verb.DISCOVERY_DOWN)
            case Verb.DISCOVERY_LATE:
                self.machines.list_delay_us = LIST_DELAY_US + round(step.amount * US_PER_S)
            case Verb.SPLIT:
                self.network.model.split(
                    tuple(frozenset(self.by_name[name].number for name in group) for group in step.groups)
                )
            case Verb.HEAL:
                self.network.model.heal()
            case Verb.MAIL:
                loss, duplicate, reorder = step.mail
                default = DatagramSpec()
                self.network.model.change(loss=max(default.loss, loss), duplicate=duplicate, reorder=reorder)
            case Verb.GATHER:
                self.router.concentrate(None)

"""A scenario's steps, carried out on front doors, servers, discovery and the network when they are due."""

import asyncio
import signal
from collections.abc import Sequence
from random import Random

from rig.clients import HOSTILE, greet_and_stay, hostile
from rig.clock import now_us
from rig.doors import Door
from rig.facts import Fact, Listed, Told
from rig.front import Front
from rig.mail import MailSpec
from rig.member import SetDraining, SetSlow
from rig.relay import Network
from rig.scenario import StartList
from rig.servers import Server
from rig.timeline import Step, Verb
from rig.world.jobs import Jobs
from rig.world.machines import LIST_LATE_US, Machines

S = 1_000_000
NOTICE_US = 500_000  # for which a front door's death goes unnoticed
PLANNED_US = 300_000  # for which new connections go on coming after a planned end began
CROWD_GAP_S = 0.001  # between those of a crowd that connect: a burst, and not one turn of the rig's loop


class Faults:
    """What befalls a world; a front door that starts again starts with `start_list`."""

    def __init__(
        self,
        doors: Sequence[Door],
        machines: Machines,
        front: Front,
        network: Network,
        facts: list[Fact],
        random: Random,
        start_list: StartList,
        jobs: Jobs,
    ) -> None:
        self.by_name = {door.name: door for door in doors}
        self.machines, self.front, self.network, self.facts = machines, front, network, facts
        self.random, self.start_list, self.jobs = random, start_list, jobs
        self.crowds: dict[str, asyncio.Event] = {}

    def begin(self, steps: Sequence[Step], start_us: int) -> None:
        """Have each step taken when it is due, from the day's start on."""
        for step in steps:
            self.jobs.spawn(self.step_at(step, start_us))

    def end_crowds(self) -> None:
        for crowd in self.crowds.values():
            crowd.set()

    async def step_at(self, step: Step, start_us: int) -> None:
        left = start_us + step.at_us - now_us()
        if left > 0:
            await asyncio.sleep(left / 1e6)
        await self.take(step)

    async def take(self, step: Step) -> None:
        if step.door:
            await self.take_door(step, self.by_name[step.door])
        elif step.server:
            self.take_server(step, self.machines.here(step.server))
        else:
            await self.take_other(step)

    async def take_door(self, step: Step, door: Door) -> None:
        match step.verb:
            case Verb.KILL:
                door.kill()
            case Verb.END:
                door.end()
                self.front.died(now_us() + PLANNED_US - NOTICE_US, door.number)
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
                self.machines.here(step.server).cut(door.name)
            case Verb.JOIN:
                self.machines.here(step.server).join(door.name)
            case Verb.GATHER:
                self.front.gather(door.number, step.amount)
            case Verb.CROWD:
                await self.crowd(door, round(step.amount))
            case Verb.HOSTILE:
                for number in range(round(step.amount)):
                    send = HOSTILE[number % len(HOSTILE)]
                    self.jobs.spawn(hostile(door.name, door.address, send, self.facts, lambda: not door.up))

    async def restart(self, door: Door) -> None:
        """Start a front door again, with nothing but a list. What its agent has by then counts as told."""
        agent = self.machines.agents[door.name]
        door.write_config(seed=f"{self.random.getrandbits(64):016x}")
        if self.start_list is StartList.LAST:
            door.write_config(known=agent.known())
        door.start()
        await door.ready()
        agent.told.clear()
        for entry in agent.view.whole():
            agent.told[entry.name] = entry.state
            self.facts.append(Told(now_us(), door.name, entry.name, entry.state))
        self.front.answered(door.number)

    async def move_discovery(self, door: Door) -> None:
        address = await self.machines.agents[door.name].start(self.machines.host)
        door.write_config(discovery="{}:{}".format(*address))
        door.signal(signal.SIGHUP)

    async def crowd(self, door: Door, count: int) -> None:
        if not count:
            if crowd := self.crowds.pop(door.name, None):
                crowd.set()
            return
        until = self.crowds.setdefault(door.name, asyncio.Event())
        for _ in range(count):
            self.jobs.spawn(greet_and_stay(door.address, until))
            await asyncio.sleep(CROWD_GAP_S)

    def take_server(self, step: Step, server: Server) -> None:
        match step.verb:
            case Verb.SILENCE:
                server.silent = True
            case Verb.SPEAK:
                server.silent = False
                server.reset_all()
            case Verb.VANISH:
                server.vanish()
            case Verb.RETURN:
                server.come_back(cold=True)
                self.machines.list_server(server.name, Listed.SERVING)
            case Verb.RESET:
                server.reset_share = step.amount
            case Verb.SPOIL:
                server.spoil_share = step.amount
            case Verb.SLOW:
                server.tell(SetSlow(step.amount))
            case Verb.DRAIN | Verb.UNDRAIN:
                server.tell(SetDraining(step.verb is Verb.DRAIN))
                self.machines.list_server(
                    server.name, Listed.DRAINING if step.verb is Verb.DRAIN else Listed.SERVING
                )
            case Verb.REPLACE:
                self.machines.replace(step.server, server)

    async def take_other(self, step: Step) -> None:
        match step.verb:
            case Verb.DISCOVERY_DOWN | Verb.DISCOVERY_UP:
                for agent in self.machines.agents.values():
                    await agent.set_silent(step.verb is Verb.DISCOVERY_DOWN)
            case Verb.DISCOVERY_LATE:
                self.machines.late_list_us = LIST_LATE_US + round(step.amount * S)
            case Verb.SPLIT:
                self.network.mail.split(
                    tuple(frozenset(self.by_name[name].number for name in group) for group in step.groups)
                )
            case Verb.HEAL:
                self.network.mail.heal()
            case Verb.MAIL:
                loss, duplicate, reorder = step.mail
                usual = MailSpec()
                self.network.mail.change(loss=max(usual.loss, loss), duplicate=duplicate, reorder=reorder)
            case Verb.GATHER:
                self.front.gather(None)

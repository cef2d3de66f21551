"""Servers, the list that discovery keeps of them, and how late each front door's agent hears of it."""

import asyncio
from collections.abc import Callable, Sequence
from random import Random

from rig.discovery import Agent
from rig.facts import Fact, Listed
from rig.member import Building, Member, MemberSpec
from rig.registry import Entry, Registry
from rig.scenario import ZONES
from rig.servers import Server
from rig.sockets import host_of
from rig.workload import CLASSES
from rig.world.jobs import Jobs

Work = tuple[int, str, list[bytes]]  # what a server needs of a request: work, key, words
LIST_LATE_US = 150_000  # how late discovery is in any case


class Machines:
    """All servers of a world. `doors` names the front doors, each of which has an agent of discovery;
    `work_of` says what a server needs of a request."""

    def __init__(
        self,
        doors: Sequence[str],
        host: str,
        spec: MemberSpec,
        facts: list[Fact],
        random: Random,
        work_of: Callable[[str], Work | None],
        jobs: Jobs,
    ) -> None:
        self.doors, self.host, self.spec, self.facts, self.random = doors, host, spec, facts, random
        self.work_of, self.jobs = work_of, jobs
        window = max(kind.window_us for kind in CLASSES)
        self.buildings = {zone: Building(window) for zone in ZONES}
        self.servers: dict[str, Server] = {}
        self.registry = Registry()
        self.agents = {name: Agent(name, self.address_at(name), facts) for name in doors}
        self.late_list_us = LIST_LATE_US
        self.replaced: dict[str, str] = {}  # a server's name in the scenario, and who stands there now

    def address_at(self, door: str) -> Callable[[str], tuple[str, int]]:
        return lambda name: self.servers[name].listeners[door].address

    def add_server(self, name: str, zone: str, cold: bool = False) -> Server:
        member = Member(name, zone, self.spec, self.buildings[zone])
        host = host_of(self.host, len(self.servers))  # it listens for each front door
        server = Server(member, list(self.doors), host, self.facts, self.random, self.work_of)
        self.servers[name] = server
        if cold:
            server.come_back(cold=True)
        self.registry.put(name, zone, Listed.SERVING, server.started_ms)
        return server

    def list_server(self, name: str, state: Listed) -> None:
        server = self.servers[name]
        entry = self.registry.put(name, server.member.zone, state, server.started_ms)
        self.jobs.spawn(self.spread(entry))

    async def spread(self, entry: Entry) -> None:
        """Discovery tells every front door's agent, late."""
        await asyncio.sleep(self.late_list_us / 1e6)
        for agent in self.agents.values():
            await agent.learn([entry])

    def here(self, name: str) -> Server:
        """The server that stands where the scenario names one."""
        return self.servers[self.replaced.get(name, name)]

    def replace(self, name: str, server: Server) -> None:
        """The server goes, and a machine with a new name starts cold in its place."""
        server.die()
        self.list_server(server.name, Listed.DELETED)
        successor = f"{name}-{len(self.servers) + 1}"
        self.add_server(successor, server.member.zone, cold=True)
        self.replaced[name] = successor
        self.jobs.spawn(self.spread(self.registry.entries[successor]))

    def close(self) -> None:
        for server in self.servers.values():
            server.close()
        for agent in self.agents.values():
            agent.close()

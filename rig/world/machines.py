"""Servers, discovery's endpoint list, and the delay after which each discovery agent receives changes."""

import asyncio
from collections.abc import Callable, Sequence
from random import Random

from rig.discovery import Agent
from rig.facts import Fact, Listed
from rig.member import DeduplicationStore, Member, MemberSpec
from rig.registry import Entry, Registry
from rig.scenario import ZONES
from rig.servers import Server
from rig.sockets import machine_host
from rig.workload import CLASSES
from rig.world.jobs import Jobs

RequestWork = tuple[int, str, list[bytes]]  # work in microseconds, idempotency key, command words
LIST_DELAY_US = 150_000  # least delay of a change to the endpoint list


class Machines:
    """All servers of a run, and the discovery agent of each front door.

    `doors` holds the names of the front doors. `work_of` returns what a server needs to know of a request
    that a client sent, or None for an unknown request id.
    """

    def __init__(
        self,
        doors: Sequence[str],
        host: str,
        spec: MemberSpec,
        facts: list[Fact],
        random: Random,
        work_of: Callable[[str], RequestWork | None],
        jobs: Jobs,
    ) -> None:
        self.doors, self.host, self.spec, self.facts, self.random = doors, host, spec, facts, random
        self.work_of, self.jobs = work_of, jobs
        longest_window_us = max(request_class.window_us for request_class in CLASSES)
        self.deduplication_stores = {zone: DeduplicationStore(longest_window_us) for zone in ZONES}
        self.servers: dict[str, Server] = {}
        self.registry = Registry()
        self.agents = {name: Agent(name, self.address_at(name), facts) for name in doors}
        self.list_delay_us = LIST_DELAY_US
        self.replaced: dict[str, str] = {}  # name in the scenario -> name of the latest replacement

    def address_at(self, door: str) -> Callable[[str], tuple[str, int]]:
        """Returns a function from a server's name to its address for one front door."""
        return lambda name: self.servers[name].listeners[door].address

    def add_server(self, name: str, zone: str, cold: bool = False) -> Server:
        """Start a server and put it into the endpoint list; agents are not told yet."""
        member = Member(name, zone, self.spec, self.deduplication_stores[zone])
        host = machine_host(self.host, len(self.servers))  # each server opens a listener for each front door
        server = Server(member, list(self.doors), host, self.facts, self.random, self.work_of)
        self.servers[name] = server
        if cold:
            server.restart(cold=True)
        self.registry.put(name, zone, Listed.SERVING, server.started_ms)
        return server

    def list_server(self, name: str, state: Listed) -> None:
        """Change the listed state of a server and announce it to all agents."""
        server = self.servers[name]
        entry = self.registry.put(name, server.member.zone, state, server.started_ms)
        self.jobs.spawn(self.announce(entry))

    async def announce(self, entry: Entry) -> None:
        """Send an entry to all discovery agents after the current list delay."""
        await asyncio.sleep(self.list_delay_us / 1e6)
        for agent in self.agents.values():
            await agent.update([entry])

    def current_server(self, name: str) -> Server:
        """The server that has the given name in the scenario, or its latest replacement."""
        return self.servers[self.replaced.get(name, name)]

    def replace(self, name: str, server: Server) -> None:
        """Stop a server and start a cold one with a new name in its place."""
        server.crash()
        self.list_server(server.name, Listed.DELETED)
        successor = f"{name}-{len(self.servers) + 1}"
        self.add_server(successor, server.member.zone, cold=True)
        self.replaced[name] = successor
        self.jobs.spawn(self.announce(self.registry.entries[successor]))

    def close(self) -> None:
        """Close all servers and agents."""
        for server in self.servers.values():
            server.close()
        for agent in self.agents.values():
            agent.close()

"""One run of a scenario: starts all processes, plays the load and the faults, shuts down and audits."""

import asyncio
from collections.abc import Callable, Sequence
from random import Random

from rig import scenario as sc
from rig.audit.auditor import Auditor
from rig.audit.ledger import Outcome
from rig.clients import Clients
from rig.clock import Heartbeat, now_us
from rig.door_pool import DoorPool
from rig.doors import FRONT_DOOR, Door
from rig.facts import Extra, Fact, Started
from rig.final_poll import LateCounts
from rig.front import ClientRouter
from rig.mail import MAX_DATAGRAM_BYTES, DatagramModel, DatagramSpec
from rig.member import MemberSpec
from rig.relay import Network
from rig.scenario import ZONES
from rig.sockets import own_host
from rig.timeline import expand
from rig.workload import Customer, LoadSpec, arrivals, customers
from rig.world.faults import FAILURE_DETECTION_US, FaultInjector
from rig.world.jobs import Jobs
from rig.world.machines import Machines
from rig.world.report import DoorReport, Report, quantile
from rig.world.settings import PEER_DATAGRAMS_PER_S, US_PER_S, rule_parameters, settings

DOOR_MEMORY_MB, DOOR_SOCKETS = 192, 1024  # resource limits of each front door


class World:
    """One run of a scenario with real processes on loopback; `door_type` may replace them."""

    def __init__(
        self,
        scenario: sc.Scenario,
        seed: int,
        command: Sequence[str] = FRONT_DOOR,
        spec: MemberSpec | None = None,
        door_type: type[Door] = Door,
    ) -> None:
        self.scenario, self.seed, self.spec = scenario, seed, spec or MemberSpec()
        self.host = own_host()
        self.facts: list[Fact] = []
        self.jobs = Jobs()
        # A random generator for each purpose: draws for one do not shift those of another.
        self.randoms = {
            name: Random(f"{seed}:{name}") for name in ("load", "faults", "mail", "servers", "clients")
        }
        names = scenario.door_names()
        self.doors = [
            door_type(name, number, self.host, self.facts, command) for number, name in enumerate(names)
        ]
        self.router = ClientRouter(scenario.doors, FAILURE_DETECTION_US)
        self.late_counts = LateCounts()
        self.pools = [DoorPool(door.name, door.address, self.facts, self.late_counts) for door in self.doors]
        self.clients = Clients(
            self.pools, self.router, self.facts, self.randoms["clients"], seed, self.late_counts
        )
        self.machines = Machines(
            names, self.host, self.spec, self.facts, self.randoms["servers"], self.clients.work_of, self.jobs
        )
        self.network = Network(
            DatagramModel(DatagramSpec(accept_per_s=PEER_DATAGRAMS_PER_S)),
            [door.peer_address for door in self.doors],
            self.randoms["mail"],
        )
        self.faults = FaultInjector(
            self.doors,
            self.machines,
            self.router,
            self.network,
            self.facts,
            self.randoms["faults"],
            scenario.start_list,
            self.jobs,
        )
        self.heartbeat = Heartbeat(self.facts)
        self.start_us = 0

    # --- start and shutdown ---

    async def run(self, on_ready: Callable[[], None] = lambda: None) -> Report:
        """Start everything, play the scenario, shut down and audit. No process or socket is left over."""
        try:
            await self.start()
            on_ready()
            await self.play()
            await self.finish()
        finally:
            self.close()
        return self.report()

    async def start(self) -> None:
        """Start servers, the network and front doors; returns once all front doors answer."""
        for number, name in enumerate(self.scenario.server_names()):
            server = self.machines.add_server(name, ZONES[number % len(ZONES)])
            self.facts.append(Started(now_us(), server.name, float(self.spec.cores), 1.0, self.spec.warm_us))
        await self.network.start(self.host)
        for door in self.doors:
            agent = self.machines.agents[door.name]
            await agent.update(list(self.machines.registry.entries.values()))
            discovery = await agent.start(self.host)
            door.write_config(
                name=door.name,
                listen="{}:{}".format(*door.address),
                discovery="{}:{}".format(*discovery),
                limits={"cores": 1.0, "memory_mb": DOOR_MEMORY_MB, "sockets": DOOR_SOCKETS},
                peer_listen="{}:{}".format(*door.peer_address),
                peers=["{}:{}".format(*address) for address in self.network.peer_addresses(door.number)],
                settings=settings(door.number, len(self.doors), self.spec),
            )
            door.write_config(seed=f"{self.randoms['faults'].getrandbits(64):016x}", known=agent.known())
            door.start()
        await asyncio.gather(*(door.ready() for door in self.doors))
        self.heartbeat.start()

    async def play(self) -> None:
        """Play the load and the faults until all requests of clients have ended."""
        duration_us = round(self.scenario.seconds * US_PER_S)
        load = self.scenario.load
        spec = LoadSpec(
            load.rate, load.customers, load.greedy, impatient=load.impatient, set_doors=load.set_doors
        )
        random = self.randoms["load"]
        all_customers: list[Customer] = customers(spec, len(self.doors), random)
        schedule = arrivals(spec, all_customers, duration_us, random)
        self.start_us = now_us() + 50_000
        self.faults.schedule(list(expand(self.scenario, self.randoms["faults"])), self.start_us)
        await self.clients.run(schedule, self.start_us)

    async def finish(self) -> None:
        """Cancel pending faults, close the clients, then shut the front doors down gracefully."""
        self.jobs.cancel()
        self.faults.end_crowds()
        for pool in self.pools:
            pool.close()
        for door in self.doors:
            door.usage()  # reads the resource use a last time while the process exists
        await asyncio.gather(*(door.finish() for door in self.doors))
        self.heartbeat.stop()

    def close(self) -> None:
        """Release all processes and sockets, also after a fault of the test bed itself."""
        self.heartbeat.stop()
        self.jobs.cancel()
        self.clients.cancel()
        for pool in self.pools:
            pool.close()
        for door in self.doors:
            door.close()
        self.machines.close()
        self.network.close()

    # --- results ---

    def door_report(self, door: Door) -> DoorReport:
        """The figures of one front door so far, as its clients saw them."""
        pool = self.pools[door.number]
        cpu_s, memory = door.usage()
        counts = pool.counts
        return DoorReport(
            door.name,
            counts.served,
            counts.refused,
            counts.failed,
            counts.lost,
            counts.open,
            quantile(pool.latencies_us, 0.5),
            quantile(pool.latencies_us, 0.99),
            round(cpu_s, 2),
            round(memory / (1 << 20), 1),
            door.starts,
            door.tracebacks,
            door.state,
            door.delays.loop_ms,
            door.delays.first_read_ms,
        )

    def report(self) -> Report:
        """Audit all facts of the run and return its result."""
        model = self.network.model
        if model.oversized:  # the protocol limits the size; a run with an oversized datagram is not in order
            text = f"{model.oversized} datagrams of more than {MAX_DATAGRAM_BYTES} bytes were sent"
            self.facts.append(Extra(now_us(), "front doors", text))
        auditor = Auditor(rule_parameters(self.spec))
        auditor.feed(self.facts)
        ledger = auditor.audit()
        doors = [self.door_report(door) for door in self.doors]
        for door in doors:
            counts = ledger.by_door[door.name]
            door.served, door.refused = counts[Outcome.SERVED], counts[Outcome.REFUSED]
            door.failed, door.lost = counts[Outcome.FAILED], counts[Outcome.LOST_TO_KILL]
        return Report(
            self.scenario.name,
            self.seed,
            self.scenario.seconds,
            ledger,
            doors,
            self.jobs.trouble + self.clients.trouble,
            model.lost,
            model.delivered,
            self.late_counts,
        )

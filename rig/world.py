"""A world on loopback: servers, discovery, the network, front doors and clients, and a scenario's faults."""

import asyncio
import signal
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from random import Random

from rig import scenario as sc
from rig.audit.auditor import Auditor
from rig.audit.figures import Ceiling, Figures, Quota
from rig.audit.ledger import Ledger, Outcome
from rig.clients import HOSTILE, Clients, DoorPool, greet_and_stay, hostile
from rig.clock import Heartbeat, now_us
from rig.discovery import Agent
from rig.doors import FRONT_DOOR, Door
from rig.facts import Extra, Fact, Listed, Started, Told
from rig.front import Front
from rig.mail import MOST_BYTES, Mail, MailSpec
from rig.member import Building, Member, MemberSpec, SetDraining, SetSlow
from rig.registry import Entry, Registry
from rig.relay import Network
from rig.scenario import ZONES
from rig.servers import Server
from rig.sockets import host_of, own_host
from rig.timeline import Step, Verb, expand
from rig.workload import CLASSES, PLANS, Customer, LoadSpec, PlanSpec, arrivals, customers

S = 1_000_000
DRAIN_US = 1 * S
MAIL_PER_S = 60.0
NOTICE_US = 500_000  # for which a front door's death goes unnoticed
CROWD_GAP_S = 0.001  # between those of a crowd that connect: a burst, and not one turn of the rig's loop
PLANNED_US = 300_000  # for which new connections go on coming after a planned end began
LIST_LATE_US = 150_000  # how late discovery is in any case
MEMORY_MB, SOCKETS = 192, 1024
CONN_IDLE_US, CONNECT_US, MAX_WAIT_US = 10 * S, 250_000, 1 * S


def settings(number: int, doors: int, spec: MemberSpec) -> dict[str, object]:
    """The settings of one front door, as the deployment gives them: nested JSON."""
    return {
        "me": number, "balancers": doors, "zone": number % len(ZONES), "zones": list(ZONES),
        "kinds": ["two-core"], "registry-mode": "automatic", "domain-type": "gate",
        "categories": [{
            "name": kind.name, "on-time-us": kind.aim_us, "deadline-us": kind.deadline_us,
            "points": kind.worth, "late-worth": 0.0, "idempotency": kind.effect.value, "group": kind.group,
            "window-us": kind.window_us, "streamed": False,
        } for kind in CLASSES],
        "plans": [plan_settings(plan) for plan in PLANS],
        "ceilings": {
            "max-attempts": 4, "conn-idle-us": CONN_IDLE_US, "connect-timeout-us": CONNECT_US,
            "max-open": 20_000, "retry-after": True, "max-retry-after-us": MAX_WAIT_US, "may-cancel": True,
            "may-probe": False, "parallel-tries": False, "peers": True, "streams-per-conn": 1,
        },
        "extra": {"mail-per-s": MAIL_PER_S, "counter": False, "trued-up": False, "largest": 1},
        "stats": {"how": "inline", "names": ["util", "latency_ms"]},
        "prices": {"cross-zone": 0.01, "waste": 0.05, "late-fail": 0.03, "peer": 0.02},
        "obligations": {
            "grace-to-answer-us": 0, "drain-grace-us": DRAIN_US, "cold-from": spec.cold_from,
            "warm-within-us": spec.warm_us, "fall-multiple": spec.fall_multiple, "fall-us": spec.fall_us,
        },
    }


def plan_settings(plan: PlanSpec) -> dict[str, object]:
    return {
        "name": plan.name, "units-per-s": plan.rate, "burst": plan.burst, "max-out": 0,
        "value-factor": plan.worth, "extra-worth": 0.0, "overrun-cost": 0.6,
        "never-over-rate": plan.ceiling_rate, "hard-burst": plan.ceiling_burst,
        "hard-slack": plan.ceiling_slack,
    }


def figures(spec: MemberSpec) -> Figures:
    ceilings = {plan.name: Ceiling(plan.ceiling_rate, plan.ceiling_burst, plan.ceiling_slack)
                for plan in PLANS if plan.ceiling_rate}
    quotas = {plan.name: Quota(plan.rate, plan.burst) for plan in PLANS}
    return Figures(DRAIN_US, spec.fall_multiple, spec.fall_us, ceilings, quotas)


@dataclass(slots=True)
class DoorReport:
    """What one front door did and took."""

    name: str
    served: int = 0
    refused: int = 0
    failed: int = 0
    lost: int = 0
    open: int = 0
    p50_ms: float = 0.0
    p99_ms: float = 0.0
    cpu_s: float = 0.0
    memory_mb: float = 0.0
    starts: int = 0
    tracebacks: int = 0
    state: str = "up"


@dataclass(slots=True)
class Report:
    """A world's end."""

    scenario: str
    seed: int
    seconds: float
    ledger: Ledger
    doors: list[DoorReport]
    trouble: list[str] = field(default_factory=list)
    mail_lost: int = 0
    mail_delivered: int = 0

    @property
    def ok(self) -> bool:
        return self.ledger.ok and not self.trouble

    def json(self) -> dict[str, object]:
        """One object for machines; times in milliseconds, CPU in seconds, memory in megabytes."""
        counts = self.ledger.counts
        return {
            "scenario": self.scenario, "seed": self.seed, "seconds": self.seconds, "ok": self.ok,
            "requests": self.ledger.requests, "served": counts[Outcome.SERVED],
            "refused": counts[Outcome.REFUSED], "failed": counts[Outcome.FAILED],
            "lost_to_kills": counts[Outcome.LOST_TO_KILL], "clients_gone": counts[Outcome.CLIENT_GONE],
            "unaccounted": self.ledger.unaccounted, "broken_rules": self.ledger.rules_broken(),
            "broken": [broken.line() for broken in self.ledger.broken],
            "rig_late_ms": round(self.ledger.late_us / 1000, 1),
            "times_judged": self.ledger.times_judged, "rig_trouble": self.trouble,
            "repeats_dropped": self.ledger.repeats_dropped,
            "most_over_ceiling_units": round(self.ledger.units_over, 2),
            "most_over_quota_units": round(self.ledger.quota_over, 2),
            "quota_granted": round(self.ledger.quota_granted, 4),
            "datagrams_lost": self.mail_lost, "datagrams_delivered": self.mail_delivered,
            "doors": [{name: getattr(door, name) for name in DoorReport.__dataclass_fields__}
                      for door in self.doors],
        }


def quantile(values: Sequence[int], part: float) -> float:
    """In milliseconds; 0 of nothing."""
    ordered = sorted(values)
    return round(ordered[min(len(ordered) - 1, int(part * len(ordered)))] / 1000, 1) if ordered else 0.0


class World:
    """One run of a scenario."""

    def __init__(
        self, scenario: sc.Scenario, seed: int, command: Sequence[str] = FRONT_DOOR,
        spec: MemberSpec | None = None, door_type: type[Door] = Door,
    ) -> None:
        self.scenario, self.seed, self.spec = scenario, seed, spec or MemberSpec()
        self.host = own_host()
        self.facts: list[Fact] = []
        self.trouble: list[str] = []
        # A source of chance for each concern: what one draws does not change what another does.
        self.randoms = {name: Random(f"{seed}:{name}")
                        for name in ("load", "faults", "mail", "servers", "clients")}
        names = scenario.door_names()
        self.doors = [door_type(name, number, self.host, self.facts, command)
                      for number, name in enumerate(names)]
        self.by_name = {door.name: door for door in self.doors}
        window = max(kind.window_us for kind in CLASSES)
        self.buildings = {zone: Building(window) for zone in ZONES}
        self.front = Front(scenario.doors, NOTICE_US)
        self.pools = [DoorPool(door.name, door.address, self.facts) for door in self.doors]
        self.clients = Clients(self.pools, self.front, self.facts, self.randoms["clients"], seed)
        self.servers: dict[str, Server] = {}
        self.registry = Registry()
        self.agents = {door.name: Agent(door.name, self.address_at(door.name), self.facts)
                       for door in self.doors}
        self.network = Network(Mail(MailSpec(intake_per_s=MAIL_PER_S)),
                               [door.peer_address for door in self.doors], self.randoms["mail"])
        self.heart = Heartbeat(self.facts)
        self.jobs: dict[asyncio.Task[None], None] = {}
        self.crowds: dict[str, asyncio.Event] = {}
        self.late_list_us = LIST_LATE_US
        self.start_us = 0
        self.replaced: dict[str, str] = {}  # a server's name in the scenario, and who stands there now

    # --- start and end ---

    async def run(self, on_ready: Callable[[], None] = lambda: None) -> Report:
        """Start everything, play the day, end everything, and judge. Nothing stays behind."""
        try:
            await self.start()
            on_ready()
            await self.play()
            await self.finish()
        finally:
            self.close()
        return self.report()

    async def start(self) -> None:
        for number, name in enumerate(self.scenario.server_names()):
            server = self.add_server(name, ZONES[number % len(ZONES)])
            self.facts.append(Started(now_us(), server.name, float(self.spec.cores), 1.0, self.spec.warm_us))
        await self.network.start(self.host)
        for door in self.doors:
            agent = self.agents[door.name]
            await agent.learn(list(self.registry.entries.values()))
            discovery = await agent.start(self.host)
            door.write_config(
                name=door.name, listen="{}:{}".format(*door.address),
                discovery="{}:{}".format(*discovery), limits={"cores": 1.0, "memory_mb": MEMORY_MB,
                                                              "sockets": SOCKETS},
                peer_listen="{}:{}".format(*door.peer_address),
                peers=["{}:{}".format(*address) for address in self.network.peers_of(door.number)],
                settings=settings(door.number, len(self.doors), self.spec),
            )
            door.write_config(seed=f"{self.randoms['faults'].getrandbits(64):016x}", known=agent.known())
            door.start()
        await asyncio.gather(*(door.ready() for door in self.doors))
        self.heart.start()

    async def play(self) -> None:
        span_us = round(self.scenario.seconds * S)
        load = self.scenario.load
        spec = LoadSpec(load.rate, load.customers, load.greedy, impatient=load.impatient,
                        set_doors=load.set_doors)
        random = self.randoms["load"]
        everyone: list[Customer] = customers(spec, len(self.doors), random)
        day = arrivals(spec, everyone, span_us, random)
        self.start_us = now_us() + 50_000
        for step in expand(self.scenario, self.randoms["faults"]):
            self.spawn(self.step_at(step))
        await self.clients.run(day, self.start_us)

    async def finish(self) -> None:
        """End what faults have begun, then the front doors, in order."""
        for job in list(self.jobs):
            job.cancel()
        for crowd in self.crowds.values():
            crowd.set()
        for pool in self.pools:
            pool.close()
        for door in self.doors:
            door.usage()  # the last look at what it takes
        await asyncio.gather(*(door.finish() for door in self.doors))
        self.heart.stop()

    def close(self) -> None:
        """Let go of everything; also after a fault of the rig's."""
        self.heart.stop()
        for job in list(self.jobs):
            job.cancel()
        self.clients.cancel()
        for pool in self.pools:
            pool.close()
        for door in self.doors:
            door.close()
        for server in self.servers.values():
            server.close()
        for agent in self.agents.values():
            agent.close()
        self.network.close()

    def spawn(self, job: "asyncio._CoroutineLike[None]") -> None:
        task = asyncio.get_running_loop().create_task(job)
        self.jobs[task] = None
        task.add_done_callback(self.done)

    def done(self, task: asyncio.Task[None]) -> None:
        self.jobs.pop(task, None)
        if not task.cancelled() and (error := task.exception()):
            self.trouble.append(f"{type(error).__name__}: {error}")

    # --- servers and their list ---

    def address_at(self, door: str) -> Callable[[str], tuple[str, int]]:
        return lambda name: self.servers[name].listeners[door].address

    def add_server(self, name: str, zone: str, cold: bool = False) -> Server:
        member = Member(name, zone, self.spec, self.buildings[zone])
        host = host_of(self.host, len(self.servers))  # it listens for each front door
        server = Server(member, list(self.by_name), host, self.facts, self.randoms["servers"],
                        self.clients.work_of)
        self.servers[name] = server
        if cold:
            server.come_back(cold=True)
        self.registry.put(name, zone, Listed.SERVING, server.started_ms)
        return server

    def list_server(self, name: str, state: Listed) -> None:
        server = self.servers[name]
        entry = self.registry.put(name, server.member.zone, state, server.started_ms)
        self.spawn(self.spread(entry))

    async def spread(self, entry: Entry) -> None:
        """Discovery tells every front door's agent, late."""
        await asyncio.sleep(self.late_list_us / 1e6)
        for agent in self.agents.values():
            await agent.learn([entry])

    def here(self, name: str) -> Server:
        """The server that stands where the scenario names one."""
        return self.servers[self.replaced.get(name, name)]

    # --- faults ---

    async def step_at(self, step: Step) -> None:
        left = self.start_us + step.at_us - now_us()
        if left > 0:
            await asyncio.sleep(left / 1e6)
        await self.take(step)

    async def take(self, step: Step) -> None:
        if step.door:
            await self.take_door(step, self.by_name[step.door])
        elif step.server:
            self.take_server(step, self.here(step.server))
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
                self.here(step.server).cut(door.name)
            case Verb.JOIN:
                self.here(step.server).join(door.name)
            case Verb.GATHER:
                self.front.gather(door.number, step.amount)
            case Verb.CROWD:
                await self.crowd(door, round(step.amount))
            case Verb.HOSTILE:
                for number in range(round(step.amount)):
                    send = HOSTILE[number % len(HOSTILE)]
                    self.spawn(hostile(door.name, door.address, send, self.facts, lambda: not door.up))

    async def restart(self, door: Door) -> None:
        """Start a front door again, with nothing but a list. What its agent has by then counts as told."""
        agent = self.agents[door.name]
        door.write_config(seed=f"{self.randoms['faults'].getrandbits(64):016x}")
        if self.scenario.start_list is sc.StartList.LAST:
            door.write_config(known=agent.known())
        door.start()
        await door.ready()
        agent.told.clear()
        for entry in agent.view.whole():
            agent.told[entry.name] = entry.state
            self.facts.append(Told(now_us(), door.name, entry.name, entry.state))
        self.front.answered(door.number)

    async def move_discovery(self, door: Door) -> None:
        address = await self.agents[door.name].start(self.host)
        door.write_config(discovery="{}:{}".format(*address))
        door.signal(signal.SIGHUP)

    async def crowd(self, door: Door, count: int) -> None:
        if not count:
            if crowd := self.crowds.pop(door.name, None):
                crowd.set()
            return
        until = self.crowds.setdefault(door.name, asyncio.Event())
        for _ in range(count):
            self.spawn(greet_and_stay(door.address, until))
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
                self.list_server(server.name, Listed.SERVING)
            case Verb.RESET:
                server.reset_share = step.amount
            case Verb.SPOIL:
                server.spoil_share = step.amount
            case Verb.SLOW:
                server.tell(SetSlow(step.amount))
            case Verb.DRAIN | Verb.UNDRAIN:
                server.tell(SetDraining(step.verb is Verb.DRAIN))
                self.list_server(
                    server.name, Listed.DRAINING if step.verb is Verb.DRAIN else Listed.SERVING
                )
            case Verb.REPLACE:
                self.replace(step.server, server)

    def replace(self, name: str, server: Server) -> None:
        """The server goes, and a machine with a new name starts cold in its place."""
        server.die()
        self.list_server(server.name, Listed.DELETED)
        successor = f"{name}-{len(self.servers) + 1}"
        self.add_server(successor, server.member.zone, cold=True)
        self.replaced[name] = successor
        self.spawn(self.spread(self.registry.entries[successor]))

    async def take_other(self, step: Step) -> None:
        match step.verb:
            case Verb.DISCOVERY_DOWN | Verb.DISCOVERY_UP:
                for agent in self.agents.values():
                    await agent.set_silent(step.verb is Verb.DISCOVERY_DOWN)
            case Verb.DISCOVERY_LATE:
                self.late_list_us = LIST_LATE_US + round(step.amount * S)
            case Verb.SPLIT:
                self.network.mail.split(tuple(
                    frozenset(self.by_name[name].number for name in group) for group in step.groups
                ))
            case Verb.HEAL:
                self.network.mail.heal()
            case Verb.MAIL:
                loss, duplicate, reorder = step.mail
                usual = MailSpec()
                self.network.mail.change(loss=max(usual.loss, loss), duplicate=duplicate, reorder=reorder)
            case Verb.GATHER:
                self.front.gather(None)

    # --- what it was like ---

    def door_report(self, door: Door) -> DoorReport:
        pool = self.pools[door.number]
        cpu_s, memory = door.usage()
        count = pool.count
        return DoorReport(
            door.name, count.served, count.refused, count.failed, count.lost, count.open,
            quantile(pool.took_us, 0.5), quantile(pool.took_us, 0.99), round(cpu_s, 2),
            round(memory / (1 << 20), 1), door.starts, door.tracebacks, door.state,
        )

    def report(self) -> Report:
        mail = self.network.mail
        if mail.oversized:  # the protocol's bound: one of these voids a run
            text = f"{mail.oversized} datagrams of more than {MOST_BYTES} bytes were sent"
            self.facts.append(Extra(now_us(), "front doors", text))
        auditor = Auditor(figures(self.spec))
        auditor.feed(self.facts)
        ledger = auditor.judge()
        doors = [self.door_report(door) for door in self.doors]
        for door in doors:
            counts = ledger.by_door[door.name]
            door.served, door.refused = counts[Outcome.SERVED], counts[Outcome.REFUSED]
            door.failed, door.lost = counts[Outcome.FAILED], counts[Outcome.LOST_TO_KILL]
        return Report(self.scenario.name, self.seed, self.scenario.seconds, ledger, doors,
                      self.trouble + self.clients.trouble, mail.lost, mail.delivered)

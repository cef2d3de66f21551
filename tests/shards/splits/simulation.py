"""Front doors and cells on a simulated log, with faults.

The log has one order. Front doors lag, stop, fail and start from snapshots; messages and attempts are lost,
late or duplicated; several front doors may believe that they lead.
"""

from collections.abc import Callable
from dataclasses import dataclass, replace

import msgspec

from molereach.coordination.interface.clearance import ClearanceEvidence, NodeClearance
from molereach.coordination.interface.core import Tick
from molereach.coordination.interface.identifiers import NodeInstance
from molereach.coordination.interface.log import Applied, Entry, Outcome, Propose, Restored
from molereach.coordination.leases import bodies as leases
from molereach.coordination.leases.sessions import EndedSession, SessionRegistry
from molereach.policy.interface.settings import Idempotency
from molereach.shards.map.shard_map import CellId, ShardMap, map_error
from molereach.shards.proof import SessionClearance
from molereach.shards.splits import bodies
from molereach.shards.splits.bodies import (
    AbandonSplit,
    ClearRange,
    CloseRange,
    CreateMap,
    HandOver,
    PlanSplit,
)
from molereach.shards.splits.commands import CommandDone, SendCommand
from molereach.shards.splits.driver import SplitDriver, SplitUnneeded, SplitWanted
from molereach.shards.splits.machine import ShardsMachine, SplitSettings
from molereach.shards.splits.record import SplitRecord
from molereach.shards.splits.router import ShardRouter
from molereach.shards.splits.routing_interface import Placement
from molereach.shards.splits.states import State
from tests.shards.generated import CELLS, even_map
from tests.shards.splits.simulated_cells import Answer, Attempt, SimulatedCell, cells_of

WINDOW_MS = 8_000
STEP_US = 60_000
UPKEEP = "upkeep"


class SimulatedUpkeep:
    """Takes cells out of service and back by log entries; it asks the splits, and they ask it."""

    def __init__(self) -> None:
        self.out_of_service: set[str] = set()
        self.shards: ShardsMachine | None = None

    def occupied(self, cell: CellId, at_ms: int) -> str:
        return "work" if cell.name in self.out_of_service else ""

    def apply(self, entry: Entry) -> Outcome:
        """Put a cell back into service, or take it out unless a split occupies it."""
        assert self.shards
        cell = msgspec.json.decode(entry.body, type=CellId)
        if cell.name in self.out_of_service:
            self.out_of_service.discard(cell.name)
        elif not self.shards.split_in_progress(cell):
            self.out_of_service.add(cell.name)
        return Outcome()


@dataclass(frozen=True)
class Implementations:
    """The classes under test; a mutation replaces one of them."""

    shards: type[ShardsMachine] = ShardsMachine
    router: type[ShardRouter] = ShardRouter
    cell: type[SimulatedCell] = SimulatedCell


class Proxy:
    """One instance of one front door."""

    def __init__(self, instance: NodeInstance, implementations: Implementations) -> None:
        self.instance, self.sessions, self.upkeep = instance, SessionRegistry(), SimulatedUpkeep()
        self.shards = implementations.shards(SplitSettings(WINDOW_MS), self.sessions, self.upkeep)
        self.upkeep.shards = self.shards
        self.router = implementations.router(self.shards)
        self.applied, self.stopped = 0, False
        self.driver: SplitDriver | None = None

    def apply(self, now_us: int, entry: Entry) -> Outcome:
        machines = {leases.MACHINE: self.sessions, bodies.MACHINE: self.shards, UPKEEP: self.upkeep}
        outcome: Outcome = machines[entry.machine].apply(entry)  # type: ignore[attr-defined]
        self.applied = entry.position
        self.router.handle(now_us, Applied(entry, outcome))
        return outcome

    def restore(self, now_us: int, other: "Proxy") -> None:
        """Start from the snapshots of another front door."""
        self.sessions.restore(other.sessions.snapshot())
        self.shards.restore(other.shards.snapshot())
        assert self.shards.snapshot() == other.shards.snapshot()
        self.upkeep.out_of_service, self.applied = set(other.upkeep.out_of_service), other.applied
        self.router.handle(now_us, Restored(other.applied))


@dataclass
class Request:
    """A client's request at one front door."""

    attempt: Attempt
    name: str
    previous: Placement | None = None
    retries_left: int = 3


class Simulation:
    """The log, its front doors, the cells, and what is in flight between them."""

    def __init__(
        self,
        draw: Callable[[], float],
        implementations: Implementations = Implementations(),
        shards: int = 2,
    ) -> None:
        self.draw, self.implementations, self.now_us = draw, implementations, 0
        self.entries: list[Entry] = []
        self.ids: set[str] = set()
        initial = even_map(shards)
        self.cells = cells_of(initial, implementations.cell)
        for cell in CELLS[:8]:
            self.cells.setdefault(cell.name, implementations.cell(cell, self.cells))
        self.reference = Proxy(NodeInstance("truth", 0), implementations)  # applies each entry at once
        self.proxies: dict[str, Proxy] = {}
        self.reported: dict[int, tuple[int, int]] = {}  # applied and clear position, by fencing token
        self.in_flight: list[Callable[[], None]] = []  # each may be lost or late
        self.not_duplicated: set[Callable[[], None]] = set()  # attempts and answers; others may be duplicated
        self.non_idempotent_cells: dict[str, set[str]] = {}  # the cells that a request was sent to, by its ID
        self.tries: dict[tuple[str, str], set[str]] = {}  # of keyed requests, by front-door instance
        self.sent_us: dict[str, int] = {}
        self.keyed: list[Attempt] = []
        self.copy_positions: dict[str, int] = {}
        self.hand_over_positions: dict[str, int] = {}
        self.requests = 0
        self.answers: list[Answer] = []
        for name in "abc":
            self.start(NodeInstance(name, 1))
        self.append(
            bodies.MACHINE, bodies.encode(CreateMap(initial.ranges, (0,) * shards)), NodeInstance("a", 1)
        )

    # --- the log ---

    def append(self, machine: str, body: bytes, proposer: NodeInstance, id: str = "") -> Outcome:
        """Append an entry to the log, and check the invariants."""
        id = id or f"own{len(self.entries)}"
        if id in self.ids:
            return Outcome("told again")
        self.ids.add(id)
        entry = Entry(len(self.entries) + 1, machine, id, proposer, self.now_us // 1000, body)
        self.entries.append(entry)
        outcome = self.reference.apply(self.now_us, entry)
        if not outcome.error and machine == bodies.MACHINE:
            self.check_step(bodies.decode(body), entry)
        self.check_state()
        return outcome

    def check_step(self, body: bodies.Body, entry: Entry) -> None:
        """What must hold when a step is taken."""
        match body:
            case bodies.StartCopy():
                self.copy_positions[body.id] = entry.position
            case HandOver():
                self.hand_over_positions[body.id] = entry.position
                self.check_all_at_least(self.copy_positions[body.id], lambda proxy: proxy.applied)
            case ClearRange():
                self.check_all_at_least(self.hand_over_positions[body.id], lambda proxy: proxy.applied)
                for proxy in self.proxies.values():
                    window = proxy.router._repeat_windows.get(body.id)
                    active = self.reference.sessions.active_session(proxy.instance.name)
                    if (
                        window
                        and active
                        and active.instance == proxy.instance
                        and active.fencing_token < self.hand_over_positions[body.id]
                    ):
                        assert window.until_us <= self.now_us, "repeats still go to the source cell"

    def check_all_at_least(self, position: int, reached: Callable[[Proxy], int]) -> None:
        """Each front door whose session was open at a position has reached it."""
        for session in self.reference.sessions.active_sessions():
            proxy = self.proxies.get(session.instance.name)
            if session.fencing_token < position and proxy and proxy.instance == session.instance:
                assert reached(proxy) >= position, f"{session.instance.name} is before {position}"

    def check_state(self) -> None:
        """The map is valid, and no cell is in two splits or in a split and in upkeep."""
        registry, shard_map = self.reference.shards.registry, self.reference.shards.map
        assert not (shard_map and map_error(shard_map))
        cells = [cell for split in registry.open.values() for cell in split.cells]
        assert len(set(cells)) == len(cells), "two splits of one cell"
        for cell in cells:
            assert not (
                cell.name in self.reference.upkeep.out_of_service
                and self.reference.shards.split_in_progress(cell)
            ), "a split of a cell in upkeep"

    def start(self, instance: NodeInstance) -> Proxy:
        """Start a front door from a snapshot, with a session."""
        proxy = Proxy(instance, self.implementations)
        proxy.restore(self.now_us, self.reference)
        self.proxies[instance.name] = proxy
        self.open_session(proxy)
        return proxy

    def open_session(self, proxy: Proxy) -> None:
        self.append(leases.MACHINE, leases.encode(leases.OpenSession(proxy.instance)), proxy.instance)

    def expire_session(self, name: str) -> None:
        active = self.reference.sessions.active_session(name)
        if active:
            end = leases.EndSession(active.instance, active.fencing_token, 0)
            self.append(leases.MACHINE, leases.encode(end), active.instance)

    def catch_up(self, proxy: Proxy, max_entries: int = 1 << 30) -> None:
        """Apply the next entries at a front door."""
        for entry in self.entries[proxy.applied : proxy.applied + max_entries]:
            proxy.apply(self.now_us, entry)

    def report(self, proxy: Proxy) -> None:
        """A front door reports its positions under its session."""
        active = proxy.sessions.active_session(proxy.instance.name)
        if active and active.instance == proxy.instance:
            proxy.router.handle(self.now_us, Tick())
            self.reported[active.fencing_token] = (proxy.applied, proxy.router.clear_position)

    # --- proofs for the driver at a front door ---

    def clearances(self, proxy: Proxy, position: int, which: int) -> tuple[NodeClearance, ...] | None:
        """A proof by the reported positions: 0 for the applied, 1 for the clear ones."""
        clearances = []
        if proxy.applied < position:
            return None
        for session in proxy.sessions.sessions_open_at(position):
            if isinstance(session, EndedSession):
                clearances.append(NodeClearance(session.instance, session.evidence, session.position))
            elif self.reported.get(session.fencing_token, (0, 0))[which] >= position:
                clearances.append(NodeClearance(session.instance, ClearanceEvidence.REPORTED, position))
            else:
                return None
        return tuple(clearances)

    def elect(self, name: str, ballot: int) -> None:
        """A front door becomes leader; others may still believe that they lead."""
        simulation, proxy = self, self.proxies[name]

        class Tracker:
            def applied(self, position: int) -> tuple[NodeClearance, ...] | None:
                return simulation.clearances(proxy, position, 0)

            def clear(self, position: int) -> tuple[NodeClearance, ...] | None:
                return simulation.clearances(proxy, position, 1)

        proxy.driver = SplitDriver(proxy.shards, proxy.sessions, Tracker(), ballot)

    def drive(self, proxy: Proxy, event: SplitWanted | SplitUnneeded | CommandDone | Tick) -> None:
        """An event for the driver at a front door; its actions go in flight."""
        if proxy.driver is None or proxy.stopped:
            return
        for action in proxy.driver.handle(self.now_us, event):
            if isinstance(action, Propose):
                self.in_flight.append(lambda action=action: self.propose(proxy, action))  # type: ignore[misc]
            elif isinstance(action, SendCommand):
                self.in_flight.append(lambda action=action: self.command(proxy, action))  # type: ignore[misc]

    def propose(self, proxy: Proxy, action: Propose) -> None:
        self.append(action.machine, action.body, proxy.instance, action.id)

    def command(self, proxy: Proxy, action: SendCommand) -> None:
        done = self.cells[action.cell.name].execute(action.command, action.split)
        if done is not None:
            self.in_flight.append(lambda: self.drive(proxy, done))

    def propose_blindly(self, split: SplitRecord) -> None:
        """A step from a proposer that checks nothing, with whatever proof there is."""
        proof = []
        for session in self.reference.sessions.sessions_open_at(split.position):
            if isinstance(session, EndedSession):
                proof.append(SessionClearance(session.fencing_token, session.evidence, session.position))
            elif (
                self.reported.get(session.fencing_token, (0, 0))[split.state is State.HANDED_OVER]
                >= split.position
            ):
                proof.append(
                    SessionClearance(session.fencing_token, ClearanceEvidence.REPORTED, split.position)
                )
        body: bodies.Body = CloseRange(split.id, split.position, tuple(proof))
        if split.state is State.HANDED_OVER:
            body = ClearRange(split.id, split.position, tuple(proof))
        elif self.draw() < 0.04:
            body = AbandonSplit(split.id, split.position, "no reason")
        self.append(bodies.MACHINE, bodies.encode(body), NodeInstance("a", 1))

    # --- requests ---

    def request(self, name: str, idempotency: Idempotency, member: int, size: int = 1) -> None:
        """A client sends a request to a front door."""
        self.requests += 1
        attempt = Attempt(f"r{self.requests}", member, idempotency, False, size)
        self.sent_us[attempt.id] = self.now_us
        if idempotency is Idempotency.IDEMPOTENT_WITH_KEY:
            self.keyed.append(attempt)
        self.send(Request(attempt, name))

    def repeat(self, name: str, attempt: Attempt) -> None:
        """The client repeats a request within its window, at any front door."""
        if self.now_us - self.sent_us[attempt.id] < WINDOW_MS * 1000:
            self.send(Request(replace(attempt, is_repeat=True), name))

    def send(self, request: Request) -> None:
        """A front door sends an attempt where its router says, if anywhere."""
        proxy, attempt = self.proxies[request.name], request.attempt
        if proxy.stopped or self.now_us - self.sent_us[attempt.id] >= WINDOW_MS * 1000:
            return
        placement = proxy.router.place(
            self.now_us, attempt.member, attempt.idempotency, attempt.is_repeat, request.previous
        )
        if placement is None:
            return
        is_repeat = attempt.is_repeat or request.previous is not None
        sent = replace(attempt, is_repeat=is_repeat)
        if attempt.idempotency is Idempotency.NON_IDEMPOTENT:
            self.non_idempotent_cells.setdefault(attempt.id, set()).add(placement.cell)
            assert len(self.non_idempotent_cells[attempt.id]) == 1, "non-idempotent request to two cells"
        if attempt.idempotency is Idempotency.IDEMPOTENT_WITH_KEY and request.previous:
            assert placement.cell == request.previous.cell, "a keyed request went to another cell"
        request.previous = placement

        def arrive() -> None:
            answer = self.cells[placement.cell].handle(sent)
            self.answers.append(answer)
            if answer.executed:
                executions = [
                    each for cell in self.cells.values() for each in cell.executed if each.id == sent.id
                ]
                assert sent.idempotency is Idempotency.IDEMPOTENT or len(executions) == 1, (
                    f"{sent.idempotency} executed twice"
                )
            self.post(lambda: self.on_answer(request, placement, answer))

        self.post(arrive)

    def post(self, delivery: Callable[[], None]) -> None:
        """Put an attempt or an answer in flight."""
        self.in_flight.append(delivery)
        self.not_duplicated.add(delivery)

    def on_answer(self, request: Request, placement: Placement, answer: Answer) -> None:
        """A front door retries a rejected attempt, with the map that it fetched if the backend's is later."""
        proxy, shard_map = self.proxies[request.name], self.reference.shards.map
        if answer.busy and request.retries_left and shard_map and not proxy.stopped:
            request.retries_left -= 1
            proxy.router.on_rejected(self.now_us, placement, shard_map.version)
            if any(proxy.router.handle(self.now_us, Tick())):
                self.catch_up(proxy)
            self.send(request)

    # --- running it ---

    def step_time(self) -> None:
        """Advance by a random time."""
        self.now_us += int(self.draw() * 2 * STEP_US)

    def wait(self, us: int) -> None:
        self.now_us += us

    def run_without_faults(self, rounds: int, before: Callable[[int], None] = lambda round: None) -> None:
        """Rounds in which all running front doors catch up, and all that is in flight arrives once."""
        for round in range(rounds):
            self.now_us += STEP_US
            before(round)
            for proxy in self.proxies.values():
                if not proxy.stopped:
                    self.catch_up(proxy)
                    self.report(proxy)
                    self.drive(proxy, Tick())
            deliveries, self.in_flight = self.in_flight, []
            for delivery in deliveries:
                delivery()

    def state(self, id: str) -> State | None:
        """The state of a split."""
        split = self.reference.shards.registry.get(id)
        return split.state if split else None

    def check_stored(self) -> None:
        """Each member's bytes are stored where the map says, and only there; shard sizes are those stored."""
        shard_map = self.reference.shards.map
        assert shard_map
        written: dict[int, int] = {}
        for cell in self.cells.values():
            for attempt in cell.executed:
                written[attempt.member] = written.get(attempt.member, 0) + attempt.size
        for index, each in enumerate(shard_map.ranges):
            expected = {
                member: size
                for member, size in written.items()
                if each.first <= member < shard_map.range_end(index)
            }
            for name, cell in self.cells.items():
                stored = {
                    member: size
                    for member, size in cell.stored.items()
                    if each.first <= member < shard_map.range_end(index)
                }
                assert stored == (expected if name == each.cell.name else {}), f"{name} has {each.shard}"
            counted = sum(cell.by_shard.get(each.shard, 0) for cell in self.cells.values())
            assert self.reference.shards.base_bytes(each.shard) + counted == sum(expected.values())


def plan_split(shard_map: ShardMap, id: str, index: int = 0, fraction: float = 0.5) -> PlanSplit:
    """A plan to split the shard of a range, with another cell of its building as the target."""
    source = shard_map.ranges[index]
    split_point = source.first + int((shard_map.range_end(index) - source.first) * fraction)
    same_building = [cell for cell in CELLS[:8] if cell.building == source.cell.building]
    return PlanSplit(
        id,
        source.shard,
        split_point,
        same_building[(same_building.index(source.cell) + 2) % len(same_building)],
    )

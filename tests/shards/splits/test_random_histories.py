"""Random histories: requests go on through splits while front doors lag, stop and fail, and several lead.

A non-idempotent request is never sent to two cells, a keyed one is executed once, each write is stored where
the map says, no cell is in two splits or in a split and in upkeep, and each step is taken only when its
conditions hold.
"""

from collections.abc import Sequence

import msgspec
import pytest

from molereach.coordination.interface.core import Tick
from molereach.coordination.interface.identifiers import NodeInstance
from molereach.coordination.leases import bodies as leases
from molereach.policy.interface.settings import Idempotency
from molereach.shards.map.shard_map import MEMBER_ID_LIMIT, CellId, ShardRange
from molereach.shards.splits import bodies
from molereach.shards.splits.bodies import PlanSplit, Proof
from molereach.shards.splits.driver import SplitUnneeded, SplitWanted
from molereach.shards.splits.machine import ShardsMachine
from molereach.shards.splits.record import SplitRecord
from molereach.shards.splits.router import ShardRouter
from molereach.shards.splits.routing_interface import Placement
from molereach.shards.splits.states import State
from tests.shards.generated import CELLS, random_source
from tests.shards.splits.simulated_cells import Answer, Attempt, SimulatedCell
from tests.shards.splits.simulation import (
    STEP_US,
    UPKEEP,
    Implementations,
    Proxy,
    Simulation,
    plan_split,
)

EVENTS = 1500


def random_event(simulation: Simulation, ballots: list[int]) -> None:
    """One random event: a request, a delivery, progress, a fault, upkeep, or a step without any checks."""
    draw = simulation.draw
    name = "abc"[int(draw() * 3)]
    proxy, choice = simulation.proxies[name], draw()
    simulation.step_time()
    if choice < 0.15:
        member = int(draw() * MEMBER_ID_LIMIT) if draw() < 0.3 else int(draw() * 64) * (MEMBER_ID_LIMIT // 64)
        simulation.request(name, list(Idempotency)[int(draw() * 3)], member, 1 + int(draw() * 9))
    elif choice < 0.22 and simulation.keyed:
        simulation.repeat(name, simulation.keyed[-1 - int(draw() * min(30, len(simulation.keyed)))])
    elif choice < 0.58 and simulation.in_flight:
        delivery = simulation.in_flight[int(draw() * len(simulation.in_flight))]
        fate = draw()
        if fate < 0.75 or delivery in simulation.not_duplicated:
            simulation.in_flight.remove(delivery)
        if fate > 0.04:
            delivery()
    elif choice < 0.72 and not proxy.stopped:
        simulation.catch_up(proxy, 1 + int(draw() * 6))
        simulation.report(proxy)
    elif choice < 0.86:
        simulation.drive(proxy, Tick())
    elif choice < 0.88:
        random_fault(simulation, proxy, ballots)
    elif choice < 0.89:
        cell = CELLS[int(draw() * 4)]
        if draw() < (0.3 if cell.name in simulation.reference.upkeep.out_of_service else 0.6):
            simulation.append(UPKEEP, msgspec.json.encode(cell), proxy.instance)
    elif choice < 0.96 and simulation.reference.shards.registry.open:
        open_splits = list(simulation.reference.shards.registry.open.values())
        simulation.propose_blindly(open_splits[int(draw() * len(open_splits))])
    else:
        random_split(simulation, proxy)


def random_fault(simulation: Simulation, proxy: Proxy, ballots: list[int]) -> None:
    """A front door stops, resumes, loses its session or restarts, or another leader is elected."""
    draw, name = simulation.draw, proxy.instance.name
    match int(draw() * 6):
        case 0:
            proxy.stopped = True  # its session expires now or later
        case 1:
            proxy.stopped = False
            active = simulation.reference.sessions.active_session(name)
            if not active or active.instance != proxy.instance:
                simulation.open_session(proxy)
        case 2:
            simulation.expire_session(name)
        case 3:  # it restarts
            instance = NodeInstance(name, proxy.instance.number + 1)
            simulation.proxies[name].stopped = True
            simulation.start(instance)
        case _:  # a new leader; the last one may not know
            ballots.append(len(ballots))
            simulation.elect(name, len(ballots))


def random_split(simulation: Simulation, proxy: Proxy) -> None:
    """A split is wanted, or is no longer needed."""
    shard_map, draw = simulation.reference.shards.map, simulation.draw
    assert shard_map
    if draw() < 0.12 and simulation.reference.shards.registry.open:
        id = next(iter(simulation.reference.shards.registry.open))
        simulation.drive(proxy, SplitUnneeded(id, "growth turned"))
    elif len(shard_map.ranges) < 12:
        plan = plan_split(
            shard_map,
            f"s{len(simulation.entries)}",
            int(draw() * len(shard_map.ranges)),
            0.2 + 0.6 * draw(),
        )
        if draw() < 0.5:
            simulation.append(bodies.MACHINE, bodies.encode(plan), proxy.instance)
        else:
            simulation.drive(proxy, SplitWanted(plan))


def run_history(seed: int, implementations: Implementations = Implementations()) -> Simulation:  # noqa: B008
    """Random events, then no faults until all splits have ended; the invariants hold throughout."""
    simulation, ballots = Simulation(random_source(seed), implementations), [0]
    simulation.elect("a", 1)
    for _ in range(EVENTS):
        random_event(simulation, ballots)
    for name in "abc":  # the faults end
        proxy = simulation.proxies[name]
        proxy.stopped, proxy.driver = False, None
        simulation.catch_up(proxy)
        active = simulation.reference.sessions.active_session(name)
        if not active or active.instance != proxy.instance:
            simulation.open_session(proxy)
    for cell_name in list(simulation.reference.upkeep.out_of_service):
        cell = next(cell for cell in CELLS if cell.name == cell_name)
        simulation.append(UPKEEP, msgspec.json.encode(cell), NodeInstance("a", 1))
    simulation.elect("b", len(ballots) + 1)
    simulation.run_without_faults(250, lambda _: simulation.wait(2 * STEP_US))
    registry = simulation.reference.shards.registry
    assert not registry.open, "a split never ends"
    simulation.check_stored()
    before = len(simulation.answers)
    for name in "abc":
        for member in range(0, MEMBER_ID_LIMIT, MEMBER_ID_LIMIT // 16):
            simulation.request(name, Idempotency.NON_IDEMPOTENT, member)
    simulation.run_without_faults(3)
    assert not any(answer.busy for answer in simulation.answers[before:]), "requests are rejected forever"
    simulation.check_stored()
    for proxy in simulation.proxies.values():
        assert proxy.shards.snapshot() == simulation.reference.shards.snapshot()
    return simulation


@pytest.mark.parametrize("seed", range(18))
def test_the_invariants_hold_in_random_histories(seed: int) -> None:
    run_history(seed)


def test_the_histories_reach_both_final_states() -> None:
    ended = [
        split for seed in range(2) for split in run_history(seed).reference.shards.registry.ended.values()
    ]
    assert sum(split.state is State.CLEARED for split in ended) >= 4
    assert sum(split.state is State.ABANDONED for split in ended) >= 2


class AcceptsAnyProof(ShardsMachine):
    """Mutation: a proof is not checked."""

    def proof_error(self, proof: Proof, entry_position: int) -> str:
        return ""


class AllowsTwoSplitsOfOneCell(ShardsMachine):
    """Mutation: other splits of a cell are ignored."""

    def split_conflict(self, cell: CellId) -> str:
        return ""


class IgnoresUpkeep(ShardsMachine):
    """Mutation: upkeep of a cell is ignored."""

    def upkeep_conflict(self, record: SplitRecord, at_ms: int) -> str:
        return ""


class NonIdempotentByMap(ShardRouter):
    """Mutation: the previous attempt of a non-idempotent request is ignored."""

    def place_non_idempotent(self, shard_range: ShardRange, previous: Placement | None) -> Placement | None:
        return self._by_map(shard_range)


class KeyedByMap(ShardRouter):
    """Mutation: all keyed requests go by the map."""

    def place_keyed(
        self,
        shard_range: ShardRange,
        recent_split: SplitRecord | None,
        is_repeat: bool,
        previous: Placement | None,
    ) -> Placement | None:
        return self._by_map(shard_range)


class RepeatsByMap(ShardRouter):
    """Mutation: repeats of keyed requests go by the map."""

    def place_keyed(
        self,
        shard_range: ShardRange,
        recent_split: SplitRecord | None,
        is_repeat: bool,
        previous: Placement | None,
    ) -> Placement | None:
        return super().place_keyed(shard_range, None, is_repeat, previous)


class KeepsFirstMap(ShardRouter):
    """Mutation: the router never takes over a later map."""

    def _follow_machine(self, now_us: int) -> None:
        if self._lookup is None:
            super()._follow_machine(now_us)


class ClearsAtOnce(ShardRouter):
    """Mutation: a hand-over is cleared before its window is over."""

    @property
    def clear_position(self) -> int:
        return self._applied


class AcceptsOldCommands(SimulatedCell):
    """Mutation: commands of former leaders are carried out."""

    def is_newer(self, split: SplitRecord) -> bool:
        return True


class StaysOpen(SimulatedCell):
    """Mutation: requests of a closed range are executed."""

    def is_closed(self, member: int) -> bool:
        return False


class ExecutesRepeats(SimulatedCell):
    """Mutation: unknown repeats of a range that was handed over are executed instead of passed on."""

    def pass_on(self, split: SplitRecord, attempt: Attempt) -> Answer:
        if (
            attempt.idempotency is Idempotency.IDEMPOTENT_WITH_KEY
            and attempt.is_repeat
            and attempt.id not in self.memory
        ):
            self.executed.append(attempt)
            return Answer(True, False, split.shard)
        return super().pass_on(split, attempt)


def is_detected(implementations: Implementations, seeds: Sequence[int]) -> bool:
    """Whether a history fails at one of the seeds."""
    for seed in seeds:
        try:
            run_history(seed, implementations)
        except (AssertionError, ValueError, KeyError):
            return True
    return False


@pytest.mark.parametrize(
    "implementations",
    [
        Implementations(shards=AcceptsAnyProof),
        Implementations(shards=AllowsTwoSplitsOfOneCell),
        Implementations(shards=IgnoresUpkeep),
        Implementations(router=NonIdempotentByMap),
        Implementations(router=KeyedByMap),
        Implementations(router=RepeatsByMap),
        Implementations(router=KeepsFirstMap),
        Implementations(cell=AcceptsOldCommands),
        Implementations(cell=StaysOpen),
        Implementations(cell=ExecutesRepeats),
        Implementations(router=ClearsAtOnce),
    ],
    ids=lambda implementations: next(
        kind.__name__
        for kind in (implementations.shards, implementations.router, implementations.cell)
        if kind not in (ShardsMachine, ShardRouter, SimulatedCell)
    ),
)
def test_a_mutation_is_detected(implementations: Implementations) -> None:
    assert is_detected(implementations, range(30))


def test_a_proxy_that_replays_the_log_reaches_the_same_state() -> None:
    simulation = run_history(3)
    replayed = Proxy(NodeInstance("z", 9), simulation.implementations)
    for entry in simulation.entries:
        replayed.apply(0, entry)
    assert replayed.shards.snapshot() == simulation.reference.shards.snapshot()
    assert any(entry.machine == leases.MACHINE for entry in simulation.entries)
    assert isinstance(
        bodies.decode(bodies.encode(plan_split(simulation.reference.shards.map, "x"))),  # type: ignore
        PlanSplit,
    )

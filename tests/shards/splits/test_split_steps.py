"""Special cases, one by one: failing leaders, partitioned front doors, abandoned and concurrent splits."""

import pytest

from molereach.coordination.interface.clearance import ClearanceEvidence
from molereach.coordination.interface.core import Tick
from molereach.coordination.interface.identifiers import NodeInstance
from molereach.coordination.interface.log import Restored
from molereach.policy.interface.settings import Idempotency
from molereach.shards.map.shard_map import MEMBER_ID_LIMIT, CellId
from molereach.shards.proof import SessionClearance
from molereach.shards.splits import bodies
from molereach.shards.splits.bodies import (
    AbandonSplit,
    ClearRange,
    CloseRange,
    CreateMap,
    HandOver,
    PlanSplit,
    StartCopy,
)
from molereach.shards.splits.commands import CellCommand, CommandDone
from molereach.shards.splits.driver import SplitUnneeded, SplitWanted
from molereach.shards.splits.record import SplitRecord
from molereach.shards.splits.registry import MAX_OPEN
from molereach.shards.splits.router import FetchMap, ShardRouter
from molereach.shards.splits.states import State
from tests.shards.generated import CELLS, even_map, random_source
from tests.shards.splits.simulated_cells import SimulatedCell
from tests.shards.splits.simulation import WINDOW_MS, Implementations, Simulation, plan_split

A = NodeInstance("a", 1)
MEMBER_IN_RANGE = MEMBER_ID_LIMIT // 2 - 1  # of the first shard, in the range that goes to the target cell


def simulate(shards: int = 2) -> tuple[Simulation, PlanSplit]:
    """A simulation with a map, and a plan to split its first shard."""
    simulation = Simulation(random_source(1), Implementations(), shards)
    shard_map = simulation.reference.shards.map
    assert shard_map
    return simulation, plan_split(shard_map, "s")


def apply(simulation: Simulation, body: bodies.Body) -> str:
    """Append an entry; its error, empty if it was accepted."""
    return simulation.append(bodies.MACHINE, bodies.encode(body), A).error


def proof_at(simulation: Simulation, position: int) -> tuple[SessionClearance, ...]:
    """A proof in which all open sessions report this position."""
    return tuple(
        SessionClearance(session.fencing_token, ClearanceEvidence.REPORTED, position)
        for session in simulation.reference.sessions.active_sessions()
    )


def split_position(simulation: Simulation) -> int:
    """The position that the next step of the split must name."""
    return simulation.reference.shards.registry.open["s"].position


def send_requests(simulation: Simulation) -> None:
    """Requests of each kind at each front door, inside and outside of the range."""
    for name in "abc":
        for idempotency in Idempotency:
            simulation.request(name, idempotency, MEMBER_IN_RANGE)
            simulation.request(name, idempotency, 5)


@pytest.mark.parametrize("step", range(1, 24))
def test_the_next_leader_completes_a_split_whichever_step_the_last_one_failed_at(step: int) -> None:
    simulation, plan = simulate()
    simulation.elect("a", 1)
    for proxy in simulation.proxies.values():
        simulation.catch_up(proxy)
    simulation.drive(simulation.proxies["a"], SplitWanted(plan))

    def fail_leader(round: int) -> None:
        if round < 60:
            send_requests(simulation)
        if round == step:
            simulation.proxies["a"].stopped = True
            simulation.expire_session("a")
            simulation.elect("b", 2)
            if simulation.reference.shards.registry.get("s") is None:
                simulation.drive(simulation.proxies["b"], SplitWanted(plan))

    simulation.run_without_faults(300, fail_leader)
    assert simulation.state("s") is State.CLEARED
    simulation.run_without_faults(3)
    simulation.check_stored()


def test_a_partitioned_proxy_blocks_no_split_and_sends_nothing_to_a_wrong_cell() -> None:
    simulation, plan = simulate()
    simulation.elect("a", 1)
    partitioned = simulation.proxies["c"]
    simulation.catch_up(partitioned)
    simulation.drive(simulation.proxies["a"], SplitWanted(plan))
    partitioned.stopped = True
    simulation.run_without_faults(40)
    assert simulation.state("s") is State.COPYING  # its report is missing
    simulation.expire_session("c")
    simulation.run_without_faults(60)
    assert simulation.state("s") is State.HANDED_OVER
    partitioned.stopped = False  # it serves by its old map, and gets no entries
    before = len(simulation.answers)
    placement = partitioned.router.place(simulation.now_us, MEMBER_IN_RANGE, Idempotency.NON_IDEMPOTENT)
    assert placement and placement.cell == "c0"
    simulation.request("c", Idempotency.NON_IDEMPOTENT, MEMBER_IN_RANGE)
    deliveries, simulation.in_flight = simulation.in_flight, []
    for delivery in deliveries:
        delivery()
    assert [answer.busy for answer in simulation.answers[before:]] == [True]
    assert simulation.non_idempotent_cells["r1"] == {"c0"}  # rejected there, it is not sent to another cell
    simulation.open_session(partitioned)
    simulation.run_without_faults(200)
    assert simulation.state("s") is State.CLEARED
    simulation.check_stored()


@pytest.mark.parametrize("rounds", [2, 4, 5, 6, 7, 8])
def test_an_unneeded_split_is_abandoned_before_the_hand_over_and_changes_nothing(rounds: int) -> None:
    simulation, plan = simulate()
    simulation.elect("a", 1)
    simulation.drive(simulation.proxies["a"], SplitWanted(plan))
    simulation.run_without_faults(rounds, lambda _: send_requests(simulation))
    state = simulation.state("s")
    simulation.drive(simulation.proxies["a"], SplitUnneeded("s", "growth turned"))
    simulation.run_without_faults(300, lambda round: send_requests(simulation) if round < 40 else None)
    simulation.run_without_faults(3)
    shard_map = simulation.reference.shards.map
    assert shard_map and state
    may_be_abandoned = state in (State.PLANNED, State.COPYING)
    assert simulation.state("s") in (
        (State.ABANDONED, State.CLEARED) if may_be_abandoned else (State.CLEARED,)
    )
    assert rounds > 4 or simulation.state("s") is State.ABANDONED
    assert (shard_map.version == 1) is (simulation.state("s") is State.ABANDONED)
    simulation.check_stored()


@pytest.mark.parametrize(
    ("unanswered", "final"),
    [
        (CellCommand.COPY, State.COPYING),
        (CellCommand.CLOSE, State.ABANDONED),
        (CellCommand.OPEN, State.CLEARED),
    ],
)
def test_a_cell_does_not_answer_a_command(unanswered: CellCommand, final: State) -> None:
    class SilentCell(SimulatedCell):
        def execute(self, command: CellCommand, split: SplitRecord) -> CommandDone | None:
            done = super().execute(command, split)
            return None if command is unanswered else done

    simulation = Simulation(random_source(1), Implementations(cell=SilentCell))
    shard_map = simulation.reference.shards.map
    assert shard_map
    simulation.elect("a", 1)
    simulation.drive(simulation.proxies["a"], SplitWanted(plan_split(shard_map, "s")))
    simulation.run_without_faults(300, lambda round: send_requests(simulation) if round < 60 else None)
    assert simulation.state("s") is final
    simulation.run_without_faults(3)
    simulation.check_stored()


def test_a_second_split_in_a_building_uses_other_cells_or_is_rejected() -> None:
    simulation, plan = simulate()
    shard_map = simulation.reference.shards.map
    assert shard_map and not apply(simulation, plan)
    other = shard_map.ranges[1]
    same_target = PlanSplit("t", other.shard, other.first + 9, plan.target)
    assert "split s is planned" in apply(simulation, same_target)
    to_source = PlanSplit("t", other.shard, other.first + 9, CELLS[0])
    assert "split s is planned" in apply(simulation, to_source)
    assert not apply(simulation, PlanSplit("t", other.shard, other.first + 9, CELLS[3]))
    assert apply(simulation, AbandonSplit("s", split_position(simulation), "")) == ""
    assert not apply(simulation, PlanSplit("u", 1, 99, CELLS[2]))


def test_each_step_is_rejected_until_its_conditions_hold() -> None:
    simulation, plan = simulate()
    assert apply(simulation, CreateMap(even_map(1).ranges, (0,))) == "there is a map"
    assert apply(simulation, StartCopy("s")) == "id: no split s"
    assert apply(simulation, PlanSplit("s", 1, 0, CELLS[2])).startswith("cut")
    assert apply(simulation, plan) == apply(simulation, plan) == ""  # a repeat is accepted
    assert apply(simulation, HandOver("s", split_position(simulation), 0)) == "step: s is planned"
    simulation.reference.upkeep.out_of_service.add("c2")
    assert apply(simulation, StartCopy("s")) == "c2: work"
    simulation.reference.upkeep.out_of_service.clear()
    assert (
        simulation.reference.shards.split_in_progress(CELLS[2]) == ""
        and apply(simulation, StartCopy("s")) == ""
    )
    assert simulation.reference.shards.split_in_progress(CELLS[2]) == "s"
    for proxy in simulation.proxies.values():
        simulation.catch_up(proxy)
    copying = split_position(simulation)
    assert apply(simulation, CloseRange("s", copying, ())) == "proof: no word of a"
    assert apply(simulation, CloseRange("s", copying, proof_at(simulation, copying - 1))).startswith(
        "proof: a has said"
    )
    assert (
        apply(simulation, CloseRange("s", copying - 1, proof_at(simulation, copying)))
        == f"begun: s is copying by {copying}"
    )
    assert apply(simulation, CloseRange("s", copying, proof_at(simulation, copying))) == ""
    assert apply(simulation, HandOver("s", copying, 7)).startswith("begun")
    assert apply(simulation, HandOver("s", split_position(simulation), 7)) == ""
    shards = simulation.reference.shards
    assert (
        (shards.base_bytes(1), shards.base_bytes(3)) == (-7, 7)
        and shards.has_shard(3)
        and not shards.has_shard(4)
    )
    assert apply(simulation, AbandonSplit("s", split_position(simulation), "")) == "step: s is handed"
    simulation.now_us = (WINDOW_MS - 1) * 1000
    assert apply(
        simulation,
        ClearRange("s", split_position(simulation), proof_at(simulation, split_position(simulation))),
    ).startswith("window")
    simulation.now_us += 1000
    for proxy in simulation.proxies.values():
        simulation.catch_up(proxy)
        simulation.report(proxy)
    assert apply(simulation, ClearRange("s", split_position(simulation), ())).startswith("proof")
    assert apply(simulation, StartCopy("s")) == "step: s is handed" and apply(simulation, plan) == ""
    assert simulation.append(bodies.MACHINE, b'{"kind":"copy"}', A).error == "not understood"


def test_open_splits_are_bounded_and_broken_snapshots_are_rejected() -> None:
    cells = tuple(CellId("b", f"d{number}") for number in range(2 * MAX_OPEN + 2))
    simulation = Simulation(random_source(1))
    shards = type(simulation.reference.shards)(
        simulation.reference.shards.settings, simulation.reference.sessions, simulation.reference.upkeep
    )
    simulation.reference.shards = shards
    initial = even_map(MAX_OPEN + 1, cells=cells)
    assert apply(simulation, CreateMap(initial.ranges, (0,))).startswith("bytes")
    assert apply(simulation, CreateMap(initial.ranges[1:], (0,) * MAX_OPEN)).startswith("pieces")
    assert apply(simulation, CreateMap(initial.ranges, (0,) * (MAX_OPEN + 1))) == ""
    for index in range(MAX_OPEN):
        plan = PlanSplit(f"s{index}", index + 1, initial.ranges[index].first + 1, cells[MAX_OPEN + 1 + index])
        assert apply(simulation, plan) == ""
    one_more = PlanSplit("more", MAX_OPEN + 1, initial.ranges[-1].first + 1, cells[-1])
    assert apply(simulation, one_more) == f"id: more than {MAX_OPEN} splits are open"
    snapshot = shards.snapshot()
    shards.restore(snapshot)
    assert shards.snapshot() == snapshot
    for broken in (
        b"{}",
        snapshot.replace(b'"state":"planned"', b'"state":"undone"', 1),
        snapshot.replace(b'"id":"s1"', b'"id":"s0"', 1),
        snapshot.replace(b'"d3"', b'"d2"'),
    ):
        with pytest.raises(ValueError):
            shards.restore(broken)
    assert shards.snapshot() == snapshot


def closing() -> tuple[Simulation, ShardRouter]:
    """A simulation in which the range is closed, and the router of a front door that knows it."""
    simulation, plan = simulate()
    for body in (plan, StartCopy("s")):
        assert apply(simulation, body) == ""
    assert (
        apply(
            simulation,
            CloseRange("s", split_position(simulation), proof_at(simulation, split_position(simulation))),
        )
        == ""
    )
    for proxy in simulation.proxies.values():
        simulation.catch_up(proxy)
    return simulation, simulation.proxies["a"].router


def test_where_a_proxy_sends_each_kind_of_request() -> None:
    simulation, router = closing()
    old = router.place(0, MEMBER_IN_RANGE, Idempotency.NON_IDEMPOTENT)
    assert old and (old.cell, old.shard, old.map_version) == ("c0", 1, 1)
    assert apply(simulation, HandOver("s", split_position(simulation), 0)) == ""
    assert router.place(0, MEMBER_IN_RANGE, Idempotency.IDEMPOTENT) == old  # it has not applied the entry yet
    router.on_rejected(0, old, 2)
    assert router.handle(0, Tick()) == [FetchMap(2)] and router.handle(0, Tick()) == []
    simulation.now_us = 1_000_000
    simulation.catch_up(simulation.proxies["a"])
    new = router.place(simulation.now_us, MEMBER_IN_RANGE, Idempotency.IDEMPOTENT)
    assert new and (new.cell, new.shard, new.map_version) == ("c2", 3, 2)
    router.on_rejected(0, new, 2)
    assert router.handle(simulation.now_us, Tick()) == []

    def cell(member: int, idempotency: Idempotency, now_us: int, **kinds: object) -> str | None:
        placement = router.place(now_us, member, idempotency, **kinds)  # type: ignore[arg-type]
        return placement.cell if placement else None

    window_end = simulation.now_us + WINDOW_MS * 1000
    assert cell(MEMBER_IN_RANGE, Idempotency.NON_IDEMPOTENT, simulation.now_us, previous=old) is None
    assert cell(MEMBER_IN_RANGE, Idempotency.NON_IDEMPOTENT, simulation.now_us) == "c2"
    assert cell(MEMBER_IN_RANGE, Idempotency.IDEMPOTENT, simulation.now_us, previous=old) == "c2"
    assert cell(MEMBER_IN_RANGE, Idempotency.IDEMPOTENT_WITH_KEY, simulation.now_us, previous=old) == "c0"
    assert cell(MEMBER_IN_RANGE, Idempotency.IDEMPOTENT_WITH_KEY, simulation.now_us) == "c2"
    assert cell(MEMBER_IN_RANGE, Idempotency.IDEMPOTENT_WITH_KEY, window_end - 1, is_repeat=True) == "c0"
    assert cell(MEMBER_IN_RANGE, Idempotency.IDEMPOTENT_WITH_KEY, window_end, is_repeat=True) == "c2"
    assert cell(5, Idempotency.IDEMPOTENT_WITH_KEY, simulation.now_us, is_repeat=True, previous=old) == "c0"
    with pytest.raises(ValueError):
        router.place(0, MEMBER_ID_LIMIT, Idempotency.IDEMPOTENT)


def test_a_hand_over_is_cleared_once_its_window_is_over_also_after_a_restore() -> None:
    simulation, router = closing()
    assert apply(simulation, HandOver("s", split_position(simulation), 0)) == ""
    position = split_position(simulation)
    simulation.catch_up(simulation.proxies["a"])
    restored = simulation.start(NodeInstance("z", 1)).router
    for each in (router, restored):
        assert each.clear_position == position - 1 and each.wake_us == simulation.now_us + WINDOW_MS * 1000
        each.handle(each.wake_us - 1, Tick())
        assert each.clear_position == position - 1
        each.handle(each.wake_us, Tick())
        assert each.clear_position >= position
    restored.handle(0, Restored(position + 5))
    assert restored.clear_position == position + 5


def test_nothing_is_sent_without_a_map() -> None:
    simulation = Simulation(random_source(1))
    empty = type(simulation.reference.shards)(
        simulation.reference.shards.settings, simulation.reference.sessions, simulation.reference.upkeep
    )
    assert ShardRouter(empty).place(0, 5, Idempotency.IDEMPOTENT) is None

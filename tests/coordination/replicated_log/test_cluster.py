"""Whole front doors with one fault at a time: who leads, what is confirmed, what is settled."""

import pytest

from molereach.coordination.interface.core import MessageReceived, SendMessage, Tick
from molereach.coordination.interface.disk import Persist, Persisted
from molereach.coordination.interface.identifiers import NodeInstance
from molereach.coordination.interface.log import Outcome, ProposalStatus
from molereach.coordination.replicated_log.core import LogCore
from molereach.coordination.replicated_log.deduplication import REUSED_ERROR
from molereach.coordination.replicated_log.messages import (
    NOBODY,
    Ballot,
    Prepare,
    Promise,
    Run,
    RunAcknowledged,
    Voter,
)
from molereach.coordination.replicated_log.records import Recovered
from molereach.coordination.replicated_log.settings import LogSettings
from molereach.coordination.replicated_log.voters import AddVoters, RemoveVoters, ReplaceVoter
from tests.coordination.replicated_log.simulated_cluster import MS, S, World
from tests.coordination.replicated_log.sum_machine import Sum


def led(seed: int = 1, size: int = 5, learners: int = 0) -> World:
    """A world with a leader, and nothing under way."""
    world = World(seed, size, learners)
    world.start_all()
    world.beat()
    assert world.run(5 * S, lambda: world.leader() is not None)
    world.run(S)
    return world


def settles(world: World, name: str, identity: str, within_us: int = 3 * S) -> bool:
    world.propose(name, identity, within_us=within_us)
    world.run(within_us + S, lambda: identity in world.words)
    return world.words[identity][-1].status is ProposalStatus.APPLIED


def seat(world: World, name: str) -> Voter:
    return Voter(name, world.nodes[name].disk.identity)


def test_it_decides_at_all_voters_and_learners() -> None:
    world = led(size=3, learners=2)
    for number, name in enumerate(world.nodes):
        world.propose(name, f"p{number}")
    assert world.run(2 * S, world.level)
    assert [word.status for words in world.words.values() for word in words] == [ProposalStatus.APPLIED] * 5
    assert len(world.entries) == 5


def test_the_first_start_takes_one_voter_more_than_a_majority() -> None:
    world = World(1)
    for name in ("d0", "d1", "d2"):
        world.start(name)
    assert not world.run(10 * S, lambda: world.leader() is not None)
    world.start("d3")
    assert world.run(5 * S, lambda: world.leader() is not None)
    world.kill("d3")  # a majority of running seats goes on
    world.run(5 * S)
    assert settles(world, "d0", "p")


def test_a_voter_that_was_cut_off_deposes_nobody() -> None:
    world = led()
    other = next(name for name in world.nodes if name != world.leader())
    world.groups = {other: 1}
    world.run(10 * S)
    world.groups = {}
    world.run(5 * S)
    assert len(world.led) == 1


def test_a_voter_that_has_no_contact_to_the_leader_deposes_nobody() -> None:
    world = led()
    leader = world.leader()
    assert leader
    world.deaf = {(leader, next(name for name in world.nodes if name != leader))}
    world.run(10 * S)
    assert len(world.led) == 1


def test_a_leader_that_is_cut_off_steps_down_and_is_replaced() -> None:
    world = led()
    old = world.leader()
    assert old
    world.groups = {old: 1}
    assert world.run(3 * S, lambda: len(world.led) == 2)
    world.run(2 * S)
    core = world.nodes[old].core
    assert core and core.leader_protocol.leadership is None and not core.leader_protocol.is_leader
    assert world.leader() not in (None, old)


def test_confirmed_by_a_majority_alone() -> None:
    world = led()
    leader = world.leader()
    assert leader
    token = world.confirm(leader)
    assert not world.confirmed  # not by what was heard before
    world.run(100 * MS)
    assert world.confirmed == [token]
    other = next(name for name in world.nodes if name != leader)
    world.groups = {leader: 1, other: 1}
    world.confirm(leader)
    world.confirm(other)
    world.run(5 * S)
    assert world.confirmed == [token]


def test_a_leader_that_was_stopped_is_not_confirmed_when_it_wakes() -> None:
    for seed in range(5):
        world = led(seed)
        old = world.leader()
        assert old
        world.stall(old, 5 * S)
        world.run(4 * S)
        assert len(world.led) == 2
        world.confirm(old)
        mail = world.nodes[old].mail
        mail.insert(0, mail.pop())  # it is asked before it hears what came meanwhile
        world.run(5 * S)
        assert not world.confirmed


def test_nothing_is_promised_before_it_is_written() -> None:
    panel = tuple(Voter(f"d{number}", f"{number:032x}") for number in range(3))
    me = NodeInstance("d0", 7)
    core = LogCore(
        me, panel[0].disk, Recovered(), panel, {}, LogSettings(), lambda: 0.5, lambda now_us: now_us
    )
    actions = list(core.handle(S, Tick()))
    assert not any(isinstance(action, SendMessage) for action in actions)  # its start is not written yet
    token = next(action.token for action in actions if isinstance(action, Persist))
    said = [action for action in core.handle(S, Persisted(token)) if isinstance(action, SendMessage)]
    assert [action.recipient for action in said] == ["d1", "d2"]
    for other in panel[1:]:
        noted = RunAcknowledged(Run(panel[0].disk, 1, 7), Run(other.disk, 1, 1), 0, NOBODY)
        core.handle(S, MessageReceived(NodeInstance(other.name, 1), noted))
    ballot = Ballot(4, "d1", 1)
    for _ in range(2):  # asked again, it waits all the same
        actions = list(core.handle(S, MessageReceived(NodeInstance("d1", 1), Prepare(ballot, 0))))
        assert not any(isinstance(action, SendMessage) for action in actions)
    said = [action for action in core.handle(S, Persisted(token + 1)) if isinstance(action, SendMessage)]
    assert [type(action.message) for action in said] == [Promise, Promise]
    assert said[0].instance_number == 1


def test_the_new_voters_decide_and_the_old_ones_do_not() -> None:
    world = led(size=3, learners=2)
    for number, (out, into) in enumerate((("d1", "d3"), ("d2", "d4"))):
        world.change("d0", f"c{number}", ReplaceVoter(seat(world, out), seat(world, into)))
        world.run(4 * S)
        assert world.words[f"c{number}"][0].outcome == Outcome()
    world.groups = {"d3": 1, "d4": 1}
    world.run(5 * S)
    assert not settles(world, "d0", "old") and not settles(world, "d1", "older")
    assert settles(world, "d3", "new")


def test_the_voters_grow_and_shrink_by_two() -> None:
    world = led(size=3, learners=2)
    world.change("d1", "grow", AddVoters((seat(world, "d3"), seat(world, "d4"))))
    world.run(3 * S)
    for name in ("d0", "d3"):
        world.kill(name)
    world.run(5 * S)
    assert settles(world, "d4", "by three of five")
    for name in ("d0", "d3"):
        world.start(name)
    world.run(3 * S)
    world.change("d1", "shrink", RemoveVoters((seat(world, "d1"), seat(world, "d2"))))
    world.run(3 * S)
    assert settles(world, "d1", "by its learner")
    assert {each.name for each in world.nodes["d2"].core.voters} == {"d0", "d3", "d4"}  # type: ignore[union-attr]
    assert [words[0].status for words in world.words.values()] == [ProposalStatus.APPLIED] * 4


def test_a_disk_that_fails_votes_no_more_and_learns_on() -> None:
    world = led()
    name = next(name for name in world.nodes if name != world.leader())
    world.nodes[name].disk_fails = True
    assert settles(world, name, "p1")
    world.run(S)
    node = world.nodes[name]
    assert node.stopped and node.core and not node.core.state.may_vote
    before = world.turns
    assert settles(world, name, "p2") and node.core.position == 2
    assert world.turns - before < 2000  # it waits for nothing that has passed


def test_a_disk_rolled_back_is_found_and_its_voter_replaced() -> None:
    world = led()
    name = next(name for name in world.nodes if name != world.leader())
    old = world.nodes[name].disk.copy()
    world.kill(name)
    world.start(name)
    world.run(3 * S)
    core = world.nodes[name].core
    assert core and core.state.may_vote
    world.kill(name)
    world.nodes[name].disk = old
    world.start(name)
    world.run(3 * S)
    core = world.nodes[name].core
    assert world.nodes[name].set_back and core and not core.state.may_vote
    assert settles(world, name, "it still proposes")
    held = seat(world, name)
    world.kill(name)
    world.nodes[name].disk = world.new_disk()
    world.start(name)
    world.change(name, "c", ReplaceVoter(held, seat(world, name)))
    world.run(3 * S)
    core = world.nodes[name].core
    assert core and core.state.may_vote and not world.nodes[name].set_back


def test_a_snapshot_comes_in_pieces() -> None:
    world = World(1, 3, 1)
    world.machines = lambda: [Sum(ballast=200_000)]
    for name in ("d0", "d1", "d2"):
        world.start(name)
    assert world.run(5 * S, lambda: world.leader() is not None)
    for number in range(100):
        world.propose("d0", f"p{number}")
    world.run(3 * S)
    assert len(world.entries) == 100 > world.settings.max_tail_entries
    world.start("d3")
    world.beat()
    world.loss = 0.3
    assert world.run(20 * S, world.level)


def test_one_id_one_outcome() -> None:
    world = led(size=3)
    assert settles(world, "d0", "p") and settles(world, "d1", "p")
    assert len(world.entries) == 1
    for name in ("d0", "d2"):
        world.outcomes.clear()
        world.propose(name, "p", b"2")
        world.run(3 * S)
        assert world.words["p"][-1].outcome == Outcome(REUSED_ERROR)


def test_what_is_refused() -> None:
    world = led(size=3)
    world.propose("d0", "a", machine="none")
    world.propose("d0", "b", b"1" * 20_000)
    world.propose("d0", "x" * 100)
    for number in range(world.settings.max_pending + 1):
        world.propose("d0", f"p{number}")
    refused = [key for key, words in world.words.items() if words[0].status is ProposalStatus.REJECTED]
    assert refused == ["a", "b", "x" * 100, f"p{world.settings.max_pending}"]


def test_a_machine_that_raises_is_stopped_alone() -> None:
    world = World(1, 3)
    world.machines = lambda: [Sum(), Sum("other")]
    world.may_fail = True
    world.start_all()
    world.run(5 * S)
    world.propose("d0", "p1", b"raise")
    world.run(S)
    world.propose("d0", "p2", b"1", machine="other")
    world.propose("d0", "p3", b"1")
    world.run(S)
    assert sorted(world.failed) == [("d0", "sum"), ("d1", "sum"), ("d2", "sum")]
    outcomes = {key: words[0].outcome for key, words in world.words.items()}
    stopped = Outcome("stopped here by a fault")
    assert outcomes == {"p1": stopped, "p2": Outcome(value=b"1"), "p3": stopped}


def test_another_disks_records_are_refused() -> None:
    panel = tuple(Voter(f"d{number}", f"{number:032x}") for number in range(3))
    recovered = Recovered(disk="f" * 32)
    with pytest.raises(ValueError, match="another disk"):
        LogCore(
            NodeInstance("d0", 1),
            panel[0].disk,
            recovered,
            panel,
            {},
            LogSettings(),
            lambda: 0.5,
            lambda now_us: 0,
        )

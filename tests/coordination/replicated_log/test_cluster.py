"""A simulated cluster with one fault at a time: leadership, confirmations, proposals, changes of voters."""

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
from tests.coordination.replicated_log.simulated_cluster import MILLISECOND_US, SECOND_US, SimulatedCluster
from tests.coordination.replicated_log.sum_machine import SumMachine


def cluster_with_leader(seed: int = 1, voter_count: int = 5, learner_count: int = 0) -> SimulatedCluster:
    """A cluster with a leader, and no messages in flight."""
    cluster = SimulatedCluster(seed, voter_count, learner_count)
    cluster.start_all()
    cluster.run_catch_up()
    assert cluster.run(5 * SECOND_US, lambda: cluster.leader() is not None)
    cluster.run(SECOND_US)
    return cluster


def propose_succeeds(
    cluster: SimulatedCluster, name: str, proposal_id: str, timeout_us: int = 3 * SECOND_US
) -> bool:
    cluster.propose(name, proposal_id, timeout_us=timeout_us)
    cluster.run(timeout_us + SECOND_US, lambda: proposal_id in cluster.results)
    return cluster.results[proposal_id][-1].status is ProposalStatus.APPLIED


def voter_of(cluster: SimulatedCluster, name: str) -> Voter:
    return Voter(name, cluster.nodes[name].disk.identity)


def test_all_voters_and_learners_apply_decided_entries() -> None:
    cluster = cluster_with_leader(voter_count=3, learner_count=2)
    for number, name in enumerate(cluster.nodes):
        cluster.propose(name, f"p{number}")
    assert cluster.run(2 * SECOND_US, cluster.is_settled)
    assert [result.status for results in cluster.results.values() for result in results] == [
        ProposalStatus.APPLIED
    ] * 5
    assert len(cluster.entries) == 5


def test_first_start_needs_one_voter_more_than_a_majority() -> None:
    cluster = SimulatedCluster(1)
    for name in ("d0", "d1", "d2"):
        cluster.start(name)
    assert not cluster.run(10 * SECOND_US, lambda: cluster.leader() is not None)
    cluster.start("d3")
    assert cluster.run(5 * SECOND_US, lambda: cluster.leader() is not None)
    cluster.kill("d3")  # a majority of running voters is enough now
    cluster.run(5 * SECOND_US)
    assert propose_succeeds(cluster, "d0", "p")


def test_partitioned_voter_does_not_depose_the_leader() -> None:
    cluster = cluster_with_leader()
    other = next(name for name in cluster.nodes if name != cluster.leader())
    cluster.partitions = {other: 1}
    cluster.run(10 * SECOND_US)
    cluster.partitions = {}
    cluster.run(5 * SECOND_US)
    assert len(cluster.leaders_by_ballot) == 1


def test_voter_without_contact_to_the_leader_does_not_depose_it() -> None:
    cluster = cluster_with_leader()
    leader = cluster.leader()
    assert leader
    cluster.blocked_links = {(leader, next(name for name in cluster.nodes if name != leader))}
    cluster.run(10 * SECOND_US)
    assert len(cluster.leaders_by_ballot) == 1


def test_partitioned_leader_steps_down_and_is_replaced() -> None:
    cluster = cluster_with_leader()
    old_leader = cluster.leader()
    assert old_leader
    cluster.partitions = {old_leader: 1}
    assert cluster.run(3 * SECOND_US, lambda: len(cluster.leaders_by_ballot) == 2)
    cluster.run(2 * SECOND_US)
    core = cluster.nodes[old_leader].core
    assert core and core.leader_protocol.leadership is None and not core.leader_protocol.leadership_announced
    assert cluster.leader() not in (None, old_leader)


def test_leadership_is_confirmed_only_by_a_majority() -> None:
    cluster = cluster_with_leader()
    leader = cluster.leader()
    assert leader
    token = cluster.request_confirmation(leader)
    assert not cluster.confirmed_tokens  # earlier replies do not confirm it
    cluster.run(100 * MILLISECOND_US)
    assert cluster.confirmed_tokens == [token]
    other = next(name for name in cluster.nodes if name != leader)
    cluster.partitions = {leader: 1, other: 1}
    cluster.request_confirmation(leader)
    cluster.request_confirmation(other)
    cluster.run(5 * SECOND_US)
    assert cluster.confirmed_tokens == [token]


def test_replaced_leader_is_not_confirmed_after_a_pause() -> None:
    for seed in range(5):
        cluster = cluster_with_leader(seed)
        old_leader = cluster.leader()
        assert old_leader
        cluster.pause(old_leader, 5 * SECOND_US)
        cluster.run(4 * SECOND_US)
        assert len(cluster.leaders_by_ballot) == 2
        cluster.request_confirmation(old_leader)
        deferred_events = cluster.nodes[old_leader].deferred_events
        deferred_events.insert(
            0, deferred_events.pop()
        )  # the request is handled before the messages received during the pause
        cluster.run(5 * SECOND_US)
        assert not cluster.confirmed_tokens


def test_promises_are_sent_only_after_their_sync() -> None:
    voters = tuple(Voter(f"d{number}", f"{number:032x}") for number in range(3))
    instance = NodeInstance("d0", 7)
    core = LogCore(
        instance, voters[0].disk, Recovered(), voters, {}, LogSettings(), lambda: 0.5, lambda now_us: now_us
    )
    actions = list(core.handle(SECOND_US, Tick()))
    assert not any(isinstance(action, SendMessage) for action in actions)  # its start is not synced yet
    token = next(action.token for action in actions if isinstance(action, Persist))
    messages = [
        action for action in core.handle(SECOND_US, Persisted(token)) if isinstance(action, SendMessage)
    ]
    assert [action.recipient for action in messages] == ["d1", "d2"]
    for other in voters[1:]:
        acknowledgement = RunAcknowledged(Run(voters[0].disk, 1, 7), Run(other.disk, 1, 1), 0, NOBODY)
        core.handle(SECOND_US, MessageReceived(NodeInstance(other.name, 1), acknowledgement))
    ballot = Ballot(4, "d1", 1)
    for _ in range(2):  # a repeated request waits as well
        actions = list(core.handle(SECOND_US, MessageReceived(NodeInstance("d1", 1), Prepare(ballot, 0))))
        assert not any(isinstance(action, SendMessage) for action in actions)
    messages = [
        action for action in core.handle(SECOND_US, Persisted(token + 1)) if isinstance(action, SendMessage)
    ]
    assert [type(action.message) for action in messages] == [Promise, Promise]
    assert messages[0].instance_number == 1


def test_new_voters_decide_and_old_ones_do_not() -> None:
    cluster = cluster_with_leader(voter_count=3, learner_count=2)
    for number, (removed, added) in enumerate((("d1", "d3"), ("d2", "d4"))):
        cluster.propose_change(
            "d0", f"c{number}", ReplaceVoter(voter_of(cluster, removed), voter_of(cluster, added))
        )
        cluster.run(4 * SECOND_US)
        assert cluster.results[f"c{number}"][0].outcome == Outcome()
    cluster.partitions = {"d3": 1, "d4": 1}
    cluster.run(5 * SECOND_US)
    assert not propose_succeeds(cluster, "d0", "old") and not propose_succeeds(cluster, "d1", "older")
    assert propose_succeeds(cluster, "d3", "new")


def test_two_voters_are_added_and_removed() -> None:
    cluster = cluster_with_leader(voter_count=3, learner_count=2)
    cluster.propose_change("d1", "grow", AddVoters((voter_of(cluster, "d3"), voter_of(cluster, "d4"))))
    cluster.run(3 * SECOND_US)
    for name in ("d0", "d3"):
        cluster.kill(name)
    cluster.run(5 * SECOND_US)
    assert propose_succeeds(cluster, "d4", "by three of five")
    for name in ("d0", "d3"):
        cluster.start(name)
    cluster.run(3 * SECOND_US)
    cluster.propose_change("d1", "shrink", RemoveVoters((voter_of(cluster, "d1"), voter_of(cluster, "d2"))))
    cluster.run(3 * SECOND_US)
    assert propose_succeeds(cluster, "d1", "by its learner")
    assert {each.name for each in cluster.nodes["d2"].core.voters} == {"d0", "d3", "d4"}  # type: ignore[union-attr]
    assert [results[0].status for results in cluster.results.values()] == [ProposalStatus.APPLIED] * 4


def test_node_with_a_failed_disk_stops_voting_and_still_learns() -> None:
    cluster = cluster_with_leader()
    name = next(name for name in cluster.nodes if name != cluster.leader())
    cluster.nodes[name].disk_fails = True
    assert propose_succeeds(cluster, name, "p1")
    cluster.run(SECOND_US)
    node = cluster.nodes[name]
    assert node.stopped and node.core and not node.core.state.may_vote
    before = cluster.events_handled
    assert propose_succeeds(cluster, name, "p2") and node.core.position == 2
    assert cluster.events_handled - before < 2000  # no timer fires over and over for a time in the past


def test_rolled_back_disk_is_detected_and_its_voter_replaced() -> None:
    cluster = cluster_with_leader()
    name = next(name for name in cluster.nodes if name != cluster.leader())
    disk_copy = cluster.nodes[name].disk.copy()
    cluster.kill(name)
    cluster.start(name)
    cluster.run(3 * SECOND_US)
    core = cluster.nodes[name].core
    assert core and core.state.may_vote
    cluster.kill(name)
    cluster.nodes[name].disk = disk_copy
    cluster.start(name)
    cluster.run(3 * SECOND_US)
    core = cluster.nodes[name].core
    assert cluster.nodes[name].rolled_back and core and not core.state.may_vote
    assert propose_succeeds(cluster, name, "still proposes")
    old_voter = voter_of(cluster, name)
    cluster.kill(name)
    cluster.nodes[name].disk = cluster.new_disk()
    cluster.start(name)
    cluster.propose_change(name, "c", ReplaceVoter(old_voter, voter_of(cluster, name)))
    cluster.run(3 * SECOND_US)
    core = cluster.nodes[name].core
    assert core and core.state.may_vote and not cluster.nodes[name].rolled_back


def test_snapshot_is_transferred_in_chunks() -> None:
    cluster = SimulatedCluster(1, 3, 1)
    cluster.new_machines = lambda: [SumMachine(padding_bytes=200_000)]
    for name in ("d0", "d1", "d2"):
        cluster.start(name)
    assert cluster.run(5 * SECOND_US, lambda: cluster.leader() is not None)
    for number in range(100):
        cluster.propose("d0", f"p{number}")
    cluster.run(3 * SECOND_US)
    assert len(cluster.entries) == 100 > cluster.settings.max_tail_entries
    cluster.start("d3")
    cluster.run_catch_up()
    cluster.loss_rate = 0.3
    assert cluster.run(20 * SECOND_US, cluster.is_settled)


def test_one_id_has_one_outcome() -> None:
    cluster = cluster_with_leader(voter_count=3)
    assert propose_succeeds(cluster, "d0", "p") and propose_succeeds(cluster, "d1", "p")
    assert len(cluster.entries) == 1
    for name in ("d0", "d2"):
        cluster.outcomes.clear()
        cluster.propose(name, "p", b"2")
        cluster.run(3 * SECOND_US)
        assert cluster.results["p"][-1].outcome == Outcome(REUSED_ERROR)


def test_invalid_or_excess_proposals_are_rejected() -> None:
    cluster = cluster_with_leader(voter_count=3)
    cluster.propose("d0", "a", machine="none")
    cluster.propose("d0", "b", b"1" * 20_000)
    cluster.propose("d0", "x" * 100)
    for number in range(cluster.settings.max_pending + 1):
        cluster.propose("d0", f"p{number}")
    rejected = [
        key for key, results in cluster.results.items() if results[0].status is ProposalStatus.REJECTED
    ]
    assert rejected == ["a", "b", "x" * 100, f"p{cluster.settings.max_pending}"]


def test_only_the_machine_that_raises_is_stopped() -> None:
    cluster = SimulatedCluster(1, 3)
    cluster.new_machines = lambda: [SumMachine(), SumMachine("other")]
    cluster.machines_may_fail = True
    cluster.start_all()
    cluster.run(5 * SECOND_US)
    cluster.propose("d0", "p1", b"raise")
    cluster.run(SECOND_US)
    cluster.propose("d0", "p2", b"1", machine="other")
    cluster.propose("d0", "p3", b"1")
    cluster.run(SECOND_US)
    assert sorted(cluster.failed_machines) == [("d0", "sum"), ("d1", "sum"), ("d2", "sum")]
    outcomes = {key: results[0].outcome for key, results in cluster.results.items()}
    stopped = Outcome("stopped here by a fault")
    assert outcomes == {"p1": stopped, "p2": Outcome(value=b"1"), "p3": stopped}


def test_records_of_another_disk_are_rejected() -> None:
    voters = tuple(Voter(f"d{number}", f"{number:032x}") for number in range(3))
    recovered = Recovered(disk="f" * 32)
    with pytest.raises(ValueError, match="another disk"):
        LogCore(
            NodeInstance("d0", 1),
            voters[0].disk,
            recovered,
            voters,
            {},
            LogSettings(),
            lambda: 0.5,
            lambda now_us: 0,
        )

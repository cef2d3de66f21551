"""Mutation tests: each rule that is removed makes a test of `test_cluster` fail.

The rules of a start, of void votes and of the batch of a new leader are removed in `test_state_space`.
"""

from collections.abc import Callable

import pytest

from molereach.coordination.interface.log import LeadershipConfirmed
from molereach.coordination.replicated_log import leadership, recovery, replica_state
from molereach.coordination.replicated_log.deduplication import DeduplicationTable
from molereach.coordination.replicated_log.election import Election
from molereach.coordination.replicated_log.leader_protocol import LeaderProtocol
from molereach.coordination.replicated_log.leadership import Leadership
from molereach.coordination.replicated_log.messages import Run, Voters
from molereach.coordination.replicated_log.outbox import Outbox
from molereach.coordination.replicated_log.recovery import Recovery
from molereach.coordination.replicated_log.replica_state import ReplicaState
from tests.coordination.replicated_log import test_cluster

Patch = pytest.MonkeyPatch


def sends_before_the_sync(patch: Patch) -> None:
    patch.setattr(Outbox, "send_after_sync", Outbox.send)


def skips_the_pre_vote(patch: Patch) -> None:
    def start_without_pre_vote(self: LeaderProtocol, now_us: int) -> None:
        if self.state.may_vote:
            self.election.observe_ballot(self.state.acceptor.promised)
            ballot = self.election.start_pre_vote(now_us, self.instance.name, self.instance.number)
            self.leadership = Leadership(ballot, self.state.position, now_us)
            self.resend(now_us, self.leadership)

    patch.setattr(LeaderProtocol, "start_pre_vote", start_without_pre_vote)


def grants_despite_a_live_leader(patch: Patch) -> None:
    patch.setattr(Election, "has_live_leader", lambda self, now_us: False)


def skips_the_quorum_check(patch: Patch) -> None:
    patch.setattr(Leadership, "has_quorum_contact", lambda self, voters, now_us, within_us: True)


def confirms_at_once(patch: Patch) -> None:
    def confirm(self: LeaderProtocol, now_us: int, token: int) -> None:
        if self.leadership and self.leadership.leads:
            self.outbox.emit(LeadershipConfirmed(token, self.leadership.ballot.number))

    patch.setattr(LeaderProtocol, "confirm_leadership", confirm)


def counts_votes_of_the_old_voters(patch: Patch) -> None:
    def voters(self: ReplicaState) -> Voters:
        return tuple(sorted(self.initial_voters)) if hasattr(self, "initial_voters") else self.learner.voters  # type: ignore[no-any-return]

    init = ReplicaState.__init__

    def record_initial_voters(self: ReplicaState, *args: object) -> None:
        init(self, *args)  # type: ignore[arg-type]
        self.initial_voters = self.learner.voters  # type: ignore[attr-defined]

    patch.setattr(replica_state.ReplicaState, "__init__", record_initial_voters)
    patch.setattr(replica_state.ReplicaState, "voters", property(voters))


def votes_before_its_start_is_acknowledged(patch: Patch) -> None:
    def may_vote(self: Recovery, voters: Voters, position: int) -> bool:
        return self.voter in voters and not self.rollback_evidence

    patch.setattr(Recovery, "may_vote", may_vote)


def ignores_conflicting_runs(patch: Patch) -> None:
    def no_conflict(self: Recovery, run: Run) -> Run | None:
        return None

    patch.setattr(Recovery, "conflicting_run", no_conflict)


def forgets_ids(patch: Patch) -> None:
    patch.setattr(DeduplicationTable, "find", lambda self, entry_id: None)


def skips_promises_after_a_change(patch: Patch) -> None:
    patch.setattr(
        LeaderProtocol,
        "change_voters",
        lambda self, now_us, leadership, before: self.send_heartbeat(now_us, leadership),
    )


def takes_half_as_a_majority(patch: Patch) -> None:
    for module in (recovery, leadership):
        patch.setattr(module, "majority", lambda voters: len(voters) // 2)


@pytest.mark.parametrize(
    ("mutate", "detecting_test"),
    [
        (sends_before_the_sync, test_cluster.test_promises_are_sent_only_after_their_sync),
        (skips_the_pre_vote, test_cluster.test_partitioned_voter_does_not_depose_the_leader),
        (
            grants_despite_a_live_leader,
            test_cluster.test_voter_without_contact_to_the_leader_does_not_depose_it,
        ),
        (skips_the_quorum_check, test_cluster.test_partitioned_leader_steps_down_and_is_replaced),
        (confirms_at_once, test_cluster.test_leadership_is_confirmed_only_by_a_majority),
        (confirms_at_once, test_cluster.test_replaced_leader_is_not_confirmed_after_a_pause),
        (counts_votes_of_the_old_voters, test_cluster.test_new_voters_decide_and_old_ones_do_not),
        (
            votes_before_its_start_is_acknowledged,
            test_cluster.test_first_start_needs_one_voter_more_than_a_majority,
        ),
        (ignores_conflicting_runs, test_cluster.test_rolled_back_disk_is_detected_and_its_voter_replaced),
        (forgets_ids, test_cluster.test_one_id_has_one_outcome),
        (takes_half_as_a_majority, test_cluster.test_leadership_is_confirmed_only_by_a_majority),
    ],
    ids=lambda value: value.__name__,
)
def test_each_mutation_is_detected(
    mutate: Callable[[Patch], None], detecting_test: Callable[[], None], monkeypatch: Patch
) -> None:
    detecting_test()
    mutate(monkeypatch)
    with pytest.raises(AssertionError):
        detecting_test()

"""Rules of whole front doors taken out one by one: the tests of `test_cluster` see each.

Those of a start, of void votes and of what a new leader proposes are taken out in `test_state_space`.
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
from tests.coordination.replicated_log import test_cluster as core

Patch = pytest.MonkeyPatch


def said_before_it_is_written(patch: Patch) -> None:
    patch.setattr(Outbox, "send_after_sync", Outbox.send)


def no_pre_vote(patch: Patch) -> None:
    def poll(self: LeaderProtocol, now_us: int) -> None:
        if self.state.may_vote:
            self.election.observe_ballot(self.state.acceptor.promised)
            ballot = self.election.start_pre_vote(now_us, self.instance.name, self.instance.number)
            self.leadership = Leadership(ballot, self.state.position, now_us)
            self.resend(now_us, self.leadership)

    patch.setattr(LeaderProtocol, "start_pre_vote", poll)


def granted_though_a_leader_is_heard(patch: Patch) -> None:
    patch.setattr(Election, "has_live_leader", lambda self, now_us: False)


def no_quorum_check(patch: Patch) -> None:
    patch.setattr(Leadership, "has_quorum_contact", lambda self, panel, now_us, within_us: True)


def confirmed_at_once(patch: Patch) -> None:
    def confirm(self: LeaderProtocol, now_us: int, token: int) -> None:
        if self.leadership and self.leadership.leads:
            self.outbox.emit(LeadershipConfirmed(token, self.leadership.ballot.number))

    patch.setattr(LeaderProtocol, "confirm_leadership", confirm)


def counted_from_the_old_panel(patch: Patch) -> None:
    def panel(self: ReplicaState) -> Voters:
        return tuple(sorted(self.first)) if hasattr(self, "first") else self.learner.voters  # type: ignore[no-any-return]

    init = ReplicaState.__init__

    def remembers(self: ReplicaState, *args: object) -> None:
        init(self, *args)  # type: ignore[arg-type]
        self.first = self.learner.voters  # type: ignore[attr-defined]

    patch.setattr(replica_state.ReplicaState, "__init__", remembers)
    patch.setattr(replica_state.ReplicaState, "voters", property(panel))


def votes_before_its_start_is_vouched_for(patch: Patch) -> None:
    def may_vote(self: Recovery, panel: Voters, position: int) -> bool:
        return self.voter in panel and not self.rollback_evidence

    patch.setattr(Recovery, "may_vote", may_vote)


def starts_are_not_compared(patch: Patch) -> None:
    def note(self: Recovery, run: Run) -> Run | None:
        return None

    patch.setattr(Recovery, "conflicting_run", note)


def ids_are_forgotten(patch: Patch) -> None:
    patch.setattr(DeduplicationTable, "find", lambda self, entry_id: None)


def no_new_promises_after_a_change(patch: Patch) -> None:
    patch.setattr(LeaderProtocol, "change_voters", lambda self, now_us, lead, before: self.beat(now_us, lead))


def half_is_enough(patch: Patch) -> None:
    for module in (recovery, leadership):
        patch.setattr(module, "majority", lambda panel: len(panel) // 2)


@pytest.mark.parametrize(
    ("breaks", "seen_by"),
    [
        (said_before_it_is_written, core.test_nothing_is_promised_before_it_is_written),
        (no_pre_vote, core.test_a_voter_that_was_cut_off_deposes_nobody),
        (
            granted_though_a_leader_is_heard,
            core.test_a_voter_that_has_no_contact_to_the_leader_deposes_nobody,
        ),
        (no_quorum_check, core.test_a_leader_that_is_cut_off_steps_down_and_is_replaced),
        (confirmed_at_once, core.test_confirmed_by_a_majority_alone),
        (confirmed_at_once, core.test_a_leader_that_was_stopped_is_not_confirmed_when_it_wakes),
        (counted_from_the_old_panel, core.test_the_new_voters_decide_and_the_old_ones_do_not),
        (
            votes_before_its_start_is_vouched_for,
            core.test_the_first_start_takes_one_voter_more_than_a_majority,
        ),
        (starts_are_not_compared, core.test_a_disk_rolled_back_is_found_and_its_voter_replaced),
        (ids_are_forgotten, core.test_one_id_one_outcome),
        (half_is_enough, core.test_confirmed_by_a_majority_alone),
    ],
    ids=lambda value: value.__name__,
)
def test_each_is_seen(
    breaks: Callable[[Patch], None], seen_by: Callable[[], None], monkeypatch: Patch
) -> None:
    seen_by()
    breaks(monkeypatch)
    with pytest.raises(AssertionError):
        seen_by()

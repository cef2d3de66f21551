"""Model checking: each position has one value in all message orders, and each rule is needed for this.

Each state space is searched completely. Three voters and two leaders, one position: 6,109 states; a batch of
two entries against two batches of one, learned in part: 21,454; a restart of the third voter after the first
leader was elected, with its disk kept, rolled back to a copy of the same run, or to one from before it:
48,407, 52,082 and 3,840. (The copy of the same run, with no leader elected before: 521,374 states in 25 s,
run by hand.)
"""

from collections.abc import Callable

import pytest

from molereach.coordination.replicated_log import leadership, recovery
from molereach.coordination.replicated_log.acceptor import Acceptor
from molereach.coordination.replicated_log.leadership import Leadership
from molereach.coordination.replicated_log.messages import NOBODY, Ballot, Promise, Run, Voters
from molereach.coordination.replicated_log.recovery import Recovery
from tests.coordination.replicated_log.state_space import (
    ONE_ENTRY_BATCHES,
    TWO_ENTRY_BATCH,
    LeaderBatches,
    StateSpace,
)

FIRST_LEADER_VOTERS = (0, 2)
MAX_STATES = 200_000


@pytest.mark.parametrize(
    ("leader_batches", "restart", "elected_by", "state_count"),
    [
        (ONE_ENTRY_BATCHES, "", (), 6109),
        (TWO_ENTRY_BATCH, "", (), 21454),
        (ONE_ENTRY_BATCHES, "kept", FIRST_LEADER_VOTERS, 48407),
        (ONE_ENTRY_BATCHES, "copy", FIRST_LEADER_VOTERS, 52082),
        (ONE_ENTRY_BATCHES, "before", FIRST_LEADER_VOTERS, 3840),
    ],
)
def test_one_value_at_each_position(
    leader_batches: LeaderBatches, restart: str, elected_by: tuple[int, ...], state_count: int
) -> None:
    assert StateSpace(leader_batches, restart).count_states(MAX_STATES, elected_by) == state_count


Patch = pytest.MonkeyPatch


def votes_without_acknowledgements(patch: Patch) -> None:
    patch.setattr(Recovery, "may_vote", lambda self, voters, position: self.voter in voters)


def needs_one_acknowledgement_less(patch: Patch) -> None:
    def may_vote(self: Recovery, voters: Voters, position: int) -> bool:
        return bool(self.acknowledgements) and self.voter in voters

    patch.setattr(Recovery, "may_vote", may_vote)


def ignores_acknowledged_votes(patch: Patch) -> None:
    patch.setattr(Recovery, "adopt_acknowledged", lambda self, acceptor, learner: False)


def counts_void_votes(patch: Patch) -> None:
    patch.setattr(recovery, "count_votes", lambda votes, voters: len(votes))


def ignores_conflicting_runs(patch: Patch) -> None:
    def no_conflict(self: Recovery, run: Run) -> Run | None:
        return None

    patch.setattr(Recovery, "conflicting_run", no_conflict)


def promise_drops_the_vote(patch: Patch) -> None:
    promise = Acceptor.promise

    def promise_without_vote(self: Acceptor, ballot: Ballot) -> bool:
        self.accepted_at, self.accepted = NOBODY, ()
        return promise(self, ballot)

    patch.setattr(Acceptor, "promise", promise_without_vote)


def proposes_its_own_batch(patch: Patch) -> None:
    record_promise = Leadership.record_promise

    def record_without_batch(self: Leadership, disk: str, message: Promise, voters: Voters) -> bool:
        is_elected = record_promise(self, disk, message, voters)
        if is_elected:
            self.batch, self.inherited = (), False
        return is_elected

    patch.setattr(Leadership, "record_promise", record_without_batch)


def proposes_part_of_a_batch(patch: Patch) -> None:
    record_promise = Leadership.record_promise

    def record_part(self: Leadership, disk: str, message: Promise, voters: Voters) -> bool:
        is_elected = record_promise(self, disk, message, voters)
        self.batch = self.batch[:1]
        return is_elected

    patch.setattr(Leadership, "record_promise", record_part)


def takes_half_as_a_majority(patch: Patch) -> None:
    for module in (recovery, leadership):
        patch.setattr(module, "majority", lambda voters: len(voters) // 2)


@pytest.mark.parametrize(
    ("mutate", "leader_batches", "restart", "elected_by"),
    [
        (votes_without_acknowledgements, ONE_ENTRY_BATCHES, "copy", FIRST_LEADER_VOTERS),
        (needs_one_acknowledgement_less, ONE_ENTRY_BATCHES, "copy", FIRST_LEADER_VOTERS),
        (ignores_acknowledged_votes, ONE_ENTRY_BATCHES, "copy", FIRST_LEADER_VOTERS),
        (counts_void_votes, ONE_ENTRY_BATCHES, "copy", FIRST_LEADER_VOTERS),
        (ignores_conflicting_runs, ONE_ENTRY_BATCHES, "before", FIRST_LEADER_VOTERS),
        (promise_drops_the_vote, ONE_ENTRY_BATCHES, "", ()),
        (proposes_its_own_batch, ONE_ENTRY_BATCHES, "", ()),
        (proposes_part_of_a_batch, TWO_ENTRY_BATCH, "", ()),
        (takes_half_as_a_majority, ONE_ENTRY_BATCHES, "", ()),
    ],
    ids=lambda value: getattr(value, "__name__", ""),
)
def test_each_rule_is_needed(
    mutate: Callable[[Patch], None],
    leader_batches: LeaderBatches,
    restart: str,
    elected_by: tuple[int, ...],
    monkeypatch: Patch,
) -> None:
    mutate(monkeypatch)
    with pytest.raises(AssertionError, match="two values"):
        StateSpace(leader_batches, restart).count_states(MAX_STATES, elected_by)

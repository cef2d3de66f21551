"""All orders of words in a small scope: one value at each position, and the rules it takes are each needed.

Each scope is searched to its end. Three seats and two leaders, one position: 6,109 states; a batch of two
against two batches of one, learned in part: 21,454; the third seat started anew, with its disk kept, set
back to a copy of the same run, or to one from before it, after the first leader was elected: 48,407, 52,082
and 3,840. (The copy, from before any leader: 521,374 states in 25 s, run by hand.)
"""

from collections.abc import Callable

import pytest

from molereach.coordination.replicated_log import leadership, recovery
from molereach.coordination.replicated_log.acceptor import Acceptor
from molereach.coordination.replicated_log.leadership import Leadership
from molereach.coordination.replicated_log.messages import NOBODY, Ballot, Promise, Run, Voters
from molereach.coordination.replicated_log.recovery import Recovery
from tests.coordination.replicated_log.state_space import ONE, TWO, Own, Scope

ELECTED = (0, 2)
MOST = 200_000


@pytest.mark.parametrize(
    ("own", "restart", "elected", "states"),
    [
        (ONE, "", (), 6109),
        (TWO, "", (), 21454),
        (ONE, "kept", ELECTED, 48407),
        (ONE, "copy", ELECTED, 52082),
        (ONE, "before", ELECTED, 3840),
    ],
)
def test_one_value_at_each_position(own: Own, restart: str, elected: tuple[int, ...], states: int) -> None:
    assert Scope(own, restart).explore(MOST, elected) == states


Patch = pytest.MonkeyPatch


def votes_at_once(patch: Patch) -> None:
    patch.setattr(Recovery, "may_vote", lambda self, panel, position: self.voter in panel)


def one_answer_less(patch: Patch) -> None:
    def may_vote(self: Recovery, panel: Voters, position: int) -> bool:
        return bool(self.acknowledgements) and self.voter in panel

    patch.setattr(Recovery, "may_vote", may_vote)


def answers_not_taken_over(patch: Patch) -> None:
    patch.setattr(Recovery, "adopt_acknowledged", lambda self, acceptor, learner: False)


def void_votes_counted(patch: Patch) -> None:
    patch.setattr(recovery, "count_votes", lambda votes, panel: len(votes))


def set_back_not_told(patch: Patch) -> None:
    def note(self: Recovery, run: Run) -> Run | None:
        return None

    patch.setattr(Recovery, "conflicting_run", note)


def promise_forgets_the_vote(patch: Patch) -> None:
    promise = Acceptor.promise

    def forgets(self: Acceptor, ballot: Ballot) -> bool:
        self.accepted_at, self.accepted = NOBODY, ()
        return promise(self, ballot)

    patch.setattr(Acceptor, "promise", forgets)


def proposes_its_own(patch: Patch) -> None:
    promised = Leadership.record_promise

    def own(self: Leadership, disk: str, word: Promise, panel: Voters) -> bool:
        led = promised(self, disk, word, panel)
        if led:
            self.batch, self.inherited = (), False
        return led

    patch.setattr(Leadership, "record_promise", own)


def proposes_half_of_a_batch(patch: Patch) -> None:
    promised = Leadership.record_promise

    def half(self: Leadership, disk: str, word: Promise, panel: Voters) -> bool:
        led = promised(self, disk, word, panel)
        self.batch = self.batch[:1]
        return led

    patch.setattr(Leadership, "record_promise", half)


def half_is_enough(patch: Patch) -> None:
    for module in (recovery, leadership):
        patch.setattr(module, "majority", lambda panel: len(panel) // 2)


@pytest.mark.parametrize(
    ("breaks", "own", "restart", "elected"),
    [
        (votes_at_once, ONE, "copy", ELECTED),
        (one_answer_less, ONE, "copy", ELECTED),
        (answers_not_taken_over, ONE, "copy", ELECTED),
        (void_votes_counted, ONE, "copy", ELECTED),
        (set_back_not_told, ONE, "before", ELECTED),
        (promise_forgets_the_vote, ONE, "", ()),
        (proposes_its_own, ONE, "", ()),
        (proposes_half_of_a_batch, TWO, "", ()),
        (half_is_enough, ONE, "", ()),
    ],
    ids=lambda value: getattr(value, "__name__", ""),
)
def test_each_rule_is_needed(
    breaks: Callable[[Patch], None],
    own: Own,
    restart: str,
    elected: tuple[int, ...],
    monkeypatch: Patch,
) -> None:
    breaks(monkeypatch)
    with pytest.raises(AssertionError, match="two values"):
        Scope(own, restart).explore(MOST, elected)

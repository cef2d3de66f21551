"""The choice of a parent at one front door: whom it asks in turn, what it follows, what proves nothing."""

from itertools import pairwise
from typing import Any

from molereach.coordination.dissemination.core import Spread
from molereach.coordination.dissemination.parent import MOST_HOPS
from molereach.coordination.dissemination.ranks import Ranks
from molereach.coordination.dissemination.settings import Settings
from molereach.coordination.dissemination.words import (
    Down,
    Give,
    Grown,
    Parent,
    Redirect,
    RenewalGrant,
    RenewalRequest,
    Up,
    View,
    Whom,
)
from molereach.coordination.interface.core import SendMessage, Tick
from molereach.coordination.interface.identifiers import NodeInstance
from tests.coordination.dissemination.test_bounds import LIVES, VIEW, door, inner, said, tell
from tests.coordination.dissemination.world import BEAT, entry

ALIVE = tuple(LIVES.values())


def asked(core: Spread, until: int) -> list[tuple[int, str]]:
    """Whom it turns to, and when, while nobody answers."""
    turns = []
    while core.wake_us <= until:
        now = core.wake_us
        turns += [(now, action.name) for action in core.handle(now, Tick()) if isinstance(action, Parent)]
    return turns


def test_the_order_of_those_asked_and_the_time_between() -> None:
    draws = iter([0.0] * 10_000)
    core = Spread(LIVES["d17"], Settings(), lambda: next(draws))
    first = core.handle(0, View(ALIVE, "d00", 3, ("d05",)))
    assert set(said(first, Up)) == {"d02"}
    turns = asked(core, 100 * BEAT)
    # The grandparent is the leader here; then one of the panel, one by chance, and from the start again.
    assert [name for _, name in turns[:6]] == ["d00", "d05", "d00", "d02", "d00", "d05"]
    gaps = [after - before for (before, _), (after, _) in pairwise(turns)]
    assert gaps[0] < 2 * BEAT and max(gaps[-6:]) == 3 * BEAT == gaps[-1]
    # A new leader: asked at once, and with the patience of one that begins.
    now = core.wake_us - 1
    actions = core.handle(now, View(ALIVE, "d07", 4))
    assert set(said(actions, Up)) == {"d01"}
    assert asked(core, now + 2 * BEAT)


def test_the_grandparent_is_asked_before_the_leader() -> None:
    lives = tuple(NodeInstance(f"e{at:03}", 1) for at in range(100))
    core = Spread(lives[99], Settings(fan=2), lambda: 0.5)
    assert set(said(core.handle(0, View(lives, "e000", 1)), Up)) == {"e049"}
    assert [name for _, name in asked(core, 4 * BEAT)] == ["e024", "e000"]


def test_a_pulse_told_again_does_not_prolong_a_parent() -> None:
    core = inner()
    for now in range(BEAT, 3 * BEAT, BEAT // 8):
        tell(core, now, "d00", Down(3, 1, "d00", 0, 0))
    assert core.above.name != "d00"


def test_one_too_many_steps_from_the_leader_is_left() -> None:
    for steps, kept in ((2, True), (5, True), (6, False)):  # a full tree of 256 has three
        core = inner()
        for beat in range(1, 4):
            tell(core, beat * BEAT, "d00", Down(3, 1 + beat, "d00", steps, 0))
        assert (core.above.name == "d00") is kept


def test_a_new_ballot_must_be_heard_from_the_parent_itself() -> None:
    core = inner()
    tell(core, 2, "d09", Up(0, 1))
    assert said(tell(core, 3, "d10", Whom()), Redirect)["d10"].parent == "d01"
    core.handle(4, View(ALIVE, "d00", 4))  # the same parent by rank
    assert not tell(core, 5, "d10", Whom())
    assert not core.handle(5, Grown(1, (entry(1),)))
    assert not said(tell(core, 5, "d10", Up(0, 1)), Down)
    # It is passed on although the last pulse came just now.
    assert set(said(tell(core, 6, "d00", Down(4, 1, "d00", 0, 0)), Down)) == {"d09", "d10"}
    assert said(tell(core, 7, "d10", Whom()), Redirect)


def test_whom_is_answered_only_where_there_is_room_and_never_to_the_own_parent() -> None:
    core = inner()
    assert not tell(core, 2, "d00", Whom())
    for at in range(16):
        assert said(tell(core, 3, f"x{at}", Whom()), Redirect)
        tell(core, 3, f"x{at}", Up(0, 1))
    assert not tell(core, 4, "x99", Whom())
    assert said(tell(core, 4, "d09", Whom()), Redirect)


def test_redirects_are_followed_but_not_without_end() -> None:
    core = inner()
    parent = "d00"
    for at in range(MOST_HOPS):
        assert set(said(tell(core, 2 + at, parent, Redirect(f"x{at}", 3, "d00")), Up)) == {f"x{at}"}
        parent = f"x{at}"
    assert set(said(tell(core, 9, parent, Redirect("x9", 3, "d00")), Up)) == {"d00"}
    assert not tell(core, 10, "d05", Redirect("x9", 3, "d00"))  # of one that was not asked
    assert not tell(core, 10, "d00", Redirect("d01", 3, "d00"))  # to itself


def test_a_change_of_ranks_makes_one_that_waited_long_ask_soon() -> None:
    core = door("d09")  # below d01 by rank
    tell(core, 1, "d01", Redirect("d05", 3, "d00"))
    whoms: list[int] = []

    def beats(start: int, count: int) -> list[Any]:
        actions: list[Any] = []
        for beat in range(start, start + count):
            now = beat * BEAT
            for action in (*tell(core, now, "d05", Down(3, beat, "d00", 1, 0)), *core.handle(now, Tick())):
                if isinstance(action, SendMessage) and isinstance(action.message, Whom):
                    whoms.append(beat)
                actions.append(action)
        return actions

    beats(1, 60)
    gaps = [after - before for before, after in pairwise(whoms)]
    assert gaps[0] <= 2 and max(gaps) <= Settings().most_home_beats + 1 and 2 <= len(whoms) <= 10
    # d02 to d08 are gone, so it comes to be below the leader; then it is taken there.
    beats(61, 2)
    core.handle(62 * BEAT, View(tuple(life for life in ALIVE if not "d02" <= life.name <= "d08"), "d00", 3))
    whoms.clear()
    beats(63, 2)
    assert whoms
    assert set(said(tell(core, 64 * BEAT, "d00", Redirect("d00", 3, "d00")), Up)) == {"d00"}


def test_a_new_ballot_brings_one_that_is_elsewhere_to_its_parent_by_rank_at_once() -> None:
    core = door("d09")
    tell(core, 1, "d01", Redirect("d05", 3, "d00"))
    tell(core, 2, "d05", Down(3, 1, "d00", 1, 0))
    assert core.listening.rooted(3)
    assert set(said(core.handle(3, View(ALIVE, "d00", 4)), Up)) == {"d01"}


def test_words_up_are_half_a_beat_apart_at_least() -> None:
    core = inner()
    now = core.wake_us
    assert said(core.handle(now, Tick()), Up)
    tell(core, now + 1, "d00", Down(3, 2, "d00", 0, 0))
    tell(core, now + BEAT // 4, "d00", Down(3, 3, "d00", 0, 0))
    assert not said(core.handle(now + BEAT * 7 // 16, Tick()), Up)
    assert said(core.handle(now + BEAT // 2, Tick()), Up)


def test_what_was_to_be_granted_under_an_earlier_ballot_is_not() -> None:
    core = door("d00")
    tell(core, 1, "d01", Up(0, 1, (RenewalRequest("d01", 10, 5, 1, 0),)))
    core.handle(BEAT // 2, Give((RenewalGrant("d01", 10, 5, 1),)))
    core.handle(BEAT // 2, View(ALIVE, "d07", 4))
    words = said(core.handle(BEAT // 2, View(ALIVE, "d00", 5)), Down)
    assert core.standing.leads and words["d01"].grants == ()


def test_a_later_life_in_the_view_ends_the_earlier_child() -> None:
    core = door("d00")
    tell(core, 1, "d01", Up(0, 1))
    core.handle(2, View((*(life for life in ALIVE if life.name != "d01"), NodeInstance("d01", 11)), "d00", 3))
    assert "d01" not in core.below.children


def test_one_that_the_view_lacks_is_in_its_own_tree() -> None:
    many = [f"a{at:03}" for at in range(300)]
    for ranks in (Ranks("z", many, "m"), Ranks("z", many), Ranks("z", many, "z"), Ranks("z")):
        assert "z" in ranks.rank and len(ranks.names) <= 256
    assert Ranks("z", many, "z").parent is None and Ranks("z", many, "m").parent


def test_a_view_that_nobody_leads_ends_a_leader() -> None:
    core = door("d00")
    actions = core.handle(1, View(ALIVE, None, 3))
    assert not core.standing.leads and said(actions, Up)
    assert core.handle(2, VIEW)[0] == Parent(None) and core.standing.leads

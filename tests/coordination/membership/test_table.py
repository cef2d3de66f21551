"""The precedence of rumours, and the bound on the member table."""

from itertools import permutations

import pytest

from molereach.coordination.interface.identifiers import (
    MAX_MEMBERS,
    NodeInstance,
)
from molereach.coordination.membership.events import MemberStatusChanged
from molereach.coordination.membership.messages import (
    Rumour,
)
from molereach.coordination.membership.table import MemberTable
from tests.coordination.membership.rumours import ALIVE, DEAD, LEFT, SUSPECT, rumour_of

WINNER_LOSER_PAIRS = [  # the first takes precedence over the second
    (rumour_of(2, 0, ALIVE), rumour_of(1, 9, DEAD)),
    (rumour_of(2, 0, ALIVE), rumour_of(1, 9, LEFT)),
    (rumour_of(1, 1, ALIVE), rumour_of(1, 0, SUSPECT)),
    (rumour_of(1, 1, ALIVE), rumour_of(1, 0, DEAD)),
    (rumour_of(1, 0, SUSPECT), rumour_of(1, 0, ALIVE)),
    (rumour_of(1, 0, DEAD), rumour_of(1, 0, SUSPECT)),
    (rumour_of(1, 0, LEFT), rumour_of(1, 0, DEAD)),
]


@pytest.mark.parametrize(("winner", "loser"), WINNER_LOSER_PAIRS)
def test_rumour_of_higher_precedence_wins(winner: Rumour, loser: Rumour) -> None:
    table = MemberTable()
    table.apply(0, loser)
    assert table.wins(winner)
    table.apply(0, winner)
    assert not table.wins(loser) and not table.wins(winner)


def test_state_does_not_depend_on_the_order_of_rumours() -> None:
    rumours = [
        rumour_of(1, 0, ALIVE),
        rumour_of(1, 0, SUSPECT),
        rumour_of(1, 1, ALIVE),
        rumour_of(1, 1, DEAD),
        rumour_of(2, 0, ALIVE),
        rumour_of(2, 0, SUSPECT),
    ]
    for order in permutations(rumours):
        table = MemberTable()
        table.apply(0, rumour_of(1, 0, ALIVE))
        for rumour in order:
            if table.wins(rumour):
                table.apply(0, rumour)
        assert table.members["a"].rumour == rumour_of(2, 0, SUSPECT)
        assert table.live_count == 1


def test_newer_instance_replaces_the_older_one() -> None:
    table = MemberTable()
    table.apply(0, rumour_of(1, 0, ALIVE))
    assert table.apply(0, rumour_of(2, 0, ALIVE)) == [
        MemberStatusChanged(NodeInstance("a", 1), DEAD, ALIVE),
        MemberStatusChanged(NodeInstance("a", 2), ALIVE, None),
    ]


def test_death_of_an_unknown_member_is_ignored() -> None:
    assert not MemberTable().wins(rumour_of(1, 0, DEAD))
    assert not MemberTable().wins(rumour_of(1, 0, LEFT))


def test_table_is_bounded_and_dead_members_are_evicted_first() -> None:
    table = MemberTable()
    for number in range(10_000):
        rumour = rumour_of(1, 0, ALIVE, f"d{number}")
        if table.wins(rumour):
            table.apply(number, rumour)
    assert len(table.members) == table.live_count == MAX_MEMBERS - 1
    table.apply(0, rumour_of(1, 0, DEAD, "d7"))
    assert table.wins(rumour_of(1, 0, ALIVE, "new"))
    table.apply(0, rumour_of(1, 0, ALIVE, "new"))
    assert len(table.members) == MAX_MEMBERS - 1 and "d7" not in table.members


def test_dead_members_are_forgotten_and_live_ones_are_not() -> None:
    table = MemberTable()
    for name, status in (("a", ALIVE), ("b", DEAD), ("c", LEFT)):
        table.apply(0, rumour_of(1, 0, ALIVE, name))
        table.apply(5, rumour_of(1, 1, status, name))
    table.remove_expired(4)
    assert set(table.members) == {"a", "b", "c"}
    table.remove_expired(5)
    assert set(table.members) == {"a"} and table.live_count == 1

"""The parts of membership one by one: which rumour wins, budgets, the falling time of a suspicion."""

import math
import random
from itertools import permutations

import msgspec
import pytest

from molereach.coordination.interface.identifiers import (
    MAX_MEMBERS,
    MAX_NAME_CHARACTERS,
    SECOND_US,
    NodeInstance,
)
from molereach.coordination.membership.doubt import Doubt
from molereach.coordination.membership.events import Changed
from molereach.coordination.membership.gossip import Gossip, most_told
from molereach.coordination.membership.probes import Rounds
from molereach.coordination.membership.settings import MembershipSettings
from molereach.coordination.membership.suspicion import Suspicion
from molereach.coordination.membership.table import Table
from molereach.coordination.membership.words import (
    MOST_MESSAGE_BYTES,
    MOST_RUMOURS,
    MOST_SEQ,
    Ack,
    Ping,
    PingReq,
    Rumour,
    Status,
    Sync,
    decode,
    encode,
    fit,
    pieces,
)

ALIVE, SUSPECT, DEAD, LEFT = Status


def told(number: int, incarnation: int, status: Status, name: str = "a") -> Rumour:
    return Rumour(name, number, incarnation, status, "z" if status in (SUSPECT, DEAD) else None)


WINNERS = [  # the first wins over the second
    (told(2, 0, ALIVE), told(1, 9, DEAD)),
    (told(2, 0, ALIVE), told(1, 9, LEFT)),
    (told(1, 1, ALIVE), told(1, 0, SUSPECT)),
    (told(1, 1, ALIVE), told(1, 0, DEAD)),
    (told(1, 0, SUSPECT), told(1, 0, ALIVE)),
    (told(1, 0, DEAD), told(1, 0, SUSPECT)),
    (told(1, 0, LEFT), told(1, 0, DEAD)),
]


@pytest.mark.parametrize(("winner", "loser"), WINNERS)
def test_which_rumour_wins(winner: Rumour, loser: Rumour) -> None:
    table = Table()
    table.put(0, loser)
    assert table.wins(winner)
    table.put(0, winner)
    assert not table.wins(loser) and not table.wins(winner)


def test_the_order_in_which_rumours_come_does_not_matter() -> None:
    rumours = [
        told(1, 0, ALIVE),
        told(1, 0, SUSPECT),
        told(1, 1, ALIVE),
        told(1, 1, DEAD),
        told(2, 0, ALIVE),
        told(2, 0, SUSPECT),
    ]
    for order in permutations(rumours):
        table = Table()
        table.put(0, told(1, 0, ALIVE))
        for rumour in order:
            if table.wins(rumour):
                table.put(0, rumour)
        assert table.members["a"].rumour == told(2, 0, SUSPECT)
        assert table.living == 1


def test_a_later_run_ends_the_earlier_one() -> None:
    table = Table()
    table.put(0, told(1, 0, ALIVE))
    assert table.put(0, told(2, 0, ALIVE)) == [
        Changed(NodeInstance("a", 1), DEAD, ALIVE),
        Changed(NodeInstance("a", 2), ALIVE, None),
    ]


def test_of_an_unknown_name_a_death_is_no_news() -> None:
    assert not Table().wins(told(1, 0, DEAD))
    assert not Table().wins(told(1, 0, LEFT))


def test_the_table_is_bounded_and_the_dead_make_room() -> None:
    table = Table()
    for number in range(10_000):
        rumour = told(1, 0, ALIVE, f"d{number}")
        if table.wins(rumour):
            table.put(number, rumour)
    assert len(table.members) == table.living == MAX_MEMBERS - 1
    table.put(0, told(1, 0, DEAD, "d7"))
    assert table.wins(told(1, 0, ALIVE, "new"))
    table.put(0, told(1, 0, ALIVE, "new"))
    assert len(table.members) == MAX_MEMBERS - 1 and "d7" not in table.members


def test_the_dead_are_forgotten_and_the_living_are_not() -> None:
    table = Table()
    for name, status in (("a", ALIVE), ("b", DEAD), ("c", LEFT)):
        table.put(0, told(1, 0, ALIVE, name))
        table.put(5, told(1, 1, status, name))
    table.forget(4)
    assert set(table.members) == {"a", "b", "c"}
    table.forget(5)
    assert set(table.members) == {"a"} and table.living == 1


# --- suspicion and doubt ---


def test_the_time_to_dead_falls_by_the_logarithm_of_the_accusers() -> None:
    settings = MembershipSettings()
    suspicion = Suspicion(0, "b", 100, settings)
    beats = [suspicion.dead_us / settings.beat_us]
    for accuser in ("c", "d", "e"):
        assert suspicion.confirm(accuser)
        beats.append(suspicion.dead_us / settings.beat_us)
    expected = [48 - 40 * math.log(1 + number) / math.log(4) for number in range(4)]
    assert beats == pytest.approx(expected, rel=1e-5)


def test_an_accuser_counts_once_and_their_number_is_bounded() -> None:
    suspicion = Suspicion(0, "b", 100, MembershipSettings())
    assert not suspicion.confirm("b")
    assert [suspicion.confirm(f"x{number}") for number in range(100)].count(True) == 3


@pytest.mark.parametrize(("members", "needed"), [(2, 0), (3, 1), (4, 2), (5, 3), (200, 3)])
def test_no_more_accusers_are_awaited_than_there_can_be(members: int, needed: int) -> None:
    assert Suspicion(0, "b", members, MembershipSettings()).needed == needed


def test_a_stall_does_not_count_toward_death() -> None:
    suspicion = Suspicion(0, "b", 2, MembershipSettings())
    assert suspicion.dead_us == 2 * SECOND_US
    suspicion.extend(30 * SECOND_US, 31 * SECOND_US)
    assert suspicion.dead_us == 32 * SECOND_US
    suspicion.extend(0, 40 * SECOND_US)
    assert suspicion.dead_us == 40 * SECOND_US


def test_doubt_is_bounded_and_says_when_it_changes() -> None:
    doubt = Doubt(8)
    assert not doubt.change(-1)
    assert doubt.change(3) and doubt.stretched(100) == 400
    assert doubt.change(100) and doubt.level == 8 and not doubt.change(1)


@pytest.mark.parametrize(
    "wrong",
    [
        {"direct_us": 500_000},
        {"direct_us": 0},
        {"suspicion_beats": 0},
        {"most_doubt": -1},
        {"forget_us": 1},
        {"retry_beats": 0},
    ],
)
def test_settings_that_make_no_sense_are_refused(wrong: dict[str, int]) -> None:
    with pytest.raises(ValueError, match="must"):
        MembershipSettings(**wrong)


# --- words and their budget ---


LONG = "n" * (MAX_NAME_CHARACTERS - 4)
LONG_NAMES = [f"{LONG}{number:04}" for number in range(300)]
LONGEST = [Rumour(name, 1 << 62, 1 << 53, SUSPECT, name) for name in LONG_NAMES]


def test_a_message_keeps_to_its_budget_with_the_longest_names() -> None:
    gossip = Gossip()
    for rumour in LONGEST:
        gossip.spread(rumour)
    rumours = gossip.pick(256, MOST_RUMOURS)
    assert rumours
    for message in (PingReq((1 << 32) - 1, "n" * 64, 1 << 62, rumours), Sync(rumours, True), Ack(1, rumours)):
        assert len(encode(message)) <= MOST_MESSAGE_BYTES
        assert decode(encode(message)) == message


def test_the_budget_holds_for_names_of_any_length() -> None:
    for chars in range(1, MAX_NAME_CHARACTERS + 1):
        name = "n" * chars
        chosen = tuple(fit(Rumour(name, (1 << 50) + number, 0, SUSPECT, name) for number in range(200)))
        size = len(encode(PingReq(MOST_SEQ, "n" * MAX_NAME_CHARACTERS, 1 << 62, chosen)))
        assert MOST_MESSAGE_BYTES // 2 < size <= MOST_MESSAGE_BYTES


def test_a_list_goes_in_pieces_and_none_is_lost() -> None:
    parts = pieces(LONGEST)
    assert sorted(rumour for part in parts for rumour in [rumour.name for rumour in part]) == sorted(
        rumour.name for rumour in LONGEST
    )
    assert all(len(encode(Sync(part, True))) <= MOST_MESSAGE_BYTES for part in parts)


PING = {"type": "m.ping", "seq": 1, "rumours": []}


@pytest.mark.parametrize(
    "wrong",
    [
        {"type": "m.pong", "seq": 1},
        {**PING, "more": 1},
        {**PING, "seq": -1},
        {**PING, "seq": 1 << 32},
        {**PING, "rumours": [["a", 1, 0, 4, None]]},
        {**PING, "rumours": [["a", 1, 0, 0, None, 5]]},
        {**PING, "rumours": [["a/b", 1, 0, 0, None]]},
        {**PING, "rumours": [["a" * 65, 1, 0, 0, None]]},
        {**PING, "rumours": [["a", -1, 0, 0, None]]},
        {**PING, "rumours": [["a", 1, 1 << 60, 0, None]]},
        {**PING, "rumours": [["a", 1, 0, 0, ""]]},
        {**PING, "rumours": [["a", 1, 0, 0, None]] * (MOST_RUMOURS + 1)},
        [1, 2],
        "x",
        None,
    ],
)
def test_what_is_not_a_message_is_refused(wrong: object) -> None:
    with pytest.raises(ValueError):
        decode(msgspec.msgpack.encode(wrong))


def test_a_message_of_another_size_is_refused() -> None:
    good = encode(Ping(1, (told(1, 0, ALIVE),)))
    assert decode(good)
    for wrong in (good[:-1], good + b"\0", b"", b"\xc1" * 40):
        with pytest.raises(ValueError):
            decode(wrong)
    many = tuple(told(1, 0, ALIVE, f"{LONG}{number:04}") for number in range(100))
    with pytest.raises(ValueError, match="bytes"):
        decode(msgspec.msgpack.encode(Ping(1, many)))


# --- rumours on their way ---


def test_a_rumour_is_told_a_number_of_times_and_the_newest_first() -> None:
    gossip = Gossip()
    gossip.spread(told(1, 0, ALIVE))
    assert gossip.pick(9, 1) == (told(1, 0, ALIVE),)
    gossip.spread(told(1, 0, ALIVE, "b"))
    assert gossip.pick(9, 1) == (told(1, 0, ALIVE, "b"),)
    rest = [gossip.pick(9, 24) for _ in range(40)]
    assert sum(told(1, 0, ALIVE) in rumours for rumours in rest) == most_told(9) - 1 == 11
    assert not gossip.told


def test_what_is_void_is_told_no_more_and_each_accuser_is_told() -> None:
    gossip = Gossip()
    one, two = Rumour("a", 1, 0, SUSPECT, "b"), Rumour("a", 1, 0, SUSPECT, "c")
    for rumour in (told(1, 0, ALIVE), one, two):
        gossip.spread(rumour)
    assert set(gossip.pick(9, 24)) == {one, two}
    gossip.spread(told(1, 1, ALIVE))
    assert gossip.pick(9, 24) == (told(1, 1, ALIVE),)


# --- rounds ---


def rounds_of(names: list[str]) -> Rounds:
    rounds = Rounds(random.Random(1).random)
    for name in names:
        rounds.add(name)
    return rounds


def test_each_round_has_an_order_of_its_own() -> None:
    names = [f"d{number}" for number in range(8)]
    rounds = rounds_of(names)
    orders = [tuple(rounds.next() for _ in names) for _ in range(5)]
    assert len(set(orders)) == 5 and all(sorted(order) == names for order in orders)


@pytest.mark.parametrize("taken", range(1, 20))
def test_who_comes_or_goes_within_a_round_costs_nobody_its_turn(taken: int) -> None:
    names = [f"d{number}" for number in range(20)]
    rounds = rounds_of(names)
    asked = [rounds.next() for _ in range(taken)]
    rounds.add("new")
    rounds.remove("d0")
    rounds.remove("d1")
    while rounds.at < len(rounds.names):
        asked.append(rounds.next())
    assert len(asked) == len(set(asked)) and set(asked) >= set(names[2:])

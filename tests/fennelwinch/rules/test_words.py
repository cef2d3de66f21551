"""Words to peers without a gateway: what they say, when they leave, and what the home gives."""

from dataclasses import replace

import pytest

from fennelwinch import interface as i
from fennelwinch.rules.customers import Customers
from fennelwinch.rules.peers import Peers
from fennelwinch.rules.words import MARK_US, SPACE_US, Words
from tests.helpers import SETTINGS, S

NOW = 100 * S
PLAN = i.Plan(rate=10.0, burst=20.0, ceiling_rate=4.0, ceiling_burst=7.0)
HERE: i.Key = (0, 0, 0, 2)  # its home is the first of the set
THERE: i.Key = (1, 0, 0, 2)
MARK = i.Word(0, i.SPLIT_MARK, 0, 0)


def words_of(plan: i.Plan = PLAN, **changes: object) -> Words:
    settings = replace(SETTINGS, plans=(plan,), gateways=2, **changes)
    return Words(settings, Customers(settings, None), Peers())


def test_word_says_what_is_new_once() -> None:
    words = words_of()
    customer = words.customers.get(NOW, THERE)
    customer.untold, customer.spent = 3.0, 2.0
    words.tell(1, customer, 1.0)
    words.tell(1, customer, 0.0)
    (tell,) = words.leave(NOW)
    assert tell.peer == 1
    assert tell.words == (i.Word(*THERE, demand=3.0, spent=2.0, asked=1.0, level=20.0),
                          i.Word(*THERE, level=20.0), MARK)
    assert not words.waiting and not words.leave(NOW)


def test_answer_says_what_the_set_has_left_and_brings_units_unless_the_draw_refused() -> None:
    words = words_of()
    customer = words.customers.get(NOW, HERE)
    customer.own, customer.others, pool = 1.0, 2.0, customer.pool
    words.tell(1, customer, 1.0, True)
    words.tell(1, customer, 1.0, False)
    words.tell(0, customer, 0.0)  # none to itself
    (tell,) = words.leave(NOW)
    assert tell.words == (
        i.Word(*HERE, True, 3.0, 0.0, 1.0, 20.0, True, True),
        i.Word(*HERE, True, 3.0, 0.0, 1.0, 20.0, False, False), MARK,
    )
    assert customer.pool == pool - 1.0


def test_words_to_a_peer_are_spaced_and_the_mark_comes_now_and_then() -> None:
    words = words_of(peer_messages_per_s=1.0)
    customer = words.customers.get(NOW, THERE)
    marks = []
    for at in (0, SPACE_US - 1, SPACE_US, MARK_US):
        words.tell(1, customer, 0.0)
        marks.append([MARK in tell.words for tell in words.leave(NOW + at)])
    assert marks == [[True], [], [False], [True]]
    unsplit = words_of(i.Plan(rate=10.0, burst=20.0))
    unsplit.tell(1, unsplit.customers.get(NOW, THERE), 0.0)
    assert MARK not in unsplit.leave(NOW)[0].words


def test_home_gives_what_the_set_leaves_and_no_more() -> None:
    words = words_of()
    customer = words.customers.get(NOW, HERE)
    assert customer.pool == pytest.approx((7.0 - 1.2) / 2)
    assert words.give(customer, 1.0) and words.give(customer, 1.0) and not words.give(customer, 1.0)
    words.peers.hear(NOW, 1)  # an older one
    customer.pool = 2.0
    assert words.give(customer, 1.0) and customer.pooled == 0.25
    assert customer.pool == pytest.approx((7.0 - 1.2) / 4 - 1.0)
    customer.pool, customer.level = 1.0, 0.5
    assert not words.give(customer, 1.0)  # what the quota refuses would be lost

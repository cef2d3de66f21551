"""A change counts as told 6 s after discovery had it and could be reached: by when a door has heard of it.

The cores alone, on a clock of the test's own, against a discovery that fails them in every way until a moment
and from then on answers promptly. The sums: docs/design/standing-terms.md.
"""

import heapq
import itertools
import random
from collections.abc import Callable

import pytest
from hypothesis import example, given, settings
from hypothesis import strategies as st

from molereach.discovery.client import CONNECT_TIMEOUT_S, MIN_WAIT_S
from molereach.discovery.poll_backoff import HUNG_CONNECT_S, MAX_UNJITTERED_PROXIES, PollBackoff
from molereach.discovery.watch_supervisor import HEARTBEAT_INTERVAL_S, WatchSupervisor
from molereach.protocol.settings import MAX_PROXIES

TOLD_S = 6.0
ASK_WITHIN_S = 10.0
PROMPT_S = 0.2  # a dial and a whole answer of a discovery that can be reached
DOORS = st.one_of(
    st.integers(1, MAX_PROXIES),
    st.sampled_from([1, MAX_UNJITTERED_PROXIES, MAX_UNJITTERED_PROXIES + 1, 200, 7500]),
)
# What becomes of a call that is made before discovery can be reached.
FATES = ["refused", "reset", "hangs", "forgotten", "trickles", "begins"]
WATCHES = ["none", "reset", "silent", "trickles"]  # what becomes of the watch that was open
TRICKLE_S = 0.7  # between bytes that make no object


class Door:
    """One front door, from a watch that was open (or none) on; `fate` is asked for each call that is made."""

    def __init__(self, pacing: PollBackoff, draw: Callable[[], float], fate: Callable[[float], str]) -> None:
        self.calling, self.fate = WatchSupervisor(pacing, draw), fate
        self.now_s, self.word_s = 0.0, -1.0
        self.serial = itertools.count()
        self.due: list[tuple[float, int, str, int]] = []  # what comes: when, what, of which call
        self.opened: list[float] = []

    def later(self, wait_s: float, what: str, number: int) -> None:
        heapq.heappush(self.due, (self.now_s + wait_s, next(self.serial), what, number))

    def watch(self, end: str) -> None:
        """A watch is open, brought its last whole word now, and will end so."""
        number = self.calling.open_if_due(self.now_s)
        assert number
        self.calling.record_object(number, self.now_s)
        self.calling.record_applied()
        if end == "trickles":
            self.later(TRICKLE_S, "byte", number)
        elif end == "reset":
            self.later(0.0, "ended", number)

    def call(self, number: int) -> None:
        fate = self.fate(self.now_s)
        self.opened.append(self.now_s)
        if fate == "answered":
            self.later(PROMPT_S, "word", number)
        elif fate in ("refused", "reset", "hangs"):
            self.later({"refused": 0.001, "reset": 2.0, "hangs": CONNECT_TIMEOUT_S}[fate], "ended", number)
        elif fate in ("trickles", "begins"):  # at once, or when it has been waited for long
            self.later(0.3 if fate == "trickles" else 4.4, "byte", number)

    def take(self, what: str, number: int) -> None:
        if number not in self.calling.open_attempts:
            return
        if what == "word":
            for other in self.calling.record_object(number, self.now_s):
                self.calling.complete(other)
            self.calling.record_applied()
            self.word_s = self.now_s
        elif what == "byte":
            self.calling.record_bytes(number, self.now_s)
            self.later(TRICKLE_S, "byte", number)
        else:
            self.calling.record_failure(number, self.now_s)

    def step(self) -> None:
        """As `Source.run`: to the next thing to do or to come, and what is due then."""
        wakes_s = self.now_s + max(MIN_WAIT_S, self.calling.wait_s(self.now_s))
        if self.due and self.due[0][0] <= wakes_s:
            self.now_s, _, what, number = heapq.heappop(self.due)
            self.take(what, number)
        else:
            self.now_s = wakes_s
        if self.calling.wait_s(self.now_s):
            return
        for number in self.calling.expired(self.now_s):
            self.calling.record_failure(number, self.now_s)
        if opened := self.calling.open_if_due(self.now_s):
            self.call(opened)
        for number in self.calling.surplus():
            self.calling.complete(number)

    def hears_after(self, reached_s: float) -> float:
        """How long after that moment it has a whole word."""
        while self.word_s < reached_s:
            self.step()
            assert self.now_s < reached_s + 100, "it never hears"
        return self.word_s - reached_s


def made(must_poll: bool, doors: int, seed: int, fate: Callable[[float], str]) -> Door:
    return Door(PollBackoff(doors, must_poll, ASK_WITHIN_S), random.Random(seed).random, fate)


@settings(max_examples=200, deadline=None, derandomize=True)
@given(
    st.booleans(),
    DOORS,
    st.integers(0, 1 << 30),
    st.sampled_from(WATCHES),
    st.lists(st.sampled_from(FATES), min_size=1, max_size=4),
    st.floats(0, 60),
)
@example(True, 7500, 1, "none", ["refused"], 59.0)
@example(True, 7500, 1, "silent", ["forgotten"], 30.0)
@example(True, 7500, 1, "trickles", ["begins"], 30.0)
@example(True, 9, 1, "none", ["begins"], 30.0)
@example(False, 7500, 1, "none", ["begins"], 31.0)
def test_change_is_heard_within_6_s_of_when_discovery_had_it_and_could_be_reached(
    must_poll: bool, doors: int, seed: int, watch: str, fates: list[str], reached_s: float
) -> None:
    """Whatever became of the calls before, however many there were, in a tier of any size."""
    chance = random.Random(seed + 1)
    door = made(must_poll, doors, seed, lambda now: "answered" if now >= reached_s else chance.choice(fates))
    if watch != "none":
        door.watch(watch)
    assert door.hears_after(reached_s) < TOLD_S


@settings(max_examples=200, deadline=None, derandomize=True)
@given(st.booleans(), DOORS, st.integers(0, 1 << 30), st.sampled_from(WATCHES[1:]))
@example(True, 7500, 1, "silent")
def test_watch_that_broke_is_followed_within_6_s_also_where_a_dial_hangs(
    must_poll: bool, doors: int, seed: int, watch: str
) -> None:
    """Discovery could be reached all the while; the first dial after the break never comes up."""
    fates = ["hangs"]
    door = made(must_poll, doors, seed, lambda now: fates.pop() if fates else "answered")
    door.watch(watch)
    if must_poll or watch != "trickles":
        assert door.hears_after(0.001) < TOLD_S
    else:  # an agent's trickle is borne for 5 s; then a call is made beside the one that hangs
        assert door.hears_after(0.001) < 5.0 + 0.5 + PROMPT_S + 0.1


@pytest.mark.parametrize("fate", FATES)
def test_calls_are_bounded_in_number_while_discovery_cannot_be_reached(fate: str) -> None:
    """Two at a time where the list must be asked for, and in a large tier each door's come seconds apart."""
    door = made(True, 7500, 3, lambda now: fate)
    while door.now_s < 60:
        door.step()
        assert len(door.calling.open_attempts) <= 2
    assert len(door.opened) <= 60 / 1.5 + 1


def test_calls_of_a_large_tier_are_spread_over_the_time_that_there_is() -> None:
    """Also after failures: no half of a second has more than a third of the calls."""
    assert HUNG_CONNECT_S == CONNECT_TIMEOUT_S
    for failures in (0, 1, 5):
        waits = []
        for seed in range(2000):
            chance, pacing = random.Random(seed), PollBackoff(7500, True, ASK_WITHIN_S)
            for _ in range(failures):
                pacing.record_failure(chance.random())
            waits.append(pacing.record_failure(chance.random()))
        halves = [int(wait * 2) for wait in waits]
        assert max(halves.count(half) for half in set(halves)) < len(waits) / 3
        assert max(waits) < TOLD_S - CONNECT_TIMEOUT_S


class Line:
    """Discovery: calls are worked on in turn, also those that nobody waits for any more; a line that is too
    long takes no more."""

    def __init__(self, each_s: float, most_s: float) -> None:
        self.each_s, self.most_s, self.free_s = each_s, most_s, 0.0

    def call(self, now: float) -> float | None:
        """When it is answered; None where it is refused."""
        start = max(now, self.free_s)
        if start - now > self.most_s:
            return None
        self.free_s = start + self.each_s
        return self.free_s


def all_known_s(tier: int, each_all_s: float, most_s: float, seed: int, until_s: float) -> list[float]:
    """All watches of a tier are reset at once: when each door has its next word."""
    line, chance = Line(each_all_s / tier, most_s), random.Random(seed)
    doors = [made(True, tier, chance.randrange(1 << 30), lambda now: "") for _ in range(tier)]

    def call(door: Door, number: int) -> None:
        answered_s = line.call(door.now_s)
        door.later(
            0.001 if answered_s is None else answered_s - door.now_s,
            "ended" if answered_s is None else "word",
            number,
        )

    for door in doors:
        door.call = lambda number, door=door: call(door, number)  # type: ignore[method-assign,misc]
        door.watch("reset")
    at = [(0.0, number) for number in range(tier)]
    known = []
    while at and at[0][0] < until_s:
        _, number = heapq.heappop(at)
        door = doors[number]
        door.step()
        if door.word_s >= 0:
            known.append(door.word_s)
        else:
            wakes_s = door.now_s + max(MIN_WAIT_S, door.calling.wait_s(door.now_s))
            heapq.heappush(at, (min([wakes_s, *(due[0] for due in door.due[:1])]), number))
    return known


@pytest.mark.parametrize(("all_call_s", "most_s"), [(8, 20.0), (10, 40.0), (12, 60.0)])
def test_discovery_that_is_weaker_than_the_term_asks_is_not_jammed(all_call_s: int, most_s: float) -> None:
    """It takes a call of each door in 8 to 12 s, so that not all can hear within 6 s: but all do soon, be its
    line short or without end, as no call that it has taken is given up before its turn comes."""
    for seed, line_s in [*((seed, 4.0) for seed in range(50)), *((seed, 1000.0) for seed in range(5))]:
        known = all_known_s(40, all_call_s, line_s, seed, 2 * most_s)
        assert len(known) == 40
        assert max(known) < most_s


def test_tier_that_hears_of_a_broken_watch_by_silence_asks_over_a_beat() -> None:
    """The signs of life of watches come at their own times: what is silent at once is not missed at once."""
    chance, calls = random.Random(5), []
    for seed in range(500):
        door = made(True, 7500, seed, lambda now: "answered")
        door.now_s = chance.uniform(0, HEARTBEAT_INTERVAL_S)
        door.watch("silent")
        while not door.opened:
            door.step()
        calls.append(door.opened[0])
    assert max(calls) - min(calls) > 0.9 * HEARTBEAT_INTERVAL_S

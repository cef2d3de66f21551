"""One front door's side: what may be answered from memory, when, and from when on it is clear."""

from dataclasses import replace

from molereach.cache.door import SLICE, Clear, Door, Failed, Told
from molereach.cache.fills.fills import Fate
from molereach.cache.hit import Hit
from molereach.cache.purge.bodies import MACHINE, Ask, Done, encode
from molereach.cache.readings.reading import Reading
from molereach.cache.readings.settings import MOST_READINGS, ReadingSettings, S
from molereach.coordination.interface.core import NEVER_US, Tick
from molereach.coordination.interface.log import Applied, Entry, Outcome, Restored
from tests.cache.purge.entries import MEMBER, OTHER, SMALL, A, Log, purge_id
from tests.cache.sessions import Held

SETTINGS = ReadingSettings({"load": 10 * S, "meter": 5 * S}, 64 << 20, 8 << 20)


class Place:
    """A front door with its log; times in microseconds of its own clock."""

    def __init__(self, log: Log | None = None) -> None:
        self.log = log or Log()
        self.session = Held()
        self.door = Door(SETTINGS, self.log.purges, self.session)
        self.now_us = 0

    def fill(self, member: str = MEMBER, asked: bytes = b"x", class_name: str = "load") -> Fate:
        ticket = self.door.begin(self.now_us, member, class_name, asked)
        assert ticket
        self.now_us += 1
        return self.door.end(self.now_us, ticket, b"value")

    def look(self, member: str = MEMBER, asked: bytes = b"x", class_name: str = "load") -> Hit | None:
        return self.door.look(self.now_us, member, class_name, asked)

    def purge(self, member: str = MEMBER, class_name: str = "", name: str = "") -> tuple[Clear, ...]:
        body = Ask(name or purge_id(self.log.position, 1), member, class_name)
        outcome = self.log.purge(body)
        return tuple(self.door.handle(self.now_us, Applied(self.log.entries[-1], outcome)))

    def turn(self) -> tuple[Clear, ...]:
        return tuple(self.door.handle(self.now_us, Tick()))


def test_a_reading_is_answered_again_and_says_its_age() -> None:
    place = Place()
    assert place.look() is None and place.fill() is Fate.KEPT
    place.now_us = 7
    hit = place.look()
    assert hit and hit.value == b"value" and hit.age_us(9) == 9 and hit.still(9)
    assert not hit.still(10 * S)


def test_a_purge_forbids_what_is_kept_and_hits_under_way_at_once() -> None:
    place = Place()
    for member, class_name in ((MEMBER, "load"), (MEMBER, "meter"), (OTHER, "load")):
        place.fill(member, class_name=class_name)
    hit, other, unlike = place.look(), place.look(OTHER), place.look(class_name="meter")
    assert hit and other and unlike
    place.purge(class_name="load")
    assert not hit.still(place.now_us) and place.look() is None
    assert other.still(place.now_us) and unlike.still(place.now_us)
    place.purge()
    assert not unlike.still(place.now_us) and other.still(place.now_us)
    assert place.fill() is Fate.KEPT
    again = place.look()
    assert again and again.still(place.now_us)


def test_a_hit_taken_before_a_stop_is_refused_right_before_its_write() -> None:
    place = Place()
    place.fill()
    place.session.until_us = 100
    hit = place.look()
    assert hit and hit.still(99)
    assert not hit.still(100)  # it wakes without having heard of anything
    assert place.door.look(100, MEMBER, "load", b"x") is None
    assert place.door.store.size  # kept unread until it has caught up
    place.session.until_us = 1000
    place.door.handle(101, Told(5))  # others know more: it is behind
    assert not hit.still(101) and place.door.look(101, MEMBER, "load", b"x") is None
    place.log.position = 4
    place.door.handle(102, Told(0))
    assert not hit.still(102)
    place.purge(OTHER)
    assert hit.still(101) and place.door.look(101, MEMBER, "load", b"x")


def test_an_answer_on_its_way_while_the_purge_passes_is_thrown_away_also_after_a_stop() -> None:
    place = Place()
    ticket = place.door.begin(0, MEMBER, "load", b"x")
    late = place.door.begin(0, MEMBER, "load", b"y")
    assert ticket and late
    place.purge()
    assert place.door.end(1, ticket, b"v") is Fate.PURGED
    place.door.handle(30 * S, Tick())  # the mark is let go of by age
    assert place.door.end(30 * S, late, b"v") is Fate.NOT_KEPT and not place.door.store.size


def test_one_that_wakes_keeps_an_old_answer_only_until_it_hears_of_the_purge() -> None:
    place = Place()
    ticket = place.door.begin(0, MEMBER, "load", b"x")
    place.session.until_us = 0
    assert ticket and place.door.end(5 * S, ticket, b"old") is Fate.KEPT
    assert place.look() is None
    place.purge()
    place.session.until_us = 1 << 60
    assert place.look() is None
    place.turn()
    assert not place.door.store.size


def test_clear_is_said_only_when_all_slices_are_done() -> None:
    place = Place()
    for number in range(3 * SLICE):
        place.fill(asked=b"%d" % number)
    place.fill(OTHER)
    assert place.purge() == () and place.door.clear == 0 and place.door.wake_us == 0
    place.fill(asked=b"newer")
    turns = 0
    while not (said := place.turn()):
        turns += 1
        assert place.door.clear == 0 and place.door.store.size_of(MEMBER)
        if turns == 1:
            place.fill(asked=b"new")
    assert said == (Clear(1),) and turns == 3 and place.look(OTHER)
    assert [reading.asked for reading in place.door.store.of(MEMBER)] == [b"newer", b"new"]
    assert place.purge(f"{9:016x}") == (Clear(2),)  # nothing to let go of


def test_a_sweep_over_members_with_much_of_another_class_is_bounded_in_a_turn() -> None:
    place = Place()
    place.door = Door(replace(SETTINGS, member_bytes=16 << 20), place.log.purges, place.session)
    for member in (MEMBER, OTHER):
        for number in range(MOST_READINGS + 9):
            place.fill(member, b"%d" % number, "meter")
    assert len(place.door.store) == 2 * MOST_READINGS
    place.purge(MEMBER, "load")
    place.purge(OTHER, "load")
    assert place.turn() == (Clear(1),)
    assert place.turn() == (Clear(2),)
    assert len(place.door.store) == 2 * MOST_READINGS


def test_ten_thousand_purges_at_once_are_worked_off_in_bounded_turns() -> None:
    log = Log(replace(SMALL, most_pending=20_000, most_past=20_000))
    place = Place(log)
    members = [f"{number:016x}" for number in range(10_000)]
    for member in members:
        for asked in (b"a", b"b"):
            place.fill(member, asked)
    place.fill("f" * 16)
    for number, member in enumerate(members):
        place.purge(member, name=purge_id(0, number))
        assert place.look(member, b"a") is None
    assert place.door.clear == 0
    turns, before = 0, len(place.door.store)
    while place.door.clear < 10_000:
        place.turn()
        turns += 1
        assert before - len(place.door.store) <= SLICE
        before = len(place.door.store)
    assert 30_000 / SLICE <= turns <= 30_000 / SLICE + 20 and place.look("f" * 16, b"x")


def test_a_snapshot_tells_of_purges_that_were_missed_and_spares_all_others() -> None:
    place = Place()
    for member in (MEMBER, OTHER):
        place.fill(member)
    ticket = place.door.begin(place.now_us, MEMBER, "load", b"y")
    log = Log(replace(SMALL, most_past=20_000, most_pending=20_000))
    for number in range(2 * SLICE):
        log.ask(number, f"{number + 1000:016x}")
    log.ask(9999)
    place.log.purges.bounds = log.purges.bounds
    place.log.purges.restore(log.purges.snapshot())
    place.door.handle(5, Restored(log.position))
    assert place.door.applied == log.position and place.door.clear == 0
    assert place.look(OTHER) is None and place.door.begin(5, MEMBER, "load", b"z") is None
    late = log.purge(Ask(purge_id(log.position), OTHER, "meter"))  # an entry comes before all is marked
    place.door.handle(5, Applied(log.entries[-1], late))
    assert place.turn() == () == place.turn() and place.look(OTHER) is None
    for number in range(SLICE):
        assert place.door.store.put(5, Reading(MEMBER, "load", b"%d" % number, b"v", 4, 0))
        assert place.door.store.put(5, Reading(OTHER, "meter", b"%d" % number, b"v", 4, 0))
    assert ticket and place.door.end(6, ticket, b"v") is Fate.KEPT  # as nothing is known yet
    while place.door.clear < log.position:
        assert place.door.clear < log.position - 1 or not place.door.store.size_of(MEMBER)
        place.turn()
    assert place.look(OTHER) and place.look() is None and place.look(asked=b"y") is None
    assert not place.door.store.size_of(MEMBER)


def test_a_snapshot_s_purge_stands_for_those_of_its_scope_before_it() -> None:
    place = Place()
    place.door = Door(SETTINGS, place.log.purges, place.session, steps=1)
    for asked in (b"a", b"b"):
        place.fill(asked=asked)
    first = place.log.ask(1)
    second = place.log.ask(2)
    assert [past.position for past in place.log.purges.past.all()] == [second.asked]
    place.door.handle(place.now_us, Restored(second.asked))
    while place.door.store.size:
        assert place.door.clear < first.asked
        place.turn()
    assert place.door.clear == second.asked


def test_one_that_was_away_for_longer_than_purges_are_kept_begins_anew() -> None:
    place = Place()
    for number in range(SLICE + 1):
        place.fill(OTHER, b"%d" % number)
    ticket = place.door.begin(place.now_us, OTHER, "load", b"y")
    place.log.ask(1)
    place.log.ask(2, "f" * 16, at_ms=10_000)
    assert place.log.purges.past.floor == 1
    place.door.handle(5, Restored(2))
    assert place.look(OTHER, b"0") is None and place.door.begin(5, OTHER, "load", b"z") is None
    assert place.turn() == () and place.door.store.size
    assert ticket and place.door.end(5, ticket, b"v") is Fate.NOT_KEPT
    assert place.turn() == (Clear(2),) and not place.door.store.size
    assert place.fill(OTHER) is Fate.KEPT and place.look(OTHER)
    assert place.door.end(6, ticket, b"v") is Fate.PURGED
    place.door.handle(7, Restored(3))  # it has all that is not kept any more
    assert place.look(OTHER)


def test_one_that_begins_anew_is_at_work_again_whatever_lets_go_of_its_last_reading() -> None:
    place = Place()
    place.log.ask(1)
    place.log.ask(2, "f" * 16, at_ms=10_000)
    place.door.handle(5, Restored(2))  # a new process has nothing to let go of
    assert place.fill(OTHER) is Fate.KEPT and place.look(OTHER) and place.door.clear == 2
    place.log.ask(3, OTHER, at_ms=20_000)
    place.log.ask(4, "f" * 16, at_ms=30_000)
    place.door.handle(6, Restored(4))
    place.door.store.drop(place.door.store.some(1)[0])
    assert place.door.wake_us == 0
    place.turn()
    assert place.fill(OTHER) is Fate.KEPT


def test_a_fault_of_the_machine_ends_answers_from_memory_in_this_run() -> None:
    place = Place()
    place.fill()
    hit = place.look()
    place.door.handle(3, Failed())
    assert hit and not hit.still(3) and place.look() is None
    assert place.door.begin(3, OTHER, "load", b"x") is None
    place.door.handle(3, Applied(replace_position(place, 1), Outcome("stopped here by a fault")))
    assert place.door.clear == 0
    assert place.turn() == (Clear(1),) and not place.door.store.size
    assert place.look() is None and place.door.begin(3, OTHER, "load", b"x") is None
    place.log.ask(2, OTHER, at_ms=10_000)
    place.log.ask(3, "f" * 16, at_ms=20_000)
    assert place.log.purges.past.floor > 1
    place.door.handle(4, Restored(place.log.position))
    assert place.door.begin(4, OTHER, "load", b"x") is None and place.door.clear == place.log.position


def replace_position(place: Place, position: int) -> Entry:
    place.log.position = position - 1
    place.log.purge(Ask(purge_id(0), MEMBER))
    return place.log.entries[-1]


def test_entries_of_others_and_repeats_purge_nothing() -> None:
    place = Place()
    name = purge_id(0)
    place.purge(name=name)
    place.fill()
    place.purge(name=name)  # the same id again: it was applied before
    place.purge(OTHER, name=name)  # refused
    place.log.add("sessions", b"", A)
    place.door.handle(1, Applied(place.log.entries[-1], Outcome()))
    outcome = place.log.add(MACHINE, encode(Done(1, ())))
    place.door.handle(1, Applied(place.log.entries[-1], outcome))
    assert place.look() and place.door.clear == 5


def test_what_is_dead_by_age_is_let_go_of_by_and_by() -> None:
    place = Place()
    place.fill()
    place.now_us = 10 * S
    place.turn()
    assert not place.door.store.size


def test_it_wakes_only_while_there_is_something_to_look_at() -> None:
    place = Place()
    assert place.door.wake_us == NEVER_US
    place.fill()
    assert place.door.wake_us < NEVER_US
    place.purge()
    place.now_us = 30 * S
    place.turn()
    assert place.door.wake_us == NEVER_US and not len(place.door.marks)

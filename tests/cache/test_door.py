"""The cache of one front door: which readings are shown, when, and which position is reported clear."""

from dataclasses import replace

from molereach.cache.door import STEPS_PER_TURN, Clear, Door, LogAdvanced, MachineFailed
from molereach.cache.fills.admission import FillResult
from molereach.cache.hit import Hit
from molereach.cache.purge.bodies import MACHINE, CompletePurges, RequestPurge, encode
from molereach.cache.readings.reading import Reading
from molereach.cache.readings.settings import MAX_READINGS_PER_MEMBER, SECOND_US, ReadingSettings
from molereach.coordination.interface.core import NEVER_US, Tick
from molereach.coordination.interface.log import Applied, Entry, Outcome, Restored
from tests.cache.fake_session import FakeSession
from tests.cache.purge.purge_log import MEMBER, OTHER_MEMBER, SMALL_BOUNDS, A, PurgeLog, purge_id

SETTINGS = ReadingSettings({"load": 10 * SECOND_US, "meter": 5 * SECOND_US}, 64 << 20, 8 << 20)


class Harness:
    """A front door with its log; times in microseconds of its own clock."""

    def __init__(self, log: PurgeLog | None = None) -> None:
        self.log = log or PurgeLog()
        self.session = FakeSession()
        self.door = Door(SETTINGS, self.log.purges, self.session)
        self.now_us = 0

    def fill(self, member: str = MEMBER, request: bytes = b"x", class_name: str = "load") -> FillResult:
        ticket = self.door.begin_fill(self.now_us, member, class_name, request)
        assert ticket
        self.now_us += 1
        return self.door.finish_fill(self.now_us, ticket, b"value")

    def lookup(self, member: str = MEMBER, request: bytes = b"x", class_name: str = "load") -> Hit | None:
        return self.door.lookup(self.now_us, member, class_name, request)

    def purge(self, member: str = MEMBER, class_name: str = "", id_: str = "") -> tuple[Clear, ...]:
        body = RequestPurge(id_ or purge_id(self.log.position, 1), member, class_name)
        outcome = self.log.append_purge(body)
        return tuple(self.door.handle(self.now_us, Applied(self.log.entries[-1], outcome)))

    def tick(self) -> tuple[Clear, ...]:
        return tuple(self.door.handle(self.now_us, Tick()))


def test_a_stored_reading_is_found_with_its_age_until_it_expires() -> None:
    harness = Harness()
    assert harness.lookup() is None and harness.fill() is FillResult.STORED
    harness.now_us = 7
    hit = harness.lookup()
    assert hit and hit.value == b"value" and hit.age_us(9) == 9 and hit.is_usable(9)
    assert not hit.is_usable(10 * SECOND_US)


def test_a_purge_invalidates_stored_readings_and_taken_hits_at_once() -> None:
    harness = Harness()
    for member, class_name in ((MEMBER, "load"), (MEMBER, "meter"), (OTHER_MEMBER, "load")):
        harness.fill(member, class_name=class_name)
    load, other, meter = harness.lookup(), harness.lookup(OTHER_MEMBER), harness.lookup(class_name="meter")
    assert load and other and meter
    harness.purge(class_name="load")
    assert not load.is_usable(harness.now_us) and harness.lookup() is None
    assert other.is_usable(harness.now_us) and meter.is_usable(harness.now_us)
    harness.purge()
    assert not meter.is_usable(harness.now_us) and other.is_usable(harness.now_us)
    assert harness.fill() is FillResult.STORED
    new = harness.lookup()
    assert new and new.is_usable(harness.now_us)


def test_a_hit_is_refused_at_its_write_without_a_session_or_behind_the_log() -> None:
    harness = Harness()
    harness.fill()
    harness.session.valid_until_us = 100
    hit = harness.lookup()
    assert hit and hit.is_usable(99)
    assert not hit.is_usable(100)  # after a pause in which the session expired
    assert harness.door.lookup(100, MEMBER, "load", b"x") is None
    assert harness.door.store.size  # kept, but not shown until the session is valid again
    harness.session.valid_until_us = 1000
    harness.door.handle(101, LogAdvanced(5))  # this front door is behind
    assert not hit.is_usable(101) and harness.door.lookup(101, MEMBER, "load", b"x") is None
    harness.log.position = 4
    harness.door.handle(102, LogAdvanced(0))
    assert not hit.is_usable(102)
    harness.purge(OTHER_MEMBER)
    assert hit.is_usable(101) and harness.door.lookup(101, MEMBER, "load", b"x")


def test_an_answer_that_was_on_its_way_during_a_purge_is_not_stored_even_after_a_pause() -> None:
    harness = Harness()
    ticket = harness.door.begin_fill(0, MEMBER, "load", b"x")
    late = harness.door.begin_fill(0, MEMBER, "load", b"y")
    assert ticket and late
    harness.purge()
    assert harness.door.finish_fill(1, ticket, b"v") is FillResult.PURGED
    harness.door.handle(30 * SECOND_US, Tick())  # removes the mark, which has expired
    assert (
        harness.door.finish_fill(30 * SECOND_US, late, b"v") is FillResult.NOT_STORED
        and not harness.door.store.size
    )


def test_an_old_answer_stored_after_a_pause_is_not_shown_and_removed_by_the_missed_purge() -> None:
    harness = Harness()
    ticket = harness.door.begin_fill(0, MEMBER, "load", b"x")
    harness.session.valid_until_us = 0
    assert ticket and harness.door.finish_fill(5 * SECOND_US, ticket, b"old") is FillResult.STORED
    assert harness.lookup() is None
    harness.purge()
    harness.session.valid_until_us = 1 << 60
    assert harness.lookup() is None
    harness.tick()
    assert not harness.door.store.size


def test_clear_is_reported_only_when_all_steps_of_the_sweep_are_done() -> None:
    harness = Harness()
    for number in range(3 * STEPS_PER_TURN):
        harness.fill(request=b"%d" % number)
    harness.fill(OTHER_MEMBER)
    assert harness.purge() == () and harness.door.clear_position == 0 and harness.door.wake_us == 0
    harness.fill(request=b"newer")
    turns = 0
    while not (actions := harness.tick()):
        turns += 1
        assert harness.door.clear_position == 0 and harness.door.store.member_size(MEMBER)
        if turns == 1:
            harness.fill(request=b"new")
    assert actions == (Clear(1),) and turns == 3 and harness.lookup(OTHER_MEMBER)
    assert [reading.request for reading in harness.door.store.readings_of(MEMBER)] == [b"newer", b"new"]
    assert harness.purge(f"{9:016x}") == (Clear(2),)  # nothing to remove


def test_a_turn_scans_a_bounded_number_of_readings_of_other_classes() -> None:
    harness = Harness()
    harness.door = Door(replace(SETTINGS, member_bytes=16 << 20), harness.log.purges, harness.session)
    for member in (MEMBER, OTHER_MEMBER):
        for number in range(MAX_READINGS_PER_MEMBER + 9):
            harness.fill(member, b"%d" % number, "meter")
    assert len(harness.door.store) == 2 * MAX_READINGS_PER_MEMBER
    harness.purge(MEMBER, "load")
    harness.purge(OTHER_MEMBER, "load")
    assert harness.tick() == (Clear(1),)
    assert harness.tick() == (Clear(2),)
    assert len(harness.door.store) == 2 * MAX_READINGS_PER_MEMBER


def test_ten_thousand_purges_at_once_are_processed_in_bounded_turns() -> None:
    log = PurgeLog(replace(SMALL_BOUNDS, max_pending=20_000, max_past=20_000))
    harness = Harness(log)
    members = [f"{number:016x}" for number in range(10_000)]
    for member in members:
        for request in (b"a", b"b"):
            harness.fill(member, request)
    harness.fill("f" * 16)
    for number, member in enumerate(members):
        harness.purge(member, id_=purge_id(0, number))
        assert harness.lookup(member, b"a") is None
    assert harness.door.clear_position == 0
    turns, previous_count = 0, len(harness.door.store)
    while harness.door.clear_position < 10_000:
        harness.tick()
        turns += 1
        assert previous_count - len(harness.door.store) <= STEPS_PER_TURN
        previous_count = len(harness.door.store)
    assert 30_000 / STEPS_PER_TURN <= turns <= 30_000 / STEPS_PER_TURN + 20 and harness.lookup("f" * 16, b"x")


def test_purges_missed_before_a_snapshot_are_applied_from_it_and_no_others() -> None:
    harness = Harness()
    for member in (MEMBER, OTHER_MEMBER):
        harness.fill(member)
    ticket = harness.door.begin_fill(harness.now_us, MEMBER, "load", b"y")
    log = PurgeLog(replace(SMALL_BOUNDS, max_past=20_000, max_pending=20_000))
    for number in range(2 * STEPS_PER_TURN):
        log.request_purge(number, f"{number + 1000:016x}")
    log.request_purge(9999)
    harness.log.purges.bounds = log.purges.bounds
    harness.log.purges.restore(log.purges.snapshot())
    harness.door.handle(5, Restored(log.position))
    assert harness.door.applied_position == log.position and harness.door.clear_position == 0
    assert harness.lookup(OTHER_MEMBER) is None and harness.door.begin_fill(5, MEMBER, "load", b"z") is None
    # An entry is applied while purges of the snapshot are still unmarked.
    outcome = log.append_purge(RequestPurge(purge_id(log.position), OTHER_MEMBER, "meter"))
    harness.door.handle(5, Applied(log.entries[-1], outcome))
    assert harness.tick() == () == harness.tick() and harness.lookup(OTHER_MEMBER) is None
    for number in range(STEPS_PER_TURN):
        assert harness.door.store.put(5, Reading(MEMBER, "load", b"%d" % number, b"v", 4, 0))
        assert harness.door.store.put(5, Reading(OTHER_MEMBER, "meter", b"%d" % number, b"v", 4, 0))
    # The purge of this member has no mark yet.
    assert ticket and harness.door.finish_fill(6, ticket, b"v") is FillResult.STORED
    while harness.door.clear_position < log.position:
        assert harness.door.clear_position < log.position - 1 or not harness.door.store.member_size(MEMBER)
        harness.tick()
    assert harness.lookup(OTHER_MEMBER) and harness.lookup() is None and harness.lookup(request=b"y") is None
    assert not harness.door.store.member_size(MEMBER)


def test_the_purge_in_a_snapshot_stands_for_earlier_ones_of_its_scope() -> None:
    harness = Harness()
    harness.door = Door(SETTINGS, harness.log.purges, harness.session, steps_per_turn=1)
    for request in (b"a", b"b"):
        harness.fill(request=request)
    first = harness.log.request_purge(1)
    second = harness.log.request_purge(2)
    assert [past.position for past in harness.log.purges.past.entries()] == [second.requested_position]
    harness.door.handle(harness.now_us, Restored(second.requested_position))
    while harness.door.store.size:
        assert harness.door.clear_position < first.requested_position
        harness.tick()
    assert harness.door.clear_position == second.requested_position


def test_a_front_door_that_was_away_for_longer_than_past_purges_are_kept_discards_all_readings() -> None:
    harness = Harness()
    for number in range(STEPS_PER_TURN + 1):
        harness.fill(OTHER_MEMBER, b"%d" % number)
    ticket = harness.door.begin_fill(harness.now_us, OTHER_MEMBER, "load", b"y")
    harness.log.request_purge(1)
    harness.log.request_purge(2, "f" * 16, at_ms=10_000)
    assert harness.log.purges.past.floor == 1
    harness.door.handle(5, Restored(2))
    assert (
        harness.lookup(OTHER_MEMBER, b"0") is None
        and harness.door.begin_fill(5, OTHER_MEMBER, "load", b"z") is None
    )
    assert harness.tick() == () and harness.door.store.size
    assert ticket and harness.door.finish_fill(5, ticket, b"v") is FillResult.NOT_STORED
    assert harness.tick() == (Clear(2),) and not harness.door.store.size
    assert harness.fill(OTHER_MEMBER) is FillResult.STORED and harness.lookup(OTHER_MEMBER)
    assert harness.door.finish_fill(6, ticket, b"v") is FillResult.PURGED
    harness.door.handle(7, Restored(3))  # it has applied all purges that were dropped
    assert harness.lookup(OTHER_MEMBER)


def test_a_front_door_stores_readings_after_a_discard_however_the_last_reading_was_removed() -> None:
    harness = Harness()
    harness.log.request_purge(1)
    harness.log.request_purge(2, "f" * 16, at_ms=10_000)
    harness.door.handle(5, Restored(2))  # a new process has nothing to discard
    assert (
        harness.fill(OTHER_MEMBER) is FillResult.STORED
        and harness.lookup(OTHER_MEMBER)
        and harness.door.clear_position == 2
    )
    harness.log.request_purge(3, OTHER_MEMBER, at_ms=20_000)
    harness.log.request_purge(4, "f" * 16, at_ms=30_000)
    harness.door.handle(6, Restored(4))
    harness.door.store.remove(harness.door.store.oldest_readings(1)[0])
    assert harness.door.wake_us == 0
    harness.tick()
    assert harness.fill(OTHER_MEMBER) is FillResult.STORED


def test_a_fault_of_the_machine_disables_the_cache_for_this_run() -> None:
    harness = Harness()
    harness.fill()
    hit = harness.lookup()
    harness.door.handle(3, MachineFailed())
    assert hit and not hit.is_usable(3) and harness.lookup() is None
    assert harness.door.begin_fill(3, OTHER_MEMBER, "load", b"x") is None
    harness.door.handle(3, Applied(append_at(harness, 1), Outcome("stopped here by a fault")))
    assert harness.door.clear_position == 0
    assert harness.tick() == (Clear(1),) and not harness.door.store.size
    assert harness.lookup() is None and harness.door.begin_fill(3, OTHER_MEMBER, "load", b"x") is None
    harness.log.request_purge(2, OTHER_MEMBER, at_ms=10_000)
    harness.log.request_purge(3, "f" * 16, at_ms=20_000)
    assert harness.log.purges.past.floor > 1
    harness.door.handle(4, Restored(harness.log.position))
    assert (
        harness.door.begin_fill(4, OTHER_MEMBER, "load", b"x") is None
        and harness.door.clear_position == harness.log.position
    )


def append_at(harness: Harness, position: int) -> Entry:
    harness.log.position = position - 1
    harness.log.append_purge(RequestPurge(purge_id(0), MEMBER))
    return harness.log.entries[-1]


def test_repeated_and_refused_requests_and_other_entries_purge_nothing() -> None:
    harness = Harness()
    repeated_id = purge_id(0)
    harness.purge(id_=repeated_id)
    harness.fill()
    harness.purge(id_=repeated_id)
    harness.purge(OTHER_MEMBER, id_=repeated_id)  # refused: the ID is of another purge
    harness.log.append("sessions", b"", A)
    harness.door.handle(1, Applied(harness.log.entries[-1], Outcome()))
    outcome = harness.log.append(MACHINE, encode(CompletePurges(1, ())))
    harness.door.handle(1, Applied(harness.log.entries[-1], outcome))
    assert harness.lookup() and harness.door.clear_position == 5


def test_expired_readings_are_removed_by_ticks() -> None:
    harness = Harness()
    harness.fill()
    harness.now_us = 10 * SECOND_US
    harness.tick()
    assert not harness.door.store.size


def test_a_front_door_wakes_only_while_it_has_readings_or_marks() -> None:
    harness = Harness()
    assert harness.door.wake_us == NEVER_US
    harness.fill()
    assert harness.door.wake_us < NEVER_US
    harness.purge()
    harness.now_us = 30 * SECOND_US
    harness.tick()
    assert harness.door.wake_us == NEVER_US and not len(harness.door.marks)

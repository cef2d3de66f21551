"""The machine on the log: returns, losses, works that wait, snapshots and bounds."""

from dataclasses import replace

import msgspec
import pytest

from molereach.coordination.interface.identifiers import NodeInstance
from molereach.coordination.interface.log import MAX_ENTRY_BODY_BYTES, Entry
from molereach.upkeep.permits import state_machine
from molereach.upkeep.permits.bodies import Ask, Back, Move, Seen, Stand, encode
from molereach.upkeep.permits.lifecycle import State, Step
from molereach.upkeep.permits.record import Record
from molereach.upkeep.requests.validation import MOST_OPEN
from molereach.upkeep.rules.fleet_facts import Facts
from tests.upkeep.builders import LOOSE, NOON_MS, server, servers, work
from tests.upkeep.fleet_variants import fleet
from tests.upkeep.state_machine_log import FLEET, A, Logged, logged


def test_one_that_comes_back_under_another_name() -> None:
    log = logged(work("w", successor="s0b"), work("x", "s1"))
    log.to(State.OUT)
    log.to(State.OUT, "x")
    by_address = server("s9")
    moved = Facts(
        servers=(
            *FLEET.servers[2:],
            server("s0b"),
            server("s8"),
            msgspec.structs.replace(by_address, address=FLEET.servers[1].address),
        )
    )
    log.seen(moved)
    assert "name: s8 is neither s0 nor its successor" in log.error(Back("w", 1, "s8"))
    log.ok(Back("w", 1, "s0b"))
    log.ok(Back("x", 2, "s9"))
    assert log.book.unsendable().keys() == {"s0", "s0b", "s1", "s9"}
    log.at_ms += 1
    log.seen(moved)
    log.move(Step.WARM)
    assert log.book.unsendable().keys() == {"s1", "s9"}
    log.move(Step.DONE)


def test_one_that_never_comes_is_overdue_then_lost_and_its_place_is_free() -> None:
    log = logged(work("w"), work("x", "s1"), settings=replace(LOOSE, most_out=1))
    log.to(State.OUT)
    log.at_ms = log.record().until_ms + LOOSE.slack_ms
    assert log.refused(Step.OVERDUE) == "it is in time"
    log.at_ms += 1
    log.move(Step.OVERDUE)
    log.move(Step.QUEUE, "x")
    log.seen(fleet("s0", ready=False))
    assert "limits" in log.refused(Step.DRAIN, "x")
    log.at_ms += LOOSE.lost_ms
    assert log.refused(Step.LOST) == "it may yet come"
    log.at_ms += 1
    log.move(Step.LOST)
    log.seen(fleet("s0", ready=False))
    log.move(Step.DRAIN, "x")
    assert "s0" in log.book.unsendable()
    log.seen(Facts(servers=FLEET.servers[1:]))
    assert log.record().state is State.WITHDRAWN and log.record().why == "lost, and not listed any more"


def test_one_that_was_lost_may_come_back_after_all() -> None:
    log = logged(work("w"))
    log.to(State.LOST)
    log.ok(Back("w", 1, "s0"))
    assert log.record().state is State.BACK


def test_one_that_never_warms_is_overdue_again() -> None:
    log = logged(work("w"))
    log.to(State.BACK)
    log.at_ms += LOOSE.warming_ms + LOOSE.slack_ms + 1
    log.move(Step.OVERDUE)
    assert log.record().state is State.OVERDUE


def test_a_work_whose_window_closes_lapses_and_not_before() -> None:
    log = logged(work("w"))
    assert log.refused(Step.LAPSE) == "its window is open"
    log.at_ms = log.record().work.latest_ms + 1
    log.move(Step.LAPSE)
    assert log.record().why == "its window closed"


def test_later_works_wait_for_one_that_was_passed_too_often() -> None:
    kept = replace(LOOSE, least_ready_cell=4, most_passed=2)
    # While one of the others is away, the first may not go.
    log = logged(
        work("w", not_with=("s1", "s2", "s3")),
        work("1", "s1"),
        work("2", "s2"),
        work("3", "s3"),
        settings=kept,
    )
    for id in ("w", "1", "2", "3"):
        log.move(Step.QUEUE, id)
    log.move(Step.DRAIN, "1")
    log.move(Step.DRAIN, "2")
    assert log.record().passed == 2 and log.record().passed_ms == log.at_ms
    log.move(Step.WITHDRAW, "1")
    assert log.refused(Step.DRAIN, "3") == "ageing: would hold up w (s0)"
    log.move(Step.WITHDRAW, "2")
    assert log.refused(Step.DRAIN, "3") == "ageing: would hold up w (s0)"
    log.move(Step.DRAIN)


def test_only_those_that_could_go_and_were_asked_for_earlier_are_passed_over() -> None:
    log = logged(
        work("a", "s0"),
        work("b", "s1"),
        work("c", "s2"),
        work("d", "s3"),
        settings=replace(LOOSE, most_passed=1),
    )
    for id in ("a", "c", "d"):
        log.move(Step.QUEUE, id)
    log.move(Step.DRAIN, "c")
    assert [log.record(id).passed for id in "abd"] == [1, 0, 0]
    first_ms = log.at_ms
    log.at_ms += 5
    log.seen()
    log.move(Step.DRAIN, "d")
    assert log.record("a").passed == 2 and log.record("a").passed_ms == first_ms


def test_those_that_stand_are_not_taken_and_those_on_their_way_do_not_stand() -> None:
    log = logged(work("w"))
    log.ok(Stand(("s0", "s1")))
    log.move(Step.QUEUE)
    assert log.refused(Step.DRAIN) == "standing: another takes its place first (s0)"
    log.ok(Stand(("s1", "s2")))
    assert log.book.unstood == {"s0": log.position}
    log.move(Step.DRAIN)
    assert log.error(Stand(("s0",))) == "servers: s0 cannot stand"
    assert log.error(Stand(("s99",))) == "servers: s99 cannot stand"


@pytest.mark.parametrize(
    "body",
    [
        b"",
        b"{}",
        b"\xff",
        b'{"kind":"move"}',
        b'{"id":"w","kind":"move","step":"out"}',
        b'{"kind":"ask","work":{}}',
        b'{"kind":"move","id":"w","step":"queue","more":1}',
        b'{"kind":"' + b"[" * 9000,
        b'{"kind":"stand","servers":' + b"[" * 9000,
        b'{"kind":"stand","servers":["\xff"]}',
        b'{"kind":"stand","servers":[]}' + b" " * MAX_ENTRY_BODY_BYTES,
        encode(Move("w", Step.OUT)),
        encode(Move("w", Step.BACK)),
        encode(Move("none", Step.QUEUE)),
        encode(Back("w", 1, "s0")),
        encode(Ask(work("w2", "s77"))),
    ],
)
def test_what_is_not_understood_or_breaks_a_rule_changes_nothing(body: bytes) -> None:
    log = logged(work("w"))
    before = log.machine.snapshot()
    outcome = log.machine.apply(Entry(99, "upkeep", "x", A, NOON_MS, body))
    assert outcome.error and "\n" not in outcome.error and log.machine.snapshot() == before


def test_a_snapshot_restores_to_the_same_bytes_and_the_same_answers() -> None:
    log = logged(work("w"), work("x", "s1", after=("s0",)), work("y", "s2"))
    log.ok(Stand(("s4",)))
    log.to(State.OUT)
    log.ok(Move("y", Step.WITHDRAW))
    log.ok(Seen(9, 0, 2, 0, FLEET.servers[:1]))
    data = log.machine.snapshot()
    other = Logged().machine  # also where something else was kept
    other.sessions = log.sessions
    assert not other.apply(log.entry("upkeep", encode(Seen(1, 0, 1, 0, FLEET.servers)))).error
    assert not other.apply(log.entry("upkeep", encode(Ask(work("gone", "s5"))))).error
    other.restore(data)
    assert other.snapshot() == data
    entry = log.entry("upkeep", encode(Seen(9, 1, 2, 0, FLEET.servers[1:])))
    assert other.apply(entry) == log.machine.apply(entry) and other.snapshot() == log.machine.snapshot()


@pytest.mark.parametrize(
    "change",
    [
        lambda state: {**state, "permits": 0},
        lambda state: {**state, "records": state["records"] * 2},
        lambda state: {**state, "past": state["records"], "records": []},
        lambda state: {**state, "more": 1},
        lambda state: {
            **state,
            "permits": 9,
            "records": state["records"]
            + [{**state["records"][0], "work": {**state["records"][0]["work"], "id": "x"}}],
        },
        lambda state: [],
        lambda state: {**state, "facts": {"servers": FLEET.servers[:1] * 2}},
    ],
)
def test_a_snapshot_that_makes_no_sense_is_refused_and_changes_nothing(change: object) -> None:
    log = logged(work("w"))
    log.to(State.OUT)
    before = log.machine.snapshot()
    assert callable(change)
    with pytest.raises(ValueError, match="not a snapshot of works"):
        log.machine.restore(msgspec.json.encode(change(msgspec.json.decode(before))))
    assert log.machine.snapshot() == before


def test_what_is_kept_is_bounded() -> None:
    log = Logged()
    log.open(A)
    many = Facts(servers=servers(300))
    log.ok(Seen(1, 0, 1, 0, many.servers[:150]))
    log.ok(Seen(1, 0, 2, 0, many.servers[:150]))
    log.ok(Seen(1, 1, 2, 0, many.servers[150:]))
    for number in range(MOST_OPEN):
        log.ask(work(f"w{number}", f"s{number}"))
    assert f"more than {MOST_OPEN}" in log.error(Ask(work("more", "s299")))
    for number in range(MOST_OPEN):
        log.ok(Move(f"w{number}", Step.WITHDRAW))
    for number in range(40):
        log.ask(work(f"v{number}", f"s{number}"))
        log.ok(Move(f"v{number}", Step.WITHDRAW))
    assert len(log.book.past) == 256 and log.book.get("w0") is None and not log.book.records
    assert len(log.machine.snapshot()) < 1 << 18


def test_what_is_lost_takes_room_until_it_is_not_listed() -> None:
    log = Logged()
    log.open(A)
    many = servers(300)
    log.ok(Seen(1, 0, 2, 0, many[:150]))
    log.ok(Seen(1, 1, 2, 0, many[150:]))
    for number in range(MOST_OPEN - 1):
        log.ask(work(f"w{number}", f"s{number}"))
    log.book.put(msgspec.structs.replace(log.record("w0"), work=work("lost", "s299"), state=State.LOST))
    assert log.error(Ask(work("more", "s298"))) == f"id: more than {MOST_OPEN} works are open"


def test_servers_that_stood_are_bounded(monkeypatch: pytest.MonkeyPatch) -> None:
    log = logged()
    monkeypatch.setattr(state_machine, "MOST_UNSTOOD", 1)
    log.ok(Stand(("s0", "s1")))
    assert log.error(Stand(())) == "servers: too many have changed"
    log.ok(Stand(("s1",)))


def test_an_outcome_tells_where_the_work_stands() -> None:
    log = logged(work("w"))
    record = log.ok(Move("w", Step.QUEUE))
    assert isinstance(record, Record) and record == log.record() and record.by == NodeInstance("a", 1)

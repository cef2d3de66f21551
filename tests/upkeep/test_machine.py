"""The state machine "upkeep": the table, what each step asks for, and that nothing else changes anything."""

from dataclasses import replace

import msgspec
import pytest

from molereach.council.interface import MOST_BODY_BYTES, Entry, Life
from molereach.upkeep.permits import machine
from molereach.upkeep.permits.bodies import Ask, Back, Move, Out, Seen, Stand, encode
from molereach.upkeep.permits.gathering import cut
from molereach.upkeep.permits.record import Record
from molereach.upkeep.permits.way import BOUND, TABLE, State, Step
from molereach.upkeep.requests.checks import MOST_OPEN
from molereach.upkeep.rules.facts import Facts
from tests.upkeep.logged import FLEET, A, B, Logged, logged
from tests.upkeep.made import DAY_MS, LOOSE, NOON_MS, server, servers, work

FREE = [step for step in Step if step not in (Step.OUT, Step.BACK)]


def fleet(*changed: str, **more: object) -> Facts:
    """The fleet, with some servers otherwise."""
    return Facts(servers=tuple(
        msgspec.structs.replace(each, **more) if each.name in changed else each for each in FLEET.servers),
        doors=FLEET.doors, panel=FLEET.panel)


@pytest.mark.parametrize("state", State)
@pytest.mark.parametrize("step", FREE)
def test_what_is_not_in_the_table_is_refused(state: State, step: Step) -> None:
    log = logged(work("w"))
    log.to(state)
    if (state, step) in TABLE:
        return
    assert "step: w is " + state.value in log.refused(step)


@pytest.mark.parametrize("state", State)
def test_a_work_is_withdrawn_wherever_it_stands(state: State) -> None:
    log = logged(work("w"))
    log.to(state)
    if state in (State.BACK, State.WARM, State.DONE, State.WITHDRAWN, State.LOST):
        log.refused(Step.WITHDRAW)  # there is nothing left to withdraw
        return
    log.ok(Move("w", Step.WITHDRAW))  # whoever asked need not know by which entry it drains
    if state in (State.OUT, State.OVERDUE):
        assert log.record().state is state and log.record().hurried
        log.ok(Back("w", 1, "s0"))
    else:
        assert log.record().state is State.WITHDRAWN and not log.book.taken()
        assert not log.book.unsendable()


@pytest.mark.parametrize("state", State)
def test_a_permit_is_given_from_empty_alone_and_once(state: State) -> None:
    log = logged(work("w"))
    log.to(state)
    before = log.book.permits
    outcome = log.out(proof=log.proof() if log.record().begun else ())
    assert (not outcome.error) is (state is State.EMPTY)
    assert log.book.permits == before + (state is State.EMPTY)


def test_what_has_an_entry_of_its_own_is_no_plain_step() -> None:
    log = logged(work("w"))
    log.to(State.EMPTY)
    assert log.refused(Step.OUT) == "step: out has an entry of its own"
    assert not log.out().error
    assert log.refused(Step.BACK) == "step: back has an entry of its own"


def test_the_numbers_of_permits_are_never_given_twice() -> None:
    log = logged(work("w"), work("x", "s1"))
    log.to(State.DONE)
    log.to(State.OUT, "x")
    assert (log.record("w").permit, log.record("x").permit) == (1, 2)
    assert "permit: x has 2" in log.error(Back("x", 1, "s1"))
    log.ask(work("y", "s2"))
    assert "permit: y has none" in log.error(Back("y", 1, "s2"))


def test_a_step_of_an_earlier_draining_is_void() -> None:
    log = logged(work("w"))
    begun = log.to(State.DRAINING).begun
    log.move(Step.RECALL)
    log.move(Step.DRAIN)
    for step in sorted(BOUND & {Step.EMPTY, Step.RECALL}, key=lambda each: each.value):
        assert "begun: w drains by" in log.error(Move("w", step, begun))
    log.move(Step.EMPTY)
    assert "begun" in log.error(Out("w", begun, log.proof()))


def test_one_that_was_called_back_is_not_let_out_by_the_old_proof() -> None:
    log = logged(work("w"))
    log.to(State.EMPTY)
    proof, said = log.proof(), log.position
    log.move(Step.RECALL)
    assert log.out(proof=proof).error == "step: w is queued"
    log.move(Step.DRAIN)
    log.move(Step.EMPTY)
    assert log.out(proof=proof).error == f"proof: a has said {said} of {log.record().begun}"
    assert log.out().error == ""


def test_the_same_work_by_two_doors_is_one_and_the_machine_by_other_ids_is_queued() -> None:
    log = logged()
    first = log.ok(Ask(work("w")), A)
    assert log.ok(Ask(work("w")), B) == first and first is not None and first.by == A
    assert "id: is used for something else" in log.error(Ask(work("w", "s1")))
    log.ask(work("x"))
    log.to(State.DRAINING)
    assert "an earlier work of its machine" in log.refused(Step.QUEUE, "x")
    log.move(Step.WITHDRAW)
    log.move(Step.QUEUE, "x")
    assert log.ok(Ask(work("w"))) == log.record(), "and what is over is remembered"


def test_old_facts_decide_nothing() -> None:
    log = logged(work("w"))
    log.move(Step.QUEUE)
    log.at_ms += LOOSE.fresh_ms + 1
    assert log.refused(Step.DRAIN) == "facts: 30001 ms old"
    log.seen(age_ms=LOOSE.fresh_ms)
    log.move(Step.DRAIN)
    log.move(Step.EMPTY)
    log.at_ms += 1
    assert log.out().error == "facts: 30001 ms old"


def test_the_rules_are_asked_again_for_the_permit_without_itself_counted_twice() -> None:
    log = logged(work("w"), work("x", "s1"), settings=replace(LOOSE, least_ready_cell=4, most_out=2))
    log.to(State.EMPTY)
    log.to(State.EMPTY, "x")
    log.seen(fleet("s5", ready=False))
    assert log.out().error == "floor: 3 of 4 servers in cell c1 (s1)"
    log.seen()
    assert log.out().error == ""


def test_warmth_by_old_facts_or_of_one_that_is_not_listed_decides_nothing() -> None:
    log = logged(work("w"), work("d", "d7"))
    log.to(State.BACK)
    log.seen(Facts(servers=FLEET.servers[1:], doors=FLEET.doors))
    assert log.refused(Step.WARM) == "s0 is not ready"
    log.at_ms += LOOSE.fresh_ms + 1
    assert log.refused(Step.WARM) == "facts: 30001 ms old"
    log.to(State.DONE, "d")  # of a front door it is enough that it is ready


def test_the_machine_itself_comes_back_though_it_is_not_listed_yet_and_no_empty_address_is_alike() -> None:
    log = logged(work("w"))
    bare = Facts(servers=tuple(msgspec.structs.replace(each, address="") for each in FLEET.servers))
    log.seen(bare)
    for step in (Step.QUEUE, Step.DRAIN, Step.EMPTY):
        log.move(step)
    assert not log.out().error
    assert "neither" in log.error(Back("w", 1, "s1"))
    log.seen(Facts(servers=bare.servers[1:]))
    log.ok(Back("w", 1, "s0"))


def test_a_lost_machine_does_not_hold_back_a_later_work_on_it() -> None:
    log = logged(work("w"))
    log.to(State.LOST)
    log.ask(work("x", not_after_ms=NOON_MS + 9 * DAY_MS))
    log.move(Step.QUEUE, "x")


def test_facts_come_in_parts_and_whole_or_not_at_all() -> None:
    log = logged()
    log.at_ms += 10
    half = FLEET.servers[:3]
    log.ok(Seen(2, 0, 2, 5, half))
    assert len(log.book.fleet.servers) == 6
    for wrong in (Seen(2, 0, 2, 5, half), Seen(3, 1, 2, 5, half)):
        assert wrong.part == 0 or log.error(wrong) == "part: not the next"
    assert log.error(Seen(2, 1, 2, 0, half)) == "a machine is there twice"
    assert log.error(Seen(2, 1, 2, 0), B) == "part: not the next", "of another leader"
    log.ok(Seen(2, 1, 2, 0, FLEET.servers[3:5]))
    assert len(log.book.fleet.servers) == 5 and log.book.fleet.facts.at_ms == log.at_ms - 5
    assert log.error(Seen(4, 0, 1, 6)) == "later facts are known"
    assert log.error(Seen(4, 1, 2, 0)) == "part: not the next", "nothing is left of a set that is whole"


def test_a_set_of_facts_is_bounded_in_all_its_parts() -> None:
    log = logged()
    assert log.error(Seen(1, 0, 1, NOON_MS + 1)) == "age_ms: older than time"
    log.at_ms += 1
    many = servers(600)
    log.ok(Seen(1, 0, 3, 0, many[:200]))
    log.ok(Seen(1, 1, 3, 0, many[200:400]))
    assert log.error(Seen(1, 2, 3, 0, many[400:])) == "servers: more than 512"
    with pytest.raises(ValueError, match="more than 16 parts"):
        cut(Facts(servers=many), 1, 0, 1000)


def test_a_step_rests_on_what_was_measured_after_the_one_before() -> None:
    log = logged(work("w"))
    log.to(State.OUT)
    log.at_ms += 10
    log.ok(Back("w", 1, "s0"))
    assert log.refused(Step.WARM) == "nothing was measured since"
    log.seen(fleet("s0", warmth=LOOSE.warm - 1))
    assert log.refused(Step.WARM) == "s0 is 299 warm of 300"
    log.seen(fleet("s0", ready=False))
    assert log.refused(Step.WARM) == "s0 is not ready"
    log.seen(fleet("s0", warmth=LOOSE.warm))
    assert "s0" in log.book.unsendable()
    log.move(Step.WARM)
    assert not log.book.unsendable()
    assert log.refused(Step.DONE) == "s0 is 300 warm of 900"
    log.at_ms += 6 * LOOSE.warming_ms + 1
    log.move(Step.DONE)


def test_one_that_comes_back_under_another_name() -> None:
    log = logged(work("w", successor="s0b"), work("x", "s1"))
    log.to(State.OUT)
    log.to(State.OUT, "x")
    by_address = server("s9")
    moved = Facts(servers=(*FLEET.servers[2:], server("s0b"), server("s8"),
                           msgspec.structs.replace(by_address, address=FLEET.servers[1].address)))
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
    log = logged(work("w", not_with=("s1", "s2", "s3")), work("1", "s1"), work("2", "s2"), work("3", "s3"),
                 settings=kept)
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
    log = logged(work("a", "s0"), work("b", "s1"), work("c", "s2"), work("d", "s3"),
                 settings=replace(LOOSE, most_passed=1))
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


@pytest.mark.parametrize("body", [
    b"", b"{}", b"\xff", b'{"kind":"move"}', b'{"id":"w","kind":"move","step":"out"}',
    b'{"kind":"ask","work":{}}',
    b'{"kind":"move","id":"w","step":"queue","more":1}', b'{"kind":"' + b"[" * 9000,
    b'{"kind":"stand","servers":' + b"[" * 9000, b'{"kind":"stand","servers":["\xff"]}',
    b'{"kind":"stand","servers":[]}' + b" " * MOST_BODY_BYTES,
    encode(Move("w", Step.OUT)), encode(Move("w", Step.BACK)), encode(Move("none", Step.QUEUE)),
    encode(Back("w", 1, "s0")), encode(Ask(work("w2", "s77"))),
])
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


@pytest.mark.parametrize("change", [
    lambda state: {**state, "permits": 0}, lambda state: {**state, "records": state["records"] * 2},
    lambda state: {**state, "past": state["records"], "records": []}, lambda state: {**state, "more": 1},
    lambda state: {**state, "permits": 9, "records": state["records"] + [
        {**state["records"][0], "work": {**state["records"][0]["work"], "id": "x"}}]},
    lambda state: [], lambda state: {**state, "facts": {"servers": FLEET.servers[:1] * 2}},
])
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
    monkeypatch.setattr(machine, "MOST_UNSTOOD", 1)
    log.ok(Stand(("s0", "s1")))
    assert log.error(Stand(())) == "servers: too many have changed"
    log.ok(Stand(("s1",)))


def test_an_outcome_tells_where_the_work_stands() -> None:
    log = logged(work("w"))
    record = log.ok(Move("w", Step.QUEUE))
    assert isinstance(record, Record) and record == log.record() and record.by == Life("a", 1)

"""The state machine "upkeep": returns, losses, ageing, fallback servers, snapshots and limits."""

from dataclasses import replace

import msgspec
import pytest

from molereach.coordination.interface.identifiers import NodeInstance
from molereach.coordination.interface.log import MAX_ENTRY_BODY_BYTES, Entry
from molereach.upkeep.permits import state_machine
from molereach.upkeep.permits.bodies import (
    ReportFacts,
    ReportReturn,
    RequestMaintenance,
    SetFallbackServers,
    TakeStep,
    encode,
)
from molereach.upkeep.permits.lifecycle import State, Step
from molereach.upkeep.permits.record import ItemRecord
from molereach.upkeep.requests.validation import MAX_OPEN_ITEMS
from molereach.upkeep.rules.fleet_facts import FleetFacts
from tests.upkeep.builders import NOON_MS, PERMISSIVE, server, servers, work_item
from tests.upkeep.fleet_variants import fleet_with
from tests.upkeep.state_machine_log import FLEET_FACTS, A, StateMachineLog, state_machine_log


def test_machine_may_return_under_another_name() -> None:
    log = state_machine_log(work_item("w", successor="s0b"), work_item("x", "s1"))
    log.advance_to(State.PERMITTED)
    log.advance_to(State.PERMITTED, "x")
    replacement = server("s9")
    moved = FleetFacts(
        servers=(
            *FLEET_FACTS.servers[2:],
            server("s0b"),
            server("s8"),
            msgspec.structs.replace(replacement, address=FLEET_FACTS.servers[1].address),
        )
    )
    log.report_facts(moved)
    assert "name: s8 is neither s0 nor its successor" in log.reject(ReportReturn("w", 1, "s8"))
    log.accept(ReportReturn("w", 1, "s0b"))
    log.accept(ReportReturn("x", 2, "s9"))
    assert log.registry.unroutable().keys() == {"s0", "s0b", "s1", "s9"}
    log.at_ms += 1
    log.report_facts(moved)
    log.take_step(Step.RESUME_TRAFFIC)
    assert log.registry.unroutable().keys() == {"s1", "s9"}
    log.take_step(Step.COMPLETE)


def test_machine_that_never_returns_is_overdue_then_lost_and_frees_its_slot() -> None:
    log = state_machine_log(work_item("w"), work_item("x", "s1"), settings=replace(PERMISSIVE, most_out=1))
    log.advance_to(State.PERMITTED)
    log.at_ms = log.record().until_ms + PERMISSIVE.slack_ms
    assert log.rejected_step(Step.MARK_OVERDUE) == "it is in time"
    log.at_ms += 1
    log.take_step(Step.MARK_OVERDUE)
    log.take_step(Step.QUEUE, "x")
    log.report_facts(fleet_with("s0", ready=False))
    assert "limits" in log.rejected_step(Step.DRAIN, "x")
    log.at_ms += PERMISSIVE.lost_ms
    assert log.rejected_step(Step.MARK_LOST) == "it may yet come"
    log.at_ms += 1
    log.take_step(Step.MARK_LOST)
    log.report_facts(fleet_with("s0", ready=False))
    log.take_step(Step.DRAIN, "x")
    assert "s0" in log.registry.unroutable()
    log.report_facts(FleetFacts(servers=FLEET_FACTS.servers[1:]))
    assert log.record().state is State.WITHDRAWN and log.record().why == "lost, and not listed any more"


def test_lost_machine_may_still_return() -> None:
    log = state_machine_log(work_item("w"))
    log.advance_to(State.LOST)
    log.accept(ReportReturn("w", 1, "s0"))
    assert log.record().state is State.RETURNED


def test_machine_that_never_warms_is_overdue_again() -> None:
    log = state_machine_log(work_item("w"))
    log.advance_to(State.RETURNED)
    log.at_ms += PERMISSIVE.warming_ms + PERMISSIVE.slack_ms + 1
    log.take_step(Step.MARK_OVERDUE)
    assert log.record().state is State.OVERDUE


def test_item_expires_only_after_its_window() -> None:
    log = state_machine_log(work_item("w"))
    assert log.rejected_step(Step.EXPIRE) == "its window is open"
    log.at_ms = log.record().work.latest_start_ms + 1
    log.take_step(Step.EXPIRE)
    assert log.record().why == "its window closed"


def test_later_items_wait_for_one_overtaken_too_often() -> None:
    settings = replace(PERMISSIVE, least_ready_cell=4, most_passed=2)
    # While one of the others is in maintenance, the first may not start.
    log = state_machine_log(
        work_item("w", not_with=("s1", "s2", "s3")),
        work_item("1", "s1"),
        work_item("2", "s2"),
        work_item("3", "s3"),
        settings=settings,
    )
    for id in ("w", "1", "2", "3"):
        log.take_step(Step.QUEUE, id)
    log.take_step(Step.DRAIN, "1")
    log.take_step(Step.DRAIN, "2")
    assert log.record().passed == 2 and log.record().passed_ms == log.at_ms
    log.take_step(Step.WITHDRAW, "1")
    assert log.rejected_step(Step.DRAIN, "3") == "ageing: would hold up w (s0)"
    log.take_step(Step.WITHDRAW, "2")
    assert log.rejected_step(Step.DRAIN, "3") == "ageing: would hold up w (s0)"
    log.take_step(Step.DRAIN)


def test_only_earlier_queued_items_count_as_overtaken() -> None:
    log = state_machine_log(
        work_item("a", "s0"),
        work_item("b", "s1"),
        work_item("c", "s2"),
        work_item("d", "s3"),
        settings=replace(PERMISSIVE, most_passed=1),
    )
    for id in ("a", "c", "d"):
        log.take_step(Step.QUEUE, id)
    log.take_step(Step.DRAIN, "c")
    assert [log.record(id).passed for id in "abd"] == [1, 0, 0]
    first_ms = log.at_ms
    log.at_ms += 5
    log.report_facts()
    log.take_step(Step.DRAIN, "d")
    assert log.record("a").passed == 2 and log.record("a").passed_ms == first_ms


def test_fallback_servers_do_not_drain_and_draining_servers_are_no_fallback() -> None:
    log = state_machine_log(work_item("w"))
    log.accept(SetFallbackServers(("s0", "s1")))
    log.take_step(Step.QUEUE)
    assert log.rejected_step(Step.DRAIN) == "standing: another takes its place first (s0)"
    log.accept(SetFallbackServers(("s1", "s2")))
    assert log.registry.former_fallback_servers == {"s0": log.position}
    log.take_step(Step.DRAIN)
    assert log.reject(SetFallbackServers(("s0",))) == "servers: s0 cannot stand"
    assert log.reject(SetFallbackServers(("s99",))) == "servers: s99 cannot stand"


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
        encode(TakeStep("w", Step.GRANT_PERMIT)),
        encode(TakeStep("w", Step.RETURN)),
        encode(TakeStep("none", Step.QUEUE)),
        encode(ReportReturn("w", 1, "s0")),
        encode(RequestMaintenance(work_item("w2", "s77"))),
    ],
)
def test_invalid_entry_changes_nothing(body: bytes) -> None:
    log = state_machine_log(work_item("w"))
    before = log.machine.snapshot()
    outcome = log.machine.apply(Entry(99, "upkeep", "x", A, NOON_MS, body))
    assert outcome.error and "\n" not in outcome.error and log.machine.snapshot() == before


def test_snapshot_restores_the_same_bytes_and_outcomes() -> None:
    log = state_machine_log(work_item("w"), work_item("x", "s1", after=("s0",)), work_item("y", "s2"))
    log.accept(SetFallbackServers(("s4",)))
    log.advance_to(State.PERMITTED)
    log.accept(TakeStep("y", Step.WITHDRAW))
    log.accept(ReportFacts(9, 0, 2, 0, FLEET_FACTS.servers[:1]))
    data = log.machine.snapshot()
    other = StateMachineLog().machine  # it replaces other state
    other.sessions = log.sessions
    assert not other.apply(log.entry("upkeep", encode(ReportFacts(1, 0, 1, 0, FLEET_FACTS.servers)))).error
    assert not other.apply(log.entry("upkeep", encode(RequestMaintenance(work_item("gone", "s5"))))).error
    other.restore(data)
    assert other.snapshot() == data
    entry = log.entry("upkeep", encode(ReportFacts(9, 1, 2, 0, FLEET_FACTS.servers[1:])))
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
        lambda state: {**state, "facts": {"servers": FLEET_FACTS.servers[:1] * 2}},
    ],
)
def test_invalid_snapshot_is_rejected_and_changes_nothing(change: object) -> None:
    log = state_machine_log(work_item("w"))
    log.advance_to(State.PERMITTED)
    before = log.machine.snapshot()
    assert callable(change)
    with pytest.raises(ValueError, match="not a snapshot of works"):
        log.machine.restore(msgspec.json.encode(change(msgspec.json.decode(before))))
    assert log.machine.snapshot() == before


def test_stored_state_is_bounded() -> None:
    log = StateMachineLog()
    log.open_sessions(A)
    many = FleetFacts(servers=servers(300))
    log.accept(ReportFacts(1, 0, 1, 0, many.servers[:150]))
    log.accept(ReportFacts(1, 0, 2, 0, many.servers[:150]))
    log.accept(ReportFacts(1, 1, 2, 0, many.servers[150:]))
    for number in range(MAX_OPEN_ITEMS):
        log.request(work_item(f"w{number}", f"s{number}"))
    assert f"more than {MAX_OPEN_ITEMS}" in log.reject(RequestMaintenance(work_item("more", "s299")))
    for number in range(MAX_OPEN_ITEMS):
        log.accept(TakeStep(f"w{number}", Step.WITHDRAW))
    for number in range(40):
        log.request(work_item(f"v{number}", f"s{number}"))
        log.accept(TakeStep(f"v{number}", Step.WITHDRAW))
    assert len(log.registry.finished) == 256 and log.registry.get("w0") is None and not log.registry.records
    assert len(log.machine.snapshot()) < 1 << 18


def test_lost_item_counts_as_open_while_listed() -> None:
    log = StateMachineLog()
    log.open_sessions(A)
    many = servers(300)
    log.accept(ReportFacts(1, 0, 2, 0, many[:150]))
    log.accept(ReportFacts(1, 1, 2, 0, many[150:]))
    for number in range(MAX_OPEN_ITEMS - 1):
        log.request(work_item(f"w{number}", f"s{number}"))
    log.registry.put(
        msgspec.structs.replace(log.record("w0"), work=work_item("lost", "s299"), state=State.LOST)
    )
    assert (
        log.reject(RequestMaintenance(work_item("more", "s298")))
        == f"id: more than {MAX_OPEN_ITEMS} works are open"
    )


def test_number_of_former_fallback_servers_is_limited(monkeypatch: pytest.MonkeyPatch) -> None:
    log = state_machine_log()
    monkeypatch.setattr(state_machine, "MAX_FORMER_FALLBACK_SERVERS", 1)
    log.accept(SetFallbackServers(("s0", "s1")))
    assert log.reject(SetFallbackServers(())) == "servers: too many have changed"
    log.accept(SetFallbackServers(("s1",)))


def test_outcome_holds_the_record() -> None:
    log = state_machine_log(work_item("w"))
    record = log.accept(TakeStep("w", Step.QUEUE))
    assert isinstance(record, ItemRecord) and record == log.record() and record.by == NodeInstance("a", 1)

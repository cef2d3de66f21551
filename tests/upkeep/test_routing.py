"""The routing of a proxy: to which servers it sends, with a session and without, and its clear position."""

import pytest

from molereach.coordination.interface.core import Tick
from molereach.coordination.interface.log import Applied, Entry, Outcome, Restored
from molereach.upkeep.permits.bodies import Body, ReportReturn, SetFallbackServers, TakeStep, encode
from molereach.upkeep.permits.lifecycle import UNROUTABLE_STATES, State, Step
from molereach.upkeep.permits.state_machine import UpkeepStateMachine
from molereach.upkeep.routing import (
    ExpediteReturn,
    MaintenanceRouting,
    PermitGranted,
    RequestFinished,
    RequestStarted,
    ResumeRouting,
    StopRouting,
)
from tests.upkeep.builders import PERMISSIVE, work_item
from tests.upkeep.state_machine_log import StateMachineLog, state_machine_log

# How long a proxy without a session still uses all servers; after that only the fallback servers.
MAX_WITHOUT_SESSION_US = PERMISSIVE.alone_ms * 1000


class FakeSession:
    """A session that is held until a given time."""

    def __init__(self, until_us: int = 1 << 60) -> None:
        self.until_us, self.fencing_token, self.applied_position = until_us, 1, 0

    def holds(self, now_us: int) -> bool:
        return now_us < self.until_us


def restore(log: StateMachineLog, routing: MaintenanceRouting, now_us: int = 0) -> list[object]:
    """Restores the routing from a snapshot at the present position."""
    return list(routing.handle(now_us, Restored(log.position)))


def apply(log: StateMachineLog, routing: MaintenanceRouting, body: Body, now_us: int = 0) -> list[object]:
    outcome = log.apply(body)
    entry = Entry(log.position, "upkeep", "x", log.record().by, log.at_ms, encode(body))
    return list(routing.handle(now_us, Applied(entry, outcome)))


@pytest.mark.parametrize("state", State)
def test_no_request_is_sent_to_a_machine_in_maintenance(state: State) -> None:
    log = state_machine_log(work_item("w"))
    log.advance_to(state)
    routing = MaintenanceRouting(log.machine, FakeSession())
    restore(log, routing)
    assert routing.may_send(0, "s0") is (state not in UNROUTABLE_STATES) and routing.may_send(0, "s1")
    assert routing.unroutable == ({"s0"} if state in UNROUTABLE_STATES else set())


def test_stop_and_resume_are_announced_once() -> None:
    log = state_machine_log(work_item("w"))
    log.take_step(Step.QUEUE)
    routing = MaintenanceRouting(log.machine, FakeSession())
    assert apply(log, routing, TakeStep("w", Step.DRAIN)) == [StopRouting("s0")]
    assert apply(log, routing, TakeStep("w", Step.CONFIRM_DRAINED, log.record().begun)) == []
    assert apply(log, routing, TakeStep("w", Step.RECALL, log.record().begun)) == [ResumeRouting("s0")]


def test_every_proxy_announces_a_permit_once_however_it_learned_of_it() -> None:
    log = state_machine_log(work_item("w"))
    log.advance_to(State.PERMITTED)
    permitted = PermitGranted("w", "s0", 1, log.record().until_ms)
    by_snapshot = MaintenanceRouting(log.machine, FakeSession())
    assert restore(log, by_snapshot) == [StopRouting("s0"), permitted] and restore(log, by_snapshot) == []
    assert apply(log, by_snapshot, TakeStep("w", Step.EXPEDITE, log.record().begun)) == [
        ExpediteReturn("w", "s0", 1)
    ]
    assert restore(log, by_snapshot) == []
    late = MaintenanceRouting(log.machine, FakeSession())
    assert restore(log, late) == [StopRouting("s0"), permitted, ExpediteReturn("w", "s0", 1)]
    assert apply(log, late, ReportReturn("w", 1, "s0")) == []


def test_clear_position_stays_before_the_entry_that_forbids_requests_in_flight() -> None:
    log = state_machine_log(work_item("w"), work_item("x", "s1"))
    routing = MaintenanceRouting(log.machine, FakeSession())
    for name in ("s0", "s0", "s2"):
        routing.handle(0, RequestStarted(name))
    log.advance_to(State.DRAINING)
    restore(log, routing)
    begun = log.record().begun
    assert routing.clear_position == begun - 1
    log.advance_to(State.DRAINING, "x")
    restore(log, routing)
    assert routing.clear_position == begun - 1, (
        "requests to s0 still hold it back; s1 drains too but has none"
    )
    routing.handle(0, RequestFinished("s0"))
    assert routing.clear_position == begun - 1
    routing.handle(0, RequestFinished("s0"))
    assert routing.clear_position == log.position
    # A third end of two requests has no effect.
    routing.handle(0, RequestFinished("s0"))
    assert routing.clear_position == log.position
    routing.handle(0, RequestStarted("s1"))
    log.take_step(Step.RECALL, "x")
    restore(log, routing)
    assert routing.clear_position == log.position, "a request that is allowed again does not count"


def test_entry_of_another_state_machine_counts_as_applied() -> None:
    log = state_machine_log(work_item("w"))
    routing = MaintenanceRouting(log.machine, FakeSession())
    restore(log, routing)
    routing.handle(0, Applied(Entry(77, "other", "x", log.record().by, 1, b""), Outcome()))
    assert routing.clear_position == 77


def test_proxy_that_lost_its_session_uses_all_servers_for_a_time_then_only_fallback_servers() -> None:
    log = state_machine_log(work_item("w"))
    log.accept(SetFallbackServers(("s1", "s2")))
    log.advance_to(State.DRAINING)
    session = FakeSession(until_us=100)
    routing = MaintenanceRouting(log.machine, session)
    restore(log, routing, 99)
    assert routing.allowed_servers(99) is None
    # The time without a session counts from when it was last known to be held: 99.
    assert routing.allowed_servers(99 + MAX_WITHOUT_SESSION_US) is None and not routing.may_send(
        99 + MAX_WITHOUT_SESSION_US, "s0"
    )
    assert routing.may_send(99 + MAX_WITHOUT_SESSION_US, "s3")
    after = 100 + MAX_WITHOUT_SESSION_US
    assert routing.allowed_servers(after) == {"s1", "s2"}
    assert routing.may_send(after, "s1") and not routing.may_send(after, "s3")
    session.until_us = after + 10
    assert routing.may_send(after, "s3") and not routing.may_send(after, "s0")


def test_paused_proxy_counts_its_time_without_session_from_before_the_pause() -> None:
    log = state_machine_log(work_item("w"))
    routing = MaintenanceRouting(log.machine, FakeSession(until_us=100))
    routing.handle(50, Tick())
    assert routing.allowed_servers(50 + MAX_WITHOUT_SESSION_US) is None
    woke = 51 + MAX_WITHOUT_SESSION_US
    assert routing.allowed_servers(woke) == frozenset() and not routing.may_send(woke, "s0")


def test_instance_that_never_had_a_session_uses_no_server() -> None:
    log = state_machine_log(work_item("w"))
    log.accept(SetFallbackServers(("s1",)))
    routing = MaintenanceRouting(log.machine, FakeSession(until_us=0))
    restore(log, routing)
    assert routing.allowed_servers(5) == frozenset() and not routing.may_send(5, "s1")


def test_snapshot_leads_another_proxy_to_the_same_routing() -> None:
    log = state_machine_log(work_item("w"))
    log.advance_to(State.DRAINED)
    other = UpkeepStateMachine(PERMISSIVE, log.sessions)
    routing = MaintenanceRouting(other, FakeSession())
    other.restore(log.machine.snapshot())
    assert restore(log, routing) == [StopRouting("s0")] and not routing.may_send(0, "s0")

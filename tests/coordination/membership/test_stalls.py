"""A stall of the local process causes no suspicion and lowers local health."""

from typing import Any

import pytest

from molereach.coordination.interface.core import MessageReceived, Tick
from molereach.coordination.interface.identifiers import SECOND_US, NodeInstance
from molereach.coordination.membership.events import (
    LocalHealthChanged,
)
from molereach.coordination.membership.messages import Ack, Ping, Rumour, Sync
from tests.coordination.membership.single_core import (
    ALIVE,
    DEAD,
    INTERVAL_US,
    SETTINGS,
    SUSPECT,
    SingleCore,
    ack_pings,
    stalled_core,
)


@pytest.mark.parametrize("stall_us", [SECOND_US // 2, 3 * SECOND_US, 30 * SECOND_US])
@pytest.mark.parametrize("first_event", [Tick(), MessageReceived(NodeInstance("b", 1), Ping(9))])
def test_timeouts_during_a_stall_cause_no_suspicion(stall_us: int, first_event: Any) -> None:  # noqa: ANN401
    single = stalled_core("a", "b", "c", stall_us=stall_us)
    single.handle(first_event)
    assert (
        single.core.local_health_score >= 1
        and LocalHealthChanged(single.core.local_health_score) in single.actions
    )
    single.run(20 * INTERVAL_US, ack_pings)
    assert not single.changed_to(SUSPECT)


def test_long_stall_lowers_local_health_more_than_a_short_one() -> None:
    short, long = stalled_core("a", stall_us=SECOND_US // 2), stalled_core("a", stall_us=30 * SECOND_US)
    short.handle(Tick())
    long.handle(Tick())
    assert (
        short.core.local_health_score == 1 and long.core.local_health_score == SETTINGS.max_local_health_score
    )


def test_slightly_late_tick_is_not_a_stall() -> None:
    single = SingleCore("a", "b")
    single.now_us = single.core.wake_us + SETTINGS.stall_us
    single.handle(Tick())
    assert single.core.local_health_score == 0


def test_suspicions_do_not_expire_during_a_stall() -> None:
    single = SingleCore("a", "b", "c")
    single.receive("b", Sync((Rumour("a", 1, 0, SUSPECT, "b"), Rumour("a", 1, 0, SUSPECT, "c"))))
    single.now_us += 60 * SECOND_US
    single.handle(Tick())
    assert single.core.status("a") is SUSPECT
    single.run(INTERVAL_US, ack_pings)
    assert single.core.status("a") is SUSPECT
    single.receive("a", Ack(0, (Rumour("a", 1, 1, ALIVE),)))
    assert single.core.status("a") is ALIVE and not single.changed_to(DEAD)


def test_deadline_that_an_accuser_moves_into_the_past_is_not_a_stall() -> None:
    single = SingleCore("a", "b", "c")
    single.receive("b", Ping(1, (Rumour("a", 1, 0, SUSPECT, "b"),)))
    # Longer than the minimum timeout.
    single.run(4 * SECOND_US, lambda sent: ack_pings(sent) if sent.recipient != "a" else None)
    assert single.core.status("a") is SUSPECT
    before = single.core.local_health_score
    single.receive("c", Ping(1, (Rumour("a", 1, 0, SUSPECT, "c"),)))
    single.receive("c", Ping(2))
    single.handle(Tick())
    assert single.core.status("a") is DEAD and single.core.local_health_score == before


def test_suspicion_about_to_expire_waits_for_unread_messages() -> None:
    single = SingleCore("a")
    single.receive("a", Sync((Rumour("b", 1, 0, SUSPECT, "a"),)))
    # Three members need two accusers, so the timeout has not passed yet.
    single.run(2 * SECOND_US - 1, ack_pings)
    deadline_us = single.core._states.suspicions["b"].deadline_us
    single.run(deadline_us - single.now_us - 1, ack_pings)
    single.now_us = deadline_us + 10 * SECOND_US
    single.handle(Tick())
    resumed_us = single.now_us
    while single.core.status("b") is SUSPECT:
        single.tick()
    assert single.now_us >= resumed_us + INTERVAL_US

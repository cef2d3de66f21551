"""What an agent knows of its front doors: by their words only, with their age."""

import pytest

from molereach.fleet import anchored_clock
from molereach.fleet import roster as module
from molereach.fleet.roster import (
    Connect,
    Connected,
    Disconnect,
    Disconnected,
    RevisionChanged,
    Roster,
    SendOrders,
    SocketsListed,
    StateReceived,
    Tick,
)
from molereach.fleet.wire import ProxyState


def state(name: str = "n0", revision: int = 0, pid: int = 1) -> ProxyState:
    return ProxyState(name, pid, 1.0, False, revision, 1, 0, 0)


def known(*names: str) -> SocketsListed:
    return SocketsListed(frozenset(names))


def roster(ready: bool = True) -> Roster:
    made = Roster("a0")
    made.handle(0, RevisionChanged(3, ready))
    assert made.handle(0, known("n0")) == [Connect("n0")]
    return made


def test_proxy_is_sent_orders_once_connected_and_until_it_has_all() -> None:
    made = roster()
    assert made.handle(5, known("n0")) == []  # one connect at a time
    assert made.handle(9, Connected("n0")) == [SendOrders("n0")]
    assert made.handle(10, StateReceived("n0", state(revision=2))) == [SendOrders("n0")]
    assert made.handle(11, StateReceived("n0", state(revision=3))) == []
    assert made.handle(12, RevisionChanged(4, True)) == [SendOrders("n0")]
    assert made.handle(13, StateReceived("n0", state(revision=0, pid=2))) == [
        SendOrders("n0")
    ]  # it began anew
    (status,) = made.proxy_statuses(50)
    assert (status.reachability, status.reported_ago_ms, status.revision) == ("up", 37, 0)


def test_no_orders_are_sent_before_the_agent_is_ready() -> None:
    made = roster(ready=False)
    assert made.handle(1, Connected("n0")) == [] == made.handle(2, StateReceived("n0", state()))
    assert made.handle(3, RevisionChanged(3, True)) == [SendOrders("n0")]


def test_killed_stopped_and_ended_proxies_differ_and_last_states_stay() -> None:
    made = roster()
    made.handle(1, Connected("n0"))
    made.handle(2, StateReceived("n0", state(revision=3)))
    made.handle(900, Tick())
    assert made.proxy_statuses(900)[0].reachability == "up"
    made.handle(2 + module.SILENCE_TIMEOUT_MS, Tick())
    assert made.proxy_statuses(1002)[0].reachability == "silent"
    made.handle(1500, StateReceived("n0", state(revision=3)))
    assert made.proxy_statuses(1500)[0].reachability == "up"
    made.handle(1600, Disconnected("n0", "it closed the connection"))
    status = made.proxy_statuses(2000)[0]
    assert (status.reachability, status.reported_ago_ms, status.revision, status.reason) == (
        "gone",
        500,
        3,
        "it closed the connection",
    )
    assert made.handle(2100, known("n0")) == [Connect("n0")]
    made.handle(2200, Disconnected("n0", "refused"))
    assert made.handle(2300, known()) == [] and made.proxy_statuses(2300)[0].reachability == "ended"
    made.handle(2300 + module.REMOVAL_DELAY_MS, known())
    assert made.proxy_statuses(10**9) == ()
    texts = [event.text.split(":")[0] for event in made.history]
    assert texts == ["new to up", "up to silent", "silent to up", "up to gone", "gone to ended"]


def test_proxy_with_another_name_is_disconnected() -> None:
    made = roster()
    made.handle(1, Connected("n0"))
    assert made.handle(2, StateReceived("n0", state("n7", revision=3))) == [Disconnect("n0")]
    assert (
        made.proxy_statuses(2)[0].reachability == "gone"
        and "n7" in made.proxy_statuses(2)[0].reason
        and not made.proxy_statuses(2)[0].state
    )


def test_orders_lapse_by_a_clock_that_does_not_step(monkeypatch: pytest.MonkeyPatch) -> None:
    clock = {"wall": 1_700_000_000_000, "monotonic": 5_000}
    monkeypatch.setattr(anchored_clock.time, "time_ns", lambda: clock["wall"] * 1_000_000)
    monkeypatch.setattr(anchored_clock.time, "monotonic_ns", lambda: clock["monotonic"] * 1_000_000)
    now_ms = anchored_clock.anchored_unix_ms()
    assert now_ms() == 1_700_000_000_000
    for step_ms in (3_600_000, -7_200_000):  # the machine's clock is set, on and back
        clock["wall"] += step_ms
        clock["monotonic"] += 250
    assert now_ms() == 1_700_000_000_500


def test_proxies_and_history_are_bounded(monkeypatch: pytest.MonkeyPatch) -> None:
    made = Roster("a0")
    made.handle(0, SocketsListed(frozenset(f"n{number}" for number in range(1000))))
    assert len(made.proxies) == module.MAX_PROXIES and made.truncated_listings
    for number in range(2000):
        made.add_event(number, "door", "n0", "x")
    assert len(made.history) == module.MAX_EVENTS and made.history[-1].number == 2000
    assert made.handle(1, StateReceived("stranger", state("stranger"))) == []

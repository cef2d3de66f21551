"""An agent's roster of front doors: reachability, the age of reports, and the orders to send."""

import pytest

from molereach.fleet import anchored_clock
from molereach.fleet import roster as roster_module
from molereach.fleet.roster import (
    Connect,
    Connected,
    Disconnect,
    Disconnected,
    RevisionOrReadinessChanged,
    Roster,
    SendOrders,
    SocketsListed,
    StateReceived,
    Tick,
)
from molereach.fleet.wire import ProxyState


def state(name: str = "n0", revision: int = 0, pid: int = 1) -> ProxyState:
    return ProxyState(name, pid, 1.0, False, revision, 1, 0, 0)


def sockets(*names: str) -> SocketsListed:
    return SocketsListed(frozenset(names))


def connecting_roster(ready: bool = True) -> Roster:
    agent_roster = Roster("a0")
    agent_roster.handle(0, RevisionOrReadinessChanged(3, ready))
    assert agent_roster.handle(0, sockets("n0")) == [Connect("n0")]
    return agent_roster


def test_proxy_is_sent_orders_when_connected_and_while_it_lacks_any() -> None:
    agent_roster = connecting_roster()
    assert agent_roster.handle(5, sockets("n0")) == []  # the first connect is still pending
    assert agent_roster.handle(9, Connected("n0")) == [SendOrders("n0")]
    assert agent_roster.handle(10, StateReceived("n0", state(revision=2))) == [SendOrders("n0")]
    assert agent_roster.handle(11, StateReceived("n0", state(revision=3))) == []
    assert agent_roster.handle(12, RevisionOrReadinessChanged(4, True)) == [SendOrders("n0")]
    # The proxy has restarted.
    assert agent_roster.handle(13, StateReceived("n0", state(revision=0, pid=2))) == [SendOrders("n0")]
    (status,) = agent_roster.proxy_statuses(50)
    assert (status.reachability, status.reported_ago_ms, status.revision) == ("up", 37, 0)


def test_no_orders_are_sent_before_the_agent_is_ready() -> None:
    agent_roster = connecting_roster(ready=False)
    assert (
        agent_roster.handle(1, Connected("n0")) == [] == agent_roster.handle(2, StateReceived("n0", state()))
    )
    assert agent_roster.handle(3, RevisionOrReadinessChanged(3, True)) == [SendOrders("n0")]


def test_killed_stopped_and_ended_proxies_are_distinguished_and_keep_their_last_state() -> None:
    agent_roster = connecting_roster()
    agent_roster.handle(1, Connected("n0"))
    agent_roster.handle(2, StateReceived("n0", state(revision=3)))
    agent_roster.handle(900, Tick())
    assert agent_roster.proxy_statuses(900)[0].reachability == "up"
    agent_roster.handle(2 + roster_module.SILENCE_TIMEOUT_MS, Tick())
    assert agent_roster.proxy_statuses(1002)[0].reachability == "silent"
    agent_roster.handle(1500, StateReceived("n0", state(revision=3)))
    assert agent_roster.proxy_statuses(1500)[0].reachability == "up"
    agent_roster.handle(1600, Disconnected("n0", "it closed the connection"))
    status = agent_roster.proxy_statuses(2000)[0]
    assert (status.reachability, status.reported_ago_ms, status.revision, status.reason) == (
        "gone",
        500,
        3,
        "it closed the connection",
    )
    assert agent_roster.handle(2100, sockets("n0")) == [Connect("n0")]
    agent_roster.handle(2200, Disconnected("n0", "refused"))
    assert (
        agent_roster.handle(2300, sockets()) == []
        and agent_roster.proxy_statuses(2300)[0].reachability == "ended"
    )
    agent_roster.handle(2300 + roster_module.REMOVAL_DELAY_MS, sockets())
    assert agent_roster.proxy_statuses(10**9) == ()
    texts = [event.text.split(":")[0] for event in agent_roster.history]
    assert texts == ["new to up", "up to silent", "silent to up", "up to gone", "gone to ended"]


def test_proxy_with_another_name_is_disconnected() -> None:
    agent_roster = connecting_roster()
    agent_roster.handle(1, Connected("n0"))
    assert agent_roster.handle(2, StateReceived("n0", state("n7", revision=3))) == [Disconnect("n0")]
    assert (
        agent_roster.proxy_statuses(2)[0].reachability == "gone"
        and "n7" in agent_roster.proxy_statuses(2)[0].reason
        and not agent_roster.proxy_statuses(2)[0].state
    )


def test_orders_lapse_by_a_clock_that_does_not_step(monkeypatch: pytest.MonkeyPatch) -> None:
    clock = {"wall": 1_700_000_000_000, "monotonic": 5_000}
    monkeypatch.setattr(anchored_clock.time, "time_ns", lambda: clock["wall"] * 1_000_000)
    monkeypatch.setattr(anchored_clock.time, "monotonic_ns", lambda: clock["monotonic"] * 1_000_000)
    now_ms = anchored_clock.anchored_unix_ms()
    assert now_ms() == 1_700_000_000_000
    for step_ms in (3_600_000, -7_200_000):  # the system clock is set forward, then back
        clock["wall"] += step_ms
        clock["monotonic"] += 250
    assert now_ms() == 1_700_000_000_500


def test_proxies_and_history_are_bounded(monkeypatch: pytest.MonkeyPatch) -> None:
    agent_roster = Roster("a0")
    agent_roster.handle(0, SocketsListed(frozenset(f"n{number}" for number in range(1000))))
    assert len(agent_roster.proxies) == roster_module.MAX_PROXIES and agent_roster.truncated_listings
    for number in range(2000):
        agent_roster.add_event(number, "door", "n0", "x")
    assert len(agent_roster.history) == roster_module.MAX_EVENTS and agent_roster.history[-1].number == 2000
    assert agent_roster.handle(1, StateReceived("unknown", state("unknown"))) == []

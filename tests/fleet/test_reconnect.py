"""When an agent connects to a proxy again."""

from molereach.fleet.roster import (
    Connect,
    Connected,
    Disconnect,
    Disconnected,
    RequestUnanswered,
    Roster,
    SocketsListed,
    StateReceived,
)
from molereach.fleet.wire import ProxyState


def test_proxy_that_has_not_answered_yet_keeps_its_one_connection() -> None:
    """It used to get a further connection at each scan of the sockets, until the proxy took no more."""
    roster = Roster("a0")
    names = frozenset({"n0"})
    assert roster.handle(0, SocketsListed(names)) == [Connect("n0")]
    roster.handle(10, Connected("n0"))
    assert roster.handle(100, SocketsListed(names)) == []
    roster.handle(1_000, RequestUnanswered("n0"))
    assert roster.proxy_statuses(1_000)[0].reachability == "silent"
    roster.handle(1_100, Disconnected("n0", "it closed the connection"))
    assert roster.handle(1_200, SocketsListed(names)) == [Connect("n0")]


def test_proxy_under_a_wrong_name_is_connected_to_again() -> None:
    roster = Roster("a0")
    names = frozenset({"n0"})
    roster.handle(0, SocketsListed(names))
    roster.handle(10, Connected("n0"))
    state = ProxyState("n9", 1, 1.0, False, 0, 1, 0, 0)
    assert roster.handle(20, StateReceived("n0", state)) == [Disconnect("n0")]
    assert roster.handle(100, SocketsListed(names)) == [Connect("n0")]

"""Links between front doors that do as they should: who is taken, which link stays, what is said to whom."""

import pytest

from molereach.coordination.interface.core import SendMessage
from molereach.coordination.interface.identifiers import NodeInstance
from molereach.coordination.transport.errors import HandshakeError
from molereach.coordination.transport.warning_limiter import MAX_WARNINGS_PER_INTERVAL
from rig.council.relay import Relay
from tests.coordination.transport.nodes import HOST, RawPeer, TransportNode, Word, spin, start_nodes
from tests.sockets import run


def test_messages_go_both_ways_in_order_over_one_connection() -> None:
    async def job() -> None:
        a, b = await start_nodes("a", "b")
        for number in range(50):
            a.say("b", number, part="log" if number % 2 else "hint")
        await b.until_received(49)
        for number in range(50):
            b.say("a", number)
        await a.until_received(49)
        assert a.numbers == b.numbers == list(range(50))
        assert set(b.senders) == {NodeInstance("a", 1)} and a.events == ["up b 1"] and b.events == ["up a 1"]
        assert (a.transport.stats().accepted, b.transport.stats().accepted) == (0, 1)
        assert len(a.transport.registry.connections) == len(b.transport.registry.connections) == 1
        ours, theirs = a.transport.stats().peers["b"], b.transport.stats().peers["a"]
        assert (ours.bytes_received, ours.bytes_sent) == (theirs.bytes_sent, theirs.bytes_received)
        b.transport.close()
        await a.until(a.downs)
        assert a.events[-1] == "down b: left: closed"
        await spin(lambda: not a.transport.registry.connections and not b.transport.registry.connections)

    run(job())


def test_undeliverable_messages_are_dropped_and_an_unknown_protocol_raises() -> None:
    async def job() -> None:
        a, b = await start_nodes("a", "b")
        a.say("a", 1)
        a.say("x", 1)
        a.say("b", 1, "x" * (1 << 20))
        assert a.transport.stats().undeliverable == 3 and set(a.transport.stats().peers) <= {"b"}
        with pytest.raises(KeyError):
            a.transport.send("cake", SendMessage("b", Word(1)))
        a.transport.send("log", SendMessage("b", object()))  # cannot be packed: logged
        a.say("b", 2)
        await b.until_received(2)

    run(job())


@pytest.mark.parametrize("names", [("a", "b"), ("b", "a")])
def test_of_two_crossing_dials_the_smaller_names_stays_without_loss_or_repetition(
    names: tuple[str, str],
) -> None:
    async def job() -> None:
        a, b = await start_nodes("a", "b")
        relays = {name: Relay(a.addresses[name]) for name in "ab"}
        for name, relay in relays.items():
            a.addresses[name] = await relay.start()
            relay.stall("to")
        both = {"a": a, "b": b}
        for name in names:
            both[name].say("b" if name == "a" else "a", 1)
        dials = [a.transport.registry.peers["b"], b.transport.registry.peers["a"]]
        await spin(
            lambda: all(peer.pending_connection and peer.pending_connection.hello_sent for peer in dials)
        )
        for name in names:  # whichever hello comes first
            relays["b" if name == "a" else "a"].clear_faults()
        await a.until_received(1)
        await b.until_received(1)
        a.say("b", 2)
        b.say("a", 2)
        await a.until_received(2)
        await b.until_received(2)
        assert a.numbers == b.numbers == [1, 2]
        assert a.events == ["up b 1"] and b.events == ["up a 1"]
        assert (a.transport.stats().accepted, b.transport.stats().accepted) == (0, 1)
        await spin(
            lambda: len(a.transport.registry.connections) == len(b.transport.registry.connections) == 1
        )
        for relay in relays.values():
            await relay.close()

    run(job())


def test_a_dial_before_its_hello_yields_to_one_after_it() -> None:
    async def job() -> None:
        a, b = await start_nodes("a", "b")
        held = Relay(a.addresses["b"])
        held.hold()
        a.addresses["b"] = await held.start()
        a.say("b", 1)
        await held.until(lambda: held.connections)
        b.say("a", 2)
        await b.until_received(1)
        await a.until_received(2)
        assert a.transport.stats().accepted == 1 and a.events == ["up b 1"]
        assert (
            not a.transport.registry.peers["b"].pending_connection
            and len(a.transport.registry.connections) == 1
        )
        await held.close()

    run(job())


def test_a_new_connection_of_the_same_instance_replaces_the_old_one() -> None:
    async def job() -> None:
        (a,) = await start_nodes("a")
        a.addresses["c"] = (HOST, 1)
        first = await RawPeer(NodeInstance("c", 5), "a").dial(a.addresses["a"])
        second = await RawPeer(NodeInstance("c", 5), "a").dial(a.addresses["a"])
        assert not await first.frame()
        a.say("c", 1)
        assert await second.read() == Word(1)
        assert a.events == ["up c 5", "down c: replaced by a newer link", "up c 5"]

    run(job())


def test_a_newer_instance_replaces_an_older_one_which_is_then_rejected() -> None:
    async def job() -> None:
        a, b = await start_nodes("a", "b")
        a.say("b", 1)
        await b.until_received(1)
        newer = TransportNode("b", a.addresses, 2)
        await newer.start()
        newer.say("a", 2)
        await a.until_received(2)
        assert a.events == ["up b 1", "down b: replaced by a newer link", "up b 2"]
        a.say("b", 3, life=1)
        a.say("b", 4, life=2)
        await newer.until_received(4)
        assert newer.numbers == [4] and b.numbers == [1] and a.transport.stats().peers["b"].dropped == 1
        with pytest.raises(HandshakeError, match="a newer life of b is connected"):
            await RawPeer(NodeInstance("b", 1), "a").dial(a.addresses["a"])
        b.transport.close()

    run(job())


def test_messages_queued_for_an_earlier_instance_are_not_sent_to_the_next() -> None:
    async def job() -> None:
        a, b = await start_nodes("a", "b")
        address = a.addresses.pop("b")
        a.addresses["b"] = (HOST, 1)
        for number, life in ((1, 7), (2, None), (3, 1)):
            a.say("b", number, life=life)
        a.addresses["b"] = address
        await b.until_received(3)
        assert b.numbers == [2, 3] and a.transport.stats().peers["b"].dropped == 1

    run(job())


@pytest.mark.parametrize(
    ("me", "to", "key", "reason"),
    [
        (NodeInstance("c", 1), "a", b"o" * 32, "proof"),
        (NodeInstance("a", 2), "a", b"k" * 32, "name of who is asked"),
        (NodeInstance("c", 1), "b", b"k" * 32, "a is here, not b"),
        (NodeInstance("x", 1), "a", b"k" * 32, "not of this council"),
    ],
)
def test_an_unknown_dialler_gets_a_one_line_reason_and_keeps_no_slot(
    me: NodeInstance,
    to: str,
    key: bytes,
    reason: str,
) -> None:
    async def job() -> None:
        (a,) = await start_nodes("a")
        a.addresses["c"] = (HOST, 1)
        raw = RawPeer(me, to, key)
        with pytest.raises(HandshakeError, match=reason):
            await raw.dial(a.addresses["a"])
        assert not await raw.frame()
        await spin(lambda: not a.transport.registry.connections)
        stats = a.transport.stats()
        assert (stats.rejected, stats.unauthenticated, a.events) == (1, 0, [])

    run(job())


def test_rejections_and_broken_connections_log_few_lines_per_interval(
    caplog: pytest.LogCaptureFixture,
) -> None:
    async def job() -> None:
        (a,) = await start_nodes("a")
        a.addresses["c"] = (HOST, 1)
        for _ in range(MAX_WARNINGS_PER_INTERVAL):
            with pytest.raises(HandshakeError):
                await RawPeer(NodeInstance("x", 1), "a").dial(a.addresses["a"])
            raw = await RawPeer(NodeInstance("c", 1), "a").dial(a.addresses["a"])
            raw.writer.write(bytes(4))
            assert not await raw.frame()
        assert a.downs() == MAX_WARNINGS_PER_INTERVAL and len(caplog.records) == MAX_WARNINGS_PER_INTERVAL
        a.transport.registry.send_heartbeats()
        with pytest.raises(HandshakeError):
            await RawPeer(NodeInstance("x", 1), "a").dial(a.addresses["a"])
        assert len(caplog.records) == MAX_WARNINGS_PER_INTERVAL + 1

    run(job())


def test_a_key_of_invalid_size_is_rejected() -> None:
    async def job() -> None:
        for key in (b"", b"k" * 15, b"k" * 65):
            with pytest.raises(ValueError, match="key"):
                TransportNode("a", {}, key=key)

    run(job())

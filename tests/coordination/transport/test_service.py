"""Connections between well-behaved proxies: which are accepted, which is kept of two, what is delivered."""

import pytest

from molereach.coordination.interface.core import SendMessage
from molereach.coordination.interface.identifiers import NodeInstance
from molereach.coordination.transport.errors import HandshakeError
from molereach.coordination.transport.warning_limiter import MAX_WARNINGS_PER_INTERVAL
from rig.council.relay import Relay
from tests.coordination.transport.nodes import (
    HOST,
    NumberedMessage,
    RawPeer,
    TransportNode,
    poll_until,
    start_nodes,
)
from tests.sockets import run


def test_messages_go_both_ways_in_order_over_one_connection() -> None:
    async def scenario() -> None:
        a, b = await start_nodes("a", "b")
        for number in range(50):
            a.send("b", number, protocol="log" if number % 2 else "hint")
        await b.wait_until_received(49)
        for number in range(50):
            b.send("a", number)
        await a.wait_until_received(49)
        assert a.received_numbers == b.received_numbers == list(range(50))
        assert set(b.senders) == {NodeInstance("a", 1)} and a.events == ["up b 1"] and b.events == ["up a 1"]
        assert (a.transport.stats().accepted, b.transport.stats().accepted) == (0, 1)
        assert len(a.transport.registry.connections) == len(b.transport.registry.connections) == 1
        a_stats, b_stats = a.transport.stats().peers["b"], b.transport.stats().peers["a"]
        assert (a_stats.bytes_received, a_stats.bytes_sent) == (b_stats.bytes_sent, b_stats.bytes_received)
        b.transport.close()
        await a.wait_until(a.disconnected_count)
        assert a.events[-1] == "down b: left: closed"
        await poll_until(
            lambda: not a.transport.registry.connections and not b.transport.registry.connections
        )

    run(scenario())


def test_undeliverable_messages_are_dropped_and_an_unknown_protocol_raises() -> None:
    async def scenario() -> None:
        a, b = await start_nodes("a", "b")
        a.send("a", 1)
        a.send("x", 1)
        a.send("b", 1, "x" * (1 << 20))
        assert a.transport.stats().undeliverable == 3 and set(a.transport.stats().peers) <= {"b"}
        with pytest.raises(KeyError):
            a.transport.send("unknown", SendMessage("b", NumberedMessage(1)))
        a.transport.send("log", SendMessage("b", object()))  # cannot be encoded: logged
        a.send("b", 2)
        await b.wait_until_received(2)

    run(scenario())


@pytest.mark.parametrize("names", [("a", "b"), ("b", "a")])
def test_of_two_crossing_dials_that_of_the_smaller_name_is_kept_without_loss_or_repetition(
    names: tuple[str, str],
) -> None:
    async def scenario() -> None:
        a, b = await start_nodes("a", "b")
        relays = {name: Relay(a.addresses[name]) for name in "ab"}
        for name, relay in relays.items():
            a.addresses[name] = await relay.start()
            relay.stall("to")
        nodes = {"a": a, "b": b}
        for name in names:
            nodes[name].send("b" if name == "a" else "a", 1)
        peers = [a.transport.registry.peers["b"], b.transport.registry.peers["a"]]
        await poll_until(
            lambda: all(peer.pending_connection and peer.pending_connection.hello_sent for peer in peers)
        )
        for name in names:  # in either order of the hellos
            relays["b" if name == "a" else "a"].clear_faults()
        await a.wait_until_received(1)
        await b.wait_until_received(1)
        a.send("b", 2)
        b.send("a", 2)
        await a.wait_until_received(2)
        await b.wait_until_received(2)
        assert a.received_numbers == b.received_numbers == [1, 2]
        assert a.events == ["up b 1"] and b.events == ["up a 1"]
        assert (a.transport.stats().accepted, b.transport.stats().accepted) == (0, 1)
        await poll_until(
            lambda: len(a.transport.registry.connections) == len(b.transport.registry.connections) == 1
        )
        for relay in relays.values():
            await relay.close()

    run(scenario())


def test_a_dial_before_its_hello_yields_to_one_after_it() -> None:
    async def scenario() -> None:
        a, b = await start_nodes("a", "b")
        relay = Relay(a.addresses["b"])
        relay.hold()
        a.addresses["b"] = await relay.start()
        a.send("b", 1)
        await relay.until(lambda: relay.connections)
        b.send("a", 2)
        await b.wait_until_received(1)
        await a.wait_until_received(2)
        assert a.transport.stats().accepted == 1 and a.events == ["up b 1"]
        assert (
            not a.transport.registry.peers["b"].pending_connection
            and len(a.transport.registry.connections) == 1
        )
        await relay.close()

    run(scenario())


def test_a_new_connection_of_the_same_instance_replaces_the_old_one() -> None:
    async def scenario() -> None:
        (a,) = await start_nodes("a")
        a.addresses["c"] = (HOST, 1)
        first = await RawPeer(NodeInstance("c", 5), "a").dial(a.addresses["a"])
        second = await RawPeer(NodeInstance("c", 5), "a").dial(a.addresses["a"])
        assert not await first.read_frame()
        a.send("c", 1)
        assert await second.read_message() == NumberedMessage(1)
        assert a.events == ["up c 5", "down c: replaced by a newer link", "up c 5"]

    run(scenario())


def test_a_newer_instance_replaces_an_older_one_which_is_then_rejected() -> None:
    async def scenario() -> None:
        a, b = await start_nodes("a", "b")
        a.send("b", 1)
        await b.wait_until_received(1)
        newer = TransportNode("b", a.addresses, 2)
        await newer.start()
        newer.send("a", 2)
        await a.wait_until_received(2)
        assert a.events == ["up b 1", "down b: replaced by a newer link", "up b 2"]
        a.send("b", 3, instance_number=1)
        a.send("b", 4, instance_number=2)
        await newer.wait_until_received(4)
        assert (
            newer.received_numbers == [4]
            and b.received_numbers == [1]
            and a.transport.stats().peers["b"].dropped == 1
        )
        with pytest.raises(HandshakeError, match="a newer life of b is connected"):
            await RawPeer(NodeInstance("b", 1), "a").dial(a.addresses["a"])
        b.transport.close()

    run(scenario())


def test_messages_queued_for_an_earlier_instance_are_not_sent_to_the_next() -> None:
    async def scenario() -> None:
        a, b = await start_nodes("a", "b")
        address = a.addresses.pop("b")
        a.addresses["b"] = (HOST, 1)
        for number, instance_number in ((1, 7), (2, None), (3, 1)):
            a.send("b", number, instance_number=instance_number)
        a.addresses["b"] = address
        await b.wait_until_received(3)
        assert b.received_numbers == [2, 3] and a.transport.stats().peers["b"].dropped == 1

    run(scenario())


@pytest.mark.parametrize(
    ("instance", "recipient", "key", "reason"),
    [
        (NodeInstance("c", 1), "a", b"o" * 32, "proof"),
        (NodeInstance("a", 2), "a", b"k" * 32, "name of who is asked"),
        (NodeInstance("c", 1), "b", b"k" * 32, "a is here, not b"),
        (NodeInstance("x", 1), "a", b"k" * 32, "not of this council"),
    ],
)
def test_an_unknown_dialler_gets_a_one_line_reason_and_keeps_no_slot(
    instance: NodeInstance,
    recipient: str,
    key: bytes,
    reason: str,
) -> None:
    async def scenario() -> None:
        (a,) = await start_nodes("a")
        a.addresses["c"] = (HOST, 1)
        raw_peer = RawPeer(instance, recipient, key)
        with pytest.raises(HandshakeError, match=reason):
            await raw_peer.dial(a.addresses["a"])
        assert not await raw_peer.read_frame()
        await poll_until(lambda: not a.transport.registry.connections)
        stats = a.transport.stats()
        assert (stats.rejected, stats.unauthenticated, a.events) == (1, 0, [])

    run(scenario())


def test_rejections_and_broken_connections_log_few_lines_per_interval(
    caplog: pytest.LogCaptureFixture,
) -> None:
    async def scenario() -> None:
        (a,) = await start_nodes("a")
        a.addresses["c"] = (HOST, 1)
        for _ in range(MAX_WARNINGS_PER_INTERVAL):
            with pytest.raises(HandshakeError):
                await RawPeer(NodeInstance("x", 1), "a").dial(a.addresses["a"])
            raw_peer = await RawPeer(NodeInstance("c", 1), "a").dial(a.addresses["a"])
            raw_peer.writer.write(bytes(4))
            assert not await raw_peer.read_frame()
        assert (
            a.disconnected_count() == MAX_WARNINGS_PER_INTERVAL
            and len(caplog.records) == MAX_WARNINGS_PER_INTERVAL
        )
        a.transport.registry.send_heartbeats()
        with pytest.raises(HandshakeError):
            await RawPeer(NodeInstance("x", 1), "a").dial(a.addresses["a"])
        assert len(caplog.records) == MAX_WARNINGS_PER_INTERVAL + 1

    run(scenario())


def test_a_key_of_invalid_size_is_rejected() -> None:
    async def scenario() -> None:
        for key in (b"", b"k" * 15, b"k" * 65):
            with pytest.raises(ValueError, match="key"):
                TransportNode("a", {}, key=key)

    run(scenario())

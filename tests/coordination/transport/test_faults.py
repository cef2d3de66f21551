"""Faulty networks and misbehaving peers: only the affected connection is closed."""

import msgspec
import pytest

from molereach.coordination.interface.identifiers import NodeInstance
from molereach.coordination.transport.errors import HandshakeError
from molereach.coordination.transport.messages import CONTROL_PROTOCOL, Heartbeat
from molereach.coordination.transport.settings import TransportSettings
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

MAX_LENGTH_PREFIX = b"\xff\xff\xff\xff"


async def start_node_with_raw_peer(name: str = "b") -> TransportNode:
    """A node that accepts a peer "c", for which the test uses a `RawPeer`."""
    (node,) = await start_nodes(name)
    node.addresses["c"] = (HOST, 1)
    return node


def test_a_truncated_or_corrupted_hello_keeps_no_slot_and_opens_no_connection() -> None:
    async def scenario() -> None:
        b = await start_node_with_raw_peer()
        size = len(await (await RawPeer(NodeInstance("c", 1), "b").connect(b.addresses["b"])).hello_frame())
        for offset in range(size):
            raw_peer = await RawPeer(NodeInstance("c", 1), "b").connect(b.addresses["b"])
            hello = await raw_peer.hello_frame()
            raw_peer.writer.write(hello[:offset])
            raw_peer.abort()
            raw_peer = await RawPeer(NodeInstance("c", 1), "b").connect(b.addresses["b"])
            hello = bytearray(await raw_peer.hello_frame())
            hello[offset] ^= 1
            raw_peer.writer.write(hello)
            raw_peer.writer.write_eof()
            while frame := await raw_peer.read_frame():
                with pytest.raises(HandshakeError):
                    raw_peer.handshake.receive_reply(frame)
        assert not b.events
        await poll_until(lambda: b.transport.stats().unauthenticated <= 1)  # that of the first peer
        await RawPeer(NodeInstance("c", 1), "b").dial(b.addresses["b"])
        await b.wait_until(b.connected_count)

    run(scenario())


def test_a_truncated_or_corrupted_frame_is_not_delivered_and_other_messages_are() -> None:
    async def scenario() -> None:
        b = await start_node_with_raw_peer()
        a = TransportNode("a", b.addresses)
        await a.start()
        a.send("b", 0)
        await b.wait_until_received(0)
        raw_peer = await RawPeer(NodeInstance("c", 1), "b").dial(b.addresses["b"])
        size = len(raw_peer.seal(1))
        for offset in range(size):
            for flipped in (False, True):
                raw_peer = await RawPeer(NodeInstance("c", 1), "b").dial(b.addresses["b"])
                frame = bytearray(raw_peer.seal(1))
                if flipped:
                    frame[offset] ^= 1
                else:
                    del frame[offset:]
                raw_peer.writer.write(frame)
                raw_peer.writer.write_eof()
                assert not await raw_peer.read_frame()
            a.send("b", 0)
        await b.wait_until(lambda: len(b.received) == size + 1)
        assert set(b.received_numbers) == {0} and not a.disconnected_count()
        assert b.disconnected_count() == 2 * size + 1  # the first connection was replaced

    run(scenario())


def test_a_replayed_session_opens_no_connection() -> None:
    async def scenario() -> None:
        a, b = await start_nodes("a", "b")
        relay = Relay(a.addresses["b"])
        a.addresses["b"] = await relay.start()
        a.send("b", 1)
        await b.wait_until_received(1)
        recorded = bytes(relay.connections[0].passed["to"])
        raw_peer = await RawPeer(NodeInstance("a", 1), "b").connect(relay.target)
        raw_peer.writer.write(recorded)
        assert await raw_peer.read_frame()  # a greeting with a new nonce
        with pytest.raises(HandshakeError, match="proof"):
            raw_peer.handshake.receive_reply(await raw_peer.read_frame())
        assert b.received_numbers == [1] and b.events == ["up a 1"]
        await relay.close()

    run(scenario())


@pytest.mark.parametrize(
    ("body", "reason"),
    [
        (msgspec.msgpack.encode((9, NumberedMessage(1))), "part 9 is not known"),
        (b"\x93\1\2\3", "not understood"),
        (msgspec.msgpack.encode((1, {"kind": "word", "number": 1, "more": 1})), "not understood"),
        (msgspec.msgpack.encode((1, NumberedMessage(1))) + b"!", "not understood"),
    ],
)
def test_an_invalid_body_ends_the_connection(body: bytes, reason: str) -> None:
    async def scenario() -> None:
        b = await start_node_with_raw_peer()
        raw_peer = await RawPeer(NodeInstance("c", 1), "b").dial(b.addresses["b"])
        raw_peer.writer.write(raw_peer.sealer.seal(body))
        assert not await raw_peer.read_frame()
        assert reason in b.events[-1] and not b.received

    run(scenario())


@pytest.mark.parametrize("is_earlier_session", [False, True])
def test_a_repeated_frame_is_not_delivered_again(is_earlier_session: bool) -> None:
    async def scenario() -> None:
        b = await start_node_with_raw_peer()
        raw_peer = await RawPeer(NodeInstance("c", 1), "b").dial(b.addresses["b"])
        frame = raw_peer.seal(1)
        raw_peer.writer.write(frame)
        await b.wait_until_received(1)
        if is_earlier_session:
            raw_peer = await RawPeer(NodeInstance("c", 1), "b").dial(b.addresses["b"])
        raw_peer.writer.write(frame)
        assert not await raw_peer.read_frame()
        assert b.received_numbers == [1] and "its tag is wrong" in b.events[-1]

    run(scenario())


def test_an_excessive_length_ends_the_connection_before_and_after_the_handshake() -> None:
    async def scenario() -> None:
        b = await start_node_with_raw_peer()
        raw_peer = await RawPeer(NodeInstance("c", 1), "b").connect(b.addresses["b"])
        raw_peer.writer.write(MAX_LENGTH_PREFIX)
        await raw_peer.read_frame()
        with pytest.raises(HandshakeError, match="4294967295 bytes"):
            raw_peer.handshake.receive_reply(await raw_peer.read_frame())
        raw_peer = await RawPeer(NodeInstance("c", 1), "b").dial(b.addresses["b"])
        raw_peer.writer.write(MAX_LENGTH_PREFIX)
        assert not await raw_peer.read_frame()
        assert "4294967295 bytes" in b.events[-1]

    run(scenario())


def test_an_acknowledgement_of_unsent_messages_ends_the_connection() -> None:
    async def scenario() -> None:
        b = await start_node_with_raw_peer()
        raw_peer = await RawPeer(NodeInstance("c", 1), "b").dial(b.addresses["b"])
        raw_peer.writer.write(raw_peer.sealer.seal(raw_peer.codec.encode(CONTROL_PROTOCOL, Heartbeat(1))))
        assert not await raw_peer.read_frame()
        assert "1 messages acknowledged" in b.events[-1]

    run(scenario())


def test_a_peer_that_sends_and_never_reads_is_bounded_and_disconnected() -> None:
    async def scenario() -> None:
        a, b = await start_nodes("a", "b")
        relay = Relay(a.addresses["a"])
        c = TransportNode("c", a.addresses)
        await c.start()
        address = c.addresses["a"]
        c.addresses["a"] = await relay.start()
        c.send("a", 1)
        await a.wait_until_received(1)
        c.addresses["a"] = address
        relay.stall("back")
        for number in range(3000):
            a.send("c", number, "x" * 10_000)
        connection = a.transport.registry.peers["c"].connection
        assert connection and connection.writing_paused and connection.transport
        assert (
            connection.transport.get_write_buffer_size()
            <= a.transport.settings.max_write_buffer_bytes + 20_000
        )
        assert a.transport.stats().peers["c"].queued_bytes <= 2 << 20
        for number in range(2, 8):  # some bytes still leave before the first heartbeat
            c.send("a", number)
            await a.wait_until_received(number)
            a.send("b", number)
            await b.wait_until_received(number)
            assert not a.disconnected_count()
            b.transport.registry.send_heartbeats()
            a.transport.registry.send_heartbeats()
        assert a.events[-1] == "down c: it does not read what it is sent" and not b.disconnected_count()
        await relay.close()

    run(scenario())


def test_a_half_open_connection_is_detected_and_dialled_again_with_an_empty_queue() -> None:
    async def scenario() -> None:
        a, b, c = await start_nodes("a", "b", "c")
        relay = Relay(a.addresses["b"])
        a.addresses["b"] = await relay.start()
        a.send("b", 1)
        await b.wait_until_received(1)
        for _ in range(10):
            b.transport.registry.send_heartbeats()  # acknowledges, so silence is no fault
            await poll_until(
                lambda: (
                    a.transport.registry.peers["b"].connection
                    and a.transport.registry.peers["b"].connection.heartbeat.acknowledged_by_peer
                )
            )
            a.transport.registry.send_heartbeats()
        assert not a.disconnected_count()
        relay.stall()
        a.send("b", 2)
        for number in range(4):
            a.send("c", number)
            await c.wait_until_received(number)
            c.transport.registry.send_heartbeats()
            assert not a.disconnected_count()
            a.transport.registry.send_heartbeats()
        assert a.events[-1] == "down b: nothing heard while something was unacknowledged"
        relay.clear_faults()
        await a.wait_until(lambda: a.events.count("up b 1") == 2)
        a.send("b", 3)
        await b.wait_until_received(3)
        assert c.disconnected_count() == 0 and a.disconnected_count() == 1

    run(scenario())


def test_a_handshake_without_answer_times_out_and_is_retried_with_the_queue_kept() -> None:
    async def scenario() -> None:
        a, b = await start_nodes(
            "a", "b", settings=TransportSettings(heartbeat_interval_s=3600, handshake_timeout_s=0.1)
        )
        relay = Relay(a.addresses["b"])
        relay.hold()
        a.addresses["b"] = await relay.start()
        a.send("b", 1)
        await relay.until(lambda: len(relay.connections) == 2)
        assert a.transport.stats().peers["b"].close_reason == "not proven in time"
        relay.clear_faults()
        await b.wait_until_received(1)
        await relay.close()

    run(scenario())


@pytest.mark.parametrize("fault", ["drop", "lose", "cut_at", "flip_at"])
def test_a_broken_connection_is_dialled_again_and_carries_later_messages(fault: str) -> None:
    async def scenario() -> None:
        a, b = await start_nodes("a", "b")
        relay = Relay(a.addresses["b"])
        a.addresses["b"] = await relay.start()
        a.send("b", 1)
        await b.wait_until_received(1)
        match fault:
            case "drop":
                relay.drop()
            case "lose":  # one way only: b notices nothing
                relay.discard("to")
                passed = relay.connections[0].received_bytes["to"]
                a.send("b", 2)
                await poll_until(lambda: relay.connections[0].received_bytes["to"] > passed)
                for _ in range(5):
                    a.transport.registry.send_heartbeats()
            case "cut_at":
                relay.cut_at(relay.connections[0].received_bytes["to"] + 5)
                a.send("b", 2)
            case _:
                relay.flip_at(relay.connections[0].received_bytes["to"] + 5)
                a.send("b", 2)
        await a.wait_until(a.disconnected_count)
        relay.clear_faults()
        await a.wait_until(lambda: a.connected_count() == 2)
        a.send("b", 3)
        await b.wait_until_received(3)
        assert b.received_numbers == [1, 3]
        await relay.close()

    run(scenario())


def test_a_slow_connection_is_not_aborted() -> None:
    async def scenario() -> None:
        a, b = await start_nodes("a", "b")
        relay = Relay(a.addresses["b"])
        relay.delay(0.01)
        a.addresses["b"] = await relay.start()
        for number in range(10):
            a.send("b", number)
            await b.wait_until_received(number)
            b.transport.registry.send_heartbeats()
            a.transport.registry.send_heartbeats()
        assert not a.disconnected_count() and not b.disconnected_count()
        await relay.close()

    run(scenario())

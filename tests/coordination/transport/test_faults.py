"""Links over a way that fails, and with peers that do wrong: it costs that link, and other links go on."""

import msgspec
import pytest

from molereach.coordination.interface.identifiers import NodeInstance
from molereach.coordination.transport.errors import HandshakeError
from molereach.coordination.transport.messages import CONTROL_PROTOCOL, Heartbeat
from molereach.coordination.transport.settings import TransportSettings
from rig.council.relay import Relay
from tests.coordination.transport.nodes import HOST, RawPeer, TransportNode, Word, spin, start_nodes
from tests.sockets import run

GIANT = b"\xff\xff\xff\xff"


async def alone(name: str = "b") -> TransportNode:
    """A front door that knows a peer "c", which is the test."""
    (door,) = await start_nodes(name)
    door.addresses["c"] = (HOST, 1)
    return door


def test_a_truncated_or_corrupted_hello_keeps_no_slot_and_opens_no_connection() -> None:
    async def job() -> None:
        b = await alone()
        size = len(await (await RawPeer(NodeInstance("c", 1), "b").connect(b.addresses["b"])).hello())
        for place in range(size):
            raw = await RawPeer(NodeInstance("c", 1), "b").connect(b.addresses["b"])
            hello = await raw.hello()
            raw.writer.write(hello[:place])
            raw.drop()
            raw = await RawPeer(NodeInstance("c", 1), "b").connect(b.addresses["b"])
            hello = bytearray(await raw.hello())
            hello[place] ^= 1
            raw.writer.write(hello)
            raw.writer.write_eof()
            while frame := await raw.frame():
                with pytest.raises(HandshakeError):
                    raw.handshake.receive_reply(frame)
        assert not b.events
        await spin(lambda: b.transport.stats().unauthenticated <= 1)  # the first
        await RawPeer(NodeInstance("c", 1), "b").dial(b.addresses["b"])
        await b.until(b.ups)

    run(job())


def test_a_truncated_or_corrupted_frame_is_not_delivered_and_other_messages_are() -> None:
    async def job() -> None:
        b = await alone()
        a = TransportNode("a", b.addresses)
        await a.start()
        a.say("b", 0)
        await b.until_received(0)
        raw = await RawPeer(NodeInstance("c", 1), "b").dial(b.addresses["b"])
        size = len(raw.sealed(1))
        for place in range(size):
            for flipped in (False, True):
                raw = await RawPeer(NodeInstance("c", 1), "b").dial(b.addresses["b"])
                frame = bytearray(raw.sealed(1))
                if flipped:
                    frame[place] ^= 1
                else:
                    del frame[place:]
                raw.writer.write(frame)
                raw.writer.write_eof()
                assert not await raw.frame()
            a.say("b", 0)
        await b.until(lambda: len(b.received) == size + 1)
        assert set(b.numbers) == {0} and not a.downs()
        assert b.downs() == 2 * size + 1  # the first was replaced

    run(job())


def test_a_replayed_session_opens_no_connection() -> None:
    async def job() -> None:
        a, b = await start_nodes("a", "b")
        relay = Relay(a.addresses["b"])
        a.addresses["b"] = await relay.start()
        a.say("b", 1)
        await b.until_received(1)
        recorded = bytes(relay.connections[0].passed["to"])
        raw = await RawPeer(NodeInstance("a", 1), "b").connect(relay.target)
        raw.writer.write(recorded)
        assert await raw.frame()  # the greeting, with another nonce
        with pytest.raises(HandshakeError, match="proof"):
            raw.handshake.receive_reply(await raw.frame())
        assert b.numbers == [1] and b.events == ["up a 1"]
        await relay.close()

    run(job())


@pytest.mark.parametrize(
    ("body", "reason"),
    [
        (msgspec.msgpack.encode((9, Word(1))), "part 9 is not known"),
        (b"\x93\1\2\3", "not understood"),
        (msgspec.msgpack.encode((1, {"kind": "word", "number": 1, "more": 1})), "not understood"),
        (msgspec.msgpack.encode((1, Word(1))) + b"!", "not understood"),
    ],
)
def test_an_invalid_body_ends_the_connection(body: bytes, reason: str) -> None:
    async def job() -> None:
        b = await alone()
        raw = await RawPeer(NodeInstance("c", 1), "b").dial(b.addresses["b"])
        raw.writer.write(raw.sealer.seal(body))
        assert not await raw.frame()
        assert reason in b.events[-1] and not b.received

    run(job())


@pytest.mark.parametrize("earlier", [False, True])
def test_a_repeated_frame_is_not_delivered_again(earlier: bool) -> None:
    async def job() -> None:
        b = await alone()
        raw = await RawPeer(NodeInstance("c", 1), "b").dial(b.addresses["b"])
        frame = raw.sealed(1)
        raw.writer.write(frame)
        await b.until_received(1)
        if earlier:
            raw = await RawPeer(NodeInstance("c", 1), "b").dial(b.addresses["b"])
        raw.writer.write(frame)
        assert not await raw.frame()
        assert b.numbers == [1] and "its tag is wrong" in b.events[-1]

    run(job())


def test_an_excessive_length_ends_the_connection_before_and_after_the_handshake() -> None:
    async def job() -> None:
        b = await alone()
        raw = await RawPeer(NodeInstance("c", 1), "b").connect(b.addresses["b"])
        raw.writer.write(GIANT)
        await raw.frame()
        with pytest.raises(HandshakeError, match="4294967295 bytes"):
            raw.handshake.receive_reply(await raw.frame())
        raw = await RawPeer(NodeInstance("c", 1), "b").dial(b.addresses["b"])
        raw.writer.write(GIANT)
        assert not await raw.frame()
        assert "4294967295 bytes" in b.events[-1]

    run(job())


def test_an_acknowledgement_of_unsent_messages_ends_the_connection() -> None:
    async def job() -> None:
        b = await alone()
        raw = await RawPeer(NodeInstance("c", 1), "b").dial(b.addresses["b"])
        raw.writer.write(raw.sealer.seal(raw.words.encode(CONTROL_PROTOCOL, Heartbeat(1))))
        assert not await raw.frame()
        assert "1 messages acknowledged" in b.events[-1]

    run(job())


def test_a_peer_that_sends_and_never_reads_is_bounded_and_disconnected() -> None:
    async def job() -> None:
        a, b = await start_nodes("a", "b")
        relay = Relay(a.addresses["a"])
        c = TransportNode("c", a.addresses)
        await c.start()
        there = c.addresses["a"]
        c.addresses["a"] = await relay.start()
        c.say("a", 1)
        await a.until_received(1)
        c.addresses["a"] = there
        relay.stall("back")
        for number in range(3000):
            a.say("c", number, "x" * 10_000)
        link = a.transport.registry.peers["c"].connection
        assert link and link.writing_paused and link.transport
        assert link.transport.get_write_buffer_size() <= a.transport.settings.max_write_buffer_bytes + 20_000
        assert a.transport.stats().peers["c"].queued_bytes <= 2 << 20
        for beat in range(2, 8):  # in the first some bytes have still left
            c.say("a", beat)
            await a.until_received(beat)
            a.say("b", beat)
            await b.until_received(beat)
            assert not a.downs()
            b.transport.registry.send_heartbeats()
            a.transport.registry.send_heartbeats()
        assert a.events[-1] == "down c: it does not read what it is sent" and not b.downs()
        await relay.close()

    run(job())


def test_a_half_open_connection_is_detected_and_dialled_again_with_an_empty_queue() -> None:
    async def job() -> None:
        a, b, c = await start_nodes("a", "b", "c")
        relay = Relay(a.addresses["b"])
        a.addresses["b"] = await relay.start()
        a.say("b", 1)
        await b.until_received(1)
        for _ in range(10):
            b.transport.registry.send_heartbeats()  # it is acknowledged: silence is no fault
            await spin(
                lambda: (
                    a.transport.registry.peers["b"].connection
                    and a.transport.registry.peers["b"].connection.heartbeat.acknowledged
                )
            )
            a.transport.registry.send_heartbeats()
        assert not a.downs()
        relay.stall()
        a.say("b", 2)
        for beat in range(4):
            a.say("c", beat)
            await c.until_received(beat)
            c.transport.registry.send_heartbeats()
            assert not a.downs()
            a.transport.registry.send_heartbeats()
        assert a.events[-1] == "down b: nothing heard while something was unacknowledged"
        relay.clear_faults()
        await a.until(lambda: a.events.count("up b 1") == 2)
        a.say("b", 3)
        await b.until_received(3)
        assert c.downs() == 0 and a.downs() == 1

    run(job())


def test_a_handshake_without_answer_times_out_and_is_retried_with_the_queue_kept() -> None:
    async def job() -> None:
        a, b = await start_nodes(
            "a", "b", settings=TransportSettings(heartbeat_interval_s=3600, handshake_timeout_s=0.1)
        )
        relay = Relay(a.addresses["b"])
        relay.hold()
        a.addresses["b"] = await relay.start()
        a.say("b", 1)
        await relay.until(lambda: len(relay.connections) == 2)
        assert a.transport.stats().peers["b"].close_reason == "not proven in time"
        relay.clear_faults()
        await b.until_received(1)
        await relay.close()

    run(job())


@pytest.mark.parametrize("fault", ["drop", "lose", "cut_at", "flip_at"])
def test_a_broken_connection_is_dialled_again_and_carries_later_messages(fault: str) -> None:
    async def job() -> None:
        a, b = await start_nodes("a", "b")
        relay = Relay(a.addresses["b"])
        a.addresses["b"] = await relay.start()
        a.say("b", 1)
        await b.until_received(1)
        match fault:
            case "drop":
                relay.drop()
            case "lose":  # one way only: b hears nothing of it
                relay.discard("to")
                passed = relay.connections[0].received_bytes["to"]
                a.say("b", 2)
                await spin(lambda: relay.connections[0].received_bytes["to"] > passed)
                for _ in range(5):
                    a.transport.registry.send_heartbeats()
            case "cut_at":
                relay.cut_at(relay.connections[0].received_bytes["to"] + 5)
                a.say("b", 2)
            case _:
                relay.flip_at(relay.connections[0].received_bytes["to"] + 5)
                a.say("b", 2)
        await a.until(a.downs)
        relay.clear_faults()
        await a.until(lambda: a.ups() == 2)
        a.say("b", 3)
        await b.until_received(3)
        assert b.numbers == [1, 3]
        await relay.close()

    run(job())


def test_a_slow_connection_is_not_aborted() -> None:
    async def job() -> None:
        a, b = await start_nodes("a", "b")
        relay = Relay(a.addresses["b"])
        relay.delay(0.01)
        a.addresses["b"] = await relay.start()
        for number in range(10):
            a.say("b", number)
            await b.until_received(number)
            b.transport.registry.send_heartbeats()
            a.transport.registry.send_heartbeats()
        assert not a.downs() and not b.downs()
        await relay.close()

    run(job())

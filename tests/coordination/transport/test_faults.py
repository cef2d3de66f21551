"""Links over a way that fails, and with peers that do wrong: it costs that link, and other links go on."""

import msgspec
import pytest

from molereach.coordination.interface.identifiers import NodeInstance
from molereach.coordination.transport.hello import HelloError
from molereach.coordination.transport.settings import LinkSettings
from molereach.coordination.transport.words import OWN, Beat
from rig.council.relay import Relay
from tests.coordination.transport.doors import HOST, Door, Raw, Word, doors, spin
from tests.sockets import run

GIANT = b"\xff\xff\xff\xff"


async def alone(name: str = "b") -> Door:
    """A front door that knows a peer "c", which is the test."""
    (door,) = await doors(name)
    door.book["c"] = (HOST, 1)
    return door


def test_a_hello_cut_at_each_byte_or_with_each_byte_flipped_takes_no_place_and_opens_nothing() -> None:
    async def job() -> None:
        b = await alone()
        size = len(await (await Raw(NodeInstance("c", 1), "b").connect(b.book["b"])).hello())
        for place in range(size):
            raw = await Raw(NodeInstance("c", 1), "b").connect(b.book["b"])
            hello = await raw.hello()
            raw.writer.write(hello[:place])
            raw.drop()
            raw = await Raw(NodeInstance("c", 1), "b").connect(b.book["b"])
            hello = bytearray(await raw.hello())
            hello[place] ^= 1
            raw.writer.write(hello)
            raw.writer.write_eof()
            while frame := await raw.frame():
                with pytest.raises(HelloError):
                    raw.handshake.ended(frame)
        assert not b.events
        await spin(lambda: b.links.stats().unproven <= 1)  # the first
        await Raw(NodeInstance("c", 1), "b").dial(b.book["b"])
        await b.until(b.ups)

    run(job())


def test_a_frame_cut_at_each_byte_or_with_each_byte_flipped_is_not_heard_and_others_are() -> None:
    async def job() -> None:
        b = await alone()
        a = Door("a", b.book)
        await a.start()
        a.say("b", 0)
        await b.until_heard(0)
        raw = await Raw(NodeInstance("c", 1), "b").dial(b.book["b"])
        size = len(raw.sealed(1))
        for place in range(size):
            for flipped in (False, True):
                raw = await Raw(NodeInstance("c", 1), "b").dial(b.book["b"])
                frame = bytearray(raw.sealed(1))
                if flipped:
                    frame[place] ^= 1
                else:
                    del frame[place:]
                raw.writer.write(frame)
                raw.writer.write_eof()
                assert not await raw.frame()
            a.say("b", 0)
        await b.until(lambda: len(b.heard) == size + 1)
        assert set(b.numbers) == {0} and not a.downs()
        assert b.downs() == 2 * size + 1  # the first was replaced

    run(job())


def test_what_was_recorded_of_an_earlier_session_opens_nothing() -> None:
    async def job() -> None:
        a, b = await doors("a", "b")
        relay = Relay(a.book["b"])
        a.book["b"] = await relay.start()
        a.say("b", 1)
        await b.until_heard(1)
        recorded = bytes(relay.connections[0].passed["to"])
        raw = await Raw(NodeInstance("a", 1), "b").connect(relay.target)
        raw.writer.write(recorded)
        assert await raw.frame()  # the greeting, with another nonce
        with pytest.raises(HelloError, match="proof"):
            raw.handshake.ended(await raw.frame())
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
def test_a_body_that_says_nothing_costs_the_link(body: bytes, reason: str) -> None:
    async def job() -> None:
        b = await alone()
        raw = await Raw(NodeInstance("c", 1), "b").dial(b.book["b"])
        raw.writer.write(raw.sealer.seal(body))
        assert not await raw.frame()
        assert reason in b.events[-1] and not b.heard

    run(job())


@pytest.mark.parametrize("earlier", [False, True])
def test_a_frame_that_is_said_again_is_not_heard_again(earlier: bool) -> None:
    async def job() -> None:
        b = await alone()
        raw = await Raw(NodeInstance("c", 1), "b").dial(b.book["b"])
        frame = raw.sealed(1)
        raw.writer.write(frame)
        await b.until_heard(1)
        if earlier:
            raw = await Raw(NodeInstance("c", 1), "b").dial(b.book["b"])
        raw.writer.write(frame)
        assert not await raw.frame()
        assert b.numbers == [1] and "its tag is wrong" in b.events[-1]

    run(job())


def test_a_giant_length_ends_the_connection_before_and_after_the_proof() -> None:
    async def job() -> None:
        b = await alone()
        raw = await Raw(NodeInstance("c", 1), "b").connect(b.book["b"])
        raw.writer.write(GIANT)
        await raw.frame()
        with pytest.raises(HelloError, match="4294967295 bytes"):
            raw.handshake.ended(await raw.frame())
        raw = await Raw(NodeInstance("c", 1), "b").dial(b.book["b"])
        raw.writer.write(GIANT)
        assert not await raw.frame()
        assert "4294967295 bytes" in b.events[-1]

    run(job())


def test_a_peer_that_acknowledges_what_was_never_said_loses_its_link() -> None:
    async def job() -> None:
        b = await alone()
        raw = await Raw(NodeInstance("c", 1), "b").dial(b.book["b"])
        raw.writer.write(raw.sealer.seal(raw.words.pack(OWN, Beat(1))))
        assert not await raw.frame()
        assert "1 messages acknowledged" in b.events[-1]

    run(job())


def test_a_peer_that_speaks_and_never_reads_is_bounded_and_cut_while_others_are_served() -> None:
    async def job() -> None:
        a, b = await doors("a", "b")
        relay = Relay(a.book["a"])
        c = Door("c", a.book)
        await c.start()
        there = c.book["a"]
        c.book["a"] = await relay.start()
        c.say("a", 1)
        await a.until_heard(1)
        c.book["a"] = there
        relay.stall("back")
        for number in range(3000):
            a.say("c", number, "x" * 10_000)
        link = a.links.board.peers["c"].link
        assert link and link.paused and link.transport
        assert link.transport.get_write_buffer_size() <= a.links.settings.most_unread_bytes + 20_000
        assert a.links.stats().peers["c"].queued_bytes <= 2 << 20
        for beat in range(2, 8):  # in the first some bytes have still left
            c.say("a", beat)
            await a.until_heard(beat)
            a.say("b", beat)
            await b.until_heard(beat)
            assert not a.downs()
            b.links.board.beat()
            a.links.board.beat()
        assert a.events[-1] == "down c: it does not read what it is sent" and not b.downs()
        await relay.close()

    run(job())


def test_a_half_open_way_is_found_and_dialled_anew_with_nothing_waiting_and_others_go_on() -> None:
    async def job() -> None:
        a, b, c = await doors("a", "b", "c")
        relay = Relay(a.book["b"])
        a.book["b"] = await relay.start()
        a.say("b", 1)
        await b.until_heard(1)
        for _ in range(10):
            b.links.board.beat()  # it is acknowledged: silence is no fault
            await spin(lambda: a.links.board.peers["b"].link and a.links.board.peers["b"].link.pulse.acked)
            a.links.board.beat()
        assert not a.downs()
        relay.stall()
        a.say("b", 2)
        for beat in range(4):
            a.say("c", beat)
            await c.until_heard(beat)
            c.links.board.beat()
            assert not a.downs()
            a.links.board.beat()
        assert a.events[-1] == "down b: nothing heard while something was unacknowledged"
        relay.pass_()
        await a.until(lambda: a.events.count("up b 1") == 2)
        a.say("b", 3)
        await b.until_heard(3)
        assert c.downs() == 0 and a.downs() == 1

    run(job())


def test_a_way_that_accepts_and_holds_is_given_up_and_tried_again_and_what_waits_is_kept() -> None:
    async def job() -> None:
        a, b = await doors("a", "b", settings=LinkSettings(beat_s=3600, hello_s=0.1))
        relay = Relay(a.book["b"])
        relay.hold()
        a.book["b"] = await relay.start()
        a.say("b", 1)
        await relay.until(lambda: len(relay.connections) == 2)
        assert a.links.stats().peers["b"].reason == "not proven in time"
        relay.pass_()
        await b.until_heard(1)
        await relay.close()

    run(job())


@pytest.mark.parametrize("fault", ["drop", "lose", "cut_at", "flip_at"])
def test_a_link_that_breaks_is_dialled_again_and_says_what_is_said_from_then_on(fault: str) -> None:
    async def job() -> None:
        a, b = await doors("a", "b")
        relay = Relay(a.book["b"])
        a.book["b"] = await relay.start()
        a.say("b", 1)
        await b.until_heard(1)
        match fault:
            case "drop":
                relay.drop()
            case "lose":  # one way only: b hears nothing of it
                relay.lose("to")
                passed = relay.connections[0].count["to"]
                a.say("b", 2)
                await spin(lambda: relay.connections[0].count["to"] > passed)
                for _ in range(5):
                    a.links.board.beat()
            case "cut_at":
                relay.cut_at(relay.connections[0].count["to"] + 5)
                a.say("b", 2)
            case _:
                relay.flip_at(relay.connections[0].count["to"] + 5)
                a.say("b", 2)
        await a.until(a.downs)
        relay.pass_()
        await a.until(lambda: a.ups() == 2)
        a.say("b", 3)
        await b.until_heard(3)
        assert b.numbers == [1, 3]
        await relay.close()

    run(job())


def test_a_slow_way_is_not_cut() -> None:
    async def job() -> None:
        a, b = await doors("a", "b")
        relay = Relay(a.book["b"])
        relay.delay(0.01)
        a.book["b"] = await relay.start()
        for number in range(10):
            a.say("b", number)
            await b.until_heard(number)
            b.links.board.beat()
            a.links.board.beat()
        assert not a.downs() and not b.downs()
        await relay.close()

    run(job())

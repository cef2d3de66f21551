"""Links between front doors that do as they should: who is taken, which link stays, what is said to whom."""

import asyncio
import socket

import pytest

from molereach.council.interface import Life, Say
from molereach.council.links.board import BEATS_AT_ONCE, DIALS_AT_ONCE, MOST_LINES
from molereach.council.links.budget import MOST_STEPS
from molereach.council.links.hello import HelloError
from molereach.council.links.queue import DOWN_ROOM
from molereach.council.links.settings import LinkSettings
from molereach.council.links.words import Bye
from rig.council.relay import Relay
from tests.council.links.doors import BY_HAND, HOST, PARTS, Door, Other, Raw, State, Word, doors, spin
from tests.sockets import run


def test_messages_go_both_ways_in_order_over_one_connection() -> None:
    async def job() -> None:
        a, b = await doors("a", "b")
        for number in range(50):
            a.say("b", number, part="log" if number % 2 else "hint")
        await b.until_heard(49)
        for number in range(50):
            b.say("a", number)
        await a.until_heard(49)
        assert a.numbers == b.numbers == list(range(50))
        assert set(b.senders) == {Life("a", 1)} and a.events == ["up b 1"] and b.events == ["up a 1"]
        assert (a.links.stats().accepted, b.links.stats().accepted) == (0, 1)
        assert len(a.links.board.links) == len(b.links.board.links) == 1
        ours, theirs = a.links.stats().peers["b"], b.links.stats().peers["a"]
        assert (ours.bytes_in, ours.bytes_out) == (theirs.bytes_out, theirs.bytes_in)
        b.links.close()
        await a.until(a.downs)
        assert a.events[-1] == "down b: left: closed"
        await spin(lambda: not a.links.board.links and not b.links.board.links)

    run(job())


def test_what_is_for_nobody_here_or_too_long_is_dropped_and_a_part_that_is_not_here_is_our_fault() -> None:
    async def job() -> None:
        a, b = await doors("a", "b")
        a.say("a", 1)
        a.say("x", 1)
        a.say("b", 1, "x" * (1 << 20))
        assert a.links.stats().unsaid == 3 and set(a.links.stats().peers) <= {"b"}
        with pytest.raises(KeyError):
            a.links.say("cake", Say("b", Word(1)))
        a.links.say("log", Say("b", object()))  # cannot be packed: logged
        a.say("b", 2)
        await b.until_heard(2)

    run(job())


@pytest.mark.parametrize("names", [("a", "b"), ("b", "a")])
def test_of_two_dials_that_cross_the_smaller_names_stays_and_nothing_is_lost_or_doubled(
    names: tuple[str, str],
) -> None:
    async def job() -> None:
        a, b = await doors("a", "b")
        relays = {name: Relay(a.book[name]) for name in "ab"}
        for name, relay in relays.items():
            a.book[name] = await relay.start()
            relay.stall("to")
        both = {"a": a, "b": b}
        for name in names:
            both[name].say("b" if name == "a" else "a", 1)
        dials = [a.links.board.peers["b"], b.links.board.peers["a"]]
        await spin(lambda: all(peer.dialling and peer.dialling.said_hello for peer in dials))
        for name in names:  # whichever hello comes first
            relays["b" if name == "a" else "a"].pass_()
        await a.until_heard(1)
        await b.until_heard(1)
        a.say("b", 2)
        b.say("a", 2)
        await a.until_heard(2)
        await b.until_heard(2)
        assert a.numbers == b.numbers == [1, 2]
        assert a.events == ["up b 1"] and b.events == ["up a 1"]
        assert (a.links.stats().accepted, b.links.stats().accepted) == (0, 1)
        await spin(lambda: len(a.links.board.links) == len(b.links.board.links) == 1)
        for relay in relays.values():
            await relay.close()

    run(job())


def test_a_dial_that_has_not_said_hello_gives_way_to_one_that_has() -> None:
    async def job() -> None:
        a, b = await doors("a", "b")
        held = Relay(a.book["b"])
        held.hold()
        a.book["b"] = await held.start()
        a.say("b", 1)
        await held.until(lambda: held.connections)
        b.say("a", 2)
        await b.until_heard(1)
        await a.until_heard(2)
        assert a.links.stats().accepted == 1 and a.events == ["up b 1"]
        assert not a.links.board.peers["b"].dialling and len(a.links.board.links) == 1
        await held.close()

    run(job())


def test_a_peer_that_dials_anew_has_lost_its_link_and_the_new_one_takes_its_place() -> None:
    async def job() -> None:
        (a,) = await doors("a")
        a.book["c"] = (HOST, 1)
        first = await Raw(Life("c", 5), "a").dial(a.book["a"])
        second = await Raw(Life("c", 5), "a").dial(a.book["a"])
        assert not await first.frame()
        a.say("c", 1)
        assert await second.read() == Word(1)
        assert a.events == ["up c 5", "down c: replaced by a newer link", "up c 5"]

    run(job())


def test_a_newer_run_takes_the_place_of_an_older_one_which_is_refused_from_then_on() -> None:
    async def job() -> None:
        a, b = await doors("a", "b")
        a.say("b", 1)
        await b.until_heard(1)
        newer = Door("b", a.book, 2)
        await newer.start()
        newer.say("a", 2)
        await a.until_heard(2)
        assert a.events == ["up b 1", "down b: replaced by a newer link", "up b 2"]
        a.say("b", 3, life=1)
        a.say("b", 4, life=2)
        await newer.until_heard(4)
        assert newer.numbers == [4] and b.numbers == [1] and a.links.stats().peers["b"].dropped == 1
        with pytest.raises(HelloError, match="a newer life of b is connected"):
            await Raw(Life("b", 1), "a").dial(a.book["a"])
        b.links.close()

    run(job())


def test_what_waited_for_an_earlier_run_is_not_said_to_the_next() -> None:
    async def job() -> None:
        a, b = await doors("a", "b")
        address = a.book.pop("b")
        a.book["b"] = (HOST, 1)
        for number, life in ((1, 7), (2, None), (3, 1)):
            a.say("b", number, life=life)
        a.book["b"] = address
        await b.until_heard(3)
        assert b.numbers == [2, 3] and a.links.stats().peers["b"].dropped == 1

    run(job())


@pytest.mark.parametrize(("me", "to", "key", "reason"), [
    (Life("c", 1), "a", b"o" * 32, "proof"), (Life("a", 2), "a", b"k" * 32, "name of who is asked"),
    (Life("c", 1), "b", b"k" * 32, "a is here, not b"), (Life("x", 1), "a", b"k" * 32, "not of this council"),
])
def test_a_stranger_is_told_why_in_one_line_and_takes_no_place(
    me: Life, to: str, key: bytes, reason: str,
) -> None:
    async def job() -> None:
        (a,) = await doors("a")
        a.book["c"] = (HOST, 1)
        raw = Raw(me, to, key)
        with pytest.raises(HelloError, match=reason):
            await raw.dial(a.book["a"])
        assert not await raw.frame()
        await spin(lambda: not a.links.board.links)
        stats = a.links.stats()
        assert (stats.refused, stats.unproven, a.events) == (1, 0, [])

    run(job())


def test_many_that_are_refused_or_break_their_links_write_few_lines_a_beat(
    caplog: pytest.LogCaptureFixture,
) -> None:
    async def job() -> None:
        (a,) = await doors("a")
        a.book["c"] = (HOST, 1)
        for _ in range(MOST_LINES):
            with pytest.raises(HelloError):
                await Raw(Life("x", 1), "a").dial(a.book["a"])
            raw = await Raw(Life("c", 1), "a").dial(a.book["a"])
            raw.writer.write(bytes(4))
            assert not await raw.frame()
        assert a.downs() == MOST_LINES and len(caplog.records) == MOST_LINES
        a.links.board.beat()
        with pytest.raises(HelloError):
            await Raw(Life("x", 1), "a").dial(a.book["a"])
        assert len(caplog.records) == MOST_LINES + 1

    run(job())


def test_a_key_that_is_none_is_refused() -> None:
    async def job() -> None:
        for key in (b"", b"k" * 15, b"k" * 65):
            with pytest.raises(ValueError, match="key"):
                Door("a", {}, key=key)

    run(job())


def test_a_message_that_is_not_understood_costs_the_link_which_is_dialled_again() -> None:
    async def job() -> None:
        a, b = await doors("a", "b")
        strange = Door("c", a.book, parts={**PARTS, "log": Word | Other})
        await strange.start()
        a.say("b", 1)
        await b.until_heard(1)
        strange.links.say("log", Say("b", Other(1)))
        await strange.until(lambda: strange.ups() == 2)
        strange.say("b", 2)
        a.say("b", 3)
        await b.until_heard(2, 3)
        assert b.events[0] == "up a 1" and b.downs() == 1 and a.downs() == 0
        assert "not understood" in b.events[2]

    run(job())


def test_an_exception_over_a_message_or_an_event_costs_nothing_else() -> None:
    async def job() -> None:
        a, b = await doors("a", "b")
        b.fail = {2}

        def up(life: Life) -> None:
            b.on_up(life)
            raise RuntimeError("as the test wants")

        b.links.board.up = up
        for number in range(5):
            a.say("b", number)
        await b.until_heard(4)
        assert b.numbers == [0, 1, 2, 3, 4] and b.links.stats().failed == 1 and not a.downs()

    run(job())


def test_a_flood_is_taken_in_pieces_with_other_work_between_and_read_no_faster() -> None:
    async def job() -> None:
        (b,) = await doors("b")
        b.book["c"] = (HOST, 1)
        raw = await Raw(Life("c", 1), "b").dial(b.book["b"])
        await b.until(b.ups)
        between, waiting = [], []

        def probe() -> None:
            between.append(len(b.heard) - sum(between))
            waiting.append(sum(len(link.cutter.buffer) for link in b.links.board.links))
            if len(b.heard) < 5000:
                loop.call_soon(probe)
            else:
                b.changed.set()

        loop = asyncio.get_running_loop()
        loop.call_soon(probe)
        raw.writer.write(b"".join(raw.sealed(number, "x" * 1000) for number in range(5000)))
        await b.until(lambda: len(b.heard) == 5000)
        await spin(lambda: sum(between) == 5000)
        assert b.numbers == list(range(5000))
        assert 0 < max(between) <= MOST_STEPS
        assert max(waiting) <= BY_HAND.most_unhandled_bytes + (256 << 10)  # and what the loop reads at once

    run(job())


def test_10000_messages_for_a_dead_peer_stay_within_bounds_and_the_last_ones_reach_it_when_it_lives() -> None:
    async def job() -> None:
        a, c = await doors("a", "c")
        with socket.create_server((HOST, 0)) as taken:
            a.book["b"] = a.book["d"] = taken.getsockname()[:2]
        b = Door("b", a.book)
        for number in range(10_000):
            a.say("b", number, "x" * 100, part="hint")
            a.links.say("log", Say("b", State(number)))
            a.say("d", number, "x" * 100)
            assert a.links.board.peers["b"].outbox.size <= 1 << 16
            assert len(a.links.board.peers["d"].outbox) <= 256
        a.say("c", 1)
        await c.until_heard(1)
        stats = a.links.stats().peers["b"]
        assert stats.queued == 101 and stats.dropped == 9_900
        await spin(lambda: a.links.stats().peers["d"].failures)
        assert a.links.stats().peers["d"].queued == DOWN_ROOM.messages
        await b.start()
        await b.until_heard(9_999)
        await b.until(lambda: len(b.heard) == 101)
        assert b.numbers[:2] == [9_900, 9_901] and b.heard[-1] == State(9_999)

    run(job())


def test_a_peer_that_failed_has_less_room_until_it_is_up_and_is_dialled_for_what_is_too_large() -> None:
    async def job() -> None:
        a, b = await doors("a", "b")
        there = a.book["b"]
        with socket.create_server((HOST, 0)) as taken:
            a.book["b"] = taken.getsockname()[:2]
        a.say("b", 1, "x" * 900_000)
        await spin(lambda: a.links.stats().peers["b"].failures)
        assert a.links.stats().peers["b"].queued == 0
        relay = Relay(there)
        a.book["b"] = await relay.start()
        a.say("b", 2, "x" * 900_000)
        await a.until(a.ups)
        a.say("b", 3, "x" * 900_000)
        relay.stall("to")
        link = a.links.board.peers["b"].link
        while link and not link.paused:
            a.say("b", 0, "x" * 10_000, part="hint")
        for number in range(4, 24):
            a.say("b", number, "x" * 60_000)  # more than would wait for one that failed
        relay.pass_()
        await b.until_heard(23)
        assert [number for number in b.numbers if number] == list(range(3, 24))
        await relay.close()

    run(job())


def test_a_link_with_nothing_to_say_closes_in_order_and_takes_what_was_said_meanwhile() -> None:
    async def job() -> None:
        a, b = await doors("a", "b", settings=LinkSettings(beat_s=3600, most_idle=3))
        a.say("b", 1)
        await b.until_heard(1)
        b.links.board.beat()  # acknowledges
        await spin(lambda: a.links.board.peers["b"].link and a.links.board.peers["b"].link.pulse.acked)
        for _ in range(4):
            a.links.board.beat()
        assert a.events[-1] == "down b: nothing to say"
        b.say("a", 2)  # b has not heard of it
        await b.until(b.downs)
        assert b.events[-1] == "down a: left: nothing to say"
        await a.until_heard(2)
        await spin(lambda: not a.links.board.links and not b.links.board.links)
        a.say("b", 3)
        await b.until_heard(3)
        assert a.numbers == [2] and b.numbers == [1, 3]

    run(job())


def test_unproven_connections_are_few_of_each_source_and_have_little_time() -> None:
    async def job() -> None:
        settings = LinkSettings(beat_s=3600, hello_s=0.1, most_unproven_of_source=2)
        a, b = await doors("a", "b", settings=settings)
        raws = [await Raw(Life("b", 1), "a").connect(a.book["a"]) for _ in range(3)]
        assert not await raws[2].frame()  # turned away at once
        assert a.links.stats().unproven == 2
        for raw in raws[:2]:
            assert await raw.frame() and not await raw.frame()  # greeted, and ended by time
        assert a.links.stats().unproven == 0
        b.say("a", 1)
        await a.until_heard(1)

    run(job())


def test_of_links_that_others_dialled_the_one_least_used_gives_way() -> None:
    async def job() -> None:
        (a,) = await doors("a", settings=LinkSettings(beat_s=3600, most_accepted=2))
        a.book.update({name: (HOST, 1) for name in "cde"})
        c, d = [await Raw(Life(name, 1), "a").dial(a.book["a"]) for name in "cd"]
        await a.until(lambda: a.ups() == 2)
        a.links.board.beat()
        c.writer.write(c.sealed(1))
        await a.until_heard(1)
        a.links.board.beat()
        e = await Raw(Life("e", 1), "a").dial(a.book["a"])
        assert await d.read() == Bye("room for another")
        a.say("c", 2)
        a.say("e", 3)
        assert await e.read() == Word(3) and a.links.stats().accepted == 2

    run(job())


def test_beats_and_dials_of_many_are_spread_over_turns_of_the_loop() -> None:
    async def job() -> None:
        settings = LinkSettings(beat_s=3600, most_unproven=99, most_unproven_of_source=99)
        (a,) = await doors("a", settings=settings)
        names = [f"n{number}" for number in range(BEATS_AT_ONCE + 4)]
        a.book.update({name: (HOST, 1) for name in names})
        raws = [await Raw(Life(name, 1), "a").dial(a.book["a"]) for name in names]
        beaten = lambda: sum(link.pulse.idle > 0 for link in a.links.board.links)  # noqa: E731
        await a.until(lambda: a.ups() == len(names))
        a.links.board.beat()
        a.links.board.beat()
        assert beaten() == BEATS_AT_ONCE
        await spin(lambda: beaten() == len(names))
        for raw in raws:
            raw.drop()
        await a.until(lambda: a.downs() == len(names))
        relay = Relay(a.book["a"])
        relay.hold()
        a.book.update(dict.fromkeys(names, await relay.start()))
        peers = [a.links.board.peers[name] for name in names]
        for peer in peers:
            peer.close()  # ends the wait for another dial
            peer.retry.at_us = 0
            a.say(peer.name, 1)
        assert all(peer.dialling for peer in peers)
        await asyncio.sleep(0)
        assert sum(peer.task is not None for peer in peers) == DIALS_AT_ONCE
        await relay.until(lambda: len(relay.connections) == len(names))
        a.links.close()
        await spin(lambda: not a.links.board.links)
        await relay.close()

    run(job())


def test_a_dial_that_was_given_up_does_not_leave_its_connection() -> None:
    async def job() -> None:
        a, b = await doors("a", "b")
        a.say("b", 1)
        link = a.links.board.peers["b"].dialling
        assert link
        link.lose("given up")
        transport, _ = await asyncio.get_running_loop().create_connection(lambda: link, *a.book["b"])
        assert transport.is_closing() and not a.links.board.links
        await b.until_heard(1)  # by another

    run(job())


def test_who_does_not_close_or_read_when_a_link_ends_is_cut() -> None:
    async def job() -> None:
        settings = LinkSettings(beat_s=3600, hello_s=0.1, most_idle=2)
        (a,) = await doors("a", settings=settings)
        a.book["c"] = (HOST, 1)
        raw = await Raw(Life("c", 1), "a").dial(a.book["a"])
        await a.until(a.ups)
        for _ in range(3):
            a.links.board.beat()
        assert await raw.read() == Bye("nothing to say") and a.links.board.links
        for _ in range(2):
            a.links.board.beat()
        assert not await raw.frame()
        raw = await Raw(Life("c", 1), "a").dial(a.book["a"])
        await a.until(lambda: a.ups() == 2)
        for number in range(3000):
            a.say("c", number, "x" * 10_000)
        a.links.close()
        await spin(lambda: not a.links.board.links)

    run(job())


def test_a_front_door_that_is_forgotten_has_no_link_and_nothing_waiting() -> None:
    async def job() -> None:
        a, b = await doors("a", "b")
        a.say("b", 1)
        await b.until_heard(1)
        a.links.forget("b")
        del a.book["b"]
        await b.until(b.downs)
        a.say("b", 2)
        assert a.links.stats().unsaid == 1 and not a.links.stats().peers

    run(job())

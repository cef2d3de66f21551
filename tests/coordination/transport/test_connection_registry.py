"""Links under load and at their bounds: floods, dead peers, idle links, places and ends."""

import asyncio
import socket

from molereach.coordination.interface.core import SendMessage
from molereach.coordination.interface.identifiers import NodeInstance
from molereach.coordination.transport.budget import MAX_STEPS
from molereach.coordination.transport.connection_registry import HEARTBEATS_PER_TURN
from molereach.coordination.transport.dialer import DIALS_PER_TURN
from molereach.coordination.transport.messages import Goodbye
from molereach.coordination.transport.send_queue import FAILED_PEER_CAPACITY
from molereach.coordination.transport.settings import TransportSettings
from rig.council.relay import Relay
from tests.coordination.transport.nodes import (
    HOST,
    MANUAL_HEARTBEATS,
    MESSAGE_TYPES,
    Other,
    RawPeer,
    State,
    TransportNode,
    Word,
    spin,
    start_nodes,
)
from tests.sockets import run


def test_an_unknown_message_ends_the_connection_which_is_dialled_again() -> None:
    async def job() -> None:
        a, b = await start_nodes("a", "b")
        strange = TransportNode("c", a.addresses, parts={**MESSAGE_TYPES, "log": Word | Other})
        await strange.start()
        a.say("b", 1)
        await b.until_received(1)
        strange.transport.send("log", SendMessage("b", Other(1)))
        await strange.until(lambda: strange.ups() == 2)
        strange.say("b", 2)
        a.say("b", 3)
        await b.until_received(2, 3)
        assert b.events[0] == "up a 1" and b.downs() == 1 and a.downs() == 0
        assert "not understood" in b.events[2]

    run(job())


def test_an_exception_of_a_handler_has_no_other_effect() -> None:
    async def job() -> None:
        a, b = await start_nodes("a", "b")
        b.fail = {2}

        def up(life: NodeInstance) -> None:
            b.on_up(life)
            raise RuntimeError("as the test wants")

        b.transport.registry.on_peer_connected = up
        for number in range(5):
            a.say("b", number)
        await b.until_received(4)
        assert b.numbers == [0, 1, 2, 3, 4] and b.transport.stats().handler_failures == 1 and not a.downs()

    run(job())


def test_a_flood_is_processed_in_bounded_turns_and_read_no_faster() -> None:
    async def job() -> None:
        (b,) = await start_nodes("b")
        b.addresses["c"] = (HOST, 1)
        raw = await RawPeer(NodeInstance("c", 1), "b").dial(b.addresses["b"])
        await b.until(b.ups)
        between, waiting = [], []

        def probe() -> None:
            between.append(len(b.received) - sum(between))
            waiting.append(sum(len(link.splitter.buffer) for link in b.transport.registry.connections))
            if len(b.received) < 5000:
                loop.call_soon(probe)
            else:
                b.changed.set()

        loop = asyncio.get_running_loop()
        loop.call_soon(probe)
        raw.writer.write(b"".join(raw.sealed(number, "x" * 1000) for number in range(5000)))
        await b.until(lambda: len(b.received) == 5000)
        await spin(lambda: sum(between) == 5000)
        assert b.numbers == list(range(5000))
        assert 0 < max(between) <= MAX_STEPS
        assert max(waiting) <= MANUAL_HEARTBEATS.max_read_buffer_bytes + (
            256 << 10
        )  # and what the loop reads at once

    run(job())


def test_10000_messages_for_a_dead_peer_stay_within_limits_and_the_last_ones_arrive_later() -> None:
    async def job() -> None:
        a, c = await start_nodes("a", "c")
        with socket.create_server((HOST, 0)) as taken:
            a.addresses["b"] = a.addresses["d"] = taken.getsockname()[:2]
        b = TransportNode("b", a.addresses)
        for number in range(10_000):
            a.say("b", number, "x" * 100, part="hint")
            a.transport.send("log", SendMessage("b", State(number)))
            a.say("d", number, "x" * 100)
            assert a.transport.registry.peers["b"].send_queue.size <= 1 << 16
            assert len(a.transport.registry.peers["d"].send_queue) <= 256
        a.say("c", 1)
        await c.until_received(1)
        stats = a.transport.stats().peers["b"]
        assert stats.queued_messages == 101 and stats.dropped == 9_900
        await spin(lambda: a.transport.stats().peers["d"].consecutive_failures)
        assert a.transport.stats().peers["d"].queued_messages == FAILED_PEER_CAPACITY.max_messages
        await b.start()
        await b.until_received(9_999)
        await b.until(lambda: len(b.received) == 101)
        assert b.numbers[:2] == [9_900, 9_901] and b.received[-1] == State(9_999)

    run(job())


def test_a_failed_peer_has_less_capacity_and_is_dialled_for_a_message_beyond_it() -> None:
    async def job() -> None:
        a, b = await start_nodes("a", "b")
        there = a.addresses["b"]
        with socket.create_server((HOST, 0)) as taken:
            a.addresses["b"] = taken.getsockname()[:2]
        a.say("b", 1, "x" * 900_000)
        await spin(lambda: a.transport.stats().peers["b"].consecutive_failures)
        assert a.transport.stats().peers["b"].queued_messages == 0
        relay = Relay(there)
        a.addresses["b"] = await relay.start()
        a.say("b", 2, "x" * 900_000)
        await a.until(a.ups)
        a.say("b", 3, "x" * 900_000)
        relay.stall("to")
        link = a.transport.registry.peers["b"].connection
        while link and not link.writing_paused:
            a.say("b", 0, "x" * 10_000, part="hint")
        for number in range(4, 24):
            a.say("b", number, "x" * 60_000)  # more than would wait for one that failed
        relay.clear_faults()
        await b.until_received(23)
        assert [number for number in b.numbers if number] == list(range(3, 24))
        await relay.close()

    run(job())


def test_an_idle_connection_closes_in_order_and_delivers_what_was_sent_meanwhile() -> None:
    async def job() -> None:
        a, b = await start_nodes(
            "a", "b", settings=TransportSettings(heartbeat_interval_s=3600, max_idle_heartbeats=3)
        )
        a.say("b", 1)
        await b.until_received(1)
        b.transport.registry.send_heartbeats()  # acknowledges
        await spin(
            lambda: (
                a.transport.registry.peers["b"].connection
                and a.transport.registry.peers["b"].connection.heartbeat.acknowledged
            )
        )
        for _ in range(4):
            a.transport.registry.send_heartbeats()
        assert a.events[-1] == "down b: nothing to say"
        b.say("a", 2)  # b has not heard of it
        await b.until(b.downs)
        assert b.events[-1] == "down a: left: nothing to say"
        await a.until_received(2)
        await spin(lambda: not a.transport.registry.connections and not b.transport.registry.connections)
        a.say("b", 3)
        await b.until_received(3)
        assert a.numbers == [2] and b.numbers == [1, 3]

    run(job())


def test_unauthenticated_connections_are_limited_per_source_and_in_time() -> None:
    async def job() -> None:
        settings = TransportSettings(
            heartbeat_interval_s=3600, handshake_timeout_s=0.1, max_unauthenticated_per_source=2
        )
        a, b = await start_nodes("a", "b", settings=settings)
        raws = [await RawPeer(NodeInstance("b", 1), "a").connect(a.addresses["a"]) for _ in range(3)]
        assert not await raws[2].frame()  # turned away at once
        assert a.transport.stats().unauthenticated == 2
        for raw in raws[:2]:
            assert await raw.frame() and not await raw.frame()  # greeted, and ended by time
        assert a.transport.stats().unauthenticated == 0
        b.say("a", 1)
        await a.until_received(1)

    run(job())


def test_at_the_limit_the_accepted_connection_idle_for_longest_is_closed() -> None:
    async def job() -> None:
        (a,) = await start_nodes("a", settings=TransportSettings(heartbeat_interval_s=3600, max_accepted=2))
        a.addresses.update({name: (HOST, 1) for name in "cde"})
        c, d = [await RawPeer(NodeInstance(name, 1), "a").dial(a.addresses["a"]) for name in "cd"]
        await a.until(lambda: a.ups() == 2)
        a.transport.registry.send_heartbeats()
        c.writer.write(c.sealed(1))
        await a.until_received(1)
        a.transport.registry.send_heartbeats()
        e = await RawPeer(NodeInstance("e", 1), "a").dial(a.addresses["a"])
        assert await d.read() == Goodbye("room for another")
        a.say("c", 2)
        a.say("e", 3)
        assert await e.read() == Word(3) and a.transport.stats().accepted == 2

    run(job())


def test_heartbeats_and_dials_of_many_peers_take_several_turns_of_the_loop() -> None:
    async def job() -> None:
        settings = TransportSettings(
            heartbeat_interval_s=3600, max_unauthenticated=99, max_unauthenticated_per_source=99
        )
        (a,) = await start_nodes("a", settings=settings)
        names = [f"n{number}" for number in range(HEARTBEATS_PER_TURN + 4)]
        a.addresses.update({name: (HOST, 1) for name in names})
        raws = [await RawPeer(NodeInstance(name, 1), "a").dial(a.addresses["a"]) for name in names]
        beaten = lambda: sum(link.heartbeat.idle_heartbeats > 0 for link in a.transport.registry.connections)  # noqa: E731
        await a.until(lambda: a.ups() == len(names))
        a.transport.registry.send_heartbeats()
        a.transport.registry.send_heartbeats()
        assert beaten() == HEARTBEATS_PER_TURN
        await spin(lambda: beaten() == len(names))
        for raw in raws:
            raw.drop()
        await a.until(lambda: a.downs() == len(names))
        relay = Relay(a.addresses["a"])
        relay.hold()
        a.addresses.update(dict.fromkeys(names, await relay.start()))
        peers = [a.transport.registry.peers[name] for name in names]
        for peer in peers:
            peer.close()  # ends the wait for another dial
            peer.retry.earliest_us = 0
            a.say(peer.name, 1)
        assert all(peer.pending_connection for peer in peers)
        await asyncio.sleep(0)
        assert sum(peer.dial_task is not None for peer in peers) == DIALS_PER_TURN
        await relay.until(lambda: len(relay.connections) == len(names))
        a.transport.close()
        await spin(lambda: not a.transport.registry.connections)
        await relay.close()

    run(job())


def test_a_cancelled_dial_leaves_no_connection() -> None:
    async def job() -> None:
        a, b = await start_nodes("a", "b")
        a.say("b", 1)
        link = a.transport.registry.peers["b"].pending_connection
        assert link
        link.abort("given up")
        transport, _ = await asyncio.get_running_loop().create_connection(lambda: link, *a.addresses["b"])
        assert transport.is_closing() and not a.transport.registry.connections
        await b.until_received(1)  # by another

    run(job())


def test_a_peer_that_does_not_close_or_read_at_the_end_is_aborted() -> None:
    async def job() -> None:
        settings = TransportSettings(
            heartbeat_interval_s=3600, handshake_timeout_s=0.1, max_idle_heartbeats=2
        )
        (a,) = await start_nodes("a", settings=settings)
        a.addresses["c"] = (HOST, 1)
        raw = await RawPeer(NodeInstance("c", 1), "a").dial(a.addresses["a"])
        await a.until(a.ups)
        for _ in range(3):
            a.transport.registry.send_heartbeats()
        assert await raw.read() == Goodbye("nothing to say") and a.transport.registry.connections
        for _ in range(2):
            a.transport.registry.send_heartbeats()
        assert not await raw.frame()
        raw = await RawPeer(NodeInstance("c", 1), "a").dial(a.addresses["a"])
        await a.until(lambda: a.ups() == 2)
        for number in range(3000):
            a.say("c", number, "x" * 10_000)
        a.transport.close()
        await spin(lambda: not a.transport.registry.connections)

    run(job())


def test_a_removed_peer_has_no_connection_and_no_queued_messages() -> None:
    async def job() -> None:
        a, b = await start_nodes("a", "b")
        a.say("b", 1)
        await b.until_received(1)
        a.transport.remove_peer("b")
        del a.addresses["b"]
        await b.until(b.downs)
        a.say("b", 2)
        assert a.transport.stats().undeliverable == 1 and not a.transport.stats().peers

    run(job())

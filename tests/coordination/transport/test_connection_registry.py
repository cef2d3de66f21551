"""Connections under load and at their limits: floods, dead and idle peers, slots and closing."""

import asyncio
import socket

from molereach.coordination.interface.core import SendMessage
from molereach.coordination.interface.identifiers import NodeInstance
from molereach.coordination.transport.budget import MAX_STEPS_PER_TURN
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
    LatestOnlyMessage,
    NumberedMessage,
    RawPeer,
    TransportNode,
    UnknownMessage,
    poll_until,
    start_nodes,
)
from tests.sockets import run


def test_an_unknown_message_ends_the_connection_which_is_dialled_again() -> None:
    async def scenario() -> None:
        a, b = await start_nodes("a", "b")
        incompatible = TransportNode(
            "c", a.addresses, message_types={**MESSAGE_TYPES, "log": NumberedMessage | UnknownMessage}
        )
        await incompatible.start()
        a.send("b", 1)
        await b.wait_until_received(1)
        incompatible.transport.send("log", SendMessage("b", UnknownMessage(1)))
        await incompatible.wait_until(lambda: incompatible.connected_count() == 2)
        incompatible.send("b", 2)
        a.send("b", 3)
        await b.wait_until_received(2, 3)
        assert b.events[0] == "up a 1" and b.disconnected_count() == 1 and a.disconnected_count() == 0
        assert "not understood" in b.events[2]

    run(scenario())


def test_an_exception_of_a_handler_has_no_other_effect() -> None:
    async def scenario() -> None:
        a, b = await start_nodes("a", "b")
        b.failing_numbers = {2}

        def raise_after_connect(instance: NodeInstance) -> None:
            b.on_peer_connected(instance)
            raise RuntimeError("raised by the test")

        b.transport.registry.on_peer_connected = raise_after_connect
        for number in range(5):
            a.send("b", number)
        await b.wait_until_received(4)
        assert (
            b.received_numbers == [0, 1, 2, 3, 4]
            and b.transport.stats().handler_failures == 1
            and not a.disconnected_count()
        )

    run(scenario())


def test_a_flood_is_processed_in_bounded_turns_and_read_no_faster() -> None:
    async def scenario() -> None:
        (b,) = await start_nodes("b")
        b.addresses["c"] = (HOST, 1)
        raw_peer = await RawPeer(NodeInstance("c", 1), "b").dial(b.addresses["b"])
        await b.wait_until(b.connected_count)
        received_per_turn, buffered_bytes = [], []

        def record_turn() -> None:
            received_per_turn.append(len(b.received) - sum(received_per_turn))
            buffered_bytes.append(
                sum(len(connection.splitter.buffer) for connection in b.transport.registry.connections)
            )
            if len(b.received) < 5000:
                loop.call_soon(record_turn)
            else:
                b.changed.set()

        loop = asyncio.get_running_loop()
        loop.call_soon(record_turn)
        raw_peer.writer.write(b"".join(raw_peer.seal(number, "x" * 1000) for number in range(5000)))
        await b.wait_until(lambda: len(b.received) == 5000)
        await poll_until(lambda: sum(received_per_turn) == 5000)
        assert b.received_numbers == list(range(5000))
        assert 0 < max(received_per_turn) <= MAX_STEPS_PER_TURN
        # 256 KB is what the event loop reads at once.
        assert max(buffered_bytes) <= MANUAL_HEARTBEATS.max_read_buffer_bytes + (256 << 10)

    run(scenario())


def test_10000_messages_for_a_dead_peer_stay_within_limits_and_the_last_ones_arrive_later() -> None:
    async def scenario() -> None:
        a, c = await start_nodes("a", "c")
        with socket.create_server((HOST, 0)) as server_socket:
            a.addresses["b"] = a.addresses["d"] = server_socket.getsockname()[:2]
        b = TransportNode("b", a.addresses)
        for number in range(10_000):
            a.send("b", number, "x" * 100, protocol="hint")
            a.transport.send("log", SendMessage("b", LatestOnlyMessage(number)))
            a.send("d", number, "x" * 100)
            assert a.transport.registry.peers["b"].send_queue.size_bytes <= 1 << 16
            assert len(a.transport.registry.peers["d"].send_queue) <= 256
        a.send("c", 1)
        await c.wait_until_received(1)
        stats = a.transport.stats().peers["b"]
        assert stats.queued_messages == 101 and stats.dropped == 9_900
        await poll_until(lambda: a.transport.stats().peers["d"].consecutive_failures)
        assert a.transport.stats().peers["d"].queued_messages == FAILED_PEER_CAPACITY.max_messages
        await b.start()
        await b.wait_until_received(9_999)
        await b.wait_until(lambda: len(b.received) == 101)
        assert b.received_numbers[:2] == [9_900, 9_901] and b.received[-1] == LatestOnlyMessage(9_999)

    run(scenario())


def test_a_failed_peer_has_less_capacity_and_is_dialled_for_a_message_beyond_it() -> None:
    async def scenario() -> None:
        a, b = await start_nodes("a", "b")
        address = a.addresses["b"]
        with socket.create_server((HOST, 0)) as server_socket:
            a.addresses["b"] = server_socket.getsockname()[:2]
        a.send("b", 1, "x" * 900_000)
        await poll_until(lambda: a.transport.stats().peers["b"].consecutive_failures)
        assert a.transport.stats().peers["b"].queued_messages == 0
        relay = Relay(address)
        a.addresses["b"] = await relay.start()
        a.send("b", 2, "x" * 900_000)
        await a.wait_until(a.connected_count)
        a.send("b", 3, "x" * 900_000)
        relay.stall("to")
        connection = a.transport.registry.peers["b"].connection
        while connection and not connection.writing_paused:
            a.send("b", 0, "x" * 10_000, protocol="hint")
        for number in range(4, 24):
            a.send("b", number, "x" * 60_000)  # more than the capacity of a failed peer
        relay.clear_faults()
        await b.wait_until_received(23)
        assert [number for number in b.received_numbers if number] == list(range(3, 24))
        await relay.close()

    run(scenario())


def test_an_idle_connection_closes_in_order_and_delivers_what_was_sent_meanwhile() -> None:
    async def scenario() -> None:
        a, b = await start_nodes(
            "a", "b", settings=TransportSettings(heartbeat_interval_s=3600, max_idle_heartbeats=3)
        )
        a.send("b", 1)
        await b.wait_until_received(1)
        b.transport.registry.send_heartbeats()  # acknowledges the message
        await poll_until(
            lambda: (
                a.transport.registry.peers["b"].connection
                and a.transport.registry.peers["b"].connection.heartbeat.acknowledged_by_peer
            )
        )
        for _ in range(4):
            a.transport.registry.send_heartbeats()
        assert a.events[-1] == "down b: nothing to say"
        b.send("a", 2)  # b has not received the Goodbye yet
        await b.wait_until(b.disconnected_count)
        assert b.events[-1] == "down a: left: nothing to say"
        await a.wait_until_received(2)
        await poll_until(
            lambda: not a.transport.registry.connections and not b.transport.registry.connections
        )
        a.send("b", 3)
        await b.wait_until_received(3)
        assert a.received_numbers == [2] and b.received_numbers == [1, 3]

    run(scenario())


def test_unauthenticated_connections_are_limited_per_source_and_in_time() -> None:
    async def scenario() -> None:
        settings = TransportSettings(
            heartbeat_interval_s=3600, handshake_timeout_s=0.1, max_unauthenticated_per_source=2
        )
        a, b = await start_nodes("a", "b", settings=settings)
        raw_peers = [await RawPeer(NodeInstance("b", 1), "a").connect(a.addresses["a"]) for _ in range(3)]
        assert not await raw_peers[2].read_frame()  # rejected at once
        assert a.transport.stats().unauthenticated == 2
        for raw_peer in raw_peers[:2]:
            # The peer receives the greeting, then the timeout closes the connection.
            assert await raw_peer.read_frame() and not await raw_peer.read_frame()
        assert a.transport.stats().unauthenticated == 0
        b.send("a", 1)
        await a.wait_until_received(1)

    run(scenario())


def test_at_the_limit_the_accepted_connection_idle_for_longest_is_closed() -> None:
    async def scenario() -> None:
        (a,) = await start_nodes("a", settings=TransportSettings(heartbeat_interval_s=3600, max_accepted=2))
        a.addresses.update({name: (HOST, 1) for name in "cde"})
        c, d = [await RawPeer(NodeInstance(name, 1), "a").dial(a.addresses["a"]) for name in "cd"]
        await a.wait_until(lambda: a.connected_count() == 2)
        a.transport.registry.send_heartbeats()
        c.writer.write(c.seal(1))
        await a.wait_until_received(1)
        a.transport.registry.send_heartbeats()
        e = await RawPeer(NodeInstance("e", 1), "a").dial(a.addresses["a"])
        assert await d.read_message() == Goodbye("room for another")
        a.send("c", 2)
        a.send("e", 3)
        assert await e.read_message() == NumberedMessage(3) and a.transport.stats().accepted == 2

    run(scenario())


def test_heartbeats_and_dials_of_many_peers_take_several_turns_of_the_loop() -> None:
    async def scenario() -> None:
        settings = TransportSettings(
            heartbeat_interval_s=3600, max_unauthenticated=99, max_unauthenticated_per_source=99
        )
        (a,) = await start_nodes("a", settings=settings)
        names = [f"n{number}" for number in range(HEARTBEATS_PER_TURN + 4)]
        a.addresses.update({name: (HOST, 1) for name in names})
        raw_peers = [await RawPeer(NodeInstance(name, 1), "a").dial(a.addresses["a"]) for name in names]
        sent_count = lambda: sum(  # noqa: E731
            connection.heartbeat.idle_heartbeats > 0 for connection in a.transport.registry.connections
        )
        await a.wait_until(lambda: a.connected_count() == len(names))
        a.transport.registry.send_heartbeats()
        a.transport.registry.send_heartbeats()
        assert sent_count() == HEARTBEATS_PER_TURN
        await poll_until(lambda: sent_count() == len(names))
        for raw_peer in raw_peers:
            raw_peer.abort()
        await a.wait_until(lambda: a.disconnected_count() == len(names))
        relay = Relay(a.addresses["a"])
        relay.hold()
        a.addresses.update(dict.fromkeys(names, await relay.start()))
        peers = [a.transport.registry.peers[name] for name in names]
        for peer in peers:
            peer.close()  # cancels the retry timer
            peer.retry.earliest_us = 0
            a.send(peer.name, 1)
        assert all(peer.pending_connection for peer in peers)
        await asyncio.sleep(0)
        assert sum(peer.dial_task is not None for peer in peers) == DIALS_PER_TURN
        await relay.until(lambda: len(relay.connections) == len(names))
        a.transport.close()
        await poll_until(lambda: not a.transport.registry.connections)
        await relay.close()

    run(scenario())


def test_a_cancelled_dial_leaves_no_connection() -> None:
    async def scenario() -> None:
        a, b = await start_nodes("a", "b")
        a.send("b", 1)
        connection = a.transport.registry.peers["b"].pending_connection
        assert connection
        connection.abort("cancelled by the test")
        transport, _ = await asyncio.get_running_loop().create_connection(
            lambda: connection, *a.addresses["b"]
        )
        assert transport.is_closing() and not a.transport.registry.connections
        await b.wait_until_received(1)  # over another connection

    run(scenario())


def test_a_peer_that_does_not_close_or_read_at_the_end_is_aborted() -> None:
    async def scenario() -> None:
        settings = TransportSettings(
            heartbeat_interval_s=3600, handshake_timeout_s=0.1, max_idle_heartbeats=2
        )
        (a,) = await start_nodes("a", settings=settings)
        a.addresses["c"] = (HOST, 1)
        raw_peer = await RawPeer(NodeInstance("c", 1), "a").dial(a.addresses["a"])
        await a.wait_until(a.connected_count)
        for _ in range(3):
            a.transport.registry.send_heartbeats()
        assert await raw_peer.read_message() == Goodbye("nothing to say") and a.transport.registry.connections
        for _ in range(2):
            a.transport.registry.send_heartbeats()
        assert not await raw_peer.read_frame()
        raw_peer = await RawPeer(NodeInstance("c", 1), "a").dial(a.addresses["a"])
        await a.wait_until(lambda: a.connected_count() == 2)
        for number in range(3000):
            a.send("c", number, "x" * 10_000)
        a.transport.close()
        await poll_until(lambda: not a.transport.registry.connections)

    run(scenario())


def test_a_removed_peer_has_no_connection_and_no_queued_messages() -> None:
    async def scenario() -> None:
        a, b = await start_nodes("a", "b")
        a.send("b", 1)
        await b.wait_until_received(1)
        a.transport.remove_peer("b")
        del a.addresses["b"]
        await b.wait_until(b.disconnected_count)
        a.send("b", 2)
        assert a.transport.stats().undeliverable == 1 and not a.transport.stats().peers

    run(scenario())

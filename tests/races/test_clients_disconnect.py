"""Client disconnects are detected at once, whatever a request waits for, and stop its forwarding."""

import socket
from collections.abc import Callable
from dataclasses import replace

import pytest

from molereach.clients import disconnect_watch
from molereach.clients import resp as clients
from molereach.clients.listener import READ_BYTES
from molereach.policy.interface.actions import Action
from molereach.policy.interface.events import ClientDisconnected, Event, RequestReceived
from molereach.policy.interface.settings import Plan
from molereach.proxy.proxy import Proxy
from tests.races.scripted_peers import HeldConnects, Peer, run_loop_iterations, wait_until
from tests.sockets import CUSTOMER, SETTINGS, Backend, Client, front_door, query, resp, run, submit, value

EACH_DISCONNECT = pytest.mark.parametrize("disconnect", [Peer.close, Peer.half_close, Peer.reset])


def record_events(proxy: Proxy) -> list[Event]:
    """Record the events that the policy receives from now on, in order."""
    events: list[Event] = []
    handle = proxy.gateway.handle

    def record(now: int, event: Event) -> list[Action]:
        events.append(event)
        return handle(now, event)

    proxy.gateway.handle = record
    return events


def hold_requests(proxy: Proxy) -> None:
    """Have the policy accept requests without acting on them, as while it waits for a backend."""
    handle = proxy.gateway.handle
    proxy.gateway.handle = lambda now, event: [] if isinstance(event, RequestReceived) else handle(now, event)


def disconnected_requests(events: list[Event]) -> list[str]:
    return [event.request_id for event in events if isinstance(event, ClientDisconnected)]


async def send_and_wait_open(proxy: Proxy, peer: Peer, data: bytes, count: int) -> None:
    peer.send(data)
    await wait_until(lambda: len(proxy.requests.open) == count)


@EACH_DISCONNECT
def test_disconnect_while_the_request_is_held(disconnect: Callable[[Peer], None]) -> None:
    """Including a client that only half-closes: a close looks like EOF as well."""

    async def job() -> None:
        async with front_door() as (proxy, address):
            hold_requests(proxy)
            events, peer = record_events(proxy), Peer.connect(address)
            await send_and_wait_open(proxy, peer, query("a1"), 1)
            disconnect(peer)
            await wait_until(lambda: disconnected_requests(events) == ["a1"])
            assert not proxy.requests.open and proxy.requests.open_bytes == 0

    run(job())


@EACH_DISCONNECT
def test_disconnect_while_the_attempt_waits_for_a_connect(disconnect: Callable[[Peer], None]) -> None:
    async def job() -> None:
        backend = Backend()
        async with front_door(backend) as (proxy, address):
            events, peer = record_events(proxy), Peer.connect(address)
            with HeldConnects() as connects:
                peer.send(query("a1"))
                await connects.arrived.wait()
                disconnect(peer)
                await wait_until(lambda: disconnected_requests(events) == ["a1"])
                connects.release()
                await wait_until(lambda: not proxy.requests.answered)
                await run_loop_iterations(10)
            assert backend.commands == []

    run(job())


def queries(count: int) -> bytes:
    return b"".join(query(f"a{number}") for number in range(count))


@EACH_DISCONNECT
@pytest.mark.parametrize("trailing", [b"", b"*4\r\n$9\r\nSVC.", queries(40)[: READ_BYTES // 2]])
def test_disconnect_with_the_maximum_of_pipelined_requests(
    disconnect: Callable[[Peer], None], trailing: bytes
) -> None:
    async def job() -> None:
        limit = clients.MAX_PIPELINED
        async with front_door(Backend(lambda words: None)) as (proxy, address):
            events, peer = record_events(proxy), Peer.connect(address)
            await send_and_wait_open(
                proxy, peer, queries(limit) + trailing.replace(b"$2\r\na", b"$2\r\nb"), limit
            )
            await run_loop_iterations()
            disconnect(peer)
            await wait_until(lambda: len(disconnected_requests(events)) == limit)
            assert not proxy.requests.open

    run(job())


ONE_LONG_COMMAND = submit("b1", body=b"x" * 60_000)


@EACH_DISCONNECT
@pytest.mark.parametrize(
    ("commands_behind", "max_buffered_bytes"),
    [
        (b"".join(submit(f"b{number}", body=b"x" * 4000) for number in range(15)), 3 * READ_BYTES),
        # A command that is longer than the limit waits whole, and nothing waits behind it.
        (ONE_LONG_COMMAND + queries(50), len(ONE_LONG_COMMAND) + 1),
    ],
)
def test_disconnect_behind_more_commands_than_may_be_open(
    disconnect: Callable[[Peer], None], commands_behind: bytes, max_buffered_bytes: int
) -> None:
    """The commands behind are read within bounds, without the disconnect watch, so that EOF is seen."""

    async def job() -> None:
        limit = clients.MAX_PIPELINED
        async with front_door(Backend(lambda words: None)) as (proxy, address):
            events, peer = record_events(proxy), Peer.connect(address)
            await send_and_wait_open(proxy, peer, queries(limit), limit)
            (connection,) = proxy.clients.connections
            peer.send(commands_behind)
            await wait_until(lambda: connection.commands.rejected_count > 0)
            assert READ_BYTES <= connection.buffered_bytes() < max_buffered_bytes
            assert not proxy.clients.disconnect_watch.watched
            disconnect(peer)
            await wait_until(lambda: len(disconnected_requests(events)) == limit)
            await wait_until(lambda: not proxy.clients.connections)
            assert not proxy.clients.disconnect_watch.watched

    run(job())


def test_disconnect_while_writing_is_paused(monkeypatch: pytest.MonkeyPatch) -> None:
    """What the client sent afterwards is not read, yet the EOF behind it is detected."""
    monkeypatch.setattr(disconnect_watch, "POLL_INTERVAL_S", 0.01)

    async def job() -> None:
        body = b"x" * 65_000
        backend = Backend(lambda words: None if words[2].startswith(b"b") else value(body))
        async with front_door(backend) as (proxy, address):
            events, peer = record_events(proxy), Peer.connect(address)
            await send_and_wait_open(proxy, peer, query("b1"), 1)
            (connection,) = proxy.clients.connections
            connection.pause_writing()
            peer.send(resp("PING") * 5000)
            await wait_until(lambda: not connection.is_reading)
            peer.half_close()
            await wait_until(lambda: disconnected_requests(events) == ["b1"])

    run(job())


def test_disconnect_behind_a_malformed_command() -> None:
    """The error is sent after the answer before it; until then the connection is closing, and EOF is
    detected."""

    async def job() -> None:
        async with front_door(Backend(lambda words: None)) as (proxy, address):
            events, peer = record_events(proxy), Peer.connect(address)
            await send_and_wait_open(proxy, peer, query("a1") + b"?" * 100, 1)
            await run_loop_iterations()
            peer.close()
            await wait_until(lambda: disconnected_requests(events) == ["a1"])

    run(job())


def test_half_close_with_unread_answers_is_detected_and_bounded(monkeypatch: pytest.MonkeyPatch) -> None:
    """The transport reports a lost connection only after its buffer has been sent."""
    monkeypatch.setattr("molereach.clients.listener.SWEEP_INTERVAL_S", 0.01)
    monkeypatch.setitem(clients.TIMEOUTS_US, clients.State.WRITE_BLOCKED, 50_000)

    async def job() -> None:
        backend = Backend(lambda words: None)
        async with front_door(backend) as (proxy, address):
            events, peer = record_events(proxy), Peer.connect(address)
            peer.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            await send_and_wait_open(proxy, peer, query("a1"), 1)
            (connection,) = proxy.clients.connections
            sock = connection.transport.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
            # Bytes that the kernel does not take, below the high-water mark that pauses writing.
            while not connection.transport.get_write_buffer_size():
                connection.transport.write(b"x" * 10_000)
            assert not connection.is_write_blocked
            peer.half_close()
            await wait_until(lambda: disconnected_requests(events) == ["a1"])
            assert await proxy.clients.wait_closed(10)
            assert proxy.clients.socket_count == 0

    run(job())


def test_requests_of_clients_that_disconnect_at_once_are_not_forwarded() -> None:
    """They connect, send and close within one loop iteration: EOF is seen before the request is forwarded."""

    async def job() -> None:
        backend = Backend()
        async with front_door(backend) as (proxy, address):
            for number in range(40):
                peer = Peer.connect(address)
                peer.send(query(f"a{number}"))
                peer.close()
            client = await Client.open(address)
            assert await client.ask(resp("PING")) == b"PONG"
            await wait_until(lambda: len(proxy.clients.connections) == 1)
            assert backend.commands == [] and backend.opened == 0
            assert not proxy.requests.open and not proxy.requests.answered

    run(job())


def test_request_that_arrives_together_with_eof_is_not_forwarded() -> None:
    """On a connection that is in use: the front door looks for EOF before it hands a request on."""

    async def job() -> None:
        backend = Backend(lambda words: None if words[2] == b"a2" else value(b"ok"))
        async with front_door(backend) as (proxy, address):
            events, peer = record_events(proxy), Peer.connect(address)
            peer.send(query("a1"))
            assert await peer.receive_until(b"ok\r\n")
            peer.send(query("a2"))
            peer.half_close()
            assert await peer.receive_all() == b""
            assert await proxy.clients.wait_closed(10)
            received = [event.request_id for event in events if isinstance(event, RequestReceived)]
            assert received == ["a1"] and disconnected_requests(events) == []
            assert len(backend.commands) == 1
            assert not proxy.requests.open and not proxy.requests.answered

    run(job())


def test_disconnect_while_gossip_is_awaited() -> None:
    async def job() -> None:
        settings = replace(SETTINGS, plans=(Plan(quota_rate=1.0, quota_burst=1.0),))
        async with front_door(Backend(), settings=settings) as (proxy, address):
            events, peer = record_events(proxy), Peer.connect(address)
            hold_requests(proxy)
            fields = "c=read,t=team,d=3000,spread=2,first=1"
            await send_and_wait_open(proxy, peer, resp("SVC.QUERY", CUSTOMER, "a1", fields), 1)
            peer.close()
            await wait_until(lambda: disconnected_requests(events) == ["a1"])
            assert not proxy.requests.open

    run(job())


def test_ping_that_arrives_together_with_eof_is_answered() -> None:
    """PING needs no backend, and a health check may half-close its connection at once."""

    async def job() -> None:
        async with front_door() as (proxy, address):
            peer = Peer.connect(address)
            peer.send(resp("PING"))
            peer.half_close()
            assert await peer.receive_all() == b"+PONG\r\n"
            assert await proxy.clients.wait_closed(10)

    run(job())

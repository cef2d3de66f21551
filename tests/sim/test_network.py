"""Transport behavior that the program relies on, both simulated and on uvloop, and simulated link faults."""

import asyncio
import contextlib
import socket
from collections.abc import Callable, Coroutine
from typing import Any

import pytest
import uvloop
from hypothesis import given, settings
from hypothesis import strategies as st

from molereach.resp import has_unread, have_disconnected
from sim.loop import SimLoop
from sim.network.endpoint import WINDOW_BYTES
from sim.network.kernel import FIRST_PORT, LAST_PORT
from sim.network.network import Network
from sim.network.way import NetworkSettings
from sim.seam import simulated

HOST = "127.0.0.1"
Job = Callable[[], Coroutine[Any, Any, None]]


def on_sim(job: Job, seed: int = 0, network_settings: NetworkSettings | None = None) -> Network:
    loop = SimLoop(seed)
    network = Network(loop, seed, network_settings)
    with simulated(loop, network, lambda env: None, lambda code: None):
        loop.run_until_complete(job())
    return network


def on_uvloop(job: Job) -> None:
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(asyncio.wait_for(job(), 20))


on_both_loops = pytest.mark.parametrize("run", [on_sim, on_uvloop])


class Recorder(asyncio.Protocol):
    """Records its callbacks in order."""

    def __init__(self, low_limit: bool = False) -> None:
        self.low_limit, self.events = low_limit, []
        self.events: list[str]
        self.data = bytearray()
        self.event_recorded = asyncio.Event()
        self.lost: list[Exception | None] = []
        self.transport: Any = None

    def record(self, event: str) -> None:
        self.events.append(event)
        self.event_recorded.set()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport
        if self.low_limit:
            self.transport.set_write_buffer_limits(0)
        self.record("made")

    def data_received(self, data: bytes) -> None:
        self.data += data
        self.record("data")

    def eof_received(self) -> None:
        self.record("eof")

    def pause_writing(self) -> None:
        self.record("pause")

    def resume_writing(self) -> None:
        self.record("resume")

    def connection_lost(self, error: Exception | None) -> None:
        self.lost.append(error)
        self.record("lost")

    async def wait_until(self, condition: Callable[[], bool]) -> None:
        while not condition():
            self.event_recorded.clear()
            await self.event_recorded.wait()


async def pair(
    low_limit: bool = False,
) -> tuple[Recorder, Recorder, asyncio.AbstractServer]:
    """The client and server sides of a connection, and the server."""
    loop, servers = asyncio.get_running_loop(), asyncio.Queue[Recorder]()

    def make_protocol() -> Recorder:
        side = Recorder()
        servers.put_nowait(side)
        return side

    server = await loop.create_server(make_protocol, HOST, 0)
    address = server.sockets[0].getsockname()
    _, client = await loop.create_connection(lambda: Recorder(low_limit), address[0], address[1])
    server_side = await servers.get()
    await server_side.wait_until(lambda: "made" in server_side.events)
    return client, server_side, server


@on_both_loops
def test_all_bytes_arrive_between_connection_made_and_eof(run: Callable[[Job], object]) -> None:
    async def job() -> None:
        client, server_side, _ = await pair()
        client.transport.write(b"x" * 300_000)
        client.transport.close()
        client.transport.write(b"not any more")
        await server_side.wait_until(lambda: bool(server_side.lost))
        assert server_side.data == b"x" * 300_000 and server_side.lost == [None]
        assert server_side.events[0] == "made" and server_side.events[-2:] == ["eof", "lost"]
        await client.wait_until(lambda: bool(client.lost))
        assert client.lost == [None]

    run(job)


@on_both_loops
def test_abort_calls_connection_lost_once_and_later(run: Callable[[Job], object]) -> None:
    async def job() -> None:
        client, server_side, _ = await pair()
        client.transport.abort()
        client.transport.abort()
        assert client.transport.is_closing() and not client.lost
        await client.wait_until(lambda: bool(client.lost))
        await server_side.wait_until(lambda: bool(server_side.lost))
        await asyncio.sleep(0.01)
        assert len(client.lost) == len(server_side.lost) == 1

    run(job)


@on_both_loops
def test_writer_is_paused_until_the_reader_resumes(run: Callable[[Job], object]) -> None:
    """With a limit of 0, a pause means that bytes are buffered, and a resume that none are."""

    async def job() -> None:
        client, server_side, _ = await pair(low_limit=True)
        client.transport.write(b"y")
        assert "pause" not in client.events
        server_side.transport.pause_reading()
        client.transport.write(b"y" * 30_000_000)
        assert "pause" in client.events and client.transport.get_write_buffer_size() > 0
        server_side.transport.resume_reading()
        await client.wait_until(lambda: "resume" in client.events)
        assert client.transport.get_write_buffer_size() == 0
        await server_side.wait_until(lambda: len(server_side.data) == 30_000_001)

    run(job)


@on_both_loops
def test_peer_can_write_after_a_half_close(run: Callable[[Job], object]) -> None:
    async def job() -> None:
        client, server_side, _ = await pair()
        server_side.eof_received = lambda: server_side.record("eof") or True  # type: ignore[method-assign, assignment, func-returns-value]
        client.transport.write_eof()
        await server_side.wait_until(lambda: "eof" in server_side.events)
        server_side.transport.write(b"late")
        await client.wait_until(lambda: client.data == b"late")

    run(job)


@on_both_loops
def test_abort_with_unread_bytes_resets_the_connection(run: Callable[[Job], object]) -> None:
    async def job() -> None:
        client, server_side, _ = await pair()
        server_side.transport.pause_reading()
        client.transport.write(b"z" * 1000)
        await asyncio.sleep(0.05)
        server_side.transport.abort()
        await client.wait_until(lambda: bool(client.lost))
        assert isinstance(client.lost[0], ConnectionResetError)

    run(job)


@on_both_loops
def test_unread_bytes_and_disconnect_are_detected_before_a_read(run: Callable[[Job], object]) -> None:
    async def job() -> None:
        client, server_side, _ = await pair()
        assert not has_unread(server_side.transport)
        server_side.transport.pause_reading()
        client.transport.write(b"a")
        await asyncio.sleep(0.05)
        assert has_unread(server_side.transport)
        assert list(have_disconnected([server_side.transport, client.transport])) == [False, False]
        client.transport.close()
        await asyncio.sleep(0.05)
        assert has_unread(server_side.transport)
        assert list(have_disconnected([server_side.transport])) == [True]  # with the byte before it unread

    run(job)


@on_both_loops
def test_connection_without_a_listener_is_refused(run: Callable[[Job], object]) -> None:
    async def job() -> None:
        _, _, server = await pair()
        address = server.sockets[0].getsockname()
        server.close()
        with pytest.raises(ConnectionRefusedError):
            await asyncio.get_running_loop().create_connection(Recorder, *address)

    run(job)


def test_connection_to_a_full_backlog_times_out_or_succeeds_on_retry() -> None:
    async def job() -> None:
        loop = asyncio.get_running_loop()
        network = loop.network  # type: ignore[attr-defined]
        listener = network.listen((HOST, 0), backlog=0)
        _, first = await loop.create_connection(Recorder, *listener.getsockname())
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(0.5):
                await loop.create_connection(Recorder, *listener.getsockname())
        waiting = asyncio.ensure_future(loop.create_connection(Recorder, *listener.getsockname()))
        await asyncio.sleep(0.5)
        assert not waiting.done() and listener.accept()
        await waiting  # succeeds with the next SYN
        assert first.transport is not None

    on_sim(job)


@settings(max_examples=40, deadline=None)
@given(st.lists(st.binary(min_size=1, max_size=3000), min_size=1, max_size=20), st.integers(0, 10**6))
def test_bytes_arrive_in_order_with_partial_reads(parts: list[bytes], seed: int) -> None:
    async def job() -> None:
        client, server_side, _ = await pair()
        for part in parts:
            client.transport.write(part)
            await asyncio.sleep(0.0001)
        client.transport.write_eof()
        await server_side.wait_until(lambda: "eof" in server_side.events)
        assert server_side.data == b"".join(parts)

    on_sim(job, seed, NetworkSettings(whole_read_fraction=0.1))


def test_killed_process_resets_connections_with_unread_bytes_and_closes_others() -> None:
    async def job() -> None:
        loop: SimLoop = asyncio.get_running_loop()  # type: ignore[assignment]
        node, connections = loop.new_node("n0"), asyncio.Queue[Recorder]()

        def make_protocol() -> Recorder:
            side = Recorder()
            connections.put_nowait(side)
            return side

        async def run_node() -> None:
            server = await loop.create_server(make_protocol, HOST, 7)
            assert server
            await asyncio.Event().wait()

        loop.spawn_in(node, run_node())
        await asyncio.sleep(0.01)
        _, idle = await loop.create_connection(Recorder, HOST, 7)
        _, writer = await loop.create_connection(Recorder, HOST, 7)
        server_side = [await connections.get(), await connections.get()]
        server_side[1].transport.pause_reading()
        writer.transport.write(b"unread")
        await asyncio.sleep(0.01)
        loop.kill(node)
        await idle.wait_until(lambda: bool(idle.lost))
        await writer.wait_until(lambda: bool(writer.lost))
        assert idle.lost == [None] and isinstance(writer.lost[0], ConnectionResetError)
        assert not server_side[0].lost and not server_side[1].lost  # a killed process gets no callbacks
        with pytest.raises(ConnectionRefusedError):
            await loop.create_connection(Recorder, HOST, 7)

    on_sim(job)


def test_receive_window_limits_unread_bytes() -> None:
    async def job() -> None:
        client, server_side, _ = await pair()
        server_side.transport.pause_reading()
        client.transport.write(b"w" * (3 * WINDOW_BYTES))
        await asyncio.sleep(1.0)
        assert len(server_side.transport.endpoint.unread) == WINDOW_BYTES
        assert client.transport.get_write_buffer_size() == 2 * WINDOW_BYTES

    on_sim(job)


def test_process_is_limited_in_descriptors() -> None:
    async def job() -> None:
        loop: SimLoop = asyncio.get_running_loop()  # type: ignore[assignment]
        server = await loop.create_server(Recorder, HOST, 0)
        address = server.sockets[0].getsockname()

        async def run_node() -> list[object]:
            connections: list[object] = []
            with contextlib.suppress(OSError):
                while True:
                    connections.append(await loop.create_connection(Recorder, *address))
            return connections

        assert len(await loop.spawn_in(loop.new_node("n0"), run_node())) == 5

    on_sim(job, network_settings=NetworkSettings(max_descriptors=5))


def test_datagram_to_an_unbound_address_is_lost() -> None:
    received: list[tuple[bytes, object]] = []

    class DatagramRecorder(asyncio.DatagramProtocol):
        def datagram_received(self, data: bytes, addr: object) -> None:
            received.append((data, addr))

    async def job() -> None:
        loop = asyncio.get_running_loop()
        one, _ = await loop.create_datagram_endpoint(DatagramRecorder, local_addr=(HOST, 0))
        two, _ = await loop.create_datagram_endpoint(DatagramRecorder, local_addr=(HOST, 0))
        server_side = two.get_extra_info("sockname")
        one.sendto(b"a", server_side)
        await asyncio.sleep(0.01)
        two.close()
        one.sendto(b"b", server_side)
        await asyncio.sleep(0.01)
        assert received == [(b"a", one.get_extra_info("sockname"))]

    on_sim(job)


def test_reserved_port_is_not_allocated_again() -> None:
    """A front door that restarts needs its own port; 200 of them with 200 servers wrap the port range."""

    async def job() -> None:
        network = asyncio.get_running_loop().network  # type: ignore[attr-defined]
        with network.socket_module().socket(socket.AF_INET, socket.SOCK_DGRAM) as bound_socket:
            bound_socket.bind((HOST, 0))
            reserved = bound_socket.getsockname()
        listener = network.listen((HOST, 0))
        allocated = {network.free_port(HOST) for _ in range(LAST_PORT - FIRST_PORT + 1)}
        assert allocated.isdisjoint({reserved[1], listener.address[1]}) and len(allocated) > 39_990
        assert reserved[1] in {network.free_port("127.0.0.9") for _ in range(LAST_PORT - FIRST_PORT + 1)}

    on_sim(job)


def test_socket_module_supports_the_operations_of_the_rig() -> None:
    async def job() -> None:
        loop = asyncio.get_running_loop()
        socket_module = loop.network.socket_module()  # type: ignore[attr-defined]
        with socket_module.socket() as reserved:
            reserved.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            reserved.bind((HOST, 0))
            address = reserved.getsockname()
        listener = socket_module.create_server(address, backlog=4)
        with pytest.raises(OSError, match="in use"):
            socket_module.create_server(address)
        with pytest.raises(BlockingIOError):
            listener.accept()
        client = socket_module.socket()
        assert client.connect_ex(address)
        await asyncio.sleep(0.01)
        accepted, _ = listener.accept()
        client.close()
        await asyncio.sleep(0.01)
        assert accepted.readable()

    on_sim(job)

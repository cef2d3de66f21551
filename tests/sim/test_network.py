"""What the program relies on in a transport, in simulation and on uvloop alike; and how links fail."""

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
from sim.network.way import Spec
from sim.seam import simulated

HOST = "127.0.0.1"
Job = Callable[[], Coroutine[Any, Any, None]]


def on_sim(job: Job, seed: int = 0, spec: Spec | None = None) -> Network:
    loop = SimLoop(seed)
    network = Network(loop, seed, spec)
    with simulated(loop, network, lambda env: None, lambda code: None):
        loop.run_until_complete(job())
    return network


def on_uvloop(job: Job) -> None:
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(asyncio.wait_for(job(), 20))


both = pytest.mark.parametrize("run", [on_sim, on_uvloop])


class Side(asyncio.Protocol):
    """Notes what it is told, in order."""

    def __init__(self, low_limit: bool = False) -> None:
        self.low_limit, self.told = low_limit, []
        self.told: list[str]
        self.data = bytearray()
        self.changed = asyncio.Event()
        self.lost: list[Exception | None] = []
        self.transport: Any = None

    def note(self, what: str) -> None:
        self.told.append(what)
        self.changed.set()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport
        if self.low_limit:
            self.transport.set_write_buffer_limits(0)
        self.note("made")

    def data_received(self, data: bytes) -> None:
        self.data += data
        self.note("data")

    def eof_received(self) -> None:
        self.note("eof")

    def pause_writing(self) -> None:
        self.note("pause")

    def resume_writing(self) -> None:
        self.note("resume")

    def connection_lost(self, error: Exception | None) -> None:
        self.lost.append(error)
        self.note("lost")

    async def until(self, holds: Callable[[], bool]) -> None:
        while not holds():
            self.changed.clear()
            await self.changed.wait()


async def pair(low_limit: bool = False) -> tuple[Side, Side, asyncio.AbstractServer]:
    """Client and server side of one connection."""
    loop, servers = asyncio.get_running_loop(), asyncio.Queue[Side]()

    def make() -> Side:
        side = Side()
        servers.put_nowait(side)
        return side

    server = await loop.create_server(make, HOST, 0)
    address = server.sockets[0].getsockname()
    _, client = await loop.create_connection(lambda: Side(low_limit), address[0], address[1])
    there = await servers.get()
    await there.until(lambda: "made" in there.told)
    return client, there, server


@both
def test_bytes_come_whole_after_the_protocol_was_made_and_then_the_end(run: Callable[[Job], object]) -> None:
    async def job() -> None:
        client, there, _ = await pair()
        client.transport.write(b"x" * 300_000)
        client.transport.close()
        client.transport.write(b"not any more")
        await there.until(lambda: bool(there.lost))
        assert there.data == b"x" * 300_000 and there.lost == [None]
        assert there.told[0] == "made" and there.told[-2:] == ["eof", "lost"]
        await client.until(lambda: bool(client.lost))
        assert client.lost == [None]

    run(job)


@both
def test_connection_lost_comes_once_and_not_within_the_abort(run: Callable[[Job], object]) -> None:
    async def job() -> None:
        client, there, _ = await pair()
        client.transport.abort()
        client.transport.abort()
        assert client.transport.is_closing() and not client.lost
        await client.until(lambda: bool(client.lost))
        await there.until(lambda: bool(there.lost))
        await asyncio.sleep(0.01)
        assert len(client.lost) == len(there.lost) == 1

    run(job)


@both
def test_writer_without_a_reader_is_paused_and_goes_on(run: Callable[[Job], object]) -> None:
    """With a limit of 0 a pause says that bytes are left, and its end that none are."""

    async def job() -> None:
        client, there, _ = await pair(low_limit=True)
        client.transport.write(b"y")
        assert "pause" not in client.told
        there.transport.pause_reading()
        client.transport.write(b"y" * 30_000_000)
        assert "pause" in client.told and client.transport.get_write_buffer_size() > 0
        there.transport.resume_reading()
        await client.until(lambda: "resume" in client.told)
        assert client.transport.get_write_buffer_size() == 0
        await there.until(lambda: len(there.data) == 30_000_001)

    run(job)


@both
def test_half_close_lets_the_other_side_answer(run: Callable[[Job], object]) -> None:
    async def job() -> None:
        client, there, _ = await pair()
        there.eof_received = lambda: there.note("eof") or True  # type: ignore[method-assign, assignment, func-returns-value]
        client.transport.write_eof()
        await there.until(lambda: "eof" in there.told)
        there.transport.write(b"late")
        await client.until(lambda: client.data == b"late")

    run(job)


@both
def test_close_with_bytes_unread_and_linger_of_nothing_are_resets(run: Callable[[Job], object]) -> None:
    async def job() -> None:
        client, there, _ = await pair()
        there.transport.pause_reading()
        client.transport.write(b"z" * 1000)
        await asyncio.sleep(0.05)
        there.transport.abort()
        await client.until(lambda: bool(client.lost))
        assert isinstance(client.lost[0], ConnectionResetError)

    run(job)


@both
def test_bytes_and_an_end_that_came_are_seen_before_they_are_read(run: Callable[[Job], object]) -> None:
    async def job() -> None:
        client, there, _ = await pair()
        assert not has_unread(there.transport)
        there.transport.pause_reading()
        client.transport.write(b"a")
        await asyncio.sleep(0.05)
        assert has_unread(there.transport)
        assert list(have_disconnected([there.transport, client.transport])) == [False, False]
        client.transport.close()
        await asyncio.sleep(0.05)
        assert has_unread(there.transport)
        assert list(have_disconnected([there.transport])) == [True]  # behind the byte that nobody has read

    run(job)


@both
def test_nobody_there_is_refused_and_a_full_queue_says_nothing(run: Callable[[Job], object]) -> None:
    async def job() -> None:
        _, _, server = await pair()
        address = server.sockets[0].getsockname()
        server.close()
        with pytest.raises(ConnectionRefusedError):
            await asyncio.get_running_loop().create_connection(Side, *address)

    run(job)


def test_backlog_that_is_full_times_out_and_is_let_in_later() -> None:
    async def job() -> None:
        loop = asyncio.get_running_loop()
        network = loop.network  # type: ignore[attr-defined]
        listener = network.listen((HOST, 0), backlog=0)
        _, first = await loop.create_connection(Side, *listener.getsockname())
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(0.5):
                await loop.create_connection(Side, *listener.getsockname())
        waiting = asyncio.ensure_future(loop.create_connection(Side, *listener.getsockname()))
        await asyncio.sleep(0.5)
        assert not waiting.done() and listener.accept()
        await waiting  # by the next SYN
        assert first.transport is not None

    on_sim(job)


@settings(max_examples=40, deadline=None)
@given(st.lists(st.binary(min_size=1, max_size=3000), min_size=1, max_size=20), st.integers(0, 10**6))
def test_bytes_arrive_in_order_however_reads_are_cut(parts: list[bytes], seed: int) -> None:
    async def job() -> None:
        client, there, _ = await pair()
        for part in parts:
            client.transport.write(part)
            await asyncio.sleep(0.0001)
        client.transport.write_eof()
        await there.until(lambda: "eof" in there.told)
        assert there.data == b"".join(parts)

    on_sim(job, seed, Spec(whole_reads=0.1))


def test_killed_process_resets_what_it_had_not_read_and_ends_the_rest() -> None:
    async def job() -> None:
        loop: SimLoop = asyncio.get_running_loop()  # type: ignore[assignment]
        node, made = loop.new_node("n0"), asyncio.Queue[Side]()

        def make() -> Side:
            side = Side()
            made.put_nowait(side)
            return side

        async def life() -> None:
            server = await loop.create_server(make, HOST, 7)
            assert server
            await asyncio.Event().wait()

        loop.spawn_in(node, life())
        await asyncio.sleep(0.01)
        _, idle = await loop.create_connection(Side, HOST, 7)
        _, asks = await loop.create_connection(Side, HOST, 7)
        there = [await made.get(), await made.get()]
        there[1].transport.pause_reading()
        asks.transport.write(b"unread")
        await asyncio.sleep(0.01)
        loop.kill(node)
        await idle.until(lambda: bool(idle.lost))
        await asks.until(lambda: bool(asks.lost))
        assert idle.lost == [None] and isinstance(asks.lost[0], ConnectionResetError)
        assert not there[0].lost and not there[1].lost  # it hears nothing any more
        with pytest.raises(ConnectionRefusedError):
            await loop.create_connection(Side, HOST, 7)

    on_sim(job)


def test_window_bounds_what_is_on_its_way_and_unread() -> None:
    async def job() -> None:
        client, there, _ = await pair()
        there.transport.pause_reading()
        client.transport.write(b"w" * (3 * WINDOW_BYTES))
        await asyncio.sleep(1.0)
        assert len(there.transport.endpoint.unread) == WINDOW_BYTES
        assert client.transport.get_write_buffer_size() == 2 * WINDOW_BYTES

    on_sim(job)


def test_descriptors_run_out_for_a_process() -> None:
    async def job() -> None:
        loop: SimLoop = asyncio.get_running_loop()  # type: ignore[assignment]
        server = await loop.create_server(Side, HOST, 0)
        address = server.sockets[0].getsockname()

        async def life() -> list[object]:
            made: list[object] = []
            with contextlib.suppress(OSError):
                while True:
                    made.append(await loop.create_connection(Side, *address))
            return made

        assert len(await loop.spawn_in(loop.new_node("n0"), life())) == 5

    on_sim(job, spec=Spec(descriptors=5))


def test_datagrams_go_to_whoever_is_bound_and_are_lost_otherwise() -> None:
    heard: list[tuple[bytes, object]] = []

    class Ear(asyncio.DatagramProtocol):
        def datagram_received(self, data: bytes, addr: object) -> None:
            heard.append((data, addr))

    async def job() -> None:
        loop = asyncio.get_running_loop()
        one, _ = await loop.create_datagram_endpoint(Ear, local_addr=(HOST, 0))
        two, _ = await loop.create_datagram_endpoint(Ear, local_addr=(HOST, 0))
        there = two.get_extra_info("sockname")
        one.sendto(b"a", there)
        await asyncio.sleep(0.01)
        two.close()
        one.sendto(b"b", there)
        await asyncio.sleep(0.01)
        assert heard == [(b"a", one.get_extra_info("sockname"))]

    on_sim(job)


def test_port_that_was_handed_out_is_nobody_elses_however_many_are_asked_for() -> None:
    """A front door that is down comes back to its own port; 200 of them with 200 servers go round all."""

    async def job() -> None:
        network = asyncio.get_running_loop().network  # type: ignore[attr-defined]
        with network.socket_module().socket(socket.AF_INET, socket.SOCK_DGRAM) as kept:
            kept.bind((HOST, 0))
            reserved = kept.getsockname()
        listener = network.listen((HOST, 0))
        given = {network.free_port(HOST) for _ in range(LAST_PORT - FIRST_PORT + 1)}
        assert given.isdisjoint({reserved[1], listener.address[1]}) and len(given) > 39_990
        assert reserved[1] in {network.free_port("127.0.0.9") for _ in range(LAST_PORT - FIRST_PORT + 1)}

    on_sim(job)


def test_module_of_sockets_is_what_the_rig_needs() -> None:
    async def job() -> None:
        loop = asyncio.get_running_loop()
        fake = loop.network.socket_module()  # type: ignore[attr-defined]
        with fake.socket() as free:
            free.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            free.bind((HOST, 0))
            address = free.getsockname()
        listener = fake.create_server(address, backlog=4)
        with pytest.raises(OSError, match="in use"):
            fake.create_server(address)
        with pytest.raises(BlockingIOError):
            listener.accept()
        filler = fake.socket()
        assert filler.connect_ex(address)
        await asyncio.sleep(0.01)
        accepted, _ = listener.accept()
        filler.close()
        await asyncio.sleep(0.01)
        assert accepted.readable()

    on_sim(job)

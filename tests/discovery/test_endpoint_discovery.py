"""The watch on discovery and the datagrams between front doors."""

import asyncio
import math
import socket
import time
from dataclasses import replace

import pytest

from molereach.discovery import poll_backoff, watch_supervisor
from molereach.discovery.endpoint_discovery import EndpointDiscovery
from molereach.discovery.endpoint_mapping import EndpointMapping, EndpointUpdate
from molereach.policy.interface.actions import SendGossip
from molereach.policy.interface.events import EndpointListKind, EndpointListReceived, EndpointState, Event
from molereach.policy.interface.messages import GossipMessage
from molereach.protocol.gossip_codec import pack_messages
from molereach.proxy.gossip import GossipTransport
from molereach.proxy.proxy import Proxy
from tests.sockets import CONFIG, HEAD, HOST, Watch, catalog, chunk, entry, refusing_address, run

AT = (HOST, 6379)


async def news_of(watch: Watch, count: int, version: int = 0) -> list[EndpointUpdate]:
    """The first news that a watch brings."""
    heard: asyncio.Queue[EndpointUpdate] = asyncio.Queue()
    tasks = []
    found = EndpointDiscovery(
        await watch.start(),
        EndpointMapping(CONFIG.zone_numbers, CONFIG.kind_numbers),
        version,
        heard.put_nowait,
        lambda job: tasks.append(asyncio.create_task(job)),
    )
    found.start()
    try:
        return [await heard.get() for _ in range(count)]
    finally:
        tasks[0].cancel()


def script(*pieces: bytes, stay: bool = True) -> object:
    async def play(writer: asyncio.StreamWriter) -> None:
        for piece in pieces:
            writer.write(piece)
            await asyncio.sleep(0.001)  # so that the pieces are read apart
        if stay:
            await asyncio.Event().wait()

    return play


def test_lines_in_pieces_empty_lines_and_unknown_states() -> None:
    async def job() -> None:
        odd = [entry("s2", AT, "RESTING"), {"instanceId": "odd"}, entry("s3", AT, "DRAINING")]
        line = catalog(5, [entry("s1", AT), *odd])
        gone = catalog(6, [{"instanceId": "s1", "lifecycle": "DELETED"}], reset=False)
        stream = HEAD + chunk(b"\n") + chunk(line[:30])
        stream += chunk(line[30:] + b"\n" + gone[:9]) + chunk(gone[9:])
        pieces = [stream[n : n + 50] for n in range(0, len(stream), 50)]
        first, second = await news_of(Watch(script(*pieces)), 2)
        states = {server.name: server.state for server in first.event.endpoints}
        assert (first.event.kind, first.event.version) == (EndpointListKind.FULL, 5)
        draining = EndpointState.DRAINING
        assert states == {"s1": EndpointState.UP, "s2": draining, "s3": draining}
        assert (second.event.kind, second.event.version) == (EndpointListKind.CHANGES, 6)
        assert second.event.endpoints[0].state is EndpointState.REMOVED

    run(job())


def test_watch_that_ends_is_reopened_after_what_was_heard() -> None:
    async def job() -> None:
        watch = Watch(
            script(HEAD + chunk(catalog(5, [])), stay=False),
            script(b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n", stay=False),
            script(HEAD + chunk(catalog(6, [])[:20]), stay=False),  # breaks within a line: not heard
            script(HEAD + chunk(b"{not json\n")),
            script(HEAD + chunk(catalog(9, [], reset=False))),
        )
        started = time.monotonic()
        found = await news_of(watch, 2, version=3)
        assert [news.event.version for news in found] == [5, 9]
        afters = [target.partition("after=")[2] for target in watch.targets]
        assert afters == ["3", "5", "5", "5", "5"]
        assert time.monotonic() - started > 4 * poll_backoff.BASE_BACKOFF_S  # no busy loop

    run(job())


def test_silent_watch_is_reopened(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(watch_supervisor, "POLLED_SILENCE_TIMEOUT_S", 0.2)

    async def job() -> None:
        watch = Watch(script(HEAD), script(HEAD + chunk(catalog(4, []))))
        assert (await news_of(watch, 1))[0].event.version == 4
        assert len(watch.targets) == 2

    run(job())


@pytest.mark.parametrize("odd", [math.nan, math.inf, -math.inf, -1, 1e300, "1", [], None, "nan"])
def test_numbers_that_make_no_sense_say_nothing(odd: object) -> None:
    listed = {**entry("s1", AT), "weight": odd, "startedAtMs": odd}
    news = EndpointMapping(CONFIG.zone_numbers, CONFIG.kind_numbers).read_update(
        {"generation": 1, "instances": [listed]}
    )
    (server,) = news.event.endpoints
    assert (server.size, server.started_us) == (1.0, 0)


def test_start_times_go_over_to_our_clock() -> None:
    read = EndpointMapping(CONFIG.zone_numbers, CONFIG.kind_numbers)
    assert read.local_start_us(0) == 0
    now_ms = time.time_ns() // 1_000_000
    assert abs(read.local_start_us(now_ms - 5000) - (time.monotonic_ns() // 1000 - 5_000_000)) < 100_000
    assert read.local_start_us(now_ms) == read.local_start_us(now_ms)
    assert read.local_start_us(1) < 0  # before this machine's clock began, but not 'long ago'


def test_known_list_serves_while_discovery_is_silent() -> None:
    async def job() -> None:
        known = {"generation": 3, "reset": True, "instances": [entry("s1", AT)]}
        door = Proxy(replace(CONFIG, known=known, discovery=await Watch(script()).start()))
        heard: list[Event] = []
        door.gateway.handle = lambda now, event: heard.append(event) or []
        await door.start()
        assert [event.kind for event in heard if isinstance(event, EndpointListReceived)] == [
            EndpointListKind.SAVED
        ]
        assert door.discovery.version == 3 and list(door.backends.pools) == ["s1"]
        door.close()

    run(job())


def test_peers_words_arrive_and_strangers_are_dropped() -> None:
    async def job() -> None:
        loop, heard = asyncio.get_running_loop(), asyncio.Queue()
        stranger = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        ports = [refusing_address(), refusing_address()]
        me, friend = (GossipTransport(tuple(ports), number, heard.put_nowait) for number in (0, 1))
        for peers, at in zip((me, friend), ports, strict=True):
            await loop.create_datagram_endpoint(lambda peers=peers: peers, local_addr=at)
        words = tuple(GossipMessage(n, 0, 0, 2, demand=1.0) for n in range(30))
        with stranger:
            stranger.sendto(pack_messages(words[:1])[0], ports[0])
        friend.transport.sendto(b"x" * 7, ports[0])
        friend.transport.sendto(pack_messages(words)[0] * 2, ports[0])  # longer than the wire allows
        friend.send(SendGossip(0, words))
        got: tuple[GossipMessage, ...] = ()
        while len(got) < len(words):
            message = await heard.get()
            assert message.sender == 1
            got += message.messages
        assert got == words and heard.empty()

    run(job())


class Moved:
    """A front door's discovery that is moved from one address to others."""

    def __init__(self, address: tuple[str, int]) -> None:
        self.heard: asyncio.Queue[EndpointUpdate] = asyncio.Queue()
        self.tasks: list[asyncio.Task[None]] = []
        self.discovery = EndpointDiscovery(
            address,
            EndpointMapping(CONFIG.zone_numbers, CONFIG.kind_numbers),
            3,
            self.heard.put_nowait,
            lambda job: self.tasks.append(asyncio.create_task(job)),
        )
        self.discovery.start()

    async def names(self) -> tuple[EndpointListKind, list[str]]:
        event = (await self.heard.get()).event
        return event.kind, [server.name for server in event.endpoints]


def listing(*names: str, version: int = 4) -> object:
    """Answers the question for the whole list, without a line's end."""
    body = catalog(version, [entry(name, AT) for name in names]).strip()
    return script(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body, stay=False)


def test_new_address_takes_over_with_its_whole_list() -> None:
    async def job() -> None:
        late = asyncio.Event()

        async def old_watch(writer: asyncio.StreamWriter) -> None:
            writer.write(HEAD + chunk(catalog(9, [entry("s1", AT)])))
            await late.wait()
            writer.write(chunk(catalog(10, [entry("s9", AT)])))  # must not undo what the new one has told
            await writer.drain()

        old = Watch(old_watch)
        new = Watch(listing("s2", version=2), script(HEAD + chunk(catalog(3, [], reset=False))))
        moved = Moved(await old.start())
        assert await moved.names() == (EndpointListKind.FULL, ["s1"])
        moved.discovery.change_address(await new.start())
        assert await moved.names() == (EndpointListKind.FULL, ["s2"])
        late.set()
        assert await moved.names() == (EndpointListKind.CHANGES, [])
        assert new.targets == ["/catalog/members", "/catalog/members?watch=1&after=2"]
        assert len(old.targets) == 1
        await moved.tasks[0]  # the old watch has ended for good
        assert moved.heard.empty() and moved.discovery.version == 3
        moved.discovery.current.close()

    run(job())


def test_old_watch_is_heard_until_the_new_one_speaks() -> None:
    async def job() -> None:
        moves, speak = asyncio.Event(), asyncio.Event()

        async def old_watch(writer: asyncio.StreamWriter) -> None:
            writer.write(HEAD + chunk(catalog(5, [entry("s1", AT)])))
            await moves.wait()
            writer.write(chunk(catalog(6, [entry("s2", AT)])))

        async def slow(writer: asyncio.StreamWriter) -> None:
            await speak.wait()
            await listing("s3")(writer)

        never = Watch(script())
        last = Watch(slow, script(HEAD))
        moved = Moved(await Watch(old_watch).start())
        assert (await moved.names())[1] == ["s1"]
        moved.discovery.change_address(await never.start())
        moved.discovery.change_address(await last.start())  # twice, as reloads may come in a row
        moves.set()
        assert (await moved.names())[1] == ["s2"]
        speak.set()
        assert (await moved.names())[1] == ["s3"]
        assert moved.discovery.current.address == last.server.sockets[0].getsockname()
        moved.discovery.current.close()

    run(job())

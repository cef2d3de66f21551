"""Endpoint discovery over real connections, switches of its address, and gossip datagrams between proxies."""

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
from tests.sockets import CONFIG, HEAD, HOST, DiscoveryServer, catalog, chunk, entry, refusing_address, run

BACKEND_ADDRESS = (HOST, 6379)


async def receive_updates(watch: DiscoveryServer, count: int, version: int = 0) -> list[EndpointUpdate]:
    """The first updates received from a watch."""
    updates: asyncio.Queue[EndpointUpdate] = asyncio.Queue()
    tasks = []
    discovery = EndpointDiscovery(
        await watch.start(),
        EndpointMapping(CONFIG.zone_numbers, CONFIG.kind_numbers),
        version,
        updates.put_nowait,
        lambda coroutine: tasks.append(asyncio.create_task(coroutine)),
    )
    discovery.start()
    try:
        return [await updates.get() for _ in range(count)]
    finally:
        tasks[0].cancel()


def sends(*pieces: bytes, stay_open: bool = True) -> object:
    """A script of discovery that writes each piece separately, then stays open or closes the connection."""

    async def script(writer: asyncio.StreamWriter) -> None:
        for piece in pieces:
            writer.write(piece)
            await asyncio.sleep(0.001)  # so that each piece is read by itself
        if stay_open:
            await asyncio.Event().wait()

    return script


def test_split_lines_empty_lines_and_unknown_states_are_parsed() -> None:
    async def scenario() -> None:
        others = [
            entry("s2", BACKEND_ADDRESS, "RESTING"),
            {"instanceId": "odd"},
            entry("s3", BACKEND_ADDRESS, "DRAINING"),
        ]
        full_list = catalog(5, [entry("s1", BACKEND_ADDRESS), *others])
        removal = catalog(6, [{"instanceId": "s1", "lifecycle": "DELETED"}], reset=False)
        stream = HEAD + chunk(b"\n") + chunk(full_list[:30])
        stream += chunk(full_list[30:] + b"\n" + removal[:9]) + chunk(removal[9:])
        pieces = [stream[start : start + 50] for start in range(0, len(stream), 50)]
        first, second = await receive_updates(DiscoveryServer(sends(*pieces)), 2)
        states = {endpoint.name: endpoint.state for endpoint in first.event.endpoints}
        assert (first.event.kind, first.event.version) == (EndpointListKind.FULL, 5)
        draining = EndpointState.DRAINING
        assert states == {"s1": EndpointState.UP, "s2": draining, "s3": draining}
        assert (second.event.kind, second.event.version) == (EndpointListKind.CHANGES, 6)
        assert second.event.endpoints[0].state is EndpointState.REMOVED

    run(scenario())


def test_watch_that_ends_is_reopened_after_the_last_applied_version() -> None:
    async def scenario() -> None:
        watch = DiscoveryServer(
            sends(HEAD + chunk(catalog(5, [])), stay_open=False),
            sends(b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n", stay_open=False),
            sends(HEAD + chunk(catalog(6, [])[:20]), stay_open=False),  # ends within an object: not applied
            sends(HEAD + chunk(b"{not json\n")),
            sends(HEAD + chunk(catalog(9, [], reset=False))),
        )
        started_s = time.monotonic()
        updates = await receive_updates(watch, 2, version=3)
        assert [update.event.version for update in updates] == [5, 9]
        after_versions = [target.partition("after=")[2] for target in watch.targets]
        assert after_versions == ["3", "5", "5", "5", "5"]
        assert time.monotonic() - started_s > 4 * poll_backoff.BASE_BACKOFF_S  # no busy loop

    run(scenario())


def test_silent_watch_is_reopened(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(watch_supervisor, "POLLED_SILENCE_TIMEOUT_S", 0.2)

    async def scenario() -> None:
        watch = DiscoveryServer(sends(HEAD), sends(HEAD + chunk(catalog(4, []))))
        assert (await receive_updates(watch, 1))[0].event.version == 4
        assert len(watch.targets) == 2

    run(scenario())


@pytest.mark.parametrize("value", [math.nan, math.inf, -math.inf, -1, 1e300, "1", [], None, "nan"])
def test_invalid_numbers_are_read_as_defaults(value: object) -> None:
    listed = {**entry("s1", BACKEND_ADDRESS), "weight": value, "startedAtMs": value}
    update = EndpointMapping(CONFIG.zone_numbers, CONFIG.kind_numbers).read_update(
        {"generation": 1, "instances": [listed]}
    )
    (endpoint,) = update.event.endpoints
    assert (endpoint.size, endpoint.started_us) == (1.0, 0)


def test_start_times_are_converted_to_the_local_clock() -> None:
    mapping = EndpointMapping(CONFIG.zone_numbers, CONFIG.kind_numbers)
    assert mapping.local_start_us(0) == 0
    now_ms = time.time_ns() // 1_000_000
    assert abs(mapping.local_start_us(now_ms - 5000) - (time.monotonic_ns() // 1000 - 5_000_000)) < 100_000
    assert mapping.local_start_us(now_ms) == mapping.local_start_us(now_ms)
    assert mapping.local_start_us(1) < 0  # before the local clock's zero, but not "long ago"


def test_saved_list_is_used_while_discovery_is_silent() -> None:
    async def scenario() -> None:
        saved_list = {"generation": 3, "reset": True, "instances": [entry("s1", BACKEND_ADDRESS)]}
        proxy = Proxy(replace(CONFIG, known=saved_list, discovery=await DiscoveryServer(sends()).start()))
        events: list[Event] = []
        proxy.gateway.handle = lambda now, event: events.append(event) or []
        await proxy.start()
        assert [event.kind for event in events if isinstance(event, EndpointListReceived)] == [
            EndpointListKind.SAVED
        ]
        assert proxy.discovery.version == 3 and list(proxy.backends.pools) == ["s1"]
        proxy.close()

    run(scenario())


def test_gossip_of_peers_is_received_and_other_datagrams_are_dropped() -> None:
    async def scenario() -> None:
        loop, received = asyncio.get_running_loop(), asyncio.Queue()
        stranger = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        addresses = [refusing_address(), refusing_address()]
        receiver, peer = (GossipTransport(tuple(addresses), number, received.put_nowait) for number in (0, 1))
        for transport, address in zip((receiver, peer), addresses, strict=True):
            await loop.create_datagram_endpoint(lambda transport=transport: transport, local_addr=address)
        messages = tuple(GossipMessage(n, 0, 0, 2, demand=1.0) for n in range(30))
        with stranger:
            stranger.sendto(pack_messages(messages[:1])[0], addresses[0])
        peer.transport.sendto(b"x" * 7, addresses[0])
        peer.transport.sendto(pack_messages(messages)[0] * 2, addresses[0])  # longer than the protocol allows
        peer.send(SendGossip(0, messages))
        delivered: tuple[GossipMessage, ...] = ()
        while len(delivered) < len(messages):
            event = await received.get()
            assert event.sender == 1
            delivered += event.messages
        assert delivered == messages and received.empty()

    run(scenario())


class SwitchingDiscovery:
    """The endpoint discovery of a proxy, to be switched from one address to others; queues its updates."""

    def __init__(self, address: tuple[str, int]) -> None:
        self.updates: asyncio.Queue[EndpointUpdate] = asyncio.Queue()
        self.tasks: list[asyncio.Task[None]] = []
        self.discovery = EndpointDiscovery(
            address,
            EndpointMapping(CONFIG.zone_numbers, CONFIG.kind_numbers),
            3,
            self.updates.put_nowait,
            lambda coroutine: self.tasks.append(asyncio.create_task(coroutine)),
        )
        self.discovery.start()

    async def next_names(self) -> tuple[EndpointListKind, list[str]]:
        event = (await self.updates.get()).event
        return event.kind, [endpoint.name for endpoint in event.endpoints]


def sends_full_list(*names: str, version: int = 4) -> object:
    """A response to a request for the full list, without a line end."""
    body = catalog(version, [entry(name, BACKEND_ADDRESS) for name in names]).strip()
    return sends(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body, stay_open=False)


def test_new_address_takes_over_with_its_full_list() -> None:
    async def scenario() -> None:
        send_late_update = asyncio.Event()

        async def old_script(writer: asyncio.StreamWriter) -> None:
            writer.write(HEAD + chunk(catalog(9, [entry("s1", BACKEND_ADDRESS)])))
            await send_late_update.wait()
            # Must not overwrite the list of the new address.
            writer.write(chunk(catalog(10, [entry("s9", BACKEND_ADDRESS)])))
            await writer.drain()

        old = DiscoveryServer(old_script)
        new = DiscoveryServer(
            sends_full_list("s2", version=2), sends(HEAD + chunk(catalog(3, [], reset=False)))
        )
        switching = SwitchingDiscovery(await old.start())
        assert await switching.next_names() == (EndpointListKind.FULL, ["s1"])
        switching.discovery.change_address(await new.start())
        assert await switching.next_names() == (EndpointListKind.FULL, ["s2"])
        send_late_update.set()
        assert await switching.next_names() == (EndpointListKind.CHANGES, [])
        assert new.targets == ["/catalog/members", "/catalog/members?watch=1&after=2"]
        assert len(old.targets) == 1
        await switching.tasks[0]  # the client of the old address has ended
        assert switching.updates.empty() and switching.discovery.version == 3
        switching.discovery.current.close()

    run(scenario())


def test_old_address_is_watched_until_the_new_one_sends_its_list() -> None:
    async def scenario() -> None:
        send_second, send_new = asyncio.Event(), asyncio.Event()

        async def old_script(writer: asyncio.StreamWriter) -> None:
            writer.write(HEAD + chunk(catalog(5, [entry("s1", BACKEND_ADDRESS)])))
            await send_second.wait()
            writer.write(chunk(catalog(6, [entry("s2", BACKEND_ADDRESS)])))

        async def slow_script(writer: asyncio.StreamWriter) -> None:
            await send_new.wait()
            await sends_full_list("s3")(writer)

        silent = DiscoveryServer(sends())
        last = DiscoveryServer(slow_script, sends(HEAD))
        switching = SwitchingDiscovery(await DiscoveryServer(old_script).start())
        assert (await switching.next_names())[1] == ["s1"]
        switching.discovery.change_address(await silent.start())
        switching.discovery.change_address(await last.start())  # a second switch before the first is complete
        send_second.set()
        assert (await switching.next_names())[1] == ["s2"]
        send_new.set()
        assert (await switching.next_names())[1] == ["s3"]
        assert switching.discovery.current.address == last.server.sockets[0].getsockname()
        switching.discovery.current.close()

    run(scenario())

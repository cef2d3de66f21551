"""What is hollow in a scale run speaks the bytes that real ones read and write."""

import asyncio
import json
import random
import time
from collections.abc import Awaitable, Callable, Coroutine, Mapping

import pytest

from benchmarks.scale.agent import Agent
from benchmarks.scale.backends import Backends
from benchmarks.scale.catalogue import DELETED, DRAINING, SERVING, Catalogue, Change
from benchmarks.scale.hollow import Hollow, configuration
from benchmarks.scale.load import Load
from benchmarks.scale.tier import Requests, Tier, backend_address, peer_address
from molereach.discovery.endpoint_discovery import EndpointDiscovery
from molereach.discovery.endpoint_mapping import EndpointMapping, EndpointUpdate, StagedEndpointUpdate
from molereach.discovery.poll_backoff import PollBackoff
from molereach.discovery.watch_stream import Steps
from molereach.endpoint_address import EndpointAddress
from molereach.policy.interface.events import EndpointListKind, EndpointListReceived, EndpointState
from molereach.policy.interface.messages import SPLIT_CEILING_PLAN_INDEX, GossipMessage
from molereach.protocol.gossip_codec import pack_messages, unpack_messages
from rig.clients import encode
from rig.sockets import free_datagram_port, own_host
from tests.discovery.fakes import UnsubsettedList

WAIT_S = 5.0
TIER = Tier(doors=8, tenants=40, spread=3, seed=3, peer_port=1)
READER_CONFIG = configuration(TIER, 0)


def played(test: Callable[[], Awaitable[None]]) -> None:
    asyncio.run(asyncio.wait_for(test(), WAIT_S))


def test_list_is_json_at_each_version_and_says_what_became_of_each() -> None:
    catalogue = Catalogue(30, 7)
    line = catalogue.change([Change(3, DRAINING), Change(4, DELETED), Change(30, SERVING, 5)])
    told = json.loads(line)
    assert (told["generation"], told["reset"]) == (2, False)
    assert [entry["lifecycle"] for entry in told["instances"]] == [DRAINING, DELETED, SERVING]
    whole = json.loads(catalogue.whole())
    assert whole["reset"] and whole["generation"] == 2 and len(whole["instances"]) == 30
    assert len({entry["hostPort"] for entry in whole["instances"]}) == 30
    assert catalogue.since(2) == b"" and json.loads(catalogue.since(1)) == told
    catalogue.forget()
    assert json.loads(catalogue.since(2))["reset"] and catalogue.since(catalogue.version) == b""


class Reader:
    """A real front door's reader of an agent's list; its view is all that it is told."""

    def __init__(self, address: EndpointAddress, version: int) -> None:
        self.lists, self.tasks = UnsubsettedList(), set[asyncio.Task[None]]()
        self.seen: asyncio.Queue[tuple[EndpointListReceived, Mapping[str, EndpointAddress]]] = asyncio.Queue()
        self.discovery = EndpointDiscovery(
            address,
            EndpointMapping(READER_CONFIG.zone_numbers, READER_CONFIG.kind_numbers),
            version,
            self.hear,
            self.spawn,
            lambda: PollBackoff(1, must_poll=False),
            random.Random(1).random,
            self.lists.stage,
        )
        self.discovery.start()

    def spawn(self, job: Coroutine[None, None, None]) -> None:
        self.tasks.add(asyncio.get_running_loop().create_task(job))

    def hear(self, news: EndpointUpdate | StagedEndpointUpdate) -> Steps | None:
        if isinstance(news, StagedEndpointUpdate):
            return self.take(news)
        self.seen.put_nowait((news.event, news.addresses))
        return None

    def take(self, news: StagedEndpointUpdate) -> Steps:
        seen = yield from self.lists.take_over(news.staged, news.kind, news.version)
        assert seen
        self.seen.put_nowait((seen.event, seen.addresses))


@pytest.mark.parametrize("size", [50, 2_000])  # in one object, and one that is read in parts
def test_real_reader_takes_over_the_agents_list_changes_and_reset(size: int) -> None:
    async def play() -> None:
        agent = Agent()
        begun = await agent.do_begin(size, 7, [0, 1])
        first, second = begun["addresses"].values()  # type: ignore[attr-defined]
        reader = Reader(first, 0)
        try:
            event, addresses = await reader.seen.get()  # by a watch from before all versions
            assert event.kind is EndpointListKind.FULL and len(event.endpoints) == size
            assert addresses["s-00000007"] == backend_address(7, 7)
            told = await agent.do_change([(7, DRAINING, 0), (size, SERVING, 5)])
            event, _ = await reader.seen.get()
            assert told["watching"] == 1 and event.kind is EndpointListKind.CHANGES
            assert [server.name for server in event.endpoints] == ["s-00000007", f"s-{size:08x}"]
            assert [server.state for server in event.endpoints] == [EndpointState.DRAINING, EndpointState.UP]
            reader.discovery.change_address(second)  # asked for whole, and then watched
            event, _ = await reader.seen.get()
            assert event.kind is EndpointListKind.FULL and len(event.endpoints) == size + 1
            while len(agent.watching) != 1 or not agent.sent[1].calls > 1:
                await asyncio.sleep(0.01)
            await agent.do_reset()
            event, _ = await reader.seen.get()
            assert event.kind is EndpointListKind.FULL and len(event.endpoints) == size + 1
            assert reader.discovery.version == agent.version
            sent = await agent.do_take()
            assert sent["0"]["changes"] > told["line_bytes"]  # type: ignore[index,operator]
            assert sent["1"]["whole"] > 2 * size * 100  # type: ignore[index]
        finally:
            for task in (*reader.tasks, *([agent.beats] if agent.beats else [])):
                task.cancel()

    played(play)


def test_a_watch_of_an_old_version_is_told_the_whole_list() -> None:
    catalogue = Catalogue(5, 7)
    catalogue.change([Change(1, DRAINING)])
    assert json.loads(catalogue.since(0))["reset"] and json.loads(catalogue.since(9))["reset"]


def test_hollow_home_hears_and_answers_a_real_doors_words() -> None:
    async def play() -> None:
        _, port = free_datagram_port(own_host())
        tier = Tier(doors=8, tenants=40, spread=3, seed=3, peer_port=port)
        # Of a tenant at doors 0 to 2 whose home is 1, asked for at 0, which is the real one here.
        key = next(number for number in range(9) if number % 3 == 1)
        hollow, answers = Hollow(), asyncio.Queue[bytes]()

        class Real(asyncio.DatagramProtocol):
            def datagram_received(self, data: bytes, address: tuple[str, int]) -> None:
                if address == peer_address(1, port):
                    answers.put_nowait(data)

        transport, _ = await asyncio.get_running_loop().create_datagram_endpoint(
            Real, local_addr=peer_address(0, port)
        )
        await hollow.do_begin(tier.shown(), [0], [1], [])
        await hollow.do_pause(True)
        (data,) = pack_messages([GossipMessage(key, 0, 0, 3, requested_units=1.0, demand=1.0)])
        try:
            transport.sendto(data, peer_address(1, port))
            heard: tuple[GossipMessage, ...] = ()
            while not any(word.is_reply and word.customer_checksum == key for word in heard):
                heard = unpack_messages(await answers.get())
            taken = await hollow.do_take()
            counts = taken["doors"]["0"]  # type: ignore[index]
            assert counts["sent_datagrams"] == 1 and counts["sent_bytes"] == len(data)
            assert counts["received_datagrams"] >= 1
        finally:
            await hollow.do_end()
            transport.close()

    played(play)


def test_hollow_doors_tell_a_real_home_what_its_tenants_ask_for() -> None:
    async def play() -> None:
        _, port = free_datagram_port(own_host())
        tier = Tier(doors=8, tenants=40, spread=3, seed=3, peer_port=port)
        words: asyncio.Queue[GossipMessage] = asyncio.Queue()

        class Real(asyncio.DatagramProtocol):
            def datagram_received(self, data: bytes, address: tuple[str, int]) -> None:
                for word in unpack_messages(data):
                    words.put_nowait(word)

        transport, _ = await asyncio.get_running_loop().create_datagram_endpoint(
            Real, local_addr=peer_address(0, port)
        )
        hollow = Hollow()
        begun = await hollow.do_begin(tier.shown(), [0], tier.neighbours(0), [])
        try:
            assert begun["doors"] == 4 and begun["rate"] > 0  # type: ignore[operator]
            seen = {
                (word.set_first, word.set_size)
                for word in [await words.get() for _ in range(20)]
                if word.plan_index != SPLIT_CEILING_PLAN_INDEX
            }
            assert seen and all(size == 3 and (0 - first) % 8 < 3 for first, size in seen)
        finally:
            await hollow.do_end()
            transport.close()

    played(play)


def test_backends_know_who_asked_which_of_them_and_reset_when_gone() -> None:
    async def play() -> None:
        backends = Backends()
        port = int((await backends.do_begin())["port"])  # type: ignore[call-overload]
        began_s = time.monotonic()
        request = Requests(TIER, 5, TIER.tenants_of(5), random.Random(1)).words()
        reader, writer = await asyncio.open_connection(*backend_address(70_000, port))
        writer.write(encode(request))
        assert (await reader.readline()).startswith(b"*3")
        assert await backends.do_used(began_s) == {"5": [(70_000, 1)]}
        assert (await backends.do_last(began_s, [70_000])).keys() == {"5"}
        assert await backends.do_last(began_s, [70_001]) == {}
        assert (await backends.do_busiest(began_s, [70_000]))["most"] == 1
        await backends.do_gone([70_000])
        with pytest.raises(ConnectionError):
            while await reader.read(1 << 10):
                pass
        writer.close()

    played(play)


def test_load_asks_at_its_rate_and_counts_what_comes_back() -> None:
    async def play() -> None:
        backends, load = Backends(), Load()
        port = int((await backends.do_begin())["port"])  # type: ignore[call-overload]
        address = backend_address(3, port)
        begun = await load.do_begin(TIER.shown(), {"one": (0, address), "none": (1, ("127.0.0.1", 1))}, 400.0)
        assert begun == {"one": len(TIER.tenants_of(0)), "none": len(TIER.tenants_of(1))}
        while load.streams["one"].counts["served"] < 20 or not load.streams["none"].counts["lost"]:
            await asyncio.sleep(0.01)
        taken = await load.do_end()
        one, none = taken["one"], taken["none"]
        assert one["due"] >= one["served"] == len(one["took_ms"]) >= 20  # type: ignore[index]
        assert none["served"] == 0 and none["lost"] > 0 and not load.streams  # type: ignore[index]

    played(play)

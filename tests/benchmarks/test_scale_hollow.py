"""Simulated parts of a scale run send and read the bytes of the real protocols."""

import asyncio
import json
import random
import time
from collections.abc import Awaitable, Callable, Coroutine, Mapping

import pytest

from benchmarks.scale.agent import Agent
from benchmarks.scale.backends import Backends
from benchmarks.scale.catalogue import DELETED, DRAINING, SERVING, Catalogue, Change
from benchmarks.scale.hollow import SimulatedDoors, configuration
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

TIMEOUT_S = 5.0
TIER = Tier(doors=8, tenants=40, spread=3, seed=3, peer_port=1)
READER_CONFIG = configuration(TIER, 0)


def run_with_timeout(test: Callable[[], Awaitable[None]]) -> None:
    asyncio.run(asyncio.wait_for(test(), TIMEOUT_S))


def test_list_is_json_with_the_state_of_each_change() -> None:
    catalogue = Catalogue(30, 7)
    line = catalogue.change([Change(3, DRAINING), Change(4, DELETED), Change(30, SERVING, 5)])
    change = json.loads(line)
    assert (change["generation"], change["reset"]) == (2, False)
    assert [entry["lifecycle"] for entry in change["instances"]] == [DRAINING, DELETED, SERVING]
    whole = json.loads(catalogue.full_line())
    assert whole["reset"] and whole["generation"] == 2 and len(whole["instances"]) == 30
    assert len({entry["hostPort"] for entry in whole["instances"]}) == 30
    assert catalogue.line_since(2) == b"" and json.loads(catalogue.line_since(1)) == change
    catalogue.drop_history()
    assert json.loads(catalogue.line_since(2))["reset"] and catalogue.line_since(catalogue.version) == b""


class Reader:
    """A real front door's discovery client, whose subset is the whole list."""

    def __init__(self, address: EndpointAddress, version: int) -> None:
        self.lists, self.tasks = UnsubsettedList(), set[asyncio.Task[None]]()
        self.seen: asyncio.Queue[tuple[EndpointListReceived, Mapping[str, EndpointAddress]]] = asyncio.Queue()
        self.discovery = EndpointDiscovery(
            address,
            EndpointMapping(READER_CONFIG.zone_numbers, READER_CONFIG.kind_numbers),
            version,
            self.receive_update,
            self.spawn,
            lambda: PollBackoff(1, must_poll=False),
            random.Random(1).random,
            self.lists.stage,
        )
        self.discovery.start()

    def spawn(self, job: Coroutine[None, None, None]) -> None:
        self.tasks.add(asyncio.get_running_loop().create_task(job))

    def receive_update(self, update: EndpointUpdate | StagedEndpointUpdate) -> Steps | None:
        if isinstance(update, StagedEndpointUpdate):
            return self.take_over_list(update)
        self.seen.put_nowait((update.event, update.addresses))
        return None

    def take_over_list(self, update: StagedEndpointUpdate) -> Steps:
        seen = yield from self.lists.take_over(update.staged, update.kind, update.version)
        assert seen
        self.seen.put_nowait((seen.event, seen.addresses))


@pytest.mark.parametrize("size", [50, 2_000])  # one object, and a list that is read in parts
def test_real_discovery_client_applies_list_changes_and_reset(size: int) -> None:
    async def scenario() -> None:
        agent = Agent()
        started = await agent.do_begin(size, 7, [0, 1])
        first, second = started["addresses"].values()  # type: ignore[attr-defined]
        reader = Reader(first, 0)
        try:
            event, addresses = await reader.seen.get()  # from a watch after version 0
            assert event.kind is EndpointListKind.FULL and len(event.endpoints) == size
            assert addresses["s-00000007"] == backend_address(7, 7)
            change = await agent.do_change([(7, DRAINING, 0), (size, SERVING, 5)])
            event, _ = await reader.seen.get()
            assert change["watching"] == 1 and event.kind is EndpointListKind.CHANGES
            assert [server.name for server in event.endpoints] == ["s-00000007", f"s-{size:08x}"]
            assert [server.state for server in event.endpoints] == [EndpointState.DRAINING, EndpointState.UP]
            reader.discovery.change_address(second)  # fetches the whole list, then watches
            event, _ = await reader.seen.get()
            assert event.kind is EndpointListKind.FULL and len(event.endpoints) == size + 1
            while len(agent.watchers) != 1 or not agent.sent[1].calls > 1:
                await asyncio.sleep(0.01)
            await agent.do_reset()
            event, _ = await reader.seen.get()
            assert event.kind is EndpointListKind.FULL and len(event.endpoints) == size + 1
            assert reader.discovery.version == agent.version
            sent = await agent.do_take()
            assert sent["0"]["changes"] > change["line_bytes"]  # type: ignore[index,operator]
            assert sent["1"]["whole"] > 2 * size * 100  # type: ignore[index]
        finally:
            for task in (*reader.tasks, *([agent.heartbeats] if agent.heartbeats else [])):
                task.cancel()

    run_with_timeout(scenario)


def test_watch_after_a_dropped_version_gets_the_whole_list() -> None:
    catalogue = Catalogue(5, 7)
    catalogue.change([Change(1, DRAINING)])
    assert json.loads(catalogue.line_since(0))["reset"] and json.loads(catalogue.line_since(9))["reset"]


def test_simulated_home_answers_a_real_doors_gossip() -> None:
    async def scenario() -> None:
        _, port = free_datagram_port(own_host())
        tier = Tier(doors=8, tenants=40, spread=3, seed=3, peer_port=port)
        # A tenant of doors 0 to 2 whose home is door 1, with requests at door 0, the real one here.
        key = next(number for number in range(9) if number % 3 == 1)
        simulated, answers = SimulatedDoors(), asyncio.Queue[bytes]()

        class Real(asyncio.DatagramProtocol):
            def datagram_received(self, data: bytes, address: tuple[str, int]) -> None:
                if address == peer_address(1, port):
                    answers.put_nowait(data)

        transport, _ = await asyncio.get_running_loop().create_datagram_endpoint(
            Real, local_addr=peer_address(0, port)
        )
        await simulated.do_begin(tier.as_fields(), [0], [1], [])
        await simulated.do_pause(True)
        (data,) = pack_messages([GossipMessage(key, 0, 0, 3, requested_units=1.0, demand=1.0)])
        try:
            transport.sendto(data, peer_address(1, port))
            messages: tuple[GossipMessage, ...] = ()
            while not any(message.is_reply and message.customer_checksum == key for message in messages):
                messages = unpack_messages(await answers.get())
            taken = await simulated.do_take()
            counts = taken["doors"]["0"]  # type: ignore[index]
            assert counts["sent_datagrams"] == 1 and counts["sent_bytes"] == len(data)
            assert counts["received_datagrams"] >= 1
        finally:
            await simulated.do_end()
            transport.close()

    run_with_timeout(scenario)


def test_simulated_doors_report_their_tenants_demand_to_a_real_home() -> None:
    async def scenario() -> None:
        _, port = free_datagram_port(own_host())
        tier = Tier(doors=8, tenants=40, spread=3, seed=3, peer_port=port)
        messages: asyncio.Queue[GossipMessage] = asyncio.Queue()

        class Real(asyncio.DatagramProtocol):
            def datagram_received(self, data: bytes, address: tuple[str, int]) -> None:
                for message in unpack_messages(data):
                    messages.put_nowait(message)

        transport, _ = await asyncio.get_running_loop().create_datagram_endpoint(
            Real, local_addr=peer_address(0, port)
        )
        simulated = SimulatedDoors()
        started = await simulated.do_begin(tier.as_fields(), [0], tier.neighbours(0), [])
        try:
            assert started["doors"] == 4 and started["rate"] > 0  # type: ignore[operator]
            seen = {
                (message.set_first, message.set_size)
                for message in [await messages.get() for _ in range(20)]
                if message.plan_index != SPLIT_CEILING_PLAN_INDEX
            }
            assert seen and all(size == 3 and (0 - first) % 8 < 3 for first, size in seen)
        finally:
            await simulated.do_end()
            transport.close()

    run_with_timeout(scenario)


def test_backends_record_requests_and_reset_connections_when_down() -> None:
    async def scenario() -> None:
        backends = Backends()
        port = int((await backends.do_begin())["port"])  # type: ignore[call-overload]
        started_s = time.monotonic()
        request = Requests(TIER, 5, TIER.tenants_of(5), random.Random(1)).next_command()
        reader, writer = await asyncio.open_connection(*backend_address(70_000, port))
        writer.write(encode(request))
        assert (await reader.readline()).startswith(b"*3")
        assert await backends.do_used(started_s) == {"5": [(70_000, 1)]}
        assert (await backends.do_last(started_s, [70_000])).keys() == {"5"}
        assert await backends.do_last(started_s, [70_001]) == {}
        assert (await backends.do_busiest(started_s, [70_000]))["most"] == 1
        await backends.do_gone([70_000])
        with pytest.raises(ConnectionError):
            while await reader.read(1 << 10):
                pass
        writer.close()

    run_with_timeout(scenario)


def test_load_sends_at_its_rate_and_counts_outcomes() -> None:
    async def scenario() -> None:
        backends, load = Backends(), Load()
        port = int((await backends.do_begin())["port"])  # type: ignore[call-overload]
        address = backend_address(3, port)
        started = await load.do_begin(
            TIER.as_fields(), {"one": (0, address), "none": (1, ("127.0.0.1", 1))}, 400.0
        )
        assert started == {"one": len(TIER.tenants_of(0)), "none": len(TIER.tenants_of(1))}
        while load.streams["one"].counts["served"] < 20 or not load.streams["none"].counts["lost"]:
            await asyncio.sleep(0.01)
        taken = await load.do_end()
        one, none = taken["one"], taken["none"]
        assert one["due"] >= one["served"] == len(one["took_ms"]) >= 20  # type: ignore[index]
        assert none["served"] == 0 and none["lost"] > 0 and not load.streams  # type: ignore[index]

    run_with_timeout(scenario)

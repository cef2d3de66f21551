"""Lists too long to be buffered: they are received in parts, applied in steps, or rejected as a whole."""

import asyncio
import json
import time
from dataclasses import replace
from functools import cache

import pytest

from molereach.discovery import client, json_stream, watch_supervisor
from molereach.discovery.endpoint_discovery import EndpointDiscovery
from molereach.discovery.endpoint_mapping import EndpointMapping, EndpointUpdate, StagedEndpointUpdate
from molereach.discovery.poll_backoff import PollBackoff
from molereach.discovery.watch_stream import CHUNK_BYTES, Steps
from molereach.policy.interface.events import EndpointListKind, EndpointListReceived
from molereach.proxy.proxy import Proxy
from molereach.subsetting.endpoint_subsetting import EndpointSubsetting
from tests.discovery.fakes import (
    PLANNED_FLEET_SIZE,
    UnsubsettedList,
    entries_json,
    list_json,
    proxy_with_discovery,
    sends,
)
from tests.races.scripted_peers import wait_until
from tests.sockets import (
    CONFIG,
    HEAD,
    Backend,
    Client,
    DiscoveryServer,
    chunk,
    entry,
    front_door,
    query,
    run,
    value,
)

LOCAL_AGENT_BACKOFF = PollBackoff(1, must_poll=False)
FULL_LIST_TARGET = "/catalog/members"


@cache
def planned_fleet_json() -> bytes:
    return list_json(5, entries_json(PLANNED_FLEET_SIZE))


def response(body: bytes) -> bytes:
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body


class WatchingProxy:
    """Endpoint discovery as a proxy uses it, with `UnsubsettedList`; queues the events of applied updates."""

    def __init__(self, *scripts: object, version: int = 3) -> None:
        self.watch, self.version = DiscoveryServer(*scripts), version  # type: ignore[arg-type]
        self.endpoint_list = UnsubsettedList()
        self.events: asyncio.Queue[EndpointListReceived] = asyncio.Queue()
        self.tasks: list[asyncio.Task[None]] = []

    def on_update(self, update: EndpointUpdate | StagedEndpointUpdate) -> Steps | None:
        if isinstance(update, EndpointUpdate):
            self.events.put_nowait(update.event)
            return None
        return self.apply_staged(update)

    def apply_staged(self, update: StagedEndpointUpdate) -> Steps:
        subset_update = yield from self.endpoint_list.take_over(update.staged, update.kind, update.version)
        assert subset_update
        self.events.put_nowait(subset_update.event)

    async def __aenter__(self) -> "WatchingProxy":
        self.discovery = EndpointDiscovery(
            await self.watch.start(),
            EndpointMapping(CONFIG.zone_numbers, CONFIG.kind_numbers),
            self.version,
            self.on_update,
            lambda coroutine: self.tasks.append(asyncio.create_task(coroutine)),
            lambda: LOCAL_AGENT_BACKOFF,
            lambda: 0.5,
            lambda: self.endpoint_list.stage(),
        )
        self.discovery.start()
        return self

    async def __aexit__(self, *_: object) -> None:
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)


def test_list_of_the_planned_fleet_is_processed_in_chunks_one_per_turn(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    feeds: list[tuple[int, int]] = []  # turn of the event loop, number of bytes
    max_buffered, turn = [0], [0]
    feed = json_stream.JsonStream.feed

    def recording_feed(self: json_stream.JsonStream, data: bytes) -> object:
        feeds.append((turn[0], len(data)))
        yield from feed(self, data)
        max_buffered[0] = max(max_buffered[0], len(self.buffer))

    monkeypatch.setattr(json_stream.JsonStream, "feed", recording_feed)

    async def scenario() -> None:
        text = planned_fleet_json()

        def count_turn() -> None:
            turn[0] += 1
            asyncio.get_running_loop().call_soon(count_turn)

        async with WatchingProxy(sends(response(text)), version=0) as proxy:
            count_turn()
            event = await proxy.events.get()
            assert (event.kind, event.version, len(event.endpoints)) == (
                EndpointListKind.FULL,
                5,
                PLANNED_FLEET_SIZE,
            )
            assert (
                event.endpoints[7].name == "s-00000007"
                and event.endpoints[-1].cell == (PLANNED_FLEET_SIZE - 1) % 2900
            )
            part_sizes = proxy.endpoint_list.stagings[0].part_sizes
        chunk_sizes = [size for _, size in feeds]
        assert max(chunk_sizes) <= CHUNK_BYTES and len({at_turn for at_turn, _ in feeds}) == len(feeds)
        assert max_buffered[0] <= json_stream.EXTRACT_ABOVE_BYTES + 2 * CHUNK_BYTES
        assert (
            max(part_sizes) * len(text) / PLANNED_FLEET_SIZE
            <= json_stream.EXTRACT_ABOVE_BYTES + 2 * CHUNK_BYTES
        )

    run(scenario())


def test_requests_are_answered_while_a_long_list_is_received() -> None:
    """The previous list stays in use until the last step."""

    async def scenario() -> None:
        backend = Backend(lambda words: value(b"ok"))
        address = await backend.start()
        first_part_sent = asyncio.Event()
        others = entries_json(20_000).replace(b"SERVING", b"DRAINING")
        body = list_json(9, others + b"," + json.dumps(entry("s0", address)).encode())

        async def slow_script(writer: asyncio.StreamWriter) -> None:
            writer.write(HEAD + chunk(b"\n"))
            for start in range(0, len(body), 1 << 19):
                writer.write(chunk(body[start : start + (1 << 19)]))
                first_part_sent.set()
                await asyncio.sleep(0.01)
            await asyncio.Event().wait()

        saved_list = {"generation": 3, "reset": True, "instances": [entry("s0", address)]}
        proxy = Proxy(replace(CONFIG, known=saved_list, discovery=await DiscoveryServer(slow_script).start()))
        start = proxy.discovery.start
        proxy.discovery.start = lambda: (proxy.discovery.first_update.set(), start())  # type: ignore[assignment]
        await proxy.start()
        try:
            client, answered_count = await Client.open(proxy.address), 0
            await first_part_sent.wait()
            while proxy.discovery.version != 9:
                assert await client.ask(query(f"r{answered_count}")) == b"ok"
                answered_count += 1
            assert answered_count > 10 and set(proxy.backends.pools) == {"s0"}  # the only backend that is up
            assert (
                isinstance(proxy.endpoints.endpoint_list, EndpointSubsetting)
                and proxy.endpoints.endpoint_list.count == 20_001
            )
        finally:
            proxy.close()

    run(scenario())


def test_staged_list_takes_effect_at_its_last_step() -> None:
    """The version and the change of address take effect together; until then the old address is watched."""

    async def scenario() -> None:
        send_second = asyncio.Event()

        async def old_script(writer: asyncio.StreamWriter) -> None:
            writer.write(HEAD + chunk(b'{"generation":4,"instances":[]}\n'))
            await send_second.wait()
            writer.write(chunk(b'{"generation":6,"instances":[]}\n'))
            await asyncio.Event().wait()

        async with WatchingProxy(old_script) as proxy:
            assert (await proxy.events.get()).version == 4
            new = DiscoveryServer(sends(response(list_json(5, entries_json(1000)))), sends(HEAD))  # type: ignore[arg-type]
            apply_staged = proxy.apply_staged

            def delayed_steps(update: StagedEndpointUpdate) -> Steps:
                send_second.set()
                while proxy.discovery.current.version != 6:
                    yield
                assert proxy.discovery.successor and proxy.discovery.successor.version is None
                yield from apply_staged(update)

            proxy.apply_staged = delayed_steps  # type: ignore[method-assign]
            proxy.discovery.change_address(await new.start())
            assert (await proxy.events.get()).version == 6
            assert (await proxy.events.get()).version == 5
            await wait_until(lambda: len(new.targets) == 2)
            assert proxy.discovery.successor is None and proxy.discovery.version == 5
            assert new.targets[1] == f"{FULL_LIST_TARGET}?watch=1&after=5"

    run(scenario())


def test_time_taken_to_apply_a_list_is_not_silence_of_discovery(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(watch_supervisor, "LOCAL_DISCOVERY_SILENCE_TIMEOUT_S", 0.05)

    async def scenario() -> None:
        async with WatchingProxy(sends(HEAD + chunk(list_json(5, entries_json(1000))))) as proxy:
            apply_staged = proxy.apply_staged

            def slow_steps(update: StagedEndpointUpdate) -> Steps:
                for _ in range(40):
                    time.sleep(0.004)  # other work of this process
                    yield
                yield from apply_staged(update)

            proxy.apply_staged = slow_steps  # type: ignore[method-assign]
            assert (await proxy.events.get()).version == 5 and len(proxy.watch.targets) == 1

    run(scenario())


def test_reset_within_a_list_frees_its_staged_entries() -> None:
    async def scenario() -> None:
        text = list_json(5, entries_json(3000), reset=False)

        async def broken_script(writer: asyncio.StreamWriter) -> None:
            writer.write(HEAD + chunk(text[:-1000]))
            await writer.drain()
            await wait_until(
                lambda: bool(
                    proxy.endpoint_list.stagings and len(proxy.endpoint_list.stagings[0].part_sizes) > 5
                )
            )
            writer.transport.abort()

        async with WatchingProxy(
            broken_script, sends(HEAD + chunk(list_json(6, entries_json(2), reset=False)))
        ) as proxy:
            event = await proxy.events.get()
            assert (event.version, len(event.endpoints)) == (6, 2)
            assert not proxy.discovery.current.staged_objects
            assert proxy.watch.targets == [f"{FULL_LIST_TARGET}?watch=1&after=3"] * 2

    run(scenario())


# --- lists that are rejected as a whole ---

VALID_ENTRIES = entries_json(700)
INVALID_LISTS = {
    "duplicate name": (
        list_json(5, VALID_ENTRIES + b"," + entries_json(1, 699)),
        "names a server twice",
    ),
    "duplicate name in a short list": (
        list_json(5, entries_json(3) + b"," + entries_json(1)),
        "server twice",
    ),
    "exceeds memory": (list_json(5, entries_json(3000)), "3000|over"),
    "incomplete entry": (
        list_json(5, VALID_ENTRIES)[:-3] + b',{"a":"' + b"x" * (json_stream.MAX_OBJECT_BYTES + CHUNK_BYTES),
        "without an end",
    ),
    "exceeds stream limit": (
        list_json(5, b",".join([b'{"odd":"%b"}' % (b"x" * 90)] * 3000)),
        "an object of over",
    ),
    "incomplete object": (list_json(5, VALID_ENTRIES)[:-9], "ends within an object"),
    "missing comma": (list_json(5, VALID_ENTRIES + b" " + VALID_ENTRIES), "delimiter|no comma"),
    "missing version": (list_json(5, VALID_ENTRIES).replace(b"generation", b"generated"), "generation"),
    "too slow": (list_json(5, VALID_ENTRIES), "a list that takes over"),
}


@pytest.mark.parametrize("fault", INVALID_LISTS)
def test_list_that_cannot_be_applied_closes_its_watch_and_the_previous_list_stays(
    fault: str, monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    """The watch is reopened as after any failure; failures are counted until an object has been applied."""
    text, line = INVALID_LISTS[fault]
    if fault == "too slow":
        monkeypatch.setattr(client, "STAGING_TIMEOUT_S", -1.0)
    if fault == "exceeds stream limit":
        monkeypatch.setattr(json_stream, "MAX_STREAMED_BYTES", 200_000)
    monkeypatch.setattr("molereach.discovery.poll_backoff.MAX_LOCAL_DISCOVERY_BACKOFF_S", 0.02)

    async def scenario() -> None:
        invalid = sends(HEAD, chunk(text), chunk(b""), stay_open=False)
        valid = sends(HEAD + chunk(list_json(6, entries_json(2))))
        async with proxy_with_discovery(invalid, invalid, invalid, valid, memory_mb=1) as (proxy, watch):
            backoff = proxy.discovery.current.backoff
            failure_counts = []
            while len(watch.targets) < 4:
                failure_counts.append(backoff.failures)
                assert list(proxy.backends.pools) == ["s1"] and proxy.discovery.version in (3, 6)
                await asyncio.sleep(0.002)
            assert max(failure_counts) >= 2
            assert watch.targets == [f"{FULL_LIST_TARGET}?watch=1&after=3"] * 4
            await wait_until(lambda: proxy.discovery.version == 6)
            assert backoff.failures == 0 and len(proxy.backends.pools) == 2
            assert not proxy.discovery.current.staged_objects

    run(scenario())
    messages = [
        record.getMessage() for record in caplog.records if "malformed watch response" in record.getMessage()
    ]
    assert len(messages) == 3 and all(len(message) < 300 for message in messages)
    assert any(part in messages[0] for part in line.split("|")), messages[0]


def test_rejected_list_of_a_new_address_keeps_the_old_address() -> None:
    async def scenario() -> None:
        first = sends(HEAD + chunk(list_json(4, entries_json(1))))
        async with proxy_with_discovery(first) as (proxy, watch):
            await wait_until(lambda: proxy.discovery.version == 4)
            new = DiscoveryServer(
                sends(response(INVALID_LISTS["duplicate name in a short list"][0]), stay_open=False)  # type: ignore[arg-type]
            )
            proxy.discovery.change_address(await new.start())
            await wait_until(lambda: len(new.targets) == 2)
            assert proxy.discovery.current.address == watch.server.sockets[0].getsockname()
            assert proxy.discovery.successor and not proxy.discovery.current.closed

    run(scenario())


def test_malformed_entries_of_a_part_are_logged_in_one_line_of_limited_length(
    caplog: pytest.LogCaptureFixture,
) -> None:
    malformed = b'{"instanceId":"%b"},' % (b"x" * 400)
    text = list_json(5, (malformed + b"7,[[]],") * 20 + VALID_ENTRIES)

    async def scenario() -> None:
        async with WatchingProxy(sends(response(text)), version=0) as proxy:
            assert len((await proxy.events.get()).endpoints) == 700

    run(scenario())
    (message,) = [
        record.getMessage()
        for record in caplog.records
        if "malformed endpoint entry skipped" in record.getMessage()
    ]
    assert "59 more" in message and len(message) < 600


def test_short_list_is_not_staged() -> None:
    async def scenario() -> None:
        async with front_door(Backend()) as (proxy, _):
            assert not proxy.discovery.current.staged_objects and list(proxy.backends.pools) == ["s0"]

    run(scenario())

"""Memory for long lists while discovery switches its address: two copies of the longest list at most."""

import asyncio
import contextlib
import gc
from collections.abc import AsyncIterator, Iterator
from dataclasses import replace

import pytest

from molereach.discovery.client import DiscoveryClient
from molereach.discovery.endpoint_mapping import EndpointUpdate, StagedEndpointUpdate
from molereach.discovery.watch_stream import Steps
from molereach.proxy.proxy import Proxy
from molereach.subsetting.endpoint_subsetting import EndpointSubsetting
from molereach.subsetting.ring import Ring
from molereach.subsetting.staging import EntrySlice, Staging
from tests.discovery.fakes import entries_json, list_json, sends
from tests.races.scripted_peers import wait_until
from tests.sockets import CONFIG, HEAD, DiscoveryServer, chunk, entry, run

MAX_LIST_ENTRIES = 3_276  # of one list at 4 MB of memory
MAX_TOTAL_ENTRIES = 2 * MAX_LIST_ENTRIES + 1_000  # with two steps of changes
LONG_LIST_ENTRIES = 3_200
BACKEND_ADDRESS = ("127.0.0.1", 9)
FULL_LIST_TARGET, WATCH_TARGET = "/catalog/members", "/catalog/members?watch=1&after="


def long_list_json(version: int, reset: bool = True) -> bytes:
    return list_json(version, entries_json(LONG_LIST_ENTRIES), reset)


class EntryCount:
    """Entries in memory, counted over the objects of the process and not by its own accounting."""

    def __init__(self) -> None:
        gc.collect()
        self.preexisting = [each for each in gc.get_objects() if isinstance(each, EntrySlice | Ring)]
        self.maximum = 0

    def current(self) -> int:
        preexisting, count = {id(each) for each in self.preexisting}, 0
        for each in gc.get_objects():
            if id(each) in preexisting:
                continue
            if isinstance(each, EntrySlice):
                count += len(each.records)
            if isinstance(each, Ring):
                count += sum(len(bucket.records) for bucket in each.buckets if bucket)
        return count

    def sample(self) -> None:
        self.maximum = max(self.maximum, self.current())


@pytest.fixture
def entry_count(monkeypatch: pytest.MonkeyPatch) -> Iterator[EntryCount]:
    """Sampled after each part that is staged; failed watches are reopened after 0.02 s at most."""
    count, add = EntryCount(), Staging.add

    def add_and_sample(self: Staging, *args: object) -> None:
        add(self, *args)  # type: ignore[arg-type]
        count.sample()

    monkeypatch.setattr(Staging, "add", add_and_sample)
    monkeypatch.setattr("molereach.discovery.poll_backoff.MAX_LOCAL_DISCOVERY_BACKOFF_S", 0.02)
    yield count


@contextlib.asynccontextmanager
async def proxy_with_long_list(*scripts: object) -> AsyncIterator[tuple[Proxy, DiscoveryServer]]:
    """A proxy with a long saved list that watches a discovery which runs these scripts."""
    discovery = DiscoveryServer(*scripts)  # type: ignore[arg-type]
    saved_list = {
        "generation": 3,
        "reset": True,
        "instances": [entry(f"k{number}", BACKEND_ADDRESS) for number in range(LONG_LIST_ENTRIES)],
    }
    settings = replace(CONFIG.settings, must_poll_endpoints=False)
    proxy = Proxy(
        replace(CONFIG, known=saved_list, discovery=await discovery.start(), settings=settings, memory_mb=4)
    )
    proxy.discovery.start()
    try:
        yield proxy, discovery
    finally:
        proxy.close()


def staged_count(proxy: Proxy, old: bool) -> int:
    """Staged entries of an incomplete object, of the old or the new address."""
    client = proxy.discovery.current if old else proxy.discovery.successor
    stagings = [staged_object.staged for staged_object in client.staged_objects.values()] if client else []
    return sum(staging.added_count for staging in stagings if isinstance(staging, Staging))


def messages_with(caplog: pytest.LogCaptureFixture, text: str) -> list[str]:
    return [message for message in caplog.messages if text in message]


def test_staged_entries_of_the_old_address_are_freed_for_those_of_the_new_one(
    entry_count: EntryCount, caplog: pytest.LogCaptureFixture
) -> None:
    """The old address's watch is closed with one log line, and the switch succeeds at the first request."""

    async def scenario() -> None:
        async with proxy_with_long_list(sends(HEAD + chunk(long_list_json(4)[:-9])), sends(HEAD)) as (
            proxy,
            old,
        ):
            await wait_until(lambda: staged_count(proxy, old=True) > LONG_LIST_ENTRIES - 100)
            new = DiscoveryServer(sends(HEAD + chunk(long_list_json(9))), sends(HEAD))  # type: ignore[arg-type]
            proxy.discovery.change_address(await new.start())
            await wait_until(lambda: proxy.discovery.version == 9)
            await wait_until(lambda: len(new.targets) == 2)
            assert new.targets == [FULL_LIST_TARGET, f"{WATCH_TARGET}9"]
            assert (
                isinstance(proxy.endpoints.endpoint_list, EndpointSubsetting)
                and proxy.endpoints.endpoint_list.count == LONG_LIST_ENTRIES
            )
            assert set(old.targets) == {f"{WATCH_TARGET}3"}

    run(scenario())
    assert LONG_LIST_ENTRIES < entry_count.maximum <= MAX_TOTAL_ENTRIES
    assert len(messages_with(caplog, "dropped for")) == 1 and not messages_with(
        caplog, "malformed watch response"
    )


def test_list_of_the_old_address_is_freed_also_while_it_is_applied_in_steps(
    entry_count: EntryCount, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Only its unfinished steps reference its entries, and nothing does once its watch is closed."""

    async def scenario() -> None:
        applying, released = asyncio.Event(), asyncio.Event()
        freed_counts: list[int] = []
        monkeypatch.setattr("molereach.subsetting.staging.STEP_ENTRIES", 1)

        async def new_script(writer: asyncio.StreamWriter) -> None:
            writer.write(HEAD)
            await applying.wait()
            writer.write(chunk(long_list_json(9)))
            await asyncio.Event().wait()

        send_list = asyncio.Event()

        async def old_script(writer: asyncio.StreamWriter) -> None:
            writer.write(HEAD + chunk(b"\n"))
            await send_list.wait()
            writer.write(chunk(long_list_json(4)))
            await asyncio.Event().wait()

        async with proxy_with_long_list(old_script, sends(HEAD)) as (proxy, old):
            new = DiscoveryServer(new_script, sends(HEAD))  # type: ignore[arg-type]
            proxy.discovery.change_address(await new.start())
            await wait_until(lambda: bool(new.targets))
            client, apply_update = proxy.discovery.current, proxy.discovery.apply_update
            release_staged = client.release_staged

            def counting_release() -> bool:
                before, was_released = entry_count.current(), release_staged()
                freed_counts.append(before - entry_count.current())
                released.set()
                return was_released

            def signalling_update(
                sender: DiscoveryClient, update: EndpointUpdate | StagedEndpointUpdate
            ) -> Steps | None:
                applying.set()
                return apply_update(sender, update)

            client.on_update, client.release_staged = signalling_update, counting_release  # type: ignore[method-assign]
            send_list.set()
            await released.wait()
            # The entry being moved from the staging to the index was in both.
            assert LONG_LIST_ENTRIES <= freed_counts[0] <= LONG_LIST_ENTRIES + 1
            monkeypatch.undo()
            await wait_until(lambda: proxy.discovery.version == 9)
            assert set(old.targets) == {f"{WATCH_TARGET}3"}

    run(scenario())
    assert LONG_LIST_ENTRIES < entry_count.maximum <= MAX_TOTAL_ENTRIES


def test_long_update_of_the_old_address_is_rejected_while_that_of_the_new_one_is_staged(
    entry_count: EntryCount, caplog: pytest.LogCaptureFixture
) -> None:
    """Its watch is closed, as for any list that exceeds memory; its short updates are applied as before."""

    async def scenario() -> None:
        send_long, finish_new = asyncio.Event(), asyncio.Event()

        async def old_script(writer: asyncio.StreamWriter) -> None:
            writer.write(HEAD + chunk(b"\n"))
            await send_long.wait()
            writer.write(chunk(long_list_json(4, reset=False)))
            await asyncio.Event().wait()

        async def new_script(writer: asyncio.StreamWriter) -> None:
            writer.write(HEAD + chunk(long_list_json(9)[:-9]))
            await finish_new.wait()
            writer.write(chunk(long_list_json(9)[-9:]))
            await asyncio.Event().wait()

        short_update = sends(HEAD + chunk(list_json(5, entries_json(1), reset=False)))
        async with proxy_with_long_list(old_script, short_update) as (proxy, old):
            new = DiscoveryServer(new_script, sends(HEAD))  # type: ignore[arg-type]
            proxy.discovery.change_address(await new.start())
            await wait_until(lambda: staged_count(proxy, old=False) > LONG_LIST_ENTRIES - 100)
            send_long.set()
            await wait_until(lambda: len(old.targets) == 2)
            assert old.targets == [f"{WATCH_TARGET}3"] * 2
            await wait_until(lambda: proxy.discovery.version == 5)
            assert (
                isinstance(proxy.endpoints.endpoint_list, EndpointSubsetting)
                and proxy.endpoints.endpoint_list.count == LONG_LIST_ENTRIES + 1
            )
            finish_new.set()
            await wait_until(lambda: proxy.discovery.version == 9)
            assert proxy.endpoints.endpoint_list.count == LONG_LIST_ENTRIES

    run(scenario())
    (line,) = messages_with(caplog, "malformed watch response")
    assert "no room" in line and len(line) < 300
    assert LONG_LIST_ENTRIES < entry_count.maximum <= MAX_TOTAL_ENTRIES and not messages_with(
        caplog, "dropped for"
    )


@pytest.mark.parametrize("count", [1, LONG_LIST_ENTRIES])
def test_drain_reported_while_a_list_of_the_new_address_is_applied_takes_effect(
    count: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The old address reports it once the new list has arrived; the backend gets no requests afterwards."""

    async def scenario() -> None:
        applying = asyncio.Event()
        monkeypatch.setattr("molereach.subsetting.staging.STEP_ENTRIES", 1)

        async def old_script(writer: asyncio.StreamWriter) -> None:
            writer.write(HEAD + chunk(list_json(4, entries_json(count))))
            await applying.wait()
            drain = entries_json(1).replace(b"SERVING", b"DRAINING")
            writer.write(chunk(list_json(5, drain, reset=False)))
            await asyncio.Event().wait()

        async with proxy_with_long_list(old_script) as (proxy, _):
            await wait_until(lambda: proxy.discovery.version == 4)
            new = DiscoveryServer(sends(HEAD + chunk(long_list_json(9))), sends(HEAD))  # type: ignore[arg-type]
            proxy.discovery.change_address(await new.start())
            await wait_until(
                lambda: proxy.discovery.successor is not None and bool(proxy.discovery.successor.watches)
            )
            published_versions, apply_update = [], proxy.discovery.apply_update

            def signalling_update(
                sender: DiscoveryClient, update: EndpointUpdate | StagedEndpointUpdate
            ) -> Steps | None:
                applying.set()
                return apply_update(sender, update)

            assert proxy.discovery.successor
            proxy.discovery.successor.on_update = signalling_update
            publish = proxy.endpoints.publish
            proxy.endpoints.publish = lambda event, addresses: (
                published_versions.append(event.version),
                publish(event, addresses),
            )  # type: ignore
            await wait_until(lambda: proxy.discovery.version == 9)
            assert published_versions == [5, 9]
            assert "s-00000000" not in proxy.backends.pools and "s-00000001" in proxy.backends.pools

    run(scenario())


def test_staged_entries_of_the_old_address_are_freed_for_one_watch_of_the_new_one_only(
    entry_count: EntryCount, caplog: pytest.LogCaptureFixture
) -> None:
    """A new address whose lists cannot be applied must not keep the old one from delivering its own."""

    async def scenario() -> None:
        incomplete, no_room_counts = sends(HEAD + chunk(long_list_json(4)[:-9])), list[int]()
        end_first = asyncio.Event()

        async def broken_script(writer: asyncio.StreamWriter) -> None:
            writer.write(HEAD + chunk(long_list_json(9)[:-9]))
            await end_first.wait()

        async def complete_script(writer: asyncio.StreamWriter) -> None:
            writer.write(HEAD)
            await wait_until(lambda: staged_count(proxy, old=True) > LONG_LIST_ENTRIES - 100)
            no_room_counts.append(len(messages_with(caplog, "no room")))
            writer.write(chunk(long_list_json(9)))
            await asyncio.Event().wait()

        async with proxy_with_long_list(incomplete, incomplete) as (proxy, old):
            await wait_until(lambda: staged_count(proxy, old=True) > LONG_LIST_ENTRIES - 100)
            new = DiscoveryServer(broken_script, complete_script, sends(HEAD))  # type: ignore[arg-type]
            proxy.discovery.change_address(await new.start())
            await wait_until(lambda: staged_count(proxy, old=False) > LONG_LIST_ENTRIES - 100)
            release_count = len(messages_with(caplog, "dropped for"))
            end_first.set()
            await wait_until(lambda: len(new.targets) == 3)
            assert staged_count(proxy, old=True) > LONG_LIST_ENTRIES - 100 and proxy.discovery.version == 3
            assert new.targets == [FULL_LIST_TARGET] * 3 and len(old.targets) >= 2
            assert len(messages_with(caplog, "dropped for")) == release_count >= 1
            assert len(messages_with(caplog, "no room")) > no_room_counts[0]

    run(scenario())
    assert entry_count.maximum <= MAX_TOTAL_ENTRIES

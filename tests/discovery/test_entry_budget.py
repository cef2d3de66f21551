"""What long lists hold at once while discovery moves: two copies of the longest list, and no third."""

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
from tests.discovery.fakes import entries_text, list_text, says
from tests.races.wire import until
from tests.sockets import CONFIG, HEAD, Watch, chunk, entry, run

MOST = 3_276  # entries of one list at 4 MB
ROOM = 2 * MOST + 1_000  # with two steps of changes
LONG = 3_200
AT = ("127.0.0.1", 9)
WHOLE, AFTER = "/catalog/members", "/catalog/members?watch=1&after="


def text_of(version: int, reset: bool = True) -> bytes:
    return list_text(version, entries_text(LONG), reset)


class Held:
    """Entries that are there, by what the process has objects of and by no account of its own."""

    def __init__(self) -> None:
        gc.collect()
        self.others = [one for one in gc.get_objects() if isinstance(one, EntrySlice | Ring)]
        self.most = 0

    def now(self) -> int:
        others, count = {id(one) for one in self.others}, 0
        for one in gc.get_objects():
            if id(one) in others:
                continue
            if isinstance(one, EntrySlice):
                count += len(one.records)
            if isinstance(one, Ring):
                count += sum(len(bucket.records) for bucket in one.buckets if bucket)
        return count

    def look(self) -> None:
        self.most = max(self.most, self.now())


@pytest.fixture
def held(monkeypatch: pytest.MonkeyPatch) -> Iterator[Held]:
    """Looked at behind each part that was staged."""
    found, add = Held(), Staging.add

    def spied(self: Staging, *values: object) -> None:
        add(self, *values)  # type: ignore[arg-type]
        found.look()

    monkeypatch.setattr(Staging, "add", spied)
    monkeypatch.setattr("molereach.discovery.poll_backoff.MAX_LOCAL_DISCOVERY_BACKOFF_S", 0.02)
    yield found


@contextlib.asynccontextmanager
async def long_door(*scripts: object) -> AsyncIterator[tuple[Proxy, Watch]]:
    """A front door that knows a long list, and calls on these."""
    watch = Watch(*scripts)  # type: ignore[arg-type]
    known = {"generation": 3, "reset": True, "instances": [entry(f"k{number}", AT) for number in range(LONG)]}
    settings = replace(CONFIG.settings, must_poll_endpoints=False)
    door = Proxy(replace(CONFIG, known=known, discovery=await watch.start(), settings=settings, memory_mb=4))
    door.discovery.start()
    try:
        yield door, watch
    finally:
        door.close()


def staged(door: Proxy, old: bool) -> int:
    """Entries that an address has told of an object that has not ended."""
    source = door.discovery.current if old else door.discovery.successor
    stagings = [one.staged for one in source.staged_objects.values()] if source else []
    return sum(one.added_count for one in stagings if isinstance(one, Staging))


def said(caplog: pytest.LogCaptureFixture, text: str) -> list[str]:
    return [one for one in caplog.messages if text in one]


def test_parts_of_the_old_address_give_way_to_those_of_the_new(
    held: Held, caplog: pytest.LogCaptureFixture
) -> None:
    """The old one's call is lost with one line, and the move succeeds at its first call."""

    async def job() -> None:
        async with long_door(says(HEAD + chunk(text_of(4)[:-9])), says(HEAD)) as (door, watch):
            await until(lambda: staged(door, old=True) > LONG - 100)
            new = Watch(says(HEAD + chunk(text_of(9))), says(HEAD))  # type: ignore[arg-type]
            door.discovery.change_address(await new.start())
            await until(lambda: door.discovery.version == 9)
            await until(lambda: len(new.targets) == 2)
            assert new.targets == [WHOLE, f"{AFTER}9"]
            assert (
                isinstance(door.endpoints.endpoint_list, EndpointSubsetting)
                and door.endpoints.endpoint_list.count == LONG
            )
            assert set(watch.targets) == {f"{AFTER}3"}

    run(job())
    assert LONG < held.most <= ROOM
    assert len(said(caplog, "dropped for")) == 1 and not said(caplog, "malformed watch response")


def test_list_of_the_old_address_gives_way_also_while_it_is_taken_over(
    held: Held, monkeypatch: pytest.MonkeyPatch
) -> None:
    """It is held by what its steps have left open, and by nothing once its call is lost."""

    async def job() -> None:
        begun, lost = asyncio.Event(), asyncio.Event()
        gone: list[int] = []
        monkeypatch.setattr("molereach.subsetting.staging.STEP_ENTRIES", 1)

        async def whole(writer: asyncio.StreamWriter) -> None:
            writer.write(HEAD)
            await begun.wait()
            writer.write(chunk(text_of(9)))
            await asyncio.Event().wait()

        gate = asyncio.Event()

        async def old(writer: asyncio.StreamWriter) -> None:
            writer.write(HEAD + chunk(b"\n"))
            await gate.wait()
            writer.write(chunk(text_of(4)))
            await asyncio.Event().wait()

        async with long_door(old, says(HEAD)) as (door, watch):
            new = Watch(whole, says(HEAD))  # type: ignore[arg-type]
            door.discovery.change_address(await new.start())
            await until(lambda: bool(new.targets))
            source, take = door.discovery.current, door.discovery.apply_update
            give_way = source.release_staged

            def seen() -> bool:
                before, found = held.now(), give_way()
                gone.append(before - held.now())
                lost.set()
                return found

            def taking(of: DiscoveryClient, news: EndpointUpdate | StagedEndpointUpdate) -> Steps | None:
                begun.set()
                return take(of, news)

            source.on_update, source.release_staged = taking, seen  # type: ignore[method-assign]
            gate.set()
            await lost.wait()
            assert LONG <= gone[0] <= LONG + 1  # the one in between was in both
            monkeypatch.undo()
            await until(lambda: door.discovery.version == 9)
            assert set(watch.targets) == {f"{AFTER}3"}

    run(job())
    assert LONG < held.most <= ROOM


def test_old_address_has_no_room_beside_the_parts_of_the_new_and_its_list_holds(
    held: Held, caplog: pytest.LogCaptureFixture
) -> None:
    """Its call is lost, as for any list without room; what it says in short is heard as before."""

    async def job() -> None:
        gate, end = asyncio.Event(), asyncio.Event()

        async def old(writer: asyncio.StreamWriter) -> None:
            writer.write(HEAD + chunk(b"\n"))
            await gate.wait()
            writer.write(chunk(text_of(4, reset=False)))
            await asyncio.Event().wait()

        async def first(writer: asyncio.StreamWriter) -> None:
            writer.write(HEAD + chunk(text_of(9)[:-9]))
            await end.wait()
            writer.write(chunk(text_of(9)[-9:]))
            await asyncio.Event().wait()

        short = says(HEAD + chunk(list_text(5, entries_text(1), reset=False)))
        async with long_door(old, short) as (door, watch):
            new = Watch(first, says(HEAD))  # type: ignore[arg-type]
            door.discovery.change_address(await new.start())
            await until(lambda: staged(door, old=False) > LONG - 100)
            gate.set()
            await until(lambda: len(watch.targets) == 2)
            assert watch.targets == [f"{AFTER}3"] * 2
            await until(lambda: door.discovery.version == 5)
            assert (
                isinstance(door.endpoints.endpoint_list, EndpointSubsetting)
                and door.endpoints.endpoint_list.count == LONG + 1
            )
            end.set()
            await until(lambda: door.discovery.version == 9)
            assert door.endpoints.endpoint_list.count == LONG

    run(job())
    (line,) = said(caplog, "malformed watch response")
    assert "no room" in line and len(line) < 300
    assert LONG < held.most <= ROOM and not said(caplog, "dropped for")


@pytest.mark.parametrize("count", [1, LONG])
def test_drain_told_while_a_list_of_the_new_address_is_taken_over_holds(
    count: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The old address tells it when that list has come; nothing goes there after the move either."""

    async def job() -> None:
        begun = asyncio.Event()
        monkeypatch.setattr("molereach.subsetting.staging.STEP_ENTRIES", 1)

        async def old(writer: asyncio.StreamWriter) -> None:
            writer.write(HEAD + chunk(list_text(4, entries_text(count))))
            await begun.wait()
            drained = entries_text(1).replace(b"SERVING", b"DRAINING")
            writer.write(chunk(list_text(5, drained, reset=False)))
            await asyncio.Event().wait()

        async with long_door(old) as (door, _):
            await until(lambda: door.discovery.version == 4)
            new = Watch(says(HEAD + chunk(text_of(9))), says(HEAD))  # type: ignore[arg-type]
            door.discovery.change_address(await new.start())
            await until(
                lambda: door.discovery.successor is not None and bool(door.discovery.successor.watches)
            )
            heard, take = [], door.discovery.apply_update

            def taking(of: DiscoveryClient, news: EndpointUpdate | StagedEndpointUpdate) -> Steps | None:
                begun.set()
                return take(of, news)

            assert door.discovery.successor
            door.discovery.successor.on_update = taking
            hear = door.endpoints.publish
            door.endpoints.publish = lambda event, addresses: (
                heard.append(event.version),
                hear(event, addresses),
            )  # type: ignore
            await until(lambda: door.discovery.version == 9)
            assert heard == [5, 9]
            assert "s-00000000" not in door.backends.pools and "s-00000001" in door.backends.pools

    run(job())


def test_new_address_is_given_way_to_in_one_call(held: Held, caplog: pytest.LogCaptureFixture) -> None:
    """One whose lists cannot be taken must not keep the old one from telling its own."""

    async def job() -> None:
        half, refused = says(HEAD + chunk(text_of(4)[:-9])), list[int]()
        gate = asyncio.Event()

        async def broken(writer: asyncio.StreamWriter) -> None:
            writer.write(HEAD + chunk(text_of(9)[:-9]))
            await gate.wait()

        async def whole(writer: asyncio.StreamWriter) -> None:
            writer.write(HEAD)
            await until(lambda: staged(door, old=True) > LONG - 100)
            refused.append(len(said(caplog, "no room")))
            writer.write(chunk(text_of(9)))
            await asyncio.Event().wait()

        async with long_door(half, half) as (door, watch):
            await until(lambda: staged(door, old=True) > LONG - 100)
            new = Watch(broken, whole, says(HEAD))  # type: ignore[arg-type]
            door.discovery.change_address(await new.start())
            await until(lambda: staged(door, old=False) > LONG - 100)
            gave_way = len(said(caplog, "dropped for"))
            gate.set()
            await until(lambda: len(new.targets) == 3)
            assert staged(door, old=True) > LONG - 100 and door.discovery.version == 3
            assert new.targets == [WHOLE] * 3 and len(watch.targets) >= 2
            assert len(said(caplog, "dropped for")) == gave_way >= 1
            assert len(said(caplog, "no room")) > refused[0]

    run(job())
    assert held.most <= ROOM

"""A list too long to be held as text: it is heard in parts, taken over in turns, or refused as a whole."""

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
from tests.discovery.fakes import SIZE, AllSeen, door_before, entries_text, list_text, says
from tests.races.wire import until
from tests.sockets import CONFIG, HEAD, Client, Watch, chunk, entry, front_door, query, run, value
from tests.sockets import Backend as Served

AGENT = PollBackoff(1, must_poll=False)
WHOLE = "/catalog/members"


@cache
def long_text() -> bytes:
    return list_text(5, entries_text(SIZE))


def answer(body: bytes) -> bytes:
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body


class Heard:
    """Discovery with lists that are seen whole, and what came of it."""

    def __init__(self, *scripts: object, version: int = 3) -> None:
        self.watch, self.version = Watch(*scripts), version  # type: ignore[arg-type]
        self.lists = AllSeen()
        self.seen: asyncio.Queue[EndpointListReceived] = asyncio.Queue()
        self.tasks: list[asyncio.Task[None]] = []

    def hear(self, news: EndpointUpdate | StagedEndpointUpdate) -> Steps | None:
        if isinstance(news, EndpointUpdate):
            self.seen.put_nowait(news.event)
            return None
        return self.take(news)

    def take(self, news: StagedEndpointUpdate) -> Steps:
        seen = yield from self.lists.take_over(news.staged, news.kind, news.version)
        assert seen
        self.seen.put_nowait(seen.event)

    async def __aenter__(self) -> "Heard":
        self.discovery = EndpointDiscovery(
            await self.watch.start(),
            EndpointMapping(CONFIG.zone_numbers, CONFIG.kind_numbers),
            self.version,
            self.hear,
            lambda job: self.tasks.append(asyncio.create_task(job)),
            lambda: AGENT,
            lambda: 0.5,
            lambda: self.lists.stage(),
        )
        self.discovery.start()
        return self

    async def __aexit__(self, *_: object) -> None:
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)


def test_list_of_the_coming_fleet_is_read_in_pieces_with_a_turn_for_others_between(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    feeds: list[tuple[int, int]] = []  # the turn, and the bytes
    held, turn = [0], [0]
    feed = json_stream.JsonStream.feed

    def spied(self: json_stream.JsonStream, data: bytes) -> object:
        feeds.append((turn[0], len(data)))
        yield from feed(self, data)
        held[0] = max(held[0], len(self.buffer))

    monkeypatch.setattr(json_stream.JsonStream, "feed", spied)

    async def job() -> None:
        text = long_text()

        def tick() -> None:
            turn[0] += 1
            asyncio.get_running_loop().call_soon(tick)

        async with Heard(says(answer(text)), version=0) as door:
            tick()
            event = await door.seen.get()
            assert (event.kind, event.version, len(event.endpoints)) == (EndpointListKind.FULL, 5, SIZE)
            assert event.endpoints[7].name == "s-00000007" and event.endpoints[-1].cell == (SIZE - 1) % 2900
            sizes = door.lists.staged[0].sizes
        pieces = [size for _, size in feeds]
        assert max(pieces) <= CHUNK_BYTES and len({at for at, _ in feeds}) == len(feeds)
        assert held[0] <= json_stream.EXTRACT_ABOVE_BYTES + 2 * CHUNK_BYTES
        assert max(sizes) * len(text) / SIZE <= json_stream.EXTRACT_ABOVE_BYTES + 2 * CHUNK_BYTES

    run(job())


def test_requests_are_answered_while_a_long_list_is_read() -> None:
    """The list before it serves until the last step."""

    async def job() -> None:
        backend = Served(lambda words: value(b"ok"))
        at = await backend.start()
        come = asyncio.Event()
        others = entries_text(20_000).replace(b"SERVING", b"DRAINING")
        body = list_text(9, others + b"," + json.dumps(entry("s0", at)).encode())

        async def slow(writer: asyncio.StreamWriter) -> None:
            writer.write(HEAD + chunk(b"\n"))
            for start in range(0, len(body), 1 << 19):
                writer.write(chunk(body[start : start + (1 << 19)]))
                come.set()
                await asyncio.sleep(0.01)
            await asyncio.Event().wait()

        known = {"generation": 3, "reset": True, "instances": [entry("s0", at)]}
        door = Proxy(replace(CONFIG, known=known, discovery=await Watch(slow).start()))
        start = door.discovery.start
        door.discovery.start = lambda: (door.discovery.first_update.set(), start())  # type: ignore[assignment]
        await door.start()
        try:
            client, served = await Client.open(door.address), 0
            await come.wait()
            while door.discovery.version != 9:
                assert await client.ask(query(f"r{served}")) == b"ok"
                served += 1
            assert served > 10 and set(door.backends.pools) == {"s0"}  # of all, the one that is up
            assert (
                isinstance(door.endpoints.endpoint_list, EndpointSubsetting)
                and door.endpoints.endpoint_list.count == 20_001
            )
        finally:
            door.close()

    run(job())


def test_list_counts_at_its_last_step() -> None:
    """The version, the first list and the change of address: all at once; the old one is heard till then."""

    async def job() -> None:
        gate = asyncio.Event()

        async def old(writer: asyncio.StreamWriter) -> None:
            writer.write(HEAD + chunk(b'{"generation":4,"instances":[]}\n'))
            await gate.wait()
            writer.write(chunk(b'{"generation":6,"instances":[]}\n'))
            await asyncio.Event().wait()

        async with Heard(old) as door:
            assert (await door.seen.get()).version == 4
            new = Watch(says(answer(list_text(5, entries_text(1000)))), says(HEAD))  # type: ignore[arg-type]
            take = door.take

            def stepped(news: StagedEndpointUpdate) -> Steps:
                gate.set()
                while door.discovery.current.version != 6:
                    yield
                assert door.discovery.successor and door.discovery.successor.version is None
                yield from take(news)

            door.take = stepped  # type: ignore[method-assign]
            door.discovery.change_address(await new.start())
            assert (await door.seen.get()).version == 6
            assert (await door.seen.get()).version == 5
            await until(lambda: len(new.targets) == 2)
            assert door.discovery.successor is None and door.discovery.version == 5
            assert new.targets[1] == f"{WHOLE}?watch=1&after=5"

    run(job())


def test_taking_over_is_no_silence_of_discovery(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(watch_supervisor, "LOCAL_DISCOVERY_SILENCE_TIMEOUT_S", 0.05)

    async def job() -> None:
        async with Heard(says(HEAD + chunk(list_text(5, entries_text(1000))))) as door:
            take = door.take

            def slow(news: StagedEndpointUpdate) -> Steps:
                for _ in range(40):
                    time.sleep(0.004)  # other work of this process
                    yield
                yield from take(news)

            door.take = slow  # type: ignore[method-assign]
            assert (await door.seen.get()).version == 5 and len(door.watch.targets) == 1

    run(job())


def test_reset_in_the_middle_of_a_list_leaves_nothing_of_it() -> None:
    async def job() -> None:
        text = list_text(5, entries_text(3000), reset=False)

        async def broken(writer: asyncio.StreamWriter) -> None:
            writer.write(HEAD + chunk(text[:-1000]))
            await writer.drain()
            await until(lambda: bool(door.lists.staged and len(door.lists.staged[0].sizes) > 5))
            writer.transport.abort()

        async with Heard(broken, says(HEAD + chunk(list_text(6, entries_text(2), reset=False)))) as door:
            event = await door.seen.get()
            assert (event.version, len(event.endpoints)) == (6, 2)
            assert not door.discovery.current.staged_objects
            assert door.watch.targets == [f"{WHOLE}?watch=1&after=3"] * 2

    run(job())


# --- refused as a whole ---

SOME = entries_text(700)
BAD = {
    "a name twice": (list_text(5, SOME + b"," + entries_text(1, 699)), "names a server twice"),
    "a name twice in a short list": (list_text(5, entries_text(3) + b"," + entries_text(1)), "server twice"),
    "more than memory": (list_text(5, entries_text(3000)), "3000|over"),
    "an entry without an end": (
        list_text(5, SOME)[:-3] + b',{"a":"' + b"x" * (json_stream.MAX_OBJECT_BYTES + CHUNK_BYTES),
        "without an end",
    ),
    "no end at all": (list_text(5, b",".join([b'{"odd":"%b"}' % (b"x" * 90)] * 3000)), "an object of over"),
    "half": (list_text(5, SOME)[:-9], "ends within an object"),
    "a comma missing": (list_text(5, SOME + b" " + SOME), "delimiter|no comma"),
    "no version": (list_text(5, SOME).replace(b"generation", b"generated"), "generation"),
    "too slow": (list_text(5, SOME), "a list that takes over"),
}


@pytest.mark.parametrize("what", BAD)
def test_list_that_cannot_be_taken_costs_its_call_and_the_old_one_holds(
    what: str, monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    """And further calls come as after any failure: failures add up until an object was taken."""
    text, line = BAD[what]
    if what == "too slow":
        monkeypatch.setattr(client, "STAGING_TIMEOUT_S", -1.0)
    if what == "no end at all":
        monkeypatch.setattr(json_stream, "MAX_STREAMED_BYTES", 200_000)
    monkeypatch.setattr("molereach.discovery.poll_backoff.MAX_LOCAL_DISCOVERY_BACKOFF_S", 0.02)

    async def job() -> None:
        bad = says(HEAD, chunk(text), chunk(b""), stay=False)
        good = says(HEAD + chunk(list_text(6, entries_text(2))))
        async with door_before(bad, bad, bad, good, memory_mb=1) as (door, watch):
            pacing = door.discovery.current.backoff
            failures = []
            while len(watch.targets) < 4:
                failures.append(pacing.failures)
                assert list(door.backends.pools) == ["s1"] and door.discovery.version in (3, 6)
                await asyncio.sleep(0.002)
            assert max(failures) >= 2
            assert watch.targets == [f"{WHOLE}?watch=1&after=3"] * 4
            await until(lambda: door.discovery.version == 6)
            assert pacing.failures == 0 and len(door.backends.pools) == 2
            assert not door.discovery.current.staged_objects

    run(job())
    said = [one.getMessage() for one in caplog.records if "malformed watch response" in one.getMessage()]
    assert len(said) == 3 and all(len(one) < 300 for one in said)
    assert any(part in said[0] for part in line.split("|")), said[0]


def test_refused_list_of_a_new_address_leaves_the_old_one() -> None:
    async def job() -> None:
        first = says(HEAD + chunk(list_text(4, entries_text(1))))
        async with door_before(first) as (door, watch):
            await until(lambda: door.discovery.version == 4)
            new = Watch(says(answer(BAD["a name twice in a short list"][0]), stay=False))  # type: ignore[arg-type]
            door.discovery.change_address(await new.start())
            await until(lambda: len(new.targets) == 2)
            assert door.discovery.current.address == watch.server.sockets[0].getsockname()
            assert door.discovery.successor and not door.discovery.current.closed

    run(job())


def test_senseless_entries_of_a_part_are_one_bounded_line(caplog: pytest.LogCaptureFixture) -> None:
    odd = b'{"instanceId":"%b"},' % (b"x" * 400)
    text = list_text(5, (odd + b"7,[[]],") * 20 + SOME)

    async def job() -> None:
        async with Heard(says(answer(text)), version=0) as door:
            assert len((await door.seen.get()).endpoints) == 700

    run(job())
    (said,) = [
        one.getMessage() for one in caplog.records if "malformed endpoint entry skipped" in one.getMessage()
    ]
    assert "59 more" in said and len(said) < 600


def test_short_lists_pass_through_as_they_came() -> None:
    async def job() -> None:
        async with front_door(Served()) as (door, _):
            assert not door.discovery.current.staged_objects and list(door.backends.pools) == ["s0"]

    run(job())

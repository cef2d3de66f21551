"""What of a list reaches the module: its view, under the orders that lie over it."""

import asyncio
from collections.abc import Generator, Mapping
from dataclasses import replace

import pytest

from molereach.endpoint_address import EndpointAddress
from molereach.policy.interface.events import EndpointListKind, EndpointListReceived
from molereach.proxy import proxy, resources
from molereach.proxy.proxy import Proxy
from molereach.subsetting.interface import StagedEndpoints, SubsetUpdate
from tests.discovery.fakes import AllSeen, door_before, entries_text, list_text, says
from tests.races.wire import until
from tests.sockets import CONFIG, HEAD, chunk, run


@pytest.mark.parametrize(
    ("sockets", "memory_mb", "view", "most"),
    [
        (48, 1, 256, 819),
        (1024, 64, 256, 52_428),
        (2000, 128, 394, 104_857),
        (4000, 128, 512, 104_857),
    ],
)
def test_view_follows_from_the_connections_and_the_list_from_the_memory(
    sockets: int, memory_mb: int, view: int, most: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    asked = []
    monkeypatch.setattr(proxy, "EndpointSubsetting", lambda *values: asked.append(values) or AllSeen())
    monkeypatch.setattr(resources.resource, "getrlimit", lambda _: (1 << 20, 1 << 20))

    async def job() -> None:
        Proxy(replace(CONFIG, sockets=sockets, memory_mb=memory_mb)).close()

    run(job())
    assert asked == [(CONFIG.settings, view, most)]


@pytest.mark.parametrize("count", [3, 1000])
def test_module_hears_what_the_view_shows_under_the_orders_that_lie_over_it(
    count: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Of a list that is whole or in parts; nothing where nothing of it concerns the view."""

    class First(AllSeen):
        """A view of one server, or of none."""

        size = 1

        def shown(
            self, event: EndpointListReceived, addresses: Mapping[str, EndpointAddress]
        ) -> SubsetUpdate | None:
            some = event.endpoints[: self.size]
            addresses = {server.name: addresses[server.name] for server in some}
            return SubsetUpdate(replace(event, endpoints=some), addresses) if some else None

        def apply(
            self, event: EndpointListReceived, addresses: Mapping[str, EndpointAddress]
        ) -> SubsetUpdate | None:
            return self.shown(event, addresses)

        def take_over(
            self, staged: StagedEndpoints, kind: EndpointListKind, version: int
        ) -> Generator[None, None, SubsetUpdate | None]:
            seen = yield from super().take_over(staged, kind, version)
            assert seen
            return self.shown(seen.event, seen.addresses)

    lists = First()
    monkeypatch.setattr(proxy, "EndpointSubsetting", lambda *values: lists)

    async def job() -> None:
        gate = asyncio.Event()

        async def play(writer: asyncio.StreamWriter) -> None:
            writer.write(HEAD + chunk(list_text(4, entries_text(count))))
            await gate.wait()
            writer.write(chunk(list_text(5, entries_text(count))))
            await asyncio.Event().wait()

        async with door_before(play) as (door, _):
            assert door.endpoints.saved_list and door.endpoints.saved_list.event.endpoints[0].name == "s1"
            heard: list[EndpointListReceived] = []
            door.endpoints.overlay = lambda news: replace(news, sharing_proxies=7)
            hear = door.endpoints.publish
            door.endpoints.publish = lambda event, addresses: (heard.append(event), hear(event, addresses))  # type: ignore
            await until(lambda: door.discovery.version == 4)
            assert [[one.name for one in event.endpoints] for event in heard] == [["s-00000000"]]
            assert heard[0].sharing_proxies == 7 and list(door.backends.pools) == ["s-00000000"]
            lists.size = 0
            gate.set()
            await until(lambda: door.discovery.version == 5)
            assert len(heard) == 1 and list(door.backends.pools) == ["s-00000000"]

    run(job())


def test_known_list_of_which_nothing_is_in_the_view_has_a_version_all_the_same(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    class Blind(AllSeen):
        def apply(
            self, event: EndpointListReceived, addresses: Mapping[str, EndpointAddress]
        ) -> SubsetUpdate | None:
            return None

    monkeypatch.setattr(proxy, "EndpointSubsetting", lambda *values: Blind())

    async def job() -> None:
        async with door_before(says(HEAD)) as (door, _):
            assert (
                door.endpoints.saved_list is None and door.discovery.version == 3 and not door.backends.pools
            )

    run(job())

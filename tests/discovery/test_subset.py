"""What of an endpoint list reaches the policy: its subset, changed by operators' orders."""

import asyncio
from collections.abc import Generator, Mapping
from dataclasses import replace

import pytest

from molereach.endpoint_address import EndpointAddress
from molereach.policy.interface.events import EndpointListKind, EndpointListReceived
from molereach.proxy import proxy as proxy_module
from molereach.proxy import resources
from molereach.proxy.proxy import Proxy
from molereach.subsetting.interface import StagedEndpoints, SubsetUpdate
from tests.discovery.fakes import UnsubsettedList, entries_json, list_json, proxy_with_discovery, sends
from tests.races.scripted_peers import wait_until
from tests.sockets import CONFIG, HEAD, chunk, run


@pytest.mark.parametrize(
    ("sockets", "memory_mb", "subset_size", "max_entries"),
    [
        (48, 1, 256, 819),
        (1024, 64, 256, 52_428),
        (2000, 128, 394, 104_857),
        (4000, 128, 512, 104_857),
    ],
)
def test_subset_size_follows_from_sockets_and_list_length_from_memory(
    sockets: int, memory_mb: int, subset_size: int, max_entries: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    calls = []
    monkeypatch.setattr(
        proxy_module, "EndpointSubsetting", lambda *args: calls.append(args) or UnsubsettedList()
    )
    monkeypatch.setattr(resources.resource, "getrlimit", lambda _: (1 << 20, 1 << 20))

    async def scenario() -> None:
        Proxy(replace(CONFIG, sockets=sockets, memory_mb=memory_mb)).close()

    run(scenario())
    assert calls == [(CONFIG.settings, subset_size, max_entries)]


@pytest.mark.parametrize("count", [3, 1000])
def test_policy_gets_the_subset_with_the_overlay_of_orders_applied(
    count: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """For a list in one piece and for a staged one; an update that does not change the subset is not sent."""

    class FirstEndpointsList(UnsubsettedList):
        """A subset of the first endpoint, or of none."""

        size = 1

        def subset_of(
            self, event: EndpointListReceived, addresses: Mapping[str, EndpointAddress]
        ) -> SubsetUpdate | None:
            subset = event.endpoints[: self.size]
            addresses = {endpoint.name: addresses[endpoint.name] for endpoint in subset}
            return SubsetUpdate(replace(event, endpoints=subset), addresses) if subset else None

        def apply(
            self, event: EndpointListReceived, addresses: Mapping[str, EndpointAddress]
        ) -> SubsetUpdate | None:
            return self.subset_of(event, addresses)

        def take_over(
            self, staged: StagedEndpoints, kind: EndpointListKind, version: int
        ) -> Generator[None, None, SubsetUpdate | None]:
            update = yield from super().take_over(staged, kind, version)
            assert update
            return self.subset_of(update.event, update.addresses)

    endpoint_list = FirstEndpointsList()
    monkeypatch.setattr(proxy_module, "EndpointSubsetting", lambda *args: endpoint_list)

    async def scenario() -> None:
        send_second = asyncio.Event()

        async def script(writer: asyncio.StreamWriter) -> None:
            writer.write(HEAD + chunk(list_json(4, entries_json(count))))
            await send_second.wait()
            writer.write(chunk(list_json(5, entries_json(count))))
            await asyncio.Event().wait()

        async with proxy_with_discovery(script) as (proxy, _):
            assert proxy.endpoints.saved_list and proxy.endpoints.saved_list.event.endpoints[0].name == "s1"
            published: list[EndpointListReceived] = []
            proxy.endpoints.overlay = lambda event: replace(event, sharing_proxies=7)
            publish = proxy.endpoints.publish
            proxy.endpoints.publish = lambda event, addresses: (
                published.append(event),
                publish(event, addresses),
            )  # type: ignore
            await wait_until(lambda: proxy.discovery.version == 4)
            assert [[endpoint.name for endpoint in event.endpoints] for event in published] == [
                ["s-00000000"]
            ]
            assert published[0].sharing_proxies == 7 and list(proxy.backends.pools) == ["s-00000000"]
            endpoint_list.size = 0
            send_second.set()
            await wait_until(lambda: proxy.discovery.version == 5)
            assert len(published) == 1 and list(proxy.backends.pools) == ["s-00000000"]

    run(scenario())


def test_saved_list_with_an_empty_subset_still_sets_the_version(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    class EmptySubsetList(UnsubsettedList):
        def apply(
            self, event: EndpointListReceived, addresses: Mapping[str, EndpointAddress]
        ) -> SubsetUpdate | None:
            return None

    monkeypatch.setattr(proxy_module, "EndpointSubsetting", lambda *args: EmptySubsetList())

    async def scenario() -> None:
        async with proxy_with_discovery(sends(HEAD)) as (proxy, _):
            assert (
                proxy.endpoints.saved_list is None
                and proxy.discovery.version == 3
                and not proxy.backends.pools
            )

    run(scenario())

"""Long endpoint lists as JSON, and fakes of what stores and sends them."""

import asyncio
import contextlib
import json
from collections.abc import AsyncIterator, Generator, Iterable, Mapping
from dataclasses import replace

from molereach.endpoint_address import EndpointAddress
from molereach.policy.interface.events import Endpoint, EndpointListKind, EndpointListReceived
from molereach.proxy.proxy import Proxy
from molereach.subsetting.interface import EndpointListError, StagedEndpoints, SubsetUpdate
from tests.sockets import CONFIG, HOST, DiscoveryServer, entry

PLANNED_FLEET_SIZE = 93_000  # backends


def entries_json(count: int, first: int = 0) -> bytes:
    """Entries as discovery writes them, without the brackets of the list."""
    return ",".join(
        f'{{"instanceId": "s-{number:08x}", "hostPort": "{HOST}:{1024 + number % 60000}", "zone": "a", '
        f'"machineType": "m2", "cell": {number % 2900}, "lifecycle": "SERVING", "weight": 1.0, '
        f'"startedAtMs": {0 if number % 2 else 1790000000000 + number}}}'
        for number in range(first, first + count)
    ).encode()


def list_json(version: int, entries: bytes, reset: bool = True) -> bytes:
    return b'{"generation": %d, "reset": %b, "instances": [%b]}\n' % (
        version,
        json.dumps(reset).encode(),
        entries,
    )


class RecordingStaging:
    """A `StagedEndpoints` that also records the size of each part."""

    def __init__(self, max_entries: int) -> None:
        self.max_entries, self.part_sizes = max_entries, []
        self.part_sizes: list[int]
        self.endpoints: list[Endpoint] = []
        self.addresses: dict[str, EndpointAddress] = {}

    def add(self, endpoints: Iterable[Endpoint], addresses: Mapping[str, EndpointAddress]) -> None:
        part = list(endpoints)
        self.endpoints += part
        self.part_sizes.append(len(part))
        self.addresses |= addresses
        if len(self.endpoints) > self.max_entries:
            raise EndpointListError(f"a list of over {self.max_entries} entries")


class UnsubsettedList:
    """An `EndpointList` whose subset is the full list; a staged list is applied in a few steps."""

    def __init__(self, max_entries: int = 1 << 20) -> None:
        self.max_entries, self.step_count = max_entries, 0
        self.stagings: list[RecordingStaging] = []

    def stage(self) -> RecordingStaging:
        self.stagings.append(RecordingStaging(self.max_entries))
        return self.stagings[-1]

    def apply(
        self, event: EndpointListReceived, addresses: Mapping[str, EndpointAddress]
    ) -> SubsetUpdate | None:
        return SubsetUpdate(event, dict(addresses))

    def take_over(
        self, staged: StagedEndpoints, kind: EndpointListKind, version: int
    ) -> Generator[None, None, SubsetUpdate | None]:
        assert isinstance(staged, RecordingStaging)
        for _ in range(5):
            self.step_count += 1
            yield
        if kind is EndpointListKind.FULL and len({endpoint.name for endpoint in staged.endpoints}) < len(
            staged.endpoints
        ):
            raise EndpointListError("the whole list names a server twice")
        return SubsetUpdate(EndpointListReceived(kind, version, tuple(staged.endpoints)), staged.addresses)


def sends(*pieces: bytes, stay_open: bool = True) -> object:
    """A script of discovery that writes these pieces and then keeps the connection open, or closes it."""

    async def script(writer: asyncio.StreamWriter) -> None:
        for piece in pieces:
            writer.write(piece)
            await writer.drain()
        if stay_open:
            await asyncio.Event().wait()

    return script


@contextlib.asynccontextmanager
async def proxy_with_discovery(
    *scripts: object, memory_mb: int = 64
) -> AsyncIterator[tuple[Proxy, DiscoveryServer]]:
    """A proxy with a saved list of one backend that watches a discovery which runs these scripts."""
    discovery = DiscoveryServer(*scripts)  # type: ignore[arg-type]
    saved_list = {"generation": 3, "reset": True, "instances": [entry("s1", ("127.0.0.1", 9))]}
    settings = replace(CONFIG.settings, must_poll_endpoints=False)
    proxy = Proxy(
        replace(
            CONFIG,
            known=saved_list,
            discovery=await discovery.start(),
            settings=settings,
            memory_mb=memory_mb,
        )
    )
    proxy.discovery.start()
    try:
        yield proxy, discovery
    finally:
        proxy.close()

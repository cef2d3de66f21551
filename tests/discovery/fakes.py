"""Long lists, and a stand-in for what holds them."""

import asyncio
import contextlib
import json
from collections.abc import AsyncIterator, Generator, Iterable, Mapping
from dataclasses import replace

from molereach.endpoint_address import EndpointAddress
from molereach.policy.interface.events import Endpoint, EndpointListKind, EndpointListReceived
from molereach.proxy.proxy import Proxy
from molereach.subsetting.interface import EndpointListError, StagedEndpoints, SubsetUpdate
from tests.sockets import CONFIG, HOST, Watch, entry

SIZE = 93_000  # backends of the fleet that is coming


def entries_text(count: int, first: int = 0) -> bytes:
    """Entries of a list as discovery writes them, without its brackets."""
    return ",".join(
        f'{{"instanceId": "s-{number:08x}", "hostPort": "{HOST}:{1024 + number % 60000}", "zone": "a", '
        f'"machineType": "m2", "cell": {number % 2900}, "lifecycle": "SERVING", "weight": 1.0, '
        f'"startedAtMs": {0 if number % 2 else 1790000000000 + number}}}'
        for number in range(first, first + count)
    ).encode()


def list_text(version: int, entries: bytes, reset: bool = True) -> bytes:
    return b'{"generation": %d, "reset": %b, "instances": [%b]}\n' % (
        version,
        json.dumps(reset).encode(),
        entries,
    )


class Held:
    """What was staged, with the size of each part."""

    def __init__(self, most: int) -> None:
        self.most, self.sizes = most, []
        self.sizes: list[int]
        self.servers: list[Endpoint] = []
        self.addresses: dict[str, EndpointAddress] = {}

    def add(self, servers: Iterable[Endpoint], addresses: Mapping[str, EndpointAddress]) -> None:
        some = list(servers)
        self.servers += some
        self.sizes.append(len(some))
        self.addresses |= addresses
        if len(self.servers) > self.most:
            raise EndpointListError(f"a list of over {self.most} entries")


class AllSeen:
    """`Lists` whose view is the whole list, taken over in a few turns."""

    def __init__(self, most: int = 1 << 20) -> None:
        self.most, self.steps = most, 0
        self.staged: list[Held] = []

    def stage(self) -> Held:
        self.staged.append(Held(self.most))
        return self.staged[-1]

    def apply(
        self, event: EndpointListReceived, addresses: Mapping[str, EndpointAddress]
    ) -> SubsetUpdate | None:
        return SubsetUpdate(event, dict(addresses))

    def take_over(
        self, staged: StagedEndpoints, kind: EndpointListKind, version: int
    ) -> Generator[None, None, SubsetUpdate | None]:
        assert isinstance(staged, Held)
        for _ in range(5):
            self.steps += 1
            yield
        if kind is EndpointListKind.FULL and len({one.name for one in staged.servers}) < len(staged.servers):
            raise EndpointListError("the whole list names a server twice")
        return SubsetUpdate(EndpointListReceived(kind, version, tuple(staged.servers)), staged.addresses)


def says(*pieces: bytes, stay: bool = True) -> object:
    async def play(writer: asyncio.StreamWriter) -> None:
        for piece in pieces:
            writer.write(piece)
            await writer.drain()
        if stay:
            await asyncio.Event().wait()

    return play


@contextlib.asynccontextmanager
async def door_before(*scripts: object, memory_mb: int = 64) -> AsyncIterator[tuple[Proxy, Watch]]:
    """A front door with a known list, that calls on these."""
    watch = Watch(*scripts)  # type: ignore[arg-type]
    known = {"generation": 3, "reset": True, "instances": [entry("s1", ("127.0.0.1", 9))]}
    settings = replace(CONFIG.settings, must_poll_endpoints=False)
    door = Proxy(
        replace(CONFIG, known=known, discovery=await watch.start(), settings=settings, memory_mb=memory_mb)
    )
    door.discovery.start()
    try:
        yield door, watch
    finally:
        door.close()

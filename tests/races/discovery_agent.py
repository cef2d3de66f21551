"""The proxy's discovery client, run against scripted discovery agents."""

import asyncio
import contextlib
import json
from collections.abc import AsyncIterator

from molereach.discovery.endpoint_discovery import EndpointDiscovery
from molereach.discovery.endpoint_mapping import EndpointMapping, EndpointUpdate
from molereach.discovery.poll_backoff import PollBackoff
from molereach.endpoint_address import EndpointAddress
from molereach.policy.interface.events import EndpointState
from tests.races.scripted_peers import Peer, ScriptedServer
from tests.sockets import CONFIG, HEAD, HOST, catalog, entry

BACKEND_ADDRESS = (HOST, 6379)
HEAD_WITHOUT_LENGTH = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n"  # the body lasts until EOF
FULL_LIST_PATH = "/catalog/members"
LOCAL_BACKOFF = PollBackoff(1, must_poll=False)


def watch_path(version: int) -> str:
    return f"{FULL_LIST_PATH}?watch=1&after={version}"


def change_list(version: int, **states: str) -> bytes:
    """A line of the watch: these backends have these states now."""
    return catalog(
        version, [entry(name, BACKEND_ADDRESS, state) for name, state in states.items()], reset=False
    )


def full_list(version: int, *names: str) -> bytes:
    return catalog(version, [entry(name, BACKEND_ADDRESS) for name in names])


def indented(line: bytes) -> bytes:
    return json.dumps(json.loads(line), indent=2).encode() + b"\n"


class DiscoveryHarness:
    """Discovery as the proxy runs it, with the updates that it reported."""

    def __init__(self, address: EndpointAddress, version: int, must_poll: bool = False) -> None:
        self.updates: asyncio.Queue[EndpointUpdate] = asyncio.Queue()
        self.tasks: list[asyncio.Task[None]] = []
        self.discovery = EndpointDiscovery(
            address,
            EndpointMapping(CONFIG.zone_numbers, CONFIG.kind_numbers),
            version,
            self.updates.put_nowait,
            lambda coroutine: self.tasks.append(asyncio.create_task(coroutine)),
            lambda: PollBackoff(1, must_poll=must_poll),
            lambda: 0.5,
        )

    async def next_update(self) -> tuple[int, dict[str, EndpointState]]:
        event = (await self.updates.get()).event
        return event.version, {endpoint.name: endpoint.state for endpoint in event.endpoints}


@contextlib.asynccontextmanager
async def running_discovery(
    server: ScriptedServer, version: int = 3, must_poll: bool = False
) -> AsyncIterator[DiscoveryHarness]:
    harness = DiscoveryHarness(server.address, version, must_poll)
    harness.discovery.start()
    try:
        yield harness
    finally:
        for task in harness.tasks:
            task.cancel()
        await asyncio.gather(*harness.tasks, return_exceptions=True)


async def accept_request(server: ScriptedServer) -> tuple[Peer, str]:
    """Accept the next request to an agent; return the connection and the request target."""
    peer = await server.accept()
    return peer, (await peer.receive_until(b"\r\n\r\n")).split()[1].decode()


async def accept_watch(server: ScriptedServer, version: int = 3) -> Peer:
    """Accept the next request, which must be a watch after that version, and send the response head."""
    peer, target = await accept_request(server)
    assert target == watch_path(version)
    peer.send(HEAD)
    return peer


def full_list_response(version: int, name: str) -> bytes:
    """A response with Content-Length that holds the full list."""
    body = full_list(version, name)
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body


async def is_closed(peer: Peer) -> bool:
    """Return whether the proxy has closed or reset this connection."""
    try:
        return not await peer.receive()
    except ConnectionResetError:
        return True

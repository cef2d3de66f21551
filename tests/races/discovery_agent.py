"""The front door's part that asks for the list, against agents of discovery that do nothing by themselves."""

import asyncio
import contextlib
import json
from collections.abc import AsyncIterator

from molereach.discovery.endpoint_discovery import EndpointDiscovery
from molereach.discovery.endpoint_mapping import EndpointMapping, EndpointUpdate
from molereach.discovery.poll_backoff import PollBackoff
from molereach.endpoint_address import EndpointAddress
from molereach.policy.interface.events import EndpointState
from tests.races.scripted_peers import Machine, Peer
from tests.sockets import CONFIG, HEAD, HOST, catalog, entry

AT = (HOST, 6379)
PLAIN_HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n"  # no length: it lasts until the end
WHOLE = "/catalog/members"
AGENT = PollBackoff(1, must_poll=False)


def after(version: int) -> str:
    return f"{WHOLE}?watch=1&after={version}"


def changes(version: int, **states: str) -> bytes:
    """A line of the watch: these servers changed."""
    return catalog(version, [entry(name, AT, state) for name, state in states.items()], reset=False)


def whole(version: int, *names: str) -> bytes:
    return catalog(version, [entry(name, AT) for name in names])


def indented(line: bytes) -> bytes:
    return json.dumps(json.loads(line), indent=2).encode() + b"\n"


class Asked:
    """Discovery as a front door uses it, with what it has heard."""

    def __init__(self, address: EndpointAddress, version: int, must_poll: bool = False) -> None:
        self.heard: asyncio.Queue[EndpointUpdate] = asyncio.Queue()
        self.tasks: list[asyncio.Task[None]] = []
        self.discovery = EndpointDiscovery(
            address,
            EndpointMapping(CONFIG.zone_numbers, CONFIG.kind_numbers),
            version,
            self.heard.put_nowait,
            lambda job: self.tasks.append(asyncio.create_task(job)),
            lambda: PollBackoff(1, must_poll=must_poll),
            lambda: 0.5,
        )

    async def next(self) -> tuple[int, dict[str, EndpointState]]:
        event = (await self.heard.get()).event
        return event.version, {server.name: server.state for server in event.endpoints}


@contextlib.asynccontextmanager
async def asked(machine: Machine, version: int = 3, must_poll: bool = False) -> AsyncIterator[Asked]:
    made = Asked(machine.address, version, must_poll)
    made.discovery.start()
    try:
        yield made
    finally:
        for task in made.tasks:
            task.cancel()
        await asyncio.gather(*made.tasks, return_exceptions=True)


async def call(machine: Machine) -> tuple[Peer, str]:
    """The next call that comes to an agent, with what it asks for."""
    peer = await machine.accept()
    return peer, (await peer.hear_until(b"\r\n\r\n")).split()[1].decode()


async def watch(machine: Machine, version: int = 3) -> Peer:
    """The next call, which must be a watch after that version; its answer has begun."""
    peer, target = await call(machine)
    assert target == after(version)
    peer.say(HEAD)
    return peer


def listed(version: int, name: str) -> bytes:
    """The whole list, as an answer with a length."""
    body = whole(version, name)
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body


async def gone(peer: Peer) -> bool:
    """The front door has let go of this call."""
    try:
        return not await peer.hear()
    except ConnectionResetError:
        return True

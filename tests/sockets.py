"""Scripted clients, backends and discovery servers on loopback sockets, for tests of the front door."""

import asyncio
import contextlib
import json
import random
import socket
from collections.abc import AsyncIterator, Awaitable, Callable, Coroutine, Iterable
from dataclasses import replace
from typing import Any

import hiredis
import uvloop

from molereach.endpoint_address import EndpointAddress
from molereach.policy.interface.settings import DeduplicationScope, Idempotency, Plan, RequestClass, Settings
from molereach.proxy.config import Config
from molereach.proxy.proxy import Proxy

HOST = "127.0.0.1"
CUSTOMER = "00000000b4d65521"
CLASSES = (
    RequestClass(latency_objective_us=2_000_000, deadline_us=6_000_000),
    RequestClass(
        2_000_000,
        6_000_000,
        idempotency=Idempotency.IDEMPOTENT_WITH_KEY,
        deduplication_scope=DeduplicationScope.ZONE,
        deduplication_window_us=5_000_000,
    ),
    RequestClass(2_000_000, 6_000_000, idempotency=Idempotency.NON_IDEMPOTENT),
)
SETTINGS = Settings(
    seed=3,
    proxy_index=0,
    proxy_count=2,
    classes=CLASSES,
    plans=(Plan(quota_rate=1000.0, quota_burst=1000.0),),
    max_attempts=3,
    max_retry_after_us=750_000,
    may_cancel=True,
    may_gossip=True,
    gossip_messages_per_s=100.0,
)
CONFIG = Config(
    name="n0",
    listen=(HOST, 0),
    discovery=(HOST, 1),
    settings=SETTINGS,
    class_numbers={"read": 0, "book": 1, "settle": 2},
    plan_numbers={"team": 0},
    zone_numbers={"a": 0, "b": 1},
    kind_numbers={"m2": 0},
    conn_idle_us=30_000_000,
    connect_timeout_us=250_000,
    max_open=100,
    sockets=256,
    memory_mb=64,
    known={},
)


def run(job: Coroutine[Any, Any, None]) -> None:
    """Run a test on the event loop of the program; the time limit is reached only by a test that hangs."""

    async def job_with_time_limit() -> None:
        async with asyncio.timeout(30):
            await job

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(job_with_time_limit())


def resp(*arguments: bytes | str) -> bytes:
    """Encode a command in RESP."""
    strings = [argument.encode() if isinstance(argument, str) else argument for argument in arguments]
    return b"*%d\r\n" % len(strings) + b"".join(
        b"$%d\r\n%b\r\n" % (len(string), string) for string in strings
    )


def query(request_id: str, wait_ms: int = 3000, **fields: str) -> bytes:
    """Encode a query, which is idempotent."""
    more_fields = "".join(f",{key}={value}" for key, value in fields.items())
    return resp("SVC.QUERY", CUSTOMER, request_id, f"c=read,t=team,d={wait_ms}{more_fields}")


def submit(request_id: str, class_name: str = "settle", wait_ms: int = 3000, body: bytes = b"BODY") -> bytes:
    """Encode a request with a body, by default of a class that is not idempotent."""
    return resp("SVC.SUBMIT", CUSTOMER, request_id, f"c={class_name},t=team,d={wait_ms},k=5c0f", body)


def value(data: bytes, report: bytes = b"$-1\r\n") -> bytes:
    """Encode a backend's answer with a value."""
    return b"*3\r\n$%d\r\n%b\r\n$-1\r\n%b" % (len(data), data, report)


Answer = Callable[[list[bytes]], bytes | None]


class Backend:
    """A backend that answers each command by a function; None sends no answer, b'' aborts the connection."""

    def __init__(self, answer: Answer = lambda command: value(b"ok")) -> None:
        self.answer, self.commands, self.opened = answer, [], 0
        self.commands: list[list[bytes]]
        # Set when a command has arrived, and when a connection has ended.
        self.command_received, self.disconnected = asyncio.Event(), asyncio.Event()
        self.writers: list[asyncio.StreamWriter] = []  # of the connection of each command, in order

    async def start(self) -> EndpointAddress:
        self.server = await asyncio.start_server(self.serve, HOST, 0)
        return self.server.sockets[0].getsockname()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.opened += 1
        parser = hiredis.Reader()
        with contextlib.suppress(OSError):
            while data := await reader.read(1 << 16):
                parser.feed(data)
                while (command := parser.gets()) is not False:
                    self.commands.append(command)
                    self.writers.append(writer)
                    self.command_received.set()
                    answer = self.answer(command)
                    if answer == b"":
                        writer.transport.abort()
                    elif answer:
                        writer.write(answer)
        self.disconnected.set()
        writer.close()


class DiscoveryServer:
    """A discovery server: each watch is answered by the next script, later ones by the last script."""

    def __init__(self, *scripts: Callable[[asyncio.StreamWriter], Awaitable[None]]) -> None:
        self.scripts, self.targets = list(scripts), []
        self.targets: list[str]

    async def start(self) -> EndpointAddress:
        self.server = await asyncio.start_server(self.serve, HOST, 0)
        return self.server.sockets[0].getsockname()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.targets.append((await reader.readuntil(b"\r\n\r\n")).split()[1].decode())
        script = self.scripts.pop(0) if len(self.scripts) > 1 else self.scripts[0]
        with contextlib.suppress(OSError):
            await script(writer)
        writer.close()


HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


def chunk(data: bytes) -> bytes:
    """Encode a chunk of an HTTP response."""
    return b"%x\r\n%b\r\n" % (len(data), data)


def entry(
    name: str, address: EndpointAddress, lifecycle: str = "SERVING", started_ms: int = 0
) -> dict[str, Any]:
    """Create an entry of the endpoint list as discovery sends it."""
    return {
        "instanceId": name,
        "hostPort": f"{address[0]}:{address[1]}",
        "zone": "a",
        "machineType": "m2",
        "cell": 0,
        "lifecycle": lifecycle,
        "weight": 1.0,
        "startedAtMs": started_ms,
    }


def catalog(version: int, entries: Iterable[dict[str, Any]], reset: bool = True) -> bytes:
    """Encode an endpoint list as discovery sends it."""
    return json.dumps({"generation": version, "reset": reset, "instances": list(entries)}).encode() + b"\n"


class Client:
    """The connection of a client."""

    @classmethod
    async def open(cls, address: EndpointAddress) -> "Client":
        client = cls()
        client.reader, client.writer = await asyncio.open_connection(*address)
        client.parser = hiredis.Reader(notEnoughData=Client)
        return client

    def send(self, data: bytes) -> None:
        self.writer.write(data)

    async def answer(self) -> object:
        """Receive the next answer; EOFError at the end of the connection."""
        while (reply := self.parser.gets()) is Client:
            data = await self.reader.read(1 << 16)
            if not data:
                raise EOFError
            self.parser.feed(data)
        return f"-{reply}" if isinstance(reply, hiredis.ReplyError) else reply

    async def ask(self, data: bytes) -> object:
        """Send a command and receive its answer."""
        self.send(data)
        return await self.answer()

    async def ended(self) -> bool:
        """Whether the connection ends without another answer."""
        try:
            return not await self.reader.read()
        except ConnectionResetError:
            return True


@contextlib.asynccontextmanager
async def front_door(
    *backends: Backend, addresses: Iterable[EndpointAddress] = (), **changes: object
) -> AsyncIterator[tuple[Proxy, EndpointAddress]]:
    """Run a front door for the given backends and addresses; yields it and the address that it serves at."""
    all_addresses = [*addresses, *[await backend.start() for backend in backends]]
    body = catalog(7, [entry(f"s{index}", address) for index, address in enumerate(all_addresses)])

    async def script(writer: asyncio.StreamWriter) -> None:
        writer.write(HEAD + chunk(body))
        await asyncio.Event().wait()

    proxy = Proxy(replace(CONFIG, discovery=await DiscoveryServer(script).start(), **changes))
    await proxy.start()
    try:
        yield proxy, proxy.address
    finally:
        proxy.close()


# Below the ports that the system gives to other sockets, so that none of them takes one first.
UNUSED_PORTS = range(20_000, 32_000)
RETURNED_PORTS: set[int] = set()


def refusing_address() -> EndpointAddress:
    """Return an address at which connections are refused, a different one each time."""
    for port in random.SystemRandom().sample(UNUSED_PORTS, len(UNUSED_PORTS)):
        with socket.socket() as unused_socket, contextlib.suppress(OSError):
            unused_socket.bind((HOST, port))
            if port not in RETURNED_PORTS:
                RETURNED_PORTS.add(port)
                return HOST, port
    raise RuntimeError("no unused port")

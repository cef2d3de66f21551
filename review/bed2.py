"""Test bed of the second review: front doors as processes, and stand-ins for clients, servers and discovery.

Everything runs on loopback addresses and the real clock, with the standard library alone. Front doors are
started with `run` of deploy/balancer.toml. Stand-ins follow the pages, or do what a sound one would do where
a page is silent. What was sent, answered and run goes to `record.txt`.
"""

import asyncio
import contextlib
import heapq
import json
import math
import os
import random
import shutil
import signal
import socket
import struct
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable, Coroutine
from dataclasses import dataclass
from pathlib import Path
from typing import Any
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parents[1]
HOST = "127.0.0.1"
CONNECT_TIMEOUT_S = 1.0
KILL_AFTER_S = 3.7  # SIGKILL comes no sooner after SIGTERM, with deadlines of 3 s and more
NEW_CONNECTIONS_S = 0.3  # after SIGTERM: "New connections go on coming for 0.2 to 0.4 s"
# An answer later than that after the client's time counts as none: 0.5 s, and 50 ms on sockets.
LATE_S = 0.55
SLACK_S = 0.05  # by which each time limit of the simulator is longer on sockets

Address = tuple[str, int]


def now() -> float:
    """The clock of all records, in seconds."""
    return time.monotonic()


def trouble() -> bool:
    """Whether the disruption is to be played."""
    return os.environ.get("TROUBLE", "1") != "0"


def free_port(kind: socket.SocketKind = socket.SOCK_STREAM) -> int:
    """A port that is free now and below the range that the system gives to outgoing connections."""
    for port in random.SystemRandom().sample(range(20_000, 32_000), 2_000):
        with socket.socket(socket.AF_INET, kind) as probe:
            if kind is socket.SOCK_STREAM:
                probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                probe.bind((HOST, port))
            except OSError:
                continue
            return port
    raise RuntimeError("no free port")


class Record:
    """The lines of record.txt: seconds since the start, what happened, and its values."""

    def __init__(self, folder: Path) -> None:
        self.started = now()
        self.file = (folder / "record.txt").open("w", encoding="ascii", buffering=1 << 16)

    def line(self, what: str, **values: object) -> None:
        """Write a line."""
        text = " ".join(f"{name}={value}" for name, value in values.items())
        self.file.write(f"{now() - self.started:10.4f} {what} {text}\n")

    def close(self) -> None:
        """End the file."""
        self.file.close()


# --- deployments: values from the ranges of their site files ---


def request_class(
    share: float, work_ms: float, aim: float, deadline: float, points: float, effect: str, **more: object
) -> dict[str, Any]:
    """A class of requests; times in seconds, the work in milliseconds on one core."""
    base = {"share": share, "work_ms": work_ms, "aim": aim, "deadline": deadline, "points": points}
    return base | {"effect": effect, "group": "all", "window": 5.0} | more


def plan(rate: float, burst_s: float, cost: float, share: float, ceiling: float = 0.0) -> dict[str, float]:
    """A plan: its rate, its burst as seconds of it, and the ceiling as a multiple of both."""
    return {
        "rate": rate,
        "burst": rate * burst_s,
        "ceiling": rate * ceiling,
        "hard": rate * burst_s * ceiling,
        "share": share,
        "cost": cost,
        "extra": 0.0,
    }


SAFE, KEYED, UNSAFE = "read_like", "idempotency_key", "non_idempotent"


@dataclass
class Site:
    """A deployment."""

    classes: dict[str, dict[str, Any]]
    plans: dict[str, dict[str, float]]
    zones: tuple[str, ...]
    max_attempts: int = 5
    may_cancel: bool = True
    may_hedge: bool = True
    marks_retry: bool = True
    idle_s: float = 30.0
    max_retry_after_s: float = 1.0
    drain_grace_s: float = 1.0
    stats: tuple[str, ...] = ("cpu_share", "svc_ms")


def salalah() -> Site:
    """The site salalah-network."""
    return Site(
        {
            "load-read": request_class(0.35, 90, 0.75, 2.0, 3.0, SAFE),
            "capacity-booking": request_class(0.34, 200, 2.0, 7.5, 3.0, KEYED, group="zone", window=15.0),
            "meter-settlement": request_class(0.31, 200, 2.0, 7.5, 2.0, UNSAFE),
        },
        {
            "basic-tariff": plan(0.8, 4.4, 0.6, 0.41),
            "standard-tariff": plan(2.0, 4.4, 0.8, 0.26),
            "bulk-tariff": plan(8.5, 2.0, 0.6, 0.33, ceiling=2.0),
        },
        ("plant-building", "control-building", "store-building"),
    )


def settings(site: Site, number: int, doors: int) -> dict[str, Any]:
    """The settings of one front door, with the names of the wire page."""
    return {
        "balancers": doors,
        "me": number,
        "zone": number % len(site.zones),
        "zones": list(site.zones),
        "kinds": ["two-core-std"],
        "registry-mode": "automatic",
        "domain-type": "gate",
        "categories": [
            {
                "name": name,
                "on-time-us": round(each["aim"] * 1e6),
                "deadline-us": round(each["deadline"] * 1e6),
                "points": each["points"],
                "late-worth": 0.0,
                "idempotency": each["effect"],
                "group": each["group"],
                "window-us": round(each["window"] * 1e6),
                "streamed": False,
            }
            for name, each in site.classes.items()
        ],
        "plans": [
            {
                "name": name,
                "units-per-s": each["rate"],
                "burst": each["burst"],
                "max-out": 0,
                "never-over-rate": each["ceiling"],
                "hard-burst": each["hard"],
                "hard-slack": max(1.0, 0.1 * each["hard"]) if each["hard"] else 0.0,
                "value-factor": 1.0,
                "extra-worth": each["extra"],
                "overrun-cost": each["cost"],
            }
            for name, each in site.plans.items()
        ],
        "ceilings": {
            "max-attempts": site.max_attempts,
            "conn-idle-us": round(site.idle_s * 1e6),
            "connect-timeout-us": 250_000,
            "cpu-us-per-request": 0.0,
            "cpu-us-per-s": 500_000,
            "max-open": 20_000,
            "retry-after": True,
            "max-retry-after-us": round(site.max_retry_after_s * 1e6),
            "may-cancel": site.may_cancel,
            "may-probe": False,
            "parallel-tries": site.may_hedge,
            "peers": True,
            "streams-per-conn": 100,
        },
        "clients": {"marks-retry": site.marks_retry},
        "extra": {
            "count-fee": 0.0,
            "count-wait-us": 0,
            "counter": False,
            "largest": 1,
            "mail-per-s": 60.0,
            "trued-up": False,
            "use-period-us": 0,
        },
        "obligations": {
            "ask-within-us": 10_000_000,
            "cold-from": 0.25,
            "drain-grace-us": round(site.drain_grace_s * 1e6),
            "fall-multiple": 2.5,
            "fall-us": 1_000_000,
            "grace-to-answer-us": 16_000,
            "warm-within-us": 17_000_000,
        },
        "prices": {"cross-zone": 0.01, "late-fail": 0.03, "peer": 0.02, "waste": 0.05, "handshake": 0.0},
        "stats": {"how": "inline", "names": list(site.stats)},
        "stage": 0,
        "tiers": ["member-servers"],
        "weight-kind": "off",
    }


# --- servers ---


class Server:
    """A stand-in server: two cores, a queue, answers in the order of a connection's commands."""

    CORES = 2
    QUEUE = 40

    def __init__(self, bed: "Bed", name: str, zone: str, cell: int) -> None:
        self.bed, self.name, self.zone, self.cell = bed, name, zone, cell
        self.started_ms = 0
        self.port = 0
        self.server: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()
        self.busy = 0
        self.waiting: list[tuple[int, asyncio.Future[None]]] = []
        self.serial = 0

    async def open(self) -> None:
        """Listen; a port that was given once stays the same."""
        self.port = self.port or free_port()
        self.server = await asyncio.start_server(self.serve, HOST, self.port, backlog=256)

    def crash(self) -> None:
        """End as a process that dies: connections are reset, new ones refused."""
        if self.server:
            self.server.close()
            self.server = None
        for writer in list(self.writers):
            reset(writer)

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection."""
        self.writers.add(writer)
        turn: asyncio.Task[None] | None = None
        try:
            while True:
                words, first = await read_command(reader)
                if words[0].upper() in (b"CLIENT", b"SELECT"):
                    writer.write(b"+OK\r\n")
                    continue
                if words[0] not in (b"SVC.QUERY", b"SVC.SUBMIT"):
                    writer.write(b"-ERR\r\n")
                    continue
                turn = asyncio.ensure_future(self.run(words, first, writer, turn))
        except (OSError, asyncio.IncompleteReadError, ValueError):
            return
        finally:
            self.writers.discard(writer)
            with contextlib.suppress(Exception):
                writer.close()

    async def run(
        self,
        words: list[bytes],
        first: float,
        writer: asyncio.StreamWriter,
        before: "asyncio.Task[None] | None",
    ) -> None:
        """Run one command and answer it."""
        bed = self.bed
        request_id = words[2].decode("ascii", "replace")
        bed.on_arrival(self, request_id, words, first)
        if len(self.waiting) >= self.QUEUE:
            bed.record.line("turned-away", server=self.name, id=request_id)
            await self.answer(writer, before, b"-BUSY\r\n")
            return
        await self.take_core()
        try:
            bed.on_run(self, request_id, words)
            await asyncio.sleep(bed.work_s(request_id))
        finally:
            self.free_core()
        value = f"value-of-{request_id}-at-{self.name}".encode()
        util = min(1.0, self.busy / self.CORES)
        report = f"util={util:.2f},latency_ms=150,queue={len(self.waiting)},inflight={self.busy}".encode()
        data = b"*3\r\n" + bulk(value) + b"$-1\r\n" + bulk(report)
        await self.answer(writer, before, data)

    async def answer(
        self,
        writer: asyncio.StreamWriter,
        before: "asyncio.Task[None] | None",
        data: bytes,
    ) -> None:
        """Write an answer after those before it."""
        if before and not before.done():
            with contextlib.suppress(Exception):
                await before
        if not writer.is_closing():
            writer.write(data)

    async def take_core(self) -> None:
        """Wait for a core."""
        if self.busy < self.CORES:
            self.busy += 1
            return
        self.serial += 1
        place: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        heapq.heappush(self.waiting, (self.serial, place))
        await place

    def free_core(self) -> None:
        """Hand the core to the next one."""
        while self.waiting:
            _, place = heapq.heappop(self.waiting)
            if not place.done():
                place.set_result(None)
                return
        self.busy -= 1

    def entry(self, state: str = "SERVING") -> dict[str, Any]:
        """The entry of this server in a list."""
        return {
            "instanceId": self.name,
            "hostPort": f"{HOST}:{self.port}",
            "zone": self.zone,
            "machineType": "two-core-std",
            "cell": self.cell,
            "lifecycle": state,
            "weight": 1.0,
            "startedAtMs": self.started_ms,
        }


def bulk(value: bytes) -> bytes:
    """A bulk string."""
    return b"$%d\r\n%b\r\n" % (len(value), value)


def encode(words: list[bytes]) -> bytes:
    """A command."""
    return b"*%d\r\n" % len(words) + b"".join(map(bulk, words))


async def read_command(reader: asyncio.StreamReader) -> tuple[list[bytes], float]:
    """Read a command; return its words and when its first byte came."""
    line = await reader.readuntil(b"\r\n")
    first = now()
    words = []
    for _ in range(int(line[1:])):
        size = int((await reader.readuntil(b"\r\n"))[1:])
        words.append((await reader.readexactly(size + 2))[:-2])
    return words, first


def reset(writer: asyncio.StreamWriter) -> None:
    """Close a connection with a reset."""
    sock = writer.get_extra_info("socket")
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


# --- discovery ---


class Registry:
    """The list of servers with its versions."""

    def __init__(self, generation: int = 41) -> None:
        self.generation = generation
        self.entries: dict[str, dict[str, Any]] = {}
        self.changed_at: dict[str, int] = {}

    def put(self, entry: dict[str, Any]) -> None:
        """Add or change one entry as a new version."""
        self.generation += 1
        self.entries[entry["instanceId"]] = entry
        self.changed_at[entry["instanceId"]] = self.generation

    def whole(self) -> dict[str, Any]:
        """The whole list."""
        listed = [each for each in self.entries.values() if each["lifecycle"] != "DELETED"]
        return {"generation": self.generation, "reset": True, "instances": listed}

    def after(self, version: int) -> dict[str, Any] | None:
        """What changed after a version; None if nothing did."""
        if version > self.generation:
            return self.whole()
        changed = [self.entries[name] for name, at in self.changed_at.items() if at > version]
        return {"generation": self.generation, "reset": False, "instances": changed} if changed else None


class Agent:
    """The discovery process on a front door's machine: it answers with what it has been sent."""

    def __init__(self, bed: "Bed", registry: Registry, label: str) -> None:
        self.bed, self.registry, self.label = bed, registry, label
        self.port = 0
        self.server: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()

    async def open(self) -> None:
        """Listen."""
        self.port = self.port or free_port()
        self.server = await asyncio.start_server(self.serve, HOST, self.port)

    def end(self) -> None:
        """End: connections are reset, new ones refused."""
        if self.server:
            self.server.close()
            self.server = None
        for writer in list(self.writers):
            reset(writer)

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer the requests of one connection."""
        self.writers.add(writer)
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                target = head.split(b" ", 2)[1].decode("ascii")
                self.bed.record.line("discovery-request", agent=self.label, target=target)
                query = parse_qs(urlsplit(target).query)
                if "watch" in query:
                    await self.watch(int(query.get("after", ["0"])[0]), writer)
                    return
                body = json.dumps(self.registry.whole()).encode()
                writer.write(
                    b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n"
                    % len(body)
                    + body
                )
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, ValueError, IndexError):
            return
        finally:
            self.writers.discard(writer)
            with contextlib.suppress(Exception):
                writer.close()

    async def watch(self, after: int, writer: asyncio.StreamWriter) -> None:
        """Stream the changes."""
        writer.write(
            b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n"
        )
        version = after
        while not writer.is_closing():
            changes = self.registry.after(version)
            version = self.registry.generation
            line = (json.dumps(changes).encode() if changes else b"") + b"\n"
            writer.write(b"%x\r\n%b\r\n" % (len(line), line))
            await writer.drain()
            await asyncio.sleep(2.0)


# --- front doors ---


def deploy_command() -> str:
    """`run` of the deploy file."""
    with (ROOT / "deploy" / "balancer.toml").open("rb") as file:
        return str(tomllib.load(file)["run"])


class Door:
    """One front door, over all its processes."""

    def __init__(self, bed: "Bed", number: int) -> None:
        self.bed, self.number, self.name = bed, number, f"n{number}"
        self.port, self.peer_port = free_port(), free_port(socket.SOCK_DGRAM)
        self.folder = bed.folder / self.name
        self.folder.mkdir()
        self.config_path = self.folder / "config.json"
        self.process: asyncio.subprocess.Process | None = None
        self.log = self.folder / "log"
        self.up_since: float | None = None  # when it answered PING after its start
        self.told_to_end: float | None = None  # when SIGTERM was sent to the running process
        self.extra_env: dict[str, str] = {}

    def write_config(self, agent: Agent, known: dict[str, Any]) -> None:
        """Replace the configuration as a whole."""
        bed = self.bed
        values = {
            "name": self.name,
            "listen": f"{HOST}:{self.port}",
            "discovery": f"{HOST}:{agent.port}",
            "seed": f"{random.getrandbits(64):016x}",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "peer_listen": f"{HOST}:{self.peer_port}",
            "peers": [f"{HOST}:{door.peer_port}" for door in bed.doors],
            "known": known,
            "settings": settings(bed.site, self.number, len(bed.doors)),
        }
        scratch = self.config_path.with_suffix(".new")
        scratch.write_text(json.dumps(values))
        scratch.replace(self.config_path)

    async def start(self, agent: Agent) -> None:
        """Start the process with the command of the deploy file; `ready` waits for its PONG."""
        folder = self.folder / "tmp"
        shutil.rmtree(folder, ignore_errors=True)
        folder.mkdir()
        env = {
            name: text for name, text in os.environ.items() if not name.startswith(("PROXY_", "MOLEREACH"))
        }
        env |= {
            "PROXY_NAME": self.name,
            "PROXY_LISTEN": f"{HOST}:{self.port}",
            "PROXY_DISCOVERY": f"{HOST}:{agent.port}",
            "PROXY_CONFIG": str(self.config_path),
            "TMPDIR": str(folder),
        } | self.extra_env
        self.up_since = None
        with self.log.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                "/bin/sh",
                "-c",
                self.bed.run_command,
                cwd=ROOT,
                env=env,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                start_new_session=True,
            )
        self.bed.record.line("door-started", door=self.name, pid=self.process.pid)

    async def ready(self, within_s: float = 30.0) -> bool:
        """Wait until it answers PING."""
        until = now() + within_s
        while now() < until:
            with contextlib.suppress(OSError, TimeoutError, asyncio.IncompleteReadError):
                async with asyncio.timeout(1.0):
                    reader, writer = await asyncio.open_connection(HOST, self.port)
                    writer.write(encode([b"PING"]))
                    answer = await reader.readuntil(b"\r\n")
                    writer.close()
                    if answer == b"+PONG\r\n":
                        self.up_since = now()
                        self.bed.record.line("door-ready", door=self.name)
                        return True
            await asyncio.sleep(0.02)
        return False

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        if self.process and self.process.returncode is None:
            self.bed.record.line("signal", door=self.name, signal=number.name)
            self.process.send_signal(number)

    async def end(self) -> None:
        """Kill the process if it still runs."""
        if self.process:
            if self.process.returncode is None:
                with contextlib.suppress(ProcessLookupError):
                    self.process.kill()
            await self.process.wait()


# --- clients ---


class Try:
    """One request of a client."""

    def __init__(self, op: "Operation", number: int, door: Door, wait_s: float) -> None:
        self.op, self.number, self.door, self.wait_s = op, number, door, wait_s
        self.id = f"{op.id}{number:02x}"
        self.sent = 0.0
        self.answer: bytes | None = None
        self.kind = ""


class Operation:
    """What a client wants, with all its tries."""

    def __init__(self, number: int, klass: str, customer: "Customer") -> None:
        self.id, self.klass, self.customer = f"{number:012x}", klass, customer
        self.key = f"{random.getrandbits(64):016x}"
        self.tries: list[Try] = []


class Customer:
    """A customer with its plan and set of front doors."""

    def __init__(self, number: int, plan: str, first: int, spread: int) -> None:
        self.name, self.plan, self.first, self.spread = f"{number:016x}", plan, first, spread


class Link:
    """One connection of the clients' front to a front door."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer, self.used = reader, writer, False


async def read_answer(reader: asyncio.StreamReader) -> tuple[str, bytes]:
    """Read an answer; return its kind and its value or line."""
    line = await reader.readuntil(b"\r\n")
    if line.startswith(b"$") and line != b"$-1\r\n":
        return "served", (await reader.readexactly(int(line[1:]) + 2))[:-2]
    if line.startswith(b"-BUSY"):
        return "refused", line[:-2]
    return "failed", line[:-2]


class Bed:
    """A small deployment: front doors, servers, discovery and clients."""

    def __init__(
        self,
        folder: Path,
        site: Site | None = None,
        doors: int = 3,
        servers: int = 9,
        customers: int = 150,
        seed: int = 1,
    ) -> None:
        self.random = random.Random(seed)
        self.site = site or salalah()
        self.record = Record(folder)
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.run_command = deploy_command()
        self.registry = Registry()
        self.servers = [
            Server(
                self,
                f"s-{self.random.getrandbits(32):08x}",
                self.site.zones[index % len(self.site.zones)],
                index // 4,
            )
            for index in range(servers)
        ]
        self.doors: list[Door] = []
        self.doors += [Door(self, number) for number in range(doors)]
        self.agents: list[Agent] = []
        self.arrivals: dict[str, list[tuple[float, str]]] = {}
        self.operations: list[Operation] = []
        self.by_id: dict[str, Try] = {}
        self.links: dict[str, list[Link]] = {door.name: [] for door in self.doors}
        self.tasks: set[asyncio.Task[Any]] = set()
        self.breaks: list[str] = []
        self.notes: list[str] = []
        self.on_arrival_hook: Callable[[Server, str, float], None] = lambda server, request_id, first: None
        self.customers = self.make_customers(customers)
        self.klass_weights = [each["share"] for each in self.site.classes.values()]
        self.customer_weights = [self.site.plans[each.plan]["rate"] for each in self.customers]
        self.retries = 3

    def make_customers(self, count: int) -> list[Customer]:
        """Customers of all plans; sets of two front doors at least."""
        customers = []
        doors = len(self.doors)
        plans = self.site.plans
        # A plan's share is of the load; a customer's load follows its rate.
        weights = [each["share"] / each["rate"] for each in plans.values()]
        for _ in range(count):
            name = self.random.choices(list(plans), weights)[0]
            spread = self.random.randint(min(2, doors), doors)
            first = self.random.randrange(doors)
            customers.append(Customer(self.random.getrandbits(32), name, first, spread))
        return customers

    # --- start and end ---

    async def begin(self) -> None:
        """Start everything; clients begin when all front doors are ready."""
        for server in self.servers:
            await server.open()
            self.registry.put(server.entry())
        for door in self.doors:
            agent = Agent(self, self.registry, door.name)
            await agent.open()
            self.agents.append(agent)
            door.write_config(agent, self.registry.whole())
            await door.start(agent)
        for door in self.doors:
            if not await door.ready():
                raise CannotRunError(f"{door.name} is not ready")

    async def finish(self) -> None:
        """End all that was started and remove the folder."""
        for task in list(self.tasks):
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        for door in self.doors:
            await door.end()
            with contextlib.suppress(OSError):
                for line in door.log.read_text("utf-8", "replace").splitlines():
                    self.record.line("log", door=door.name, line=ascii(line))
        for server in self.servers:
            server.crash()
        for agent in self.agents:
            agent.end()
        for link in [link for links in self.links.values() for link in links]:
            link.writer.transport.abort()
        await asyncio.sleep(0.1)
        for text in self.breaks + self.notes:
            self.record.line("verdict", text=ascii(text))
        self.record.close()
        shutil.rmtree(self.folder, ignore_errors=True)

    def spawn(self, coroutine: Coroutine[Any, Any, None]) -> "asyncio.Task[None]":
        """Run a task that ends with the bed."""
        task = asyncio.get_running_loop().create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    # --- servers call these ---

    def work_s(self, request_id: str) -> float:
        """The work of a request in seconds."""
        request = self.by_id.get(request_id)
        mean = self.site.classes[request.op.klass]["work_ms"] / 1000 if request else 0.1
        return mean * min(4.0, self.random.lognormvariate(-0.2, 0.6))

    def on_arrival(self, server: Server, request_id: str, words: list[bytes], first: float) -> None:
        """A command has come whole to a server."""
        self.arrivals.setdefault(request_id, []).append((now(), server.name))
        began = f"{first - self.record.started:.4f}"
        self.record.line("arrived", server=server.name, id=request_id, first=began)
        if request_id not in self.by_id:
            self.breaks.append(f"{server.name} got {request_id}, which no client sent")
        self.on_arrival_hook(server, request_id, first)

    def on_run(self, server: Server, request_id: str, words: list[bytes]) -> None:
        """A server runs a command."""
        self.record.line("ran", server=server.name, id=request_id)

    # --- clients ---

    def doors_of(self, customer: Customer) -> list[Door]:
        """The front doors of a customer's set that the front takes for up.

        One that was told to end gets new connections for 0.3 s, and then what its open ones carry.
        """
        count = len(self.doors)
        found = []
        for step in range(customer.spread):
            door = self.doors[(customer.first + step) % count]
            if door.up_since is None:
                continue
            if door.told_to_end is not None and now() - door.told_to_end > NEW_CONNECTIONS_S:
                self.links[door.name] = [each for each in self.links[door.name] if not each.reader.at_eof()]
                if not self.links[door.name]:
                    continue
            found.append(door)
        return found

    async def load(self, rate: float, seconds: float, klass: str | None = None) -> None:
        """Begin operations at random times, `rate` a second."""
        until = now() + seconds
        while now() < until:
            await asyncio.sleep(self.random.expovariate(rate))
            name = klass or self.random.choices(list(self.site.classes), self.klass_weights)[0]
            self.begin_operation(name, self.random.choices(self.customers, self.customer_weights)[0])

    def begin_operation(self, klass: str, customer: Customer) -> Operation:
        """Begin one operation."""
        op = Operation(len(self.operations), klass, customer)
        self.operations.append(op)
        self.spawn(self.operate(op))
        return op

    async def operate(self, op: Operation) -> None:
        """Send an operation, and again as its class allows."""
        spec = self.site.classes[op.klass]
        deadline = now() + spec["deadline"]
        for number in range(1 + self.retries):
            doors = self.doors_of(op.customer)
            left = deadline - now()
            if not doors or left < 0.1:
                return
            door = self.random.choice(doors)
            wait_s = min(left, spec["deadline"] * self.random.uniform(0.5, 1.0))
            request = Try(op, number, door, wait_s)
            op.tries.append(request)
            self.by_id[request.id] = request
            await self.send(request)
            if request.kind == "served":
                return
            if request.kind not in ("refused", "unreachable") and spec["effect"] != SAFE:
                return
            await asyncio.sleep(self.random.uniform(0.04, 0.3))

    def command(self, request: Try) -> bytes:
        """The command of a request."""
        op, customer = request.op, request.op.customer
        fields = f"c={op.klass},t={customer.plan},d={round(request.wait_s * 1000)}"
        if self.site.classes[op.klass]["effect"] == KEYED:
            fields += f",k={op.key}"
        if request.number and self.site.marks_retry:
            fields += ",r=1"
        fields += f",units=1,spread={customer.spread},first={customer.first}"
        words = [customer.name.encode(), request.id.encode(), fields.encode()]
        if self.site.classes[op.klass]["effect"] == SAFE:
            return encode([b"SVC.QUERY", *words])
        return encode([b"SVC.SUBMIT", *words, b"BODY"])

    async def connect(self, door: Door) -> Link | None:
        """Open a connection."""
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                return Link(*await asyncio.open_connection(HOST, door.port))
        except (OSError, TimeoutError):
            return None

    async def send(self, request: Try) -> None:
        """Send a request and wait for its answer; once more if it crosses the end of a resting link."""
        door, data = request.door, self.command(request)
        request.sent = now()
        crossed = False  # a resting connection ended under it: it may have been read all the same
        for is_again in (False, True):
            idle = self.links[door.name]
            link = None
            while idle and not is_again:
                link = idle.pop()
                if not link.reader.at_eof() and not link.writer.is_closing():
                    break
                link.writer.close()
                link = None
            link = link or await self.connect(door)
            if link is None:
                request.kind = "broken" if crossed else "unreachable"
                self.record.line(request.kind, door=door.name, id=request.id)
                return
            was_used = link.used
            self.record.line("sent", door=door.name, id=request.id, c=request.op.klass, again=is_again)
            try:
                link.writer.write(data)
                left = request.sent + request.wait_s + LATE_S - now()
                async with asyncio.timeout(max(0.01, left)):
                    request.kind, request.answer = await read_answer(link.reader)
            except TimeoutError:
                request.kind = "none"
                link.writer.close()
            except (OSError, asyncio.IncompleteReadError) as error:
                link.writer.close()
                if was_used and not is_again and not getattr(error, "partial", b""):
                    crossed = True
                    continue
                request.kind = "broken"
            else:
                link.used = True
                self.links[door.name].append(link)
            self.record.line(
                "answered",
                door=door.name,
                id=request.id,
                kind=request.kind,
                after=f"{now() - request.sent:.4f}",
                of=f"{request.wait_s:.3f}",
                value=ascii((request.answer or b"").decode("utf-8", "replace")),
            )
            return

    async def settle(self) -> None:
        """Wait until all tries are over."""
        mine = {task for task in self.tasks if not task.done()}
        if mine:
            await asyncio.wait(mine, timeout=9.0)

    # --- judges ---

    def judge_ceilings(self) -> float:
        """Play the ceilings' stores; return the lowest level of any, and report those that were passed.

        A try takes its unit when its first attempt has come whole to a server. The store may go below 0 by
        the slack, and on sockets by what the rate gives in 150 ms more.
        """
        lowest = math.inf
        for customer in self.customers:
            limit = self.site.plans[customer.plan]
            if not limit["ceiling"]:
                continue
            slack = max(1.0, 0.1 * limit["hard"]) + 0.15 * limit["ceiling"]
            firsts = sorted(
                min(at for at, _ in self.arrivals[request.id])
                for request in self.by_id.values()
                if request.op.customer is customer and request.id in self.arrivals
            )
            level, before, worst, worst_at = limit["hard"], 0.0, limit["hard"], 0.0
            for at in firsts:
                level = min(limit["hard"], level + (at - before) * limit["ceiling"]) - 1.0
                before = at
                if level < worst:
                    worst, worst_at = level, at - self.record.started
            lowest = min(lowest, worst)
            if worst < -slack:
                self.breaks.append(
                    f"the ceiling of {customer.name} was passed: its store stood at {worst:.1f} at"
                    f" {worst_at:.2f} s, {-slack:.1f} is allowed"
                )
        return lowest

    def kinds(self) -> dict[str, int]:
        """Numbers of tries by the kind of their answer."""
        counts: dict[str, int] = {}
        for request in self.by_id.values():
            counts[request.kind] = counts.get(request.kind, 0) + 1
        return counts


class CannotRunError(Exception):
    """The case cannot be played here."""


async def restart(bed: Bed, door: Door) -> None:
    """A planned restart: SIGTERM, SIGKILL if it is still there when that may come, and a new process.

    Clients go on using the connections that they have, for as long as these stay open.
    """
    door.told_to_end = now()
    door.signal(signal.SIGTERM)
    assert door.process
    try:
        await asyncio.wait_for(door.process.wait(), KILL_AFTER_S)
    except TimeoutError:
        door.signal(signal.SIGKILL)
        await door.process.wait()
    door.up_since = door.told_to_end = None
    agent = bed.agents[door.number]
    door.write_config(agent, bed.registry.whole())
    await door.start(agent)
    if not await door.ready():
        raise CannotRunError(f"{door.name} is not ready")


def main(
    play: Callable[[Bed], Awaitable[None]],
    folder: Path,
    site: Site | None = None,
    customers: int = 150,
) -> None:
    """Play a case and exit with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run."""

    async def run() -> int:
        task = asyncio.current_task()
        assert task
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, task.cancel)
        bed = Bed(folder, site=site, customers=customers)
        code = 2
        try:
            async with asyncio.timeout(110):
                await bed.begin()
                await play(bed)
            code = 1 if bed.breaks else 0
        except (CannotRunError, TimeoutError, OSError, asyncio.CancelledError) as error:
            bed.notes.append(f"could not run: {error!r}")
        finally:
            await bed.finish()
        for text in bed.breaks[:20]:
            print("broken:", text)
        if len(bed.breaks) > 20:
            print(f"broken: and {len(bed.breaks) - 20} more")
        for text in bed.notes:
            print(text)
        print({0: "the rule held", 1: "the rule was broken", 2: "the case could not run"}[code])
        return code

    code = asyncio.run(run())
    sys.stdout.flush()
    os._exit(code)  # connections that are still being taken down need no word

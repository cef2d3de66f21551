"""Stand-ins on loopback for a small deployment, and the processes of its front doors.

Clients, member servers and discovery follow the protocol page. Standard library only. Times in the record are
seconds since the start of the case.
"""

import asyncio
import contextlib
import json
import os
import random
import signal
import socket
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
HOST = "127.0.0.1"
ZONES = ["plant-building", "control-building", "store-building"]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HEARTBEAT_S = 2.0  # between empty lines of a watch
MAX_RUN_S = 110.0
CLASSES = [("load-read", 2000, 35), ("capacity-booking", 7500, 34), ("meter-settlement", 7500, 31)]
CLOSED = (asyncio.IncompleteReadError, OSError)


class CannotRunError(Exception):
    """The case could not run."""


class Record:
    """What was sent, answered and run, in order of time."""

    def __init__(self, path: Path) -> None:
        self.start_s = time.monotonic()
        self.lines: list[str] = []
        self.path = path

    def now(self) -> float:
        """Return the seconds since the start."""
        return time.monotonic() - self.start_s

    def add(self, text: str) -> None:
        """Add a line."""
        self.lines.append(f"{self.now():9.4f} {text}")

    def write(self) -> None:
        """Write the file."""
        self.path.write_text("\n".join(self.lines) + "\n")


def free_port(kind: int = socket.SOCK_STREAM) -> int:
    """Return a port that is free now."""
    with socket.socket(socket.AF_INET, kind) as sock:
        sock.bind((HOST, 0))
        port: int = sock.getsockname()[1]
        return port


def encode(*arguments: str | bytes) -> bytes:
    """Encode a command."""
    parts = [argument.encode() if isinstance(argument, str) else argument for argument in arguments]
    return b"*%d\r\n" % len(parts) + b"".join(b"$%d\r\n%b\r\n" % (len(part), part) for part in parts)


async def read_command(reader: asyncio.StreamReader) -> list[bytes]:
    """Read a command; returns once its last byte has come."""
    count = int((await reader.readuntil(b"\r\n"))[1:-2])
    arguments = []
    for _ in range(count):
        size = int((await reader.readuntil(b"\r\n"))[1:-2])
        arguments.append((await reader.readexactly(size + 2))[:-2])
    return arguments


async def read_answer(reader: asyncio.StreamReader) -> tuple[str, bytes]:
    """Read a front door's answer: `served` with the value, or `refused` or `failed` with the line."""
    line = (await reader.readuntil(b"\r\n"))[:-2]
    if line.startswith(b"$") and line != b"$-1":
        return "served", (await reader.readexactly(int(line[1:]) + 2))[:-2]
    return ("refused" if line.startswith(b"-BUSY") else "failed"), line


class Server:
    """A member server; the world answers for it."""

    def __init__(self, world: "World", name: str, zone: int) -> None:
        self.world = world
        self.name = name
        self.zone = zone
        self.state = "SERVING"
        self.port = 0

    async def start(self) -> None:
        """Listen."""
        self.server = await asyncio.start_server(self.serve, HOST, 0)
        self.port = self.server.sockets[0].getsockname()[1]

    def entry(self) -> dict[str, object]:
        """Return its entry in discovery's list."""
        return {
            "instanceId": self.name,
            "hostPort": f"{HOST}:{self.port}",
            "zone": ZONES[self.zone],
            "machineType": "two-core-std",
            "cell": self.zone,
            "lifecycle": self.state,
            "weight": 1.0,
            "startedAtMs": 0,
        }

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve a connection: each command is begun at once, and answered after those before it."""
        last: asyncio.Task[None] | None = None
        try:
            while True:
                command = await read_command(reader)
                self.world.on_command(self, command)
                last = asyncio.create_task(self.world.answer(self, command, writer, last))
        except (*CLOSED, asyncio.CancelledError, ValueError):
            return
        finally:
            writer.close()


class Discovery:
    """The agent of one front door: the whole list, and a watch with changes and empty lines."""

    def __init__(self, world: "World", name: str, generation: int = 1) -> None:
        self.world = world
        self.name = name
        self.generation = generation
        self.changes: list[tuple[int, dict[str, object]]] = []
        self.changed = asyncio.Event()
        self.writers: set[asyncio.StreamWriter] = set()
        self.port = 0

    async def start(self) -> None:
        """Listen."""
        self.server = await asyncio.start_server(self.serve, HOST, 0)
        self.port = self.server.sockets[0].getsockname()[1]

    def end(self) -> None:
        """End: open connections are closed, new ones are refused."""
        self.server.close()
        for writer in list(self.writers):
            writer.close()

    def body(self, reset: bool, entries: list[dict[str, object]]) -> bytes:
        """Return an object with these entries."""
        return json.dumps({"generation": self.generation, "reset": reset, "instances": entries}).encode()

    def whole(self) -> bytes:
        """Return the whole list."""
        return self.body(True, [server.entry() for server in self.world.servers])

    def tell(self, server: Server) -> None:
        """Tell a server's present state on all watches."""
        self.generation += 1
        self.changes.append((self.generation, server.entry()))
        self.changed.set()
        self.changed = asyncio.Event()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve the requests of a connection."""
        self.writers.add(writer)
        try:
            while True:
                target = (await reader.readuntil(b"\r\n\r\n")).split()[1].decode()
                self.world.record.add(f"agent of {self.name}: GET {target}")
                if "watch=1" in target:
                    await self.watch(int(target.rpartition("after=")[2]), writer)
                    return
                body = self.whole()
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
        except (*CLOSED, asyncio.CancelledError):
            return
        finally:
            self.writers.discard(writer)
            writer.close()

    async def watch(self, after: int, writer: asyncio.StreamWriter) -> None:
        """Write what changed after a version, or the whole list, then each change."""
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        line = self.whole() + b"\n" if not 0 < after <= self.generation else b""
        while not writer.is_closing():
            if not line:
                entries = [entry for generation, entry in self.changes if generation > after]
                line = self.body(False, entries) + b"\n" if entries else b"\n"
            after = self.generation
            changed = self.changed
            writer.write(b"%x\r\n%b\r\n" % (len(line), line))
            await writer.drain()
            line = b""
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(changed.wait(), HEARTBEAT_S)


class Door:
    """One front door: a process of the deploy file's `run`."""

    def __init__(self, world: "World", number: int) -> None:
        self.world = world
        self.number = number
        self.name = f"n{number}"
        self.port = free_port()
        self.peer_port = free_port(socket.SOCK_DGRAM)
        self.discovery = Discovery(world, self.name)
        self.process: asyncio.subprocess.Process | None = None
        self.log_path = world.folder / f"{self.name}.log"
        self.config_path = world.folder / f"{self.name}.json"
        self.serves = False  # as far as the clients' front knows

    def write_config(self) -> None:
        """Write the configuration with the present address of its agent, replacing the file at once."""
        config = {
            "name": self.name,
            "listen": f"{HOST}:{self.port}",
            "discovery": f"{HOST}:{self.discovery.port}",
            "seed": f"{random.getrandbits(64):016x}",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "peer_listen": f"{HOST}:{self.peer_port}",
            "peers": [f"{HOST}:{door.peer_port}" for door in self.world.doors],
            "known": json.loads(self.discovery.whole()),
            "settings": self.world.settings(self.number),
        }
        new_path = self.config_path.with_suffix(".new")
        new_path.write_text(json.dumps(config))
        new_path.replace(self.config_path)

    async def start(self) -> None:
        """Start the process as the platform does."""
        self.write_config()
        command = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        private = self.world.folder / f"{self.name}.tmp"
        private.mkdir(exist_ok=True)
        own = ("PROXY_", "MOLEREACH_")
        env = {name: value for name, value in os.environ.items() if not name.startswith(own)} | {
            "PROXY_NAME": self.name,
            "PROXY_LISTEN": f"{HOST}:{self.port}",
            "PROXY_DISCOVERY": f"{HOST}:{self.discovery.port}",
            "PROXY_CONFIG": str(self.config_path),
            "TMPDIR": str(private),
        }
        with self.log_path.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                "/bin/sh",
                "-c",
                command,
                cwd=ROOT,
                env=env,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                start_new_session=True,
            )
        self.world.record.add(f"{self.name} is started, process {self.process.pid}")

    async def ready(self, within_s: float = 30.0) -> None:
        """Wait until it answers PING; CannotRunError if it does not."""
        deadline_s = time.monotonic() + within_s
        while True:
            with contextlib.suppress(*CLOSED, TimeoutError):
                reader, writer = await asyncio.open_connection(HOST, self.port)
                writer.write(encode("PING"))
                answer = await asyncio.wait_for(reader.readuntil(b"\r\n"), 5)
                writer.close()
                if answer == b"+PONG\r\n":
                    self.serves = True
                    self.world.record.add(f"{self.name} is ready")
                    return
            if time.monotonic() > deadline_s or not self.process or self.process.returncode is not None:
                raise CannotRunError(f"{self.name} is not ready")
            await asyncio.sleep(0.02)

    def signal(self, number: int) -> None:
        """Send its process a signal."""
        if self.process and self.process.returncode is None:
            os.kill(self.process.pid, number)

    async def stop(self) -> None:
        """Kill its process."""
        if self.process and self.process.returncode is None:
            os.killpg(self.process.pid, signal.SIGKILL)
            await self.process.wait()


def category(
    name: str,
    aim: int,
    deadline: int,
    points: float,
    effect: str,
    group: str = "all",
    window: int = 5_000_000,
) -> dict[str, object]:
    """Return the settings of a class."""
    return {
        "name": name,
        "on-time-us": aim,
        "deadline-us": deadline,
        "points": points,
        "late-worth": 0.0,
        "idempotency": effect,
        "group": group,
        "window-us": window,
        "streamed": False,
    }


def plan(
    name: str, rate: float, burst: float, value: float, cost: float, ceiling: float = 0
) -> dict[str, object]:
    """Return the settings of a tariff; `ceiling` is a multiple of rate and burst, 0 for none."""
    return {
        "name": name,
        "units-per-s": rate,
        "burst": burst,
        "value-factor": value,
        "extra-worth": 0.0,
        "overrun-cost": cost,
        "max-out": 0,
        "never-over-rate": ceiling * rate,
        "hard-burst": ceiling * burst,
        "hard-slack": 0.1 * ceiling * burst,
    }


def end_early(*_: object) -> None:
    """End with exit code 2, after all processes."""
    raise SystemExit(2)


class World:
    """A small deployment with figures of the site `salalah-network`."""

    doors_count = 3
    servers_count = 9

    def __init__(self, case: Path, seed: int) -> None:
        self.random = random.Random(seed)
        self.record = Record(case / "record.txt")
        self.temporary = tempfile.TemporaryDirectory()
        self.folder = Path(self.temporary.name)
        self.servers = [Server(self, f"s-{number + 1}", number % 3) for number in range(self.servers_count)]
        self.doors: list[Door] = []
        self.doors = [Door(self, number) for number in range(self.doors_count)]
        self.broken: list[str] = []
        self.resting: dict[str, list[tuple[asyncio.StreamReader, asyncio.StreamWriter]]] = {}
        self.request_count = 0
        self.outcomes: dict[str, int] = {}

    def settings(self, number: int) -> dict[str, object]:
        """Return the settings of a front door, as the simulator's first message gives them."""
        return {
            "me": number,
            "balancers": self.doors_count,
            "zone": number % 3,
            "zones": ZONES,
            "kinds": ["two-core-std"],
            "domain-type": "gate",
            "registry-mode": "automatic",
            "resolution-us": 4000,
            "stage": 0,
            "tiers": ["member-servers"],
            "weight-kind": "off",
            "categories": [
                category("load-read", 750_000, 2_000_000, 3.0, "read_like"),
                category(
                    "capacity-booking", 2_000_000, 7_500_000, 3.0, "idempotency_key", "zone", 15_000_000
                ),
                category("meter-settlement", 2_000_000, 7_500_000, 2.0, "non_idempotent"),
            ],
            "plans": [
                plan("basic-tariff", 0.78, 4.0, 0.88, 0.6),
                plan("standard-tariff", 1.6, 7.0, 1.3, 0.8),
                plan("bulk-tariff", 8.5, 10.0, 1.8, 0.6, 2.0),
            ],
            "ceilings": {
                "conn-idle-us": 30_000_000,
                "connect-timeout-us": 250_000,
                "cpu-us-per-request": 0.0,
                "cpu-us-per-s": 500_000,
                "max-attempts": 5,
                "max-open": 20_000,
                "max-retry-after-us": 1_000_000,
                "may-cancel": True,
                "may-probe": False,
                "parallel-tries": True,
                "peers": True,
                "retry-after": True,
                "streams-per-conn": 100,
            },
            "clients": {"marks-retry": True},
            "extra": {"counter": False, "largest": 1, "mail-per-s": 60.0, "trued-up": False},
            "obligations": {
                "ask-within-us": 10_000_000,
                "cold-from": 0.25,
                "drain-grace-us": 1_000_000,
                "fall-multiple": 2.5,
                "fall-us": 1_000_000,
                "grace-to-answer-us": 16_000,
                "warm-within-us": 17_000_000,
            },
            "prices": {"cross-zone": 0.01, "late-fail": 0.03, "peer": 0.02, "waste": 0.05},
            "stats": {"how": "inline", "names": ["cpu_share", "svc_ms"]},
        }

    # --- servers ---

    def on_command(self, server: Server, command: list[bytes]) -> None:
        """Record a command whose last byte has come."""
        self.record.add(f"{server.name} runs {command[2].decode()}")

    async def answer(
        self,
        server: Server,
        command: list[bytes],
        writer: asyncio.StreamWriter,
        earlier: asyncio.Task[None] | None,
    ) -> None:
        """Answer a command after its work and after the command before it on the connection."""
        await asyncio.sleep(self.work_s(command))
        if earlier:
            await earlier
        if not writer.is_closing():
            writer.write(self.value(command))
            self.record.add(f"{server.name} answers {command[2].decode()}")

    def work_s(self, command: list[bytes]) -> float:
        """Draw the work of a command."""
        mean_s = 0.088 if b"c=load-read" in command[3] else 0.22
        return min(4 * mean_s, self.random.expovariate(1 / mean_s))

    def value(self, command: list[bytes]) -> bytes:
        """Return the answer to a command; its value names the request that it was made for."""
        text = b"v=" + command[2]
        report = b"util=0.40,latency_ms=90"
        return b"*3\r\n$%d\r\n%b\r\n$-1\r\n$%d\r\n%b\r\n" % (len(text), text, len(report), report)

    # --- clients ---

    def make_request(self, name: str, customer: int, tariff: str, wait_ms: int) -> tuple[str, bytes]:
        """Return the id and the command of a new request."""
        self.request_count += 1
        request = f"{self.random.getrandbits(44):011x}{self.request_count:05x}"
        fields = f"c={name},t={tariff},d={wait_ms},units=1,spread={self.doors_count},first=0"
        if name == "load-read":
            return request, encode("SVC.QUERY", f"{customer:016x}", request, fields)
        if name == "capacity-booking":
            fields += f",k={self.random.getrandbits(64):016x}"
        return request, encode("SVC.SUBMIT", f"{customer:016x}", request, fields, b"BODY")

    def finish(self, request: str, outcome: str, detail: str = "") -> None:
        """Record what a client got."""
        self.outcomes[outcome] = self.outcomes.get(outcome, 0) + 1
        self.record.add(f"client got {outcome} for {request} {detail}".rstrip())

    async def ask(self, door: Door, name: str, customer: int, tariff: str, wait_ms: int) -> None:
        """Send a request on a resting connection or a new one, and wait for its answer."""
        request, data = self.make_request(name, customer, tariff, wait_ms)
        pool = self.resting.setdefault(door.name, [])
        self.record.add(f"client sends {request} {name} to {door.name}")
        while True:
            while pool and pool[-1][0].at_eof():  # closed by the front door while it rested
                pool.pop()[1].close()
            was_resting = bool(pool)
            try:
                reader, writer = pool.pop() if was_resting else await asyncio.open_connection(HOST, door.port)
            except OSError:
                self.finish(request, "unreachable")
                return
            try:
                writer.write(data)
                kind, text = await asyncio.wait_for(read_answer(reader), wait_ms / 1000 + 1)
            except TimeoutError:
                writer.close()
                self.finish(request, "no answer")
                return
            except CLOSED:
                writer.close()
                if was_resting:  # the close crossed the request: once more on another connection
                    continue
                self.finish(request, "closed without an answer")
                return
            pool.append((reader, writer))
            self.finish(request, kind, text.decode())
            return

    async def load(self, rate: float, until_s: float) -> None:
        """Send requests of many customers through the front doors that serve, as the front knows."""
        tasks: set[asyncio.Task[None]] = set()
        while self.record.now() < until_s:
            await asyncio.sleep(self.random.expovariate(rate))
            name, wait_ms, _ = self.random.choices(CLASSES, [share for _, _, share in CLASSES])[0]
            door = self.random.choice([door for door in self.doors if door.serves])
            customer = 1000 + self.random.randrange(400)
            task = asyncio.create_task(self.ask(door, name, customer, "standard-tariff", wait_ms))
            tasks.add(task)
            task.add_done_callback(tasks.discard)
        await asyncio.gather(*tasks)

    # --- the run ---

    async def start(self) -> None:
        """Start all stand-ins and front doors, and wait until these are ready."""
        for server in self.servers:
            await server.start()
        for door in self.doors:
            await door.discovery.start()
        for door in self.doors:
            await door.start()
        for door in self.doors:
            await door.ready()

    async def run(self, play: Callable[[], Awaitable[None]]) -> None:
        """Play within the time limit, and end all processes."""
        try:
            async with asyncio.timeout(MAX_RUN_S):
                await self.start()
                await play()
        finally:
            for door in self.doors:
                await door.stop()

    def main(self, play: Callable[[], Awaitable[None]]) -> int:
        """Run the case and write the record; return the exit code that the issue asks for."""
        failure = ""
        signal.signal(signal.SIGTERM, end_early)
        try:
            asyncio.run(self.run(play))
        except (CannotRunError, TimeoutError, OSError) as error:
            failure = f"cannot run: {type(error).__name__} {error}"
            self.record.add(failure)
        for text in self.broken:
            self.record.add(f"BROKEN: {text}")
        for door in self.doors:
            if door.log_path.exists():
                self.record.lines.append(f"--- log of {door.name}\n{door.log_path.read_text()[-3000:]}")
        self.record.write()
        self.temporary.cleanup()
        print(failure or f"{self.request_count} requests: {self.outcomes}; broken {len(self.broken)} times")
        for text in self.broken[:5]:
            print(f"  {text}")
        if failure:
            return 2
        return 1 if self.broken else 0

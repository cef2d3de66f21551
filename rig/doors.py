"""Front doors as processes: the real program, told by environment and JSON as the deployment does.

The JSON stands in memory that the process inherits, and the log comes through a pipe: no file is made.
A front door dies with the rig, however that ends.
"""

import asyncio
import contextlib
import ctypes
import fcntl
import json
import os
import signal
import subprocess
import sys
from collections import deque
from collections.abc import Callable, Sequence
from pathlib import Path

from rig.clock import now_us
from rig.facts import DoorDown, DoorUp, Down, Fact
from rig.sockets import Address, free_datagram_port, reserve

LOG_LINES = 200  # of a front door's log that are kept
READ_BYTES = 1 << 16
PING_EVERY_S, START_S, END_S = 0.02, 20.0, 8.0
PR_SET_PDEATHSIG = 1
TICKS = os.sysconf("SC_CLK_TCK")
PAGE = os.sysconf("SC_PAGE_SIZE")
FRONT_DOOR = (sys.executable, "-m", "molereach")
PRCTL = ctypes.CDLL(None).prctl


def die_with_parent() -> Callable[[], None]:
    """For the child of whoever calls this: be killed when that is gone, also where it could clean up nothing.

    The system tells of no death that was before the child asked: so it looks once it has.
    """
    parent = os.getpid()

    def ask() -> None:
        PRCTL(PR_SET_PDEATHSIG, signal.SIGKILL)
        if os.getppid() != parent:
            os.kill(os.getpid(), signal.SIGKILL)

    return ask


class Door:
    """One front door, over all its starts."""

    def __init__(
        self,
        name: str,
        number: int,
        host: str,
        facts: list[Fact],
        command: Sequence[str] = FRONT_DOOR,
    ) -> None:
        self.name, self.number, self.facts, self.command = name, number, facts, command
        self.holder, self.address = reserve(host)
        self.peer_address: Address = free_datagram_port(host)
        self.config: dict[str, object] = {}
        self.memory = os.memfd_create(f"molereach-{name}", 0)
        self.process: subprocess.Popen[bytes] | None = None
        self.log: deque[str] = deque(maxlen=LOG_LINES)
        self.part = b""
        self.tracebacks = self.starts = 0
        self.told_to_end = self.killed = False
        self.ended, self.log_ended = asyncio.Event(), asyncio.Event()
        self.cpu_before_s = 0.0  # of processes that have ended
        self.last_usage = (0.0, 0)

    # --- start ---

    def write_config(self, **changes: object) -> None:
        self.config |= changes
        data = json.dumps(self.config).encode()
        os.ftruncate(self.memory, 0)
        os.pwrite(self.memory, data, 0)

    def start(self) -> None:
        self.told_to_end = self.killed = False
        self.ended, self.log_ended = asyncio.Event(), asyncio.Event()
        self.starts += 1
        env = {
            name: text for name, text in os.environ.items() if not name.startswith(("PROXY_", "MOLEREACH_"))
        }
        root = str(Path(__file__).parents[1])
        env |= {
            "PROXY_NAME": self.name,
            "PROXY_LISTEN": "{}:{}".format(*self.address),
            "PROXY_CONFIG": f"/proc/self/fd/{self.memory}",
            "PYTHONPATH": os.pathsep.join(filter(None, (root, env.get("PYTHONPATH")))),
        }
        self.process = subprocess.Popen(
            self.command,
            env=env,
            stdin=subprocess.DEVNULL,
            stdout=subprocess.DEVNULL,
            stderr=subprocess.PIPE,
            pass_fds=(self.memory,),
            preexec_fn=die_with_parent(),
            start_new_session=True,  # Ctrl-C is for the rig, which ends them in its own way
        )
        self.watch(self.process)

    def watch(self, process: "subprocess.Popen[bytes]") -> None:
        loop = asyncio.get_running_loop()
        assert process.stderr is not None
        pipe, pidfd, log_ended = process.stderr, os.pidfd_open(process.pid), self.log_ended
        fcntl.fcntl(pipe, fcntl.F_SETFL, os.O_NONBLOCK)

        def read() -> None:
            with contextlib.suppress(BlockingIOError):
                data = os.read(pipe.fileno(), READ_BYTES)
                self.take_log(data)
                if not data:
                    loop.remove_reader(pipe.fileno())
                    pipe.close()
                    log_ended.set()

        def exited() -> None:
            loop.remove_reader(pidfd)
            os.close(pidfd)
            process.wait()
            self.gone(process)

        loop.add_reader(pipe.fileno(), read)
        loop.add_reader(pidfd, exited)

    def take_log(self, data: bytes) -> None:
        *lines, self.part = (self.part + data).split(b"\n")
        for line in lines:
            text = line.decode("utf-8", "replace")
            self.tracebacks += text.startswith("Traceback")
            self.log.append(text)
        self.part = self.part[-READ_BYTES:]

    async def ready(self) -> None:
        """Wait until it answers; RuntimeError with its last lines where it does not."""
        async with asyncio.timeout(START_S):
            while True:
                if not self.up:
                    await self.log_ended.wait()
                    raise RuntimeError(f"{self.name} did not start: {' | '.join(list(self.log)[-3:])}")
                with contextlib.suppress(OSError):
                    reader, writer = await asyncio.open_connection(*self.address)
                    try:
                        writer.write(b"*1\r\n$4\r\nPING\r\n")
                        if await reader.readexactly(7) == b"+PONG\r\n":
                            break
                    except asyncio.IncompleteReadError:
                        pass
                    finally:
                        writer.close()
                await asyncio.sleep(PING_EVERY_S)
        self.facts.append(DoorUp(now_us(), self.name))

    # --- signals and the end ---

    @property
    def up(self) -> bool:
        return self.process is not None and self.process.returncode is None and not self.ended.is_set()

    @property
    def state(self) -> str:
        """For people: up, ended (as it was told to) or down."""
        if self.up:
            return "up"
        return "ended" if self.told_to_end and not self.killed else "down"

    def signal(self, number: signal.Signals) -> None:
        if self.process is not None and self.up:
            self.process.send_signal(number)

    def kill(self) -> None:
        if self.up:
            self.killed = True
            self.facts.append(DoorDown(now_us(), self.name, Down.KILLED))
            self.signal(signal.SIGKILL)

    def stop(self) -> None:
        if self.up:
            self.facts.append(DoorDown(now_us(), self.name, Down.STOPPED))
            self.signal(signal.SIGSTOP)

    def resume(self) -> None:
        if self.up:
            self.signal(signal.SIGCONT)
            self.facts.append(DoorUp(now_us(), self.name, again=True))

    def end(self) -> None:
        self.told_to_end = True
        self.signal(signal.SIGTERM)

    def gone(self, process: "subprocess.Popen[bytes]") -> None:
        """The process has ended: as it was told to, or by a crash."""
        self.cpu_before_s += self.last_usage[0]
        self.last_usage = (0.0, self.last_usage[1])
        if not self.killed:
            well = self.told_to_end and process.returncode == 0
            self.facts.append(DoorDown(now_us(), self.name, Down.ENDED if well else Down.CRASHED))
        self.ended.set()

    async def finish(self) -> None:
        """End it in order; one that does not end in time is killed."""
        if self.up:
            self.end()
            self.signal(signal.SIGCONT)
            try:
                await asyncio.wait_for(self.ended.wait(), END_S)
            except TimeoutError:
                self.log.append(f"rig: {self.name} did not end within {END_S} s of SIGTERM")
                self.facts.append(DoorDown(now_us(), self.name, Down.CRASHED))
                self.destroy()

    def destroy(self) -> None:
        """End it at once, if it is still there."""
        if self.process is not None and self.process.poll() is None:
            self.killed = True
            self.process.kill()
            self.process.wait()

    def close(self) -> None:
        self.destroy()
        self.holder.close()
        # Once only: by now the number may be of somebody else's file.
        memory, self.memory = self.memory, -1
        if memory >= 0:
            os.close(memory)

    # --- what it takes ---

    def usage(self) -> tuple[float, int]:
        """CPU seconds over all its processes, and bytes in memory now."""
        if self.process is not None and self.up:
            with contextlib.suppress(OSError, IndexError, ValueError):
                fields = Path(f"/proc/{self.process.pid}/stat").read_text().rpartition(")")[2].split()
                self.last_usage = (int(fields[11]) + int(fields[12])) / TICKS, int(fields[21]) * PAGE
        return self.cpu_before_s + self.last_usage[0], self.last_usage[1]

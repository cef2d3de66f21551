"""Front doors as processes: the real program, configured by environment and JSON as in a deployment.

The JSON is in memory that the process inherits, and the log comes through a pipe, so that no file is created.
A front door is killed when the test bed ends, however it ends.
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
from rig.door_delays import DoorDelays
from rig.facts import DoorDown, DoorUp, Down, Fact
from rig.sockets import Address, free_datagram_port, reserve

MAX_LOG_LINES = 200  # kept of each front door
READ_BYTES = 1 << 16
PING_INTERVAL_S, START_TIMEOUT_S, SHUTDOWN_TIMEOUT_S = 0.02, 20.0, 8.0
PR_SET_PDEATHSIG = 1
CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
FRONT_DOOR = (sys.executable, "-m", "molereach")
PRCTL = ctypes.CDLL(None).prctl


def die_with_parent() -> Callable[[], None]:
    """A `preexec_fn` that has the child killed when the calling process ends, even without any cleanup.

    The system does not report an end before the child's request, so the child checks its parent afterwards.
    """
    parent = os.getpid()

    def request_signal() -> None:
        PRCTL(PR_SET_PDEATHSIG, signal.SIGKILL)
        if os.getppid() != parent:
            os.kill(os.getpid(), signal.SIGKILL)

    return request_signal


class Door:
    """One front door, over all its restarts."""

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
        self.config_fd = os.memfd_create(f"molereach-{name}", 0)
        self.process: subprocess.Popen[bytes] | None = None
        self.log: deque[str] = deque(maxlen=MAX_LOG_LINES)
        self.delays = DoorDelays()
        self.partial_line = b""
        self.tracebacks = self.starts = 0
        self.stop_requested = self.killed = False
        self.ended, self.log_ended = asyncio.Event(), asyncio.Event()
        self.cpu_before_s = 0.0  # of earlier processes
        self.last_usage = (0.0, 0)

    # --- start ---

    def write_config(self, **changes: object) -> None:
        """Change top-level values of the configuration; a running process reads them on SIGHUP."""
        self.config |= changes
        data = json.dumps(self.config).encode()
        os.ftruncate(self.config_fd, 0)
        os.pwrite(self.config_fd, data, 0)

    def start(self) -> None:
        """Start the process; `ready` waits until it answers."""
        self.stop_requested = self.killed = False
        self.ended, self.log_ended = asyncio.Event(), asyncio.Event()
        self.starts += 1
        env = {
            name: text for name, text in os.environ.items() if not name.startswith(("PROXY_", "MOLEREACH_"))
        }
        root = str(Path(__file__).parents[1])
        env |= {
            "PROXY_NAME": self.name,
            "PROXY_LISTEN": "{}:{}".format(*self.address),
            "PROXY_CONFIG": f"/proc/self/fd/{self.config_fd}",
            "PYTHONPATH": os.pathsep.join(filter(None, (root, env.get("PYTHONPATH")))),
        }
        self.process = subprocess.Popen(
            self.command,
            env=env,
            stdin=subprocess.DEVNULL,
            stdout=subprocess.DEVNULL,
            stderr=subprocess.PIPE,
            pass_fds=(self.config_fd,),
            preexec_fn=die_with_parent(),
            start_new_session=True,  # Ctrl-C goes to the test bed alone, which shuts the front doors down
        )
        self.watch(self.process)

    def watch(self, process: "subprocess.Popen[bytes]") -> None:
        """Read the log of a process and notice its end."""
        loop = asyncio.get_running_loop()
        assert process.stderr is not None
        pipe, pidfd, log_ended = process.stderr, os.pidfd_open(process.pid), self.log_ended
        fcntl.fcntl(pipe, fcntl.F_SETFL, os.O_NONBLOCK)

        def read() -> None:
            with contextlib.suppress(BlockingIOError):
                data = os.read(pipe.fileno(), READ_BYTES)
                self.append_log(data)
                if not data:
                    loop.remove_reader(pipe.fileno())
                    pipe.close()
                    log_ended.set()

        def exited() -> None:
            loop.remove_reader(pidfd)
            os.close(pidfd)
            process.wait()
            self.on_exit(process)

        loop.add_reader(pipe.fileno(), read)
        loop.add_reader(pidfd, exited)

    def append_log(self, data: bytes) -> None:
        """Split log data into lines, and count tracebacks."""
        *lines, self.partial_line = (self.partial_line + data).split(b"\n")
        for line in lines:
            text = line.decode("utf-8", "replace")
            self.tracebacks += text.startswith("Traceback")
            self.delays.read_line(text)
            self.log.append(text)
        self.partial_line = self.partial_line[-READ_BYTES:]

    async def ready(self) -> None:
        """Wait until it answers; RuntimeError with the end of its log if it ends before."""
        async with asyncio.timeout(START_TIMEOUT_S):
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
                await asyncio.sleep(PING_INTERVAL_S)
        self.facts.append(DoorUp(now_us(), self.name))

    # --- signals and shutdown ---

    @property
    def up(self) -> bool:
        """Whether the process runs, stopped or not."""
        return self.process is not None and self.process.returncode is None and not self.ended.is_set()

    @property
    def state(self) -> str:
        """State for reports: up, ended (as requested) or down."""
        if self.up:
            return "up"
        return "ended" if self.stop_requested and not self.killed else "down"

    def signal(self, number: signal.Signals) -> None:
        """Send a signal if the process runs."""
        if self.process is not None and self.up:
            self.process.send_signal(number)

    def kill(self) -> None:
        """Send SIGKILL, and record it for the auditor."""
        if self.up:
            self.killed = True
            self.facts.append(DoorDown(now_us(), self.name, Down.KILLED))
            self.signal(signal.SIGKILL)

    def stop(self) -> None:
        """Send SIGSTOP, and record it."""
        if self.up:
            self.facts.append(DoorDown(now_us(), self.name, Down.STOPPED))
            self.signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Send SIGCONT, and record that the front door is up again."""
        if self.up:
            self.signal(signal.SIGCONT)
            self.facts.append(DoorUp(now_us(), self.name, again=True))

    def end(self) -> None:
        """Send SIGTERM for a graceful shutdown."""
        self.stop_requested = True
        self.signal(signal.SIGTERM)

    def on_exit(self, process: "subprocess.Popen[bytes]") -> None:
        """Record the end of the process, as requested or by a crash."""
        self.cpu_before_s += self.last_usage[0]
        self.last_usage = (0.0, self.last_usage[1])
        if not self.killed:
            graceful = self.stop_requested and process.returncode == 0
            self.facts.append(DoorDown(now_us(), self.name, Down.ENDED if graceful else Down.CRASHED))
        self.ended.set()

    async def finish(self) -> None:
        """Shut down gracefully; a process that does not end in time is killed and counts as crashed."""
        if self.up:
            self.end()
            self.signal(signal.SIGCONT)
            try:
                await asyncio.wait_for(self.ended.wait(), SHUTDOWN_TIMEOUT_S)
            except TimeoutError:
                self.log.append(f"rig: {self.name} did not end within {SHUTDOWN_TIMEOUT_S} s of SIGTERM")
                self.facts.append(DoorDown(now_us(), self.name, Down.CRASHED))
                self.destroy()

    def destroy(self) -> None:
        """Kill the process, if it still runs."""
        if self.process is not None and self.process.poll() is None:
            self.killed = True
            self.process.kill()
            self.process.wait()

    def close(self) -> None:
        """Kill the process and release its port and configuration."""
        self.destroy()
        self.holder.close()
        # Closed once only, as the number may be reused for another file afterwards.
        config_fd, self.config_fd = self.config_fd, -1
        if config_fd >= 0:
            os.close(config_fd)

    # --- resource use ---

    def usage(self) -> tuple[float, int]:
        """CPU seconds over all its processes, and bytes of resident memory now."""
        if self.process is not None and self.up:
            with contextlib.suppress(OSError, IndexError, ValueError):
                fields = Path(f"/proc/{self.process.pid}/stat").read_text().rpartition(")")[2].split()
                self.last_usage = (
                    (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_S,
                    int(fields[21]) * PAGE_BYTES,
                )
        return self.cpu_before_s + self.last_usage[0], self.last_usage[1]

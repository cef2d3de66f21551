"""Signals to the program as a process: before it serves, during startup and while it drains.

The program blocks at a chosen point by reading from a pipe: signals sent before the pipe is closed arrive
before it continues.
"""

import asyncio
import contextlib
import json
import os
import signal
import sys
import tomllib
from collections.abc import Callable
from dataclasses import replace
from pathlib import Path

import pytest

from molereach.__main__ import serve
from molereach.clock import now_us
from molereach.proxy.graceful_shutdown import GracefulShutdown
from molereach.proxy.proxy import Proxy
from tests.races.scripted_peers import Peer, ScriptedServer, run_loop_iterations, scripted_server, wait_until
from tests.races.sigterm import shorten_shutdown_times
from tests.sockets import CONFIG, CUSTOMER, HOST, Backend, catalog, entry, refusing_address, resp, run, value
from tests.test_program import ROOT, SETTINGS, config, write

RUN_COMMAND = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
# sitecustomize.py, which Python imports before the program starts.
HOLDING_SITECUSTOMIZE = """
import os, socket, sys

def hold():
    with open(os.environ["HELD_BY"]) as pipe:
        pipe.read()

class Imports:
    def find_spec(self, name, path=None, target=None):
        if name == "uvloop":
            sys.meta_path.remove(self)
            hold()

def listen(*args, made=socket.create_server, **values):
    hold()
    return made(*args, **values)

if os.environ["HELD_AT"] == "import":
    sys.meta_path.insert(0, Imports())
else:
    socket.create_server = listen
"""


async def start(
    directory: Path, backend: tuple[str, int], held_at: str = "", discovery: tuple[str, int] | None = None
) -> asyncio.subprocess.Process:
    """Start the program with the platform's run command, blocked at the given point."""
    listen, discovery_address = refusing_address(), discovery or refusing_address()
    known = json.loads(catalog(4, [entry("s1", backend)]))
    # A held program gets no requests; short deadlines shorten its drain.
    classes = [
        {**request_class, "deadline-us": 100_000} if held_at else request_class
        for request_class in SETTINGS["categories"]
    ]
    # Connects must not time out on a busy machine.
    settings = {
        **SETTINGS,
        "categories": classes,
        "ceilings": {**SETTINGS["ceilings"], "connect-timeout-us": 10_000_000},
    }
    values = config(
        listen=f"{HOST}:{listen[1]}",
        discovery=f"{HOST}:{discovery_address[1]}",
        known=known,
        settings=settings,
    )
    env = {**os.environ, **write(directory, values)}
    if held_at:
        (directory / "sitecustomize.py").write_text(HOLDING_SITECUSTOMIZE)
        os.mkfifo(directory / "pipe")
        env |= {"PYTHONPATH": str(directory), "HELD_BY": str(directory / "pipe"), "HELD_AT": held_at}
    return await asyncio.create_subprocess_exec(
        "/bin/sh",
        "-c",
        RUN_COMMAND.replace(".venv/bin/python", sys.executable),
        cwd=ROOT,
        env=env,
        stderr=asyncio.subprocess.PIPE,
    )


async def wait_held(directory: Path) -> int:
    """Return the write end of the pipe, once the program reads from it."""
    descriptors: list[int] = []

    def is_open() -> bool:
        with contextlib.suppress(OSError):  # the program does not read it yet
            descriptors.append(os.open(directory / "pipe", os.O_WRONLY | os.O_NONBLOCK))
        return bool(descriptors)

    await wait_until(is_open, timeout_s=25)
    return descriptors[0]


async def wait_for_log(process: asyncio.subprocess.Process, text: bytes) -> None:
    """Wait for a line of the log with this text."""
    assert process.stderr
    while text not in (line := await process.stderr.readline()):
        assert line, "the program has ended"


def test_reload_before_handlers_are_installed_does_not_kill_the_process(tmp_path: Path) -> None:
    """A reload of all proxies also signals those that have just been started."""

    async def job() -> None:
        process = await start(tmp_path, refusing_address(), "import")
        pipe = await wait_held(tmp_path)
        process.send_signal(signal.SIGHUP)
        os.close(pipe)
        await wait_for_log(process, b"serves at")
        process.send_signal(signal.SIGTERM)
        assert await process.wait() == 0

    run(job())


@pytest.mark.parametrize("signal_number", [signal.SIGTERM, signal.SIGINT])
def test_termination_during_startup_takes_effect_after_it(tmp_path: Path, signal_number: int) -> None:
    async def job() -> None:
        process = await start(tmp_path, refusing_address(), "listen")
        pipe = await wait_held(tmp_path)
        process.send_signal(signal_number)
        process.send_signal(signal.SIGHUP)
        os.close(pipe)
        await wait_for_log(process, b"serves at")
        await wait_for_log(process, b"drains")
        assert await process.wait() == 0

    run(job())


def test_shutdown_times_count_from_the_signal_also_during_startup(monkeypatch: pytest.MonkeyPatch) -> None:
    """SIGKILL is timed from SIGTERM: a startup that waits for a list or for orders would otherwise answer
    after it."""
    shorten_shutdown_times(monkeypatch)
    proxies: list[Proxy] = []
    signal_times_us: list[int] = []

    async def attach(proxy: Proxy) -> Callable[[], None]:
        os.kill(os.getpid(), signal.SIGTERM)
        await run_loop_iterations(20)
        signal_times_us.append(now_us())
        await asyncio.sleep(0.02)  # enough for the two to differ
        proxies.append(proxy)
        return lambda: None

    run(serve(replace(CONFIG, discovery=refusing_address()), attach))
    assert proxies[0].shutdown
    longest_deadline_us = max(request_class.deadline_us for request_class in CONFIG.settings.classes)
    assert (
        proxies[0].shutdown.responses_due_at_us
        <= GracefulShutdown(signal_times_us[0], (longest_deadline_us,)).responses_due_at_us
    )


def test_reload_during_startup_takes_effect_after_it(tmp_path: Path) -> None:
    """The discovery address that the file has by then is used."""

    async def job() -> None:
        with scripted_server() as discovery:
            process = await start(tmp_path, refusing_address(), "listen")
            pipe = await wait_held(tmp_path)
            file = tmp_path / "config.json"
            changed = {**json.loads(file.read_text()), "discovery": f"{HOST}:{discovery.address[1]}"}
            file.write_text(json.dumps(changed))
            process.send_signal(signal.SIGHUP)
            os.close(pipe)
            watch = await discovery.accept()
            assert b"GET /catalog/members" in await watch.receive_until(b"\r\n\r\n")
            process.send_signal(signal.SIGTERM)
            assert await process.wait() == 0

    run(job())


def test_further_signals_do_not_disturb_a_drain(tmp_path: Path) -> None:
    """The open request is answered, and an idle client gets EOF without a reset."""

    async def job() -> None:
        # The port stays in use, so that no other discovery server can listen there.
        with scripted_server() as discovery:
            await drain_with_further_signals(discovery)

    async def drain_with_further_signals(discovery: ScriptedServer) -> None:
        backend = Backend(lambda words: None)
        process = await start(tmp_path, await backend.start(), discovery=discovery.address)
        await wait_for_log(process, b"serves at")
        listen = json.loads((tmp_path / "config.json").read_text())["listen"]
        host, _, port = listen.rpartition(":")
        client, idle_client = Peer.connect((host, int(port))), Peer.connect((host, int(port)))
        idle_client.send(resp("PING"))
        client.send(resp("SVC.QUERY", CUSTOMER, "a1", "c=read,t=team,d=4000"))
        await backend.command_received.wait()
        process.send_signal(signal.SIGTERM)
        await wait_for_log(process, b"drains")
        for signal_number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            process.send_signal(signal_number)
        await wait_for_log(process, b"takes over the configuration")
        backend.writers[0].write(value(b"ok"))
        assert await client.receive_all() == b"$2\r\nok\r\n"
        assert await idle_client.receive_all() == b"+PONG\r\n"
        client.close()
        idle_client.close()
        assert await process.wait() == 0

    run(job())

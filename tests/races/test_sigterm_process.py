"""Signals and the program as a process: before it serves, while it starts, while it drains.

The program is held at a named place by a pipe that it reads there: what is signalled until the pipe is closed
has come before it goes on.
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
from tests.races.scripted_peers import Machine, Peer, machine, turns, until
from tests.races.sigterm import shorten
from tests.sockets import CONFIG, CUSTOMER, HOST, Backend, catalog, entry, refusing_address, resp, run, value
from tests.test_program import ROOT, SETTINGS, config, write

RUN = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
# Python imports this by its name before the program begins.
HOLD = """
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
    path: Path, backend: tuple[str, int], held_at: str = "", discovery: tuple[str, int] | None = None
) -> asyncio.subprocess.Process:
    """The program by the line that the platform runs, held at that place."""
    listen, silent = refusing_address(), discovery or refusing_address()
    known = json.loads(catalog(4, [entry("s1", backend)]))
    # A held program is asked nothing: short deadlines make its drain short.
    rules = [{**rule, "deadline-us": 100_000} if held_at else rule for rule in SETTINGS["categories"]]
    # Nor is a dial given up on a busy machine.
    settings = {
        **SETTINGS,
        "categories": rules,
        "ceilings": {**SETTINGS["ceilings"], "connect-timeout-us": 10_000_000},
    }
    values = config(
        listen=f"{HOST}:{listen[1]}", discovery=f"{HOST}:{silent[1]}", known=known, settings=settings
    )
    env = {**os.environ, **write(path, values)}
    if held_at:
        (path / "sitecustomize.py").write_text(HOLD)
        os.mkfifo(path / "pipe")
        env |= {"PYTHONPATH": str(path), "HELD_BY": str(path / "pipe"), "HELD_AT": held_at}
    return await asyncio.create_subprocess_exec(
        "/bin/sh",
        "-c",
        RUN.replace(".venv/bin/python", sys.executable),
        cwd=ROOT,
        env=env,
        stderr=asyncio.subprocess.PIPE,
    )


async def held(path: Path) -> int:
    """The writing end of the pipe, once the program reads it."""
    found: list[int] = []

    def opened() -> bool:
        with contextlib.suppress(OSError):  # nobody reads it yet
            found.append(os.open(path / "pipe", os.O_WRONLY | os.O_NONBLOCK))
        return bool(found)

    await until(opened, within_s=25)
    return found[0]


async def said(process: asyncio.subprocess.Process, word: bytes) -> None:
    """Wait for a line of its log."""
    assert process.stderr
    while word not in (line := await process.stderr.readline()):
        assert line, "the program has ended"


def test_reload_before_the_program_can_take_it_does_not_kill_it(tmp_path: Path) -> None:
    """Whoever reloads all front doors reaches those too that have only just been started."""

    async def job() -> None:
        process = await start(tmp_path, refusing_address(), "import")
        pipe = await held(tmp_path)
        process.send_signal(signal.SIGHUP)
        os.close(pipe)
        await said(process, b"serves at")
        process.send_signal(signal.SIGTERM)
        assert await process.wait() == 0

    run(job())


@pytest.mark.parametrize("number", [signal.SIGTERM, signal.SIGINT])
def test_end_while_it_starts_is_taken_when_it_has_started(tmp_path: Path, number: int) -> None:
    async def job() -> None:
        process = await start(tmp_path, refusing_address(), "listen")
        pipe = await held(tmp_path)
        process.send_signal(number)
        process.send_signal(signal.SIGHUP)
        os.close(pipe)
        await said(process, b"serves at")
        await said(process, b"drains")
        assert await process.wait() == 0

    run(job())


def test_time_of_the_end_counts_from_the_signal_also_while_it_starts(monkeypatch: pytest.MonkeyPatch) -> None:
    """The kill does: a start that waits for a list, or for orders, would else answer after it."""
    shorten(monkeypatch)
    doors: list[Proxy] = []
    heard: list[int] = []

    async def attach(door: Proxy) -> Callable[[], None]:
        os.kill(os.getpid(), signal.SIGTERM)
        await turns(20)
        heard.append(now_us())
        await asyncio.sleep(0.02)  # so much must lie between for the two to differ
        doors.append(door)
        return lambda: None

    run(serve(replace(CONFIG, discovery=refusing_address()), attach))
    assert doors[0].shutdown
    longest_us = max(rule.deadline_us for rule in CONFIG.settings.classes)
    assert (
        doors[0].shutdown.responses_due_at_us <= GracefulShutdown(heard[0], (longest_us,)).responses_due_at_us
    )


def test_reload_while_it_starts_is_taken_when_it_has_started(tmp_path: Path) -> None:
    """The address of discovery that the file names by then is gone to."""

    async def job() -> None:
        with machine() as discovery:
            process = await start(tmp_path, refusing_address(), "listen")
            pipe = await held(tmp_path)
            file = tmp_path / "config.json"
            moved = {**json.loads(file.read_text()), "discovery": f"{HOST}:{discovery.address[1]}"}
            file.write_text(json.dumps(moved))
            process.send_signal(signal.SIGHUP)
            os.close(pipe)
            watch = await discovery.accept()
            assert b"GET /catalog/members" in await watch.hear_until(b"\r\n\r\n")
            process.send_signal(signal.SIGTERM)
            assert await process.wait() == 0

    run(job())


def test_further_signals_change_nothing_of_a_drain(tmp_path: Path) -> None:
    """What is open is answered, and a client that rests is ended with no reset."""

    async def job() -> None:
        # Its port is kept, so that no other's list can come from there.
        with machine() as discovery:
            await signalled(discovery)

    async def signalled(discovery: Machine) -> None:
        backend = Backend(lambda words: None)
        process = await start(tmp_path, await backend.start(), discovery=discovery.address)
        await said(process, b"serves at")
        listen = json.loads((tmp_path / "config.json").read_text())["listen"]
        host, _, port = listen.rpartition(":")
        client, rests = Peer.dial((host, int(port))), Peer.dial((host, int(port)))
        rests.say(resp("PING"))
        client.say(resp("SVC.QUERY", CUSTOMER, "a1", "c=read,t=team,d=4000"))
        await backend.command_received.wait()
        process.send_signal(signal.SIGTERM)
        await said(process, b"drains")
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            process.send_signal(number)
        await said(process, b"takes over the configuration")
        backend.writers[0].write(value(b"ok"))
        assert await client.hear_all() == b"$2\r\nok\r\n"
        assert await rests.hear_all() == b"+PONG\r\n"
        client.close()
        rests.close()
        assert await process.wait() == 0

    run(job())

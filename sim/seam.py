"""Replaces what the program uses besides its event loop while a simulation runs.

Names in the program's modules are patched during a simulation, so the program itself needs no hooks and has
no overhead. Threads, real sockets, real sleeps and unseeded randomness raise an error that names the caller.
"""

import contextlib
import importlib
import os
import random
import socket
import threading
import time
import traceback
from collections.abc import Callable, Iterator
from types import SimpleNamespace
from typing import Any, NoReturn

from sim.loop import SimLoop
from sim.network.network import Network

DESCRIPTOR_LIMIT = 1 << 16
FORBIDDEN_CALLS: tuple[tuple[object, str, str], ...] = (
    *(
        (random, name, "chance without a seed")
        for name in (
            "random",
            "randint",
            "randrange",
            "choice",
            "choices",
            "shuffle",
            "sample",
            "uniform",
            "getrandbits",
            "gauss",
            "expovariate",
        )
    ),
    (os, "urandom", "chance without a seed"),
    (threading.Thread, "start", "a thread"),
    (socket, "socket", "a real socket"),
    (socket, "create_server", "a real socket"),
    (time, "sleep", "a real sleep"),
)


def forbid(loop: SimLoop, description: str) -> Callable[..., NoReturn]:
    """A function that aborts the simulation with an error that names its caller."""

    def refuse(*args: object, **options: object) -> NoReturn:
        caller = traceback.extract_stack(limit=2)[0]
        location = f"{os.path.basename(caller.filename)}:{caller.lineno}"
        loop.fail(f"{description} in a simulation, at {location} ({caller.name})")

    return refuse


def patches(
    loop: SimLoop, network: Network, reload: Callable[..., Any], end: Callable[[int], None]
) -> Iterator[tuple[object, str, object]]:
    """Each patch: the object, the attribute and its replacement."""
    sockets = network.socket_module()
    for module, name, value in (
        ("molereach.clients.listener", "socket", sockets),
        ("rig.sockets", "socket", sockets),
        ("molereach.resp", "select", network.select_module()),
        ("molereach.__main__", "gc", SimpleNamespace(collect=lambda: None, freeze=lambda: None)),
        ("molereach.__main__", "reload", reload),
        (
            "molereach.proxy.resources",
            "resource",
            SimpleNamespace(RLIMIT_NOFILE=0, getrlimit=lambda which: (DESCRIPTOR_LIMIT, DESCRIPTOR_LIMIT)),
        ),
        ("rig.sockets", "os", SimpleNamespace(getpid=lambda: 1)),
    ):
        yield importlib.import_module(module), name, value
    yield os, "_exit", end
    yield time, "monotonic_ns", lambda: loop.clock_us() * 1000
    yield time, "monotonic", lambda: loop.clock_us() / 1e6
    yield time, "time_ns", lambda: loop.wall_us() * 1000
    yield time, "time", lambda: loop.wall_us() / 1e6
    for owner, name, description in FORBIDDEN_CALLS:
        yield owner, name, forbid(loop, description)


@contextlib.contextmanager
def simulated(
    loop: SimLoop, network: Network, reload: Callable[..., Any], end: Callable[[int], None]
) -> Iterator[None]:
    """Apply all patches and undo them on exit. `reload` reads a front door's configuration again; `end`
    replaces `os._exit`."""
    originals: list[tuple[object, str, object]] = []
    try:
        for owner, name, value in list(patches(loop, network, reload, end)):
            originals.append((owner, name, getattr(owner, name)))
            setattr(owner, name, value)
        yield
    finally:
        for owner, name, value in reversed(originals):
            setattr(owner, name, value)

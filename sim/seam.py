"""Where the program reaches past its loop, and what stands there while a world is simulated.

The product is not changed for it and pays nothing: names in its modules are exchanged while a world runs.
What must not be (threads, real sockets, chance without a seed) is an error that names the caller.
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

DESCRIPTORS = 1 << 16
GUARDED: tuple[tuple[object, str, str], ...] = (
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


def forbidden(loop: SimLoop, what: str) -> Callable[..., NoReturn]:
    """An error that names the caller."""

    def refuse(*args: object, **more: object) -> NoReturn:
        caller = traceback.extract_stack(limit=2)[0]
        place = f"{os.path.basename(caller.filename)}:{caller.lineno}"
        loop.fail(f"{what} in a simulation, at {place} ({caller.name})")

    return refuse


def places(
    loop: SimLoop, network: Network, reload: Callable[..., Any], end: Callable[[int], None]
) -> Iterator[tuple[object, str, object]]:
    """Each name that is exchanged, and for what."""
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
            SimpleNamespace(RLIMIT_NOFILE=0, getrlimit=lambda which: (DESCRIPTORS, DESCRIPTORS)),
        ),
        ("rig.sockets", "os", SimpleNamespace(getpid=lambda: 1)),
    ):
        yield importlib.import_module(module), name, value
    yield os, "_exit", end
    yield time, "monotonic_ns", lambda: loop.clock_us() * 1000
    yield time, "monotonic", lambda: loop.clock_us() / 1e6
    yield time, "time_ns", lambda: loop.wall_us() * 1000
    yield time, "time", lambda: loop.wall_us() / 1e6
    for owner, name, what in GUARDED:
        yield owner, name, forbidden(loop, what)


@contextlib.contextmanager
def simulated(
    loop: SimLoop, network: Network, reload: Callable[..., Any], end: Callable[[int], None]
) -> Iterator[None]:
    """Exchange all of them; what was there is put back whatever happens. `reload` reads a front door's
    configuration anew, `end` ends the process that calls it."""
    before: list[tuple[object, str, object]] = []
    try:
        for owner, name, value in list(places(loop, network, reload, end)):
            before.append((owner, name, getattr(owner, name)))
            setattr(owner, name, value)
        yield
    finally:
        for owner, name, value in reversed(before):
            setattr(owner, name, value)

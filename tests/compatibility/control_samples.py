"""The names of the counters that a front door tells an agent: they are made in the code, not by a type."""

import contextlib
import json
import tempfile
from collections.abc import AsyncIterator, Callable
from pathlib import Path

from molereach.fleet import wire
from molereach.fleet.control import Control, ControlConnection
from tests.sockets import front_door, run


@contextlib.asynccontextmanager
async def controlled_front_door(folder: Path) -> AsyncIterator[Control]:
    """A front door without backends whose control listens in a folder."""
    async with front_door() as (door, _):
        control = Control(door, folder / "n0.sock")
        await control.start()
        try:
            yield control
        finally:
            control.close()


def counter_names() -> bytes:
    """The names of all counters of a front door that has just started, as they are told."""
    names: list[str] = []

    async def job() -> None:
        ask = wire.Request(version=wire.VERSION, number=1, kind="counters")
        with tempfile.TemporaryDirectory() as folder:
            async with controlled_front_door(Path(folder)) as control:
                names.extend(control.handle(ask, ControlConnection(control)).counters or ())

    run(job())
    return f"{json.dumps(names)}\n".encode()


# The recorded files of this module, and what makes each.
FILES: dict[str, Callable[[], bytes]] = {"fleet-control-counters.json": counter_names}

"""Restarted processes are ready within 10 s, whatever discovery does meanwhile, and many at once."""

import asyncio
import json
import signal
import socket
from pathlib import Path

from tests.races.proxy_processes import Process, processes
from tests.races.scripted_peers import machine
from tests.sockets import (
    CUSTOMER,
    HEAD,
    HOST,
    Backend,
    Client,
    DiscoveryServer,
    catalog,
    chunk,
    entry,
    refusing_address,
    resp,
    run,
)

READY_S = 10.0  # in which nine in ten restarted processes have to be ready
DOORS, AGAIN = 10, 4  # all of them; those that had a predecessor
READY_PART = 0.9


async def started(doors: list[Process]) -> list[Client]:
    """A client of each that is ready in time, after all have been started at once."""
    starts = [asyncio.create_task(door.start()) for door in doors]
    await asyncio.wait(starts)
    waits = [asyncio.create_task(door.ready()) for door in doors]
    ready, others = await asyncio.wait(waits, timeout=READY_S)
    for other in others:
        other.cancel()
    return [each.result() for each in ready]


def test_of_ten_processes_that_start_at_once_nine_are_ready_in_time(tmp_path: Path) -> None:
    """Some of them in place of one that was killed or told to end. For some discovery answers; for others it
    refuses, takes the connection and says nothing, or never takes it: they serve from a list that they knew.
    """

    async def job() -> None:
        backend = Backend()
        listed = catalog(5, [entry("s1", await backend.start())])

        async def script(writer: asyncio.StreamWriter) -> None:
            writer.write(HEAD + chunk(listed))
            await asyncio.Event().wait()

        answers, refuses = await DiscoveryServer(script).start(), refusing_address()
        full = socket.create_server((HOST, 0), backlog=0)
        fillers = [socket.socket() for _ in range(4)]  # no dial comes up behind them
        for filler in fillers:
            filler.setblocking(False)
            filler.connect_ex(full.getsockname())
        with machine() as silent:
            found = [answers, refuses, silent.address, full.getsockname()]
            doors = [
                Process(
                    tmp_path / f"n{n}",
                    discovery="{}:{}".format(*found[n % 4]),
                    known=json.loads(listed),
                    name=f"n{n}",
                )
                for n in range(DOORS)
            ]
            async with processes(*doors):
                await asyncio.gather(*(door.start() for door in doors[:AGAIN]))
                await asyncio.gather(*(door.ready() for door in doors[:AGAIN]))
                await asyncio.gather(
                    *(
                        door.end((signal.SIGKILL, signal.SIGTERM)[n % 2])
                        for n, door in enumerate(doors[:AGAIN])
                    )
                )
                ready = await started(doors)
                assert len(ready) >= READY_PART * DOORS
                for client in ready:
                    request = resp("SVC.QUERY", CUSTOMER, "a1", "c=read,t=team,d=1500")
                    assert await client.ask(request) == b"ok"
        for used in (full, *fillers):
            used.close()

    run(job())

"""Restarted processes are ready within 10 s, whatever discovery does meanwhile, and many at once."""

import asyncio
import json
import signal
import socket
from pathlib import Path

from tests.races.proxy_processes import ProxyProcess, stopped_on_exit
from tests.races.scripted_peers import scripted_server
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

READY_S = 10.0  # nine in ten restarted processes must be ready by then
PROXY_COUNT, RESTARTED_COUNT = 10, 4  # all processes; those of them that are restarts
MIN_READY_FRACTION = 0.9


async def start_all(proxies: list[ProxyProcess]) -> list[Client]:
    """Start all proxies at once; return a client of each that is ready in time."""
    starts = [asyncio.create_task(proxy.start()) for proxy in proxies]
    await asyncio.wait(starts)
    waits = [asyncio.create_task(proxy.connect_when_ready()) for proxy in proxies]
    ready, unready = await asyncio.wait(waits, timeout=READY_S)
    for wait in unready:
        wait.cancel()
    return [wait.result() for wait in ready]


def test_of_ten_processes_that_start_at_once_nine_are_ready_in_time(tmp_path: Path) -> None:
    """Some replace a process that was killed or terminated. Discovery answers, refuses, accepts and stays
    silent, or never accepts; without an answer the proxies serve from their known list."""

    async def job() -> None:
        backend = Backend()
        list_line = catalog(5, [entry("s1", await backend.start())])

        async def script(writer: asyncio.StreamWriter) -> None:
            writer.write(HEAD + chunk(list_line))
            await asyncio.Event().wait()

        answering, refusing = await DiscoveryServer(script).start(), refusing_address()
        full_listener = socket.create_server((HOST, 0), backlog=0)
        # Sockets that fill the backlog, so that no further connect succeeds.
        backlog_sockets = [socket.socket() for _ in range(4)]
        for sock in backlog_sockets:
            sock.setblocking(False)
            sock.connect_ex(full_listener.getsockname())
        with scripted_server() as silent:
            addresses = [answering, refusing, silent.address, full_listener.getsockname()]
            proxies = [
                ProxyProcess(
                    tmp_path / f"n{number}",
                    discovery="{}:{}".format(*addresses[number % 4]),
                    known=json.loads(list_line),
                    name=f"n{number}",
                )
                for number in range(PROXY_COUNT)
            ]
            async with stopped_on_exit(*proxies):
                await asyncio.gather(*(proxy.start() for proxy in proxies[:RESTARTED_COUNT]))
                await asyncio.gather(*(proxy.connect_when_ready() for proxy in proxies[:RESTARTED_COUNT]))
                await asyncio.gather(
                    *(
                        proxy.stop((signal.SIGKILL, signal.SIGTERM)[number % 2])
                        for number, proxy in enumerate(proxies[:RESTARTED_COUNT])
                    )
                )
                ready = await start_all(proxies)
                assert len(ready) >= MIN_READY_FRACTION * PROXY_COUNT
                for client in ready:
                    request = resp("SVC.QUERY", CUSTOMER, "a1", "c=read,t=team,d=1500")
                    assert await client.ask(request) == b"ok"
        for sock in (full_listener, *backlog_sockets):
            sock.close()

    run(job())

"""A new backend at the address of one that has gone, while the old one is still listed."""

import asyncio
from dataclasses import replace

from molereach.proxy.proxy import Proxy
from tests.races.scripted_peers import wait_until
from tests.sockets import (
    CONFIG,
    HEAD,
    Backend,
    Client,
    DiscoveryServer,
    catalog,
    chunk,
    entry,
    query,
    run,
)

START_MS = 1_790_000_000_000


def test_backend_that_drains_gets_nothing_under_the_name_of_its_predecessor() -> None:
    """Guards against new work for a draining backend, whose address was still listed under another name."""

    async def job() -> None:
        reused, other = Backend(), Backend()
        reused_address, other_address = await reused.start(), await other.start()
        is_replaced = asyncio.Event()
        first_list = [
            entry("s0", reused_address, started_ms=START_MS),
            entry("s1", other_address, started_ms=START_MS),
        ]
        successor = entry("s9", reused_address, "DRAINING", START_MS + 1000)

        async def script(writer: asyncio.StreamWriter) -> None:
            writer.write(HEAD + chunk(catalog(7, first_list)))
            await is_replaced.wait()
            writer.write(chunk(catalog(8, [successor], reset=False)))
            await asyncio.Event().wait()

        proxy = Proxy(replace(CONFIG, discovery=await DiscoveryServer(script).start()))
        await proxy.start()
        client = await Client.open(proxy.address)
        count = 0
        while not (reused.commands and other.commands):
            count += 1
            assert await client.ask(query(f"a{count}")) == b"ok"
        is_replaced.set()
        await wait_until(lambda: "s9" in proxy.gateway.load_balancer.backends)
        before = len(reused.commands)
        for number in range(50):
            assert await client.ask(query(f"b{number}")) == b"ok"
        assert len(reused.commands) == before
        assert "s0" not in proxy.gateway.load_balancer.backends and "s0" not in proxy.backends.pools
        proxy.close()

    run(job())

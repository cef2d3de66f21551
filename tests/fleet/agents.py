"""Agents in the test's own process, served by the real HTTP server on loopback."""

import asyncio
import contextlib
from collections.abc import AsyncIterator, Awaitable, Callable
from pathlib import Path

import httpx
from hypercorn.asyncio import serve

from molereach.fleet.agent.agent import Agent
from molereach.fleet.agent.api import Api
from molereach.fleet.agent.auth import Tokens
from molereach.fleet.agent.run import hypercorn_config
from molereach.fleet.journal import Journal
from molereach.fleet.orders import OrderStateRecord
from molereach.fleet.settings import TlsTable
from tests.sockets import HOST, refusing_address

OPERATE, READ = "operator-token-0001", "reader-token-000001"
TOKENS = f"operate duty {OPERATE}\nread wall {READ}\n"


async def no_peer(peer: str, after: int) -> OrderStateRecord | None:
    raise OSError("cut off")


def made(
    folder: Path,
    name: str = "a0",
    fleet: tuple[str, ...] = ("a0",),
    fetch: Callable[[str, int], Awaitable[OrderStateRecord | None]] = no_peer,
    alone_s: float = 0.05,
) -> Agent:
    """An agent with its journal and sockets in a folder."""
    (folder / "sockets").mkdir(exist_ok=True)
    return Agent(name, fleet, folder / "sockets", Journal(folder / f"{name}.journal", name), fetch, alone_s)


@contextlib.asynccontextmanager
async def serving(agent: Agent, tls: TlsTable | None = None, folder: Path = Path()) -> AsyncIterator[str]:
    """The agent's API; where it is."""
    port, stopped = refusing_address()[1], asyncio.Event()
    agent.start()
    app = Api(agent, Tokens(TOKENS)).app()
    config = hypercorn_config(f"{HOST}:{port}", tls, folder / "agent.toml")
    task = asyncio.create_task(serve(app, config, shutdown_trigger=stopped.wait))  # type: ignore[arg-type]
    try:
        while True:
            with contextlib.suppress(OSError):
                _, writer = await asyncio.open_connection(HOST, port)
                writer.close()
                break
            await asyncio.sleep(0.01)
        yield f"{'https' if tls else 'http'}://{HOST}:{port}"
    finally:
        stopped.set()
        await task
        await agent.close()


def client(url: str, token: str = OPERATE, http2: bool = True, **more: object) -> httpx.AsyncClient:
    headers = {"authorization": f"Bearer {token}"} if token else {}
    return httpx.AsyncClient(
        base_url=url, headers=headers, http1=not http2, http2=http2, timeout=10.0, **more
    )  # type: ignore[arg-type]


async def until(holds: Callable[[], bool]) -> None:
    """Wait for something that an agent or a front door does by itself."""
    while not holds():
        await asyncio.sleep(0.01)

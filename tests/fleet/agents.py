"""Helpers: agents that run in the test process and are served by the real HTTP server on loopback."""

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

OPERATE_TOKEN, READ_TOKEN = "operator-token-0001", "reader-token-000001"
TOKENS_FILE_TEXT = f"operate duty {OPERATE_TOKEN}\nread wall {READ_TOKEN}\n"


async def fetch_from_unreachable_peer(peer: str, after: int) -> OrderStateRecord | None:
    raise OSError("cut off")


def new_agent(
    folder: Path,
    name: str = "a0",
    agent_names: tuple[str, ...] = ("a0",),
    fetch_state: Callable[[str, int], Awaitable[OrderStateRecord | None]] = fetch_from_unreachable_peer,
    start_alone_s: float = 0.05,
) -> Agent:
    """Create an agent whose journal and socket folder are in `folder`."""
    (folder / "sockets").mkdir(exist_ok=True)
    return Agent(
        name,
        agent_names,
        folder / "sockets",
        Journal(folder / f"{name}.journal", name),
        fetch_state,
        start_alone_s,
    )


@contextlib.asynccontextmanager
async def serve_agent(agent: Agent, tls: TlsTable | None = None, folder: Path = Path()) -> AsyncIterator[str]:
    """Start an agent and serve its API; yield the URL of the API."""
    port, stop_requested = refusing_address()[1], asyncio.Event()
    agent.start()
    app = Api(agent, Tokens(TOKENS_FILE_TEXT)).app()
    config = hypercorn_config(f"{HOST}:{port}", tls, folder / "agent.toml")
    server_task = asyncio.create_task(serve(app, config, shutdown_trigger=stop_requested.wait))  # type: ignore[arg-type]
    try:
        while True:
            with contextlib.suppress(OSError):
                _, writer = await asyncio.open_connection(HOST, port)
                writer.close()
                break
            await asyncio.sleep(0.01)
        yield f"{'https' if tls else 'http'}://{HOST}:{port}"
    finally:
        stop_requested.set()
        await server_task
        await agent.close()


def api_client(
    url: str, token: str = OPERATE_TOKEN, http2: bool = True, **options: object
) -> httpx.AsyncClient:
    """Create an HTTP client of an agent's API that sends a token; none if `token` is empty."""
    headers = {"authorization": f"Bearer {token}"} if token else {}
    return httpx.AsyncClient(
        base_url=url, headers=headers, http1=not http2, http2=http2, timeout=10.0, **options
    )  # type: ignore[arg-type]


async def wait_until(condition: Callable[[], bool]) -> None:
    """Wait until a condition holds that an agent or a front door brings about in the background."""
    while not condition():
        await asyncio.sleep(0.01)

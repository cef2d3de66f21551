"""Start and end of an agent: its file, log, API and signals. Exit codes: 0 ended, 1 failed, 2 bad input."""

import asyncio
import logging
import signal
import ssl
import sys
from pathlib import Path

import httpx
import msgspec
import structlog
from hypercorn.asyncio import serve
from hypercorn.config import Config
from hypercorn.typing import ASGIFramework

from molereach.fleet import settings
from molereach.fleet.agent.agent import Agent, FetchState
from molereach.fleet.agent.api import Api
from molereach.fleet.agent.auth import Tokens
from molereach.fleet.api_bodies import MAX_BODY_BYTES
from molereach.fleet.journal import Journal, JournalError
from molereach.fleet.orders import OrderStateRecord
from molereach.fleet.settings import AgentFile, FleetFile, SettingsError, TlsTable, load, resolve

DONE, FAILED, BAD_INPUT = 0, 1, 2
SHUTDOWN_GRACE_S = 0.5  # for calls under way at the end
IDLE_TIMEOUT_S = 30.0  # a connection without a call
MAX_STREAMS = 100
_books = msgspec.json.Decoder(OrderStateRecord)


def configure_log() -> None:
    """One JSON object a line on standard error: an event's name and its fields."""
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.format_exc_info,
            structlog.processors.JSONRenderer(sort_keys=True),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(logging.INFO),
        logger_factory=structlog.WriteLoggerFactory(file=sys.stderr),
    )
    logging.basicConfig(stream=sys.stderr, level=logging.ERROR)
    logging.getLogger("hypercorn.error").setLevel(logging.CRITICAL)


def peers(client: httpx.AsyncClient, fleet: FleetFile) -> FetchState:
    """How to ask another agent for its book."""
    urls = {agent.name: agent.url.rstrip("/") for agent in fleet.agents}

    async def fetch(peer: str, after: int) -> OrderStateRecord | None:
        try:
            found = await client.get(f"{urls[peer]}/v1/book", params={"after": after})
        except httpx.HTTPError as error:
            raise OSError(f"{type(error).__name__}: {error}") from error
        if found.status_code == httpx.codes.NO_CONTENT:
            return None
        if found.status_code != httpx.codes.OK or len(found.content) > MAX_BODY_BYTES:
            raise OSError(f"status {found.status_code}, {len(found.content)} bytes")
        return _books.decode(found.content)

    return fetch


def hypercorn_config(listen: str, tls: TlsTable | None, file: Path) -> Config:
    """Bounds of the HTTP server; HTTP/2 by ALPN or by prior knowledge."""
    config = Config()
    config.bind = [listen]
    config.accesslog = config.errorlog = None
    config.include_server_header = False
    config.graceful_timeout, config.keep_alive_timeout = SHUTDOWN_GRACE_S, IDLE_TIMEOUT_S
    config.h2_max_concurrent_streams = MAX_STREAMS
    config.h11_max_incomplete_size = 16 << 10
    if tls:
        config.certfile, config.keyfile = str(resolve(file, tls.cert)), str(resolve(file, tls.key))
        if tls.client_ca:
            config.ca_certs, config.verify_mode = str(resolve(file, tls.client_ca)), ssl.CERT_REQUIRED
    return config


def connection_failed(loop: asyncio.AbstractEventLoop, context: dict[str, object]) -> None:
    """A fault within the HTTP server costs its connection; it is one line of the log."""
    structlog.get_logger().error(
        "a connection failed", what=str(context.get("message")), error=repr(context.get("exception"))
    )


async def run_agent(file: Path, own: AgentFile, fleet_path: Path, fleet: FleetFile, tokens: Tokens) -> None:
    """Serve until SIGTERM or SIGINT."""
    stopped, loop = asyncio.Event(), asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopped.set)
    loop.set_exception_handler(connection_failed)
    headers = {"authorization": f"Bearer {settings.load_token(resolve(fleet_path, fleet.token))}"}
    verify = settings.client_tls(fleet_path, fleet)
    journal = Journal(resolve(file, own.journal), own.name)
    async with httpx.AsyncClient(headers=headers, verify=verify, timeout=fleet.timeout_s) as client:
        agent = Agent(
            own.name,
            fleet.names,
            resolve(file, own.sockets),
            journal,
            peers(client, fleet),
            own.start_alone_s,
        )
        agent.start()
        config = hypercorn_config(own.listen, own.tls, file)
        app: ASGIFramework = Api(agent, tokens).app()  # type: ignore[assignment]
        structlog.get_logger().info("agent serves", agent=own.name, listen=own.listen)
        try:
            await serve(app, config, shutdown_trigger=stopped.wait, mode="asgi")
        finally:
            await agent.close()


def main(file: Path) -> int:
    """Run the agent that a file describes."""
    configure_log()
    try:
        own = load(file, AgentFile)
        fleet_path = resolve(file, own.fleet)
        fleet = load(fleet_path, FleetFile)
        if own.name not in fleet.names:
            raise SettingsError(f"{fleet_path}: agents: there is no '{own.name}'")
        if not resolve(file, own.sockets).is_dir():
            raise SettingsError(f"{file}: sockets: there is no folder {resolve(file, own.sockets)}")
        tokens_path = resolve(file, own.tokens)
        try:
            tokens = Tokens(settings.read_secret(tokens_path))
        except ValueError as error:
            raise SettingsError(f"{tokens_path}: {error}") from error
        asyncio.run(run_agent(file, own, fleet_path, fleet, tokens))
    except (SettingsError, JournalError) as error:
        print(f"molereach agent: {error}", file=sys.stderr)
        return BAD_INPUT
    except OSError as error:
        print(f"molereach agent: cannot start: {error}", file=sys.stderr)
        return FAILED
    return DONE

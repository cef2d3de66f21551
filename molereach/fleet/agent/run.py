"""Start and end of an agent: its file, log, API and signals."""

import asyncio
import logging
import signal
import ssl
import sys
from pathlib import Path

import httpx
import structlog
from hypercorn.asyncio import serve
from hypercorn.config import Config
from hypercorn.typing import ASGIFramework

from molereach.fleet import settings
from molereach.fleet.agent.agent import Agent
from molereach.fleet.agent.api import Api
from molereach.fleet.agent.auth import Tokens
from molereach.fleet.agent.peers import fetch_from
from molereach.fleet.journal import Journal, JournalError
from molereach.fleet.settings import AgentFile, FleetFile, SettingsError, TlsTable, load, resolve

# Exit codes.
EXIT_DONE = 0
EXIT_FAILED = 1
EXIT_INVALID_INPUT = 2

SHUTDOWN_GRACE_S = 0.5  # for calls in progress at the end
IDLE_TIMEOUT_S = 30.0  # of a connection without a call
MAX_STREAMS = 100  # of one HTTP/2 connection
MAX_HEAD_BYTES = 16 << 10  # of an HTTP/1.1 request


def configure_log() -> None:
    """Log to standard error, one JSON object a line with an event's name and fields."""
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


def hypercorn_config(listen: str, tls: TlsTable | None, file: Path) -> Config:
    """Return the HTTP server's settings; it speaks HTTP/2 by ALPN or by prior knowledge."""
    config = Config()
    config.bind = [listen]
    config.accesslog = None
    config.errorlog = None
    config.include_server_header = False
    config.graceful_timeout = SHUTDOWN_GRACE_S
    config.keep_alive_timeout = IDLE_TIMEOUT_S
    config.h2_max_concurrent_streams = MAX_STREAMS
    config.h11_max_incomplete_size = MAX_HEAD_BYTES
    if tls:
        config.certfile = str(resolve(file, tls.cert))
        config.keyfile = str(resolve(file, tls.key))
        if tls.client_ca:
            config.ca_certs = str(resolve(file, tls.client_ca))
            config.verify_mode = ssl.CERT_REQUIRED
    return config


def connection_failed(loop: asyncio.AbstractEventLoop, context: dict[str, object]) -> None:
    """Log a fault within the HTTP server, which ends one connection, as one line."""
    structlog.get_logger().error(
        "a connection failed", what=str(context.get("message")), error=repr(context.get("exception"))
    )


async def run_agent(
    file: Path, agent_file: AgentFile, fleet_path: Path, fleet: FleetFile, tokens: Tokens
) -> None:
    """Serve until SIGTERM or SIGINT."""
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopped.set)
    loop.set_exception_handler(connection_failed)
    headers = {"authorization": f"Bearer {settings.load_token(resolve(fleet_path, fleet.token))}"}
    verify = settings.client_tls(fleet_path, fleet)
    journal = Journal(resolve(file, agent_file.journal), agent_file.name)
    async with httpx.AsyncClient(headers=headers, verify=verify, timeout=fleet.timeout_s) as client:
        agent = Agent(
            agent_file.name,
            fleet.names,
            resolve(file, agent_file.sockets),
            journal,
            fetch_from(client, fleet),
            agent_file.start_alone_s,
        )
        agent.start()
        config = hypercorn_config(agent_file.listen, agent_file.tls, file)
        app: ASGIFramework = Api(agent, tokens).app()  # type: ignore[assignment]
        structlog.get_logger().info("agent serves", agent=agent_file.name, listen=agent_file.listen)
        try:
            await serve(app, config, shutdown_trigger=stopped.wait, mode="asgi")
        finally:
            await agent.close()


def main(file: Path) -> int:
    """Run the agent that a file describes; return its exit code."""
    configure_log()
    try:
        agent_file = load(file, AgentFile)
        fleet_path = resolve(file, agent_file.fleet)
        fleet = load(fleet_path, FleetFile)
        if agent_file.name not in fleet.names:
            raise SettingsError(f"{fleet_path}: agents: there is no '{agent_file.name}'")
        if not resolve(file, agent_file.sockets).is_dir():
            raise SettingsError(f"{file}: sockets: there is no folder {resolve(file, agent_file.sockets)}")
        tokens_path = resolve(file, agent_file.tokens)
        try:
            tokens = Tokens(settings.read_secret(tokens_path))
        except ValueError as error:
            raise SettingsError(f"{tokens_path}: {error}") from error
        asyncio.run(run_agent(file, agent_file, fleet_path, fleet, tokens))
    except (SettingsError, JournalError) as error:
        print(f"molereach agent: {error}", file=sys.stderr)
        return EXIT_INVALID_INPUT
    except OSError as error:
        print(f"molereach agent: cannot start: {error}", file=sys.stderr)
        return EXIT_FAILED
    return EXIT_DONE

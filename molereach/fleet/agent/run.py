"""Runs an agent: loads its settings, configures the log, serves the API, and stops on a signal."""

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
from molereach.fleet.agent.peers import peer_state_fetcher
from molereach.fleet.journal import Journal, JournalError
from molereach.fleet.settings import AgentFile, FleetFile, SettingsError, TlsTable, load, resolve

EXIT_SUCCESS = 0
EXIT_FAILURE = 1
EXIT_INVALID_INPUT = 2

SHUTDOWN_GRACE_S = 0.5  # for requests in progress at shutdown
IDLE_TIMEOUT_S = 30.0  # of a connection without a request
MAX_CONCURRENT_STREAMS = 100  # per HTTP/2 connection
MAX_HEADER_BYTES = 16 << 10  # request line and headers over HTTP/1.1


def configure_log() -> None:
    """Write the log to standard error, one JSON object per line with an event's name and fields."""
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


def hypercorn_config(listen: str, tls: TlsTable | None, agent_path: Path) -> Config:
    """Return the configuration of the HTTP server, which selects HTTP/2 by ALPN or by prior knowledge."""
    config = Config()
    config.bind = [listen]
    config.accesslog = None
    config.errorlog = None
    config.include_server_header = False
    config.graceful_timeout = SHUTDOWN_GRACE_S
    config.keep_alive_timeout = IDLE_TIMEOUT_S
    config.h2_max_concurrent_streams = MAX_CONCURRENT_STREAMS
    config.h11_max_incomplete_size = MAX_HEADER_BYTES
    if tls:
        config.certfile = str(resolve(agent_path, tls.cert))
        config.keyfile = str(resolve(agent_path, tls.key))
        if tls.client_ca:
            config.ca_certs = str(resolve(agent_path, tls.client_ca))
            config.verify_mode = ssl.CERT_REQUIRED
    return config


def log_connection_failure(loop: asyncio.AbstractEventLoop, context: dict[str, object]) -> None:
    """Log an exception within the HTTP server, which ends one connection, as one line."""
    structlog.get_logger().error(
        "a connection failed", what=str(context.get("message")), error=repr(context.get("exception"))
    )


async def run_agent(
    agent_path: Path, agent_file: AgentFile, fleet_path: Path, fleet: FleetFile, tokens: Tokens
) -> None:
    """Run the agent and its API until SIGTERM or SIGINT."""
    stop_requested = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop_requested.set)
    loop.set_exception_handler(log_connection_failure)
    headers = {"authorization": f"Bearer {settings.load_token(resolve(fleet_path, fleet.token))}"}
    tls_context = settings.client_tls(fleet_path, fleet)
    journal = Journal(resolve(agent_path, agent_file.journal), agent_file.name)
    async with httpx.AsyncClient(headers=headers, verify=tls_context, timeout=fleet.timeout_s) as client:
        agent = Agent(
            agent_file.name,
            fleet.names,
            resolve(agent_path, agent_file.sockets),
            journal,
            peer_state_fetcher(client, fleet),
            agent_file.start_alone_s,
        )
        agent.start()
        config = hypercorn_config(agent_file.listen, agent_file.tls, agent_path)
        app: ASGIFramework = Api(agent, tokens).app()  # type: ignore[assignment]
        structlog.get_logger().info("agent serves", agent=agent_file.name, listen=agent_file.listen)
        try:
            await serve(app, config, shutdown_trigger=stop_requested.wait, mode="asgi")
        finally:
            await agent.close()


def main(agent_path: Path) -> int:
    """Run the agent that a settings file describes; return the exit code of the process."""
    configure_log()
    try:
        agent_file = load(agent_path, AgentFile)
        fleet_path = resolve(agent_path, agent_file.fleet)
        fleet = load(fleet_path, FleetFile)
        if agent_file.name not in fleet.names:
            raise SettingsError(f"{fleet_path}: agents: there is no '{agent_file.name}'")
        if not resolve(agent_path, agent_file.sockets).is_dir():
            raise SettingsError(
                f"{agent_path}: sockets: there is no folder {resolve(agent_path, agent_file.sockets)}"
            )
        tokens_path = resolve(agent_path, agent_file.tokens)
        try:
            tokens = Tokens(settings.read_secret(tokens_path))
        except ValueError as error:
            raise SettingsError(f"{tokens_path}: {error}") from error
        asyncio.run(run_agent(agent_path, agent_file, fleet_path, fleet, tokens))
    except (SettingsError, JournalError) as error:
        print(f"molereach agent: {error}", file=sys.stderr)
        return EXIT_INVALID_INPUT
    except OSError as error:
        print(f"molereach agent: cannot start: {error}", file=sys.stderr)
        return EXIT_FAILURE
    return EXIT_SUCCESS

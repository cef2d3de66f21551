"""Assembles a front door from its components; starts it and shuts it down gracefully.

Client connections pass commands to `Proxy`, `policy_driver` passes them to the policy as events, and
`action_execution` executes its actions. `endpoint_updates` maintains the endpoint list.
"""

import asyncio
import logging
import random
from collections.abc import Awaitable, Callable
from dataclasses import fields, replace

from molereach.backends.pools import Backends
from molereach.clients.commands import CommandParser
from molereach.clients.listener import ClientListener
from molereach.clients.replies import Reply
from molereach.clients.resp import ClientConnection
from molereach.clock import now_us
from molereach.discovery.endpoint_discovery import EndpointDiscovery
from molereach.discovery.endpoint_mapping import EndpointMapping
from molereach.discovery.poll_backoff import PollBackoff
from molereach.policy.gateway import Gateway
from molereach.policy.interface.actions import (
    CancelAttempt,
    CloseIdleConnections,
    FailRequest,
    FetchEndpoints,
    ForwardAttempt,
    Reject,
    SendGossip,
    SetTimer,
    SubscribeToEndpoints,
    WriteLog,
)
from molereach.policy.interface.events import ClientDisconnected
from molereach.policy.interface.protocols import LimitPolicy
from molereach.protocol.gossip_codec import GossipCodec
from molereach.proxy.action_execution import ActionExecutor
from molereach.proxy.config import Config
from molereach.proxy.connection_draining import drain
from molereach.proxy.endpoint_updates import EndpointUpdates
from molereach.proxy.executed_requests import ExecutedRequests
from molereach.proxy.gossip import GossipTransport
from molereach.proxy.graceful_shutdown import GracefulShutdown
from molereach.proxy.policy_driver import Handlers, PolicyDriver
from molereach.proxy.request_registry import OpenRequest, RequestRegistry
from molereach.proxy.resources import ResourceBudget
from molereach.subsetting.endpoint_subsetting import EndpointSubsetting

log = logging.getLogger(__name__)

# Subtracted from the time that a client waits, for the network delay of the request and of its answer.
ANSWER_MARGIN_US = 25_000
BACKSTOP_DELAY_US = 15_000  # after its deadline, a request that the policy left open is aborted
FIRST_LIST_TIMEOUT_S = 0.3  # how long the start waits for a newer endpoint list than the saved one
BACKOFF_SEED = 0x5CA11  # combined with the policy's seed, so that backoff draws other random numbers
LEAVE_MESSAGE_COUNT = 2  # copies of each leave message that are sent, as datagrams may be lost


class Proxy:
    """One front door, made from its configuration while an event loop is running."""

    def __init__(self, config: Config) -> None:
        self.config = config
        self.settings = config.settings
        self.loop = asyncio.get_running_loop()
        self.address = config.listen
        self.counter_sources: list[Callable[[], dict[str, int]]] = []  # of attached subsystems
        self.on_stopped: list[Callable[[], Awaitable[None]]] = []  # called once all clients are served
        self.shutdown: GracefulShutdown | None = None  # set when the shutdown begins
        self.config_reload: asyncio.Task[None] | None = None  # the reload of a large file
        budget = ResourceBudget.from_config(config)
        self.gateway = Gateway(config.settings)
        self.driver = PolicyDriver(self.gateway)
        self.requests = RequestRegistry(
            config.max_open, budget.open_command_bytes, ExecutedRequests(config.settings.classes)
        )
        self.backends = Backends(config.conn_idle_us, config.connect_timeout_us, budget.backend_sockets)
        self.actions = ActionExecutor(config.settings, self.requests, self.backends, self.driver.post)
        self.parser = CommandParser(config)
        self.clients = ClientListener(
            budget.client_sockets,
            budget.client_buffer_bytes,
            lambda: ClientConnection(self.clients, self),
            self.backends.spawn,
        )
        self.endpoints = EndpointUpdates(
            EndpointSubsetting(config.settings, budget.subset_size, budget.list_entries),
            EndpointMapping(config.zone_numbers, config.kind_numbers),
            self.backends,
            self.driver.post,
        )
        self.gossip = GossipTransport(config.peers, config.settings.proxy_index, self.driver.post)
        self.driver.set_handlers(self.action_handlers(), self.actions.abort_request)
        # Discovery requests the changes since the version of the saved list, which is therefore loaded first.
        saved_version = self.endpoints.load_saved_list(config.known, config.known_entry_lists)
        self.discovery = self.create_discovery(saved_version)

    def action_handlers(self) -> Handlers:
        """Return the function that executes each type of action."""
        return {
            ForwardAttempt: self.actions.forward,
            CancelAttempt: self.actions.cancel,
            Reject: self.actions.reject,
            FailRequest: self.actions.fail,
            SetTimer: self.driver.set_timer,
            SendGossip: self.gossip.send,
            WriteLog: self.actions.write_log,
            CloseIdleConnections: self.actions.close_idle,
            SubscribeToEndpoints: ignore_watch_change,
            FetchEndpoints: ignore_watch_change,
        }

    def create_discovery(self, saved_version: int) -> EndpointDiscovery:
        """Create endpoint discovery, which continues from the version of the saved list."""
        return EndpointDiscovery(
            self.config.discovery,
            self.endpoints.mapping,
            saved_version,
            self.endpoints.on_update,
            self.backends.spawn,
            lambda: PollBackoff.from_settings(self.settings),
            random.Random(self.settings.seed ^ BACKOFF_SEED).random,
            self.endpoints.endpoint_list.stage,
        )

    # --- Start and shutdown ---

    def use_limits(self, limits: LimitPolicy, codec: GossipCodec) -> None:
        """Make the policy apply limits and exchange their messages; must be called before the first event."""
        self.gateway.limits = limits
        self.gossip.codec = codec

    async def start(self) -> None:
        """Start to serve and return when clients can connect. OSError if an address cannot be bound."""
        self.backends.sweep()
        if self.settings.may_gossip and self.config.peer_listen:
            await self.loop.create_datagram_endpoint(lambda: self.gossip, local_addr=self.config.peer_listen)
        self.discovery.start()
        try:
            await asyncio.wait_for(self.discovery.first_update.wait(), FIRST_LIST_TIMEOUT_S)
        except TimeoutError:
            log.warning("discovery is silent; starting with the known list")
        self.address = self.clients.listen(self.config.listen)

    def reconfigure(self, config: Config) -> None:
        """Apply the settings that can change without a restart: the address of discovery."""
        comparable = replace(
            config,
            discovery=self.config.discovery,
            known=self.config.known,
            known_entry_lists=[],
            settings=replace(config.settings, seed=self.settings.seed),
        )
        changed = [
            field.name
            for field in fields(comparable)
            if getattr(comparable, field.name) != getattr(self.config, field.name)
        ]
        if changed:
            log.warning("a restart is needed for new values of: %s", ", ".join(changed))
        log.info("takes over the configuration: discovery at %s:%d", *config.discovery)
        self.discovery.change_address(config.discovery)

    async def drain(self, notified_at_us: int | None = None) -> None:
        """Shut down gracefully: serve while there is time, then close idle connections, then all.

        The time to the kill is counted from the notification to end, which may have come during the start.
        """
        deadlines_us = (request_class.deadline_us for request_class in self.settings.classes)
        shutdown_from_us = now_us() if notified_at_us is None else notified_at_us
        self.shutdown = GracefulShutdown(shutdown_from_us, deadlines_us)
        self.shorten_deadlines(self.shutdown.responses_due_at_us)
        await drain(self.shutdown, self.clients, self.requests.open)
        # After the last answer, as peers expect no further messages from this proxy once they have this one.
        leave_messages = self.gateway.limits.leave_messages() if self.gateway.limits else ()
        for _ in range(LEAVE_MESSAGE_COUNT):
            for peer, message in leave_messages:
                self.gossip.send(SendGossip(peer, (message,)))
        for stop in self.on_stopped:
            await stop()
        self.close()

    def shorten_deadlines(self, by_us: int) -> None:
        """Abort the requests that are still open at `by_us`, even if their clients would wait longer."""
        for request_id, request in self.requests.open.items():
            if request.deadline_us <= by_us:
                continue
            request.deadline_us = by_us
            if request.timer:
                request.timer.cancel()
            delay_s = (by_us - now_us()) / 1e6
            request.timer = self.loop.call_later(delay_s, self.actions.abort_request, request_id)

    def close(self) -> None:
        """Close all sockets."""
        if self.config_reload:
            self.config_reload.cancel()
        self.gossip.close()
        self.clients.close()
        self.backends.close()

    # --- Called by client connections ---

    def handle_command(self, arguments: list[bytes], reply: Reply) -> None:
        """Handle a client's command; CommandError if it is malformed or cannot be admitted."""
        command = self.parser.parse(arguments, ANSWER_MARGIN_US)
        request = command.request
        self.requests.check_admission(request.request_id)
        if self.shutdown:
            request = replace(request, remaining_us=self.shutdown.admit(now_us(), request.remaining_us))
        open_request = OpenRequest(command, reply, now_us() + request.remaining_us)
        backstop_s = (request.remaining_us + BACKSTOP_DELAY_US) / 1e6
        open_request.timer = self.loop.call_later(
            backstop_s, self.actions.on_backstop_timeout, request.request_id
        )
        reply.request_id = request.request_id
        self.requests.add(request.request_id, open_request)
        self.driver.post(request)

    def on_client_disconnected(self, reply: Reply) -> None:
        """Close the request of a client that has disconnected, and notify the policy if it was open."""
        if reply.request_id is not None and self.requests.close_request(reply.request_id):
            self.driver.post(ClientDisconnected(reply.request_id))


def ignore_watch_change(action: SubscribeToEndpoints | FetchEndpoints) -> None:
    """Ignore the action, since this proxy always watches the endpoints."""

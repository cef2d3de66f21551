"""One front door: its parts, its start and its graceful shutdown.

Clients hand over commands, `policy_driver` gives them to the policy as events, and `action_execution` carries
out what it decides; `endpoint_updates` has the endpoint list.
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
from molereach.proxy.gossip import GossipTransport
from molereach.proxy.graceful_shutdown import GracefulShutdown
from molereach.proxy.policy_driver import Handlers, PolicyDriver
from molereach.proxy.request_registry import OpenRequest, RequestRegistry
from molereach.proxy.resources import ResourceBudget
from molereach.subsetting.endpoint_subsetting import EndpointSubsetting

log = logging.getLogger(__name__)

# Taken off the time that a client waits: for its request on its way here and the answer on its way back.
ANSWER_MARGIN_US = 25_000
BACKSTOP_US = 15_000  # how much later than the policy a request is ended here, should it not do so
FIRST_LIST_TIMEOUT_S = 0.3  # how long the start waits for a list that is newer than the saved one
BACKOFF_SEED = 0x5CA11  # the random source of the backoff is not that of the policy
LEAVE_REPEATS = 2  # leave messages to each peer, as datagrams may be lost


class Proxy:
    """One front door, from its configuration; it needs a running loop."""

    def __init__(self, config: Config) -> None:
        self.config = config
        self.settings = config.settings
        self.loop = asyncio.get_running_loop()
        self.address = config.listen
        self.counter_sources: list[Callable[[], dict[str, int]]] = []  # of subsystems that were attached
        self.on_stopped: list[Callable[[], Awaitable[None]]] = []  # what ends after all clients
        self.shutdown: GracefulShutdown | None = None  # once it has been notified to end
        self.config_reload: asyncio.Task[None] | None = None  # of a long configuration file
        budget = ResourceBudget.from_config(config)
        self.gateway = Gateway(config.settings)
        self.driver = PolicyDriver(self.gateway)
        self.requests = RequestRegistry(config.max_open, budget.open_command_bytes)
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
        self.driver.connect(self.action_handlers(), self.actions.fail_and_forget)
        # Before discovery is made: it asks for what comes after the saved list's version.
        saved_version = self.endpoints.load_saved_list(config.known, config.known_entry_lists)
        self.discovery = self.make_discovery(saved_version)

    def action_handlers(self) -> Handlers:
        """What carries out each type of action."""
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

    def make_discovery(self, saved_version: int) -> EndpointDiscovery:
        """Discovery of endpoints from the saved list on."""
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

    # --- start and end ---

    def use_limits(self, limits: LimitPolicy, codec: GossipCodec) -> None:
        """Have limits consulted, and their messages sent; before the first event."""
        self.gateway.limits = limits
        self.gossip.codec = codec

    async def start(self) -> None:
        """Serve; returns once clients are answered. OSError where an address cannot be bound."""
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
        """Apply what can change while it serves: the address of discovery."""
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
        """Shut down gracefully: answer what comes while there is time, then close what is idle, then all.

        The kill counts from when the process was notified to end, which may have been while it started.
        """
        deadlines_us = (request_class.deadline_us for request_class in self.settings.classes)
        begin_us = now_us() if notified_at_us is None else notified_at_us
        self.shutdown = GracefulShutdown(begin_us, deadlines_us)
        self.shorten_deadlines(self.shutdown.responses_due_at_us)
        await drain(self.shutdown, self.clients, self.requests.open)
        # After the last answer, as a peer that has this message expects nothing more from here.
        leave_messages = self.gateway.limits.leave_messages() if self.gateway.limits else ()
        for _ in range(LEAVE_REPEATS):
            for peer, message in leave_messages:
                self.gossip.send(SendGossip(peer, (message,)))
        for stop in self.on_stopped:
            await stop()
        self.close()

    def shorten_deadlines(self, by_us: int) -> None:
        """Have open requests answered by then, however much longer their clients would wait."""
        for request_id, request in self.requests.open.items():
            if request.deadline_us <= by_us:
                continue
            request.deadline_us = by_us
            if request.timer:
                request.timer.cancel()
            delay_s = (by_us - now_us()) / 1e6
            request.timer = self.loop.call_later(delay_s, self.actions.fail_and_forget, request_id)

    def close(self) -> None:
        """Close all sockets."""
        if self.config_reload:
            self.config_reload.cancel()
        self.gossip.close()
        self.clients.close()
        self.backends.close()

    # --- what clients' connections call ---

    def handle_command(self, arguments: list[bytes], reply: Reply) -> None:
        """Take a client's command; CommandError for one that is wrong or too many."""
        command = self.parser.parse(arguments, ANSWER_MARGIN_US)
        request = command.request
        self.requests.check_admission(request.request_id)
        if self.shutdown:
            request = replace(request, remaining_us=self.shutdown.admit(now_us(), request.remaining_us))
        open_request = OpenRequest(command, reply, now_us() + request.remaining_us)
        backstop_s = (request.remaining_us + BACKSTOP_US) / 1e6
        open_request.timer = self.loop.call_later(backstop_s, self.actions.on_backstop, request.request_id)
        reply.request_id = request.request_id
        self.requests.add(request.request_id, open_request)
        self.driver.post(request)

    def on_client_disconnected(self, reply: Reply) -> None:
        """A client has disconnected before its answer: the policy is notified if one was owed."""
        if reply.request_id is not None and self.requests.settle(reply.request_id):
            self.driver.post(ClientDisconnected(reply.request_id))


def ignore_watch_change(action: SubscribeToEndpoints | FetchEndpoints) -> None:
    """Do nothing: the watch on the endpoints is always open."""

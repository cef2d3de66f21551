"""The front door: events to the decision module, its actions to the sockets, on one clock.

As on the simulator's wire, what has come in by one moment is a batch: each of its events is handed to
the module with the same time, in order of arrival, and its actions are carried out in order. What an
action itself brings about (an attempt that could not start) comes with a later batch.
"""

import asyncio
import logging
import random
import resource
from collections.abc import Awaitable, Callable, Generator
from dataclasses import fields, replace

from molereach.backends.attempt import Attempt
from molereach.backends.pools import Backends
from molereach.clients.commands import Command, CommandParser
from molereach.clients.listener import Intake
from molereach.clients.replies import Reply
from molereach.clients.requests import CommandError, NoRoomError
from molereach.clients.resp import FAILED, ClientConnection
from molereach.clock import now_us
from molereach.discovery.endpoint_discovery import EndpointDiscovery
from molereach.discovery.endpoint_mapping import EndpointMapping, EndpointUpdate, StagedEndpointUpdate
from molereach.discovery.poll_backoff import PollBackoff
from molereach.discovery.watch_stream import Steps
from molereach.endpoint_address import EndpointAddress
from molereach.policy.gateway import Gateway
from molereach.policy.interface.actions import (
    Action,
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
from molereach.policy.interface.events import (
    AttemptEnded,
    AttemptResult,
    ClientDisconnected,
    EndpointListKind,
    EndpointListReceived,
    Event,
    LoadReport,
    TimerExpired,
)
from molereach.policy.interface.protocols import LimitPolicy
from molereach.protocol.gossip_codec import GossipCodec
from molereach.proxy.config import Config, run_to_end
from molereach.proxy.connection_draining import drain
from molereach.proxy.gossip import GossipTransport
from molereach.proxy.graceful_shutdown import GracefulShutdown
from molereach.subsetting.endpoint_subsetting import EndpointSubsetting
from molereach.subsetting.entry_budget import MAX_LIST_COPIES
from molereach.subsetting.interface import EndpointList, SubsetUpdate

log = logging.getLogger(__name__)

# Taken off the time that a client waits: for the way of its request here and of our answer back.
ANSWER_MARGIN_US = 25_000
BACKSTOP_US = 15_000  # how much later than the module a request is ended here, should it not do so
FIRST_LIST_TIMEOUT_S = 0.3  # how long the start waits for a list that is newer than the known one
TIMER_RETRY_US = 20_000  # how soon a timer comes again on which the module failed
BACKOFF_SEED = 0x5CA11  # the chance of calls is not that of the module
LEAVE_REPEATS = 2  # last words to each peer, as they may be lost
RESERVED_SOCKETS = 32  # for listening, discovery, peers, the loop and log
CLIENT_SOCKET_FRACTION = 0.8  # of the other sockets
OPEN_COMMANDS_FRACTION = 1 / 8  # of the memory: for commands that are not answered yet
CLIENT_BUFFERS_FRACTION = 1 / 8  # of the memory: for commands in part, and answers that clients don't read
ENDPOINT_LIST_FRACTION = 1 / 4  # of the memory: for the whole list of backends
ENTRY_BYTES = 160  # that an entry of a list takes, in each copy
MIN_SUBSET, MAX_SUBSET = 256, 512  # backends that are decided on; a shorter list is seen whole
OPEN_REQUEST_BYTES = 4096  # that an open request takes besides its command


class OpenRequest:
    """A request from its arrival until its answer, with the attempts that are out."""

    __slots__ = ("attempts_sent", "command", "deadline_us", "in_flight", "reply", "timer")

    def __init__(self, command: Command, reply: Reply, end_us: int) -> None:
        self.command, self.reply, self.deadline_us = command, reply, end_us
        self.attempts_sent = 0
        self.in_flight: dict[int, Attempt] = {}
        self.timer: asyncio.TimerHandle | None = None


class Proxy:
    def __init__(self, config: Config) -> None:
        self.config, self.settings = config, config.settings
        self.loop = asyncio.get_running_loop()
        self.gateway = Gateway(config.settings)
        self.inbox: list[Event] = []
        self.overlay: Callable[[EndpointListReceived], EndpointListReceived] = lambda news: (
            news
        )  # orders may lie over the list
        self.counter_sources: list[Callable[[], dict[str, int]]] = []  # counters of what stands beside
        self.on_stopped: list[Callable[[], Awaitable[None]]] = []  # what ends after all clients
        self.open_requests: dict[str, OpenRequest] = {}  # requests that are owed an answer
        self.answered_requests: dict[str, OpenRequest] = {}  # those answered with attempts still out
        self.open_bytes = 0
        self.shutdown: GracefulShutdown | None = None  # from when it was told to end
        self.address = config.listen
        self.config_reload: asyncio.Task[None] | None = None  # of a long configuration anew
        memory = config.memory_mb << 20
        self.max_open_bytes = round(memory * OPEN_COMMANDS_FRACTION)
        granted, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
        sockets = max(16, min(config.sockets, granted) - RESERVED_SOCKETS)
        most_clients = round(sockets * CLIENT_SOCKET_FRACTION)
        self.backends = Backends(config.conn_idle_us, config.connect_timeout_us, sockets - most_clients)
        self.parser = CommandParser(config)
        self.clients = Intake(
            most_clients,
            round(memory * CLIENT_BUFFERS_FRACTION),
            lambda: ClientConnection(self.clients, self),
            self.backends.spawn,
        )
        view = min(MAX_SUBSET, max(MIN_SUBSET, self.backends.max_connections))
        most = round(memory * ENDPOINT_LIST_FRACTION) // (MAX_LIST_COPIES * ENTRY_BYTES)
        self.endpoint_lists: EndpointList = EndpointSubsetting(config.settings, view, most)
        self.gossip = GossipTransport(config.peers, config.settings.proxy_index, self.post)
        self.mapping = EndpointMapping(config.zone_numbers, config.kind_numbers)
        self.saved_list: EndpointUpdate | None = None  # the list that it started with, as it was heard
        version = self.load_saved_list()
        self.discovery = EndpointDiscovery(
            config.discovery,
            self.mapping,
            version,
            self.on_endpoint_update,
            self.backends.spawn,
            lambda: PollBackoff.from_settings(config.settings),
            random.Random(config.settings.seed ^ BACKOFF_SEED).random,
            self.endpoint_lists.stage,
        )
        self.handlers: dict[type, Callable[..., None]] = {
            ForwardAttempt: self.forward,
            CancelAttempt: self.cancel,
            Reject: self.reject,
            FailRequest: self.fail,
            SetTimer: self.set_timer,
            SendGossip: self.gossip.send,
            WriteLog: self.write_log,
            CloseIdleConnections: lambda action: self.backends.close_idle(action.server),
            SubscribeToEndpoints: lambda action: None,
            FetchEndpoints: lambda action: None,  # the watch is always on
        }

    # --- start and end ---

    def load_saved_list(self) -> int:
        """Take over the known list; its version, or 0 where there is none that makes sense.

        It may have come in parts, each of which is let go of once it has been read.
        """
        parts, known = self.config.known_parts, self.config.known
        if not known:
            return 0
        try:
            news = (
                self.stage_saved_list(parts)
                if parts
                else self.mapping.read_update(known, EndpointListKind.SAVED)
            )
            seen = (
                run_to_end(self.apply_staged(news))
                if isinstance(news, StagedEndpointUpdate)
                else self.apply_complete(news)
            )
        except (KeyError, TypeError, ValueError, ArithmeticError) as error:
            log.error("the known list makes no sense: %s", error)
            return 0
        finally:
            parts.clear()
        if seen:
            self.saved_list = EndpointUpdate(seen.event, seen.addresses)
        return news.version if isinstance(news, StagedEndpointUpdate) else news.event.version

    def stage_saved_list(self, parts: list[bytes]) -> StagedEndpointUpdate:
        staged = self.endpoint_lists.stage()
        parts.reverse()
        while parts:
            staged.add(*self.mapping.read_entry_list(parts.pop()))
        return self.mapping.read_staged_update(self.config.known, staged, EndpointListKind.SAVED)

    def use_limits(self, limits: LimitPolicy, form: GossipCodec) -> None:
        """Have limits consulted, and their words told; before the first event."""
        self.gateway.limits, self.gossip.codec = limits, form

    async def start(self) -> None:
        """Serve; returns once clients are answered. An address that cannot be had is an OSError."""
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
        """Take over what can change while it serves: the address of discovery."""
        fixed = replace(
            config,
            discovery=self.config.discovery,
            known=self.config.known,
            known_parts=[],
            settings=replace(config.settings, seed=self.settings.seed),
        )
        changed = [
            field.name
            for field in fields(fixed)
            if getattr(fixed, field.name) != getattr(self.config, field.name)
        ]
        if changed:
            log.warning("a restart is needed for new values of: %s", ", ".join(changed))
        log.info("takes over the configuration: discovery at %s:%d", *config.discovery)
        self.discovery.change_address(config.discovery)

    async def drain(self, told_us: int | None = None) -> None:
        """Take and answer what comes while there is time for it, then close what is idle, and answer all. The
        kill counts from when it was told to end, which may have been while it started."""
        deadlines_us = (rule.deadline_us for rule in self.settings.classes)
        self.shutdown = GracefulShutdown(now_us() if told_us is None else told_us, deadlines_us)
        self.shorten_deadlines(self.shutdown.responses_due_at_us)
        await drain(self.shutdown, self.clients, self.open_requests)
        for peer, word in self.gateway.limits.leave_messages() * LEAVE_REPEATS if self.gateway.limits else ():
            self.gossip.send(SendGossip(peer, (word,)))
        for end in self.on_stopped:
            await end()
        self.close()

    def shorten_deadlines(self, by_us: int) -> None:
        """Have what is open answered by then, however much longer its clients would wait."""
        for name, exchange in self.open_requests.items():
            if exchange.deadline_us <= by_us:
                continue
            exchange.deadline_us = by_us
            if exchange.timer:
                exchange.timer.cancel()
            exchange.timer = self.loop.call_later((by_us - now_us()) / 1e6, self.fail_and_forget, name)

    def close(self) -> None:
        """Let go of all sockets."""
        if self.config_reload:
            self.config_reload.cancel()
        self.gossip.close()
        self.clients.close()
        self.backends.close()

    # --- events ---

    def post(self, event: Event) -> None:
        if not self.inbox:
            self.loop.call_soon(self.run_batch)
        self.inbox.append(event)

    def run_batch(self) -> None:
        now, events, self.inbox = now_us(), self.inbox, []
        for event in events:
            for action in self.decide(now, event):
                self.execute(action)

    def decide(self, now: int, event: Event) -> list[Action]:
        try:
            return self.gateway.handle(now, event)
        except Exception:
            log.exception("the module failed on %r", event)
            self.fail_and_forget(getattr(event, "request_id", ""))
            if isinstance(event, TimerExpired):  # the module lives by it: it comes again
                self.set_timer(SetTimer(TIMER_RETRY_US, event.token))
            return []

    def execute(self, action: Action) -> None:
        try:
            self.handlers[type(action)](action)
        except Exception:
            log.exception("cannot carry out %r", action)
            self.fail_and_forget(getattr(action, "request_id", ""))

    def fail_and_forget(self, request_id: str) -> None:
        """Fail a request over a fault, and have the module forget it."""
        if request_id in self.open_requests:
            self.answer(request_id, FAILED)
            self.post(ClientDisconnected(request_id))

    def on_endpoint_update(self, news: EndpointUpdate | StagedEndpointUpdate) -> Steps | None:
        """News of the list; where they came in parts, what is to be done in turns. ListError where it cannot
        be held: the list before it holds."""
        if isinstance(news, StagedEndpointUpdate):
            return self.apply_staged_in_steps(news)
        self.apply_complete(news)
        return None

    def apply_complete(self, news: EndpointUpdate) -> SubsetUpdate | None:
        return self.publish_subset(self.endpoint_lists.apply(news.event, news.addresses))

    def apply_staged(self, news: StagedEndpointUpdate) -> Generator[None, None, SubsetUpdate | None]:
        return self.publish_subset(
            (yield from self.endpoint_lists.take_over(news.staged, news.kind, news.version))
        )

    def apply_staged_in_steps(self, news: StagedEndpointUpdate) -> Steps:
        yield from self.apply_staged(news)

    def publish_subset(self, seen: SubsetUpdate | None) -> SubsetUpdate | None:
        """What the view shows of news, with the orders that lie over it; None concerns nothing in it."""
        if seen:
            self.publish(self.overlay(seen.event), seen.addresses)
        return seen

    def publish(self, event: EndpointListReceived, addresses: dict[str, EndpointAddress]) -> None:
        """News of the list as the module is to have them, and the addresses that are new with them."""
        whole = event.kind is not EndpointListKind.CHANGES
        states = {server.name: server.state for server in event.endpoints}
        started = {server.name: server.started_us for server in event.endpoints}
        self.post(event)  # first: what the backends hand back because of it is decided with the new list
        self.backends.update(states, addresses, whole, started)

    def take(self, words: list[bytes], reply: Reply) -> None:
        """A client's command; one that is wrong is a CommandError."""
        command = self.parser.parse(words, ANSWER_MARGIN_US)
        request = command.request
        if request.request_id in self.open_requests or request.request_id in self.answered_requests:
            raise CommandError("this id is in use")
        if len(self.open_requests) >= self.config.max_open or self.open_bytes > self.max_open_bytes:
            raise NoRoomError("too many requests are open")
        if self.shutdown:
            request = replace(request, remaining_us=self.shutdown.admit(now_us(), request.remaining_us))
        exchange = OpenRequest(command, reply, now_us() + request.remaining_us)
        delay = (request.remaining_us + BACKSTOP_US) / 1e6
        exchange.timer = self.loop.call_later(delay, self.on_backstop, request.request_id)
        reply.id = request.request_id
        self.open_requests[request.request_id] = exchange
        self.open_bytes += command.size + OPEN_REQUEST_BYTES
        self.post(request)

    def on_backstop(self, request_id: str) -> None:
        """The module owes an answer in time; this one keeps the promise to the client if it fails to."""
        if request_id in self.open_requests:
            log.error("request %s was left without an answer", request_id)
            self.fail_and_forget(request_id)

    def client_gone(self, reply: Reply) -> None:
        if reply.id is not None and self.settle(reply.id):
            self.post(ClientDisconnected(reply.id))

    # --- actions ---

    def forward(self, action: ForwardAttempt) -> None:
        exchange = self.open_requests.get(action.request_id)
        if exchange is None or exchange.attempts_sent >= self.settings.max_attempts:
            over = exchange is None
            self.post(
                AttemptEnded(
                    action.request_id, over, action.attempt, action.endpoint, AttemptResult.NOT_SENT, 0
                )
            )
            return
        left = max(1, exchange.deadline_us - now_us())
        timeout = min(left, action.timeout_us) if action.timeout_us > 0 else left
        exchange.attempts_sent += 1
        payload = exchange.command.payload(timeout)
        attempt = Attempt(
            action.request_id,
            action.attempt,
            action.endpoint,
            payload,
            self.on_attempt_result,
            action.write_deadline_us,
        )
        exchange.in_flight[attempt.number] = attempt
        self.backends.send(attempt, timeout)

    def on_attempt_result(
        self, attempt: Attempt, result: AttemptResult, value: bytes | None, report: LoadReport | None
    ) -> None:
        """An attempt's one outcome; the first value goes to the client at once and closes the request."""
        name = attempt.request_id
        if result is AttemptResult.OK and value is not None and name in self.open_requests:
            self.answer(name, b"$%d\r\n%b\r\n" % (len(value), value))
        over = name not in self.open_requests
        exchange = self.answered_requests.get(name) if over else self.open_requests[name]
        if exchange:
            exchange.in_flight.pop(attempt.number, None)
            if over and not exchange.in_flight:
                del self.answered_requests[name]
        took = now_us() - attempt.sent_us
        self.post(AttemptEnded(name, over, attempt.number, attempt.server, result, took, load_report=report))

    def cancel(self, action: CancelAttempt) -> None:
        exchange = self.open_requests.get(action.request_id) or self.answered_requests.get(action.request_id)
        attempt = exchange.in_flight.get(action.attempt) if exchange else None
        if attempt:
            attempt.cancel()

    def reject(self, action: Reject) -> None:
        wait_ms = action.retry_after_us // 1000
        self.answer(action.request_id, b"-BUSY %d\r\n" % wait_ms if wait_ms > 0 else b"-BUSY\r\n")

    def fail(self, action: FailRequest) -> None:
        self.answer(action.request_id, FAILED)

    def answer(self, name: str, data: bytes) -> None:
        if exchange := self.settle(name):
            exchange.reply.send(data)

    def settle(self, name: str) -> OpenRequest | None:
        """The request is owed nothing more; None if that is so already."""
        exchange = self.open_requests.pop(name, None)
        if exchange is None:
            return None
        self.open_bytes -= exchange.command.size + OPEN_REQUEST_BYTES
        if exchange.timer:
            exchange.timer.cancel()
        if exchange.in_flight:
            self.answered_requests[name] = exchange
        for attempt in list(exchange.in_flight.values()):
            attempt.withdraw(AttemptResult.CANCELLED)  # not sent yet: no settings are needed to take it back
        return exchange

    def set_timer(self, action: SetTimer) -> None:
        self.expire_timer(now_us() + action.delay_us, action.token)

    def expire_timer(self, due_us: int, token: int) -> None:
        """The loop's timers go by milliseconds and may be early; the module would pass over such a one
        and, as it takes it for still set, never set another."""
        left = due_us - now_us()
        if left > 0:
            self.loop.call_later(max(1000, left) / 1e6, self.expire_timer, due_us, token)
        else:
            self.post(TimerExpired(token))

    def write_log(self, action: WriteLog) -> None:
        log.info("%s", action.text)

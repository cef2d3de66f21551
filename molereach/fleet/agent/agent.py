"""The agent: an acceptor with its journal, the proxies of its machine, and synchronization with its peers.

It does the I/O for `agreement`, `roster` and `journal`. It handles one agreement message at a time and
replies only once the journal is on the disk: a promise lost in a crash could let two different orders be
decided for one revision.
"""

import asyncio
import contextlib
from collections.abc import Awaitable, Callable, Coroutine
from pathlib import Path
from random import Random
from typing import Any

import structlog

from molereach.fleet import roster
from molereach.fleet.agent.link import REQUEST_TIMEOUT_S, ProxyConnection, ProxyConnectionError
from molereach.fleet.agent.watcher import Watcher
from molereach.fleet.agreement import Acceptor, AcceptorState, Message
from molereach.fleet.anchored_clock import anchored_unix_ms
from molereach.fleet.api_bodies import AgentSnapshot, Event, Members, Orders, Quota, Status, ready_servers
from molereach.fleet.journal import AgentState, Journal, JournalError
from molereach.fleet.orders import Decided, OrderStateRecord
from molereach.fleet.wire import RequestKind, Response

SOCKET_SCAN_INTERVAL_S = 0.1  # between scans of the socket folder
HEARTBEAT_INTERVAL_S = 0.3  # between state requests to a proxy
SYNC_INTERVAL_S = 1.0  # between fetches from a peer, multiplied by a factor from SYNC_JITTER
INITIAL_SYNC_INTERVAL_S = 0.2  # the same, until orders may be sent to proxies
INITIAL_SYNC_PEERS = 8  # concurrent fetches, until orders may be sent to proxies
SYNC_JITTER = (0.8, 1.2)  # least and greatest factor
MAX_WATCHERS = 16
SOCKET_SUFFIX = ".sock"
MS_PER_S = 1000

log = structlog.get_logger()
FetchState = Callable[[str, int], Awaitable[OrderStateRecord | None]]


class Agent:
    """One agent.

    `fetch_state` fetches a peer's state if it is newer than a revision. `synced_agents` are this agent and
    the peers that have answered since the start; `started_without_majority` is set if the agent began to send
    orders before a majority was among them. After `start_alone_s` it begins even without a majority.
    `journal_error` is why the acceptor may no longer reply, or "".
    """

    def __init__(
        self,
        name: str,
        agent_names: tuple[str, ...],
        socket_folder: Path,
        journal: Journal,
        fetch_state: FetchState,
        start_alone_s: float = 3.0,
        random: Random | None = None,
    ) -> None:
        """Load the journal, or raise JournalError if it is not valid; `start` starts the tasks."""
        self.name = name
        self.agent_names = agent_names
        self.socket_folder = socket_folder
        self.journal = journal
        self.fetch_state = fetch_state
        self.start_alone_s = start_alone_s
        self.random = random or Random()
        stored = journal.load()
        # The stored field `promised` is the whole state of the acceptor, with the order that it accepted.
        self.acceptor = Acceptor(stored.promised, stored.order_state)
        self.roster = roster.Roster(name)
        self.now_ms = anchored_unix_ms()  # a function that returns the current time
        self.state_lock = asyncio.Lock()
        self.connections: dict[str, ProxyConnection] = {}
        self.sending_orders_to: set[str] = set()
        self.synced_agents = {name}
        self.started_without_majority = False
        self.journal_error = ""
        self.watchers: set[Watcher] = set()
        self.last_published_number = 0  # of the last event sent to watchers
        self.tasks: set[asyncio.Task[Any]] = set()

    @property
    def synced(self) -> bool:
        """Whether a majority of agents, this one included, has been synchronized since the start."""
        return len(self.synced_agents) > len(self.agent_names) // 2

    # --- tasks ---

    def start(self) -> None:
        """Start the tasks that find and poll proxies and synchronize with peers."""
        self.add_event("agent", self.name, f"starts at revision {self.acceptor.order_state.revision}")
        for loop in (self.socket_scan_loop(), self.heartbeat_loop(), self.sync_loop()):
            self.spawn(loop)

    async def close(self) -> None:
        """Cancel all tasks, then close the connections and the journal."""
        for task in list(self.tasks):
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        for connection in list(self.connections.values()):
            await connection.close()
        self.journal.close()

    def spawn(self, coroutine: Coroutine[Any, Any, Any]) -> None:
        """Run a coroutine as a task that `close` cancels."""
        task = asyncio.get_running_loop().create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.on_task_done)

    def on_task_done(self, task: asyncio.Task[Any]) -> None:
        """Remove a finished task, and log its exception if it failed."""
        self.tasks.discard(task)
        if not task.cancelled() and (error := task.exception()):
            log.error("a task of the agent failed", exc_info=error)

    async def socket_scan_loop(self) -> None:
        """Scan the socket folder periodically."""
        while True:
            self.scan_sockets()
            await asyncio.sleep(SOCKET_SCAN_INTERVAL_S)

    def scan_sockets(self) -> None:
        """List the sockets for the roster, and have it check the age of the proxies' states."""
        try:
            names = frozenset(
                path.name.removesuffix(SOCKET_SUFFIX)
                for path in self.socket_folder.iterdir()
                if path.name.endswith(SOCKET_SUFFIX)
            )
        except OSError as error:
            log.error(
                "the folder of sockets cannot be read", folder=str(self.socket_folder), error=error.strerror
            )
            return
        self.update_roster(roster.SocketsListed(names))
        self.update_roster(roster.Tick())

    async def heartbeat_loop(self) -> None:
        """Request the state of every connected proxy periodically."""
        while True:
            for proxy in list(self.connections):
                self.spawn(self.send_heartbeat(proxy))
            await asyncio.sleep(HEARTBEAT_INTERVAL_S)

    async def send_heartbeat(self, proxy: str) -> None:
        """Request a proxy's state; without a response, the roster marks the proxy as silent after a time."""
        with contextlib.suppress(ProxyConnectionError):
            self.update_proxy_state(proxy, await self.request(proxy, "state", HEARTBEAT_INTERVAL_S))

    # --- proxies ---

    def update_roster(self, event: roster.RosterEvent) -> None:
        """Pass an event to the roster and carry out the actions that it returns."""
        for action in self.roster.handle(self.now_ms(), event):
            match action:
                case roster.Connect():
                    self.spawn(self.connect(action.proxy))
                case roster.SendOrders():
                    self.spawn(self.send_orders(action.proxy))
                case roster.Disconnect():
                    self.spawn(self.disconnect(action.proxy))
        self.publish_events()

    async def connect(self, proxy: str) -> None:
        """Connect to a proxy and subscribe to its notifications."""
        connection = ProxyConnection(
            lambda state: self.update_roster(roster.StateReceived(proxy, state)),
            lambda reason: self.on_disconnected(proxy, reason),
        )
        try:
            await connection.open(self.socket_folder / f"{proxy}{SOCKET_SUFFIX}")
            self.connections[proxy] = connection
        except ProxyConnectionError as error:
            await connection.close()
            self.on_disconnected(proxy, str(error))
            return
        self.update_roster(roster.Connected(proxy))
        try:
            self.update_proxy_state(proxy, await self.request_on(proxy, connection, "watch"))
        except ProxyConnectionError:  # the process may be suspended: keep the connection and its heartbeats
            if self.connections.get(proxy) is connection:
                self.update_roster(roster.RequestUnanswered(proxy))

    def on_disconnected(self, proxy: str, reason: str) -> None:
        """Remove a closed connection and report it to the roster."""
        self.connections.pop(proxy, None)
        self.update_roster(roster.Disconnected(proxy, reason))

    async def disconnect(self, proxy: str) -> None:
        """Close the connection to a proxy."""
        if connection := self.connections.pop(proxy, None):
            await connection.close()

    async def request(
        self,
        proxy: str,
        kind: RequestKind,
        timeout_s: float = REQUEST_TIMEOUT_S,
        customer: str = "",
        order_state: OrderStateRecord | None = None,
    ) -> Response:
        """Send a request to a proxy; return the response, or raise ProxyConnectionError if it fails."""
        if (connection := self.connections.get(proxy)) is None:
            raise ProxyConnectionError("not connected")
        return await self.request_on(proxy, connection, kind, timeout_s, customer, order_state)

    async def request_on(
        self,
        proxy: str,
        connection: ProxyConnection,
        kind: RequestKind,
        timeout_s: float = REQUEST_TIMEOUT_S,
        customer: str = "",
        order_state: OrderStateRecord | None = None,
    ) -> Response:
        """Send a request on a connection; raise ProxyConnectionError if it has ended before this returns.

        A response may be read together with the end of the connection, which is handled first. The roster
        must not take it for a sign of life afterwards: it connects only to proxies that are not up.
        """
        response = await connection.request(kind, timeout_s, customer, order_state)
        if self.connections.get(proxy) is not connection:
            raise ProxyConnectionError("the connection ended with the response")
        return response

    def update_proxy_state(self, proxy: str, response: Response) -> None:
        """Pass the state in a response, if any, to the roster."""
        if response.state:
            self.update_roster(roster.StateReceived(proxy, response.state))

    async def send_orders(self, proxy: str) -> None:
        """Send a proxy all orders in force; the roster sends again if they have changed meanwhile."""
        if proxy in self.sending_orders_to:
            return
        self.sending_orders_to.add(proxy)
        record = self.acceptor.order_state.to_record()
        in_force_record = OrderStateRecord(record.revision, record.in_force)
        try:
            response = await self.request(proxy, "put", order_state=in_force_record)
        except ProxyConnectionError as error:
            log.warning("a front door was not told", door=proxy, revision=record.revision, error=str(error))
            return
        finally:
            self.sending_orders_to.discard(proxy)
        self.update_proxy_state(proxy, response)

    async def request_all(
        self, kind: RequestKind, customer: str = ""
    ) -> tuple[dict[str, Response], dict[str, str]]:
        """Send a request to all proxies; return the responses, and the reason for each missing one."""
        proxies = [
            status.name
            for status in self.roster.proxy_statuses(self.now_ms())
            if status.reachability != "ended"
        ]
        requests = (self.request(proxy, kind, customer=customer) for proxy in proxies)
        results = await asyncio.gather(*requests, return_exceptions=True)
        responses: dict[str, Response] = {}
        missing: dict[str, str] = {}
        for proxy, result in zip(proxies, results, strict=True):
            if isinstance(result, Response):
                responses[proxy] = result
            elif isinstance(result, ProxyConnectionError):
                missing[proxy] = str(result)
            else:
                raise result
        return responses, missing

    # --- agreement ---

    async def handle_message(self, message: Message, client_name: str = "") -> list[Message]:
        """Handle a proposer's message; return the replies, or raise JournalError if none may be sent.

        It is shielded from cancellation when the client disconnects: a changed acceptor state must be saved
        before any later reply.
        """
        return await asyncio.shield(asyncio.ensure_future(self.handle_message_locked(message, client_name)))

    async def handle_message_locked(self, message: Message, client_name: str) -> list[Message]:
        """Handle a message under the lock, and save a changed state before the replies are returned."""
        async with self.state_lock:
            if self.journal_error:
                raise JournalError(self.journal_error)
            acceptor = self.acceptor
            state_before = acceptor.state
            revision_before = acceptor.order_state.revision
            replies = acceptor.handle(message)
            if acceptor.state != state_before or acceptor.order_state.revision != revision_before:
                await self.save_state()
                if acceptor.state.accepted_at != state_before.accepted_at:
                    log_accepted(acceptor.state, client_name)
                self.on_orders_applied(revision_before)
        return replies

    async def save_state(self) -> None:
        """Write the state to the journal; after a failure, the agent rejects all further messages."""
        state = AgentState(self.name, self.acceptor.state, self.acceptor.order_state.to_record())
        try:
            await asyncio.get_running_loop().run_in_executor(None, self.journal.save, state)
        except JournalError as error:
            self.journal_error = str(error)
            log.error("the journal is broken: nothing is promised any more", error=str(error))
            raise

    def on_orders_applied(self, revision_before: int) -> None:
        """Record the orders applied since `revision_before`, and have the roster send them to proxies."""
        order_state = self.acceptor.order_state
        if order_state.revision == revision_before:
            return
        for decided in [
            decided for decided in order_state.recent.values() if decided.revision > revision_before
        ]:
            self.record_order(decided)
        self.update_roster(roster.RevisionOrReadinessChanged(order_state.revision, self.roster.ready))

    def record_order(self, decided: Decided) -> None:
        """Log a decided order and add it to the event history."""
        order = decided.order
        log.info(
            "order decided",
            order=order.id,
            verb=order.verb.value,
            subject=order.subject,
            issuer=order.issuer,
            reason=order.reason,
            revision=decided.revision,
            forced=order.forced,
        )
        text = f"{order.verb.value} {order.subject} by {order.issuer}: {order.reason}"
        self.add_event("order", order.id, f"revision {decided.revision}: {text}")

    # --- peers ---

    async def sync_loop(self) -> None:
        """Synchronize with peers periodically.

        Orders are sent to proxies only once a majority has answered, or after `start_alone_s`: this agent may
        lack orders that were decided while it was down.
        """
        started_ms = self.now_ms()
        peers = [name for name in self.agent_names if name != self.name]
        round_robin_index = 0
        while True:
            if not self.roster.ready:  # orders may not be sent to proxies yet
                # A few random peers at a time: many agents that start together would otherwise overload
                # one another, and none would answer in time.
                unsynced_peers = [peer for peer in peers if peer not in self.synced_agents]
                peers_to_sync = self.random.sample(
                    unsynced_peers, min(INITIAL_SYNC_PEERS, len(unsynced_peers))
                )
                await asyncio.gather(*map(self.sync, peers_to_sync))
                wait_over = self.now_ms() - started_ms >= self.start_alone_s * MS_PER_S
                if self.synced or wait_over:
                    self.become_ready(wait_over and not self.synced)
            elif peers:
                round_robin_index += 1
                await self.sync(peers[round_robin_index % len(peers)])
            interval_s = SYNC_INTERVAL_S if self.roster.ready else INITIAL_SYNC_INTERVAL_S
            await asyncio.sleep(interval_s * self.random.uniform(*SYNC_JITTER))

    def become_ready(self, without_majority: bool) -> None:
        """Send orders to proxies from now on; `without_majority` if no majority of agents has answered."""
        self.started_without_majority = without_majority
        if without_majority:
            log.warning(
                "no majority of agents was heard: front doors are told what is known here",
                heard=len(self.synced_agents),
                fleet=len(self.agent_names),
            )
        self.update_roster(roster.RevisionOrReadinessChanged(self.acceptor.order_state.revision, True))
        for proxy in list(self.connections):
            self.spawn(self.send_orders(proxy))

    async def sync(self, peer: str) -> None:
        """Adopt a peer's state if it is newer.

        The state in memory changes first; it is saved before the roster is told of the new revision.
        """
        try:
            record = await self.fetch_state(peer, self.acceptor.order_state.revision)
            if record is not None:
                record.check()
                async with self.state_lock:
                    revision_before = self.acceptor.order_state.revision
                    if self.acceptor.order_state.adopt(record):
                        await self.save_state()
                        self.add_event("agent", self.name, f"learned revision {record.revision} from {peer}")
                        self.on_orders_applied(revision_before)
            self.synced_agents.add(peer)
        except (OSError, ValueError, JournalError) as error:
            log.debug("a peer was not heard", peer=peer, error=str(error))

    # --- events and queries ---

    def add_event(self, kind: str, subject: str, text: str) -> None:
        """Add an event to the history and send it to watchers."""
        self.roster.add_event(self.now_ms(), kind, subject, text)
        self.publish_events()

    def publish_events(self) -> None:
        """Send watchers the events that were added since the last call."""
        for event in self.events(self.last_published_number):
            if event.kind == "door":
                log.info("front door", door=event.subject, change=event.text)
            for watcher in self.watchers:
                watcher.push(event)
        self.last_published_number = self.roster.last_event_number

    def events(self, after: int) -> list[Event]:
        """Return the events in the history whose number is greater than `after`."""
        if after >= self.roster.last_event_number:
            return []
        return [event for event in self.roster.history if event.number > after]

    def status(self) -> Status:
        """Return the state of the agent and of its proxies."""
        acceptor = self.acceptor
        return Status(
            self.name,
            self.agent_names,
            acceptor.order_state.revision,
            self.synced,
            self.journal_error,
            acceptor.pending(),
            self.roster.proxy_statuses(self.now_ms()),
        )

    async def snapshot(self) -> AgentSnapshot:
        """Return what a tool needs to propose an order."""
        responses, _ = await self.request_all("members")
        ready = ready_servers(response.members or () for response in responses.values())
        return AgentSnapshot(self.status(), self.acceptor.order_state.to_record(), ready)

    async def members(self) -> Members:
        """Return the members of the endpoint list, which are servers, as each proxy sees them."""
        responses, missing = await self.request_all("members")
        members = {proxy: response.members or () for proxy, response in responses.items()}
        return Members(self.name, members, missing)

    async def quota(self, customer: str) -> Quota:
        """Return what each proxy knows of a customer's quota."""
        responses, missing = await self.request_all("quota", customer=customer)
        quota = {proxy: response.quota or () for proxy, response in responses.items()}
        return Quota(self.name, quota, missing)

    def orders(self) -> Orders:
        """Return the orders in force, the recent ones, and the one accepted but not known to be decided."""
        record = self.acceptor.order_state.to_record()
        return Orders(self.name, record.revision, record.in_force, record.recent, self.acceptor.pending())


def log_accepted(state: AcceptorState, client_name: str) -> None:
    """Log the order that the acceptor has accepted, and the client that sent it."""
    order = state.accepted
    if order is None:
        return
    log.info(
        "order accepted",
        by=client_name,
        order=order.id,
        verb=order.verb.value,
        subject=order.subject,
        issuer=order.issuer,
        reason=order.reason,
        revision=state.revision,
    )

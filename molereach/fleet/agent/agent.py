"""The agent: an acceptor with its journal, the proxies of its machine, and synchronization with its peers.

It does the I/O for `agreement`, `roster` and `journal`. It handles one message of the agreement at a time and
replies only after the journal is on the disk: a promise that a crash could undo would be worthless.
"""

import asyncio
import contextlib
from collections.abc import Awaitable, Callable, Coroutine
from pathlib import Path
from random import Random
from typing import Any

import structlog

from molereach.fleet import roster
from molereach.fleet.agent.link import REQUEST_TIMEOUT_S, Link, LinkError
from molereach.fleet.agent.watcher import Watcher
from molereach.fleet.agreement import Acceptor, AcceptorState, Message
from molereach.fleet.anchored_clock import anchored_unix_ms
from molereach.fleet.api_bodies import AgentSnapshot, Event, Members, Orders, Quota, Status, ready_servers
from molereach.fleet.journal import AgentState, Journal, JournalError
from molereach.fleet.orders import Decided, OrderStateRecord
from molereach.fleet.wire import RequestKind, Response

SCAN_INTERVAL_S = 0.1  # between scans of the folder of sockets
HEARTBEAT_INTERVAL_S = 0.3  # between requests for a proxy's state
SYNC_INTERVAL_S = 1.0  # between requests to a peer; varied by SYNC_JITTER
INITIAL_SYNC_INTERVAL_S = 0.2  # the same, until a majority has answered
INITIAL_SYNC_PEERS = 8  # requests at once, until a majority has answered
SYNC_JITTER = (0.8, 1.2)  # the interval is multiplied by a number between these
MAX_WATCHERS = 16
SOCKET_SUFFIX = ".sock"
MS_PER_S = 1000

log = structlog.get_logger()
FetchState = Callable[[str, int], Awaitable[OrderStateRecord | None]]


class Agent:
    """One agent.

    `fetch` requests a peer's state that is newer than a revision. `synced_agents` are the agents whose state
    has been received since the start, and this one; `alone` is set when the agent went on without a majority
    of them. `journal_error` is the reason why nothing may be promised any more, or "".
    """

    def __init__(
        self,
        name: str,
        fleet: tuple[str, ...],
        socket_folder: Path,
        journal: Journal,
        fetch: FetchState,
        start_alone_s: float = 3.0,
        random: Random | None = None,
    ) -> None:
        """Load the journal; `start` begins the work. JournalError if it cannot be read."""
        self.name = name
        self.fleet = fleet
        self.socket_folder = socket_folder
        self.journal = journal
        self.fetch = fetch
        self.start_alone_s = start_alone_s
        self.random = random or Random()
        state = journal.load()
        self.acceptor = Acceptor(state.promised, state.order_state)
        self.roster = roster.Roster(name)
        self.now_ms = anchored_unix_ms()
        self.lock = asyncio.Lock()
        self.links: dict[str, Link] = {}
        self.sending_orders: set[str] = set()
        self.synced_agents = {name}
        self.alone = False
        self.journal_error = ""
        self.watchers: set[Watcher] = set()
        self.last_published = 0  # number of the last event that was sent to watchers
        self.tasks: set[asyncio.Task[Any]] = set()

    @property
    def synced(self) -> bool:
        """Whether a majority of agents has been synchronized with since the start."""
        return len(self.synced_agents) > len(self.fleet) // 2

    # --- start and end ---

    def start(self) -> None:
        """Start to scan for proxies and to synchronize with peers."""
        self.add_event("agent", self.name, f"starts at revision {self.acceptor.order_state.revision}")
        for loop in (self.scan_loop(), self.heartbeat_loop(), self.sync_loop()):
            self.spawn(loop)

    async def close(self) -> None:
        """Cancel all tasks, then close the connections and the journal."""
        for task in list(self.tasks):
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        for link in list(self.links.values()):
            await link.close()
        self.journal.close()

    def spawn(self, coroutine: Coroutine[Any, Any, Any]) -> None:
        """Run a coroutine as a task that `close` cancels."""
        task = asyncio.get_running_loop().create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.on_task_done)

    def on_task_done(self, task: asyncio.Task[Any]) -> None:
        """Forget a task, and log its error."""
        self.tasks.discard(task)
        if not task.cancelled() and (error := task.exception()):
            log.error("a task of the agent failed", exc_info=error)

    async def scan_loop(self) -> None:
        """Scan for sockets at the interval."""
        while True:
            self.scan()
            await asyncio.sleep(SCAN_INTERVAL_S)

    def scan(self) -> None:
        """Read which sockets exist, and let the roster check the age of states."""
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
        """Request the states of all connected proxies at the interval."""
        while True:
            for name in list(self.links):
                self.spawn(self.send_heartbeat(name))
            await asyncio.sleep(HEARTBEAT_INTERVAL_S)

    async def send_heartbeat(self, name: str) -> None:
        """Request a proxy's state; without an answer the roster finds its last state too old."""
        with contextlib.suppress(LinkError):
            self.on_response(name, await self.request(name, "state", HEARTBEAT_INTERVAL_S))

    # --- proxies ---

    def update_roster(self, event: roster.RosterEvent) -> None:
        """Hand an event to the roster and carry out its actions."""
        for action in self.roster.handle(self.now_ms(), event):
            match action:
                case roster.Connect():
                    self.spawn(self.connect(action.proxy))
                case roster.SendOrders():
                    self.spawn(self.send_orders(action.proxy))
                case roster.Disconnect():
                    self.spawn(self.disconnect(action.proxy))
        self.publish_events()

    async def connect(self, name: str) -> None:
        """Connect to a proxy and watch it."""
        link = Link(
            lambda state: self.update_roster(roster.StateReceived(name, state)),
            lambda reason: self.on_disconnected(name, reason),
        )
        try:
            await link.open(self.socket_folder / f"{name}{SOCKET_SUFFIX}")
            self.links[name] = link
        except LinkError as error:
            await link.close()
            self.on_disconnected(name, str(error))
            return
        self.update_roster(roster.Connected(name))
        try:
            self.on_response(name, await link.request("watch"))
        except LinkError:  # it may be stopped: the connection stays, and heartbeats go on
            if name in self.links:
                self.update_roster(roster.RequestUnanswered(name))

    def on_disconnected(self, name: str, reason: str) -> None:
        """Forget a connection that has ended."""
        self.links.pop(name, None)
        self.update_roster(roster.Disconnected(name, reason))

    async def disconnect(self, name: str) -> None:
        """Close the connection to a proxy."""
        if link := self.links.pop(name, None):
            await link.close()

    async def request(
        self,
        name: str,
        kind: RequestKind,
        within_s: float = REQUEST_TIMEOUT_S,
        customer: str = "",
        order_state: OrderStateRecord | None = None,
    ) -> Response:
        """Send a request to a proxy; return the response, or raise LinkError if there is none."""
        if (link := self.links.get(name)) is None:
            raise LinkError("not connected")
        return await link.request(kind, within_s, customer, order_state)

    def on_response(self, name: str, response: Response) -> None:
        """Hand the state in a response to the roster."""
        if response.state:
            self.update_roster(roster.StateReceived(name, response.state))

    async def send_orders(self, name: str) -> None:
        """Send a proxy all orders in force; the roster repeats that if newer ones come meanwhile."""
        if name in self.sending_orders:
            return
        self.sending_orders.add(name)
        record = self.acceptor.order_state.to_record()
        in_force = OrderStateRecord(record.revision, record.in_force)
        try:
            response = await self.request(name, "put", order_state=in_force)
        except LinkError as error:
            log.warning("a front door was not told", door=name, revision=record.revision, error=str(error))
            return
        finally:
            self.sending_orders.discard(name)
        self.on_response(name, response)

    async def request_all(
        self, kind: RequestKind, customer: str = ""
    ) -> tuple[dict[str, Response], dict[str, str]]:
        """Send a request to all proxies; return the responses, and the reasons where there is none."""
        names = [
            status.name
            for status in self.roster.proxy_statuses(self.now_ms())
            if status.reachability != "ended"
        ]
        requests = (self.request(name, kind, customer=customer) for name in names)
        results = await asyncio.gather(*requests, return_exceptions=True)
        responses: dict[str, Response] = {}
        missing: dict[str, str] = {}
        for name, result in zip(names, results, strict=True):
            if isinstance(result, Response):
                responses[name] = result
            elif isinstance(result, LinkError):
                missing[name] = str(result)
            else:
                raise result
        return responses, missing

    # --- the agreement ---

    async def handle_message(self, message: Message, by: str = "") -> list[Message]:
        """Handle a tool's message; return the replies, or raise JournalError if none may be sent.

        A client that disconnects does not cancel this: an acceptor's state that has changed must be saved
        before any later reply.
        """
        return await asyncio.shield(asyncio.ensure_future(self.handle_message_locked(message, by)))

    async def handle_message_locked(self, message: Message, by: str) -> list[Message]:
        """Handle one message at a time, and save the state before the replies are returned."""
        async with self.lock:
            if self.journal_error:
                raise JournalError(self.journal_error)
            acceptor = self.acceptor
            state_before = acceptor.state
            revision_before = acceptor.order_state.revision
            replies = acceptor.handle(message)
            if acceptor.state != state_before or acceptor.order_state.revision != revision_before:
                await self.save()
                if acceptor.state.accepted_at != state_before.accepted_at:
                    log_accepted(acceptor.state, by)
                self.on_orders_applied(revision_before)
        return replies

    async def save(self) -> None:
        """Write the journal; after a failure nothing is promised any more."""
        state = AgentState(self.name, self.acceptor.state, self.acceptor.order_state.to_record())
        try:
            await asyncio.get_running_loop().run_in_executor(None, self.journal.save, state)
        except JournalError as error:
            self.journal_error = str(error)
            log.error("the journal is broken: nothing is promised any more", error=str(error))
            raise

    def on_orders_applied(self, revision_before: int) -> None:
        """Log the orders applied since a revision, and have them sent to proxies."""
        order_state = self.acceptor.order_state
        if order_state.revision == revision_before:
            return
        for decided in [each for each in order_state.recent.values() if each.revision > revision_before]:
            self.record_order(decided)
        self.update_roster(roster.RevisionChanged(order_state.revision, self.roster.ready))

    def record_order(self, decided: Decided) -> None:
        """Log a decided order and add it to the history."""
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
        """Synchronize with peers at the interval.

        Orders are sent to proxies only after a majority has answered, or after `start_alone_s`: this agent
        may have missed orders that were decided while it was down.
        """
        started_ms = self.now_ms()
        peers = [name for name in self.fleet if name != self.name]
        turn = 0
        while True:
            if not self.roster.ready:
                # A few random ones at a time: agents that start together must not load each other so much
                # that none answers in time.
                missing = [peer for peer in peers if peer not in self.synced_agents]
                sample = self.random.sample(missing, min(INITIAL_SYNC_PEERS, len(missing)))
                await asyncio.gather(*map(self.sync, sample))
                alone = self.now_ms() - started_ms >= self.start_alone_s * MS_PER_S
                if self.synced or alone:
                    self.become_ready(alone and not self.synced)
            elif peers:
                turn += 1
                await self.sync(peers[turn % len(peers)])
            pause = SYNC_INTERVAL_S if self.roster.ready else INITIAL_SYNC_INTERVAL_S
            await asyncio.sleep(pause * self.random.uniform(*SYNC_JITTER))

    def become_ready(self, alone: bool) -> None:
        """Send orders to proxies from now on; `alone` if no majority of agents has answered."""
        self.alone = alone
        if alone:
            log.warning(
                "no majority of agents was heard: front doors are told what is known here",
                heard=len(self.synced_agents),
                fleet=len(self.fleet),
            )
        self.update_roster(roster.RevisionChanged(self.acceptor.order_state.revision, True))
        for name in list(self.links):
            self.spawn(self.send_orders(name))

    async def sync(self, peer: str) -> None:
        """Take over a peer's state if it is newer, and save it before anything is done with it."""
        try:
            record = await self.fetch(peer, self.acceptor.order_state.revision)
            if record is not None:
                record.check()
                async with self.lock:
                    revision_before = self.acceptor.order_state.revision
                    if self.acceptor.order_state.adopt(record):
                        await self.save()
                        self.add_event("agent", self.name, f"learned revision {record.revision} from {peer}")
                        self.on_orders_applied(revision_before)
            self.synced_agents.add(peer)
        except (OSError, ValueError, JournalError) as error:
            log.debug("a peer was not heard", peer=peer, error=str(error))

    # --- reading ---

    def add_event(self, kind: str, subject: str, text: str) -> None:
        """Add an event to the history and publish it."""
        self.roster.add_event(self.now_ms(), kind, subject, text)
        self.publish_events()

    def publish_events(self) -> None:
        """Send the events since the last call to all watchers."""
        for event in self.events(self.last_published):
            if event.kind == "door":
                log.info("front door", door=event.subject, change=event.text)
            for watcher in self.watchers:
                watcher.push(event)
        self.last_published = self.roster.number

    def events(self, after: int) -> list[Event]:
        """Return the events with a number greater than `after`, as far as they are kept."""
        if after >= self.roster.number:
            return []
        return [event for event in self.roster.history if event.number > after]

    def status(self) -> Status:
        """Return the state of the agent and of its proxies."""
        acceptor = self.acceptor
        return Status(
            self.name,
            self.fleet,
            acceptor.order_state.revision,
            self.synced,
            self.journal_error,
            acceptor.pending(),
            self.roster.proxy_statuses(self.now_ms()),
        )

    async def snapshot(self) -> AgentSnapshot:
        """Return all that a tool needs to give an order."""
        responses, _ = await self.request_all("members")
        ready = ready_servers(response.members or () for response in responses.values())
        return AgentSnapshot(self.status(), self.acceptor.order_state.to_record(), ready)

    async def members(self) -> Members:
        """Return the servers as each proxy sees them."""
        responses, missing = await self.request_all("members")
        members = {name: response.members or () for name, response in responses.items()}
        return Members(self.name, members, missing)

    async def quota(self, customer: str) -> Quota:
        """Return what each proxy knows of a customer's quota."""
        responses, missing = await self.request_all("quota", customer=customer)
        quota = {name: response.quota or () for name, response in responses.items()}
        return Quota(self.name, quota, missing)

    def orders(self) -> Orders:
        """Return the orders in force, the latest ones, and one that is under way."""
        record = self.acceptor.order_state.to_record()
        return Orders(self.name, record.revision, record.in_force, record.recent, self.acceptor.pending())


def log_accepted(state: AcceptorState, by: str) -> None:
    """Log the order that the acceptor has accepted from client `by`."""
    order = state.accepted
    if order is None:
        return
    log.info(
        "order accepted",
        by=by,
        order=order.id,
        verb=order.verb.value,
        subject=order.subject,
        issuer=order.issuer,
        reason=order.reason,
        revision=state.revision,
    )

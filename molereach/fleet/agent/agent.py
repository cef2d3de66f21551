"""The agent: an acceptor with its journal, the front doors of its machine, and what it learns of its peers.

The shell of `agreement`, `roster` and `journal`. One message of the agreement is taken at a time, and its
reply leaves when the journal is on the disk.
"""

import asyncio
import contextlib
from collections.abc import Awaitable, Callable, Coroutine
from pathlib import Path
from random import Random
from typing import Any

import structlog

from molereach.fleet import roster as r
from molereach.fleet.agent.link import REQUEST_TIMEOUT_S, Link, LinkError
from molereach.fleet.agreement import Acceptor, Message
from molereach.fleet.anchored_clock import anchored_unix_ms
from molereach.fleet.api_bodies import AgentSnapshot, Event, Members, Orders, Quota, Status, ready_servers
from molereach.fleet.journal import AgentState, Journal, JournalError
from molereach.fleet.orders import Decided, OrderStateRecord
from molereach.fleet.wire import RequestKind, Response

SCAN_INTERVAL_S = 0.1  # between looks into the folder of sockets, and at how old the doors' words are
HEARTBEAT_INTERVAL_S = 0.3  # between asks for a front door's state
SYNC_INTERVAL_S = 1.0  # between asks of a peer, about
INITIAL_SYNC_INTERVAL_S = 0.2  # the same, until a majority has been heard
INITIAL_SYNC_PEERS = 8  # asked at once, until a majority has been heard
MAX_WATCHERS = 16
MAX_QUEUED_EVENTS = 256  # that wait for a watcher; beyond that they are counted
SOCKET_SUFFIX = ".sock"

log = structlog.get_logger()
FetchState = Callable[[str, int], Awaitable[OrderStateRecord | None]]


class Watcher:
    """Somebody who hears of what happens; one who does not read misses events, and is told how many."""

    def __init__(self) -> None:
        self.queue: asyncio.Queue[Event] = asyncio.Queue(MAX_QUEUED_EVENTS)
        self.missed = 0

    def push(self, event: Event) -> None:
        if self.queue.full():
            self.missed += 1
        else:
            self.queue.put_nowait(event)


class Agent:
    """One agent; `fetch` asks a peer for a book that is past a revision."""

    def __init__(
        self,
        name: str,
        fleet: tuple[str, ...],
        folder: Path,
        journal: Journal,
        fetch: FetchState,
        start_alone_s: float = 3.0,
        random: Random | None = None,
    ) -> None:
        self.name, self.fleet, self.socket_folder, self.journal, self.fetch = (
            name,
            fleet,
            folder,
            journal,
            fetch,
        )
        self.start_alone_s, self.random = start_alone_s, random or Random()
        state = journal.load()
        self.acceptor = Acceptor(state.promised, state.order_state)
        self.roster = r.Roster(name)
        self.now_ms = anchored_unix_ms()
        self.lock = asyncio.Lock()
        self.links: dict[str, Link] = {}
        self.sending_orders: set[str] = set()
        self.synced_agents = {name}  # agents that have told their book since the start
        self.alone = False  # it goes on without a majority
        self.journal_error = ""
        self.watchers: set[Watcher] = set()
        self.last_published = 0  # the last event that watchers have heard
        self.tasks: set[asyncio.Task[Any]] = set()

    @property
    def synced(self) -> bool:
        return len(self.synced_agents) > len(self.fleet) // 2

    # --- life ---

    def start(self) -> None:
        """Begin to look for front doors and to ask peers."""
        self.add_event("agent", self.name, f"starts at revision {self.acceptor.order_state.revision}")
        for job in (self.scan_loop(), self.heartbeat_loop(), self.sync_loop()):
            self.spawn(job)

    async def close(self) -> None:
        for task in list(self.tasks):
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        for link in list(self.links.values()):
            await link.close()
        self.journal.close()

    def spawn(self, job: Coroutine[Any, Any, Any]) -> None:
        task = asyncio.get_running_loop().create_task(job)
        self.tasks.add(task)
        task.add_done_callback(self.on_task_done)

    def on_task_done(self, task: asyncio.Task[Any]) -> None:
        self.tasks.discard(task)
        if not task.cancelled() and (error := task.exception()):
            log.error("a task of the agent failed", exc_info=error)

    async def scan_loop(self) -> None:
        while True:
            self.scan()
            await asyncio.sleep(SCAN_INTERVAL_S)

    def scan(self) -> None:
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
        self.update_roster(r.SocketsListed(names))
        self.update_roster(r.Tick())

    async def heartbeat_loop(self) -> None:
        while True:
            for name in list(self.links):
                self.spawn(self.send_heartbeat(name))
            await asyncio.sleep(HEARTBEAT_INTERVAL_S)

    async def send_heartbeat(self, name: str) -> None:
        with contextlib.suppress(LinkError):  # its age tells
            self.on_response(name, await self.request(name, "state", HEARTBEAT_INTERVAL_S))

    # --- front doors ---

    def update_roster(self, event: r.RosterEvent) -> None:
        for action in self.roster.handle(self.now_ms(), event):
            match action:
                case r.Connect():
                    self.spawn(self.connect(action.proxy))
                case r.SendOrders():
                    self.spawn(self.send_orders(action.proxy))
                case r.Disconnect():
                    self.spawn(self.disconnect(action.proxy))
        self.publish_events()

    async def connect(self, name: str) -> None:
        link = Link(
            lambda state: self.update_roster(r.StateReceived(name, state)),
            lambda why: self.on_disconnected(name, why),
        )
        try:
            await link.open(self.socket_folder / f"{name}{SOCKET_SUFFIX}")
            self.links[name] = link
        except LinkError as error:
            await link.close()
            self.on_disconnected(name, str(error))
            return
        self.update_roster(r.Connected(name))
        try:
            self.on_response(name, await link.request("watch"))
        except LinkError:  # it may be stopped: the connection stays, and its state is asked for again
            if name in self.links:
                self.update_roster(r.RequestTimedOut(name))

    def on_disconnected(self, name: str, why: str) -> None:
        self.links.pop(name, None)
        self.update_roster(r.Disconnected(name, why))

    async def disconnect(self, name: str) -> None:
        if link := self.links.pop(name, None):
            await link.close()

    async def request(
        self,
        name: str,
        what: RequestKind,
        within_s: float = REQUEST_TIMEOUT_S,
        customer: str = "",
        book: OrderStateRecord | None = None,
    ) -> Response:
        if (link := self.links.get(name)) is None:
            raise LinkError("not connected")
        return await link.request(what, within_s, customer, book)

    def on_response(self, name: str, answer: Response) -> None:
        if answer.state:
            self.update_roster(r.StateReceived(name, answer.state))

    async def send_orders(self, name: str) -> None:
        """Tell a front door all orders in force; again once it has answered, where there are newer ones."""
        if name in self.sending_orders:
            return
        self.sending_orders.add(name)
        book = self.acceptor.order_state.to_record()
        try:
            answer = await self.request(name, "put", book=OrderStateRecord(book.revision, book.in_force))
        except LinkError as error:
            log.warning("a front door was not told", door=name, revision=book.revision, error=str(error))
            return
        finally:
            self.sending_orders.discard(name)
        self.on_response(name, answer)

    async def request_all(
        self, what: RequestKind, customer: str = ""
    ) -> tuple[dict[str, Response], dict[str, str]]:
        """The answers of all front doors, and why others gave none."""
        names = [
            view.name for view in self.roster.proxy_statuses(self.now_ms()) if view.reachability != "ended"
        ]
        asks = (self.request(name, what, customer=customer) for name in names)
        found = await asyncio.gather(*asks, return_exceptions=True)
        answers, missing = {}, {}
        for name, answer in zip(names, found, strict=True):
            if isinstance(answer, Response):
                answers[name] = answer
            elif isinstance(answer, LinkError):
                missing[name] = str(answer)
            else:
                raise answer
        return answers, missing

    # --- the agreement ---

    async def handle_message(self, message: Message, by: str = "") -> list[Message]:
        """A message of a tool; JournalError where its reply may not leave. Nothing is told before it is on
        the disk, also where whoever asked has gone."""
        return await asyncio.shield(asyncio.ensure_future(self.handle_message_locked(message, by)))

    async def handle_message_locked(self, message: Message, by: str) -> list[Message]:
        async with self.lock:
            if self.journal_error:
                raise JournalError(self.journal_error)
            acceptor = self.acceptor
            before = acceptor.state, acceptor.order_state.revision
            replies = acceptor.handle(message)
            if (acceptor.state, acceptor.order_state.revision) != before:
                await self.save()
                now, order = acceptor.state, acceptor.state.accepted
                if order and now.accepted_at != before[0].accepted_at:
                    log.info(
                        "order accepted",
                        by=by,
                        order=order.id,
                        verb=order.verb.value,
                        subject=order.subject,
                        issuer=order.issuer,
                        reason=order.reason,
                        revision=now.revision,
                    )
                self.on_orders_applied(before[1])
        return replies

    async def save(self) -> None:
        state = AgentState(self.name, self.acceptor.state, self.acceptor.order_state.to_record())
        try:
            await asyncio.get_running_loop().run_in_executor(None, self.journal.save, state)
        except JournalError as error:
            self.journal_error = str(error)
            log.error("the journal is broken: nothing is promised any more", error=str(error))
            raise

    def on_orders_applied(self, before: int) -> None:
        """Orders that have come into the book."""
        book = self.acceptor.order_state
        if book.revision == before:
            return
        for decided in [each for each in book.recent.values() if each.revision > before]:
            self.record_order(decided)
        self.update_roster(r.RevisionChanged(book.revision, self.roster.ready))

    def record_order(self, decided: Decided) -> None:
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
        """Learn what was decided while it was away; front doors hear of orders once a majority was heard, or
        after a time alone."""
        started_ms, peers, turn = self.now_ms(), [name for name in self.fleet if name != self.name], 0
        while True:
            if not self.roster.ready:
                # A few at a time, and by chance which: agents that start together must not ask each other for
                # so much that nobody is heard in time.
                unheard = [peer for peer in peers if peer not in self.synced_agents]
                asked = self.random.sample(unheard, min(INITIAL_SYNC_PEERS, len(unheard)))
                await asyncio.gather(*map(self.sync, asked))
                alone = self.now_ms() - started_ms >= self.start_alone_s * 1000
                if self.synced or alone:
                    self.become_ready(alone and not self.synced)
            elif peers:
                turn += 1
                await self.sync(peers[turn % len(peers)])
            pause = SYNC_INTERVAL_S if self.roster.ready else INITIAL_SYNC_INTERVAL_S
            await asyncio.sleep(pause * self.random.uniform(0.8, 1.2))

    def become_ready(self, alone: bool) -> None:
        self.alone = alone
        if alone:
            log.warning(
                "no majority of agents was heard: front doors are told what is known here",
                heard=len(self.synced_agents),
                fleet=len(self.fleet),
            )
        self.update_roster(r.RevisionChanged(self.acceptor.order_state.revision, True))
        for name in list(self.links):
            self.spawn(self.send_orders(name))

    async def sync(self, peer: str) -> None:
        """Take over a peer's book that is past ours."""
        try:
            book = await self.fetch(peer, self.acceptor.order_state.revision)
            if book is not None:
                book.check()
                async with self.lock:
                    before = self.acceptor.order_state.revision
                    if self.acceptor.order_state.adopt(book):
                        await self.save()
                        self.add_event("agent", self.name, f"learned revision {book.revision} from {peer}")
                        self.on_orders_applied(before)
            self.synced_agents.add(peer)
        except (OSError, ValueError, JournalError) as error:
            log.debug("a peer was not heard", peer=peer, error=str(error))

    # --- what is told ---

    def add_event(self, kind: str, subject: str, text: str) -> None:
        self.roster.add_event(self.now_ms(), kind, subject, text)
        self.publish_events()

    def publish_events(self) -> None:
        for event in self.events(self.last_published):
            if event.kind == "door":
                log.info("front door", door=event.subject, change=event.text)
            for watcher in self.watchers:
                watcher.push(event)
        self.last_published = self.roster.number

    def events(self, after: int) -> list[Event]:
        """The history past a number, as far as it is kept."""
        if after >= self.roster.number:
            return []
        return [event for event in self.roster.history if event.number > after]

    def status(self) -> Status:
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
        answers, _ = await self.request_all("members")
        ready = ready_servers(answer.members or () for answer in answers.values())
        return AgentSnapshot(self.status(), self.acceptor.order_state.to_record(), ready)

    async def members(self) -> Members:
        answers, missing = await self.request_all("members")
        return Members(self.name, {name: answer.members or () for name, answer in answers.items()}, missing)

    async def quota(self, customer: str) -> Quota:
        answers, missing = await self.request_all("quota", customer=customer)
        return Quota(self.name, {name: answer.quota or () for name, answer in answers.items()}, missing)

    def orders(self) -> Orders:
        state = self.acceptor.order_state.to_record()
        return Orders(self.name, state.revision, state.in_force, state.recent, self.acceptor.pending())

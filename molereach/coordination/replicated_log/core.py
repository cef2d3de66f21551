"""The log at one front door: events in, actions out. The parts it hands them to decide."""

from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass
from typing import Any

from molereach.coordination.interface.core import MessageReceived, Tick
from molereach.coordination.interface.disk import DiskFailed, Persisted
from molereach.coordination.interface.identifiers import NodeInstance
from molereach.coordination.interface.log import ConfirmLeadership, Entry, Propose, StateMachine
from molereach.coordination.replicated_log.acceptor import in_order
from molereach.coordination.replicated_log.catchup import CatchingUp
from molereach.coordination.replicated_log.election import Election
from molereach.coordination.replicated_log.leader import Queue
from molereach.coordination.replicated_log.leading import Leading
from molereach.coordination.replicated_log.learner import OWN, Learner
from molereach.coordination.replicated_log.ledger import Ledger
from molereach.coordination.replicated_log.outbox import Outbox
from molereach.coordination.replicated_log.panel import check
from molereach.coordination.replicated_log.proposals import Proposals
from molereach.coordination.replicated_log.records import Recovered
from molereach.coordination.replicated_log.recovery import Recovery
from molereach.coordination.replicated_log.settings import Settings
from molereach.coordination.replicated_log.starts import Starts
from molereach.coordination.replicated_log.voting import Voting
from molereach.coordination.replicated_log.words import (
    Accept,
    Accepted,
    Ask,
    Ballot,
    Beat,
    Exists,
    Follow,
    Known,
    Leader,
    Message,
    Noted,
    Outbid,
    Panel,
    Piece,
    Poll,
    Polled,
    Prepare,
    Promise,
    Start,
    Want,
    WantPiece,
)


@dataclass(frozen=True, slots=True)
class Learn:
    """Event: decided entries that came another way, in order; a gap is passed over."""

    entries: tuple[Entry, ...]


@dataclass(frozen=True, slots=True)
class CatchUp:
    """Event: ask this front door for what is missing here."""

    source: str


class LogCore:
    """One front door's part in the log: learner always, acceptor with a seat, leader when elected.

    `wall_ms` gives Unix milliseconds for a `now_us`. ValueError where the disk is not the one named, the
    first panel is none, or a machine has the log's own name.
    """

    def __init__(
        self,
        me: NodeInstance,
        disk: str,
        recovered: Recovered,
        panel: Panel,
        machines: Mapping[str, StateMachine],
        settings: Settings,
        draw: Callable[[], float],
        wall_ms: Callable[[int], int],
    ) -> None:
        if recovered.disk not in ("", disk):
            raise ValueError("these records are another disk's")
        if error := check(panel):
            raise ValueError(error)
        if OWN in machines:
            raise ValueError(f"the name {OWN!r} is the log's own")
        self.me, self.settings, self.draw = me, settings, draw
        self.now_us = 0
        self.outbox = Outbox(me)
        self.learner = Learner(tuple(sorted(panel)), machines, settings)
        self.recovery = Recovery(me, disk, recovered.starts + 1, recovered.runs)
        self.ledger = Ledger(settings, self.outbox, self.learner, self.recovery, recovered)
        self.election = Election(settings, draw)
        self.catching_up = CatchingUp(self.ledger)
        self.voting = Voting(self.ledger, self.election, self.catching_up)
        self.starts = Starts(self.ledger, self.election, self.catching_up)
        self.leading = Leading(me, self.ledger, self.election, Queue(settings, wall_ms))
        self.proposals = Proposals(me, settings, self.learner)
        self.settled_at = 0  # the position up to which proposals were looked at

    # --- what is to be seen from outside ---

    @property
    def position(self) -> int:
        return self.learner.position

    @property
    def panel(self) -> Panel:
        return self.learner.panel

    @property
    def leader(self) -> Ballot | None:
        return self.leading.leader

    def digest(self) -> str:
        return self.learner.digest()

    @property
    def wake_us(self) -> int:
        due = [self.leading.wake_us, self.starts.wake_us, self.proposals.wake_us]
        if self.catching_up.source:
            due.append(self.catching_up.due_us)
        return max(min(due), self.now_us + 1) if self.election.heard_us is not None else 0

    # --- events ---

    def handle(self, now_us: int, event: Any) -> Sequence[Any]:  # noqa: ANN401
        """Take one event; what is to be done, in order."""
        self.now_us = now_us
        if self.election.heard_us is None:  # the first: a leader may live
            self.election.hear(now_us)
        self._take(now_us, event)
        self._end(now_us)
        while self.outbox.mine:
            self._heard(now_us, self.me, self.outbox.mine.popleft())
            self._end(now_us)
        return self.outbox.taken()

    def _end(self, now_us: int) -> None:
        """After each step: what follows from it, then what leaves."""
        self.leading.moved(now_us)
        if self.settled_at != self.position:
            self.settled_at = self.position
            for over in self.proposals.settle():
                self.outbox.act(over)
        self.starts.tick(now_us, self.settings.again_us)
        self.leading.announce()
        self._tell(now_us)
        self.leading.step(now_us)
        self.catching_up.tick(now_us, self.settings.again_us)
        self.outbox.flush()

    def _take(self, now_us: int, event: object) -> None:
        match event:
            case Tick():
                self.leading.tick(now_us)
                for over in self.proposals.expire(now_us):
                    self.outbox.act(over)
            case MessageReceived(sender, message):
                if sender.name != self.me.name:
                    self._heard(now_us, sender, message)
            case Persisted(token):
                self.outbox.persisted(token)
                self.outbox.release()
            case Propose():
                self._propose(now_us, event)
            case ConfirmLeadership(token):
                self.leading.confirm(now_us, token)
            case Learn(entries):
                if entries and in_order(entries, entries[0].position - 1):
                    self.ledger.learn(entries)
            case CatchUp(source):
                self.catching_up.want(source)
            case DiskFailed(reason):
                if self.outbox.fail(reason):
                    self.leading.step_down(now_us)
            case _:
                raise TypeError(f"no event of the log: {event!r}")

    def _propose(self, now_us: int, event: Propose) -> None:
        if over := self.proposals.propose(now_us, event):
            self.outbox.act(over)

    def _heard(self, now_us: int, sender: NodeInstance, message: Message) -> None:
        match message:
            case Start():
                self.starts.on_start(sender, message)
            case Noted():
                self.starts.on_noted(sender, message)
            case Exists():
                self.starts.on_exists(message)
            case Poll():
                self.voting.on_poll(now_us, sender, message)
            case Prepare():
                self.voting.on_prepare(now_us, sender, message)
            case Accept():
                self.voting.on_accept(now_us, sender, message)
            case Beat():
                if self.voting.on_beat(now_us, sender, message) and sender != self.me:
                    self._hail(now_us, message.ballot)
            case Polled():
                self.leading.on_polled(now_us, sender, message)
            case Promise():
                self.leading.on_promise(now_us, sender, message)
            case Outbid():
                self.leading.on_outbid(now_us, message)
            case Accepted():
                self.leading.on_accepted(now_us, sender, message)
            case Follow():
                self.leading.on_follow(now_us, sender, message)
            case Want(after):
                self.catching_up.tell(sender.name, after)
            case Known():
                if in_order(message.entries, message.entries[0].position - 1 if message.entries else 0):
                    self.catching_up.on_known(sender.name, message)
            case WantPiece(position, offset):
                self.catching_up.give(sender.name, position, offset)
            case Piece():
                self.catching_up.on_piece(sender.name, message)
            case Ask():
                if message.proposer == sender or any(seat.name == sender.name for seat in self.panel):
                    self.leading.on_ask(sender.name, message)
            case Leader():
                if self.leading.on_leader(message):
                    self.proposals.hurry()

    def _hail(self, now_us: int, ballot: Ballot) -> None:
        """A leader was heard that may still lead."""
        lead = self.leading.leadership
        if lead and ballot > lead.ballot:
            self.leading.step_down(now_us)
        if self.leading.leadership is None and ballot != self.leading.leader:
            self.leading.follow(ballot)
            self.proposals.hurry()

    def _tell(self, now_us: int) -> None:
        """Proposals go to the leader; where it is not known or does not answer, a seat knows better."""
        for ask, told in self.proposals.due(now_us):
            leader = self.leading.leader
            if leader is None or told % 3 == 2:
                seat = self.panel[min(int(self.draw() * len(self.panel)), len(self.panel) - 1)]
                name = seat.name
            else:
                name = leader.name
            self.outbox.say(name, ask)

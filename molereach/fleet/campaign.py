"""An order's way through the fleet, from the tool that gives it to the last front door's word: a core.

It looks at all agents, judges the order against the furthest book, has it agreed by a majority (`agreement`),
tells every agent, and waits until every front door has said that it has the revision, or patience is over.
Its report says of each front door what that door itself said last, and how old that is; what nobody said is
not claimed. It may be ended at any point: the order is then found by its id, and giving it again ends it.
"""

from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field
from enum import Enum
from typing import Literal

import msgspec

from molereach.fleet.agreement import Accept, Behind, Known, Message, Phase, Prepare, Proposer
from molereach.fleet.orders import Book, Decided, Order, Refusal, Verb, Why
from molereach.fleet.view import DoorView, View

LOOK_US = 1_000_000  # for the views of all agents; with a majority of them it goes on after that
RETRY_US = 150_000  # until a ballot is tried again, at least, and up to three times that by chance
PATIENCE = 3  # and as many times as a majority took to be seen: replies of a large fleet take their time
LEAST_TRIES = 20  # within the time for agreeing
POLL_US = 50_000  # between looks at agents whose front doors have not all confirmed
STEP_US = 10_000  # how often the shell is to call when nothing comes


class Verdict(Enum):
    """How giving an order ended."""

    DONE = "done"  # everywhere
    PARTLY = "partly"  # it stands, and not everybody has said that it is carried out
    CONFLICT = "conflict"  # another order stands in its way
    UNREACHABLE = "unreachable"  # no majority of agents: it may or may not come to stand
    REFUSED = "refused"


@dataclass(frozen=True, slots=True)
class Draft:
    """An order before it is known what it is based on; `based_on` None: on what stands at the first look."""

    id: str
    verb: Verb
    subject: str
    issuer: str
    reason: str
    lapses_ms: int = 0
    forced: bool = False
    based_on: int | None = None


@dataclass(frozen=True, slots=True)
class Times:
    """How long to wait, in microseconds."""

    agree_us: int = 5_000_000  # for a majority
    confirm_us: int = 3_000_000  # for the front doors


# --- events and actions ---


@dataclass(frozen=True, slots=True)
class Viewed:
    """An agent's view came."""

    agent: str
    view: View


@dataclass(frozen=True, slots=True)
class Replied:
    """An agent's reply to a message."""

    agent: str
    message: Message


@dataclass(frozen=True, slots=True)
class Silent:
    """An agent could not be asked; `look` if it was for its view."""

    agent: str
    why: str
    look: bool = False


@dataclass(frozen=True, slots=True)
class Tick:
    """Time has passed."""


@dataclass(frozen=True, slots=True)
class Look:
    """Ask an agent for its view."""

    agent: str


@dataclass(frozen=True, slots=True)
class Say:
    """Send an agent a message of the agreement."""

    agent: str
    message: Message


@dataclass(frozen=True, slots=True)
class Step:
    """How far it has come, for people and for tests that cut it there."""

    name: Literal["looking", "judged", "promised", "accepting", "accepted", "decided", "told", "confirming",
                  "reported"]


Event = Viewed | Replied | Silent | Tick
Action = Look | Say | Step


# --- the report ---


class AgentWord(msgspec.Struct, frozen=True):
    """What an agent said last."""

    agent: str
    told: bool  # it knows of the order
    why: str = ""  # it could not be reached, with the reason


class DoorWord(msgspec.Struct, frozen=True):
    """What a front door said last, by its agent."""

    agent: str
    door: str
    carried_out: bool
    reach: str  # as in `view.Reach`, or "unknown"
    revision: int | None  # the last that it is known to have had
    heard_ago_ms: int | None
    why: str = ""


class Report(msgspec.Struct, frozen=True):
    """How an order ended, and what everybody said."""

    verdict: Verdict
    order_id: str
    text: str
    decided: Decided | None = None
    winner: Decided | None = None
    agents: tuple[AgentWord, ...] = ()
    doors: tuple[DoorWord, ...] = ()


class Stage(Enum):
    LOOKING = "looking"
    PROPOSING = "proposing"
    TELLING = "telling"
    OVER = "over"


@dataclass(slots=True)
class Campaign:
    """Gives one order. `run` is drawn anew for each run of the tool; `draws` are numbers from 0 to 1 by
    chance; `expected` names the front doors of each agent, where the fleet's file does."""

    agents: tuple[str, ...]
    draft: Draft
    run: str
    draws: Iterator[float]
    wall_ms: int  # Unix time at the beginning; from then on the monotonic clock counts
    floor: int = 1
    times: Times = Times()
    expected: Mapping[str, tuple[str, ...]] = field(default_factory=dict)
    stage: Stage = Stage.LOOKING
    report: Report | None = None
    begun_us: int = 0
    now_us: int = 0
    pace_us: int = 0
    until_us: int = 0  # of the stage
    look_us: int = 0  # when to look again
    retry_us: int = 0
    views: dict[str, View] = field(default_factory=dict)
    viewed_us: dict[str, int] = field(default_factory=dict)  # what a view says has aged since
    silent: dict[str, str] = field(default_factory=dict)
    looking: set[str] = field(default_factory=set)
    book: Book = field(default_factory=Book)
    order: Order | None = None
    proposer: Proposer | None = None
    decided: Decided | None = None
    lost: tuple[Verdict, str, Decided | None] | None = None  # how it ends once the winner is known
    target: int = 0  # the revision that everybody is to know

    @property
    def majority(self) -> int:
        return len(self.agents) // 2 + 1

    def begin(self, now_us: int) -> list[Action]:
        """Start; then hand in what comes, and a `Tick` every `STEP_US`, until there is a `report`."""
        self.begun_us = self.now_us = now_us
        self.until_us, self.look_us = now_us + self.times.agree_us, now_us + LOOK_US
        return [Step("looking"), *self.look_at(self.agents)]

    def handle(self, now_us: int, event: Event) -> list[Action]:
        """Take one event; what to do now, in order."""
        self.now_us = now_us
        if self.stage is Stage.OVER or getattr(event, "agent", self.agents[0]) not in self.agents:
            return []
        match event:
            case Viewed():
                return self.on_view(now_us, event.agent, event.view)
            case Replied():
                self.silent.pop(event.agent, None)
                return self.on_reply(now_us, event.agent, event.message)
            case Silent():
                self.silent[event.agent] = event.why
                if event.look:
                    self.looking.discard(event.agent)
                return self.on_views(now_us) if self.stage is Stage.LOOKING else []
            case Tick():
                return self.on_tick(now_us)

    def look_at(self, agents: tuple[str, ...]) -> list[Action]:
        """One look at a time for each agent."""
        wanted = [agent for agent in agents if agent not in self.looking]
        self.looking.update(wanted)
        return [Look(agent) for agent in wanted]

    def say(self, messages: list[Message]) -> list[Action]:
        return [Say(agent, message) for message in messages for agent in self.agents]

    # --- looking ---

    def on_view(self, now_us: int, agent: str, view: View) -> list[Action]:
        self.looking.discard(agent)
        if sorted(view.status.fleet) != sorted(self.agents) or view.status.agent != agent:
            named = ", ".join(sorted(view.status.fleet))
            text = f"agent {agent} is '{view.status.agent}' of the fleet {named}: not the fleet of this file"
            return self.finish(Verdict.REFUSED, text)
        self.silent.pop(agent, None)
        self.views[agent], self.viewed_us[agent] = view, now_us
        if self.stage is Stage.LOOKING and len(self.views) == self.majority:
            self.pace_us = PATIENCE * (now_us - self.begun_us)
        if self.stage is Stage.LOOKING:
            return self.on_views(now_us)
        return self.on_confirmation(agent, view) if self.stage is Stage.TELLING else []

    def on_views(self, now_us: int) -> list[Action]:
        """Go on once everybody has answered or failed to, or a majority has in time."""
        over = now_us >= self.look_us
        if len(self.views) >= self.majority and (over or not self.looking):
            return self.judge(now_us)
        return []

    def judge(self, now_us: int) -> list[Action]:
        """The order against the furthest book that was seen."""
        for view in self.views.values():
            self.book.adopt(view.book)
        draft, book = self.draft, self.book
        based_on = draft.based_on if draft.based_on is not None else book.revision
        self.order = self.order or Order(draft.id, draft.verb, draft.subject, draft.issuer, draft.reason,
                                         based_on, draft.lapses_ms, draft.forced)
        order, wall_ms = self.order, self.wall_ms + (now_us - self.begun_us) // 1000
        ready = {name: where for view in self.views.values() for name, where in view.ready.items()}
        found = book.judge(order, wall_ms, ready, self.floor)
        if isinstance(found, Refusal):
            verdict = Verdict.CONFLICT if found.why is Why.CONFLICT or found.winner else Verdict.REFUSED
            if self.proposer is None:
                return self.finish(verdict, found.text, found.winner)
            # Its own ballots may be all that anybody knows the winner by: it is told before the end.
            self.lost = verdict, found.text, found.winner
            return self.tell(now_us)
        if isinstance(found, Decided):
            if (found.order.verb, found.order.subject) != (order.verb, order.subject):
                other = f"{found.order.verb.value} {found.order.subject}"
                text = f"the id {order.id} is of another order: {other}"
                return self.finish(Verdict.REFUSED, text, found)
            return self.stand(now_us, found)
        if not order.forced and (text := self.unheard_of(order)):
            return self.finish(Verdict.REFUSED, text)
        self.stage = Stage.PROPOSING
        self.proposer, self.retry_us = Proposer(self.run, self.agents, order, book.revision + 1), 0
        return [Step("judged"), *self.propose(now_us)]

    def unheard_of(self, order: Order) -> str:
        """A name that is mistyped is not to stand as an order; '' if it is known."""
        if order.verb is Verb.DRAIN and not any(order.subject in view.ready for view in self.views.values()):
            return f"no front door that answers lists {order.subject} as up; --force drains it all the same"
        doors = {door.name for view in self.views.values() for door in view.status.doors}
        doors |= {name for names in self.expected.values() for name in names}
        if order.verb is Verb.HOLD and order.subject not in doors:
            return f"no agent that answers knows a front door {order.subject}; --force holds it all the same"
        return ""

    # --- agreement ---

    def propose(self, now_us: int) -> list[Action]:
        """Begin, or go on: the same ballot to those who have not answered, a higher one after an outbid.

        A new ballot for each try would outbid the replies that are still on their way from a large fleet.
        """
        proposer = self.proposer
        assert proposer is not None
        pace_us = max(RETRY_US, min(self.pace_us, self.times.agree_us // LEAST_TRIES))
        begun, self.retry_us = self.retry_us, now_us + round(pace_us * (1 + 2 * next(self.draws)))
        if not begun or proposer.outbid >= proposer.ballot.number:
            return self.say(proposer.begin())
        answered = proposer.promises if proposer.phase is Phase.PREPARING else proposer.accepts
        missing = [agent for agent in self.agents if agent not in answered]
        return [action for agent in missing for action in self.again(agent, proposer)]

    def on_reply(self, now_us: int, agent: str, message: Message) -> list[Action]:
        proposer = self.proposer
        if self.stage is not Stage.PROPOSING or proposer is None:
            return []
        if isinstance(message, Behind):
            return [Say(agent, Known(base=self.book.state())), *self.again(agent, proposer)]
        before, accepts = proposer.phase, len(proposer.accepts)
        actions = self.say(proposer.handle(agent, message))
        if before is Phase.PREPARING and proposer.phase is Phase.ACCEPTING:
            actions = [Step("promised"), *actions, Step("accepting")]
        if not accepts and proposer.accepts and not proposer.finished:
            actions.append(Step("accepted"))
        if not proposer.finished:
            return actions
        if proposer.outcome:
            self.book.learn(proposer.outcome)
        if proposer.overtaken:
            self.book.adopt(proposer.overtaken)
        if proposer.phase is Phase.DONE and proposer.outcome:
            return [Step("decided"), *actions, Step("told"), *self.stand(now_us, proposer.outcome)]
        return [*actions, *self.judge(now_us)]

    def again(self, agent: str, proposer: Proposer) -> list[Action]:
        """What an agent that was behind could not judge."""
        if proposer.phase is Phase.PREPARING:
            return [Say(agent, Prepare(proposer.revision, proposer.ballot))]
        if proposer.phase is Phase.ACCEPTING and proposer.chosen:
            return [Say(agent, Accept(proposer.revision, proposer.ballot, proposer.chosen))]
        return []

    # --- telling ---

    def stand(self, now_us: int, decided: Decided) -> list[Action]:
        """It is decided; now everybody is to know, and to say that it is carried out."""
        self.decided = decided
        return [Step("confirming"), *self.tell(now_us, decided.revision)]

    def tell(self, now_us: int, revision: int | None = None) -> list[Action]:
        """Have everybody know the book up to a revision; all of it by default."""
        self.stage, self.target = Stage.TELLING, revision or self.book.revision
        self.until_us, self.look_us = now_us + self.times.confirm_us, now_us
        self.views.clear()
        return [*self.say([Known(base=self.book.state())]), *self.on_tick(now_us)]

    def on_confirmation(self, agent: str, view: View) -> list[Action]:
        if view.book.revision < self.target:
            return [Say(agent, Known(base=self.book.state()))]
        if self.lost and self.told() >= self.majority:
            return self.finish(*self.lost)
        if not self.lost and all(self.settled(agent) for agent in self.agents):
            return self.finish(*self.verdict())
        return []

    def told(self) -> int:
        """How many agents have said that they know the target."""
        return sum(view.book.revision >= self.target for view in self.views.values())

    def settled(self, agent: str) -> bool:
        """Whether the agent and all its front doors have said that they have the order."""
        view, revision = self.views.get(agent), self.target
        if view is None or view.book.revision < revision:
            return False
        seen = {door.name: door for door in view.status.doors}
        return all(door.revision >= revision or door.reach == "ended" for door in seen.values()) and all(
            name in seen for name in self.expected.get(agent, ()))

    # --- time, and the end ---

    def on_tick(self, now_us: int) -> list[Action]:
        if now_us >= self.until_us and self.lost:
            verdict, text, winner = self.lost
            return self.finish(verdict, f"{text}; {self.knowing()}", winner)
        if now_us >= self.until_us:
            return self.finish(*self.verdict())
        if self.stage is Stage.LOOKING:
            again = tuple(agent for agent in self.silent if agent not in self.views)
            return self.on_views(now_us) or (self.look_at(again) if now_us >= self.look_us else [])
        if self.stage is Stage.PROPOSING:
            return self.propose(now_us) if now_us >= self.retry_us else []
        if now_us < self.look_us:
            return []
        self.look_us = now_us + POLL_US
        return self.look_at(tuple(agent for agent in self.agents if not self.settled(agent)))

    def knowing(self) -> str:
        return f"only {self.told()} of {len(self.agents)} agents have said that they know it"

    def verdict(self) -> tuple[Verdict, str]:
        """What can be said when time is over, or everybody has confirmed."""
        if self.decided is None:
            heard = len(self.agents) - len(self.silent)
            text = f"{heard} of {len(self.agents)} agents answered, {self.majority} must agree"
            if self.proposer and self.proposer.phase is Phase.ACCEPTING:
                text += f"; {len(self.proposer.accepts)} said that they accepted it: it may yet come to stand"
            return Verdict.UNREACHABLE, text
        what = f"{self.decided.order.verb.value} {self.decided.order.subject}"
        stands = f"{what} stands at revision {self.decided.revision}"
        if self.told() < self.majority:
            return Verdict.UNREACHABLE, f"{stands}; {self.knowing()}"
        missing = [word.door for word in self.door_words() if not word.carried_out and word.reach != "ended"]
        if not missing and self.told() == len(self.agents):
            return Verdict.DONE, stands
        away = [word.agent for word in self.agent_words() if not word.told]
        return Verdict.PARTLY, "; ".join([stands, *(f"front door {name} has not said that it has it"
                                                    for name in missing),
                                          *(f"agent {name} has not said that it knows it" for name in away)])

    def finish(self, verdict: Verdict, text: str, winner: Decided | None = None) -> list[Action]:
        self.stage = Stage.OVER
        if winner is None and self.decided and self.draft.id != self.decided.order.id:
            winner = self.decided
        self.report = Report(verdict, self.draft.id, text, self.decided, winner,
                             tuple(self.agent_words()), tuple(self.door_words()))
        return [Step("reported")]

    def agent_words(self) -> Iterator[AgentWord]:
        for agent in self.agents:
            view = self.views.get(agent)
            told = bool(self.decided and view and view.book.revision >= self.decided.revision)
            yield AgentWord(agent, told, self.silent.get(agent, ""))

    def door_words(self) -> Iterator[DoorWord]:
        """What each front door said last, also of those that only the fleet's file names."""
        for agent in self.agents:
            view = self.views.get(agent)
            seen = view.status.doors if view else ()
            yield from (self.door_word(agent, door) for door in seen)
            why = "its agent does not answer" if view is None else "its agent has never seen it"
            for name in self.expected.get(agent, ()):
                if name not in {door.name for door in seen}:
                    yield DoorWord(agent, name, False, "unknown", None, None, why)

    def door_word(self, agent: str, door: DoorView) -> DoorWord:
        done = bool(self.decided and door.state and door.revision >= self.decided.revision)
        revision = door.revision if door.state else None
        since_ms = (self.now_us - self.viewed_us[agent]) // 1000
        heard = None if door.heard_ago_ms is None else door.heard_ago_ms + since_ms
        return DoorWord(agent, door.name, done, door.reach, revision, heard, door.why)

"""An order's way through the fleet, from the tool that gives it to the last front door's word: a core.

It looks at all agents, judges the order against the furthest book, has it agreed by a majority, tells every
agent, and waits until every front door has said that it has the revision, or patience is over. It may be
ended at any point: the order is then found by its id, and giving it again ends it.
"""

from collections.abc import Iterator, Mapping
from enum import Enum

from molereach.fleet.agreement import Behind, Known, Message, Phase
from molereach.fleet.api_bodies import View
from molereach.fleet.orders import Decided
from molereach.fleet.rollout import events as ev
from molereach.fleet.rollout.account import Account
from molereach.fleet.rollout.ballots import Ballots, again, take
from molereach.fleet.rollout.judgment import Judgment, Lost
from molereach.fleet.rollout.report import Report, Verdict
from molereach.fleet.rollout.sight import Sight

LOOK_US = 1_000_000  # for the views of all agents; with a majority of them it goes on after that
POLL_US = 50_000  # between looks at agents whose front doors have not all confirmed
STEP_US = 10_000  # how often the shell is to call when nothing comes


class Stage(Enum):
    """Where an order stands on its way."""

    LOOKING = "looking"
    PROPOSING = "proposing"
    TELLING = "telling"
    OVER = "over"


class Campaign:
    """Gives one order. `run` is drawn anew for each run of the tool; `draws` are numbers from 0 to 1 by
    chance; `expected` names the front doors of each agent, where the fleet's file does."""

    def __init__(
        self,
        agents: tuple[str, ...],
        draft: ev.Draft,
        run: str,
        draws: Iterator[float],
        wall_ms: int,
        floor: int = 1,
        times: ev.Times | None = None,
        expected: Mapping[str, tuple[str, ...]] | None = None,
    ) -> None:
        self.agents, self.draft, self.times = agents, draft, times or ev.Times()
        self.wall_ms = wall_ms  # Unix time at the beginning; from then on the monotonic clock counts
        self.sight = Sight(expected or {})
        self.judgment = Judgment(draft, floor)
        self.ballots = Ballots(run, draws, self.times.agree_us)
        self.stage = Stage.LOOKING
        self.begun_us = self.now_us = 0
        self.until_us = self.look_us = 0  # the stage's end, and when to look again
        self.target = 0  # the revision that everybody is to know
        self.decided: Decided | None = None
        self.lost: Lost | None = None  # how it ends once the winner is known
        self.report: Report | None = None

    @property
    def majority(self) -> int:
        return len(self.agents) // 2 + 1

    def begin(self, now_us: int) -> list[ev.Action]:
        """Start; then hand in what comes, and a `Tick` every `STEP_US`, until there is a `report`."""
        self.begun_us = self.now_us = now_us
        self.until_us, self.look_us = now_us + self.times.agree_us, now_us + LOOK_US
        return [ev.Step("looking"), *self.sight.look_at(self.agents)]

    def handle(self, now_us: int, event: ev.Event) -> list[ev.Action]:
        """Take one event; what to do now, in order."""
        self.now_us = now_us
        if self.stage is Stage.OVER or getattr(event, "agent", self.agents[0]) not in self.agents:
            return []
        match event:
            case ev.Viewed():
                return self.on_view(now_us, event.agent, event.view)
            case ev.Replied():
                self.sight.answered(event.agent)
                return self.on_reply(now_us, event.agent, event.message)
            case ev.Silent():
                self.sight.failed(event.agent, event.why, event.look)
                return self.on_views(now_us) if self.stage is Stage.LOOKING else []
            case ev.Tick():
                return self.on_tick(now_us)

    # --- looking ---

    def on_view(self, now_us: int, agent: str, view: View) -> list[ev.Action]:
        if sorted(view.status.fleet) != sorted(self.agents) or view.status.agent != agent:
            named = ", ".join(sorted(view.status.fleet))
            text = f"agent {agent} is '{view.status.agent}' of the fleet {named}: not the fleet of this file"
            return self.finish(Verdict.REFUSED, text)
        self.sight.saw(now_us, agent, view)
        if self.stage is Stage.LOOKING and len(self.sight.views) == self.majority:
            self.ballots.majority_took(now_us - self.begun_us)
        if self.stage is Stage.LOOKING:
            return self.on_views(now_us)
        return self.on_confirmation(agent, view) if self.stage is Stage.TELLING else []

    def on_views(self, now_us: int) -> list[ev.Action]:
        """Go on once everybody has answered or failed to, or a majority has in time."""
        over = now_us >= self.look_us
        if len(self.sight.views) >= self.majority and (over or not self.sight.looking):
            return self.judge(now_us)
        return []

    def judge(self, now_us: int) -> list[ev.Action]:
        """The order against the furthest book that was seen."""
        judgment, wall_ms = self.judgment, self.wall_ms + (now_us - self.begun_us) // 1000
        judgment.adopt(self.sight.views)
        found = judgment.judge(wall_ms, self.sight.ready())
        if isinstance(found, Lost):
            if self.ballots.proposer is None:
                return self.finish(found.verdict, found.text, found.winner)
            # Its own ballots may be all that anybody knows the winner by: it is told before the end.
            self.lost = found
            return self.tell(now_us)
        if isinstance(found, Decided):
            text = judgment.other(found)
            return self.finish(Verdict.REFUSED, text, found) if text else self.stand(now_us, found)
        order = judgment.made()
        if not order.forced and (text := self.sight.unheard_of(order)):
            return self.finish(Verdict.REFUSED, text)
        self.stage = Stage.PROPOSING
        self.ballots.open(self.agents, order, judgment.book.revision + 1)
        return [ev.Step("judged"), *self.ballots.propose(now_us)]

    # --- agreement ---

    def on_reply(self, now_us: int, agent: str, message: Message) -> list[ev.Action]:
        proposer, book = self.ballots.proposer, self.judgment.book
        if self.stage is not Stage.PROPOSING or proposer is None:
            return []
        if isinstance(message, Behind):
            return [ev.Say(agent, Known(base=book.state())), *again(agent, proposer)]
        actions = take(proposer, agent, message)
        if not proposer.finished:
            return actions
        self.judgment.learn(proposer.outcome)
        if proposer.overtaken:
            book.adopt(proposer.overtaken)
        if proposer.phase is Phase.DONE and proposer.outcome:
            return [ev.Step("decided"), *actions, ev.Step("told"), *self.stand(now_us, proposer.outcome)]
        return [*actions, *self.judge(now_us)]

    # --- telling ---

    def stand(self, now_us: int, decided: Decided) -> list[ev.Action]:
        """It is decided; now everybody is to know, and to say that it is carried out."""
        self.decided = decided
        return [ev.Step("confirming"), *self.tell(now_us, decided.revision)]

    def tell(self, now_us: int, revision: int | None = None) -> list[ev.Action]:
        """Have everybody know the book up to a revision; all of it by default."""
        self.stage, self.target = Stage.TELLING, revision or self.judgment.book.revision
        self.until_us, self.look_us = now_us + self.times.confirm_us, now_us
        self.sight.forget()
        known = Known(base=self.judgment.book.state())
        return [*ev.to_all(self.agents, [known]), *self.on_tick(now_us)]

    def on_confirmation(self, agent: str, view: View) -> list[ev.Action]:
        if view.book.revision < self.target:
            return [ev.Say(agent, Known(base=self.judgment.book.state()))]
        if self.lost and self.sight.told(self.target) >= self.majority:
            return self.finish(self.lost.verdict, self.lost.text, self.lost.winner)
        if not self.lost and all(self.sight.settled(agent, self.target) for agent in self.agents):
            return self.finish(*self.account().verdict())
        return []

    # --- time, and the end ---

    def on_tick(self, now_us: int) -> list[ev.Action]:
        if now_us >= self.until_us and self.lost:
            text = f"{self.lost.text}; {self.account().knowing()}"
            return self.finish(self.lost.verdict, text, self.lost.winner)
        if now_us >= self.until_us:
            return self.finish(*self.account().verdict())
        if self.stage is Stage.LOOKING:
            unseen = self.sight.unseen()
            return self.on_views(now_us) or (self.sight.look_at(unseen) if now_us >= self.look_us else [])
        if self.stage is Stage.PROPOSING:
            return self.ballots.tick(now_us)
        if now_us < self.look_us:
            return []
        self.look_us = now_us + POLL_US
        unsettled = (agent for agent in self.agents if not self.sight.settled(agent, self.target))
        return self.sight.look_at(tuple(unsettled))

    def account(self) -> Account:
        """What can be said now."""
        return Account(self.agents, self.sight, self.ballots.proposer, self.decided, self.target, self.now_us)

    def finish(self, verdict: Verdict, text: str, winner: Decided | None = None) -> list[ev.Action]:
        self.stage = Stage.OVER
        if winner is None and self.decided and self.draft.id != self.decided.order.id:
            winner = self.decided
        account = self.account()
        self.report = Report(
            verdict,
            self.draft.id,
            text,
            self.decided,
            winner,
            tuple(account.agent_words()),
            tuple(account.door_words()),
        )
        return [ev.Step("reported")]

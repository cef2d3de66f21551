"""The tree at one front door: pulses, entries and grants down, asks up, a parent that is true to the leader.

Any tree is safe: a word that is lost or comes twice costs time only, and a stale ballot never replaces a
newer one. Source: docs/design/council.md, "How entries reach all".
"""

from collections.abc import Callable, Iterable
from typing import Any

from molereach.coordination.dissemination.beat import Beat
from molereach.coordination.dissemination.listening import Listening
from molereach.coordination.dissemination.settings import Settings
from molereach.coordination.dissemination.telling import Actions, Telling
from molereach.coordination.dissemination.words import (
    Down,
    Fetch,
    Gathered,
    Give,
    Grown,
    Learn,
    Mine,
    Parent,
    Redirect,
    RenewalGrant,
    Up,
    View,
    Whom,
)
from molereach.coordination.interface.core import NEVER_US, MessageReceived, SendMessage, Tick
from molereach.coordination.interface.identifiers import MAX_MEMBERS, NodeInstance


class Spread:
    """Decides who tells whom. A `Core` of the interface."""

    def __init__(self, me: NodeInstance, settings: Settings, draw: Callable[[], float]) -> None:
        self.me, self.settings = me, settings
        self.listening = Listening(me, settings, draw)
        self.standing, self.above = self.listening.standing, self.listening.above
        self.below = Telling(settings, self.standing, self.above)
        self.beat = Beat(settings)
        self.parent: str | None = None  # as was last told by `Parent`
        self.number = 0  # of the last pulse that was made here
        self.held: dict[str, RenewalGrant] = {}  # at the leader, for the next pulse
        self.fetched_us = -settings.fetch_us
        self.out: Actions = []

    @property
    def wake_us(self) -> int:
        wake = self.beat.wake_us(self.below.children.all_spoke)
        return wake if self.standing.leads else min(wake, self.above.until_us, self.above.home_us)

    def handle(self, now_us: int, event: Any) -> Actions:  # noqa: ANN401
        """Take one event; what is to be done, in order."""
        match event:
            case MessageReceived():
                if not self.standing.void(event.sender):
                    self.heard(now_us, event.sender, event.message)
            case View():
                self.view(now_us, event)
            case Grown():
                self.below.grown(event, self.out)
            case Mine():
                if event.ask.name == self.me.name and event.ask.instance_number == self.me.number:
                    self.below.gather.mine(event.ask)
            case Give():
                self.give(now_us, event.grants)
            case Tick():
                pass
        self.tick(now_us)
        out, self.out = self.out, []
        return out

    # --- time ---

    def tick(self, now: int) -> None:
        if self.standing.leads:
            if now >= self.beat.pulse_us:
                self.make_pulse(now)
        else:
            self.beat.pulse_us = NEVER_US
            if self.above.doubted(now):
                self.listening.search(now, self.below.children.table)
            if home := self.above.home(now, self.standing.ranks):
                self.out.append(SendMessage(home, Whom()))
        moved = self.above.name != self.parent
        if moved:
            self.parent = self.above.name
            self.out.append(Parent(self.parent))
        if self.beat.speaks(now, self.below.children.all_spoke) or (moved and self.parent is not None):
            self.up(now)

    def make_pulse(self, now: int) -> None:
        self.number += 1
        self.beat.pulse_us = now + self.settings.beat_us
        self.above.mark = (self.standing.ballot, self.number)
        held, self.held = self.held, {}
        self.pulse(now, held.values())

    def pulse(self, now: int, grants: Iterable[RenewalGrant]) -> None:
        self.below.pulse(now, grants, self.out)
        self.beat.began(now, self.standing.ballot, self.above.depth)

    def up(self, now: int) -> None:
        """What was gathered goes up; at the leader it is there."""
        asks = self.below.gather.flush(now)
        if self.standing.leads:
            self.beat.gathered()
            if asks:
                self.out.append(Gathered(asks))
            return
        self.beat.spoke(now)
        if self.above.name is not None:
            word = Up(self.below.pass_on.applied, self.below.children.below, asks)
            self.out.append(SendMessage(self.above.name, word))

    def view(self, now: int, view: View) -> None:
        begins = self.listening.view(now, view, self.below.children.table)
        for name, life in self.standing.alive.items():
            self.below.children.drop(name, life)
        if begins:
            self.held = {}
            self.make_pulse(now)

    # --- what others say ---

    def heard(self, now: int, sender: NodeInstance, message: Any) -> None:  # noqa: ANN401
        match message:
            case Up():
                self.heard_up(now, sender, message)
            case Down():
                self.heard_down(now, sender, message)
            case Redirect():
                self.listening.redirected(now, sender.name, message, self.below.children.table)
            case Whom():
                room = self.below.children.room_for(sender.name, self.standing.ranks.children)
                if room and sender.name != self.above.name and self.listening.rooted(now):
                    self.below.redirect(sender.name, self.me.name, self.out)

    def heard_up(self, now: int, sender: NodeInstance, up: Up) -> None:
        children = self.below.children
        if children.older(sender):
            return
        if not children.heard(now, sender, up):
            taken, gone = children.take(now, sender, up, self.standing.ranks.children)
            if gone:
                self.below.redirect(gone, children.lightest(gone), self.out)
            if not taken:
                self.below.redirect(sender.name, children.lightest(sender.name), self.out)
                return
            if self.listening.rooted(now):
                self.below.down(sender.name, self.out, with_entries=True)
        self.below.gather.take(now, sender.name, up.asks, self.standing.alive)
        if self.standing.leads and self.beat.over:  # too late for this beat's others
            self.up(now)

    def heard_down(self, now: int, sender: NodeInstance, down: Down) -> None:
        if down.ballot < self.standing.ballot:  # it still follows one that was replaced
            self.below.redirect(sender.name, self.standing.leader, self.out)
            return
        newer = self.listening.told(now, down.ballot, down.leader)
        if self.standing.leads or down.leader != self.standing.leader:
            return
        pulse = self.listening.heard(now, sender.name, (down.ballot, down.number), down.depth, newer)
        if pulse and self.beat.passes(now, down.ballot):
            self.pulse(now, down.grants)
        else:
            self.below.grants(down.grants, self.out)
        self.learn(now, sender.name, down)

    def learn(self, now: int, sender: str, down: Down) -> None:
        if news := self.below.pass_on.news(down.entries):
            self.out.append(Learn(news))
        if self.below.pass_on.behind(down.decided) and now - self.fetched_us >= self.settings.fetch_us:
            self.fetched_us = now
            self.out.append(Fetch(sender))

    # --- what the keeper of sessions gave ---

    def give(self, now: int, grants: tuple[RenewalGrant, ...]) -> None:
        """What comes in time for the next pulse goes with it; what is late goes at once."""
        if not self.standing.leads:
            return
        if not self.beat.in_time(now):
            self.below.grants(grants[:MAX_MEMBERS], self.out)
            return
        self.below.grants([grant for grant in grants if grant.name == self.me.name], self.out)
        for grant in grants:
            held = self.held.get(grant.name)
            newer = held is None or (grant.instance_number, grant.number) >= (
                held.instance_number,
                held.number,
            )
            if grant.name != self.me.name and newer and (held or len(self.held) < MAX_MEMBERS):
                self.held[grant.name] = grant

"""The tree at one front door: pulses, entries and grants down, asks up, a parent that is true to the leader.

Any tree is safe: a word that is lost or comes twice costs time only, and a stale ballot never replaces a
newer one. Source: docs/design/council.md, "How entries reach all".
"""

from collections.abc import Callable, Iterable
from typing import Any

from molereach.council.interface import MOST_DOORS, NEVER_US, Entry, Heard, Life, Say, Tick
from molereach.council.spread import words
from molereach.council.spread.children import Children
from molereach.council.spread.gather import Gather
from molereach.council.spread.parent import Above
from molereach.council.spread.pass_on import PassOn
from molereach.council.spread.ranks import Ranks
from molereach.council.spread.settings import Settings
from molereach.council.spread.words import (
    MOST_DEPTH,
    Action,
    Down,
    Fetch,
    Gathered,
    Give,
    Grant,
    Granted,
    Grown,
    Learn,
    Mine,
    Parent,
    Redirect,
    Up,
    View,
    Whom,
)


class Spread:
    """Decides who tells whom. A `Core` of the interface."""

    def __init__(self, me: Life, settings: Settings, draw: Callable[[], float]) -> None:
        self.me, self.settings = me, settings
        self.alive: dict[str, int] = {}
        self.panel: tuple[str, ...] = ()
        self.leader: str | None = None
        self.ballot = 0
        self.leads = False
        self.ranks = Ranks(me.name, fan=settings.fan)
        self.children = Children(settings)
        self.above = Above(settings, draw)
        self.gather = Gather(me.name, 4 * settings.beat_us)
        self.pass_on = PassOn(settings)
        self.depth = 0
        self.number = 0  # of the last pulse that was made here
        self.held: dict[str, Grant] = {}  # at the leader, for the next pulse
        self.pulse_us = NEVER_US  # the leader's next
        self.pulsed_us = -settings.beat_us
        self.pulsed_ballot = 0
        self.due_us = NEVER_US  # the first moment for the next word up, and the last
        self.late_us = NEVER_US
        self.spoke_us = -settings.beat_us
        self.fetched_us = -settings.fetch_us
        self.out: list[Action | Say] = []

    @property
    def wake_us(self) -> int:
        up = self.due_us if self.children.all_spoke else self.late_us
        return min(up, self.pulse_us) if self.leads else min(up, self.above.until_us, self.above.home_us)

    def handle(self, now_us: int, event: Any) -> list[Action | Say]:  # noqa: ANN401
        """Take one event; what is to be done, in order."""
        match event:
            case Heard():
                if event.sender.name != self.me.name:
                    self.heard(now_us, event.sender, event.message)
            case View():
                self.view(now_us, event)
            case Grown():
                self.grown(event)
            case Mine():
                if event.ask.name == self.me.name and event.ask.life == self.me.number:
                    self.gather.mine(event.ask)
            case Give():
                self.give(now_us, event.grants)
            case Tick():
                pass
        self.tick(now_us)
        out, self.out = self.out, []
        return out

    def rooted(self, now: int) -> bool:
        """Whether what is said here comes from the newest leader known."""
        return self.leads or (self.above.rooted(now) and self.above.mark[0] == self.ballot)

    # --- time ---

    def tick(self, now: int) -> None:
        if self.leads:
            if now >= self.pulse_us:
                self.make_pulse(now)
        else:
            if self.above.doubted(now):
                self.above.search(now, self.ranks, self.panel, self.children.table)
                self.attached(now)
            if home := self.above.home(now, self.ranks):
                self.out.append(Say(home, Whom()))
        if now >= self.late_us or (now >= self.due_us and self.children.all_spoke):
            self.up(now)

    def make_pulse(self, now: int) -> None:
        self.number += 1
        self.pulse_us = now + self.settings.beat_us
        self.above.mark = (self.ballot, self.number)
        held, self.held = self.held, {}
        self.pulse(now, held.values())

    def pulse(self, now: int, grants: Iterable[Grant]) -> None:
        """A beat begins here: tell all below, and await their words."""
        self.pulsed_us, self.pulsed_ballot = now, self.ballot
        self.pass_on.pulse()
        self.children.pulse(now)
        self.grant(grants, to_all=True)
        self.due_us = max(now + self.settings.hold_us, self.spoke_us + self.settings.beat_us // 2)
        self.late_us = self.due_us + self.settings.late_us(self.depth)

    def up(self, now: int) -> None:
        """What was gathered goes up; at the leader it is there."""
        asks = self.gather.flush(now)
        if self.leads:
            self.due_us = self.late_us = NEVER_US
            if asks:
                self.out.append(Gathered(asks))
            return
        self.spoke_us = now
        self.due_us = self.late_us = now + self.settings.beat_us * 9 // 8  # unless a pulse comes
        if self.above.name is not None:
            word = Up(self.pass_on.applied, self.children.below, asks)
            self.out.append(Say(self.above.name, word))

    # --- what is known of the world ---

    def view(self, now: int, view: View) -> None:
        self.alive = {life.name: life.number for life in view.alive[:MOST_DOORS]}
        self.panel = view.panel[:MOST_DOORS]
        for life in view.alive[:MOST_DOORS]:
            self.children.drop(life.name, life.number)
        before = self.ranks.parent
        newer = view.ballot > self.ballot
        if newer or (view.ballot == self.ballot and (self.leads or view.leader is not None)):
            self.follow(now, view.ballot, view.leader, view.leader == self.me.name)
        else:
            self.follow(now, self.ballot, self.leader, self.leads)
        if not self.leads and self.above.name is None:
            self.above.until_us = now
        parent = self.ranks.parent
        if self.leads or parent is None or parent == self.above.name:
            return
        if (newer and view.leader is not None) or (parent != before and not self.rooted(now)):
            self.attach(now, parent)

    def follow(self, now: int, ballot: int, leader: str | None, leads: bool) -> None:
        """Take this leader of this ballot, which is no older than what was known."""
        newer, began, ended = ballot > self.ballot, leads and not self.leads, self.leads and not leads
        before = self.ranks.parent
        self.ballot, self.leader, self.leads = ballot, leader, leads
        self.ranks = Ranks(self.me.name, self.alive, leader, self.settings.fan)
        if began or (leads and newer):
            if began and self.above.name is not None:
                self.out.append(Parent(None))
            self.above.leave()
            self.depth = 0
            self.make_pulse(now)
        elif ended:
            self.held, self.pulse_us = {}, NEVER_US
            self.above.search(now, self.ranks, self.panel, self.children.table)
            self.attached(now)
        elif not leads and (newer or self.ranks.parent != before):
            self.above.home_soon(now)
            if newer:
                self.above.tries = 0

    def attach(self, now: int, name: str) -> None:
        changed = name != self.above.name
        self.above.attach(now, name)
        if changed:
            self.attached(now)

    def attached(self, now: int) -> None:
        """Say so to the new parent at once."""
        self.out.append(Parent(self.above.name))
        self.up(now)

    def grown(self, grown: Grown) -> None:
        if not self.pass_on.grown(grown.position, grown.entries):
            return
        for name, child in self.children.table.items():
            if child.applied < self.pass_on.applied:
                self.say_down(name, self.pass_on.after(child.applied))

    # --- what others say ---

    def heard(self, now: int, sender: Life, message: Any) -> None:  # noqa: ANN401
        if self.alive.get(sender.name, 0) > sender.number:  # an earlier life; its words are void
            return
        match message:
            case Up():
                self.heard_up(now, sender, message)
            case Down():
                self.heard_down(now, sender, message)
            case Redirect():
                self.heard_redirect(now, sender, message)
            case Whom():
                mine = sender.name != self.above.name and self.rooted(now)
                if mine and self.children.room_for(sender.name, self.ranks.children):
                    self.redirect(sender.name, self.me.name)

    def heard_up(self, now: int, sender: Life, up: Up) -> None:
        if self.children.older(sender):
            return
        if not self.children.heard(now, sender, up):
            taken, gone = self.children.take(now, sender, up, self.ranks.children)
            if gone:
                self.redirect(gone, self.children.lightest(gone))
            if not taken:
                self.redirect(sender.name, self.children.lightest(sender.name))
                return
            if self.rooted(now):
                self.say_down(sender.name, self.pass_on.after(up.applied))
        self.gather.take(now, sender.name, up.asks, self.alive)
        if self.leads and self.due_us == NEVER_US:  # too late for this beat's others
            self.up(now)

    def heard_down(self, now: int, sender: Life, down: Down) -> None:
        if down.ballot < self.ballot:
            if self.leader is not None:  # it still follows one that was replaced
                self.redirect(sender.name, self.leader)
            return
        if down.leader == self.me.name or (self.leads and down.ballot == self.ballot):
            return
        newer = down.ballot > self.ballot or self.leader is None
        if newer:
            self.follow(now, down.ballot, down.leader, False)
        mark = (down.ballot, down.number)
        # In a search, one that was asked before may have found the leader since. Who goes home stays at that.
        lost = (newer or self.above.tries > 0) and not self.rooted(now)
        if lost and mark > self.above.mark and sender.name != self.above.name:
            self.above.attach(now, sender.name)
            self.out.append(Parent(sender.name))
        if sender.name == self.above.name:
            self.from_parent(now, mark, down)
        else:
            self.grant(down.grants)
        if news := self.pass_on.news(down.entries):
            self.out.append(Learn(news))
        if self.pass_on.behind(down.decided) and now - self.fetched_us >= self.settings.fetch_us:
            self.fetched_us = now
            self.out.append(Fetch(sender.name))

    def from_parent(self, now: int, mark: tuple[int, int], down: Down) -> None:
        depth = min(down.depth + 1, MOST_DEPTH)
        # After a stop all pulses of that time come at once: one of them is passed on.
        beat = now - self.pulsed_us >= self.settings.beat_us // 2 or mark[0] > self.pulsed_ballot
        if self.above.heard(now, mark, depth) and beat:
            self.depth = depth
            if self.above.name != self.ranks.parent and self.above.home_us == NEVER_US:
                self.above.home_soon(now)
            self.pulse(now, down.grants)
        else:
            self.grant(down.grants)

    def heard_redirect(self, now: int, sender: Life, message: Redirect) -> None:
        if message.ballot > self.ballot and message.leader not in (None, self.me.name):
            self.follow(now, message.ballot, message.leader, False)
            if self.ranks.parent is not None:
                self.attach(now, self.ranks.parent)
            return
        if self.leads or message.parent == self.me.name:
            return
        if sender.name == self.above.name and message.parent != sender.name:
            if not self.above.redirected(now, message.parent):
                self.above.search(now, self.ranks, self.panel, self.children.table)
            self.attached(now)
        elif message.parent == sender.name == self.ranks.parent != self.above.name:
            self.attach(now, sender.name)

    # --- words down ---

    def give(self, now: int, grants: tuple[Grant, ...]) -> None:
        """What comes in time for the next pulse goes with it; what is late goes at once."""
        if not self.leads:
            return
        own = tuple(grant for grant in grants if grant.name == self.me.name)
        if self.pulse_us - now > self.settings.beat_us - self.settings.hold_us:
            self.grant(grants[:MOST_DOORS])
            return
        self.grant(own)
        for grant in grants:
            if grant.name != self.me.name and (grant.name in self.held or len(self.held) < MOST_DOORS):
                self.held[grant.name] = grant

    def grant(self, grants: Iterable[Grant], to_all: bool = False) -> None:
        """Pass grants on, each only to the child that its ask came by; with a pulse, a word to each child."""
        own, below = self.gather.split(grants)
        if own:
            self.out.append(Granted(tuple(own)))
        for name in tuple(self.children.table) if to_all else tuple(below):
            if name in self.children:
                self.say_down(name, grants=tuple(below.get(name, ())))

    def say_down(self, name: str, entries: tuple[Entry, ...] = (), grants: tuple[Grant, ...] = ()) -> None:
        ballot, number = self.above.mark
        if self.leader is None or ballot < self.ballot:  # nothing of the newest leader is known here
            return
        word = Down(ballot, number, self.leader, self.depth, self.pass_on.applied, entries, grants)
        self.out.append(Say(name, word, self.children.table[name].life))

    def redirect(self, name: str, parent: str | None) -> None:
        if parent is not None and parent != name:
            self.out.append(Say(name, words.Redirect(parent, self.ballot, self.leader)))

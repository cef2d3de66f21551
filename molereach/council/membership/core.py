"""Decides which front doors live, as a hint: SWIM with Lifeguard (see the package).

Each beat one member is probed: directly, then through three others, then it is suspected. A suspect that
says nothing is dead after a time; one that lives hears of it and refutes it. All is told by rumours that ride
on the probes, and now and then a whole list is exchanged with somebody and somebody dead is tried, so that
what was missed or cut apart comes together again. A front door whose own Tick comes late stood still, and
takes what it missed meanwhile for its own fault.
"""

from collections.abc import Sequence

from molereach.council.interface import MOST_DOORS, NEVER_US, Heard, Life, Say, Tick
from molereach.council.membership.beliefs import Beliefs, News
from molereach.council.membership.doubt import Doubt
from molereach.council.membership.events import Changed, Displaced, Doubts, Join, Leave
from molereach.council.membership.gossip import most_told
from molereach.council.membership.probes import Draw, Probe, Relays, Rounds, sample
from molereach.council.membership.settings import MembershipSettings
from molereach.council.membership.words import (
    MOST_SEQ,
    Ack,
    Message,
    Nack,
    Ping,
    PingReq,
    Status,
    Sync,
    pieces,
)

MOST_SEEDS_ASKED = 3  # at once

Event = Join | Leave | Tick | Heard
Action = Say | News


class Membership:
    """One front door's part. `draw` gives numbers from 0 to 1, below 1."""

    def __init__(self, me: Life, settings: MembershipSettings, draw: Draw) -> None:
        self.me, self.settings, self.draw = me, settings, draw
        self._doubt = Doubt(settings.most_doubt)
        self._beliefs = Beliefs(me, settings, self._doubt)
        self._rounds, self._relays = Rounds(draw), Relays()
        self._probe: Probe | None = None
        self._seeds: tuple[str, ...] = ()
        self._beat_us = NEVER_US  # when the next one begins
        self._sync_in, self._retry_in = settings.sync_beats, settings.retry_beats  # beats
        self._seq = int(draw() * MOST_SEQ)
        self._over = False  # displaced: nothing more is said
        self._out: list[Action] = []

    # --- what others ask ---

    def alive(self) -> tuple[Life, ...]:
        """All that are held to live, oneself with them, by name; a suspect lives until it is dead."""
        gone = self._over or self._beliefs.left
        lives = [member.life for member in self._beliefs.table.members.values() if member.status.living]
        return tuple(sorted(lives if gone else [*lives, self.me]))

    def status(self, name: str) -> Status | None:
        """What is believed of the newest known run of that name; None for nothing."""
        return self._beliefs.own().status if name == self.me.name else self._beliefs.table.status(name)

    @property
    def doubt(self) -> int:
        return self._doubt.level

    @property
    def wake_us(self) -> int:
        if self._over or self._beliefs.left or self._beat_us == NEVER_US:
            return NEVER_US
        direct = self._probe.direct_us if self._probe and not self._probe.asked else NEVER_US
        return min(self._beat_us, direct, self._relays.wake_us, self._beliefs.wake_us)

    # --- events ---

    def handle(self, now_us: int, event: Event) -> Sequence[Action]:
        """Take one event; what is to be done, in order."""
        if self._over:
            return ()
        self._out = []
        late = now_us - self.wake_us
        if late > self.settings.stall_us:
            self._stood_still(now_us, late)
        match event:
            case Join() if self._beat_us == NEVER_US and not self._beliefs.left:
                self._join(now_us, event.seeds)
            case Leave() if not self._beliefs.left:
                self._leave()
            case Tick() if self.wake_us != NEVER_US:
                self._tick(now_us)
            case Heard(sender=Life(), message=Ping() | PingReq() | Ack() | Nack() | Sync()):
                self._heard(now_us, event.sender, event.message)
            case _:
                pass
        out, self._out = self._out, []
        return out

    def _join(self, now: int, seeds: tuple[str, ...]) -> None:
        self._seeds = tuple(dict.fromkeys(seed for seed in seeds if seed != self.me.name))[:MOST_DOORS]
        self._beat_us = now + int(self.draw() * self.settings.beat_us)
        self._seek(self._seeds, MOST_SEEDS_ASKED)

    def _leave(self) -> None:
        word = self._beliefs.leave()
        for name in sample(self._beliefs.table.living_names(), most_told(self._beliefs.members), self.draw):
            self._out.append(Say(name, Sync((word,))))

    def _stood_still(self, now: int, late: int) -> None:
        """Nothing that ran out while this process stood still speaks against anybody else; it may be that the
        answer waits to be read."""
        self._doubted(max(1, late // self.settings.beat_us))
        self._probe = None
        self._relays = Relays()
        self._beat_us = now + self.settings.direct_us
        self._beliefs.extend(late, now + self._doubt.stretched(self.settings.beat_us))

    # --- time ---

    def _tick(self, now: int) -> None:
        self._take(self._beliefs.expire(now))
        for relay in self._relays.late(now):
            self._say(relay.asker.name, Nack(relay.asker_seq), relay.asker.number)
        probe = self._probe
        if probe and not probe.asked and now >= probe.direct_us:
            self._ask_others(probe)
        if now >= self._beat_us:
            self._beat(now)

    def _beat(self, now: int) -> None:
        if self._probe:  # without an answer for all of a beat
            self._doubted(self._probe.against_us)
            self._take(self._beliefs.accuse(now, self._probe.target))
            self._probe = None
        self._beat_us = now + self._doubt.stretched(self.settings.beat_us)
        self._beliefs.table.forget(now - self.settings.forget_us)
        self._relays.end(now)
        self._sync_now_and_then()
        self._retry_now_and_then()
        self._probe_next(now)

    def _probe_next(self, now: int) -> None:
        name = self._rounds.next()
        if name is None:
            return
        target = self._beliefs.table.members[name].life
        self._probe = Probe(target, self._next_seq(), now + self._doubt.stretched(self.settings.direct_us))
        self._say(name, Ping(self._probe.seq), target.number)

    def _ask_others(self, probe: Probe) -> None:
        probe.asked = True
        others = [name for name in self._beliefs.table.living_names() if name != probe.target.name]
        probe.helpers = set(sample(others, self.settings.indirect_asks, self.draw))
        for name in sorted(probe.helpers):
            self._say(name, PingReq(probe.seq, probe.target.name, probe.target.number))

    def _sync_now_and_then(self) -> None:
        self._sync_in -= 1
        if self._sync_in <= 0:
            self._sync_in = max(1, int(self.settings.sync_beats * (0.5 + self.draw())))
            for name in sample(self._beliefs.table.living_names(), 1, self.draw):
                self._tell_all(name, answer=True)

    def _retry_now_and_then(self) -> None:
        """Try who is dead, or a seed that is not known: the cut may be over, also where both sides of it have
        long given the other up."""
        if not self._beliefs.table.living:
            self._seek(self._seeds, MOST_SEEDS_ASKED)
        self._retry_in -= 1
        if self._retry_in <= 0:
            self._retry_in = max(1, int(self.settings.retry_beats * (0.5 + self.draw())))
            table = self._beliefs.table
            strangers = [seed for seed in self._seeds if seed not in table.members]
            self._seek([*table.dead_names(), *strangers], 1)

    def _seek(self, names: Sequence[str], count: int) -> None:
        for name in sample(names, count, self.draw):
            self._out.append(Say(name, Sync(self._beliefs.words_for(name), answer=True)))

    # --- others' words ---

    def _heard(self, now: int, sender: Life, message: Message) -> None:
        if sender.name == self.me.name and sender.number > self.me.number:
            return self._take([Displaced(sender)])
        if sender == self.me:
            return None
        if newer := self._beliefs.newer(sender):
            self._out.append(Say(sender.name, Sync((newer,)), sender.number))
            return None
        for rumour in message.rumours:
            listed = isinstance(message, Sync)
            self._take(self._beliefs.hear_listed(now, rumour, sender.name) if listed
                       else self._beliefs.hear(now, rumour))
        self._take(self._beliefs.meet(now, sender))
        if self._over:
            return None
        if isinstance(message, Ping):
            self._say(sender.name, Ack(message.seq), sender.number)
        elif not self._beliefs.left:
            self._heard_more(now, sender, message)
        return None

    def _heard_more(self, now: int, sender: Life, message: Message) -> None:
        match message:
            case PingReq():
                self._ask_for(now, sender, message)
            case Ack():
                self._answered(sender, message.seq)
            case Nack() if self._probe:
                self._probe.nacked(sender.name, message.seq)
            case Sync() if message.answer:
                self._tell_all(sender.name, answer=False)
            case _:
                pass

    def _ask_for(self, now: int, sender: Life, message: PingReq) -> None:
        seq = self._next_seq()
        direct = self.settings.direct_us
        if self._relays.begin(now, seq, sender, message.seq, message.name, direct):
            self._say(message.name, Ping(seq), message.number)

    def _answered(self, sender: Life, seq: int) -> None:
        if self._probe and self._probe.answered_by(sender.name, seq):
            self._probe = None
            self._doubted(-1)
        elif relay := self._relays.answered(sender.name, seq):
            self._say(relay.asker.name, Ack(relay.asker_seq), relay.asker.number)

    # --- what goes out ---

    def _say(self, to: str, message: Ping | PingReq | Ack | Nack, life: int | None = None) -> None:
        """A message with rumours, as many as fit."""
        first = self._beliefs.words_for(to)
        rumours = self._beliefs.gossip.pick(self._beliefs.members, self.settings.most_words, first)
        match message:
            case PingReq():
                full: Message = PingReq(message.seq, message.name, message.number, rumours)
            case _:
                full = type(message)(message.seq, rumours)
        self._out.append(Say(to, full, life))

    def _tell_all(self, to: str, answer: bool) -> None:
        """The whole list; who is asked to answer is so with the last piece."""
        parts = pieces(self._beliefs.everything())
        for number, part in enumerate(parts, 1):
            self._out.append(Say(to, Sync(part, answer and number == len(parts))))

    def _next_seq(self) -> int:
        self._seq = (self._seq + 1) % (MOST_SEQ + 1)
        return self._seq

    def _doubted(self, by: int) -> None:
        if self._doubt.change(by):
            self._out.append(Doubts(self._doubt.level))

    def _take(self, news: Sequence[News]) -> None:
        """Hand out what is new, and keep the rounds to those that live."""
        for item in news:
            if self._over:
                return
            self._out.append(item)
            if isinstance(item, Displaced):
                self._over = True
            elif isinstance(item, Changed):
                self._follow(item)

    def _follow(self, change: Changed) -> None:
        listed = change.life.name in self._rounds.names
        if change.status.living and not listed:
            self._rounds.add(change.life.name)
        elif not change.status.living and listed:
            self._rounds.remove(change.life.name)

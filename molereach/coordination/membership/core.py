"""Decides which front doors live, as a hint: SWIM with Lifeguard (see the package).

Each beat one member is probed: directly, then through three others, then it is suspected. A suspect that
says nothing is dead after a time; one that lives hears of it and refutes it. All is told by rumours that ride
on the probes, and now and then a whole list is exchanged with somebody and somebody dead is tried, so that
what was missed or cut apart comes together again. A front door whose own Tick comes late stood still, and
takes what it missed meanwhile for its own fault.
"""

from collections.abc import Sequence

from molereach.coordination.interface.core import NEVER_US, MessageReceived, Tick
from molereach.coordination.interface.identifiers import MAX_MEMBERS, NodeInstance
from molereach.coordination.membership.beliefs import Beliefs
from molereach.coordination.membership.doubt import Doubt
from molereach.coordination.membership.events import Displaced, Join, Leave
from molereach.coordination.membership.gossip import most_told
from molereach.coordination.membership.outbox import Action, Outbox
from molereach.coordination.membership.probes import Draw, Rounds, sample
from molereach.coordination.membership.probing import Probing
from molereach.coordination.membership.settings import MembershipSettings
from molereach.coordination.membership.words import Ack, Message, Nack, Ping, PingReq, Status, Sync

MOST_SEEDS_ASKED = 3  # at once
MOST_TOLD_AT_ONCE = 3  # of a refutation, beside those that it rides to on the next messages
FIRST_SYNC_BEATS = 3  # after the start: where all start at once, a seed's first list is short

Event = Join | Leave | Tick | MessageReceived


class Membership:
    """One front door's part. `draw` gives numbers from 0 to 1, below 1."""

    def __init__(self, me: NodeInstance, settings: MembershipSettings, draw: Draw) -> None:
        self.me, self._settings, self._draw = me, settings, draw
        self._beliefs = Beliefs(me, settings, Doubt(settings.most_doubt))
        self._outbox = Outbox(self._beliefs, Rounds(draw))
        self._probing = Probing(self._beliefs, self._outbox, draw)
        self._seeds: tuple[str, ...] = ()
        self._beat_us = NEVER_US  # when the next one begins
        self._planned_us = NEVER_US  # when the next Tick was due, as the last event left it
        self._sync_us = self._retry_us = NEVER_US  # by time, not by own beats, which doubt makes longer

    # --- what others ask ---

    def alive(self) -> tuple[NodeInstance, ...]:
        """All that are held to live, oneself with them, by name; a suspect lives until it is dead."""
        gone = self._outbox.displaced or self._beliefs.left
        lives = [member.life for member in self._beliefs.table.members.values() if member.status.living]
        return tuple(sorted(lives if gone else [*lives, self.me]))

    def status(self, name: str) -> Status | None:
        """What is believed of the newest known run of that name; None for nothing."""
        return self._beliefs.own().status if name == self.me.name else self._beliefs.table.status(name)

    @property
    def doubt(self) -> int:
        return self._beliefs.doubt.level

    @property
    def wake_us(self) -> int:
        if self._outbox.displaced or self._beliefs.left or self._beat_us == NEVER_US:
            return NEVER_US
        return min(self._beat_us, self._probing.wake_us, self._beliefs.wake_us)

    # --- events ---

    def handle(self, now_us: int, event: Event) -> Sequence[Action]:
        """Take one event; what is to be done, in order."""
        if self._outbox.displaced:
            return ()
        late = now_us - self._planned_us
        if late > self._settings.stall_us:
            self._stood_still(now_us, late)
        match event:
            case Join() if self._beat_us == NEVER_US and not self._beliefs.left:
                self._join(now_us, event.seeds)
            case Leave() if not self._beliefs.left:
                self._leave()
            case Tick() if self.wake_us != NEVER_US:
                self._tick(now_us)
            case MessageReceived(sender=NodeInstance(), message=Ping() | PingReq() | Ack() | Nack() | Sync()):
                self._heard(now_us, event.sender, event.message)
            case _:
                pass
        # One more accuser can bring a suspect's end to before now: that is no stall, but a Tick at once.
        self._planned_us = max(now_us, self.wake_us)
        return self._outbox.drain()

    def _join(self, now: int, seeds: tuple[str, ...]) -> None:
        self._seeds = tuple(dict.fromkeys(seed for seed in seeds if seed != self.me.name))[:MAX_MEMBERS]
        self._beat_us = now + int(self._draw() * self._settings.beat_us)
        self._sync_us = now + self._around(FIRST_SYNC_BEATS)
        self._retry_us = now + self._around(self._settings.retry_beats)
        self._seek(self._seeds, MOST_SEEDS_ASKED)

    def _leave(self) -> None:
        told = most_told(self._beliefs.members)
        self._beliefs.leave()
        self._outbox.sync(sample(self._beliefs.table.living_names(), told, self._draw), answer=False)

    def _stood_still(self, now: int, late: int) -> None:
        """Nothing that ran out while this process stood still speaks against anybody else: the answer may
        wait to be read."""
        self._outbox.doubted(max(1, late // self._settings.beat_us))
        self._probing.drop()
        self._beat_us = now + self._settings.direct_us
        self._beliefs.extend(late, now + self._beliefs.doubt.stretched(self._settings.beat_us))

    # --- time ---

    def _tick(self, now: int) -> None:
        self._outbox.take(self._beliefs.expire(now))
        self._probing.due(now)
        if now >= self._beat_us:
            self._beat(now)

    def _beat(self, now: int) -> None:
        self._probing.conclude(now)
        # Only now, with the doubt that the last probe left, or the next would end before others are asked.
        self._beat_us = now + self._beliefs.doubt.stretched(self._settings.beat_us)
        self._beliefs.table.forget(now - self._settings.forget_us)
        self._sync_now_and_then(now)
        self._retry_now_and_then(now)
        self._probing.begin(now)

    def _sync_now_and_then(self, now: int) -> None:
        if now >= self._sync_us:
            self._sync_us = now + self._around(self._settings.sync_beats)
            for name in sample(self._beliefs.table.living_names(), 1, self._draw):
                self._outbox.tell_all(name, answer=True)

    def _retry_now_and_then(self, now: int) -> None:
        """Try who is dead, or a seed that is not known: the cut may be over, also where both sides of it have
        long given the other up."""
        table = self._beliefs.table
        if not table.living:
            self._seek(self._seeds, MOST_SEEDS_ASKED)
        if now >= self._retry_us:
            self._retry_us = now + self._around(self._settings.retry_beats)
            self._seek([*table.dead_names(), *(seed for seed in self._seeds if seed not in table.members)], 1)

    def _seek(self, names: Sequence[str], count: int) -> None:
        self._outbox.sync(sample(names, count, self._draw), answer=True)

    def _around(self, beats: int) -> int:
        """So long in the mean, so that not all do it in the same beat."""
        return round(beats * self._settings.beat_us * (0.5 + self._draw()))

    # --- others' words ---

    def _heard(self, now: int, sender: NodeInstance, message: Message) -> None:
        if sender == self.me:
            return
        if sender.name == self.me.name and sender.number > self.me.number:
            self._outbox.take([Displaced(sender)])
        elif self._beliefs.newer(sender):
            self._outbox.correct(sender.name, sender.number)
        else:
            self._believe(now, sender, message)
            self._answer(now, sender, message)

    def _believe(self, now: int, sender: NodeInstance, message: Message) -> None:
        before = self._beliefs.incarnation
        for rumour in message.rumours:
            if isinstance(message, Sync):
                self._outbox.take(self._beliefs.hear_listed(now, rumour, sender.name))
            else:
                self._outbox.take(self._beliefs.hear(now, rumour))
        self._outbox.take(self._beliefs.meet(now, sender))
        if self._beliefs.incarnation > before:  # a refutation runs against others' time-outs
            names = self._beliefs.table.living_names()
            self._outbox.sync(sample(names, MOST_TOLD_AT_ONCE, self._draw), answer=False)

    def _answer(self, now: int, sender: NodeInstance, message: Message) -> None:
        if isinstance(message, Ping):
            self._outbox.ack(sender.name, message.seq, sender.number)
        elif self._beliefs.left:  # who has left says so when it is asked, and no more
            return
        elif isinstance(message, PingReq):
            self._probing.ask_for(now, sender, message)
        elif isinstance(message, Ack):
            self._probing.answered(sender, message.seq)
        elif isinstance(message, Nack):
            self._probing.nacked(sender, message.seq)
        elif message.answer:
            self._outbox.tell_all(sender.name, answer=False)

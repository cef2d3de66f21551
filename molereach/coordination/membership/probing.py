"""One probe a beat, and the pings for others: who is asked, when others are asked, when somebody is accused.

Source: SWIM, section 3.1; Lifeguard, section IV.A (times that grow with the doubt of oneself).
"""

from molereach.coordination.interface.core import NEVER_US
from molereach.coordination.interface.identifiers import NodeInstance
from molereach.coordination.membership.beliefs import Beliefs
from molereach.coordination.membership.outbox import Outbox
from molereach.coordination.membership.probes import Draw, Probe, Relays, sample
from molereach.coordination.membership.words import MOST_SEQ, PingReq


class Probing:
    """At most one probe of its own is out, and a bounded number for others."""

    __slots__ = ("beliefs", "draw", "outbox", "probe", "relays", "seq")

    def __init__(self, beliefs: Beliefs, outbox: Outbox, draw: Draw) -> None:
        self.beliefs, self.outbox, self.draw = beliefs, outbox, draw
        self.probe: Probe | None = None
        self.relays = Relays()
        self.seq = int(draw() * MOST_SEQ)

    def drop(self) -> None:
        """What was out speaks against nobody."""
        self.probe, self.relays = None, Relays()

    # --- time ---

    def conclude(self, now: int) -> None:
        """The beat of the last probe is over: accuse its target, and tell it so, as it may be slow only."""
        if self.probe:
            probe, self.probe = self.probe, None
            self.outbox.doubted(probe.against_us)
            self.outbox.take(self.beliefs.accuse(now, probe.target))
            self.outbox.ping(probe.target.name, self._next_seq(), probe.target.number)

    def begin(self, now: int) -> None:
        """Ask the next one."""
        name = self.outbox.rounds.next()
        if name is None:
            return
        target = self.beliefs.table.members[name].life
        direct_us = self.beliefs.doubt.stretched(self.beliefs.settings.direct_us)
        self.probe = Probe(target, self._next_seq(), now + direct_us)
        self.outbox.ping(name, self.probe.seq, target.number)

    def due(self, now: int) -> None:
        """Between the beats: say that there is no answer yet, to others, and ask others."""
        for relay in self.relays.late(now):
            self.outbox.nack(relay.asker.name, relay.asker_seq, relay.asker.number)
        if self.probe and not self.probe.asked and now >= self.probe.direct_us:
            self._ask_others(self.probe)

    def _ask_others(self, probe: Probe) -> None:
        probe.asked = True
        others = [name for name in self.beliefs.table.living_names() if name != probe.target.name]
        probe.helpers = set(sample(others, self.beliefs.settings.indirect_asks, self.draw))
        for name in sorted(probe.helpers):
            self.outbox.ping_req(name, probe.seq, probe.target.name, probe.target.number)

    # --- others' words ---

    def ask_for(self, now: int, asker: NodeInstance, request: PingReq) -> None:
        """Ask one for somebody who does not hear it."""
        seq = self._next_seq()
        if self.relays.begin(now, seq, asker, request.seq, request.name, self.beliefs.settings.direct_us):
            self.outbox.ping(request.name, seq, request.number)

    def answered(self, sender: NodeInstance, seq: int) -> None:
        if self.probe and self.probe.answered_by(sender.name, seq):
            self.probe = None
            self.outbox.doubted(-1)
        elif relay := self.relays.answered(sender.name, seq):
            self.outbox.ack(relay.asker.name, relay.asker_seq, relay.asker.number)

    def nacked(self, sender: NodeInstance, seq: int) -> None:
        if self.probe:
            self.probe.nacked(sender.name, seq)

    def _next_seq(self) -> int:
        self.seq = (self.seq + 1) % (MOST_SEQ + 1)
        return self.seq

    @property
    def wake_us(self) -> int:
        direct = self.probe.direct_us if self.probe and not self.probe.asked else NEVER_US
        return min(direct, self.relays.wake_us)

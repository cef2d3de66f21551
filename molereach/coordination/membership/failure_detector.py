"""One probe an interval, and pings for others: who is probed, when helpers are asked, who is suspected.

Source: SWIM, section 3.1; Lifeguard, section IV.A (timeouts that grow as local health falls).
"""

from molereach.coordination.interface.core import NEVER_US
from molereach.coordination.interface.identifiers import NodeInstance
from molereach.coordination.membership.member_states import MemberStates
from molereach.coordination.membership.messages import MAX_SEQUENCE_NUMBER, PingReq
from molereach.coordination.membership.outbox import Outbox
from molereach.coordination.membership.probe_schedule import RandomSource, sample
from molereach.coordination.membership.probes import Probe, Relays


class FailureDetector:
    """At most one probe of its own is in flight, and a bounded number of pings for others."""

    __slots__ = ("draw", "outbox", "probe", "relays", "seq", "states")

    def __init__(self, states: MemberStates, outbox: Outbox, draw: RandomSource) -> None:
        self.states = states
        self.outbox = outbox
        self.draw = draw
        self.probe: Probe | None = None
        self.relays = Relays()
        self.seq = int(draw() * MAX_SEQUENCE_NUMBER)

    def abandon(self) -> None:
        """Drop what is in flight, so that it suspects nobody."""
        self.probe = None
        self.relays = Relays()

    # --- time ---

    def finish_probe(self, now_us: int) -> None:
        """End the last probe: suspect its target, and ping it once more, as it may only be slow."""
        if self.probe is None:
            return
        probe = self.probe
        self.probe = None
        self.outbox.adjust_health(probe.health_penalty)
        self.outbox.emit(self.states.suspect(now_us, probe.target))
        # This ping carries the suspicion, so that the target can refute it.
        self.outbox.ping(probe.target.name, self._next_seq(), probe.target.number)

    def start_probe(self, now_us: int) -> None:
        """Ping the next member."""
        name = self.outbox.schedule.next()
        if name is None:
            return
        target = self.states.table.members[name].instance
        ping_timeout_us = self.states.local_health.scale(self.states.settings.ping_timeout_us)
        self.probe = Probe(target, self._next_seq(), now_us + ping_timeout_us)
        self.outbox.ping(name, self.probe.seq, target.number)

    def check_deadlines(self, now_us: int) -> None:
        """Between the intervals: send the nacks that are due, and ask helpers to ping."""
        for relay in self.relays.due_nacks(now_us):
            self.outbox.nack(relay.requester.name, relay.requester_seq, relay.requester.number)
        probe = self.probe
        if probe and not probe.indirect_sent and now_us >= probe.ping_deadline_us:
            self._send_indirect_probes(probe)

    def _send_indirect_probes(self, probe: Probe) -> None:
        probe.indirect_sent = True
        others = [name for name in self.states.table.live_names() if name != probe.target.name]
        probe.helpers = set(sample(others, self.states.settings.indirect_probes, self.draw))
        for name in sorted(probe.helpers):
            self.outbox.ping_req(name, probe.seq, probe.target.name, probe.target.number)

    # --- messages ---

    def relay_ping(self, now_us: int, requester: NodeInstance, request: PingReq) -> None:
        """Ping a member on behalf of one that has no ack of it."""
        seq = self._next_seq()
        ping_timeout_us = self.states.settings.ping_timeout_us
        if self.relays.begin(now_us, seq, requester, request.seq, request.name, ping_timeout_us):
            self.outbox.ping(request.name, seq, request.number)

    def on_ack(self, sender: NodeInstance, seq: int) -> None:
        """Apply an ack, to the own probe or to a relayed ping."""
        if self.probe and self.probe.is_answered_by(sender.name, seq):
            self.probe = None
            self.outbox.adjust_health(-1)
        elif relay := self.relays.take_answered(sender.name, seq):
            self.outbox.ack(relay.requester.name, relay.requester_seq, relay.requester.number)

    def on_nack(self, sender: NodeInstance, seq: int) -> None:
        """Apply a nack of a helper."""
        if self.probe:
            self.probe.record_nack(sender.name, seq)

    def _next_seq(self) -> int:
        self.seq = (self.seq + 1) % (MAX_SEQUENCE_NUMBER + 1)
        return self.seq

    @property
    def wake_us(self) -> int:
        """When helpers are to be asked or a nack is due."""
        probe = self.probe
        ping_deadline_us = probe.ping_deadline_us if probe and not probe.indirect_sent else NEVER_US
        return min(ping_deadline_us, self.relays.wake_us)

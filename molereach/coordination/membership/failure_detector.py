"""Failure detection: one probe per interval, indirect probes through helpers, and pings relayed for others.

Source: SWIM, section 3.1; Lifeguard, section IV.A (timeouts that grow as local health declines).
"""

from molereach.coordination.interface.core import NEVER_US
from molereach.coordination.interface.identifiers import NodeInstance
from molereach.coordination.membership.member_states import MemberStates
from molereach.coordination.membership.messages import MAX_SEQUENCE_NUMBER, PingReq
from molereach.coordination.membership.outbox import Outbox
from molereach.coordination.membership.probe_schedule import RandomSource, sample
from molereach.coordination.membership.probes import Probe, Relays


class FailureDetector:
    """Keeps at most one probe and a bounded number of relayed pings in flight."""

    __slots__ = ("draw", "outbox", "probe", "relays", "seq", "states")

    def __init__(self, states: MemberStates, outbox: Outbox, draw: RandomSource) -> None:
        self.states = states
        self.outbox = outbox
        self.draw = draw
        self.probe: Probe | None = None
        self.relays = Relays()
        self.seq = int(draw() * MAX_SEQUENCE_NUMBER)

    def discard_in_flight(self) -> None:
        """Discard the probe and relays in flight, so that their timeouts cause no suspicion."""
        self.probe = None
        self.relays = Relays()

    # --- time ---

    def finish_probe(self, now_us: int) -> None:
        """End the last probe; if it is still unanswered, suspect its target and ping it once more."""
        if self.probe is None:
            return
        probe = self.probe
        self.probe = None
        self.outbox.adjust_local_health(probe.health_penalty)
        self.outbox.emit(self.states.suspect(now_us, probe.target))
        # This ping carries the suspicion, so that the target can refute it.
        self.outbox.ping(probe.target.name, self._next_seq(), probe.target.number)

    def start_probe(self, now_us: int) -> None:
        """Ping the next scheduled member."""
        name = self.outbox.schedule.next()
        if name is None:
            return
        target = self.states.table.members[name].instance
        ping_timeout_us = self.states.local_health.scale(self.states.settings.ping_timeout_us)
        self.probe = Probe(target, self._next_seq(), now_us + ping_timeout_us)
        self.outbox.ping(name, self.probe.seq, target.number)

    def check_deadlines(self, now_us: int) -> None:
        """Send the nacks that are due, and start indirect probes once the direct ping has timed out."""
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
        """Ping a member on behalf of one that received no ack from it."""
        seq = self._next_seq()
        ping_timeout_us = self.states.settings.ping_timeout_us
        if self.relays.begin(now_us, seq, requester, request.seq, request.name, ping_timeout_us):
            self.outbox.ping(request.name, seq, request.number)

    def on_ack(self, sender: NodeInstance, seq: int) -> None:
        """Match an ack to the current probe or to a relayed ping."""
        if self.probe and self.probe.is_answered_by(sender.name, seq):
            self.probe = None
            self.outbox.adjust_local_health(-1)
        elif relay := self.relays.pop_answered(sender.name, seq):
            self.outbox.ack(relay.requester.name, relay.requester_seq, relay.requester.number)

    def on_nack(self, sender: NodeInstance, seq: int) -> None:
        """Record a nack from a helper."""
        if self.probe:
            self.probe.record_nack(sender.name, seq)

    def _next_seq(self) -> int:
        self.seq = (self.seq + 1) % (MAX_SEQUENCE_NUMBER + 1)
        return self.seq

    @property
    def wake_us(self) -> int:
        """When indirect probes or a nack are next due."""
        probe = self.probe
        ping_deadline_us = probe.ping_deadline_us if probe and not probe.indirect_sent else NEVER_US
        return min(ping_deadline_us, self.relays.wake_us)

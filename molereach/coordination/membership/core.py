"""Decides which proxies are alive, as a hint: SWIM with Lifeguard (see the package).

Each interval one member is probed: directly, then through three others, then it is suspected. A suspect that
stays silent is declared dead after a timeout; one that is alive learns of it and refutes it. Rumours on the
probes carry all this. From time to time all rumours are exchanged with one member and a dead one is tried, so
that what was missed or partitioned converges again. A proxy whose own Tick comes late has stalled, and blames
what it missed meanwhile on itself.
"""

from collections.abc import Sequence

from molereach.coordination.interface.core import NEVER_US, MessageReceived, Tick
from molereach.coordination.interface.identifiers import MAX_MEMBERS, NodeInstance
from molereach.coordination.membership.events import Join, Leave, Superseded
from molereach.coordination.membership.failure_detector import FailureDetector
from molereach.coordination.membership.gossip import max_transmissions
from molereach.coordination.membership.local_health import LocalHealth
from molereach.coordination.membership.member_states import MemberStates
from molereach.coordination.membership.messages import Ack, MemberStatus, Message, Nack, Ping, PingReq, Sync
from molereach.coordination.membership.outbox import Action, Outbox
from molereach.coordination.membership.probe_schedule import ProbeSchedule, RandomSource, sample
from molereach.coordination.membership.settings import MembershipSettings

MAX_SEEDS_CONTACTED = 3  # at once
MAX_REFUTATION_RECIPIENTS = 3  # at once, beside those that the next messages reach
FIRST_SYNC_INTERVALS = 3  # after the start: if all start at once, a seed's first list is short

Event = Join | Leave | Tick | MessageReceived


class Membership:
    """The membership core of one proxy. `draw` gives numbers from 0 to 1, below 1."""

    def __init__(self, local: NodeInstance, settings: MembershipSettings, draw: RandomSource) -> None:
        self.local = local
        self._settings = settings
        self._draw = draw
        self._states = MemberStates(local, settings, LocalHealth(settings.max_local_health_score))
        self._outbox = Outbox(self._states, ProbeSchedule(draw))
        self._failure_detector = FailureDetector(self._states, self._outbox, draw)
        self._seeds: tuple[str, ...] = ()
        self._next_probe_us = NEVER_US
        self._expected_tick_us = NEVER_US  # as the last event left it
        # By time and not by own intervals, which poor local health makes longer.
        self._sync_us = NEVER_US
        self._retry_us = NEVER_US

    # --- queries ---

    def live_instances(self) -> tuple[NodeInstance, ...]:
        """All that count as live, this proxy included, by name; a suspect is live until it is dead."""
        stopped = self._outbox.superseded or self._states.left
        members = self._states.table.members.values()
        instances = [member.instance for member in members if member.status.is_live]
        return tuple(sorted(instances if stopped else [*instances, self.local]))

    def status(self, name: str) -> MemberStatus | None:
        """The status of the newest known instance of a name; None for an unknown one."""
        if name == self.local.name:
            return self._states.local_rumour().status
        return self._states.table.status(name)

    @property
    def local_health_score(self) -> int:
        """The local health score; 0 is healthy."""
        return self._states.local_health.score

    @property
    def wake_us(self) -> int:
        """When the next Tick is wanted."""
        if self._outbox.superseded or self._states.left or self._next_probe_us == NEVER_US:
            return NEVER_US
        return min(self._next_probe_us, self._failure_detector.wake_us, self._states.wake_us)

    # --- events ---

    def handle(self, now_us: int, event: Event) -> Sequence[Action]:
        """Apply one event at `now_us` (microseconds, monotonic); the actions to carry out, in order."""
        if self._outbox.superseded:
            return ()
        late_us = now_us - self._expected_tick_us
        if late_us > self._settings.stall_us:
            self._on_stall(now_us, late_us)
        match event:
            case Join() if self._next_probe_us == NEVER_US and not self._states.left:
                self._on_join(now_us, event.seeds)
            case Leave() if not self._states.left:
                self._on_leave()
            case Tick() if self.wake_us != NEVER_US:
                self._on_tick(now_us)
            case MessageReceived(sender=NodeInstance(), message=Ping() | PingReq() | Ack() | Nack() | Sync()):
                self._on_message(now_us, event.sender, event.message)
            case _:
                pass
        # One more accuser can move a suspect's deadline into the past: that is no stall, but a Tick at once.
        self._expected_tick_us = max(now_us, self.wake_us)
        return self._outbox.drain()

    def _on_join(self, now_us: int, seeds: tuple[str, ...]) -> None:
        self._seeds = tuple(dict.fromkeys(seed for seed in seeds if seed != self.local.name))[:MAX_MEMBERS]
        self._next_probe_us = now_us + int(self._draw() * self._settings.probe_interval_us)
        self._sync_us = now_us + self._jittered(FIRST_SYNC_INTERVALS)
        self._retry_us = now_us + self._jittered(self._settings.retry_intervals)
        self._request_sync(self._seeds, MAX_SEEDS_CONTACTED)

    def _on_leave(self) -> None:
        recipients = max_transmissions(self._states.member_count)
        self._states.leave()
        names = sample(self._states.table.live_names(), recipients, self._draw)
        self._outbox.send_sync(names, wants_reply=False)

    def _on_stall(self, now_us: int, late_us: int) -> None:
        """Suspect nobody for what ran out while this process stalled: the reply may wait to be read."""
        self._outbox.adjust_health(max(1, late_us // self._settings.probe_interval_us))
        self._failure_detector.abandon()
        self._next_probe_us = now_us + self._settings.ping_timeout_us
        interval_us = self._states.local_health.scale(self._settings.probe_interval_us)
        self._states.extend_suspicions(late_us, now_us + interval_us)

    # --- time ---

    def _on_tick(self, now_us: int) -> None:
        self._outbox.emit(self._states.expire_suspicions(now_us))
        self._failure_detector.check_deadlines(now_us)
        if now_us >= self._next_probe_us:
            self._start_interval(now_us)

    def _start_interval(self, now_us: int) -> None:
        self._failure_detector.finish_probe(now_us)
        # Only now, with the local health that the last probe left, or the interval would end before helpers
        # are asked.
        interval_us = self._states.local_health.scale(self._settings.probe_interval_us)
        self._next_probe_us = now_us + interval_us
        self._states.table.forget(now_us - self._settings.forget_us)
        self._sync_if_due(now_us)
        self._retry_if_due(now_us)
        self._failure_detector.start_probe(now_us)

    def _sync_if_due(self, now_us: int) -> None:
        if now_us >= self._sync_us:
            self._sync_us = now_us + self._jittered(self._settings.sync_intervals)
            for name in sample(self._states.table.live_names(), 1, self._draw):
                self._outbox.send_all_rumours(name, wants_reply=True)

    def _retry_if_due(self, now_us: int) -> None:
        """Try a dead member or an unknown seed: a partition may have healed after both sides gave up."""
        table = self._states.table
        if not table.live_count:
            self._request_sync(self._seeds, MAX_SEEDS_CONTACTED)
        if now_us >= self._retry_us:
            self._retry_us = now_us + self._jittered(self._settings.retry_intervals)
            unknown_seeds = [seed for seed in self._seeds if seed not in table.members]
            self._request_sync([*table.dead_names(), *unknown_seeds], 1)

    def _request_sync(self, names: Sequence[str], count: int) -> None:
        self._outbox.send_sync(sample(names, count, self._draw), wants_reply=True)

    def _jittered(self, intervals: int) -> int:
        """That many intervals on average, in microseconds, so that not all proxies act at once."""
        return round(intervals * self._settings.probe_interval_us * (0.5 + self._draw()))

    # --- messages ---

    def _on_message(self, now_us: int, sender: NodeInstance, message: Message) -> None:
        if sender == self.local:
            return
        if sender.name == self.local.name and sender.number > self.local.number:
            self._outbox.emit([Superseded(sender)])
        elif self._states.knows_newer_instance(sender):
            self._outbox.send_correction(sender.name, sender.number)
        else:
            self._apply_rumours(now_us, sender, message)
            self._reply(now_us, sender, message)

    def _apply_rumours(self, now_us: int, sender: NodeInstance, message: Message) -> None:
        incarnation_before = self._states.incarnation
        for rumour in message.rumours:
            if isinstance(message, Sync):
                self._outbox.emit(self._states.apply_listed_rumour(now_us, rumour, sender.name))
            else:
                self._outbox.emit(self._states.apply_rumour(now_us, rumour))
        self._outbox.emit(self._states.observe_sender(now_us, sender))
        if self._states.incarnation > incarnation_before:  # a refutation races against others' timeouts
            names = self._states.table.live_names()
            self._outbox.send_sync(sample(names, MAX_REFUTATION_RECIPIENTS, self._draw), wants_reply=False)

    def _reply(self, now_us: int, sender: NodeInstance, message: Message) -> None:
        if isinstance(message, Ping):
            self._outbox.ack(sender.name, message.seq, sender.number)
        elif self._states.left:  # a proxy that has left answers pings with that, and does nothing else
            return
        elif isinstance(message, PingReq):
            self._failure_detector.relay_ping(now_us, sender, message)
        elif isinstance(message, Ack):
            self._failure_detector.on_ack(sender, message.seq)
        elif isinstance(message, Nack):
            self._failure_detector.on_nack(sender, message.seq)
        elif message.wants_reply:
            self._outbox.send_all_rumours(sender.name, wants_reply=False)

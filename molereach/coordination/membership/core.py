"""The membership core: SWIM with the extensions of Lifeguard.

In each interval one member is probed, first directly, then through three helpers; without an ack it becomes a
suspect. A suspect that does not refute the suspicion is declared dead after a timeout. Rumours piggybacked on
probes spread these changes. Periodically all rumours are exchanged with a random member and a dead member is
contacted, so that the views converge after lost messages and partitions. A late Tick means that this process
stalled: timeouts that passed during the stall then count against its own local health, not against others.
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
MAX_REFUTATION_RECIPIENTS = 3  # at once; others receive the refutation with later messages
FIRST_SYNC_INTERVALS = 3  # after joining; if all proxies start at once, a seed's first list is short

Event = Join | Leave | Tick | MessageReceived


class Membership:
    """The membership core of one proxy. `draw` returns uniform random numbers in [0, 1)."""

    def __init__(self, local: NodeInstance, settings: MembershipSettings, draw: RandomSource) -> None:
        self.local = local
        self._settings = settings
        self._draw = draw
        self._states = MemberStates(local, settings, LocalHealth(settings.max_local_health_score))
        self._outbox = Outbox(self._states, ProbeSchedule(draw))
        self._failure_detector = FailureDetector(self._states, self._outbox, draw)
        self._seeds: tuple[str, ...] = ()
        self._next_probe_us = NEVER_US
        self._expected_tick_us = NEVER_US  # as of the last event
        # Times rather than counts of intervals, because poor local health lengthens the intervals.
        self._sync_us = NEVER_US  # of the next full exchange of rumours
        self._reconnect_us = NEVER_US  # of the next contact with a dead member or an unknown seed

    # --- queries ---

    def live_instances(self) -> tuple[NodeInstance, ...]:
        """The live instances and the suspects, sorted by name.

        This proxy is one of them, unless it has left or is superseded.
        """
        stopped = self._outbox.superseded or self._states.left
        members = self._states.table.members.values()
        instances = [member.instance for member in members if member.status.is_live]
        return tuple(sorted(instances if stopped else [*instances, self.local]))

    def status(self, name: str) -> MemberStatus | None:
        """The status of the newest known instance of a name; None if the name is unknown."""
        if name == self.local.name:
            return self._states.local_rumour().status
        return self._states.table.status(name)

    @property
    def local_health_score(self) -> int:
        """The local health score; 0 is healthy."""
        return self._states.local_health.score

    @property
    def wake_us(self) -> int:
        """When the next Tick is due; `NEVER_US` if none is."""
        if self._outbox.superseded or self._states.left or self._next_probe_us == NEVER_US:
            return NEVER_US
        return min(self._next_probe_us, self._failure_detector.wake_us, self._states.wake_us)

    # --- events ---

    def handle(self, now_us: int, event: Event) -> Sequence[Action]:
        """Apply one event at `now_us` (monotonic microseconds); returns the actions to perform, in order."""
        if self._outbox.superseded:
            return ()
        tick_delay_us = now_us - self._expected_tick_us
        if tick_delay_us > self._settings.stall_us:
            self._on_stall(now_us, tick_delay_us)
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
        # A further accuser shortens a suspicion's timeout, so its deadline may already have passed. Its Tick
        # is then due now, and is not counted as late.
        self._expected_tick_us = max(now_us, self.wake_us)
        return self._outbox.drain()

    def _on_join(self, now_us: int, seeds: tuple[str, ...]) -> None:
        self._seeds = tuple(dict.fromkeys(seed for seed in seeds if seed != self.local.name))[:MAX_MEMBERS]
        self._next_probe_us = now_us + int(self._draw() * self._settings.probe_interval_us)
        self._sync_us = now_us + self._jittered(FIRST_SYNC_INTERVALS)
        self._reconnect_us = now_us + self._jittered(self._settings.retry_intervals)
        self._request_sync(self._seeds, MAX_SEEDS_CONTACTED)

    def _on_leave(self) -> None:
        recipients = max_transmissions(self._states.member_count)
        self._states.leave()
        names = sample(self._states.table.live_names(), recipients, self._draw)
        self._outbox.send_sync(names, wants_reply=False)

    def _on_stall(self, now_us: int, tick_delay_us: int) -> None:
        """Suspect no member over a timeout that passed during a stall: its reply may still be unread."""
        self._outbox.adjust_local_health(max(1, tick_delay_us // self._settings.probe_interval_us))
        self._failure_detector.discard_in_flight()
        self._next_probe_us = now_us + self._settings.ping_timeout_us
        interval_us = self._states.local_health.scale(self._settings.probe_interval_us)
        self._states.extend_suspicions(tick_delay_us, now_us + interval_us)

    # --- time ---

    def _on_tick(self, now_us: int) -> None:
        self._outbox.emit(self._states.expire_suspicions(now_us))
        self._failure_detector.check_deadlines(now_us)
        if now_us >= self._next_probe_us:
            self._start_interval(now_us)

    def _start_interval(self, now_us: int) -> None:
        self._failure_detector.finish_probe(now_us)
        # Computed after the last probe has changed the local health; otherwise the interval could end before
        # its helpers are asked.
        interval_us = self._states.local_health.scale(self._settings.probe_interval_us)
        self._next_probe_us = now_us + interval_us
        self._states.table.remove_expired(now_us - self._settings.forget_us)
        self._sync_if_due(now_us)
        self._reconnect_if_due(now_us)
        self._failure_detector.start_probe(now_us)

    def _sync_if_due(self, now_us: int) -> None:
        if now_us >= self._sync_us:
            self._sync_us = now_us + self._jittered(self._settings.sync_intervals)
            for name in sample(self._states.table.live_names(), 1, self._draw):
                self._outbox.send_all_rumours(name, wants_reply=True)

    def _reconnect_if_due(self, now_us: int) -> None:
        """Contact a dead member or an unknown seed, so that the sides of a healed partition merge again."""
        table = self._states.table
        if not table.live_count:
            self._request_sync(self._seeds, MAX_SEEDS_CONTACTED)
        if now_us >= self._reconnect_us:
            self._reconnect_us = now_us + self._jittered(self._settings.retry_intervals)
            unknown_seeds = [seed for seed in self._seeds if seed not in table.members]
            self._request_sync([*table.dead_names(), *unknown_seeds], 1)

    def _request_sync(self, names: Sequence[str], count: int) -> None:
        self._outbox.send_sync(sample(names, count, self._draw), wants_reply=True)

    def _jittered(self, intervals: int) -> int:
        """A random duration of 0.5 to 1.5 times `intervals`, so that proxies do not act all at once."""
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
        # Other members must receive a refutation before their suspicion of this proxy expires.
        if self._states.incarnation > incarnation_before:
            names = self._states.table.live_names()
            self._outbox.send_sync(sample(names, MAX_REFUTATION_RECIPIENTS, self._draw), wants_reply=False)

    def _reply(self, now_us: int, sender: NodeInstance, message: Message) -> None:
        if isinstance(message, Ping):
            self._outbox.ack(sender.name, message.seq, sender.number)
        elif self._states.left:  # a proxy that has left only answers pings, with that status
            return
        elif isinstance(message, PingReq):
            self._failure_detector.relay_ping(now_us, sender, message)
        elif isinstance(message, Ack):
            self._failure_detector.on_ack(sender, message.seq)
        elif isinstance(message, Nack):
            self._failure_detector.on_nack(sender, message.seq)
        elif message.wants_reply:
            self._outbox.send_all_rumours(sender.name, wants_reply=False)

"""The five cores of one front door, made from its settings, and the types that go between them and others."""

from collections.abc import Callable, Mapping
from typing import Any

from molereach.coordination.dissemination import messages as dissemination_types
from molereach.coordination.dissemination.core import DisseminationTree
from molereach.coordination.dissemination.settings import DisseminationSettings as SpreadSettings
from molereach.coordination.interface.identifiers import NodeInstance
from molereach.coordination.interface.log import StateMachine
from molereach.coordination.leases.holder import LeaseHolder
from molereach.coordination.leases.manager import LeaseManager
from molereach.coordination.leases.sessions import SessionRegistry
from molereach.coordination.membership import messages as membership_messages
from molereach.coordination.membership.core import Membership
from molereach.coordination.membership.settings import MembershipSettings
from molereach.coordination.node.settings import CouncilSettings
from molereach.coordination.replicated_log import messages as log_words
from molereach.coordination.replicated_log.core import LogCore
from molereach.coordination.replicated_log.messages import Voters
from molereach.coordination.replicated_log.records import Recovered
from molereach.coordination.replicated_log.settings import LogSettings as LogSettings

MEMBERSHIP, LOG, SPREAD = "membership", "log", "spread"
WORDS: dict[str, Any] = {
    MEMBERSHIP: membership_messages.Message,
    LOG: log_words.Message,
    SPREAD: dissemination_types.Message,
}


class Parts:
    """All cores of one front door. `machines` are those that stand on the log beside the sessions."""

    def __init__(
        self,
        me: NodeInstance,
        settings: CouncilSettings,
        disk: str,
        recovered: Recovered,
        panel: Voters,
        machines: Mapping[str, StateMachine],
        draw: Callable[[], float],
        wall_ms: Callable[[int], int],
    ) -> None:
        beat_us = settings.beat_us
        self.sessions = SessionRegistry()
        on_log = {self.sessions.name: self.sessions, **machines}
        self.membership = Membership(
            me, MembershipSettings(probe_interval_us=beat_us, ping_timeout_us=beat_us * 2 // 5), draw
        )
        self.log = LogCore(me, disk, recovered, panel, on_log, LogSettings(), draw, wall_ms)
        self.holder = LeaseHolder(me, self.sessions, settings.terms, draw, beat_us)
        self.keeper = LeaseManager(self.sessions, settings.terms, beat_us)
        self.spread = DisseminationTree(me, SpreadSettings(heartbeat_interval_us=beat_us), draw)

    @property
    def wake_us(self) -> int:
        return min(
            self.membership.wake_us,
            self.log.wake_us,
            self.holder.wake_us,
            self.keeper.wake_us,
            self.spread.wake_us,
        )

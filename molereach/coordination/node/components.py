"""The sans-I/O components of one coordination node, and the message types of their protocols."""

from collections.abc import Callable, Mapping
from typing import Any, Protocol

from molereach.coordination.dissemination import messages as dissemination_messages
from molereach.coordination.dissemination.core import DisseminationTree
from molereach.coordination.dissemination.settings import DisseminationSettings
from molereach.coordination.interface.identifiers import NodeInstance
from molereach.coordination.interface.log import StateMachine
from molereach.coordination.leases.holder import LeaseHolder
from molereach.coordination.leases.manager import LeaseManager
from molereach.coordination.leases.sessions import SessionRegistry
from molereach.coordination.membership import messages as membership_messages
from molereach.coordination.membership.core import Membership
from molereach.coordination.membership.settings import MembershipSettings
from molereach.coordination.node.settings import CoordinationSettings
from molereach.coordination.replicated_log import messages as log_messages
from molereach.coordination.replicated_log.core import LogCore
from molereach.coordination.replicated_log.messages import Voters
from molereach.coordination.replicated_log.records import Recovered
from molereach.coordination.replicated_log.settings import LogSettings

# Protocol names are part of the handshake, and their alphabetical order numbers the protocols.
MEMBERSHIP = "membership"
LOG = "log"
DISSEMINATION = "spread"
MESSAGE_TYPES: dict[str, Any] = {
    MEMBERSHIP: membership_messages.Message,
    LOG: log_messages.Message,
    DISSEMINATION: dissemination_messages.Message,
}
# Components without a protocol of their own.
LEASE_MANAGER = "lease manager"
LEASE_HOLDER = "lease holder"


class Component(Protocol):
    """A sans-I/O component: handles events and returns actions."""

    @property
    def wake_us(self) -> int:
        """The time at which the next `Tick` is due."""

    def handle(self, now_us: int, event: Any) -> Any:  # noqa: ANN401
        """Handle an event; return the resulting actions in order."""


class Components:
    """All components of one node. `machines` are state machines by name, replicated beside the sessions."""

    def __init__(
        self,
        local_instance: NodeInstance,
        settings: CoordinationSettings,
        disk: str,
        recovered: Recovered,
        initial_voters: Voters,
        machines: Mapping[str, StateMachine],
        random: Callable[[], float],
        wall_ms: Callable[[int], int],
    ) -> None:
        interval_us = settings.heartbeat_interval_us
        session_terms = settings.session_terms
        self.sessions = SessionRegistry()
        all_machines = {self.sessions.name: self.sessions, **machines}
        membership_settings = MembershipSettings(
            probe_interval_us=interval_us, ping_timeout_us=interval_us * 2 // 5
        )
        self.membership = Membership(local_instance, membership_settings, random)
        self.log = LogCore(
            local_instance, disk, recovered, initial_voters, all_machines, LogSettings(), random, wall_ms
        )
        self.lease_holder = LeaseHolder(local_instance, self.sessions, session_terms, random, interval_us)
        self.lease_manager = LeaseManager(self.sessions, session_terms, interval_us)
        tree_settings = DisseminationSettings(heartbeat_interval_us=interval_us)
        self.dissemination = DisseminationTree(local_instance, tree_settings, random)
        # In the order of ticks. The lease holder is last: it acknowledges what the other components applied.
        self.by_name: dict[str, Component] = {
            MEMBERSHIP: self.membership,
            LOG: self.log,
            DISSEMINATION: self.dissemination,
            LEASE_MANAGER: self.lease_manager,
            LEASE_HOLDER: self.lease_holder,
        }

    @property
    def wake_us(self) -> int:
        """The earliest time at which a component needs a `Tick`."""
        return min(component.wake_us for component in self.by_name.values())

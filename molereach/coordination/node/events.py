"""Events and actions of a coordination node."""

from dataclasses import dataclass

from molereach.coordination.dissemination.messages import ParentChanged
from molereach.coordination.interface.core import MessageReceived, SendMessage, Tick
from molereach.coordination.interface.disk import DiskFailed, Persist, Persisted
from molereach.coordination.interface.log import (
    Applied,
    LeaderChanged,
    ProposalFinished,
    Propose,
    Restored,
)
from molereach.coordination.leases.messages import LeaseAcquired, LeaseLost
from molereach.coordination.membership.events import LocalHealthChanged, MemberStatusChanged
from molereach.coordination.replicated_log.learner import MachineFailed
from molereach.coordination.replicated_log.outbox import LogStopped
from molereach.coordination.replicated_log.start_protocol import DiskRollbackDetected


@dataclass(frozen=True, slots=True)
class Start:
    """Event: join the other members; must be the first event."""


@dataclass(frozen=True, slots=True)
class Leave:
    """Event: leave the cluster. `SessionClosed` follows when the log has closed the session."""


@dataclass(frozen=True, slots=True)
class PeerMessage:
    """Event: a message of a protocol was received."""

    protocol: str
    received: MessageReceived


@dataclass(frozen=True, slots=True)
class SendToPeer:
    """Action: send a message of a protocol."""

    protocol: str
    message: SendMessage


@dataclass(frozen=True, slots=True)
class SessionClosed:
    """Action: the session was closed because this proxy left."""


@dataclass(frozen=True, slots=True)
class Ended:
    """Action: this instance no longer takes part in coordination; the reason is one line."""

    reason: str


Event = Start | Leave | Tick | PeerMessage | Persisted | DiskFailed | Propose
Notification = (
    MemberStatusChanged
    | LocalHealthChanged
    | LeaderChanged
    | LeaseAcquired
    | LeaseLost
    | LogStopped
    | DiskRollbackDetected
    | MachineFailed
    | ParentChanged
)
Action = SendToPeer | Persist | Applied | Restored | ProposalFinished | SessionClosed | Ended | Notification

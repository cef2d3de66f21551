"""Log lines for the operator about the coordination of one proxy."""

import logging
from typing import Any

from molereach.coordination.interface.log import LeaderChanged, Restored
from molereach.coordination.leases.messages import LeaseAcquired, LeaseLost
from molereach.coordination.membership.events import MemberStatusChanged
from molereach.coordination.node.events import Ended
from molereach.coordination.replicated_log.learner import MachineFailed
from molereach.coordination.replicated_log.outbox import LogStopped
from molereach.coordination.replicated_log.start_protocol import DiskRollbackDetected

log = logging.getLogger(__name__)


def log_action(action: Any) -> None:  # noqa: ANN401
    """Log an action, if it is relevant to the operator."""
    match action:
        case LeaderChanged() | LeaseAcquired() | LeaseLost() | MemberStatusChanged():
            _log_status(action)
        case Restored(position=position):
            log.info("council: has the state up to position %d by a snapshot", position)
        case Ended(reason):
            log.error("council: has no part any more: %s", reason)
        case LogStopped(reason=reason):
            log.error("council: accepts nothing more: %s", reason)
        case DiskRollbackDetected(start_count=start_count, known_start_count=known_start_count):
            log.error(
                "council: the folder was set back (start %d, %d is known): it votes no more; give it "
                "a new folder",
                start_count,
                known_start_count,
            )
        case MachineFailed(machine=machine, reason=reason):
            log.error("council: %s is stopped here: %s", machine, reason)


def _log_status(action: LeaderChanged | LeaseAcquired | LeaseLost | MemberStatusChanged) -> None:
    match action:
        case LeaderChanged(is_self=True, ballot=ballot):
            log.info("council: leads, ballot %d", ballot)
        case LeaderChanged(leader=leader, ballot=ballot):
            log.info("council: %s leads, ballot %d", leader or "nobody", ballot)
        case LeaseAcquired(fencing_token=token):
            log.info("council: session %d is held", token)
        case LeaseLost(fencing_token=token, reason=reason):
            log.warning("council: session %d is not held any more: %s", token, reason)
        case MemberStatusChanged(instance=instance, previous=previous, status=status):
            if previous is not status:
                log.info("council: %s is %s", instance.name, status.name.lower())

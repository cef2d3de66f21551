"""Actions of one component that are, in another form, events of another one."""

from collections.abc import Callable
from typing import Any, NamedTuple

from molereach.coordination.dissemination import messages as tree
from molereach.coordination.interface.log import ConfirmLeadership, LeadershipConfirmed, Propose
from molereach.coordination.interface.sessions import RenewalRequest
from molereach.coordination.leases import messages as lease
from molereach.coordination.node.components import DISSEMINATION, LEASE_HOLDER, LEASE_MANAGER, LOG
from molereach.coordination.replicated_log.core import CatchUp, EntriesLearned


def _unchanged(action: Any) -> Any:  # noqa: ANN401
    return action


class Translation(NamedTuple):
    """The component that handles an action, and the function that makes its event."""

    component: str
    to_event: Callable[[Any], Any] = _unchanged


TRANSLATIONS: dict[type, Translation] = {
    Propose: Translation(LOG),
    ConfirmLeadership: Translation(LOG),
    LeadershipConfirmed: Translation(LEASE_MANAGER),
    RenewalRequest: Translation(DISSEMINATION, tree.RenewalWanted),
    lease.SendGrants: Translation(DISSEMINATION, lambda action: tree.GrantsIssued(action.grants)),
    tree.RequestsCollected: Translation(
        LEASE_MANAGER, lambda action: lease.RenewalsReceived(action.requests)
    ),
    tree.LocalGrants: Translation(LEASE_HOLDER, lambda action: lease.GrantsReceived(action.grants)),
    tree.EntriesReceived: Translation(LOG, lambda action: EntriesLearned(action.entries)),
    tree.FetchEntries: Translation(LOG, lambda action: CatchUp(action.source)),
}

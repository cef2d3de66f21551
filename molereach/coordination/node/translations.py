"""Translates actions of one component to events of another."""

from collections.abc import Callable
from typing import Any, NamedTuple

from molereach.coordination.dissemination import messages as dissemination
from molereach.coordination.interface.log import ConfirmLeadership, LeadershipConfirmed, Propose
from molereach.coordination.interface.sessions import RenewalRequest
from molereach.coordination.leases import messages as leases
from molereach.coordination.node.components import DISSEMINATION, LEASE_HOLDER, LEASE_MANAGER, LOG
from molereach.coordination.replicated_log.core import CatchUp, EntriesLearned


def _unchanged(action: Any) -> Any:  # noqa: ANN401
    return action


class Translation(NamedTuple):
    """The component that handles an action, and the function that converts the action to its event."""

    component: str
    to_event: Callable[[Any], Any] = _unchanged


TRANSLATIONS: dict[type, Translation] = {
    Propose: Translation(LOG),
    ConfirmLeadership: Translation(LOG),
    LeadershipConfirmed: Translation(LEASE_MANAGER),
    RenewalRequest: Translation(DISSEMINATION, dissemination.RenewalWanted),
    leases.SendGrants: Translation(DISSEMINATION, lambda action: dissemination.GrantsIssued(action.grants)),
    dissemination.RequestsCollected: Translation(
        LEASE_MANAGER, lambda action: leases.RenewalsReceived(action.requests)
    ),
    dissemination.LocalGrants: Translation(LEASE_HOLDER, lambda action: leases.GrantsReceived(action.grants)),
    dissemination.EntriesReceived: Translation(LOG, lambda action: EntriesLearned(action.entries)),
    dissemination.FetchEntries: Translation(LOG, lambda action: CatchUp(action.source)),
}

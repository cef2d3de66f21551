"""Read-only snapshots of a customer's limits at one proxy, for operators."""

from molereach.limits.escrow import Escrow
from molereach.limits.loans import FULL_SHARE
from molereach.limits.partition_quota import PartitionQuota
from molereach.limits.settings import SECOND_US
from molereach.policy.interface.messages import CustomerKey
from molereach.policy.interface.protocols import CustomerLimits


def customer_snapshots(
    escrow: Escrow, partition_quota: PartitionQuota, customer_checksum: int, now_us: int
) -> list[CustomerLimits]:
    """Return one snapshot for each plan and set under which the customer is known."""
    tables = (escrow.accounts, partition_quota.totals.entries, partition_quota.owner_states)
    keys = {key: None for table in tables for key in table if key[0] == customer_checksum}
    return [_snapshot(escrow, partition_quota, key, now_us) for key in keys]


def _snapshot(
    escrow: Escrow, partition_quota: PartitionQuota, key: CustomerKey, now_us: int
) -> CustomerLimits:
    account = escrow.accounts.get(key)
    spending = partition_quota.totals.entries.get(key)
    owner_state = partition_quota.owner_states.get(key)
    spent_units = spending.spent_units if spending else 0.0
    separated = sorted(owner_state.separated_since_us) if owner_state else []
    if account is None:
        return CustomerLimits(key[1], 0.0, 0.0, {}, {}, 0.0, 0.0, spent_units, separated)
    lent_by_peer = {peer: loan.lent_share(now_us) / FULL_SHARE for peer, loan in account.loans.items()}
    usable_loans = {
        peer: borrowed for peer, borrowed in account.borrowed.items() if borrowed.usable_share(now_us)
    }
    ages_us = [now_us - borrowed.requested_us for borrowed in usable_loans.values()]
    return CustomerLimits(
        plan=key[1],
        share=account.usable_share(now_us) / FULL_SHARE,
        store=account.tokens,
        lent={peer: share for peer, share in lent_by_peer.items() if share},
        borrowed={peer: borrowed.granted_share / FULL_SHARE for peer, borrowed in usable_loans.items()},
        oldest_s=round(max(ages_us, default=0) / SECOND_US, 3),
        taken=account.consumed_units,
        spent=spent_units,
        apart=separated,
    )

"""The inventory of all state that a front door keeps by member, and what a purge does to each item.

A purge removes readings. Counters of a member (quotas, ceilings) stay, or a purge would refill its quota;
they contain no reading and are removed by their own rules. A test scans the code for state kept by member and
fails where an item is missing here.
"""

from dataclasses import dataclass
from enum import Enum


class PurgeEffect(Enum):
    """What a purge does to an item."""

    REMOVED = "dropped"  # before the clear position covers the purge
    INVALIDATED = "voided"  # unusable from when the purge is applied, freed when its request ends
    RETAINED = "kept"  # contains no reading; removed some time after the member's last request
    TRANSIENT = "ends"  # of requests and messages in progress: gone within their own time limits
    PURGE_STATE = "proof"  # belongs to the purge itself


@dataclass(frozen=True, slots=True)
class MemberState:
    """One attribute of one class ("" where the state is none), and how long it stays without a purge."""

    owner: str  # the class, with its module
    attribute: str
    description: str
    effect: PurgeEffect
    retention: str


POLICY, PROXY, LIMITS = "molereach.policy", "molereach.proxy", "molereach.limits"
CACHE, CLIENT_CONNECTION = "molereach.cache", "molereach.clients.resp.ClientConnection"
REQUEST_END = "until its request is answered and its last attempt is over"
BUCKETS_FULL = "until its token buckets are full again and equal to new ones"
LOAN_END = "until the loan has expired on both sides"

MEMBER_STATES: tuple[MemberState, ...] = (
    # Readings
    MemberState(
        f"{CACHE}.readings.store.Store", "_shares", "readings", PurgeEffect.REMOVED, "at most twice their age"
    ),
    MemberState(
        f"{CACHE}.readings.store.Store", "_fresh", "readings used once", PurgeEffect.REMOVED, "as above"
    ),
    MemberState(
        f"{CACHE}.readings.store.Store", "_proven", "readings used again", PurgeEffect.REMOVED, "as above"
    ),
    MemberState(
        f"{CACHE}.readings.store.Share",
        "readings",
        "readings of one member",
        PurgeEffect.REMOVED,
        "as above",
    ),
    MemberState(
        f"{CACHE}.readings.sweeps.Sweep",
        "remaining",
        "readings that a purge invalidates",
        PurgeEffect.REMOVED,
        "a few turns of the loop",
    ),
    MemberState(
        f"{CACHE}.fills.ticket.Ticket", "", "answers on their way", PurgeEffect.INVALIDATED, REQUEST_END
    ),
    MemberState(f"{CACHE}.hit.Hit", "", "hits on their way", PurgeEffect.INVALIDATED, "a turn of the loop"),
    # The purge itself
    MemberState(
        f"{CACHE}.readings.marks.Marks",
        "_marks",
        "newest purge by scope",
        PurgeEffect.PURGE_STATE,
        "the longest age of any class",
    ),
    MemberState(
        f"{CACHE}.readings.sweeps.Sweeps",
        "_sweeps",
        "purges whose readings are being removed",
        PurgeEffect.PURGE_STATE,
        "a few turns of the loop",
    ),
    MemberState(
        f"{CACHE}.door.Door",
        "_news",
        "purges of a snapshot",
        PurgeEffect.PURGE_STATE,
        "a few turns of the loop",
    ),
    MemberState(
        f"{CACHE}.purge.past.Purged",
        "_newest",
        "newest purge by scope",
        PurgeEffect.PURGE_STATE,
        "until what it invalidates has expired",
    ),
    MemberState(
        f"{CACHE}.purge.machine.Purges",
        "_pending",
        "requested purges",
        PurgeEffect.PURGE_STATE,
        "until complete",
    ),
    MemberState(
        f"{CACHE}.purge.machine.Purges",
        "_done",
        "receipts",
        PurgeEffect.PURGE_STATE,
        "until newer ones exceed the bounds",
    ),
    # Quotas and ceilings
    MemberState(
        f"{POLICY}.customers.Customers",
        "accounts",
        "token buckets of quota and ceiling",
        PurgeEffect.RETAINED,
        BUCKETS_FULL,
    ),
    MemberState(
        f"{POLICY}.customers.Customers",
        "first_keys",
        "first key by customer and plan",
        PurgeEffect.RETAINED,
        BUCKETS_FULL,
    ),
    MemberState(
        f"{LIMITS}.escrow.Escrow", "accounts", "shares of ceilings", PurgeEffect.RETAINED, BUCKETS_FULL
    ),
    MemberState(
        f"{LIMITS}.borrowing.Borrowing",
        "plan_queue",
        "when loans are planned",
        PurgeEffect.RETAINED,
        LOAN_END,
    ),
    MemberState(
        f"{LIMITS}.ceiling_account.CeilingAccount",
        "loans",
        "lent parts of a ceiling",
        PurgeEffect.RETAINED,
        LOAN_END,
    ),
    MemberState(
        f"{LIMITS}.ceiling_account.CeilingAccount",
        "borrowed",
        "borrowed parts of a ceiling",
        PurgeEffect.RETAINED,
        LOAN_END,
    ),
    MemberState(
        f"{LIMITS}.spending_totals.SpendingTotals",
        "entries",
        "spending of quotas of other owners",
        PurgeEffect.RETAINED,
        BUCKETS_FULL,
    ),
    MemberState(
        f"{LIMITS}.partition_quota.PartitionQuota",
        "owner_states",
        "spending at other proxies",
        PurgeEffect.RETAINED,
        BUCKETS_FULL,
    ),
    # Messages to owners
    MemberState(
        f"{POLICY}.gossip.GossipOutbox", "waiting", "messages to owners", PurgeEffect.TRANSIENT, "80 ms"
    ),
    MemberState(
        f"{POLICY}.gossip.GossipOutbox", "deferred", "messages to owners", PurgeEffect.TRANSIENT, "0.5 s"
    ),
    MemberState(
        f"{LIMITS}.escrow.Escrow",
        "outbox",
        "requests and grants of loans",
        PurgeEffect.TRANSIENT,
        "until the next tick, 20 ms",
    ),
    MemberState(
        f"{LIMITS}.core.Limits",
        "pending_replies",
        "replies of limits",
        PurgeEffect.TRANSIENT,
        "until the next tick, 20 ms",
    ),
    MemberState(
        f"{LIMITS}.spending_totals.SpendingTotals",
        "unsent",
        "spending to report",
        PurgeEffect.TRANSIENT,
        "until it is reported",
    ),
    MemberState(
        f"{LIMITS}.spending_totals.SpendingTotals",
        "repeat_at_us",
        "spending to report once more",
        PurgeEffect.TRANSIENT,
        "until it is reported",
    ),
    # Requests in progress
    MemberState(f"{POLICY}.attempts.Attempts", "pending", "requests", PurgeEffect.TRANSIENT, REQUEST_END),
    MemberState(
        f"{POLICY}.waiting_queue.WaitingQueue",
        "entries",
        "requests that wait for a server",
        PurgeEffect.TRANSIENT,
        REQUEST_END,
    ),
    MemberState(
        f"{POLICY}.admission.Admission",
        "awaiting_owner",
        "requests that wait for the owner's reply",
        PurgeEffect.TRANSIENT,
        REQUEST_END,
    ),
    MemberState(
        f"{POLICY}.gateway.Gateway",
        "actions",
        "actions of the last event",
        PurgeEffect.TRANSIENT,
        "until the next event",
    ),
    MemberState(
        f"{PROXY}.policy_driver.PolicyDriver",
        "inbox",
        "events of this turn",
        PurgeEffect.TRANSIENT,
        "a turn of the loop",
    ),
    MemberState(
        f"{PROXY}.request_registry.RequestRegistry", "open", "requests", PurgeEffect.TRANSIENT, REQUEST_END
    ),
    MemberState(
        f"{PROXY}.request_registry.RequestRegistry",
        "answered",
        "answered requests with unfinished attempts",
        PurgeEffect.TRANSIENT,
        REQUEST_END,
    ),
    MemberState(
        CLIENT_CONNECTION,
        "replies",
        "answers in the order of their commands",
        PurgeEffect.TRANSIENT,
        "until sent; a cached reading is checked once more right before that",
    ),
    # State that is not in an attribute
    MemberState(
        PROXY, "", "log lines on a fault, with the event", PurgeEffect.RETAINED, "as long as the log files"
    ),
    MemberState(
        "molereach.shards.counts",
        "",
        "each member's part of a shard's writes",
        PurgeEffect.RETAINED,
        "a window of counts; sums, no readings",
    ),
    MemberState(
        "molereach.plans", "", "plans of use: none are stored yet", PurgeEffect.RETAINED, "not defined yet"
    ),
)


def by_attribute() -> dict[tuple[str, str], MemberState]:
    """The items that are attributes, by class and attribute."""
    return {(state.owner, state.attribute): state for state in MEMBER_STATES if state.attribute}

"""All that a front door keeps by member, and what a purge does to each: a table of data.

A purge is of readings: what was answered. What is counted of a member (quotas, ceilings) stays, or a purge
would be a way to a fresh store; it holds no reading and goes by itself. A test finds in the code what is kept
by member and fails where that is not declared here.
"""

from dataclasses import dataclass
from enum import Enum


class Effect(Enum):
    """What a purge does to a holding."""

    DROPPED = "dropped"  # let go of before `clear` is said
    VOIDED = "voided"  # never used from when the purge is applied, let go of when it ends
    KEPT = "kept"  # holds no reading; goes by itself when the member asks for nothing
    ENDS = "ends"  # of requests under way or words on their way: gone within their own time
    PROOF = "proof"  # of the purge itself


@dataclass(frozen=True, slots=True)
class Holding:
    """One attribute of one class, or "" for what is no attribute; and for how long it stays otherwise."""

    owner: str  # the class, with its module
    attribute: str
    what: str
    effect: Effect
    stays: str


RULES, DOOR, LIMITS = "molereach.policy", "molereach.proxy", "molereach.limits"
CACHE, CLIENT = "molereach.cache", "molereach.clients.resp.ClientConnection"
REQUEST = "until its request is answered and its last attempt is over"
FULL_AGAIN = "until its stores are full again: as good as new then"
LOANS = "until the loan is over by time, with both"

HOLDINGS: tuple[Holding, ...] = (
    # Readings
    Holding(f"{CACHE}.readings.store.Store", "_shares", "readings", Effect.DROPPED, "its age, twice at most"),
    Holding(f"{CACHE}.readings.store.Store", "_fresh", "readings used once", Effect.DROPPED, "as above"),
    Holding(f"{CACHE}.readings.store.Store", "_proven", "readings used again", Effect.DROPPED, "as above"),
    Holding(f"{CACHE}.readings.store.Share", "readings", "readings of one", Effect.DROPPED, "as above"),
    Holding(
        f"{CACHE}.readings.sweeps.Sweep",
        "left",
        "readings that a purge forbids",
        Effect.DROPPED,
        "a few turns",
    ),
    Holding(f"{CACHE}.fills.ticket.Ticket", "", "answers on their way", Effect.VOIDED, REQUEST),
    Holding(f"{CACHE}.hit.Hit", "", "hits on their way out", Effect.VOIDED, "a turn of the loop"),
    # The purge itself
    Holding(f"{CACHE}.readings.marks.Marks", "_marks", "its newest purge", Effect.PROOF, "the oldest age"),
    Holding(f"{CACHE}.readings.sweeps.Sweeps", "_sweeps", "purges under way", Effect.PROOF, "a few turns"),
    Holding(f"{CACHE}.door.Door", "_news", "purges of a snapshot", Effect.PROOF, "a few turns"),
    Holding(
        f"{CACHE}.purge.past.Purged",
        "_newest",
        "its newest purge",
        Effect.PROOF,
        "until what it forbids is dead by age",
    ),
    Holding(f"{CACHE}.purge.machine.Purges", "_pending", "purges asked for", Effect.PROOF, "until done"),
    Holding(f"{CACHE}.purge.machine.Purges", "_done", "receipts", Effect.PROOF, "until newer ones need room"),
    # Quota levels and ceilings
    Holding(
        f"{RULES}.customers.Customers", "accounts", "levels of quota and ceiling", Effect.KEPT, FULL_AGAIN
    ),
    Holding(
        f"{RULES}.customers.Customers", "first_keys", "the set under which it came", Effect.KEPT, FULL_AGAIN
    ),
    Holding(f"{LIMITS}.escrow.Escrow", "accounts", "shares of ceilings", Effect.KEPT, FULL_AGAIN),
    Holding(f"{LIMITS}.borrowing.Borrowing", "plan_queue", "when loans are planned", Effect.KEPT, LOANS),
    Holding(f"{LIMITS}.ceiling_account.CeilingAccount", "loans", "what is lent of it", Effect.KEPT, LOANS),
    Holding(
        f"{LIMITS}.ceiling_account.CeilingAccount", "borrowed", "what is borrowed of it", Effect.KEPT, LOANS
    ),
    Holding(
        f"{LIMITS}.spending_totals.SpendingTotals",
        "entries",
        "spending of quotas of other owners",
        Effect.KEPT,
        FULL_AGAIN,
    ),
    Holding(
        f"{LIMITS}.partition_quota.PartitionQuota",
        "owner_states",
        "spending of others",
        Effect.KEPT,
        FULL_AGAIN,
    ),
    # Words to homes
    Holding(f"{RULES}.gossip.GossipOutbox", "waiting", "words to homes", Effect.ENDS, "80 ms"),
    Holding(f"{RULES}.gossip.GossipOutbox", "deferred", "words to homes", Effect.ENDS, "0.5 s"),
    Holding(
        f"{LIMITS}.escrow.Escrow",
        "outbox",
        "requests and grants of loans",
        Effect.ENDS,
        "the next look, 20 ms",
    ),
    Holding(
        f"{LIMITS}.core.Limits", "pending_replies", "replies of limits", Effect.ENDS, "the next look, 20 ms"
    ),
    Holding(
        f"{LIMITS}.spending_totals.SpendingTotals",
        "unsent",
        "spending to be told",
        Effect.ENDS,
        "until it is told",
    ),
    Holding(
        f"{LIMITS}.spending_totals.SpendingTotals",
        "repeat_at_us",
        "spending to be told again",
        Effect.ENDS,
        "until it is told",
    ),
    # Requests under way
    Holding(f"{RULES}.attempts.Attempts", "pending", "requests", Effect.ENDS, REQUEST),
    Holding(
        f"{RULES}.waiting_queue.WaitingQueue",
        "entries",
        "requests that wait for a server",
        Effect.ENDS,
        REQUEST,
    ),
    Holding(
        f"{RULES}.admission.Admission", "awaiting_owner", "requests that wait for word", Effect.ENDS, REQUEST
    ),
    Holding(
        f"{RULES}.gateway.Gateway",
        "actions",
        "what the last event brought about",
        Effect.ENDS,
        "until the next event",
    ),
    Holding(
        f"{DOOR}.policy_driver.PolicyDriver",
        "inbox",
        "events of this turn",
        Effect.ENDS,
        "a turn of the loop",
    ),
    Holding(f"{DOOR}.request_registry.RequestRegistry", "open", "requests", Effect.ENDS, REQUEST),
    Holding(
        f"{DOOR}.request_registry.RequestRegistry",
        "answered",
        "requests with attempts still out",
        Effect.ENDS,
        REQUEST,
    ),
    Holding(
        CLIENT,
        "replies",
        "answers in the order of their commands",
        Effect.ENDS,
        "until sent; one from memory is looked at again right before that",
    ),
    # Beside the program's memory
    Holding(DOOR, "", "log lines on a fault, with the event", Effect.KEPT, "as long as the log's files"),
    Holding(
        "molereach.shards.counts",
        "",
        "how much of a shard's writes is whose",
        Effect.KEPT,
        "a window of counts; sums, no readings",
    ),
    Holding("molereach.plans", "", "plans of use: none are kept yet", Effect.KEPT, "declared where it comes"),
)


def declared() -> dict[tuple[str, str], Holding]:
    """By class and attribute."""
    return {(each.owner, each.attribute): each for each in HOLDINGS if each.attribute}

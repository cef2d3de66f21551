"""Words to homes and their answers, until they leave: at once, but spaced where the set is small.

What leaves the home wrong by little is gathered for longer: all of a customer is one word then. At the home,
an answer may bring units of the ceiling that are the home's to give.
"""

from collections.abc import Sequence

from molereach.policy.customers import Customers
from molereach.policy.interface.actions import SendGossip
from molereach.policy.interface.messages import SPLIT_CEILING_MARK, CustomerKey, GossipMessage, LimitMessage
from molereach.policy.interface.settings import Settings
from molereach.policy.peer_liveness import Peers
from molereach.policy.quota import WORD_FRESH_US, Customer
from molereach.policy.time_units import NEVER_US, SECOND_US

MARK_US = 3 * SECOND_US  # how often a peer is told that this is kept to; older ones speak without
SPACE_US = 80_000  # between words to one peer, at most
LATE_US = WORD_FRESH_US // 2  # what may be told late: the home's own words hold for twice as long


class Words:
    """The words that wait to leave, by peer."""

    __slots__ = ("customers", "late", "marked_us", "peers", "set", "since_us", "told_us", "waiting")

    def __init__(self, settings: Settings, customers: Customers, peers: Peers) -> None:
        self.set, self.customers, self.peers = settings, customers, peers
        self.waiting: dict[int, list[GossipMessage | LimitMessage]] = {}
        self.late: dict[int, dict[CustomerKey, Customer]] = {}  # of whom there is something to tell late
        self.since_us: dict[int, int] = {}  # from when, the eldest first
        self.told_us: dict[int, int] = {}  # when words last left for it
        self.marked_us: dict[int, int] = {}  # when each peer was told that ceilings are split here

    def tell(self, peer: int, customer: Customer, asked: float, inside: bool | None = None) -> None:
        """A word to the home of what was asked and spent, or the home's answer with what it knows."""
        answer = customer.home == self.set.proxy_index
        demand = customer.demand if answer else customer.untold
        wanted = answer and asked > 0 and inside is not False and customer.plan.ceiling_rate > 0
        granted = wanted and self.give(customer, asked)
        word = GossipMessage(
            *customer.key, answer, demand, customer.spent, asked, customer.level, granted, inside
        )
        if peer != self.set.proxy_index:
            self.waiting.setdefault(peer, []).append(word)
        customer.untold = customer.spent = 0.0

    def note(self, now: int, customer: Customer) -> None:
        """Something was asked and spent of the part here: told now, or late where the home can do without."""
        if customer.home == self.set.proxy_index or not customer.may_be_late():
            return self.tell(customer.home, customer, 0.0)
        self.since_us.setdefault(customer.home, now)
        self.late.setdefault(customer.home, {})[customer.key] = customer

    @property
    def due_us(self) -> int:
        """When words that are told late leave."""
        return next(iter(self.since_us.values()), NEVER_US) + LATE_US

    def tell_late(self, now: int) -> None:
        """What was told late is told now, less what the home has heard of since."""
        while now >= self.due_us:
            del self.since_us[(peer := next(iter(self.since_us)))]
            for customer in self.late.pop(peer).values():
                customer.untold = min(customer.untold, customer.refill(now).own)  # it ages here as there
                if customer.untold or customer.spent:
                    self.tell(customer.home, customer, 0.0)

    def give(self, customer: Customer, units: float) -> bool:
        """At the home: give out units of the ceiling that are its own. Those that are not used are lost.

        Its share is what the gateways of the set leave: all but those that speak and do not say so. One that
        has not been heard since this start has spent nothing that it had to tell.
        """
        _, _, first, size = customer.key
        members = ((first + n) % self.set.proxy_count for n in range(size))
        leave = sum(map(self.peers.leaves, members))
        customer.pooled = (1 - customer.split) * leave / size
        customer.pool = min(customer.pool, customer.most_pooled)
        if customer.pool < units or customer.level < units:  # what the quota refuses would be lost
            return False
        customer.pool -= units
        return True

    def leave(self, now: int) -> Sequence[SendGossip]:
        """Words leave at once, but in a small set spaced so that all peers together take half an intake."""
        limits, waiting = self.customers.limits, self.waiting
        self.tell_late(now)
        for peer, word in limits.due_messages(now) if limits else ():
            waiting.setdefault(peer, []).extend([word] if word else [])
        if not waiting:
            return ()
        space = min(
            SPACE_US, 2 * SECOND_US * (self.set.proxy_count - 1) / max(1, self.set.gossip_messages_per_s)
        )
        leaving = []
        for peer in [peer for peer in waiting if now - self.told_us.get(peer, -SECOND_US) >= space]:
            self.told_us[peer] = now
            if self.customers.splits() and now - self.marked_us.get(peer, -MARK_US) >= MARK_US:
                self.marked_us[peer] = now
                waiting[peer].append(GossipMessage(0, SPLIT_CEILING_MARK, 0, 0))
            leaving.append(SendGossip(peer, tuple(waiting.pop(peer))))
            if limits:
                limits.mark_sent(now, peer)
        return leaving

"""Whether a request is inside its customer's quota: by the part here, the home's last word, or a new one.

The chance rule: where more is asked than there is, each request is inside by quota over summed demand. The
home adds up what the set asks and spends, and draws where it counts. Words may be lost: an ask is repeated,
and after a few what is known here must do.
"""

from collections.abc import Callable
from random import Random

from molereach.policy.customers import Customers
from molereach.policy.gossip import Words
from molereach.policy.interface.events import GossipReceived
from molereach.policy.interface.messages import SPLIT_CEILING_MARK, CustomerKey, GossipMessage, SpendingTotal
from molereach.policy.interface.settings import Settings
from molereach.policy.peer_liveness import Peers
from molereach.policy.pending_request import Job
from molereach.policy.quota import DEMAND_US, GRANT_US, WORD_FRESH_US, Customer
from molereach.policy.time_units import NEVER_US, SECOND_US, TICK_US

# The wait for word from home, its part of the aim, and how often it is asked.
ASK_US, ASK_PART, ASKS = 160_000, 3, 3
ASK_SHARE = 0.5  # part of a gateway's intake that the asks for one customer may take


def wait_us(job: Job) -> int:
    """For one word from home."""
    return min(ASK_US, job.rule.latency_objective_us // ASK_PART)


class Admission:
    """Those that wait for word; `decide` is told of each request once its chance is known, in turn."""

    __slots__ = ("customers", "decide", "peers", "random", "set", "waits", "words")

    def __init__(
        self,
        settings: Settings,
        random: Random,
        customers: Customers,
        decide: Callable[[Job, float], None],
    ) -> None:
        self.set, self.random, self.customers, self.decide = settings, random, customers, decide
        self.peers = Peers()
        self.words = Words(settings, customers, self.peers)
        self.waits: list[Job] = []

    def admit(self, now: int, job: Job) -> None:
        """The part while it lasts; else the chance rule, with word from the home where that is elsewhere."""
        customer, units, home = job.customer, job.req.units, job.customer.home
        customer.own, customer.untold = customer.own + units, customer.untold + units
        most = (
            ASK_SHARE * self.set.gossip_messages_per_s * DEMAND_US / SECOND_US
        )  # past this the last word must do
        heard = now - customer.heard_us < WORD_FRESH_US and self.random.random() * customer.demand > most
        if not customer.plan.max_in_flight and customer.part >= units and not customer.is_short(units):
            self.decide(job, 1.0)
            self.words.note(now, customer)
        elif (
            home == self.set.proxy_index
            or heard
            or self.peers.is_silent(now, home)
            or not customer.plan.quota_rate
        ):
            self.draw(now, job)
        else:
            self.ask(now, job)

    def draw(self, now: int, job: Job) -> None:
        """The chance rule by what is known here; few are let in, and where the ceiling's share here holds no
        whole request they ask for units of the home's all the same."""
        customer, units, home = job.customer, job.req.units, job.customer.home
        if not customer.is_short(units):
            self.decide(job, customer.chance(units))
        elif home == self.set.proxy_index:
            if self.words.give(customer, units):
                customer.take_given(now, now + GRANT_US, units)
            self.decide(job, customer.chance(units))
        elif self.peers.is_silent(now, home):
            self.decide(job, customer.chance(units))
        else:
            job.let_in = self.random.random() < customer.chance(units)
            self.ask(now, job) if job.let_in else self.decide(job, 0.0)

    def ask(self, now: int, job: Job) -> None:
        """Ask the customer's home, and let the request wait for its word."""
        job.asked_us = now
        self.peers.ask(now, job.customer.home)
        job.customer.asked_us = min(job.customer.asked_us, now)
        job.asks += 1
        job.decide_us = min(now + wait_us(job), job.end_us - 4 * TICK_US, job.half_us - 2 * TICK_US)
        self.waits.append(job)
        self.words.tell(job.customer.home, job.customer, job.req.units, job.let_in or None)

    def end_waits(
        self, now: int, told: Customer | None = None, granted: bool = False, inside: bool | None = None
    ) -> None:
        """Decide on those that wait for word: theirs has come, or what is known here must do."""
        ready = [job for job in self.waits if job.customer is told][:1]
        ready += [job for job in self.waits if job.decide_us <= now and job not in ready]
        self.waits = [job for job in self.waits if job not in ready]
        for job in [job for job in ready if not job.over]:
            last = min(job.end_us - 4 * TICK_US, job.half_us - 2 * TICK_US)
            if told is None and job.asks < ASKS and now + wait_us(job) < last:
                self.ask(now, job)  # words may be lost
                continue
            if granted and job.customer is told:
                job.customer.take_given(now, job.asked_us + GRANT_US, job.req.units)
            chance = 1.0 if job.let_in else job.customer.chance(job.req.units)
            # As much the home has counted already, each time that it was asked; not where it has totals.
            counted = chance * job.asks
            if inside is not None and job.customer is told:
                counted, chance = inside + chance * (job.asks - 1), float(inside)
            job.customer.spent -= 0 if self.customers.limits else job.req.units * counted
            self.decide(job, chance)

    def hear(self, now: int, message: GossipReceived) -> None:
        """A message of a peer."""
        self.peers.hear(now, message.sender)
        limits = self.customers.limits
        if limits:
            limits.receive(now, message)
        for word in message.messages:
            if not isinstance(word, GossipMessage):
                if limits and isinstance(word, SpendingTotal) and self.in_my_set(word.key):
                    self.customers.take_total(now, message.sender, word)
                continue
            if word.plan_index == SPLIT_CEILING_MARK:
                self.peers.marks_us[message.sender] = now
            key = (word.customer_checksum, word.plan_index, word.set_first, word.set_size)
            if self.in_my_set(key):
                self.hear_word(now, message.sender, key, word)

    def hear_word(self, now: int, sender: int, key: CustomerKey, word: GossipMessage) -> None:
        """The home adds up what its set asks and spends, or takes over at its start, and answers."""
        customer = self.customers.get(now, key)
        if word.is_reply:
            customer.heard_us, customer.level, customer.asked_us = now, word.tokens, NEVER_US
            customer.others = max(0.0, word.demand - customer.own)
            customer.part = min(customer.part, max(0.0, word.tokens / customer.size))
            self.end_waits(
                now, customer if word.requested_units else None, word.is_ceiling_granted, word.is_within_quota
            )
        elif customer.home == self.set.proxy_index:
            if not customer.told:  # a home that has just started is full again; the store need not be
                customer.told, customer.level = True, min(customer.level, word.tokens)
            customer.others += word.demand
            limits = self.customers.limits
            counted = limits is not None and limits.sends_totals(sender)
            customer.spend(0.0 if counted else word.spent_units)
            # The chance is drawn here, where it is counted: were its mean counted, and what came of it
            # told with the asker's next word, the store would be wrong until then.
            draws = (
                word.requested_units and not word.is_within_quota
            )  # else its own draw let in what it asks for
            inside = (
                self.random.random() < customer.chance(word.requested_units)
                if draws
                else word.is_within_quota
            )
            if word.requested_units or customer.level < customer.plan.quota_burst / 2:
                self.words.tell(sender, customer, word.requested_units, inside)
            customer.spend(0.0 if counted or not inside else word.requested_units)

    def in_my_set(self, key: CustomerKey) -> bool:
        _, plan, first, size = key
        known = (
            plan < len(self.set.plans) and first < self.set.proxy_count and 0 < size <= self.set.proxy_count
        )
        return known and (self.set.proxy_index - first) % self.set.proxy_count < size

"""What the decisions consult on limits, `Limits` in molereach/policy/interface. A core, over the two others.

`Escrow` has the ceilings, `Reach` the quotas. Words of both go out within a budget for each peer.
"""

from molereach.limits.escrow import REPEAT_US, WHOLE, Escrow
from molereach.limits.partition_quota import Reach
from molereach.limits.settings import LimitSettings, S
from molereach.policy.interface.events import GossipReceived
from molereach.policy.interface.messages import (
    CustomerKey,
    Join,
    JoinAcknowledged,
    Leave,
    LimitMessage,
    LoanGrant,
    LoanRequest,
    SpendingTotal,
)
from molereach.policy.interface.protocols import CustomerLimits
from molereach.policy.interface.settings import Settings

GENERATIONS = 1 << 16
TOTALS_AT_ONCE = 2  # at each look: 100 a second, to all homes together
LOOK_US = 20_000  # between two looks at what is to be told
MOST_PER_S, MOST_AT_ONCE = 100.0, 24.0  # words to one peer; about ten go into a datagram
FORGET_US = S


class Limits:
    """Limits of one front door; with several, each has one."""

    def __init__(self, settings: Settings, figures: LimitSettings) -> None:
        self.me, self.doors = settings.proxy_index, settings.proxy_count
        self.generation = settings.seed % GENERATIONS
        self.settings = figures
        self.escrow = Escrow(settings.proxy_index, settings.proxy_count, settings.plans, figures)
        self.reach_of = Reach(
            settings.proxy_index,
            settings.proxy_count,
            settings.plans,
            figures,
            settings.gossip_messages_per_s,
        )
        self.start_us = self.hello_us = self.look_us = self.forget_us = self.now_us = -1
        self.budget: dict[int, tuple[float, int]] = {}  # by peer: words that may go, and at what time
        self.answers: list[tuple[int, LimitMessage]] = []

    def start(self, now_us: int) -> None:
        self.start_us = self.hello_us = self.look_us = self.forget_us = now_us
        self.escrow.start(now_us)
        self.reach_of.start_us = now_us

    # --- ceilings ---

    def want(self, now_us: int, key: CustomerKey, units: float) -> None:
        self.escrow.want(now_us, key, units)

    def room(self, now_us: int, key: CustomerKey, units: float) -> bool:
        return self.escrow.room(now_us, key, units) >= units

    def take(self, now_us: int, key: CustomerKey, units: float) -> None:
        self.escrow.take(now_us, key, units)

    # --- quotas ---

    def reach(self, now_us: int, key: CustomerKey) -> tuple[int, float, float]:
        return self.reach_of.reach(now_us, key)

    def spend(self, now_us: int, key: CustomerKey, units: float, left: float) -> None:
        self.reach_of.spend(now_us, key, units, left)

    def spent(self, now_us: int, sender: int, total: SpendingTotal) -> float:
        return self.reach_of.spent(now_us, sender, total)

    def counts(self, sender: int) -> bool:
        return sender in self.reach_of.lives

    # --- words ---

    def hear(self, now_us: int, message: GossipReceived) -> None:
        sender, generation = message.sender, message.incarnation
        self.now_us = now_us
        self.reach_of.heard(now_us, sender, generation, message.is_heard)
        if generation is None:
            return
        for word in message.messages:
            match word:
                case LoanRequest():
                    self.escrow.asked(now_us, sender, generation, word)
                case LoanGrant():
                    self.escrow.granted(now_us, sender, word)
                case Join():
                    self.escrow.drop(now_us, sender)
                    self.answers.append(
                        (sender, JoinAcknowledged(generation, self.reach_of.tell_all(sender)))
                    )
                case Leave():
                    self.reach_of.left(now_us, sender, generation)
                case JoinAcknowledged(wanted, totals) if wanted == self.generation:
                    self.escrow.clear(now_us, sender)
                    if not totals:
                        self.reach_of.nothing_to_tell(sender)

    def bye(self) -> list[tuple[int, LimitMessage]]:
        """Nothing is spent here from now on: the last words, to all peers."""
        return [(peer, Leave()) for peer in range(self.doors) if peer != self.me]

    def hears(self, peer: int) -> bool:
        """Whether the peer has been heard of late, as of the last event."""
        return self.reach_of.hears(self.now_us, peer)

    def told(self, now_us: int, peer: int) -> None:
        self.now_us = now_us
        self.reach_of.told_us[peer] = now_us

    def due(self, now_us: int) -> list[tuple[int, LimitMessage | None]]:
        """Words to peers by now; None is a beat, which needs no word."""
        waiting = self.answers or self.escrow.out
        if not waiting and now_us < min(self.look_us, self.escrow.wake_us):
            return []
        found: list[tuple[int, LimitMessage | None]] = [*self.answers]
        self.answers = []
        found += self.escrow.due(now_us)
        if now_us >= self.look_us:
            self.look_us = now_us + LOOK_US
            found += self.reach_of.due(now_us, TOTALS_AT_ONCE)
            found += self.hellos(now_us)
            found += [(peer, None) for peer in self.reach_of.beats(now_us)]
        if now_us >= self.forget_us:
            self.forget_us = now_us + FORGET_US
            self.escrow.forget(now_us)
            self.reach_of.forget(now_us)
        return [each for each in found if each[1] is None or self.may_tell(now_us, each[0])]

    def hellos(self, now_us: int) -> list[tuple[int, LimitMessage]]:
        over = now_us - self.start_us > self.settings.quiet_us
        if over or now_us < self.hello_us:
            return []
        self.hello_us = now_us + REPEAT_US
        return [
            (peer, Join())
            for peer in range(self.doors)
            if peer != self.me and peer not in self.escrow.cleared
        ]

    def may_tell(self, now_us: int, peer: int) -> bool:
        """Words past the budget are left out: asks and hellos come again, totals grow."""
        left, at = self.budget.get(peer, (MOST_AT_ONCE, now_us))
        left = min(MOST_AT_ONCE, left + MOST_PER_S * (now_us - at) / S)
        self.budget[peer] = (left - (left >= 1), now_us)
        return left >= 1

    @property
    def wake_us(self) -> int:
        """When something is to be told without an event: the next look, as long as there is anybody."""
        if self.doors == 1:
            return 1 << 62
        look_us = self.look_us if self.busy else self.look_us + self.reach_of.beat_us // 2
        return min(self.escrow.wake_us, look_us)

    @property
    def busy(self) -> bool:
        quiet = self.look_us - self.start_us <= self.settings.quiet_us
        return bool(self.reach_of.fresh or self.reach_of.again or self.answers or quiet)

    # --- for those who look ---

    def held(self, customer: int, now_us: int) -> list[CustomerLimits]:
        """What is known of a customer, by the checksum of its name; it only reads."""
        keys = {
            key: None
            for known in (self.escrow.accounts, self.reach_of.mine, self.reach_of.homes)
            for key in known
            if key[0] == customer
        }
        return [self.held_of(key, now_us) for key in keys]

    def held_of(self, key: CustomerKey, now_us: int) -> CustomerLimits:
        account, mine = self.escrow.accounts.get(key), self.reach_of.mine.get(key)
        home = self.reach_of.homes.get(key)
        spent, apart = mine.spent if mine else 0.0, sorted(home.apart) if home else []
        if account is None:
            return CustomerLimits(key[1], 0.0, 0.0, {}, {}, 0.0, 0.0, spent, apart)
        lent = {peer: part / WHOLE for peer, loan in account.loans.items() if (part := loan.lent(now_us))}
        debts = {peer: debt for peer, debt in account.debts.items() if debt.held(now_us)}
        ages = [now_us - debt.asked_us for debt in debts.values()]
        return CustomerLimits(
            key[1],
            account.share(now_us) / WHOLE,
            account.store,
            lent,
            {peer: debt.share / WHOLE for peer, debt in debts.items()},
            round(max(ages, default=0) / S, 3),
            account.taken,
            spent,
            apart,
        )

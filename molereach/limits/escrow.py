"""Shares of a hard limit that move between front doors and are never counted twice. A core.

Each front door of a customer's set owns 1/n of the ceiling for good and lends what it does not need; a
loan ends by time, the borrower's sooner than the lender's. Sources: Barbara and Garcia-Molina, "The
Demarcation Protocol" (VLDB Journal 1994); Gray and Cheriton, "Leases" (SOSP 1989); O'Neil, "The Escrow
Transactional Method" (TODS 1986) for units that are taken out before they are given.
docs/design/limits.md has the argument that the sums hold.
"""

import heapq
import math
from collections.abc import Sequence

from molereach.limits.settings import LimitSettings, S
from molereach.policy.interface.messages import CustomerKey, LoanGrant, LoanRequest
from molereach.policy.interface.settings import Plan

WHOLE = 10_000  # parts of a ceiling
DEMAND_US = 400_000  # ageing of what customers ask for here
PRESSED_US = S // 4  # for so long after it was short of units, a front door wants all that is to be had
HEADROOM = 1.3  # over the demand as it is
LEAST_STEP = WHOLE // 50  # a smaller difference is not worth a message
SURPLUS = WHOLE // 10  # so much too much goes back at once
REPEAT_US = 120_000  # an ask without its grant goes again, with the same number
MOST_REPEATS = 3  # then its lender is taken to be away for half a lease
AGAIN_US = 250_000  # a grant of less than was asked for: asked again
LEAST_KEPT_US = 10 * S
MOST_ACCOUNTS = 200_000  # that others' words may open; those of own requests end by time
NUMBER_STEP_US = 10_000  # numbers of asks go by the clock, so that they rise over restarts


class _Loan:
    """What is lent to one borrower."""

    __slots__ = (
        "before",
        "before_until",
        "generation",
        "grant",
        "number",
        "other",
        "other_until",
        "share",
        "units",
        "until",
    )

    def __init__(self) -> None:
        self.number, self.generation = -1, -1  # of the last ask, and its borrower's life
        self.share = self.before = 0  # by the last grant, and what the borrower may hold all the same
        self.until = self.before_until = 0
        self.other = self.other_until = 0  # what another life of the borrower may hold, if that one lives
        self.units = 0.0  # that went with the last grant
        self.grant: LoanGrant | None = None

    def lent(self, now: int) -> int:
        return max(
            self.share if now < self.until else 0,
            self.before if now < self.before_until else 0,
            self.other if now < self.other_until else 0,
        )

    def ends(self) -> tuple[int, int, int]:
        return self.until, self.before_until, self.other_until

    def end_us(self) -> int:
        return max(self.ends())


class _Debt:
    """What is borrowed from one lender, and the ask that is out."""

    __slots__ = (
        "accepted",
        "ask",
        "asked_us",
        "hurry",
        "kept_us",
        "next_us",
        "number",
        "repeats",
        "sent_us",
        "share",
        "short",
        "until",
    )

    def __init__(self) -> None:
        self.number, self.accepted = 0, 0
        self.ask: LoanRequest | None = None  # without its grant yet
        self.asked_us = self.sent_us = self.next_us = 0  # the third: when it may ask anew
        self.repeats = self.share = self.until = 0
        self.short = False  # the last grant was of less than was wanted
        self.hurry = False  # the lender is to hear at once how things are
        self.kept_us = 0  # until when its lender may go by what was accepted

    def held(self, now: int) -> int:
        return self.share if now < self.until else 0


class _Account:
    """One customer's ceiling, here."""

    __slots__ = (
        "at",
        "base",
        "burst",
        "debts",
        "demand",
        "fresh_us",
        "loans",
        "members",
        "planned_us",
        "pressed_us",
        "rate",
        "store",
        "taken",
    )

    def __init__(self, plan: Plan, members: tuple[int, ...], now: int) -> None:
        self.rate, self.burst, self.members = plan.ceiling_rate, plan.ceiling_burst, members
        self.base = WHOLE // len(members)
        self.at, self.store, self.demand, self.taken = now, 0.0, 0.0, 0.0
        self.fresh_us = now  # since when its own share has been its own
        self.pressed_us = -S
        self.planned_us = 0  # when its loans are looked at next; 0 for not at all
        self.loans: dict[int, _Loan] = {}
        self.debts: dict[int, _Debt] = {}

    def share(self, now: int) -> int:
        own = self.base - sum(loan.lent(now) for loan in self.loans.values()) if now >= self.fresh_us else 0
        return max(0, own) + sum(debt.held(now) for debt in self.debts.values())

    def refill(self, now: int, slow: float) -> None:
        """Fill the store piece by piece, between the times at which shares end or come back."""
        if now <= self.at:
            return
        if self.loans or self.debts or self.at < self.fresh_us:
            ends = {end for loan in self.loans.values() for end in loan.ends()} | {self.fresh_us}
            ends |= {debt.until for debt in self.debts.values()}
            for end in sorted(end for end in ends if self.at < end < now):
                self.fill(end, self.share(self.at), slow)
        self.fill(now, self.share(self.at), slow)
        self.cap(now)

    def fill(self, now: int, share: int, slow: float) -> None:
        part, took = share / WHOLE, (now - self.at) / S
        self.store = min(self.burst * part, self.store + self.rate * slow * part * took)
        self.demand *= math.exp(-took * S / DEMAND_US)
        self.at = now

    def cap(self, now: int) -> None:
        self.store = min(self.store, self.burst * self.share(now) / WHOLE)

    def need(self, now: int) -> int:
        """The share that the demand here calls for."""
        if now - self.pressed_us < PRESSED_US:
            return WHOLE
        return min(WHOLE, math.ceil(HEADROOM * self.demand * S / DEMAND_US / self.rate * WHOLE))


class Escrow:
    """The accounts of one front door. Key numbers and shares in messages are checked against the settings."""

    def __init__(self, me: int, doors: int, plans: Sequence[Plan], settings: LimitSettings) -> None:
        self.me, self.doors, self.plans, self.settings = me, doors, plans, settings
        self.slow = 1 - settings.drift  # a clock that is fast must not fill a store too soon
        self.accounts: dict[CustomerKey, _Account] = {}  # the one used last at the end
        self.start_us = -1
        self.cleared: dict[int, int] = {}  # since when others hold nothing of ours from before the start
        self.late: list[tuple[int, CustomerKey]] = []  # heap: when an account's loans are to be looked at
        self.out: list[tuple[int, LoanRequest | LoanGrant]] = []
        fill = [plan.ceiling_burst / plan.ceiling_rate for plan in plans if plan.ceiling_rate]
        self.forget_us = max([LEAST_KEPT_US, *(round(S * took) for took in fill)]) + 3 * settings.lease_us

    # --- what the decisions ask ---

    def start(self, now: int) -> None:
        self.start_us = now

    def account(self, now: int, key: CustomerKey) -> _Account | None:
        """The account, filled up to `now`; None where the plan has no ceiling or the key cannot be."""
        account = self.accounts.pop(key, None)
        if account is None:
            members = self.members(key)
            if self.me not in members:
                return None
            account = _Account(self.plans[key[1]], members, self.start_us)
            account.fresh_us = self.fresh_us(members)
        self.accounts[key] = account
        account.refill(now, self.slow)
        return account

    def members(self, key: CustomerKey) -> tuple[int, ...]:
        _, plan, first, size = key
        if not 0 <= plan < len(self.plans) or not self.plans[plan].ceiling_rate:
            return ()
        if not 0 <= first < self.doors or not 0 < size <= self.doors:
            return ()
        return tuple((first + number) % self.doors for number in range(size))

    def fresh_us(self, members: tuple[int, ...]) -> int:
        """From when on the own share is here: the last of the others' words, or when all must have let go."""
        latest = self.start_us + self.settings.quiet_us
        return min(
            latest,
            max(
                (self.cleared.get(peer, latest) for peer in members if peer != self.me), default=self.start_us
            ),
        )

    def want(self, now: int, key: CustomerKey, units: float) -> None:
        if account := self.account(now, key):
            account.demand += units
            self.look(now, key, account)

    def room(self, now: int, key: CustomerKey, units: float = 0.0) -> float:
        """Units in store; where they are fewer than `units`, more are asked for."""
        account = self.account(now, key)
        if account is None:
            return 0.0
        if account.store < units:
            account.pressed_us = now
            self.look(now, key, account)
        return account.store

    def take(self, now: int, key: CustomerKey, units: float) -> None:
        if account := self.account(now, key):
            account.store -= units
            account.taken += units

    # --- the start: what an earlier life lent ---

    def clear(self, now: int, peer: int) -> None:
        """The other holds nothing of ours; where all of a set say so, its accounts need not wait."""
        self.cleared.setdefault(peer, now)
        for account in self.accounts.values():
            if account.fresh_us > now:
                account.refill(now, self.slow)
                account.fresh_us = self.fresh_us(account.members)

    def drop(self, now: int, lender: int) -> None:
        """Hold nothing of a lender that has started anew, and take no grant of its earlier life."""
        for key, account in self.accounts.items():
            if lender in account.debts:
                account.refill(now, self.slow)
                debt = account.debts[lender]
                debt.share, debt.ask, debt.number = 0, None, self.next_number(now, debt)
                account.cap(now)
                self.plan(now, key, account)
            # What was lent to it is not cut short: it may come from a front door that never died.

    # --- borrowing ---

    def look(self, now: int, key: CustomerKey, account: _Account) -> None:
        """Look at the loans at once if they may be too small, and nothing was asked of late."""
        if account.planned_us and now < account.planned_us and account.planned_us - now <= REPEAT_US:
            return
        if account.debts or account.need(now) > account.share(now):
            self.plan(now, key, account)

    def plan(self, now: int, key: CustomerKey, account: _Account) -> None:
        """Ask for what is missing, give back what is too much, renew what is about to end."""
        need, share = account.need(now), account.share(now)
        missing = need - share
        for lender in account.members:
            if lender == self.me:
                continue
            debt = account.debts.get(lender)
            if debt is None:
                if missing < LEAST_STEP:
                    continue
                debt = account.debts[lender] = _Debt()
            if debt.ask is not None:
                self.repeat(now, debt, lender)
            elif now >= debt.next_us or self.too_far(now, debt, missing):
                missing += self.turn(now, key, account, debt, lender, missing)
        account.debts = {
            lender: debt
            for lender, debt in account.debts.items()
            if debt.ask or debt.held(now) or now < max(debt.next_us, debt.kept_us)
        }
        due = [self.look_again(now, debt) for debt in account.debts.values()]
        planned = max(now + 1, min(due)) if due else 0
        if planned and planned != account.planned_us:
            heapq.heappush(self.late, (planned, key))
        account.planned_us = planned

    @staticmethod
    def too_far(now: int, debt: _Debt, missing: int) -> bool:
        """Whether a loan is so much too small or too large that it is not left until its next turn."""
        since = now - debt.asked_us
        if missing >= LEAST_STEP:
            return not debt.short and since >= REPEAT_US
        return missing < -SURPLUS and since >= AGAIN_US

    def look_again(self, now: int, debt: _Debt) -> int:
        if debt.ask:
            return debt.sent_us + REPEAT_US
        if debt.held(now):  # what is not needed any more goes back before its time
            return min(debt.next_us, now + AGAIN_US)
        return max(debt.next_us, debt.kept_us)

    def repeat(self, now: int, debt: _Debt, lender: int) -> None:
        if now < debt.sent_us + REPEAT_US:
            return
        if debt.repeats >= MOST_REPEATS:  # its lender is away; the ask is void by the next number
            debt.ask, debt.next_us = None, now + self.settings.lease_us // 2
            return
        debt.repeats, debt.sent_us = debt.repeats + 1, now
        assert debt.ask is not None
        self.out.append((lender, debt.ask))

    def turn(
        self, now: int, key: CustomerKey, account: _Account, debt: _Debt, lender: int, missing: int
    ) -> int:
        """Ask one lender for more, for less, or for the same again; the share that was given up."""
        held = debt.held(now)
        wanted = min(WHOLE // len(account.members), max(0, held + missing))
        ends = debt.hurry or debt.until - now <= self.settings.lease_us // 2
        if abs(wanted - held) < LEAST_STEP and wanted:
            wanted = held
        if wanted == held and not (held and ends):
            debt.next_us = max(now + AGAIN_US, debt.until - self.settings.lease_us // 2) if held else now
            return 0
        given = 0.0
        if wanted < held:  # out of use here before the lender hears of it
            share = account.share(now)
            given = account.store * (held - wanted) / share if share else 0.0
            account.store -= given
            debt.share = wanted
            account.cap(now)
        debt.number, debt.asked_us, debt.sent_us = self.next_number(now, debt), now, now
        debt.repeats, debt.hurry = 0, False
        debt.ask = LoanRequest(key, debt.number, debt.accepted, min(held, wanted), wanted, given)
        self.out.append((lender, debt.ask))
        return held - wanted if wanted < held else 0

    @staticmethod
    def next_number(now: int, debt: _Debt) -> int:
        return max(debt.number + 1, now // NUMBER_STEP_US & 0xFFFFFFFF)

    def granted(self, now: int, lender: int, grant: LoanGrant) -> None:
        """Take what was asked for: once, in its time, and never more than was wanted."""
        account = self.accounts.get(grant.key)
        debt = account.debts.get(lender) if account else None
        if account is None or debt is None or debt.ask is None or grant.number != debt.number:
            return
        until = debt.asked_us + self.settings.borrowed_us
        if now >= until:
            return
        account.refill(now, self.slow)
        wanted, debt.hurry, debt.ask = debt.ask.wanted_share, grant.granted_share < debt.held(now), None
        debt.share, debt.until, debt.accepted = max(0, min(grant.granted_share, wanted)), until, grant.number
        debt.kept_us = debt.asked_us + 3 * self.settings.lease_us
        account.store += max(0.0, min(grant.granted_units, account.burst * debt.share / WHOLE))
        account.cap(now)
        debt.short = debt.share < wanted
        debt.next_us = now + AGAIN_US if debt.short or not debt.share else until - self.settings.lease_us // 2
        if debt.hurry:  # less than was held: the lender has it back once it hears so
            debt.next_us = now
        self.plan(now, grant.key, account)

    # --- lending ---

    def asked(self, now: int, borrower: int, generation: int, ask: LoanRequest) -> None:
        """Answer an ask: what is not needed here, less its floor, is lent. Who asks may want its own back."""
        if ask.key not in self.accounts and len(self.accounts) >= MOST_ACCOUNTS:
            return
        account = self.account(now, ask.key)
        if account is None or borrower == self.me or borrower not in account.members:
            return
        loan = account.loans.get(borrower)
        if loan is None or now >= loan.end_us():  # numbers of a borrower whose clock was set back count anew
            loan = account.loans[borrower] = _Loan()
        elif ask.number < loan.number:
            return
        if ask.number > loan.number:
            self.lend(now, account, loan, generation, ask)
        assert loan.grant is not None
        self.out.append((borrower, loan.grant))
        debt = account.debts.get(borrower)
        if ask.wanted_share > ask.held_share and debt and debt.held(now) and not debt.ask:
            debt.hurry, debt.next_us = True, now
            self.plan(now, ask.key, account)

    def lend(self, now: int, account: _Account, loan: _Loan, generation: int, ask: LoanRequest) -> None:
        before = account.share(now)
        # What the borrower holds until it hears otherwise; a claim of more than was lent is not believed.
        lent = loan.lent(now)
        held = max(0, min(ask.held_share, lent))
        if generation != loan.generation:  # words of two lives may overtake: either may be the last
            loan.other, loan.other_until = lent, loan.end_us()
            loan.generation, held = generation, 0
        else:
            # Units come back with the share that they went with or not at all: one that came back by time has
            # filled up since.
            void = ask.accepted != loan.number and now < loan.until
            back = ask.returned_units + (loan.units if void else 0.0)
            account.store += max(0.0, min(back, account.burst * (lent - held) / WHOLE))
        loan.before, loan.before_until = held, max(loan.until, loan.before_until)
        loan.share = 0
        account.cap(now)
        free = account.share(now) - sum(debt.held(now) for debt in account.debts.values())
        own = max(min(account.need(now), account.base), round(self.settings.floor * account.base))
        spare = free - own  # below 0: some of what is lent is wanted back
        wanted = max(0, min(ask.wanted_share, WHOLE // len(account.members)))
        share = max(0, min(wanted, held + spare)) if now >= account.fresh_us else 0
        more = max(0, share - held)
        loan.units = account.store * more / before if before > 0 else 0.0
        loan.units = max(0.0, min(loan.units, account.store, account.burst * more / WHOLE))
        account.store -= loan.units
        loan.number, loan.share = ask.number, share
        loan.until = now + self.settings.lent_us
        loan.grant = LoanGrant(ask.key, ask.number, share, loan.units)
        account.cap(now)

    # --- time ---

    def due(self, now: int) -> list[tuple[int, LoanRequest | LoanGrant]]:
        """What is to be told to others by now."""
        while self.late and self.late[0][0] <= now:
            at, key = heapq.heappop(self.late)
            account = self.accounts.get(key)
            if account and account.planned_us == at:
                account.refill(now, self.slow)
                self.plan(now, key, account)
        out, self.out = self.out, []
        return out

    @property
    def wake_us(self) -> int:
        return self.late[0][0] if self.late else 1 << 62

    def forget(self, now: int) -> None:
        """An account that is full again and lends nothing is as good as new."""
        while self.accounts:
            key, oldest = next(iter(self.accounts.items()))
            busy = oldest.debts or any(now < loan.end_us() for loan in oldest.loans.values())
            if busy or now - oldest.at <= self.forget_us:
                return
            del self.accounts[key]

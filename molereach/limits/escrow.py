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

from molereach.limits.settings import SECOND_US, LimitSettings
from molereach.policy.interface.messages import CustomerKey, LoanGrant, LoanRequest
from molereach.policy.interface.settings import Plan

FULL_SHARE = 10_000  # parts of a ceiling
DEMAND_DECAY_US = 400_000  # ageing of what customers ask for here
SHORTAGE_US = (
    SECOND_US // 4
)  # for so long after it was short of units, a front door wants all that is to be had
DEMAND_HEADROOM = 1.3  # over the demand as it is
MIN_SHARE_CHANGE = FULL_SHARE // 50  # a smaller difference is not worth a message
MAX_SURPLUS = FULL_SHARE // 10  # so much too much goes back at once
RETRY_US = 120_000  # an ask without its grant goes again, with the same number
MAX_RETRIES = 3  # then its lender is taken to be away for half a lease
PARTIAL_GRANT_RETRY_US = 250_000  # a grant of less than was asked for: asked again
MIN_RETENTION_US = 10 * SECOND_US
MAX_ACCOUNTS = 200_000  # that others' words may open; those of own requests end by time
REQUEST_NUMBER_STEP_US = 10_000  # numbers of asks go by the clock, so that they rise over restarts


class Loan:
    """What is lent to one borrower."""

    __slots__ = (
        "borrower_incarnation",
        "granted_share",
        "granted_units",
        "granted_until_us",
        "last_grant",
        "other_incarnation_share",
        "other_incarnation_until_us",
        "previous_share",
        "previous_until_us",
        "request_number",
    )

    def __init__(self) -> None:
        self.request_number, self.borrower_incarnation = -1, -1  # of the last ask, and its borrower's life
        self.granted_share = self.previous_share = (
            0  # by the last grant, and what the borrower may hold all the same
        )
        self.granted_until_us = self.previous_until_us = 0
        self.other_incarnation_share = self.other_incarnation_until_us = (
            0  # what another life of the borrower may hold, if that one lives
        )
        self.granted_units = 0.0  # that went with the last grant
        self.last_grant: LoanGrant | None = None

    def lent_share(self, now: int) -> int:
        return max(
            self.granted_share if now < self.granted_until_us else 0,
            self.previous_share if now < self.previous_until_us else 0,
            self.other_incarnation_share if now < self.other_incarnation_until_us else 0,
        )

    def expiries_us(self) -> tuple[int, int, int]:
        return self.granted_until_us, self.previous_until_us, self.other_incarnation_until_us

    def expires_us(self) -> int:
        return max(self.expiries_us())


class BorrowedShare:
    """What is borrowed from one lender, and the ask that is out."""

    __slots__ = (
        "accepted_number",
        "granted_share",
        "granted_until_us",
        "is_partial",
        "must_report",
        "next_request_us",
        "pending_request",
        "request_number",
        "requested_us",
        "retained_until_us",
        "retries",
        "sent_us",
    )

    def __init__(self) -> None:
        self.request_number, self.accepted_number = 0, 0
        self.pending_request: LoanRequest | None = None  # without its grant yet
        self.requested_us = self.sent_us = self.next_request_us = 0  # the third: when it may ask anew
        self.retries = self.granted_share = self.granted_until_us = 0
        self.is_partial = False  # the last grant was of less than was wanted
        self.must_report = False  # the lender is to hear at once how things are
        self.retained_until_us = 0  # until when its lender may go by what was accepted

    def usable_share(self, now: int) -> int:
        return self.granted_share if now < self.granted_until_us else 0


class CeilingAccount:
    """One customer's ceiling, here."""

    __slots__ = (
        "base_share",
        "base_usable_from_us",
        "borrowed",
        "burst",
        "consumed_units",
        "demand_units",
        "loans",
        "members",
        "next_plan_us",
        "rate",
        "shortage_us",
        "tokens",
        "updated_us",
    )

    def __init__(self, plan: Plan, members: tuple[int, ...], now: int) -> None:
        self.rate, self.burst, self.members = plan.ceiling_rate, plan.ceiling_burst, members
        self.base_share = FULL_SHARE // len(members)
        self.updated_us, self.tokens, self.demand_units, self.consumed_units = now, 0.0, 0.0, 0.0
        self.base_usable_from_us = now  # since when its own share has been its own
        self.shortage_us = -SECOND_US
        self.next_plan_us = 0  # when its loans are looked at next; 0 for not at all
        self.loans: dict[int, Loan] = {}
        self.borrowed: dict[int, BorrowedShare] = {}

    def usable_share(self, now: int) -> int:
        own = (
            self.base_share - sum(loan.lent_share(now) for loan in self.loans.values())
            if now >= self.base_usable_from_us
            else 0
        )
        return max(0, own) + sum(debt.usable_share(now) for debt in self.borrowed.values())

    def refill(self, now: int, slow: float) -> None:
        """Fill the store piece by piece, between the times at which shares end or come back."""
        if now <= self.updated_us:
            return
        if self.loans or self.borrowed or self.updated_us < self.base_usable_from_us:
            ends = {end for loan in self.loans.values() for end in loan.expiries_us()} | {
                self.base_usable_from_us
            }
            ends |= {debt.granted_until_us for debt in self.borrowed.values()}
            for end in sorted(end for end in ends if self.updated_us < end < now):
                self.advance(end, self.usable_share(self.updated_us), slow)
        self.advance(now, self.usable_share(self.updated_us), slow)
        self.limit_to_burst(now)

    def advance(self, now: int, share: int, slow: float) -> None:
        part, took = share / FULL_SHARE, (now - self.updated_us) / SECOND_US
        self.tokens = min(self.burst * part, self.tokens + self.rate * slow * part * took)
        self.demand_units *= math.exp(-took * SECOND_US / DEMAND_DECAY_US)
        self.updated_us = now

    def limit_to_burst(self, now: int) -> None:
        self.tokens = min(self.tokens, self.burst * self.usable_share(now) / FULL_SHARE)

    def needed_share(self, now: int) -> int:
        """The share that the demand here calls for."""
        if now - self.shortage_us < SHORTAGE_US:
            return FULL_SHARE
        return min(
            FULL_SHARE,
            math.ceil(
                DEMAND_HEADROOM * self.demand_units * SECOND_US / DEMAND_DECAY_US / self.rate * FULL_SHARE
            ),
        )


class Escrow:
    """The accounts of one front door. Key numbers and shares in messages are checked against the settings."""

    def __init__(self, me: int, doors: int, plans: Sequence[Plan], settings: LimitSettings) -> None:
        self.proxy_index, self.proxy_count, self.plans, self.settings = me, doors, plans, settings
        self.refill_factor = 1 - settings.drift  # a clock that is fast must not fill a store too soon
        self.accounts: dict[CustomerKey, CeilingAccount] = {}  # the one used last at the end
        self.start_us = -1
        self.acknowledged_us: dict[
            int, int
        ] = {}  # since when others hold nothing of ours from before the start
        self.plan_queue: list[
            tuple[int, CustomerKey]
        ] = []  # heap: when an account's loans are to be looked at
        self.outbox: list[tuple[int, LoanRequest | LoanGrant]] = []
        fill = [plan.ceiling_burst / plan.ceiling_rate for plan in plans if plan.ceiling_rate]
        self.retention_us = (
            max([MIN_RETENTION_US, *(round(SECOND_US * took) for took in fill)]) + 3 * settings.lease_us
        )

    # --- what the decisions ask ---

    def start(self, now: int) -> None:
        self.start_us = now

    def account(self, now: int, key: CustomerKey) -> CeilingAccount | None:
        """The account, filled up to `now`; None where the plan has no ceiling or the key cannot be."""
        account = self.accounts.pop(key, None)
        if account is None:
            members = self.members(key)
            if self.proxy_index not in members:
                return None
            account = CeilingAccount(self.plans[key[1]], members, self.start_us)
            account.base_usable_from_us = self.base_usable_from_us(members)
        self.accounts[key] = account
        account.refill(now, self.refill_factor)
        return account

    def members(self, key: CustomerKey) -> tuple[int, ...]:
        _, plan, first, size = key
        if not 0 <= plan < len(self.plans) or not self.plans[plan].ceiling_rate:
            return ()
        if not 0 <= first < self.proxy_count or not 0 < size <= self.proxy_count:
            return ()
        return tuple((first + number) % self.proxy_count for number in range(size))

    def base_usable_from_us(self, members: tuple[int, ...]) -> int:
        """From when on the own share is here: the last of the others' words, or when all must have let go."""
        latest = self.start_us + self.settings.startup_wait_us
        return min(
            latest,
            max(
                (self.acknowledged_us.get(peer, latest) for peer in members if peer != self.proxy_index),
                default=self.start_us,
            ),
        )

    def request_capacity(self, now: int, key: CustomerKey, units: float) -> None:
        if account := self.account(now, key):
            account.demand_units += units
            self.plan_if_needed(now, key, account)

    def available_units(self, now: int, key: CustomerKey, units: float = 0.0) -> float:
        """Units in store; where they are fewer than `units`, more are asked for."""
        account = self.account(now, key)
        if account is None:
            return 0.0
        if account.tokens < units:
            account.shortage_us = now
            self.plan_if_needed(now, key, account)
        return account.tokens

    def consume(self, now: int, key: CustomerKey, units: float) -> None:
        if account := self.account(now, key):
            account.tokens -= units
            account.consumed_units += units

    # --- the start: what an earlier life lent ---

    def record_acknowledgement(self, now: int, peer: int) -> None:
        """The other holds nothing of ours; where all of a set say so, its accounts need not wait."""
        self.acknowledged_us.setdefault(peer, now)
        for account in self.accounts.values():
            if account.base_usable_from_us > now:
                account.refill(now, self.refill_factor)
                account.base_usable_from_us = self.base_usable_from_us(account.members)

    def drop_borrowed_from(self, now: int, lender: int) -> None:
        """Hold nothing of a lender that has started anew, and take no grant of its earlier life."""
        for key, account in self.accounts.items():
            if lender in account.borrowed:
                account.refill(now, self.refill_factor)
                debt = account.borrowed[lender]
                debt.granted_share, debt.pending_request, debt.request_number = (
                    0,
                    None,
                    self.next_number(now, debt),
                )
                account.limit_to_burst(now)
                self.plan(now, key, account)
            # What was lent to it is not cut short: it may come from a front door that never died.

    # --- borrowing ---

    def plan_if_needed(self, now: int, key: CustomerKey, account: CeilingAccount) -> None:
        """Look at the loans at once if they may be too small, and nothing was asked of late."""
        if account.next_plan_us and now < account.next_plan_us and account.next_plan_us - now <= RETRY_US:
            return
        if account.borrowed or account.needed_share(now) > account.usable_share(now):
            self.plan(now, key, account)

    def plan(self, now: int, key: CustomerKey, account: CeilingAccount) -> None:
        """Ask for what is missing, give back what is too much, renew what is about to end."""
        need, share = account.needed_share(now), account.usable_share(now)
        missing = need - share
        for lender in account.members:
            if lender == self.proxy_index:
                continue
            debt = account.borrowed.get(lender)
            if debt is None:
                if missing < MIN_SHARE_CHANGE:
                    continue
                debt = account.borrowed[lender] = BorrowedShare()
            if debt.pending_request is not None:
                self.retry(now, debt, lender)
            elif now >= debt.next_request_us or self.needs_early_request(now, debt, missing):
                missing += self.request_change(now, key, account, debt, lender, missing)
        account.borrowed = {
            lender: debt
            for lender, debt in account.borrowed.items()
            if debt.pending_request
            or debt.usable_share(now)
            or now < max(debt.next_request_us, debt.retained_until_us)
        }
        due = [self.next_check_us(now, debt) for debt in account.borrowed.values()]
        planned = max(now + 1, min(due)) if due else 0
        if planned and planned != account.next_plan_us:
            heapq.heappush(self.plan_queue, (planned, key))
        account.next_plan_us = planned

    @staticmethod
    def needs_early_request(now: int, debt: BorrowedShare, missing: int) -> bool:
        """Whether a loan is so much too small or too large that it is not left until its next turn."""
        since = now - debt.requested_us
        if missing >= MIN_SHARE_CHANGE:
            return not debt.is_partial and since >= RETRY_US
        return missing < -MAX_SURPLUS and since >= PARTIAL_GRANT_RETRY_US

    def next_check_us(self, now: int, debt: BorrowedShare) -> int:
        if debt.pending_request:
            return debt.sent_us + RETRY_US
        if debt.usable_share(now):  # what is not needed any more goes back before its time
            return min(debt.next_request_us, now + PARTIAL_GRANT_RETRY_US)
        return max(debt.next_request_us, debt.retained_until_us)

    def retry(self, now: int, debt: BorrowedShare, lender: int) -> None:
        if now < debt.sent_us + RETRY_US:
            return
        if debt.retries >= MAX_RETRIES:  # its lender is away; the ask is void by the next number
            debt.pending_request, debt.next_request_us = None, now + self.settings.lease_us // 2
            return
        debt.retries, debt.sent_us = debt.retries + 1, now
        assert debt.pending_request is not None
        self.outbox.append((lender, debt.pending_request))

    def request_change(
        self,
        now: int,
        key: CustomerKey,
        account: CeilingAccount,
        debt: BorrowedShare,
        lender: int,
        missing: int,
    ) -> int:
        """Ask one lender for more, for less, or for the same again; the share that was given up."""
        held = debt.usable_share(now)
        wanted = min(FULL_SHARE // len(account.members), max(0, held + missing))
        ends = debt.must_report or debt.granted_until_us - now <= self.settings.lease_us // 2
        if abs(wanted - held) < MIN_SHARE_CHANGE and wanted:
            wanted = held
        if wanted == held and not (held and ends):
            debt.next_request_us = (
                max(now + PARTIAL_GRANT_RETRY_US, debt.granted_until_us - self.settings.lease_us // 2)
                if held
                else now
            )
            return 0
        given = 0.0
        if wanted < held:  # out of use here before the lender hears of it
            share = account.usable_share(now)
            given = account.tokens * (held - wanted) / share if share else 0.0
            account.tokens -= given
            debt.granted_share = wanted
            account.limit_to_burst(now)
        debt.request_number, debt.requested_us, debt.sent_us = self.next_number(now, debt), now, now
        debt.retries, debt.must_report = 0, False
        debt.pending_request = LoanRequest(
            key, debt.request_number, debt.accepted_number, min(held, wanted), wanted, given
        )
        self.outbox.append((lender, debt.pending_request))
        return held - wanted if wanted < held else 0

    @staticmethod
    def next_number(now: int, debt: BorrowedShare) -> int:
        return max(debt.request_number + 1, now // REQUEST_NUMBER_STEP_US & 0xFFFFFFFF)

    def apply_grant(self, now: int, lender: int, grant: LoanGrant) -> None:
        """Take what was asked for: once, in its time, and never more than was wanted."""
        account = self.accounts.get(grant.key)
        debt = account.borrowed.get(lender) if account else None
        if (
            account is None
            or debt is None
            or debt.pending_request is None
            or grant.number != debt.request_number
        ):
            return
        until = debt.requested_us + self.settings.borrower_lease_us
        if now >= until:
            return
        account.refill(now, self.refill_factor)
        wanted, debt.must_report, debt.pending_request = (
            debt.pending_request.wanted_basis_points,
            grant.granted_basis_points < debt.usable_share(now),
            None,
        )
        debt.granted_share, debt.granted_until_us, debt.accepted_number = (
            max(0, min(grant.granted_basis_points, wanted)),
            until,
            grant.number,
        )
        debt.retained_until_us = debt.requested_us + 3 * self.settings.lease_us
        account.tokens += max(0.0, min(grant.granted_units, account.burst * debt.granted_share / FULL_SHARE))
        account.limit_to_burst(now)
        debt.is_partial = debt.granted_share < wanted
        debt.next_request_us = (
            now + PARTIAL_GRANT_RETRY_US
            if debt.is_partial or not debt.granted_share
            else until - self.settings.lease_us // 2
        )
        if debt.must_report:  # less than was held: the lender has it back once it hears so
            debt.next_request_us = now
        self.plan(now, grant.key, account)

    # --- lending ---

    def handle_request(self, now: int, borrower: int, generation: int, ask: LoanRequest) -> None:
        """Answer an ask: what is not needed here, less its floor, is lent. Who asks may want its own back."""
        if ask.key not in self.accounts and len(self.accounts) >= MAX_ACCOUNTS:
            return
        account = self.account(now, ask.key)
        if account is None or borrower == self.proxy_index or borrower not in account.members:
            return
        loan = account.loans.get(borrower)
        if (
            loan is None or now >= loan.expires_us()
        ):  # numbers of a borrower whose clock was set back count anew
            loan = account.loans[borrower] = Loan()
        elif ask.number < loan.request_number:
            return
        if ask.number > loan.request_number:
            self.lend(now, account, loan, generation, ask)
        assert loan.last_grant is not None
        self.outbox.append((borrower, loan.last_grant))
        debt = account.borrowed.get(borrower)
        if (
            ask.wanted_basis_points > ask.current_basis_points
            and debt
            and debt.usable_share(now)
            and not debt.pending_request
        ):
            debt.must_report, debt.next_request_us = True, now
            self.plan(now, ask.key, account)

    def lend(self, now: int, account: CeilingAccount, loan: Loan, generation: int, ask: LoanRequest) -> None:
        before = account.usable_share(now)
        # What the borrower holds until it hears otherwise; a claim of more than was lent is not believed.
        lent = loan.lent_share(now)
        held = max(0, min(ask.current_basis_points, lent))
        if generation != loan.borrower_incarnation:  # words of two lives may overtake: either may be the last
            loan.other_incarnation_share, loan.other_incarnation_until_us = lent, loan.expires_us()
            loan.borrower_incarnation, held = generation, 0
        else:
            # Units come back with the share that they went with or not at all: one that came back by time has
            # filled up since.
            void = ask.accepted != loan.request_number and now < loan.granted_until_us
            back = ask.returned_units + (loan.granted_units if void else 0.0)
            account.tokens += max(0.0, min(back, account.burst * (lent - held) / FULL_SHARE))
        loan.previous_share, loan.previous_until_us = held, max(loan.granted_until_us, loan.previous_until_us)
        loan.granted_share = 0
        account.limit_to_burst(now)
        free = account.usable_share(now) - sum(debt.usable_share(now) for debt in account.borrowed.values())
        own = max(
            min(account.needed_share(now), account.base_share),
            round(self.settings.reserved_fraction * account.base_share),
        )
        spare = free - own  # below 0: some of what is lent is wanted back
        wanted = max(0, min(ask.wanted_basis_points, FULL_SHARE // len(account.members)))
        share = max(0, min(wanted, held + spare)) if now >= account.base_usable_from_us else 0
        more = max(0, share - held)
        loan.granted_units = account.tokens * more / before if before > 0 else 0.0
        loan.granted_units = max(
            0.0, min(loan.granted_units, account.tokens, account.burst * more / FULL_SHARE)
        )
        account.tokens -= loan.granted_units
        loan.request_number, loan.granted_share = ask.number, share
        loan.granted_until_us = now + self.settings.lender_lease_us
        loan.last_grant = LoanGrant(ask.key, ask.number, share, loan.granted_units)
        account.limit_to_burst(now)

    # --- time ---

    def due_messages(self, now: int) -> list[tuple[int, LoanRequest | LoanGrant]]:
        """What is to be told to others by now."""
        while self.plan_queue and self.plan_queue[0][0] <= now:
            at, key = heapq.heappop(self.plan_queue)
            account = self.accounts.get(key)
            if account and account.next_plan_us == at:
                account.refill(now, self.refill_factor)
                self.plan(now, key, account)
        out, self.outbox = self.outbox, []
        return out

    @property
    def next_due_us(self) -> int:
        return self.plan_queue[0][0] if self.plan_queue else 1 << 62

    def evict_idle(self, now: int) -> None:
        """An account that is full again and lends nothing is as good as new."""
        while self.accounts:
            key, oldest = next(iter(self.accounts.items()))
            busy = oldest.borrowed or any(now < loan.expires_us() for loan in oldest.loans.values())
            if busy or now - oldest.updated_us <= self.retention_us:
                return
            del self.accounts[key]

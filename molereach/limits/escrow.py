"""Shares of ceilings that move between proxies and are never counted twice. A core.

Each proxy of a customer's set owns 1/n of the ceiling for good and lends what it does not need; a loan
ends by time, the borrower's sooner than the lender's. Sources: Barbara and Garcia-Molina, "The Demarcation
Protocol" (VLDB Journal 1994), and those named in `loans` and `lending`. docs/design/limits.md has the
argument that the sums hold.
"""

import heapq
from collections.abc import Sequence

from molereach.limits.borrowing import Borrowing
from molereach.limits.ceiling_account import CeilingAccount
from molereach.limits.lending import Lending
from molereach.limits.loans import Loan
from molereach.limits.settings import SECOND_US, LimitSettings
from molereach.policy.interface.messages import CustomerKey, LoanGrant, LoanRequest
from molereach.policy.interface.protocols import PeerMessage
from molereach.policy.interface.settings import Plan

MIN_RETENTION_US = 10 * SECOND_US  # of an account that is not used
RETENTION_LEASES = 3  # for which an account outlasts the time that it takes to fill up
MAX_ACCOUNTS = 200_000  # that requests of others may open; those of own requests expire


class Escrow:
    """The accounts of one proxy. Keys, numbers and shares in messages are checked against the settings."""

    def __init__(
        self, proxy_index: int, proxy_count: int, plans: Sequence[Plan], settings: LimitSettings
    ) -> None:
        self.proxy_index = proxy_index
        self.proxy_count = proxy_count
        self.plans = plans
        self.settings = settings
        self.refill_factor = 1 - settings.drift  # a fast clock must not refill a bucket too soon
        self.accounts: dict[CustomerKey, CeilingAccount] = {}  # the most recently used one last
        self.start_us = -1
        self.acknowledged_us: dict[int, int] = {}  # since when a peer holds nothing lent before the start
        self.outbox: list[PeerMessage[LoanRequest | LoanGrant]] = []
        self.borrowing = Borrowing(proxy_index, settings, self.outbox.append)
        self.lending = Lending(settings)
        fill_s = [plan.ceiling_burst / plan.ceiling_rate for plan in plans if plan.ceiling_rate]
        fill_us = [round(SECOND_US * seconds) for seconds in fill_s]
        self.retention_us = max([MIN_RETENTION_US, *fill_us]) + RETENTION_LEASES * settings.lease_us

    # Requests of this proxy

    def start(self, now_us: int) -> None:
        """The proxy starts; called once, before all other methods."""
        self.start_us = now_us

    def account(self, now_us: int, key: CustomerKey) -> CeilingAccount | None:
        """The account, refilled; None where its plan has no ceiling or this proxy is not of its set."""
        account = self.accounts.pop(key, None)
        if account is None:
            members = self._members(key)
            if self.proxy_index not in members:
                return None
            account = CeilingAccount(self.plans[key[1]], members, self.start_us)
            account.base_usable_from_us = self._base_usable_from_us(members)
        self.accounts[key] = account
        account.refill(now_us, self.refill_factor)
        return account

    def request_capacity(self, now_us: int, key: CustomerKey, units: float) -> None:
        """Count a request's units as demand, and borrow for it where that is needed."""
        if account := self.account(now_us, key):
            account.demand_units += units
            self.borrowing.plan_if_needed(now_us, key, account)

    def available_units(self, now_us: int, key: CustomerKey, units: float = 0.0) -> float:
        """The tokens that are here; where they are fewer than `units`, more are borrowed."""
        account = self.account(now_us, key)
        if account is None:
            return 0.0
        if account.tokens < units:
            account.shortage_us = now_us
            self.borrowing.plan_if_needed(now_us, key, account)
        return account.tokens

    def consume(self, now_us: int, key: CustomerKey, units: float) -> None:
        """Take the tokens of a request that is forwarded."""
        if account := self.account(now_us, key):
            account.tokens -= units
            account.consumed_units += units

    # Restarts

    def record_acknowledgement(self, now_us: int, peer: int) -> None:
        """The peer holds nothing of ours; once all of a set say so, its accounts need not wait."""
        self.acknowledged_us.setdefault(peer, now_us)
        for account in self.accounts.values():
            if account.base_usable_from_us > now_us:
                account.refill(now_us, self.refill_factor)
                account.base_usable_from_us = self._base_usable_from_us(account.members)

    def drop_borrowed_from(self, now_us: int, lender: int) -> None:
        """Hold nothing of a lender that has restarted.

        What was lent to it is not cut short: the message may be of an incarnation that never ended.
        """
        for key, account in self.accounts.items():
            if lender in account.borrowed:
                account.refill(now_us, self.refill_factor)
                self.borrowing.drop(now_us, key, account, lender)

    # Messages of peers

    def apply_grant(self, now_us: int, lender: int, grant: LoanGrant) -> None:
        """Take what a lender granted: once, in its time, and never more than was wanted."""
        account = self.accounts.get(grant.key)
        if account is None:
            return
        borrowed = account.borrowed.get(lender)
        if borrowed is None or not self.borrowing.accepts(now_us, borrowed, grant):
            return
        account.refill(now_us, self.refill_factor)
        self.borrowing.apply_grant(now_us, account, borrowed, grant)

    def handle_request(
        self, now_us: int, borrower: int, borrower_incarnation: int, request: LoanRequest
    ) -> None:
        """Answer a borrower's request; one that was answered before gets the same grant."""
        if request.key not in self.accounts and len(self.accounts) >= MAX_ACCOUNTS:
            return
        account = self.account(now_us, request.key)
        if account is None or borrower == self.proxy_index or borrower not in account.members:
            return
        loan = account.loans.get(borrower)
        if loan is None or now_us >= loan.expires_us():
            # A borrower whose clock was set back counts its requests anew.
            loan = Loan()
            account.loans[borrower] = loan
        elif request.number < loan.request_number:
            return
        if request.number > loan.request_number:
            self.lending.lend(now_us, account, loan, borrower_incarnation, request)
        assert loan.last_grant is not None
        self.outbox.append(PeerMessage(borrower, loan.last_grant))
        borrowed = account.borrowed.get(borrower)
        wants_more = request.wanted_share > request.borrower_share
        if wants_more and borrowed and borrowed.usable_share(now_us) and not borrowed.pending_request:
            self.borrowing.report_soon(now_us, request.key, account, borrowed)

    # Time

    def due_messages(self, now_us: int) -> list[PeerMessage[LoanRequest | LoanGrant]]:
        """Requests and grants to be sent by now."""
        plan_queue = self.borrowing.plan_queue
        while plan_queue and plan_queue[0][0] <= now_us:
            planned_us, key = heapq.heappop(plan_queue)
            account = self.accounts.get(key)
            if account and account.next_plan_us == planned_us:
                account.refill(now_us, self.refill_factor)
                self.borrowing.plan(now_us, key, account)
        messages = self.outbox.copy()
        self.outbox.clear()
        return messages

    @property
    def next_due_us(self) -> int:
        """When a loan is to be looked after without an event."""
        return self.borrowing.next_due_us

    def evict_idle(self, now_us: int) -> None:
        """Forget accounts that are full again and lend nothing: they are as good as new ones."""
        while self.accounts:
            key, oldest = next(iter(self.accounts.items()))
            is_lent = any(now_us < loan.expires_us() for loan in oldest.loans.values())
            if oldest.borrowed or is_lent or now_us - oldest.updated_us <= self.retention_us:
                return
            del self.accounts[key]

    def _members(self, key: CustomerKey) -> tuple[int, ...]:
        _, plan_index, set_first, set_size = key
        if not 0 <= plan_index < len(self.plans) or not self.plans[plan_index].ceiling_rate:
            return ()
        if not 0 <= set_first < self.proxy_count or not 0 < set_size <= self.proxy_count:
            return ()
        return tuple((set_first + number) % self.proxy_count for number in range(set_size))

    def _base_usable_from_us(self, members: tuple[int, ...]) -> int:
        """From when on the own share is here: all others have acknowledged it, or all loans have ended."""
        latest_us = self.start_us + self.settings.startup_wait_us
        acknowledged_us = [
            self.acknowledged_us.get(peer, latest_us) for peer in members if peer != self.proxy_index
        ]
        return min(latest_us, max(acknowledged_us, default=self.start_us))

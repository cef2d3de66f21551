"""Shares of ceilings that move between proxies without being counted twice. No I/O.

Each of the n proxies of a customer's set permanently owns 1/n of the ceiling and lends what it does not
need. A loan expires by time, at the borrower before the lender. Sources: Barbara and Garcia-Molina, "The
Demarcation Protocol" (VLDB Journal 1994), and those named in `loans` and `lending`. docs/design/limits.md
argues why the shares in use never exceed the ceiling.
"""

import heapq
from collections import OrderedDict
from collections.abc import Sequence

from molereach.limits.borrowing import Borrowing
from molereach.limits.ceiling_account import CeilingAccount
from molereach.limits.lending import Lending
from molereach.limits.loans import Loan
from molereach.limits.settings import MAX_EVICTIONS, SECOND_US, LimitSettings
from molereach.policy.interface.messages import CustomerKey, LoanGrant, LoanRequest
from molereach.policy.interface.protocols import PeerMessage
from molereach.policy.interface.settings import Plan

MIN_RETENTION_US = 10 * SECOND_US  # of an idle account
RETENTION_LEASES = 3  # for which an idle account is kept beyond the time it takes to fill up
MAX_ACCOUNTS = 200_000  # limit for accounts created by peers' requests; those of local requests expire


class Escrow:
    """Ceiling accounts of one proxy; keys, numbers and shares in messages are validated."""

    def __init__(
        self, proxy_index: int, proxy_count: int, plans: Sequence[Plan], settings: LimitSettings
    ) -> None:
        self.proxy_index = proxy_index
        self.proxy_count = proxy_count
        self.plans = plans
        self.settings = settings
        self.refill_factor = 1 - settings.drift  # a fast clock must not refill a bucket too early
        self.accounts: OrderedDict[CustomerKey, CeilingAccount] = OrderedDict()  # least recently used first
        self.start_us = -1
        self.acknowledged_us: dict[int, int] = {}  # when each peer confirmed that it holds no earlier loan
        self.outbox: list[PeerMessage[LoanRequest | LoanGrant]] = []
        self.borrowing = Borrowing(proxy_index, settings, self.outbox.append)
        self.lending = Lending(settings)
        fill_times_s = [plan.ceiling_burst / plan.ceiling_rate for plan in plans if plan.ceiling_rate]
        fill_times_us = [round(SECOND_US * seconds) for seconds in fill_times_s]
        self.retention_us = max([MIN_RETENTION_US, *fill_times_us]) + RETENTION_LEASES * settings.lease_us

    # Local requests

    def start(self, now_us: int) -> None:
        """Start the proxy; must be called once, before any other method."""
        self.start_us = now_us

    def account(self, now_us: int, key: CustomerKey) -> CeilingAccount | None:
        """Return the refilled account, or None if the plan has no ceiling or the set excludes this proxy."""
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
        """Count a request's units as demand, and borrow share for it if needed."""
        if account := self.account(now_us, key):
            account.demand_units += units
            self.borrowing.plan_if_needed(now_us, key, account)

    def available_units(self, now_us: int, key: CustomerKey, units: float = 0.0) -> float:
        """Return the local tokens, and borrow more if they are fewer than `units`."""
        account = self.account(now_us, key)
        if account is None:
            return 0.0
        if account.tokens < units:
            account.shortage_us = now_us
            self.borrowing.plan_if_needed(now_us, key, account)
        return account.tokens

    def consume(self, now_us: int, key: CustomerKey, units: float) -> None:
        """Deduct the tokens of a forwarded request."""
        if account := self.account(now_us, key):
            account.tokens -= units
            account.consumed_units += units

    # Restarts

    def record_acknowledgement(self, now_us: int, peer: int) -> None:
        """Record that a peer holds no loan of this proxy.

        An account stops waiting for old loans once all other members of its set have confirmed this.
        """
        self.acknowledged_us.setdefault(peer, now_us)
        for account in self.accounts.values():
            if account.base_usable_from_us > now_us:
                account.refill(now_us, self.refill_factor)
                account.base_usable_from_us = self._base_usable_from_us(account.members)

    def drop_borrowed_from(self, now_us: int, lender: int) -> None:
        """Discard all loans from a lender that has restarted.

        Loans to it keep running: the message may come from an incarnation that never ended.
        """
        for key, account in self.accounts.items():
            if lender in account.borrowed:
                account.refill(now_us, self.refill_factor)
                self.borrowing.discard_loan(now_us, key, account, lender)

    # Messages from peers

    def apply_grant(self, now_us: int, lender: int, grant: LoanGrant) -> None:
        """Apply a lender's grant once, within its lease and limited to the share that was requested."""
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
        """Answer a borrower's request; a repeated request gets the same grant again."""
        if request.key not in self.accounts and len(self.accounts) >= MAX_ACCOUNTS:
            return
        account = self.account(now_us, request.key)
        if account is None or borrower == self.proxy_index or borrower not in account.members:
            return
        loan = account.loans.get(borrower)
        if loan is None or now_us >= loan.expiry_us():
            # A borrower whose clock was set back sends lower request numbers.
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
            self.borrowing.renew_now(now_us, request.key, account, borrowed)

    # Timers

    def due_messages(self, now_us: int) -> list[PeerMessage[LoanRequest | LoanGrant]]:
        """Return the requests and grants that are due."""
        plan_queue = self.borrowing.plan_queue
        while plan_queue and plan_queue[0][0] <= now_us:
            scheduled_us, key = heapq.heappop(plan_queue)
            account = self.accounts.get(key)
            if account and account.next_plan_us == scheduled_us:
                account.refill(now_us, self.refill_factor)
                self.borrowing.plan(now_us, key, account)
        messages = self.outbox.copy()
        self.outbox.clear()
        return messages

    @property
    def next_due_us(self) -> int:
        """When loans must be planned next if no event occurs."""
        return self.borrowing.next_due_us

    def evict_idle(self, now_us: int) -> None:
        """Remove idle accounts that are full and lend nothing; a new account starts in the same state.

        At most `MAX_EVICTIONS` are removed.
        """
        for _ in range(min(MAX_EVICTIONS, len(self.accounts))):
            key, oldest = next(iter(self.accounts.items()))
            is_lent = any(now_us < loan.expiry_us() for loan in oldest.loans.values())
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
        """When the own share becomes usable: all other members have confirmed, or all old loans expired."""
        latest_us = self.start_us + self.settings.startup_wait_us
        acknowledged_us = [
            self.acknowledged_us.get(peer, latest_us) for peer in members if peer != self.proxy_index
        ]
        return min(latest_us, max(acknowledged_us, default=self.start_us))

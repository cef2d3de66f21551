"""The borrower's side of loans: when to request more of a ceiling, return some of it or renew a loan.

A share is a part of a customer's ceiling, as an integer in units of 1/`FULL_SHARE` of the ceiling.
"""

import heapq
from collections.abc import Callable

from molereach.limits.ceiling_account import CeilingAccount
from molereach.limits.loans import FULL_SHARE, BorrowedShare
from molereach.limits.settings import SECOND_US, LimitSettings
from molereach.policy.interface.messages import CustomerKey, LoanGrant, LoanRequest
from molereach.policy.interface.protocols import PeerMessage

MIN_SHARE_CHANGE = FULL_SHARE // 50  # a smaller change is not worth a message
MAX_SURPLUS = FULL_SHARE // 10  # a larger surplus is returned before the next scheduled request
RETRY_US = 120_000  # until an unanswered request is resent with the same number
MAX_RETRIES = 3  # then the lender counts as unreachable for half a lease
PARTIAL_GRANT_RETRY_US = 250_000  # until the next request after a grant of less than was requested
# How many leases after a request its number is kept if its grant was accepted: the next request repeats that
# number, and the lender may rely on it.
RETENTION_LEASES = 3
REQUEST_NUMBER_STEP_US = SECOND_US // 100  # numbers follow the clock, so that they increase across restarts
MAX_REQUEST_NUMBER = 0xFFFFFFFF
NEVER_DUE_US = 1 << 62


class Borrowing:
    """Borrows shares of ceilings for all accounts of one proxy."""

    def __init__(
        self, proxy_index: int, settings: LimitSettings, send: Callable[[PeerMessage[LoanRequest]], None]
    ) -> None:
        """Create a borrower without loans; `send` queues a request to a lender."""
        self.proxy_index = proxy_index
        self.settings = settings
        self.send = send
        self.plan_queue: list[tuple[int, CustomerKey]] = []  # heap of planning times

    def plan_if_needed(self, now_us: int, key: CustomerKey, account: CeilingAccount) -> None:
        """Plan if the account borrows or needs more share, unless planning is due within `RETRY_US`."""
        next_plan_us = account.next_plan_us
        if next_plan_us and now_us < next_plan_us and next_plan_us - now_us <= RETRY_US:
            return
        if account.borrowed or account.needed_share(now_us) > account.usable_share(now_us):
            self.plan(now_us, key, account)

    def plan(self, now_us: int, key: CustomerKey, account: CeilingAccount) -> None:
        """Request missing share, return surplus share and renew loans that are about to expire.

        What one lender is given back reduces the surplus left for the next ones. A shortage is not reduced by
        what was requested: each lender is asked for all of it, up to the share of one member, as it may grant
        less.
        """
        # Negative if there is a surplus.
        missing = account.needed_share(now_us) - account.usable_share(now_us)
        for lender in account.members:
            if lender != self.proxy_index:
                missing += self._plan_lender(now_us, key, account, lender, missing)
        account.borrowed = {
            lender: borrowed
            for lender, borrowed in account.borrowed.items()
            if borrowed.pending_request
            or borrowed.usable_share(now_us)
            or now_us < max(borrowed.next_request_us, borrowed.retained_until_us)
        }
        self._schedule(now_us, key, account)

    def accepts(self, now_us: int, borrowed: BorrowedShare, grant: LoanGrant) -> bool:
        """Whether a grant answers the pending request and arrives within the lease."""
        if borrowed.pending_request is None or grant.number != borrowed.request_number:
            return False
        return now_us < borrowed.requested_us + self.settings.borrower_lease_us

    def apply_grant(
        self, now_us: int, account: CeilingAccount, borrowed: BorrowedShare, grant: LoanGrant
    ) -> None:
        """Apply an accepted grant, limited to the share that was requested."""
        assert borrowed.pending_request is not None
        wanted_share = borrowed.pending_request.wanted_share
        # If the grant is smaller than the loan so far, the lender counts the rest as lent until the next
        # request tells it that the grant was accepted.
        borrowed.must_report = grant.granted_share < borrowed.usable_share(now_us)
        borrowed.pending_request = None
        borrowed.granted_share = max(0, min(grant.granted_share, wanted_share))
        borrowed.granted_until_us = borrowed.requested_us + self.settings.borrower_lease_us
        borrowed.accepted_number = grant.number
        borrowed.retained_until_us = borrowed.requested_us + RETENTION_LEASES * self.settings.lease_us
        max_units = account.burst * borrowed.granted_share / FULL_SHARE
        account.tokens += max(0.0, min(grant.granted_units, max_units))
        account.limit_to_burst(now_us)
        borrowed.is_partial = borrowed.granted_share < wanted_share
        if borrowed.must_report:
            borrowed.next_request_us = now_us
        elif borrowed.is_partial or not borrowed.granted_share:
            borrowed.next_request_us = now_us + PARTIAL_GRANT_RETRY_US
        else:
            borrowed.next_request_us = borrowed.granted_until_us - self.settings.lease_us // 2
        self.plan(now_us, grant.key, account)

    def discard_loan(self, now_us: int, key: CustomerKey, account: CeilingAccount, lender: int) -> None:
        """Discard the loan from a lender that has restarted, and ignore grants of its earlier incarnation."""
        borrowed = account.borrowed[lender]
        borrowed.granted_share = 0
        borrowed.pending_request = None
        borrowed.request_number = next_request_number(now_us, borrowed)
        account.limit_to_burst(now_us)
        self.plan(now_us, key, account)

    def renew_now(
        self, now_us: int, key: CustomerKey, account: CeilingAccount, borrowed: BorrowedShare
    ) -> None:
        """Renew or reduce a loan now, as its lender needs share; the request states what is needed here."""
        borrowed.must_report = True
        borrowed.next_request_us = now_us
        self.plan(now_us, key, account)

    @property
    def next_due_us(self) -> int:
        """Earliest time at which an account must be planned."""
        return self.plan_queue[0][0] if self.plan_queue else NEVER_DUE_US

    def _plan_lender(
        self, now_us: int, key: CustomerKey, account: CeilingAccount, lender: int, missing: int
    ) -> int:
        """Plan the loan from one lender and return the share that is given back to it."""
        borrowed = account.borrowed.get(lender)
        if borrowed is None:
            if missing < MIN_SHARE_CHANGE:
                return 0
            borrowed = BorrowedShare()
            account.borrowed[lender] = borrowed
        if borrowed.pending_request is not None:
            self._retry(now_us, borrowed, lender, borrowed.pending_request)
            return 0
        if now_us < borrowed.next_request_us and not _is_urgent(now_us, borrowed, missing):
            return 0
        return self._request_change(now_us, key, account, borrowed, lender, missing)

    def _retry(self, now_us: int, borrowed: BorrowedShare, lender: int, request: LoanRequest) -> None:
        if now_us < borrowed.sent_us + RETRY_US:
            return
        if borrowed.retries >= MAX_RETRIES:  # the higher number of the next request revokes this one
            borrowed.pending_request = None
            borrowed.next_request_us = now_us + self.settings.lease_us // 2
            return
        borrowed.retries += 1
        borrowed.sent_us = now_us
        self.send(PeerMessage(lender, request))

    def _request_change(
        self,
        now_us: int,
        key: CustomerKey,
        account: CeilingAccount,
        borrowed: BorrowedShare,
        lender: int,
        missing: int,
    ) -> int:
        """Request a larger, smaller or renewed loan and return the share that is given back."""
        usable_share = borrowed.usable_share(now_us)  # of this loan only
        wanted_share = _wanted_share(account, usable_share, missing)
        half_lease_us = self.settings.lease_us // 2
        is_renewal_due = borrowed.must_report or borrowed.granted_until_us - now_us <= half_lease_us
        if wanted_share == usable_share and not (usable_share and is_renewal_due):
            renewal_us = max(now_us + PARTIAL_GRANT_RETRY_US, borrowed.granted_until_us - half_lease_us)
            borrowed.next_request_us = renewal_us if usable_share else now_us
            return 0
        returned_units = 0.0
        if wanted_share < usable_share:
            returned_units = _release_surplus(now_us, account, borrowed, wanted_share)
        request = LoanRequest(
            key=key,
            number=next_request_number(now_us, borrowed),
            accepted=borrowed.accepted_number,
            borrower_share=min(usable_share, wanted_share),
            wanted_share=wanted_share,
            returned_units=returned_units,
        )
        borrowed.request_number = request.number
        borrowed.requested_us = now_us
        borrowed.sent_us = now_us
        borrowed.retries = 0
        borrowed.must_report = False
        borrowed.pending_request = request
        self.send(PeerMessage(lender, request))
        return max(0, usable_share - wanted_share)

    def _schedule(self, now_us: int, key: CustomerKey, account: CeilingAccount) -> None:
        check_times_us = [_next_check_us(now_us, borrowed) for borrowed in account.borrowed.values()]
        # 0 if nothing is borrowed, as in a new account; only the queue of all accounts uses NEVER_DUE_US.
        next_plan_us = max(now_us + 1, min(check_times_us)) if check_times_us else 0
        if next_plan_us and next_plan_us != account.next_plan_us:
            heapq.heappush(self.plan_queue, (next_plan_us, key))
        account.next_plan_us = next_plan_us


def next_request_number(now_us: int, borrowed: BorrowedShare) -> int:
    """Return a number above those of this incarnation and, unless the clock wraps, of earlier ones.

    The part taken from the clock has 32 bits and wraps after 497 days; a later incarnation may then begin
    with a lower number.
    """
    return max(borrowed.request_number + 1, now_us // REQUEST_NUMBER_STEP_US & MAX_REQUEST_NUMBER)


def _wanted_share(account: CeilingAccount, usable_share: int, missing: int) -> int:
    """The share to request from the lender that now lends `usable_share`; small changes are ignored."""
    wanted_share = min(FULL_SHARE // len(account.members), max(0, usable_share + missing))
    if abs(wanted_share - usable_share) < MIN_SHARE_CHANGE and wanted_share:
        return usable_share
    return wanted_share


def _release_surplus(now_us: int, account: CeilingAccount, borrowed: BorrowedShare, share: int) -> float:
    """Reduce a loan to `share` before its lender is notified, and return the tokens to give back."""
    usable_share = account.usable_share(now_us)  # own and borrowed, from all lenders
    surplus = borrowed.usable_share(now_us) - share  # of this loan only
    units = account.tokens * surplus / usable_share if usable_share else 0.0
    account.tokens -= units
    borrowed.granted_share = share
    account.limit_to_burst(now_us)
    return units


def _is_urgent(now_us: int, borrowed: BorrowedShare, missing: int) -> bool:
    """Whether a loan is too small or too large to wait for its next scheduled request."""
    elapsed_us = now_us - borrowed.requested_us
    if missing >= MIN_SHARE_CHANGE:
        return not borrowed.is_partial and elapsed_us >= RETRY_US
    return missing < -MAX_SURPLUS and elapsed_us >= PARTIAL_GRANT_RETRY_US


def _next_check_us(now_us: int, borrowed: BorrowedShare) -> int:
    if borrowed.pending_request:
        return borrowed.sent_us + RETRY_US
    if borrowed.usable_share(now_us):  # checked early, to return a surplus before the loan expires
        return min(borrowed.next_request_us, now_us + PARTIAL_GRANT_RETRY_US)
    return max(borrowed.next_request_us, borrowed.retained_until_us)

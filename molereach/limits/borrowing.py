"""The borrower's decisions: when to request more of a ceiling's share, return some of it, or renew a loan."""

import heapq
from collections.abc import Callable

from molereach.limits.ceiling_account import CeilingAccount
from molereach.limits.loans import FULL_SHARE, BorrowedShare
from molereach.limits.settings import SECOND_US, LimitSettings
from molereach.policy.interface.messages import CustomerKey, LoanGrant, LoanRequest
from molereach.policy.interface.protocols import PeerMessage

MIN_SHARE_CHANGE = FULL_SHARE // 50  # a smaller difference is not worth a message
MAX_SURPLUS = FULL_SHARE // 10  # a larger surplus is returned at once
RETRY_US = 120_000  # a request without its grant is sent again, under the same number
MAX_RETRIES = 3  # then its lender is taken to be unreachable for half a lease
PARTIAL_GRANT_RETRY_US = 250_000  # after a grant of less than was wanted
RETENTION_LEASES = 3  # how long a lender may go by what was accepted
REQUEST_NUMBER_STEP_US = SECOND_US // 100  # numbers follow the clock, so that they rise over restarts
MAX_REQUEST_NUMBER = 0xFFFFFFFF
NEVER_DUE_US = 1 << 62


class Borrowing:
    """Loans that one proxy takes, for all its accounts."""

    def __init__(
        self, proxy_index: int, settings: LimitSettings, send: Callable[[PeerMessage[LoanRequest]], None]
    ) -> None:
        """`send` takes the requests to lenders."""
        self.proxy_index = proxy_index
        self.settings = settings
        self.send = send
        self.plan_queue: list[tuple[int, CustomerKey]] = []  # heap: when an account is planned next

    def plan_if_needed(self, now_us: int, key: CustomerKey, account: CeilingAccount) -> None:
        """Plan at once where the share may be too small, and nothing was requested of late."""
        next_plan_us = account.next_plan_us
        if next_plan_us and now_us < next_plan_us and next_plan_us - now_us <= RETRY_US:
            return
        if account.borrowed or account.needed_share(now_us) > account.usable_share(now_us):
            self.plan(now_us, key, account)

    def plan(self, now_us: int, key: CustomerKey, account: CeilingAccount) -> None:
        """Request what is missing, return what is too much, renew what is about to end."""
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
        """Whether a grant answers the request under way, in its time."""
        if borrowed.pending_request is None or grant.number != borrowed.request_number:
            return False
        return now_us < borrowed.requested_us + self.settings.borrower_lease_us

    def apply_grant(
        self, now_us: int, account: CeilingAccount, borrowed: BorrowedShare, grant: LoanGrant
    ) -> None:
        """Take what was granted, and never more than was wanted, of a grant that is accepted."""
        assert borrowed.pending_request is not None
        wanted_share = borrowed.pending_request.wanted_share
        # Where it is less than was held, the lender has the rest back once it is notified.
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

    def drop(self, now_us: int, key: CustomerKey, account: CeilingAccount, lender: int) -> None:
        """Hold nothing of a lender that has restarted, and accept no grant of its earlier incarnation."""
        borrowed = account.borrowed[lender]
        borrowed.granted_share = 0
        borrowed.pending_request = None
        borrowed.request_number = next_request_number(now_us, borrowed)
        account.limit_to_burst(now_us)
        self.plan(now_us, key, account)

    def report_soon(
        self, now_us: int, key: CustomerKey, account: CeilingAccount, borrowed: BorrowedShare
    ) -> None:
        """Notify a lender that wants some of its share back of what is held."""
        borrowed.must_report = True
        borrowed.next_request_us = now_us
        self.plan(now_us, key, account)

    @property
    def next_due_us(self) -> int:
        """When an account is to be planned next."""
        return self.plan_queue[0][0] if self.plan_queue else NEVER_DUE_US

    def _plan_lender(
        self, now_us: int, key: CustomerKey, account: CeilingAccount, lender: int, missing: int
    ) -> int:
        """Plan the loan from one lender; the share that is returned to it."""
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
        if borrowed.retries >= MAX_RETRIES:  # the next request's number makes this one void
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
        """Request more, less, or the same share for another lease; the share that is returned."""
        usable_share = borrowed.usable_share(now_us)
        wanted_share = _wanted_share(account, usable_share, missing)
        half_lease_us = self.settings.lease_us // 2
        is_renewal_due = borrowed.must_report or borrowed.granted_until_us - now_us <= half_lease_us
        if wanted_share == usable_share and not (usable_share and is_renewal_due):
            renew_us = max(now_us + PARTIAL_GRANT_RETRY_US, borrowed.granted_until_us - half_lease_us)
            borrowed.next_request_us = renew_us if usable_share else now_us
            return 0
        returned_units = 0.0
        if wanted_share < usable_share:
            returned_units = _give_up(now_us, account, borrowed, wanted_share)
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
        checks_us = [_next_check_us(now_us, borrowed) for borrowed in account.borrowed.values()]
        next_plan_us = max(now_us + 1, min(checks_us)) if checks_us else 0
        if next_plan_us and next_plan_us != account.next_plan_us:
            heapq.heappush(self.plan_queue, (next_plan_us, key))
        account.next_plan_us = next_plan_us


def next_request_number(now_us: int, borrowed: BorrowedShare) -> int:
    """A number above that of the last request, of this incarnation or an earlier one."""
    return max(borrowed.request_number + 1, now_us // REQUEST_NUMBER_STEP_US & MAX_REQUEST_NUMBER)


def _wanted_share(account: CeilingAccount, usable_share: int, missing: int) -> int:
    """The share to hold of a lender that has `usable_share` lent now; a small difference is left out."""
    wanted_share = min(FULL_SHARE // len(account.members), max(0, usable_share + missing))
    if abs(wanted_share - usable_share) < MIN_SHARE_CHANGE and wanted_share:
        return usable_share
    return wanted_share


def _give_up(now_us: int, account: CeilingAccount, borrowed: BorrowedShare, share: int) -> float:
    """Keep no more than `share` of a loan, before its lender is notified; the tokens that go back."""
    usable_share = account.usable_share(now_us)
    surplus = borrowed.usable_share(now_us) - share
    units = account.tokens * surplus / usable_share if usable_share else 0.0
    account.tokens -= units
    borrowed.granted_share = share
    account.limit_to_burst(now_us)
    return units


def _is_urgent(now_us: int, borrowed: BorrowedShare, missing: int) -> bool:
    """Whether a loan is so much too small or too large that its next request cannot wait."""
    elapsed_us = now_us - borrowed.requested_us
    if missing >= MIN_SHARE_CHANGE:
        return not borrowed.is_partial and elapsed_us >= RETRY_US
    return missing < -MAX_SURPLUS and elapsed_us >= PARTIAL_GRANT_RETRY_US


def _next_check_us(now_us: int, borrowed: BorrowedShare) -> int:
    if borrowed.pending_request:
        return borrowed.sent_us + RETRY_US
    if borrowed.usable_share(now_us):  # a surplus is returned before the loan ends
        return min(borrowed.next_request_us, now_us + PARTIAL_GRANT_RETRY_US)
    return max(borrowed.next_request_us, borrowed.retained_until_us)

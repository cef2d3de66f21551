"""The lender's side of loans: which share of a ceiling, and how many tokens, a borrower is granted.

Tokens are deducted before they are granted: O'Neil, "The Escrow Transactional Method" (TODS 1986).
"""

from molereach.limits.ceiling_account import CeilingAccount
from molereach.limits.loans import FULL_SHARE, Loan
from molereach.limits.settings import LimitSettings
from molereach.policy.interface.messages import LoanGrant, LoanRequest


class Lending:
    """Grants loans from one proxy: share that is not needed locally is lent, except for a reserve."""

    def __init__(self, settings: LimitSettings) -> None:
        self.settings = settings

    def lend(
        self,
        now_us: int,
        account: CeilingAccount,
        loan: Loan,
        borrower_incarnation: int,
        request: LoanRequest,
    ) -> None:
        """Grant the newest request of a loan and store the grant in `loan.last_grant`."""
        share_before = account.usable_share(now_us)
        borrower_share = self._reclaim_returned(now_us, account, loan, borrower_incarnation, request)
        loan.previous_share = borrower_share
        loan.previous_until_us = max(loan.granted_until_us, loan.previous_until_us)
        loan.granted_share = 0
        account.limit_to_burst(now_us)
        share = self._share_to_grant(now_us, account, borrower_share, request)
        loan.granted_units = _take_tokens(account, max(0, share - borrower_share), share_before)
        loan.request_number = request.number
        loan.granted_share = share
        loan.granted_until_us = now_us + self.settings.lender_lease_us
        loan.last_grant = LoanGrant(request.key, request.number, share, loan.granted_units)
        account.limit_to_burst(now_us)

    def _reclaim_returned(
        self,
        now_us: int,
        account: CeilingAccount,
        loan: Loan,
        borrower_incarnation: int,
        request: LoanRequest,
    ) -> int:
        """Take back what a borrower returns, and return the share it keeps until the next grant arrives."""
        lent_share = loan.lent_share(now_us)
        if borrower_incarnation != loan.borrower_incarnation:
            # Messages of two incarnations may arrive out of order, so either may be the one still running.
            expiry_us = loan.expiry_us()
            loan.other_incarnation_share = lent_share
            loan.other_incarnation_until_us = expiry_us
            loan.borrower_incarnation = borrower_incarnation
            return 0
        # A borrower may not claim more than it was lent.
        borrower_share = max(0, min(request.borrower_share, lent_share))
        # Tokens are accepted only with the share they were granted with: if that share has expired, it has
        # already been refilled here.
        is_last_grant_void = request.accepted != loan.request_number and now_us < loan.granted_until_us
        returned_units = request.returned_units + (loan.granted_units if is_last_grant_void else 0.0)
        max_units = account.burst * (lent_share - borrower_share) / FULL_SHARE
        account.tokens += max(0.0, min(returned_units, max_units))
        return borrower_share

    def _share_to_grant(
        self, now_us: int, account: CeilingAccount, borrower_share: int, request: LoanRequest
    ) -> int:
        if now_us < account.base_usable_from_us:
            return 0
        borrowed_share = sum(borrowed.usable_share(now_us) for borrowed in account.borrowed.values())
        free_share = account.usable_share(now_us) - borrowed_share
        reserved_share = round(self.settings.reserved_fraction * account.base_share)
        needed_share = max(min(account.needed_share(now_us), account.base_share), reserved_share)
        spare_share = free_share - needed_share  # negative to reclaim part of what is lent
        wanted_share = max(0, min(request.wanted_share, FULL_SHARE // len(account.members)))
        return max(0, min(wanted_share, borrower_share + spare_share))


def _take_tokens(account: CeilingAccount, added_share: int, share_before: int) -> float:
    """Deduct and return the tokens that accompany a share added to a loan."""
    units = account.tokens * added_share / share_before if share_before > 0 else 0.0
    units = max(0.0, min(units, account.tokens, account.burst * added_share / FULL_SHARE))
    account.tokens -= units
    return units

"""The two ends of a loan of a ceiling's share: what the lender and the borrower each know of it.

Shares are integers, in parts of `FULL_SHARE`; times are microseconds on the own clock. A lender counts a
loan longer than its borrower, so that no share is used twice: Gray and Cheriton, "Leases" (SOSP 1989).
"""

from molereach.policy.interface.messages import LoanGrant, LoanRequest

FULL_SHARE = 10_000  # parts of a ceiling


class Loan:
    """What is lent to one borrower of one ceiling."""

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
        self.request_number = -1  # of the last request that was granted
        self.borrower_incarnation = -1
        self.granted_share = 0  # by the last grant
        self.granted_until_us = 0
        self.granted_units = 0.0  # that went with the last grant
        self.previous_share = 0  # what the borrower may still hold where the last grant is lost
        self.previous_until_us = 0
        self.other_incarnation_share = 0  # what another incarnation of the borrower may hold, if it lives
        self.other_incarnation_until_us = 0
        self.last_grant: LoanGrant | None = None

    def lent_share(self, now_us: int) -> int:
        """The largest share that the borrower may hold now."""
        return max(
            self.granted_share if now_us < self.granted_until_us else 0,
            self.previous_share if now_us < self.previous_until_us else 0,
            self.other_incarnation_share if now_us < self.other_incarnation_until_us else 0,
        )

    def expiries_us(self) -> tuple[int, int, int]:
        """When parts of the loan end."""
        return self.granted_until_us, self.previous_until_us, self.other_incarnation_until_us

    def expires_us(self) -> int:
        """When nothing is lent any more."""
        return max(self.expiries_us())


class BorrowedShare:
    """What is borrowed from one lender of one ceiling, and the request under way."""

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
        self.request_number = 0  # of the last request
        self.accepted_number = 0  # of the last request whose grant was accepted
        self.pending_request: LoanRequest | None = None  # without its grant yet
        self.requested_us = 0  # when the request was first sent
        self.sent_us = 0  # when it was sent last
        self.next_request_us = 0  # when the next one may be made
        self.retries = 0
        self.granted_share = 0
        self.granted_until_us = 0
        self.is_partial = False  # the last grant was of less than was wanted
        self.must_report = False  # the lender is to be notified at once of what is held
        self.retained_until_us = 0  # until when the lender may go by what was accepted

    def usable_share(self, now_us: int) -> int:
        """The share that may be used here now."""
        return self.granted_share if now_us < self.granted_until_us else 0

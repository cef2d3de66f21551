"""State of a loan of a ceiling's share, as kept by its lender and by its borrower.

Shares are integers in units of 1/`FULL_SHARE`; times are in microseconds of the local clock. A loan expires
later at its lender than at its borrower, so no share is used twice: Gray and Cheriton, "Leases" (SOSP 1989).
"""

from molereach.policy.interface.messages import LoanGrant, LoanRequest

FULL_SHARE = 10_000  # the entire ceiling


class Loan:
    """The share of one ceiling that is lent to one borrower."""

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
        self.request_number = -1  # of the last granted request
        self.borrower_incarnation = -1
        self.granted_share = 0  # by the last grant
        self.granted_until_us = 0
        self.granted_units = 0.0  # tokens included in the last grant
        self.previous_share = 0  # the borrower may still use it if the last grant was lost
        self.previous_until_us = 0
        self.other_incarnation_share = 0  # another running incarnation of the borrower may use it
        self.other_incarnation_until_us = 0
        self.last_grant: LoanGrant | None = None

    def lent_share(self, now_us: int) -> int:
        """The largest share that the borrower may be using now."""
        return max(
            self.granted_share if now_us < self.granted_until_us else 0,
            self.previous_share if now_us < self.previous_until_us else 0,
            self.other_incarnation_share if now_us < self.other_incarnation_until_us else 0,
        )

    def expiry_times_us(self) -> tuple[int, int, int]:
        """Expiry times of the parts of the loan."""
        return self.granted_until_us, self.previous_until_us, self.other_incarnation_until_us

    def expiry_us(self) -> int:
        """When the entire loan has expired."""
        return max(self.expiry_times_us())


class BorrowedShare:
    """The share of one ceiling that is borrowed from one lender, and the pending request."""

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
        self.pending_request: LoanRequest | None = None  # awaits its grant
        self.requested_us = 0  # when the last request was first sent
        self.sent_us = 0  # when the last request was last sent
        self.next_request_us = 0  # earliest time of the next scheduled request
        self.retries = 0
        self.granted_share = 0
        self.granted_until_us = 0
        self.is_partial = False  # the last grant was smaller than requested
        self.must_report = False  # the lender must be notified without delay of the share in use
        self.retained_until_us = 0  # until then the lender may rely on the accepted number

    def usable_share(self, now_us: int) -> int:
        """The share that is usable here now."""
        return self.granted_share if now_us < self.granted_until_us else 0

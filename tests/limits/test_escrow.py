"""Shares of a ceiling: random histories with loss, partitions, kills and stops; removal of each safeguard."""

from collections.abc import Callable
from dataclasses import replace

import pytest

from molereach.limits.ceiling_account import CeilingAccount
from molereach.limits.escrow import Escrow
from molereach.limits.lending import Lending
from molereach.limits.loans import FULL_SHARE, Loan
from molereach.limits.settings import SECOND_US, LimitSettings
from molereach.policy.interface.messages import CustomerKey, LoanGrant, LoanRequest
from molereach.policy.interface.settings import Plan
from sim.histories import InvariantError, ShareHistory

MILLISECOND_US = 1_000
PLAN = Plan(quota_rate=1.0, quota_burst=1.0, ceiling_rate=30.0, ceiling_burst=60.0)
KEY: CustomerKey = (7, 0, 0, 3)
LIMIT_SETTINGS = LimitSettings(reserved_fraction=0.1)


def first_violating_seed(seeds: range) -> int:
    """The first seed whose history violates an invariant, or -1."""
    for seed in seeds:
        try:
            ShareHistory(seed).play()
        except InvariantError:
            return seed
    return -1


def test_ceiling_holds_in_random_histories() -> None:
    histories = [ShareHistory(seed).play() for seed in range(12)]
    assert max(history.max_share for history in histories) > 0.99  # close to the ceiling, but not above it
    assert sum(history.granted for history in histories) > 900
    assert min(history.reference.lowest_level for history in histories) >= -1e-6


@pytest.mark.parametrize("seed", [417, 785])
def test_units_returned_after_their_loan_has_expired_are_ignored(seed: int) -> None:
    """A lender that was stopped receives units of a share that it has already regained by expiry."""
    ShareHistory(seed).play()


def expire_loans_early(monkeypatch: pytest.MonkeyPatch) -> None:
    """The lender reclaims a loan after half of its lease."""
    monkeypatch.setattr(LimitSettings, "lender_lease_us", property(lambda self: self.lease_us // 2))


def skip_startup_wait(monkeypatch: pytest.MonkeyPatch) -> None:
    """A starting proxy uses its share as if it had lent none of it."""
    monkeypatch.setattr(LimitSettings, "startup_wait_us", property(lambda self: 0))


def keep_loans_of_restarted_lender(monkeypatch: pytest.MonkeyPatch) -> None:
    """A join is acknowledged but the loan is kept."""
    monkeypatch.setattr(Escrow, "drop_borrowed_from", lambda *args: None)


def accept_any_grant(monkeypatch: pytest.MonkeyPatch) -> None:
    """A grant is accepted regardless of the request that it answers."""
    apply_grant = Escrow.apply_grant

    def apply_renumbered_grant(self: Escrow, now_us: int, lender: int, grant: LoanGrant) -> None:
        account = self.accounts.get(grant.key)
        if account and lender in account.borrowed:
            grant = replace(grant, number=account.borrowed[lender].request_number)
        apply_grant(self, now_us, lender, grant)

    monkeypatch.setattr(Escrow, "apply_grant", apply_renumbered_grant)


def count_lease_from_arrival(monkeypatch: pytest.MonkeyPatch) -> None:
    """A borrower counts the lease from the arrival of the grant."""
    apply_grant = Escrow.apply_grant

    def apply_with_later_lease(self: Escrow, now_us: int, lender: int, grant: LoanGrant) -> None:
        account = self.accounts.get(grant.key)
        if account and (borrowed := account.borrowed.get(lender)):
            borrowed.requested_us = now_us
        apply_grant(self, now_us, lender, grant)

    monkeypatch.setattr(Escrow, "apply_grant", apply_with_later_lease)


def keep_granted_tokens(monkeypatch: pytest.MonkeyPatch) -> None:
    """The lender keeps the tokens that it grants."""
    lend = Lending.lend

    def lend_without_deduction(self: Lending, now_us: int, account: CeilingAccount, *more: object) -> None:
        tokens = account.tokens
        lend(self, now_us, account, *more)  # type: ignore[arg-type]
        account.tokens = tokens

    monkeypatch.setattr(Lending, "lend", lend_without_deduction)


def reclaim_accepted_tokens(monkeypatch: pytest.MonkeyPatch) -> None:
    """The lender reclaims the tokens of a grant that was accepted."""
    lend = Lending.lend

    def lend_ignoring_acceptance(
        self: Lending,
        now_us: int,
        account: CeilingAccount,
        loan: Loan,
        borrower_incarnation: int,
        request: LoanRequest,
    ) -> None:
        lend(self, now_us, account, loan, borrower_incarnation, replace(request, accepted=-1))

    monkeypatch.setattr(Lending, "lend", lend_ignoring_acceptance)


@pytest.mark.parametrize(
    ("remove_safeguard", "seed"),
    [
        (expire_loans_early, 0),
        (skip_startup_wait, 112),
        (keep_loans_of_restarted_lender, 9),
        (accept_any_grant, 59),
        (count_lease_from_arrival, 0),
        (keep_granted_tokens, 54),
        (reclaim_accepted_tokens, 179),
    ],
)
def test_ceiling_is_exceeded_without_each_safeguard(
    remove_safeguard: Callable[[pytest.MonkeyPatch], None], seed: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The search starts at the first seed that detects the missing safeguard, to save time."""
    assert first_violating_seed(range(seed, seed + 1)) == -1
    remove_safeguard(monkeypatch)
    assert first_violating_seed(range(seed, seed + 100)) >= 0


class Tier:
    """Proxies 0, 1 and 2 of one set, started a minute ago, with messages delivered by the test."""

    def __init__(self) -> None:
        self.now_us = 0
        self.escrows = [Escrow(index, 3, (PLAN,), LIMIT_SETTINGS) for index in range(3)]
        for escrow in self.escrows:
            escrow.start(0)
        self.advance(60 * SECOND_US, deliver=False)

    def advance(self, duration_us: int, deliver: bool = True) -> None:
        """Advance the time in steps of 20 ms; messages arrive at the next step."""
        end_us = self.now_us + duration_us
        while self.now_us < end_us:
            sent = []
            if deliver:
                for escrow in self.escrows:
                    sent += [(escrow.proxy_index, due) for due in escrow.due_messages(self.now_us)]
            self.now_us += 20 * MILLISECOND_US if deliver else duration_us
            for sender, due in sent:
                self.receive(sender, due.peer, due.message)

    def receive(self, sender: int, peer: int, message: LoanRequest | LoanGrant) -> None:
        if isinstance(message, LoanRequest):
            self.escrows[peer].handle_request(self.now_us, sender, 1, message)
        else:
            self.escrows[peer].apply_grant(self.now_us, sender, message)

    def available_units(self, index: int, units: float = 0.0) -> float:
        return self.escrows[index].available_units(self.now_us, KEY, units)

    def fraction(self, index: int) -> float:
        """The fraction of the ceiling that is usable at a proxy."""
        account = self.escrows[index].account(self.now_us, KEY)
        assert account
        return account.usable_share(self.now_us) / FULL_SHARE

    def fractions(self) -> list[float]:
        return [self.fraction(index) for index in range(3)]

    def overload(self, index: int, duration_us: int) -> None:
        """Request more units than exist at a proxy for `duration_us`."""
        end_us = self.now_us + duration_us
        while self.now_us < end_us:
            self.available_units(index, 1e6)
            self.advance(20 * MILLISECOND_US)


def test_ceiling_shares_follow_the_traffic_and_return_when_it_ends() -> None:
    tier = Tier()
    assert tier.fraction(0) == pytest.approx(1 / 3, abs=1e-4)
    assert tier.available_units(0) == pytest.approx(20.0, abs=0.01)
    tier.overload(0, 100 * MILLISECOND_US)  # one round trip
    assert tier.fraction(0) == pytest.approx(1 - 0.1 * 2 / 3, abs=1e-3)
    assert tier.available_units(0) > 0.9 * 60  # includes the tokens of the lenders
    tier.overload(1, 800 * MILLISECOND_US)  # the traffic shifts to another proxy
    assert tier.fraction(1) == pytest.approx(1 - 0.1 * 2 / 3, abs=1e-2)
    tier.advance(5 * SECOND_US)
    assert tier.fractions() == pytest.approx([1 / 3] * 3, abs=1e-3)


def test_isolated_proxies_regain_their_base_shares_within_a_lease() -> None:
    tier = Tier()
    tier.overload(0, 200 * MILLISECOND_US)
    tier.advance(LIMIT_SETTINGS.lender_lease_us, deliver=False)
    assert tier.fractions() == pytest.approx([1 / 3] * 3, abs=1e-3)


def test_lender_with_demand_reclaims_and_keeps_its_base_share() -> None:
    tier = Tier()
    tier.overload(0, 200 * MILLISECOND_US)
    # Both request the entire ceiling: each gets its base share, and one of them gets the third's.
    for _ in range(40):
        for index in (0, 1):
            tier.available_units(index, 1e6)
        tier.advance(20 * MILLISECOND_US)
    assert tier.fraction(1) >= 1 / 3 - 1e-3
    assert tier.fraction(0) >= 1 / 3 - 1e-3


def test_grant_is_accepted_once_and_limited_to_the_request() -> None:
    tier = Tier()
    escrow = tier.escrows[0]
    tier.available_units(0, 1e6)
    lender, request = escrow.due_messages(tier.now_us)[0]
    assert isinstance(request, LoanRequest)
    grant = LoanGrant(KEY, request.number, FULL_SHARE, 1e9)
    tier.receive(lender, 0, replace(grant, number=request.number - 1))
    assert tier.fraction(0) < 0.34
    tier.receive(lender, 0, grant)
    tokens = tier.available_units(0)
    assert tier.fraction(0) == pytest.approx(2 / 3, abs=1e-3)
    assert tokens <= 60 * tier.fraction(0) + 1e-6
    escrow.consume(tier.now_us, KEY, 10.0)
    tier.receive(lender, 0, grant)  # a duplicate
    assert tier.available_units(0) == pytest.approx(tokens - 10)


def test_grant_that_arrives_after_the_lease_is_ignored() -> None:
    tier = Tier()
    tier.available_units(0, 1e6)
    lender, request = tier.escrows[0].due_messages(tier.now_us)[0]
    tier.advance(LIMIT_SETTINGS.borrower_lease_us, deliver=False)
    tier.escrows[0].consume(tier.now_us, KEY, 15.0)
    tokens = tier.available_units(0)
    tier.receive(lender, 0, LoanGrant(KEY, request.number, 3000, 10.0))
    assert tier.fraction(0) < 0.34
    assert tier.available_units(0) == tokens


def test_request_whose_grant_is_lost_is_resent_and_its_tokens_are_returned() -> None:
    tier = Tier()
    tier.available_units(0, 1e6)
    lender, request = tier.escrows[0].due_messages(tier.now_us)[0]
    assert isinstance(request, LoanRequest)
    tokens_before = tier.available_units(lender)
    tier.receive(0, lender, request)
    grants = tier.escrows[lender].due_messages(tier.now_us)
    tier.receive(0, lender, request)
    # The repeated request gets the same grant, and its tokens are deducted once.
    assert tier.escrows[lender].due_messages(tier.now_us) == grants
    assert tier.available_units(lender) < tokens_before / 2
    second = replace(request, number=request.number + 1, wanted_share=0)
    tier.receive(0, lender, second)
    assert tier.available_units(lender) == pytest.approx(tokens_before, rel=0.1)
    third = replace(second, number=second.number + 1, accepted=second.number)
    tier.receive(0, lender, third)
    assert tier.available_units(lender) == pytest.approx(tokens_before, rel=0.1)


@pytest.mark.parametrize("all_acknowledge", [True, False])
def test_starting_proxy_waits_for_all_acknowledgements_or_for_the_lease(all_acknowledge: bool) -> None:
    escrow = Escrow(0, 3, (PLAN,), LIMIT_SETTINGS)
    escrow.start(0)
    escrow.request_capacity(0, KEY, 1.0)
    escrow.record_acknowledgement(100 * MILLISECOND_US, 1)
    assert escrow.available_units(500 * MILLISECOND_US, KEY) == 0.0
    if all_acknowledge:
        escrow.record_acknowledgement(500 * MILLISECOND_US, 2)
    assert (escrow.available_units(SECOND_US, KEY) != 0.0) == all_acknowledge
    assert escrow.available_units(LIMIT_SETTINGS.startup_wait_us + 500 * MILLISECOND_US, KEY) > 0
    other_key: CustomerKey = (8, 0, 0, 3)  # first seen after the acknowledgements
    assert (escrow.available_units(SECOND_US + 1, other_key) != 0.0) == all_acknowledge


def test_reordered_requests_of_two_incarnations_release_no_share() -> None:
    now_us = 60 * SECOND_US
    escrow = Escrow(0, 3, (PLAN,), LIMIT_SETTINGS)
    escrow.start(0)
    escrow.handle_request(now_us, 1, 2, LoanRequest(KEY, 50, 0, 0, 3000))
    loan = escrow.accounts[KEY].loans[1]
    lent_share = loan.lent_share(now_us)
    assert lent_share > 2000
    # Incarnation 1 has ended; its clock was ahead, so its request numbers are higher.
    for incarnation, number in ((1, 90), (2, 51), (1, 91)):
        escrow.handle_request(now_us + 1, 1, incarnation, LoanRequest(KEY, number, 0, 0, 0))
        assert escrow.accounts[KEY].loans[1].lent_share(now_us + 1) == lent_share
    assert escrow.accounts[KEY].loans[1].lent_share(now_us + 2 * LIMIT_SETTINGS.lender_lease_us) == 0


def test_request_fields_are_validated_and_the_number_of_accounts_is_bounded(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr("molereach.limits.escrow.MAX_ACCOUNTS", 3)
    now_us = 60 * SECOND_US
    escrow = Escrow(0, 3, (PLAN, replace(PLAN, ceiling_rate=0.0)), LIMIT_SETTINGS)
    escrow.start(0)
    request = LoanRequest(KEY, 1, 0, FULL_SHARE, FULL_SHARE, 1e9)
    # Unknown plan, plan without a ceiling, set out of range, set too large, set without this proxy.
    for key in ((1, 7, 0, 3), (1, 1, 0, 3), (1, 0, 9, 3), (1, 0, 0, 4), (1, 0, 1, 2)):
        escrow.handle_request(now_us, 1, 1, replace(request, key=key))
    assert not escrow.due_messages(now_us)
    assert not escrow.accounts
    escrow.handle_request(now_us, 1, 1, request)
    account = escrow.accounts[KEY]
    assert account.tokens <= 20.0
    assert account.loans[1].lent_share(now_us) <= FULL_SHARE // 3  # the claimed share is not credited
    # The borrower holds nothing yet, regardless of its claim.
    escrow.handle_request(now_us, 1, 1, replace(request, number=2))
    assert account.loans[1].lent_share(now_us) <= FULL_SHARE // 3
    for checksum in range(100, 200):
        escrow.handle_request(now_us, 1, 1, replace(request, key=(checksum, 0, 0, 3)))
    assert len(escrow.accounts) == 3
    escrow.evict_idle(now_us + escrow.retention_us + 1)
    assert not escrow.accounts

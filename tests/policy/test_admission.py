"""Admission by quota without a gateway: local tokens, replies of the owner, expired waits."""

from dataclasses import replace
from random import Random

from molereach.policy.admission import MAX_OWNER_REQUESTS, OWNER_REPLY_TIMEOUT_US, Admission
from molereach.policy.ceiling import GRANT_TTL_US
from molereach.policy.customers import Customers
from molereach.policy.gossip_receiver import GossipReceiver
from molereach.policy.interface.events import GossipReceived, RequestReceived
from molereach.policy.interface.messages import SPLIT_CEILING_PLAN_INDEX, CustomerKey, GossipMessage
from molereach.policy.interface.settings import Plan
from molereach.policy.peer_liveness import PEER_SILENCE_US
from molereach.policy.pending_request import PendingRequest
from tests.helpers import IDEMPOTENT, SECOND_US, SETTINGS

NOW = 100 * SECOND_US
PLAN = Plan(quota_rate=10.0, quota_burst=20.0)
CEILED = Plan(quota_rate=10.0, quota_burst=20.0, ceiling_rate=4.0, ceiling_burst=7.0)
HERE = CustomerKey(0, 0, 0, 2)  # its owner is the first of the set
THERE = CustomerKey(1, 0, 0, 2)


class Table:
    """Requests, and what was decided on them."""

    def __init__(self, plan: Plan = PLAN) -> None:
        settings = replace(SETTINGS, plans=(plan,), proxy_count=3)
        self.decided: list[tuple[str, float]] = []
        self.customers = Customers(settings, None)
        random = Random(1)
        self.admission = Admission(settings, random, self.customers, self.decide)
        self.receiver = GossipReceiver(settings, random, self.admission)

    def decide(self, pending: PendingRequest, chance: float) -> None:
        self.decided.append((pending.request.request_id, chance))

    def admit(self, name: str, key: CustomerKey, now: int = NOW, part: float = 0.0) -> PendingRequest:
        customer = self.customers.refreshed_account(now, key)
        customer.local_tokens = part
        pending = PendingRequest(RequestReceived(name, 0, 0, "", 6 * SECOND_US), IDEMPOTENT, customer, now, 0)
        self.admission.admit(now, pending)
        return pending

    def sent_messages(self, now: int = NOW) -> tuple[object, ...]:
        return tuple(word for tell in self.admission.outbox.take_due(now) for word in tell.messages)

    def receive(self, *words: GossipMessage, now: int = NOW) -> None:
        self.receiver.receive(now, GossipReceived(1, words))


def test_local_tokens_admit_and_the_owner_is_notified_afterwards() -> None:
    table = Table()
    table.admit("a", THERE, part=1.0)
    assert table.decided == [("a", 1.0)] and not table.admission.awaiting_owner
    assert table.sent_messages() == (GossipMessage(*THERE, demand=1.0, tokens=20.0),)


def test_owner_draws_at_once() -> None:
    table = Table()
    customer = table.customers.refreshed_account(NOW, HERE)
    customer.tokens, customer.remote_demand = 2.0, 3.0
    table.admit("a", HERE)
    assert table.decided == [("a", 0.5)]


def test_reply_of_the_owner_decides_waiting_requests_in_turn() -> None:
    table = Table()
    first, second = table.admit("a", THERE), table.admit("b", THERE)
    assert table.decided == [] and table.admission.awaiting_owner == [first, second]
    assert [word.requested_units for word in table.sent_messages()] == [1.0, 1.0]
    table.receive(
        GossipMessage(
            *THERE, is_reply=True, demand=8.0, requested_units=1.0, tokens=4.0, is_within_quota=False
        )
    )
    assert table.decided == [("a", 0.0)] and table.admission.awaiting_owner == [second]
    assert first.account.tokens == 4.0 and first.account.remote_demand == 6.0
    table.receive(
        GossipMessage(
            *THERE, is_reply=True, demand=8.0, requested_units=1.0, tokens=4.0, is_within_quota=True
        )
    )
    assert table.decided[1:] == [("b", 1.0)] and not table.admission.awaiting_owner
    assert first.account.unreported_units == -1.0  # the home has counted it already


def test_owner_that_has_totals_has_counted_nothing_of_a_request() -> None:
    table = Table()
    pending = table.admit("a", THERE)
    table.customers.limits = object()  # type: ignore[assignment]
    table.admission.resolve_reply(NOW, pending.account, is_ceiling_granted=False, is_within_quota=True)
    assert table.decided == [("a", 1.0)] and pending.account.unreported_units == 0


def test_lost_requests_are_repeated_and_then_the_gateway_decides_itself() -> None:
    table = Table()
    pending = table.admit("a", THERE)
    for number in range(1, MAX_OWNER_REQUESTS):
        table.admission.resolve_expired(NOW + number * OWNER_REPLY_TIMEOUT_US - 1)
        assert pending.owner_request_count == number
        table.admission.resolve_expired(NOW + number * OWNER_REPLY_TIMEOUT_US)
        assert pending.owner_request_count == number + 1 and table.decided == []
    table.admission.resolve_expired(NOW + MAX_OWNER_REQUESTS * OWNER_REPLY_TIMEOUT_US)
    assert table.decided == [("a", 1.0)] and pending.account.unreported_units == -MAX_OWNER_REQUESTS
    table.admission.peer_liveness.record_message(NOW, 1)
    gone = table.admit("gone", THERE)
    gone.is_closed = True
    table.admission.resolve_expired(NOW + SECOND_US)
    assert len(table.decided) == 1 and not table.admission.awaiting_owner


def test_silent_owner_is_not_waited_for() -> None:
    table = Table()
    table.admit("a", THERE)
    table.admission.request_from_owner(NOW + PEER_SILENCE_US, table.admit("b", THERE, NOW + PEER_SILENCE_US))
    table.admit("c", THERE, NOW + PEER_SILENCE_US + 1)
    assert [name for name, _ in table.decided] == ["c"]


def test_owner_counts_draws_and_replies() -> None:
    table = Table()
    customer = table.customers.refreshed_account(NOW, HERE)
    table.receive(GossipMessage(*HERE, demand=2.0, spent_units=3.0, requested_units=1.0, tokens=20.0))
    assert (
        customer.remote_demand == 2.0 and customer.tokens == 20.0 - 3.0 - 1.0
    )  # of all its demand it has enough
    (answer,) = table.sent_messages()
    assert (
        isinstance(answer, GossipMessage)
        and answer.is_reply
        and answer.is_within_quota
        and answer.tokens == 17.0
    )
    table.receive(GossipMessage(*HERE, demand=1.0, spent_units=1.0))
    assert not table.admission.outbox.waiting  # nobody waits, and there is plenty
    customer.tokens = 0.5
    table.receive(GossipMessage(*HERE, demand=1.0, requested_units=1.0))
    assert customer.tokens == 0.5  # it drew no


def test_owner_that_restarted_takes_over_the_first_reported_tokens() -> None:
    table = Table()
    table.receive(GossipMessage(*HERE, tokens=6.0))
    table.receive(GossipMessage(*HERE, tokens=2.0))
    assert table.customers.accounts[HERE].tokens == 6.0


def test_granted_units_come_with_the_reply_and_expire() -> None:
    table = Table(CEILED)
    pending = table.admit("a", THERE)
    word = GossipMessage(
        *THERE, is_reply=True, requested_units=1.0, tokens=4.0, is_ceiling_granted=True, is_within_quota=True
    )
    table.receive(word, now=NOW + SECOND_US // 10)
    assert pending.account.ceiling.grants == [(NOW + GRANT_TTL_US, 1.0)]
    owner = Table(CEILED)
    owner.customers.refreshed_account(NOW, HERE).ceiling.tokens = 0.0
    here = owner.admit("a", HERE, part=5.0)
    assert here.account.ceiling.grants == [
        (NOW + GRANT_TTL_US, 1.0)
    ]  # its own share is short: it gives itself some


def test_messages_of_sets_without_this_gateway_are_ignored() -> None:
    table = Table()
    for key in ((1, 9, 0, 2), (1, 0, 9, 2), (1, 0, 1, 2), (1, 0, 0, 0), (1, 0, 0, 9)):
        table.receive(GossipMessage(*key, tokens=1.0))
    table.receive(GossipMessage(0, SPLIT_CEILING_PLAN_INDEX, 0, 0))
    assert not table.customers.accounts and table.admission.peer_liveness.splits_ceilings(1)

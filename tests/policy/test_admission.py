"""Admission by quota: local tokens, replies of the owner, and waits that expire."""

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
PLAN_WITH_CEILING = Plan(quota_rate=10.0, quota_burst=20.0, ceiling_rate=4.0, ceiling_burst=7.0)
OWNED_HERE = CustomerKey(0, 0, 0, 2)  # owned by the first gateway of the set, which is the one under test
OWNED_BY_PEER = CustomerKey(1, 0, 0, 2)


class AdmissionFixture:
    """The admission of one gateway, with a log of its decisions."""

    def __init__(self, plan: Plan = PLAN) -> None:
        settings = replace(SETTINGS, plans=(plan,), proxy_count=3)
        self.decisions: list[tuple[str, float]] = []
        self.customers = Customers(settings, None)
        random = Random(1)
        self.admission = Admission(settings, random, self.customers, self.decide)
        self.receiver = GossipReceiver(settings, random, self.admission)

    def decide(self, pending: PendingRequest, probability: float) -> None:
        self.decisions.append((pending.request.request_id, probability))

    def admit(
        self, request_id: str, key: CustomerKey, now_us: int = NOW, local_tokens: float = 0.0
    ) -> PendingRequest:
        account = self.customers.refreshed_account(now_us, key)
        account.local_tokens = local_tokens
        pending = PendingRequest(
            RequestReceived(request_id, 0, 0, "", 6 * SECOND_US), IDEMPOTENT, account, now_us, 0
        )
        self.admission.admit(now_us, pending)
        return pending

    def sent_messages(self, now_us: int = NOW) -> tuple[object, ...]:
        return tuple(message for sent in self.admission.outbox.take_due(now_us) for message in sent.messages)

    def receive(self, *messages: GossipMessage, now_us: int = NOW) -> None:
        self.receiver.receive(now_us, GossipReceived(1, messages))


def test_local_tokens_admit_and_the_owner_is_notified_afterwards() -> None:
    fixture = AdmissionFixture()
    fixture.admit("a", OWNED_BY_PEER, local_tokens=1.0)
    assert fixture.decisions == [("a", 1.0)] and not fixture.admission.awaiting_owner
    assert fixture.sent_messages() == (GossipMessage(*OWNED_BY_PEER, demand=1.0, tokens=20.0),)


def test_owner_draws_at_once() -> None:
    fixture = AdmissionFixture()
    account = fixture.customers.refreshed_account(NOW, OWNED_HERE)
    account.tokens, account.remote_demand = 2.0, 3.0
    fixture.admit("a", OWNED_HERE)
    assert fixture.decisions == [("a", 0.5)]


def test_replies_of_the_owner_decide_waiting_requests_in_order() -> None:
    fixture = AdmissionFixture()
    first, second = fixture.admit("a", OWNED_BY_PEER), fixture.admit("b", OWNED_BY_PEER)
    assert fixture.decisions == [] and fixture.admission.awaiting_owner == [first, second]
    assert [message.requested_units for message in fixture.sent_messages()] == [1.0, 1.0]
    fixture.receive(
        GossipMessage(
            *OWNED_BY_PEER, is_reply=True, demand=8.0, requested_units=1.0, tokens=4.0, is_within_quota=False
        )
    )
    assert fixture.decisions == [("a", 0.0)] and fixture.admission.awaiting_owner == [second]
    assert first.account.tokens == 4.0 and first.account.remote_demand == 6.0
    fixture.receive(
        GossipMessage(
            *OWNED_BY_PEER, is_reply=True, demand=8.0, requested_units=1.0, tokens=4.0, is_within_quota=True
        )
    )
    assert fixture.decisions[1:] == [("b", 1.0)] and not fixture.admission.awaiting_owner
    assert first.account.unreported_units == -1.0  # the owner has already counted it


def test_owner_that_counts_spending_totals_has_not_counted_the_request() -> None:
    fixture = AdmissionFixture()
    pending = fixture.admit("a", OWNED_BY_PEER)
    fixture.customers.limits = object()  # type: ignore[assignment]
    fixture.admission.resolve_reply(NOW, pending.account, is_ceiling_granted=False, is_within_quota=True)
    assert fixture.decisions == [("a", 1.0)] and pending.account.unreported_units == 0


def test_lost_requests_are_repeated_and_then_decided_locally() -> None:
    fixture = AdmissionFixture()
    pending = fixture.admit("a", OWNED_BY_PEER)
    for number in range(1, MAX_OWNER_REQUESTS):
        fixture.admission.resolve_expired(NOW + number * OWNER_REPLY_TIMEOUT_US - 1)
        assert pending.owner_request_count == number
        fixture.admission.resolve_expired(NOW + number * OWNER_REPLY_TIMEOUT_US)
        assert pending.owner_request_count == number + 1 and fixture.decisions == []
    fixture.admission.resolve_expired(NOW + MAX_OWNER_REQUESTS * OWNER_REPLY_TIMEOUT_US)
    assert fixture.decisions == [("a", 1.0)] and pending.account.unreported_units == -MAX_OWNER_REQUESTS
    fixture.admission.peer_liveness.record_message(NOW, 1)
    closed = fixture.admit("closed", OWNED_BY_PEER)
    closed.is_closed = True
    fixture.admission.resolve_expired(NOW + SECOND_US)
    assert len(fixture.decisions) == 1 and not fixture.admission.awaiting_owner


def test_silent_owner_is_not_waited_for() -> None:
    fixture = AdmissionFixture()
    fixture.admit("a", OWNED_BY_PEER)
    fixture.admission.request_from_owner(
        NOW + PEER_SILENCE_US, fixture.admit("b", OWNED_BY_PEER, NOW + PEER_SILENCE_US)
    )
    fixture.admit("c", OWNED_BY_PEER, NOW + PEER_SILENCE_US + 1)
    assert [request_id for request_id, _ in fixture.decisions] == ["c"]


def test_owner_counts_reports_draws_and_replies() -> None:
    fixture = AdmissionFixture()
    account = fixture.customers.refreshed_account(NOW, OWNED_HERE)
    fixture.receive(GossipMessage(*OWNED_HERE, demand=2.0, spent_units=3.0, requested_units=1.0, tokens=20.0))
    # The quota covers the whole demand, so the request is admitted.
    assert account.remote_demand == 2.0 and account.tokens == 20.0 - 3.0 - 1.0
    (reply,) = fixture.sent_messages()
    assert (
        isinstance(reply, GossipMessage) and reply.is_reply and reply.is_within_quota and reply.tokens == 17.0
    )
    fixture.receive(GossipMessage(*OWNED_HERE, demand=1.0, spent_units=1.0))
    assert not fixture.admission.outbox.waiting  # it is no request, and the bucket is more than half full
    account.tokens = 0.5
    fixture.receive(GossipMessage(*OWNED_HERE, demand=1.0, requested_units=1.0))
    assert account.tokens == 0.5  # the owner's draw rejected the request


def test_restarted_owner_adopts_the_first_reported_tokens() -> None:
    fixture = AdmissionFixture()
    fixture.receive(GossipMessage(*OWNED_HERE, tokens=6.0))
    fixture.receive(GossipMessage(*OWNED_HERE, tokens=2.0))
    assert fixture.customers.accounts[OWNED_HERE].tokens == 6.0


def test_reply_grants_units_that_expire() -> None:
    fixture = AdmissionFixture(PLAN_WITH_CEILING)
    pending = fixture.admit("a", OWNED_BY_PEER)
    reply = GossipMessage(
        *OWNED_BY_PEER,
        is_reply=True,
        requested_units=1.0,
        tokens=4.0,
        is_ceiling_granted=True,
        is_within_quota=True,
    )
    fixture.receive(reply, now_us=NOW + SECOND_US // 10)
    assert pending.account.ceiling.grants == [(NOW + GRANT_TTL_US, 1.0)]
    owner = AdmissionFixture(PLAN_WITH_CEILING)
    owner.customers.refreshed_account(NOW, OWNED_HERE).ceiling.tokens = 0.0
    pending_at_owner = owner.admit("a", OWNED_HERE, local_tokens=5.0)
    # Its own bucket is empty, so it grants itself a unit.
    assert pending_at_owner.account.ceiling.grants == [(NOW + GRANT_TTL_US, 1.0)]


def test_messages_of_sets_without_this_gateway_are_ignored() -> None:
    fixture = AdmissionFixture()
    for key in ((1, 9, 0, 2), (1, 0, 9, 2), (1, 0, 1, 2), (1, 0, 0, 0), (1, 0, 0, 9)):
        fixture.receive(GossipMessage(*key, tokens=1.0))
    fixture.receive(GossipMessage(0, SPLIT_CEILING_PLAN_INDEX, 0, 0))
    assert not fixture.customers.accounts and fixture.admission.peer_liveness.splits_ceilings(1)

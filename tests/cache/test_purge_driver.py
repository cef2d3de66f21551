"""When the leader proposes to complete purges, and which; wrong or repeated proposals do no harm."""

from dataclasses import dataclass, field

from molereach.cache.purge.bodies import CompletePurges, RequestPurge, decode
from molereach.cache.purge.records import RequestedPurge
from molereach.cache.purge_driver import CHECK_INTERVAL_US, PROPOSAL_RETRY_US, PurgeDriver
from molereach.coordination.interface.core import NEVER_US, Tick
from molereach.coordination.interface.log import (
    Applied,
    LeaderChanged,
    Outcome,
    ProposalFinished,
    ProposalStatus,
    Propose,
    Restored,
)
from molereach.coordination.leases.acknowledgements import AcknowledgementTracker
from tests.cache.purge.purge_log import MEMBER, A, B, PurgeLog, completed_by, purge_id


@dataclass
class Report:
    """What a session last reported."""

    applied_position: int
    clear_position: int
    received_at_us: int | None = 0


@dataclass
class FakeReports:
    """Implements `SessionReports` of a lease manager."""

    position: int = 1 << 60
    clear_positions: dict[int, int] = field(default_factory=dict)  # by fencing token

    def report(self, name: str, fencing_token: int) -> Report | None:
        clear_position = self.clear_positions.get(fencing_token)
        # A high applied position: it must not count.
        return None if clear_position is None else Report(1 << 60, clear_position)


class Harness:
    """The driver of a front door that may lead, with its log."""

    def __init__(self) -> None:
        self.log, self.reports = PurgeLog(), FakeReports()
        self.driver = PurgeDriver(self.log.purges, self.create_tracker)
        self.log.open_sessions(A, B)
        self.proposals: list[Propose] = []  # made at once on the last entry

    def create_tracker(self, position: int, since_us: int) -> AcknowledgementTracker:
        return AcknowledgementTracker(position, self.log.sessions, self.reports, since_us, clear=True)

    def make_leader(self, now_us: int, ballot: int = 3) -> list[Propose]:
        return list(self.driver.handle(now_us, LeaderChanged("a", ballot, True)))

    def request_purge(self, now_us: int, number: int = 0) -> tuple[list[Propose], RequestedPurge]:
        id_ = purge_id(self.log.position, number)
        outcome = self.log.append_purge(RequestPurge(id_, MEMBER))
        proposals = self.driver.handle(now_us, Applied(self.log.entries[-1], outcome))
        purge = self.log.purges.find(id_)
        assert isinstance(purge, RequestedPurge)
        return list(proposals), purge

    def settle(self, now_us: int, proposal: Propose) -> Outcome:
        outcome = self.log.append_purge(proposal.body)
        self.proposals = list(self.driver.handle(now_us, Applied(self.log.entries[-1], outcome)))
        self.driver.handle(
            now_us, ProposalFinished(proposal.id, ProposalStatus.APPLIED, outcome, self.log.position)
        )
        return outcome


def test_the_leader_proposes_only_when_the_proof_is_complete() -> None:
    harness = Harness()
    assert harness.make_leader(0) == [] and harness.driver.wake_us == NEVER_US
    proposals, purge = harness.request_purge(10)
    assert proposals == [] and harness.driver.wake_us == 10 + CHECK_INTERVAL_US
    harness.reports.clear_positions = {1: purge.position}
    assert list(harness.driver.handle(10 + CHECK_INTERVAL_US, Tick())) == []
    missing = harness.driver.missing_acknowledgements(purge)
    assert missing and [(each.instance, each.since_us) for each in missing] == [(B, 10)]
    harness.reports.clear_positions[2] = purge.position
    assert list(harness.driver.handle(11 + CHECK_INTERVAL_US, Tick())) == []  # the next check is not due
    (proposal,) = harness.driver.handle(10 + 2 * CHECK_INTERVAL_US, Tick())
    assert decode(proposal.body) == CompletePurges(purge.position, (1, 2))
    assert completed_by(harness.settle(2 * CHECK_INTERVAL_US + 1, proposal)) == (1, purge.position)
    assert harness.driver.wake_us == NEVER_US and not harness.driver._applied_us


def test_one_proposal_is_open_at_a_time_and_is_repeated_if_nothing_is_heard_of_it() -> None:
    harness = Harness()
    harness.make_leader(0)
    _, purge = harness.request_purge(0)
    harness.reports.clear_positions = {1: 9, 2: 9}
    (first,) = harness.driver.handle(CHECK_INTERVAL_US, Tick())
    assert list(harness.driver.handle(2 * CHECK_INTERVAL_US, Tick())) == []
    assert (
        list(harness.driver.handle(3 * CHECK_INTERVAL_US, ProposalFinished("other", ProposalStatus.UNKNOWN)))
        == []
    )
    assert harness.driver.wake_us == CHECK_INTERVAL_US + PROPOSAL_RETRY_US
    (second,) = harness.driver.handle(CHECK_INTERVAL_US + PROPOSAL_RETRY_US, Tick())
    assert second.id != first.id and second.body == first.body
    assert completed_by(harness.settle(0, second)) == (1, purge.position)
    assert harness.log.append_purge(first.body).error == "nothing is pending up to there"


def test_a_proposal_completes_as_many_purges_as_halving_finds_proven() -> None:
    harness = Harness()
    harness.make_leader(0)
    positions = [harness.request_purge(0, number)[1].position for number in range(8)]
    harness.reports.clear_positions = {1: 1 << 50, 2: positions[2]}
    (proposal,) = harness.driver.handle(CHECK_INTERVAL_US, Tick())
    body = decode(proposal.body)
    assert isinstance(body, CompletePurges) and body.up_to_position == positions[1]  # of eight, four, two
    assert completed_by(harness.settle(CHECK_INTERVAL_US, proposal)) == (2, positions[1])
    (proposal,) = harness.proposals
    assert completed_by(harness.settle(CHECK_INTERVAL_US + 1, proposal)) == (1, positions[2])
    harness.reports.clear_positions[2] = positions[7]
    (proposal,) = harness.driver.handle(3 * CHECK_INTERVAL_US, Tick())
    assert completed_by(harness.settle(3 * CHECK_INTERVAL_US, proposal)) == (5, positions[7])


def test_a_new_leader_continues_from_the_log_and_the_reports_that_it_receives() -> None:
    harness = Harness()
    _, purge = harness.request_purge(0)
    assert harness.driver.wake_us == NEVER_US and harness.driver.missing_acknowledgements(purge) is None
    assert harness.make_leader(7) == []
    missing = harness.driver.missing_acknowledgements(purge)
    assert missing and {each.since_us for each in missing} == {7}
    _, later = harness.request_purge(8, 1)
    harness.driver.handle(9, Restored(harness.log.position))  # forgets since when purges are pending
    missing = harness.driver.missing_acknowledgements(later)
    assert missing and {each.since_us for each in missing} == {9}
    harness.reports.clear_positions = {1: later.position, 2: later.position}
    assert harness.driver.handle(CHECK_INTERVAL_US + 7, Tick())
    assert harness.driver.handle(CHECK_INTERVAL_US + 8, LeaderChanged("b", 4, False)) == ()
    assert harness.driver.wake_us == NEVER_US
    harness.driver.handle(CHECK_INTERVAL_US + 9, LeaderChanged("a", 5, True))
    assert harness.log.purges.find(purge.id) == purge


def test_a_session_that_has_ended_is_not_named_in_a_proposal() -> None:
    harness = Harness()
    harness.make_leader(0)
    _, purge = harness.request_purge(0)
    harness.log.open_sessions(type(B)("b", 2))
    harness.reports.clear_positions = {1: purge.position, 2: purge.position}
    (proposal,) = harness.driver.handle(CHECK_INTERVAL_US, Tick())
    assert decode(proposal.body) == CompletePurges(purge.position, (1,))

"""The leader's part: when it proposes, what, and that it may be wrong without harm."""

from dataclasses import dataclass, field

from molereach.cache.driver import AGAIN_US, LOOK_US, Driver
from molereach.cache.purge.bodies import Ask, Done, decode
from molereach.cache.purge.records import Asked
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
from tests.cache.purge.entries import MEMBER, A, B, Log, ended_by, purge_id


@dataclass
class Said:
    """What a session said of itself."""

    applied_position: int
    clear_position: int
    received_at_us: int | None = 0


@dataclass
class Heard:
    """`Sayings` of a keeper."""

    position: int = 1 << 60
    by_fence: dict[int, int] = field(default_factory=dict)

    def report(self, name: str, fence: int) -> Said | None:
        clear = self.by_fence.get(fence)
        return None if clear is None else Said(1 << 60, clear)  # what it applied does not count


class Place:
    """A front door that leads, with its log."""

    def __init__(self) -> None:
        self.log, self.heard = Log(), Heard()
        self.driver = Driver(self.log.purges, self.account)
        self.log.opens(A, B)
        self.next: list[Propose] = []  # at once after an entry

    def account(self, position: int, since_us: int) -> AcknowledgementTracker:
        return AcknowledgementTracker(position, self.log.sessions, self.heard, since_us, clear=True)

    def lead(self, now_us: int, ballot: int = 3) -> list[Propose]:
        return list(self.driver.handle(now_us, LeaderChanged("a", ballot, True)))

    def ask(self, now_us: int, number: int = 0) -> tuple[list[Propose], Asked]:
        name = purge_id(self.log.position, number)
        outcome = self.log.purge(Ask(name, MEMBER))
        out = self.driver.handle(now_us, Applied(self.log.entries[-1], outcome))
        asked = self.log.purges.find(name)
        assert isinstance(asked, Asked)
        return list(out), asked

    def settle(self, now_us: int, propose: Propose) -> Outcome:
        outcome = self.log.purge(propose.body)
        self.next = list(self.driver.handle(now_us, Applied(self.log.entries[-1], outcome)))
        self.driver.handle(
            now_us, ProposalFinished(propose.id, ProposalStatus.APPLIED, outcome, self.log.position)
        )
        return outcome


def test_it_proposes_when_the_proof_is_complete_and_not_before() -> None:
    place = Place()
    assert place.lead(0) == [] and place.driver.wake_us == NEVER_US
    out, asked = place.ask(10)
    assert out == [] and place.driver.wake_us == 10 + LOOK_US
    place.heard.by_fence = {1: asked.position}
    assert list(place.driver.handle(10 + LOOK_US, Tick())) == []
    missing = place.driver.missing(asked)
    assert missing and [(each.instance, each.since_us) for each in missing] == [(B, 10)]
    place.heard.by_fence[2] = asked.position
    assert list(place.driver.handle(11 + LOOK_US, Tick())) == []  # not its time yet
    (propose,) = place.driver.handle(10 + 2 * LOOK_US, Tick())
    assert decode(propose.body) == Done(asked.position, (1, 2))
    assert ended_by(place.settle(2 * LOOK_US + 1, propose)) == (1, asked.position)
    assert place.driver.wake_us == NEVER_US and not place.driver._since


def test_one_proposal_at_a_time_and_again_when_no_word_comes() -> None:
    place = Place()
    place.lead(0)
    _, asked = place.ask(0)
    place.heard.by_fence = {1: 9, 2: 9}
    (first,) = place.driver.handle(LOOK_US, Tick())
    assert list(place.driver.handle(2 * LOOK_US, Tick())) == []
    assert list(place.driver.handle(3 * LOOK_US, ProposalFinished("other", ProposalStatus.UNKNOWN))) == []
    assert place.driver.wake_us == LOOK_US + AGAIN_US
    (again,) = place.driver.handle(LOOK_US + AGAIN_US, Tick())
    assert again.id != first.id and again.body == first.body
    assert ended_by(place.settle(0, again)) == (1, asked.position)
    assert place.log.purge(first.body).error == "nothing is pending up to there"


def test_it_proposes_the_most_that_is_proven() -> None:
    place = Place()
    place.lead(0)
    positions = [place.ask(0, number)[1].position for number in range(8)]
    place.heard.by_fence = {1: 1 << 50, 2: positions[2]}
    (propose,) = place.driver.handle(LOOK_US, Tick())
    body = decode(propose.body)
    assert isinstance(body, Done) and body.upto == positions[1]  # of eight, four, two
    assert ended_by(place.settle(LOOK_US, propose)) == (2, positions[1])
    (propose,) = place.next
    assert ended_by(place.settle(LOOK_US + 1, propose)) == (1, positions[2])
    place.heard.by_fence[2] = positions[7]
    (propose,) = place.driver.handle(3 * LOOK_US, Tick())
    assert ended_by(place.settle(3 * LOOK_US, propose)) == (5, positions[7])


def test_another_leader_goes_on_from_the_log_and_from_what_it_hears() -> None:
    place = Place()
    _, asked = place.ask(0)
    assert place.driver.wake_us == NEVER_US and place.driver.missing(asked) is None
    assert place.lead(7) == []
    missing = place.driver.missing(asked)
    assert missing and {each.since_us for each in missing} == {7}
    _, later = place.ask(8, 1)
    place.driver.handle(9, Restored(place.log.position))  # for how long is not known any more
    missing = place.driver.missing(later)
    assert missing and {each.since_us for each in missing} == {9}
    place.heard.by_fence = {1: later.position, 2: later.position}
    assert place.driver.handle(LOOK_US + 7, Tick())
    assert place.driver.handle(LOOK_US + 8, LeaderChanged("b", 4, False)) == ()
    assert place.driver.wake_us == NEVER_US
    place.driver.handle(LOOK_US + 9, LeaderChanged("a", 5, True))
    assert place.log.purges.find(asked.id) == asked


def test_a_session_that_ended_meanwhile_is_not_named_as_having_said_it() -> None:
    place = Place()
    place.lead(0)
    _, asked = place.ask(0)
    place.log.opens(type(B)("b", 2))
    place.heard.by_fence = {1: asked.position, 2: asked.position}
    (propose,) = place.driver.handle(LOOK_US, Tick())
    assert decode(propose.body) == Done(asked.position, (1,))

"""The queue of rumours to send."""

from molereach.coordination.membership.gossip import GossipQueue, max_transmissions
from molereach.coordination.membership.messages import (
    Rumour,
)
from tests.coordination.membership.rumours import ALIVE, SUSPECT, rumour_of


def test_rumour_is_sent_a_bounded_number_of_times_newest_first() -> None:
    gossip = GossipQueue()
    gossip.enqueue(rumour_of(1, 0, ALIVE))
    assert gossip.next_rumours(9, 1) == (rumour_of(1, 0, ALIVE),)
    gossip.enqueue(rumour_of(1, 0, ALIVE, "b"))
    assert gossip.next_rumours(9, 1) == (rumour_of(1, 0, ALIVE, "b"),)
    remaining = [gossip.next_rumours(9, 24) for _ in range(40)]
    assert sum(rumour_of(1, 0, ALIVE) in rumours for rumours in remaining) == max_transmissions(9) - 1 == 11
    assert not gossip.transmissions


def test_replaced_rumours_are_dropped_and_each_accusation_is_sent() -> None:
    gossip = GossipQueue()
    first_accusation, second_accusation = Rumour("a", 1, 0, SUSPECT, "b"), Rumour("a", 1, 0, SUSPECT, "c")
    for rumour in (rumour_of(1, 0, ALIVE), first_accusation, second_accusation):
        gossip.enqueue(rumour)
    assert set(gossip.next_rumours(9, 24)) == {first_accusation, second_accusation}
    gossip.enqueue(rumour_of(1, 1, ALIVE))
    assert gossip.next_rumours(9, 24) == (rumour_of(1, 1, ALIVE),)

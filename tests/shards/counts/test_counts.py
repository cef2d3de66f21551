"""Counts are those of the servers: merged twice, told by both sides of a split, folded, and come back."""

import itertools

import msgspec
import pytest

from molereach.coordination.interface.clearance import ClearanceEvidence, NodeClearance
from molereach.coordination.interface.core import MessageReceived, Tick
from molereach.coordination.interface.identifiers import NodeInstance
from molereach.coordination.interface.log import Restored
from molereach.coordination.leases import bodies as leases
from molereach.shards.counts.bodies import MACHINE, Fold, encode
from molereach.shards.counts.counter import Count, Counter
from molereach.shards.counts.machine import Folds
from molereach.shards.counts.merged_counts import Merged
from molereach.shards.counts.messages import MOST_BYTES, MOST_ROWS, Row, Told, decode, told
from molereach.shards.counts.recorder import BEAT_US, DoorCounts, StartAnew
from molereach.shards.proof import Word, fault, pack
from tests.shards.counts.simulation import AllCounted, Reader, World
from tests.shards.generated import drawn_by

A, B, C, B2 = NodeInstance("a", 1), NodeInstance("b", 1), NodeInstance("c", 1), NodeInstance("b", 2)


def world(*lives: NodeInstance, folds: type[Folds] = Folds) -> World:
    found = World(drawn_by(1), folds)
    for life in lives:
        found.start(life)
    return found


def settle(found: World) -> None:
    """All words arrive, all proposals are settled, all catch up."""
    for _ in range(3):
        for life, reader in found.readers.items():
            if reader.alive:
                found.catch_up(life)
                found.beat(life)
        while found.told:
            found.deliver(0, keep=False)
    for life in found.readers:
        found.catch_up(life)


class Twice(Merged):
    """Mutation: a word heard again counts again."""

    @staticmethod
    def _joined(before: Count, now: Count) -> Count:
        return before.plus(now)


class FoldedAgain(Merged):
    """Mutation: what the log has of a life counts beside what is heard of it."""

    def totals(self) -> dict[int, Count]:
        found = super().totals()
        for life, kept in self._folded.kept().items():
            for shard in kept if life in self._lives else ():
                found[shard] = found[shard].plus(kept[shard])
        return found


def merged_any_way(kind: type[Merged]) -> bool:
    words = [(A, (Row(1, 1, 10),)), (A, (Row(1, 3, 30), Row(2, 1, 5))), (B, (Row(1, 2, 7),))]
    found = set()
    for order in itertools.permutations([*words, words[1]]):
        merged = kind(Reader(C).folds)
        for life, rows in order:
            merged.merge(life, rows)
        found.add(tuple(sorted((shard, count.bytes) for shard, count in merged.totals().items())))
    return found == {((1, 37), (2, 5))}


def test_merged_twice_and_in_any_order_it_is_the_same() -> None:
    assert merged_any_way(Merged)
    assert not merged_any_way(Twice)


def comes_back(kind: type[Merged]) -> bool:
    found = world(A, B)
    found.readers[A].door.merged = kind(found.readers[A].folds)
    found.write(B, 7, 60)
    settle(found)
    found.over(B)
    settle(found)
    assert found.truth.folds.kept()[B] == {7: Count(1, 60)}
    assert not found.add(
        leases.MACHINE, leases.encode(leases.OpenSession(B)), B
    ).error  # it was stopped, and wakes
    found.write(B, 7, 40)
    settle(found)
    return found.counted(A) == found.confirmed == {7: 100}


def test_a_life_that_comes_back_after_it_was_folded_counts_once() -> None:
    assert comes_back(Merged)
    assert not comes_back(FoldedAgain)


def test_counts_from_both_sides_of_a_split_of_the_front_doors() -> None:
    found = world(A, B, C)
    found.write(C, 1, 100)
    rows = found.readers[C].door.own.rows()
    found.readers[A].door.handle(0, MessageReceived(C, Told(C, rows)))
    found.write(C, 1, 11)
    later = found.readers[C].door.own.rows()
    found.readers[B].door.handle(
        0, MessageReceived(C, Told(C, later))
    )  # only B hears of the last, then C dies
    found.readers[C].alive = False
    found.over(C)
    found.catch_up(A)
    found.beat(A)  # the leader folds what it knows
    assert found.truth.folds.kept()[C] == {1: Count(1, 100)}
    found.catch_up(B)
    assert found.readers[B].door.clear < found.readers[B].door._applied
    assert found.forget(C).error == "this life may come back"
    found.start(NodeInstance("c", 2))
    found.catch_up(A)
    assert found.forget(C).error == "proof: no word of b"
    found.beat(B)  # what the log lacks
    settle(found)
    assert found.counted(A) == found.counted(B) == {1: 111}
    assert not found.forget(C).error
    settle(found)
    found.readers[A].door.handle(0, MessageReceived(C, Told(C, later)))
    assert found.counted(A) == found.counted(B) == {1: 111}


def test_what_may_not_be_folded_or_forgotten() -> None:
    found = world(A, B)

    def fold(life: NodeInstance) -> str:
        return found.add(MACHINE, encode(Fold(life, (Row(1, 1, 5),))), A).error

    assert fold(A) == "this life has a session"
    assert fold(NodeInstance("never", 1)) and fold(NodeInstance("a", 2))
    found.over(B)
    assert not fold(B)
    assert found.forget(B).error == "this life may come back"
    found.start(B2)
    assert "no word" in found.forget(NodeInstance("b", 1)).error or not found.forget(B).error
    settle(found)
    found.over(B2)
    assert not fold(B2)
    found.start(NodeInstance("b", 3))
    settle(found)
    if B in found.truth.folds.kept():
        assert "earlier life" in found.forget(B2).error
        assert not found.forget(B).error
    assert not found.forget(B2).error
    assert fold(B) == "this life is in the base"
    assert found.truth.folds.base() == {1: Count(2, 10)}
    assert found.add(MACHINE, b'{"kind":"other"}', A).error == "not understood"


def test_a_front_door_that_may_come_back_holds_up_the_forgetting() -> None:
    found = world(A, B, C)
    found.write(C, 1, 5)
    settle(found)
    found.over(C)
    settle(found)
    found.over(B)  # it may hold a later word of C
    found.start(NodeInstance("c", 2))
    settle(found)
    assert found.forget(C).error == "proof: b may come back"
    found.start(B2)
    assert not found.forget(C).error


def test_where_there_is_no_room_the_dead_go_and_those_that_may_come_back_stay() -> None:
    found = world(A, B, C)
    folds = Folds(found.truth.sessions, AllCounted(), most_rows=2)
    found.truth.folds = folds
    found.over(B)
    found.over(C)
    assert not found.add(MACHINE, encode(Fold(B, (Row(1, 1, 5), Row(2, 1, 5)))), A).error
    assert "more than 2 rows" in found.add(MACHINE, encode(Fold(C, (Row(1, 1, 5),))), A).error
    found.start(B2)
    assert not found.add(MACHINE, encode(Fold(C, (Row(1, 1, 5),))), A).error
    assert folds.hurried == 1 and folds.forgotten(B) and folds.base() == {1: Count(1, 5), 2: Count(1, 5)}
    door = DoorCounts(B, folds, 0)
    assert door.handle(BEAT_US, Tick()) == [StartAnew()]


def test_no_word_of_a_life_in_the_base_counts() -> None:
    found = world(A, B)
    found.write(B, 1, 5)
    settle(found)
    found.over(B)
    settle(found)
    found.start(B2)
    found.catch_up(A)
    door = found.readers[A].door
    door.merged.merge(B, [Row(1, 1, 5)])  # heard late, of a life that the log has whole
    assert not found.forget(B).error
    found.catch_up(A)
    assert found.counted(A) == {1: 5}
    assert not door.merged.merge(B, [Row(1, 2, 9)]) and found.counted(A) == {1: 5}
    door.merged.settle()
    assert not door.merged.merge(B, [Row(1, 2, 9)]) and B not in door.merged.lives()


def test_an_earlier_life_that_was_never_folded_holds_up_the_later_one() -> None:
    found = world(A, B, C)
    found.readers[C].door.merged.merge(B, [Row(1, 1, 5)])  # C alone has heard of it
    found.start(B2)
    found.over(B2)
    assert not found.add(MACHINE, encode(Fold(B2, (Row(1, 1, 7),))), A).error
    found.start(NodeInstance("b", 3))
    for life in (A, NodeInstance("b", 3), C):
        found.catch_up(life)
    assert found.forget(B2).error == "proof: no word of c"
    found.beat(C)
    found.catch_up(C)
    assert found.truth.folds.kept()[B] == {1: Count(1, 5)}
    assert found.forget(B2).error == "an earlier life of this name is kept"


def test_what_a_proof_lacks() -> None:
    found = world(A, B, C)
    sessions, begun = found.truth.sessions, len(found.entries) + 1
    found.add(MACHINE, b"{}", A)
    fences = {session.instance: session.fencing_token for session in sessions.active_sessions()}
    words = {life: Word(fence, ClearanceEvidence.REPORTED, begun) for life, fence in fences.items()}

    def said(**changed: Word) -> str:
        return fault([changed.get(life.name, word) for life, word in words.items()], sessions, begun)

    assert said() == ""
    assert fault([], sessions, begun) == "no word of a"
    assert (
        said(b=Word(fences[B], ClearanceEvidence.REPORTED, begun - 1)) == f"b has said {begun - 1} of {begun}"
    )
    assert (
        said(b=Word(fences[B], ClearanceEvidence.SESSION_EXPIRED, begun + 1))
        == "b has a session and has not said so"
    )
    found.over(B)
    assert (
        said(b=Word(fences[B], ClearanceEvidence.SESSION_EXPIRED, begun + 2)) == f"b is over by {begun + 1}"
    )
    assert said(b=Word(fences[B], ClearanceEvidence.SESSION_EXPIRED, begun + 1)) == ""
    account = [
        NodeClearance(B, ClearanceEvidence.SESSION_EXPIRED, begun + 1),
        NodeClearance(A, ClearanceEvidence.REPORTED, begun),
        NodeClearance(C, ClearanceEvidence.REPORTED, begun),
    ]
    assert fault(pack(sessions, begun, account), sessions, begun) == ""


def test_bounds_of_counters_and_words() -> None:
    counter = Counter()
    for shard in range(MOST_ROWS + 5):
        counter.add(shard + 1, 1)
    counter.add(1, MOST_BYTES)
    counter.add(1, -1)
    assert (len(counter.counts), counter.uncounted) == (MOST_ROWS, 7)
    words = told(A, counter.rows())
    assert sum(len(word.rows) for word in words) == MOST_ROWS
    assert all(decode(msgspec.json.encode(word)) == word for word in words)
    merged = Merged(Reader(A).folds)
    merged.merge(B, [Row(1, 1, 1), Row(100, 1, 1)])
    assert list(merged.totals()) == [1]  # the other is not, or not yet, one of the map
    assert len(merged.of(B)) == 2
    for broken in (b"{}", b'{"kind":"told","life":{"name":"a","number":1},"rows":[[0,1,1]]}', b" " * 70_000):
        with pytest.raises(ValueError):
            decode(broken)


@pytest.mark.parametrize("seed", range(12))
def test_random_histories_come_to_the_servers_own_counts(seed: int) -> None:
    draw = drawn_by(seed)
    found = world(A, B, C)
    found.draw = draw
    lives = {"a": A, "b": B, "c": C}
    for _ in range(250):
        name = "abc"[int(draw() * 3)]
        life = lives[name]
        chance = draw()
        opened = found.truth.sessions.active_session(name)
        if chance < 0.45:
            found.write(life, 1 + int(draw() * 4), 1 + int(draw() * 50))
        elif chance < 0.6:
            found.beat(life, lose=0.3)
        elif chance < 0.75 and found.told:
            found.deliver(int(draw() * len(found.told)), keep=draw() < 0.5)
        elif chance < 0.88:
            found.catch_up(life, 1 + int(draw() * 4))
        elif chance < 0.92 and opened and opened.instance == life:
            found.over(life)
        elif chance < 0.95 and not opened:
            found.add(leases.MACHINE, leases.encode(leases.OpenSession(life)), life)  # it wakes
        elif chance < 0.97 and found.bearable(life):  # it dies, and starts anew from a snapshot
            del found.readers[life]
            lives[name] = NodeInstance(name, life.number + 1)
            found.start(lives[name])
            snapshot = found.truth.folds.snapshot()
            new = found.readers[lives[name]]
            new.folds.restore(snapshot)
            new.door.handle(found.now_us, Restored(len(found.entries)))
            assert new.folds.snapshot() == snapshot
        elif chance < 0.99:
            found.lead("abc"[int(draw() * 3)])
        else:
            for each in list(found.truth.folds.kept()):
                found.forget(each)
    for name, life in lives.items():
        opened = found.truth.sessions.active_session(name)
        if not opened or opened.instance != life:
            found.add(leases.MACHINE, leases.encode(leases.OpenSession(life)), life)
    for leader in "abc":
        found.lead(leader)
        settle(found)
        settle(found)
        assert found.counted(lives[leader]) == found.confirmed
    assert found.truth.folds.snapshot() == found.readers[lives["a"]].folds.snapshot()


def test_snapshots_that_no_log_leaves_are_refused() -> None:
    folds = Folds(Reader(A).sessions, AllCounted())
    before = folds.snapshot()
    kept = '{"life":{"name":"a","number":1},"begun":3,"rows":[[1,1,5]]}'
    for broken in (
        b"",
        b"{}",
        f'{{"base":[],"kept":[{kept},{kept}],"horizon":{{}},"hurried":0}}'.encode(),
        f'{{"base":[],"kept":[{kept}],"horizon":{{"a":1}},"hurried":0}}'.encode(),
    ):
        with pytest.raises(ValueError):
            folds.restore(broken)
    assert folds.snapshot() == before

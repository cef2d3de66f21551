"""Each part by itself: the disk, the table of ids, batches, the panel, pieces, what waits for the disk."""

import msgspec
import pytest

from molereach.coordination.interface.core import SendMessage
from molereach.coordination.interface.disk import Persist
from molereach.coordination.interface.identifiers import NodeInstance
from molereach.coordination.interface.log import Applied, Entry, Outcome
from molereach.coordination.replicated_log.acceptor import Acceptor, in_order, rest
from molereach.coordination.replicated_log.catchup import CatchingUp
from molereach.coordination.replicated_log.leader import Queue
from molereach.coordination.replicated_log.learner import OWN, Learner
from molereach.coordination.replicated_log.ledger import Ledger
from molereach.coordination.replicated_log.once import REPEATED, Once
from molereach.coordination.replicated_log.outbox import Outbox
from molereach.coordination.replicated_log.panel import Grow, Replace, Shrink, changed
from molereach.coordination.replicated_log.records import (
    Decided,
    Promised,
    Raised,
    Recovered,
    Started,
    Voted,
    Wrote,
    encode,
    recover,
)
from molereach.coordination.replicated_log.recovery import Recovery, counted
from molereach.coordination.replicated_log.settings import MOST_BATCH, MOST_PIECE_BYTES, MOST_RUNS, Settings
from molereach.coordination.replicated_log.words import (
    NOBODY,
    Ask,
    Ballot,
    Exists,
    Known,
    Message,
    Noted,
    Piece,
    Run,
    Seat,
    Voter,
    Want,
)
from tests.coordination.replicated_log.machine import Sum

ME = NodeInstance("d0", 1)
SEATS = tuple(Seat(f"d{number}", f"{number:032x}") for number in range(9))
PANEL = SEATS[:5]
RUNS = tuple(Run(seat.disk, 1, 1) for seat in SEATS)


def entry(position: int, at_ms: int = 1, identity: str = "", machine: str = "sum") -> Entry:
    return Entry(position, machine, identity or f"p{position}", ME, at_ms, b"1")


def ledger(settings: Settings = Settings(), machine: Sum | None = None) -> Ledger:  # noqa: B008
    outbox = Outbox(ME)
    learner = Learner(PANEL, {"sum": machine or Sum()}, settings)
    return Ledger(settings, outbox, learner, Recovery(ME, SEATS[0].disk, 1, {}), Recovered())


# --- the acceptor ---


def test_what_is_left_of_a_batch() -> None:
    batch = (entry(1), entry(2), entry(3))
    assert rest(batch, entry(1)) == batch[1:]
    assert rest(batch, entry(3)) == rest(batch, entry(7)) == ()
    assert rest(batch, entry(2, 5)) == ()  # another was decided there: the batch is void
    assert in_order(batch, 0) and not in_order(batch, 1) and not in_order((entry(1, 2), entry(2, 1)), 0)


def test_a_number_is_promised_once() -> None:
    acceptor = Acceptor()
    assert acceptor.promise(Ballot(3, "a", 1)) and acceptor.promise(Ballot(3, "a", 1))
    assert not acceptor.promise(Ballot(3, "b", 1)) and not acceptor.accept(Ballot(2, "z", 1), [entry(1)])


# --- the disk ---


def test_records_are_read_back() -> None:
    low, high = Ballot(1, "a", 1), Ballot(2, "b", 1)
    records = [
        Started(RUNS[0]),
        Wrote(RUNS[1]),
        Promised(low),
        Voted(low, (entry(1), entry(2))),
        Decided((entry(1),)),
        Raised(high, NOBODY, ()),
    ]
    now = recover(None, [encode(record) for record in records])
    assert (now.disk, now.starts, now.position) == (RUNS[0].disk, 1, 1)
    assert now.runs == {RUNS[1].disk: RUNS[1]}
    assert (now.acceptor.promised, now.acceptor.accepted_at) == (high, low)
    assert now.acceptor.accepted == (entry(2),)


@pytest.mark.parametrize(
    "records",
    [
        [Promised(Ballot(2, "a", 1)), Promised(Ballot(1, "a", 1))],
        [Decided((entry(2),))],
        [Voted(Ballot(1, "a", 1), (entry(2),))],
        [Raised(Ballot(1, "a", 1), Ballot(1, "a", 1), (entry(2),))],
        [Started(RUNS[0]), Started(RUNS[1])],
    ],
)
def test_records_that_make_no_sense(records: list[Started]) -> None:
    with pytest.raises(ValueError):
        recover(None, [encode(record) for record in records])
    with pytest.raises(ValueError):
        recover(b"\xc1", [])


def test_a_base_takes_the_place_of_records() -> None:
    settings = Settings(most_tail=3)
    one = ledger(settings)
    one.promise(Ballot(4, "a", 1))
    one.note(RUNS[1])
    for position in range(1, 6):
        one.learn([entry(position)])
        one.outbox.flush()
    writes = [action for action in one.outbox.taken() if isinstance(action, Persist)]
    last = max(index for index, write in enumerate(writes) if write.base is not None)
    now = recover(writes[last].base, [record for write in writes[last:] for record in write.records])
    assert now.snapshot and now.snapshot.position == 4 and now.position == 5
    again = Learner(PANEL, {"sum": Sum()}, settings)
    two = Ledger(settings, Outbox(ME), again, Recovery(ME, SEATS[0].disk, 2, now.runs), now)
    assert again.digest() == one.learner.digest()
    assert two.acceptor.promised == Ballot(4, "a", 1) and two.recovery.runs == {RUNS[1].disk: RUNS[1]}


def test_many_entries_at_once_are_read_back() -> None:
    one = ledger()
    one.learn([entry(position) for position in range(1, MOST_BATCH + 10)])
    one.outbox.flush()
    writes = [action for action in one.outbox.taken() if isinstance(action, Persist)]
    assert recover(None, [record for write in writes for record in write.records]).position == MOST_BATCH + 9


def test_nothing_leaves_before_its_write_and_nothing_after_a_failure() -> None:
    outbox = Outbox(ME)
    outbox.write(Promised(Ballot(1, "a", 1)))
    outbox.vote("a", Want(0))
    outbox.flush()
    outbox.vote("a", Want(1))  # rests on the same write
    outbox.flush()
    assert [type(action) for action in outbox.taken()] == [Persist]
    outbox.persisted(99)  # a token that was never given says nothing of those to come
    outbox.release()
    assert [type(action) for action in outbox.taken()] == [SendMessage, SendMessage]
    outbox.write(Promised(Ballot(2, "a", 1)))
    outbox.vote("a", Want(2))
    outbox.flush()
    assert outbox.fail("no space") and not outbox.fail("no space")
    outbox.persisted(2)
    outbox.release()
    assert not [action for action in outbox.taken() if isinstance(action, SendMessage)]


# --- starts ---


def test_a_vote_waits_for_answers_and_for_what_they_had() -> None:
    recovery = Recovery(ME, SEATS[0].disk, 1, {})
    for index, after in ((1, 0), (2, 7), (3, 0)):
        assert not recovery.may_vote(PANEL, 0)
        noted = Noted(recovery.run, RUNS[index], after, NOBODY)
        assert recovery.answered(NodeInstance(SEATS[index].name, 1), noted, PANEL)
        assert not recovery.answered(NodeInstance(SEATS[index].name, 1), noted, PANEL)
    assert not recovery.may_vote(PANEL, 6) and recovery.may_vote(PANEL, 7)
    assert not recovery.may_vote(SEATS[1:6], 7)  # no seat
    assert not recovery.may_vote((SEATS[0], *SEATS[3:7]), 7)  # another panel: its seats are asked
    other_run = Noted(Run(SEATS[0].disk, 1, 9), RUNS[4], 0, NOBODY)
    assert not recovery.answered(NodeInstance("d4", 1), other_run, PANEL)
    assert not recovery.refused(Exists(Run(SEATS[0].disk, 1, 9), Run(SEATS[0].disk, 5, 4)))
    assert recovery.refused(Exists(recovery.run, Run(SEATS[0].disk, 1, 4)))
    assert not recovery.may_vote(PANEL, 7)


def test_a_vote_of_an_earlier_run_is_void() -> None:
    votes = {run.disk: Voter(run) for run in RUNS[:3]}
    assert counted(votes, PANEL) == 3
    votes[RUNS[1].disk] = Voter(RUNS[1], (Run(RUNS[0].disk, 2, 2),))
    assert counted(votes, PANEL) == 2
    votes[RUNS[0].disk] = Voter(Run(RUNS[0].disk, 2, 2))
    assert counted(votes, PANEL) == 3
    assert counted(votes, SEATS[1:6]) == 2


def test_runs_and_answers_are_bounded() -> None:
    recovery = Recovery(ME, SEATS[0].disk, 1, {})
    for number in range(1, 3 * MOST_RUNS):
        run = Run(f"{number:032x}", 1, 1)
        assert recovery.answered(NodeInstance(f"d{number}", 1), Noted(recovery.run, run, 0, NOBODY), PANEL)
        assert recovery.write(run, PANEL)
    assert len(recovery.answers) == len(recovery.runs) == MOST_RUNS
    assert recovery.may_vote(PANEL, 0) and len(recovery.voter(PANEL).knows) == 4


# --- proposals ---


def test_an_ask_from_before_the_window_settles_nothing() -> None:
    learner = Learner(PANEL, {"sum": Sum()}, Settings(most_once=2))
    queue = Queue(Settings(), lambda now_us: 5)
    early = Ask("sum", "p1", ME, 0, b"1")
    for position in (1, 2, 3):
        learner.apply(entry(position))
    queue.add(early, learner)  # applied once, and out of the table since
    assert queue.batch(0, learner) == ()
    queue.add(Ask("sum", "p9", ME, 1, b"1"), learner)
    assert [each.id for each in queue.batch(0, learner)] == ["p9"]


def test_a_batch_ends_with_a_change_of_the_panel() -> None:
    learner = Learner(PANEL, {"sum": Sum()}, Settings())
    learner.apply(entry(1, at_ms=50))
    queue = Queue(Settings(), lambda now_us: 7)
    for number, machine in enumerate(("sum", OWN, "sum")):
        queue.add(Ask(machine, f"q{number}", ME, 0, b"1"), learner)
    queue.add(Ask("sum", "p1", ME, 0, b"1"), learner)  # applied before
    batch = queue.batch(0, learner)
    assert [each.id for each in batch] == ["q0", "q1"]
    assert [each.at_ms for each in batch] == [50, 50]  # a clock that is behind takes no time back
    assert [each.id for each in queue.batch(0, learner)] == ["q2"]
    assert not queue.asks


def test_a_batch_is_bounded_in_bytes() -> None:
    learner = Learner(PANEL, {"sum": Sum()}, Settings())
    queue = Queue(Settings(), lambda now_us: 7)
    for number in range(10):
        queue.add(Ask("sum", f"q{number}", ME, 0, b"1" * 16_000), learner)
    assert len(queue.batch(0, learner)) == 4


def test_ids_are_kept_up_to_a_bound() -> None:
    once = Once(2)
    for position in (1, 2, 3):
        once.add(entry(position), b"", Outcome())
    assert once.find("p1") is None and once.find("p2") and once.floor == 1


def test_a_repeat_and_an_unknown_machine() -> None:
    learner = Learner(PANEL, {"sum": Sum()}, Settings())
    entries = [entry(1), entry(2, identity="p1"), entry(3, machine="none")]
    outcomes = [
        action.outcome for each in entries for action in learner.apply(each) if isinstance(action, Applied)
    ]
    assert outcomes == [Outcome(value=b"1"), Outcome(REPEATED.format(1)), Outcome("no such machine")]


# --- the panel ---


@pytest.mark.parametrize(
    ("change", "error"),
    [
        (Replace(SEATS[0], SEATS[7]), ""),
        (Replace(SEATS[7], SEATS[8]), "no such seat"),
        (Replace(SEATS[0], SEATS[1]), "the seat is taken"),
        (Replace(SEATS[0], Seat("d1", SEATS[8].disk)), "a front door and a disk have one seat each"),
        (Replace(SEATS[0], Seat("d0", SEATS[8].disk)), ""),
        (Grow((SEATS[7], SEATS[8])), ""),
        (Grow((SEATS[7], SEATS[7])), "the seat is taken"),
        (Shrink((SEATS[0], SEATS[1])), ""),
        (Shrink((SEATS[0], SEATS[0])), "the seat is taken"),
    ],
)
def test_changes_of_the_panel(change: Replace, error: str) -> None:
    after, outcome = changed(PANEL, msgspec.json.encode(change))
    assert outcome == Outcome(error)
    assert (after == PANEL) == bool(error)


def test_sizes_of_the_panel() -> None:
    pair = msgspec.json.encode(Grow((SEATS[7], SEATS[8])))
    assert changed(SEATS[:7], pair)[1].error.startswith("a panel has")
    assert changed(SEATS[:3], msgspec.json.encode(Shrink((SEATS[0], SEATS[1]))))[1].error
    assert changed(PANEL, b'{"kind": "other"}')[1].error == "not a change of the panel"


# --- words ---


def test_words_are_typed_and_bounded() -> None:
    decoder = msgspec.json.Decoder(Message)
    assert decoder.decode(msgspec.json.encode(Want(3))) == Want(3)
    many = tuple(entry(position) for position in range(1, MOST_BATCH + 2))
    for wrong in (
        b'{"kind":"l.want","after":3,"more":1}',
        b'{"kind":"l.want","after":-1}',
        b'{"kind":"want","after":1}',
        msgspec.json.encode(Known(many, 1)),
        msgspec.json.encode(Voter(RUNS[0])),
    ):
        with pytest.raises(msgspec.MsgspecError):
            decoder.decode(wrong)


# --- catching up ---


def asked(one: Ledger) -> list[object]:
    return [action.message for action in one.outbox.taken() if isinstance(action, SendMessage)]


def pieces(of: Ledger, position: int = 0) -> list[Piece]:
    """All of a snapshot, as asked for one after the other."""
    giving, got = CatchingUp(of), []
    while not got or got[-1].offset + len(got[-1].data) < got[-1].total:
        giving.give("d1", position, sum(len(piece.data) for piece in got))
        got.append(next(message for message in asked(of) if isinstance(message, Piece)))
        position = got[0].position
    return got


def behind(ballast: int) -> tuple[Ledger, Ledger, list[Piece]]:
    one = ledger(Settings(most_tail=3), Sum(ballast=ballast))
    one.learn([entry(position) for position in range(1, 9)])
    assert one.learner.following(2) is None
    return one, ledger(machine=Sum(ballast=ballast)), pieces(one)


def test_pieces_that_fit_make_a_snapshot() -> None:
    one, two, got = behind(3 * MOST_PIECE_BYTES)
    catching_up = CatchingUp(two)
    assert len(got) == 4 and all(len(piece.data) <= MOST_PIECE_BYTES for piece in got)
    assert not catching_up.on_piece("d1", got[1])  # begins nothing
    for piece in (got[0], got[0], got[2], got[1], got[2]):  # a repeat and one too early are thrown away
        assert not catching_up.on_piece("d1", piece)
    assert not catching_up.on_piece("d2", got[3])  # another's
    assert catching_up.on_piece("d1", got[3])
    assert two.position == 8 and two.learner.digest() == one.learner.digest()


def test_a_snapshot_that_is_not_what_it_says_is_dropped() -> None:
    _, two, got = behind(10)
    catching_up = CatchingUp(two)
    wrong = msgspec.structs.replace(got[0], data=got[0].data[:-1] + b"\x00")
    assert not catching_up.on_piece("d1", wrong) and two.position == 0 and not catching_up.data
    assert catching_up.on_piece("d1", got[0])


def test_a_snapshot_that_is_older_or_lacks_a_machine_is_of_no_use() -> None:
    one, two, got = behind(10)
    two.learn([entry(position) for position in range(1, 10)])
    assert not CatchingUp(two).on_piece("d1", got[0]) and two.position == 9
    assert not two.restore(one.learner.snapshot())
    one.learner.failed.add("sum")
    giving = CatchingUp(one)
    giving.tell("d2", 0)
    assert asked(one) == []


def test_it_asks_again_and_gives_up() -> None:
    two = ledger()
    catching_up = CatchingUp(two)
    catching_up.want("d1")
    now = 0
    for _ in range(20):
        now += 300
        catching_up.tick(now, 300)
    assert asked(two) == [Want(0)] * 6 and not catching_up.source


def test_entries_are_asked_for_as_long_as_they_help() -> None:
    two = ledger()
    catching_up = CatchingUp(two)
    assert catching_up.on_known("d1", Known((entry(1),), 5))
    assert not catching_up.on_known("d1", Known((entry(1),), 5))  # a repeat asks for nothing
    assert asked(two) == [Want(1)]
    assert not catching_up.on_known("d1", Known((entry(3),), 5))  # a gap
    assert two.position == 1

"""Each part by itself: the disk, the table of ids, batches, the panel, pieces, what waits for the disk."""

import msgspec
import pytest

from molereach.coordination.interface.core import SendMessage
from molereach.coordination.interface.disk import Persist
from molereach.coordination.interface.identifiers import NodeInstance
from molereach.coordination.interface.log import Applied, Entry, Outcome
from molereach.coordination.replicated_log.acceptor import Acceptor, are_consecutive, undecided_rest
from molereach.coordination.replicated_log.catch_up_protocol import CatchUpProtocol
from molereach.coordination.replicated_log.deduplication import REPEATED_ERROR, DeduplicationTable
from molereach.coordination.replicated_log.leadership import ProposalQueue
from molereach.coordination.replicated_log.learner import LOG_MACHINE, Learner
from molereach.coordination.replicated_log.messages import (
    NOBODY,
    Ballot,
    EntriesReply,
    EntriesRequest,
    Message,
    ProposalRequest,
    Run,
    RunAcknowledged,
    RunConflict,
    SnapshotChunk,
    Voter,
    VoteSource,
)
from molereach.coordination.replicated_log.outbox import Outbox
from molereach.coordination.replicated_log.records import (
    BallotPromised,
    BatchAccepted,
    DiskStarted,
    EntriesDecided,
    Recovered,
    RunRecorded,
    StateAdopted,
    encode,
    recover,
)
from molereach.coordination.replicated_log.recovery import Recovery, count_votes
from molereach.coordination.replicated_log.replica_state import ReplicaState
from molereach.coordination.replicated_log.settings import (
    MAX_BATCH_ENTRIES,
    MAX_CHUNK_BYTES,
    MAX_RUNS,
    LogSettings,
)
from molereach.coordination.replicated_log.voters import AddVoters, RemoveVoters, ReplaceVoter, apply_change
from tests.coordination.replicated_log.sum_machine import Sum

ME = NodeInstance("d0", 1)
SEATS = tuple(Voter(f"d{number}", f"{number:032x}") for number in range(9))
PANEL = SEATS[:5]
RUNS = tuple(Run(seat.disk, 1, 1) for seat in SEATS)


def entry(position: int, at_ms: int = 1, identity: str = "", machine: str = "sum") -> Entry:
    return Entry(position, machine, identity or f"p{position}", ME, at_ms, b"1")


def ledger(settings: LogSettings = LogSettings(), machine: Sum | None = None) -> ReplicaState:  # noqa: B008
    outbox = Outbox(ME)
    learner = Learner(PANEL, {"sum": machine or Sum()}, settings)
    return ReplicaState(settings, outbox, learner, Recovery(ME, SEATS[0].disk, 1, {}), Recovered())


# --- the acceptor ---


def test_what_is_left_of_a_batch() -> None:
    batch = (entry(1), entry(2), entry(3))
    assert undecided_rest(batch, entry(1)) == batch[1:]
    assert undecided_rest(batch, entry(3)) == undecided_rest(batch, entry(7)) == ()
    assert undecided_rest(batch, entry(2, 5)) == ()  # another was decided there: the batch is void
    assert (
        are_consecutive(batch, 0)
        and not are_consecutive(batch, 1)
        and not are_consecutive((entry(1, 2), entry(2, 1)), 0)
    )


def test_a_number_is_promised_once() -> None:
    acceptor = Acceptor()
    assert acceptor.promise(Ballot(3, "a", 1)) and acceptor.promise(Ballot(3, "a", 1))
    assert not acceptor.promise(Ballot(3, "b", 1)) and not acceptor.accept(Ballot(2, "z", 1), [entry(1)])


# --- the disk ---


def test_records_are_read_back() -> None:
    low, high = Ballot(1, "a", 1), Ballot(2, "b", 1)
    records = [
        DiskStarted(RUNS[0]),
        RunRecorded(RUNS[1]),
        BallotPromised(low),
        BatchAccepted(low, (entry(1), entry(2))),
        EntriesDecided((entry(1),)),
        StateAdopted(high, NOBODY, ()),
    ]
    now = recover(None, [encode(record) for record in records])
    assert (now.disk, now.start_count, now.position) == (RUNS[0].disk, 1, 1)
    assert now.runs == {RUNS[1].disk: RUNS[1]}
    assert (now.acceptor.promised, now.acceptor.accepted_at) == (high, low)
    assert now.acceptor.accepted == (entry(2),)


@pytest.mark.parametrize(
    "records",
    [
        [BallotPromised(Ballot(2, "a", 1)), BallotPromised(Ballot(1, "a", 1))],
        [EntriesDecided((entry(2),))],
        [BatchAccepted(Ballot(1, "a", 1), (entry(2),))],
        [StateAdopted(Ballot(1, "a", 1), Ballot(1, "a", 1), (entry(2),))],
        [DiskStarted(RUNS[0]), DiskStarted(RUNS[1])],
    ],
)
def test_records_that_make_no_sense(records: list[DiskStarted]) -> None:
    with pytest.raises(ValueError):
        recover(None, [encode(record) for record in records])
    with pytest.raises(ValueError):
        recover(b"\xc1", [])


def test_a_base_takes_the_place_of_records() -> None:
    settings = LogSettings(max_tail_entries=3)
    one = ledger(settings)
    one.promise(Ballot(4, "a", 1))
    one.record_run(RUNS[1])
    for position in range(1, 6):
        one.apply_decided([entry(position)])
        one.outbox.flush()
    writes = [action for action in one.outbox.take_actions() if isinstance(action, Persist)]
    last = max(index for index, write in enumerate(writes) if write.base is not None)
    now = recover(writes[last].base, [record for write in writes[last:] for record in write.records])
    assert now.snapshot and now.snapshot.position == 4 and now.position == 5
    again = Learner(PANEL, {"sum": Sum()}, settings)
    two = ReplicaState(settings, Outbox(ME), again, Recovery(ME, SEATS[0].disk, 2, now.runs), now)
    assert again.digest() == one.learner.digest()
    assert two.acceptor.promised == Ballot(4, "a", 1) and two.recovery.runs == {RUNS[1].disk: RUNS[1]}


def test_many_entries_at_once_are_read_back() -> None:
    one = ledger()
    one.apply_decided([entry(position) for position in range(1, MAX_BATCH_ENTRIES + 10)])
    one.outbox.flush()
    writes = [action for action in one.outbox.take_actions() if isinstance(action, Persist)]
    assert (
        recover(None, [record for write in writes for record in write.records]).position
        == MAX_BATCH_ENTRIES + 9
    )


def test_nothing_leaves_before_its_write_and_nothing_after_a_failure() -> None:
    outbox = Outbox(ME)
    outbox.write(BallotPromised(Ballot(1, "a", 1)))
    outbox.send_after_sync("a", EntriesRequest(0))
    outbox.flush()
    outbox.send_after_sync("a", EntriesRequest(1))  # rests on the same write
    outbox.flush()
    assert [type(action) for action in outbox.take_actions()] == [Persist]
    outbox.persisted(99)  # a token that was never given says nothing of those to come
    outbox.release()
    assert [type(action) for action in outbox.take_actions()] == [SendMessage, SendMessage]
    outbox.write(BallotPromised(Ballot(2, "a", 1)))
    outbox.send_after_sync("a", EntriesRequest(2))
    outbox.flush()
    assert outbox.fail("no space") and not outbox.fail("no space")
    outbox.persisted(2)
    outbox.release()
    assert not [action for action in outbox.take_actions() if isinstance(action, SendMessage)]


# --- starts ---


def test_a_vote_waits_for_answers_and_for_what_they_had() -> None:
    recovery = Recovery(ME, SEATS[0].disk, 1, {})
    for index, after in ((1, 0), (2, 7), (3, 0)):
        assert not recovery.may_vote(PANEL, 0)
        noted = RunAcknowledged(recovery.run, RUNS[index], after, NOBODY)
        assert recovery.record_acknowledgement(NodeInstance(SEATS[index].name, 1), noted, PANEL)
        assert not recovery.record_acknowledgement(NodeInstance(SEATS[index].name, 1), noted, PANEL)
    assert not recovery.may_vote(PANEL, 6) and recovery.may_vote(PANEL, 7)
    assert not recovery.may_vote(SEATS[1:6], 7)  # no seat
    assert not recovery.may_vote((SEATS[0], *SEATS[3:7]), 7)  # another panel: its seats are asked
    other_run = RunAcknowledged(Run(SEATS[0].disk, 1, 9), RUNS[4], 0, NOBODY)
    assert not recovery.record_acknowledgement(NodeInstance("d4", 1), other_run, PANEL)
    assert not recovery.record_conflict(RunConflict(Run(SEATS[0].disk, 1, 9), Run(SEATS[0].disk, 5, 4)))
    assert recovery.record_conflict(RunConflict(recovery.run, Run(SEATS[0].disk, 1, 4)))
    assert not recovery.may_vote(PANEL, 7)


def test_a_vote_of_an_earlier_run_is_void() -> None:
    votes = {run.disk: VoteSource(run) for run in RUNS[:3]}
    assert count_votes(votes, PANEL) == 3
    votes[RUNS[1].disk] = VoteSource(RUNS[1], (Run(RUNS[0].disk, 2, 2),))
    assert count_votes(votes, PANEL) == 2
    votes[RUNS[0].disk] = VoteSource(Run(RUNS[0].disk, 2, 2))
    assert count_votes(votes, PANEL) == 3
    assert count_votes(votes, SEATS[1:6]) == 2


def test_runs_and_answers_are_bounded() -> None:
    recovery = Recovery(ME, SEATS[0].disk, 1, {})
    for number in range(1, 3 * MAX_RUNS):
        run = Run(f"{number:032x}", 1, 1)
        assert recovery.record_acknowledgement(
            NodeInstance(f"d{number}", 1), RunAcknowledged(recovery.run, run, 0, NOBODY), PANEL
        )
        assert recovery.record_run(run, PANEL)
    assert len(recovery.acknowledgements) == len(recovery.runs) == MAX_RUNS
    assert recovery.may_vote(PANEL, 0) and len(recovery.vote_source(PANEL).known_runs) == 4


# --- proposals ---


def test_a_request_from_before_the_window_decides_nothing() -> None:
    learner = Learner(PANEL, {"sum": Sum()}, LogSettings(max_deduplicated_ids=2))
    queue = ProposalQueue(LogSettings(), lambda now_us: 5)
    early = ProposalRequest("sum", "p1", ME, 0, b"1")
    for position in (1, 2, 3):
        learner.apply(entry(position))
    queue.add(early, learner)  # applied once, and out of the table since
    assert queue.batch(0, learner) == ()
    queue.add(ProposalRequest("sum", "p9", ME, 1, b"1"), learner)
    assert [each.id for each in queue.batch(0, learner)] == ["p9"]


def test_a_batch_ends_with_a_change_of_the_voters() -> None:
    learner = Learner(PANEL, {"sum": Sum()}, LogSettings())
    learner.apply(entry(1, at_ms=50))
    queue = ProposalQueue(LogSettings(), lambda now_us: 7)
    for number, machine in enumerate(("sum", LOG_MACHINE, "sum")):
        queue.add(ProposalRequest(machine, f"q{number}", ME, 0, b"1"), learner)
    queue.add(ProposalRequest("sum", "p1", ME, 0, b"1"), learner)  # applied before
    batch = queue.batch(0, learner)
    assert [each.id for each in batch] == ["q0", "q1"]
    assert [each.at_ms for each in batch] == [50, 50]  # a clock that is behind takes no time back
    assert [each.id for each in queue.batch(0, learner)] == ["q2"]
    assert not queue.requests


def test_a_batch_is_bounded_in_bytes() -> None:
    learner = Learner(PANEL, {"sum": Sum()}, LogSettings())
    queue = ProposalQueue(LogSettings(), lambda now_us: 7)
    for number in range(10):
        queue.add(ProposalRequest("sum", f"q{number}", ME, 0, b"1" * 16_000), learner)
    assert len(queue.batch(0, learner)) == 4


def test_ids_are_remembered_up_to_a_bound() -> None:
    once = DeduplicationTable(2)
    for position in (1, 2, 3):
        once.add(entry(position), b"", Outcome())
    assert once.find("p1") is None and once.find("p2") and once.floor == 1


def test_a_repeat_and_an_unknown_machine() -> None:
    learner = Learner(PANEL, {"sum": Sum()}, LogSettings())
    entries = [entry(1), entry(2, identity="p1"), entry(3, machine="none")]
    outcomes = [
        action.outcome for each in entries for action in learner.apply(each) if isinstance(action, Applied)
    ]
    assert outcomes == [Outcome(value=b"1"), Outcome(REPEATED_ERROR.format(1)), Outcome("no such machine")]


# --- the panel ---


@pytest.mark.parametrize(
    ("change", "error"),
    [
        (ReplaceVoter(SEATS[0], SEATS[7]), ""),
        (ReplaceVoter(SEATS[7], SEATS[8]), "no such seat"),
        (ReplaceVoter(SEATS[0], SEATS[1]), "the seat is taken"),
        (ReplaceVoter(SEATS[0], Voter("d1", SEATS[8].disk)), "a front door and a disk have one seat each"),
        (ReplaceVoter(SEATS[0], Voter("d0", SEATS[8].disk)), ""),
        (AddVoters((SEATS[7], SEATS[8])), ""),
        (AddVoters((SEATS[7], SEATS[7])), "the seat is taken"),
        (RemoveVoters((SEATS[0], SEATS[1])), ""),
        (RemoveVoters((SEATS[0], SEATS[0])), "the seat is taken"),
    ],
)
def test_changes_of_the_voters(change: ReplaceVoter, error: str) -> None:
    after, outcome = apply_change(PANEL, msgspec.json.encode(change))
    assert outcome == Outcome(error)
    assert (after == PANEL) == bool(error)


def test_sizes_of_the_voters() -> None:
    pair = msgspec.json.encode(AddVoters((SEATS[7], SEATS[8])))
    assert apply_change(SEATS[:7], pair)[1].error.startswith("a panel has")
    assert apply_change(SEATS[:3], msgspec.json.encode(RemoveVoters((SEATS[0], SEATS[1]))))[1].error
    assert apply_change(PANEL, b'{"kind": "other"}')[1].error == "not a change of the panel"


# --- words ---


def test_messages_are_typed_and_bounded() -> None:
    decoder = msgspec.json.Decoder(Message)
    assert decoder.decode(msgspec.json.encode(EntriesRequest(3))) == EntriesRequest(3)
    many = tuple(entry(position) for position in range(1, MAX_BATCH_ENTRIES + 2))
    for wrong in (
        b'{"kind":"l.want","after":3,"more":1}',
        b'{"kind":"l.want","after":-1}',
        b'{"kind":"want","after":1}',
        msgspec.json.encode(EntriesReply(many, 1)),
        msgspec.json.encode(VoteSource(RUNS[0])),
    ):
        with pytest.raises(msgspec.MsgspecError):
            decoder.decode(wrong)


# --- catching up ---


def asked(one: ReplicaState) -> list[object]:
    return [action.message for action in one.outbox.take_actions() if isinstance(action, SendMessage)]


def pieces(of: ReplicaState, position: int = 0) -> list[SnapshotChunk]:
    """All of a snapshot, as asked for one after the other."""
    giving, got = CatchUpProtocol(of), []
    while not got or got[-1].offset + len(got[-1].data) < got[-1].total:
        giving.send_chunk("d1", position, sum(len(piece.data) for piece in got))
        got.append(next(message for message in asked(of) if isinstance(message, SnapshotChunk)))
        position = got[0].position
    return got


def behind(ballast: int) -> tuple[ReplicaState, ReplicaState, list[SnapshotChunk]]:
    one = ledger(LogSettings(max_tail_entries=3), Sum(ballast=ballast))
    one.apply_decided([entry(position) for position in range(1, 9)])
    assert one.learner.entries_after(2) is None
    return one, ledger(machine=Sum(ballast=ballast)), pieces(one)


def test_pieces_that_fit_make_a_snapshot() -> None:
    one, two, got = behind(3 * MAX_CHUNK_BYTES)
    catching_up = CatchUpProtocol(two)
    assert len(got) == 4 and all(len(piece.data) <= MAX_CHUNK_BYTES for piece in got)
    assert not catching_up.on_chunk("d1", got[1])  # begins nothing
    for piece in (got[0], got[0], got[2], got[1], got[2]):  # a repeat and one too early are thrown away
        assert not catching_up.on_chunk("d1", piece)
    assert not catching_up.on_chunk("d2", got[3])  # another's
    assert catching_up.on_chunk("d1", got[3])
    assert two.position == 8 and two.learner.digest() == one.learner.digest()


def test_a_snapshot_that_is_not_what_it_says_is_dropped() -> None:
    _, two, got = behind(10)
    catching_up = CatchUpProtocol(two)
    wrong = msgspec.structs.replace(got[0], data=got[0].data[:-1] + b"\x00")
    assert not catching_up.on_chunk("d1", wrong) and two.position == 0 and not catching_up.snapshot_data
    assert catching_up.on_chunk("d1", got[0])


def test_a_snapshot_that_is_older_or_lacks_a_machine_is_of_no_use() -> None:
    one, two, got = behind(10)
    two.apply_decided([entry(position) for position in range(1, 10)])
    assert not CatchUpProtocol(two).on_chunk("d1", got[0]) and two.position == 9
    assert not two.restore(one.learner.snapshot())
    one.learner.failed_machines.add("sum")
    giving = CatchUpProtocol(one)
    giving.send_entries("d2", 0)
    assert asked(one) == []


def test_it_retries_and_gives_up() -> None:
    two = ledger()
    catching_up = CatchUpProtocol(two)
    catching_up.request_from("d1")
    now = 0
    for _ in range(20):
        now += 300
        catching_up.tick(now, 300)
    assert asked(two) == [EntriesRequest(0)] * 6 and not catching_up.source


def test_entries_are_requested_as_long_as_they_help() -> None:
    two = ledger()
    catching_up = CatchUpProtocol(two)
    assert catching_up.on_entries("d1", EntriesReply((entry(1),), 5))
    assert not catching_up.on_entries("d1", EntriesReply((entry(1),), 5))  # a repeat asks for nothing
    assert asked(two) == [EntriesRequest(1)]
    assert not catching_up.on_entries("d1", EntriesReply((entry(3),), 5))  # a gap
    assert two.position == 1

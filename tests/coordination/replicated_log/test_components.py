"""The components one by one: acceptor, records, outbox, starts, proposals, voters, messages, catching up."""

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
from tests.coordination.replicated_log.sum_machine import SumMachine

INSTANCE = NodeInstance("d0", 1)
CANDIDATE_VOTERS = tuple(Voter(f"d{number}", f"{number:032x}") for number in range(9))
VOTERS = CANDIDATE_VOTERS[:5]
RUNS = tuple(Run(voter.disk, 1, 1) for voter in CANDIDATE_VOTERS)


def entry(position: int, at_ms: int = 1, entry_id: str = "", machine: str = "sum") -> Entry:
    return Entry(position, machine, entry_id or f"p{position}", INSTANCE, at_ms, b"1")


def new_replica(settings: LogSettings = LogSettings(), machine: SumMachine | None = None) -> ReplicaState:  # noqa: B008
    outbox = Outbox(INSTANCE)
    learner = Learner(VOTERS, {"sum": machine or SumMachine()}, settings)
    return ReplicaState(
        settings, outbox, learner, Recovery(INSTANCE, CANDIDATE_VOTERS[0].disk, 1, {}), Recovered()
    )


# --- the acceptor ---


def test_undecided_rest_of_a_batch() -> None:
    batch = (entry(1), entry(2), entry(3))
    assert undecided_rest(batch, entry(1)) == batch[1:]
    assert undecided_rest(batch, entry(3)) == undecided_rest(batch, entry(7)) == ()
    assert undecided_rest(batch, entry(2, 5)) == ()  # another entry was decided there: the batch is void
    assert (
        are_consecutive(batch, 0)
        and not are_consecutive(batch, 1)
        and not are_consecutive((entry(1, 2), entry(2, 1)), 0)
    )


def test_ballot_number_is_promised_once() -> None:
    acceptor = Acceptor()
    assert acceptor.promise(Ballot(3, "a", 1)) and acceptor.promise(Ballot(3, "a", 1))
    assert not acceptor.promise(Ballot(3, "b", 1)) and not acceptor.accept(Ballot(2, "z", 1), [entry(1)])


# --- the disk ---


def test_state_is_recovered_from_records() -> None:
    low_ballot, high_ballot = Ballot(1, "a", 1), Ballot(2, "b", 1)
    records = [
        DiskStarted(RUNS[0]),
        RunRecorded(RUNS[1]),
        BallotPromised(low_ballot),
        BatchAccepted(low_ballot, (entry(1), entry(2))),
        EntriesDecided((entry(1),)),
        StateAdopted(high_ballot, NOBODY, ()),
    ]
    recovered = recover(None, [encode(record) for record in records])
    assert (recovered.disk, recovered.start_count, recovered.position) == (RUNS[0].disk, 1, 1)
    assert recovered.runs == {RUNS[1].disk: RUNS[1]}
    assert (recovered.acceptor.promised, recovered.acceptor.accepted_at) == (high_ballot, low_ballot)
    assert recovered.acceptor.accepted == (entry(2),)


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
def test_contradictory_records_are_rejected(records: list[DiskStarted]) -> None:
    with pytest.raises(ValueError):
        recover(None, [encode(record) for record in records])
    with pytest.raises(ValueError):
        recover(b"\xc1", [])


def test_base_replaces_records() -> None:
    settings = LogSettings(max_tail_entries=3)
    replica = new_replica(settings)
    replica.promise(Ballot(4, "a", 1))
    replica.record_run(RUNS[1])
    for position in range(1, 6):
        replica.apply_decided([entry(position)])
        replica.outbox.flush()
    writes = [action for action in replica.outbox.take_actions() if isinstance(action, Persist)]
    last = max(index for index, write in enumerate(writes) if write.base is not None)
    recovered = recover(writes[last].base, [record for write in writes[last:] for record in write.records])
    assert recovered.snapshot and recovered.snapshot.position == 4 and recovered.position == 5
    learner = Learner(VOTERS, {"sum": SumMachine()}, settings)
    restarted = ReplicaState(
        settings,
        Outbox(INSTANCE),
        learner,
        Recovery(INSTANCE, CANDIDATE_VOTERS[0].disk, 2, recovered.runs),
        recovered,
    )
    assert learner.digest() == replica.learner.digest()
    assert restarted.acceptor.promised == Ballot(4, "a", 1) and restarted.recovery.runs == {
        RUNS[1].disk: RUNS[1]
    }


def test_more_entries_than_a_batch_are_recovered() -> None:
    replica = new_replica()
    replica.apply_decided([entry(position) for position in range(1, MAX_BATCH_ENTRIES + 10)])
    replica.outbox.flush()
    writes = [action for action in replica.outbox.take_actions() if isinstance(action, Persist)]
    assert (
        recover(None, [record for write in writes for record in write.records]).position
        == MAX_BATCH_ENTRIES + 9
    )


def test_messages_wait_for_their_write_and_none_is_sent_after_a_failure() -> None:
    outbox = Outbox(INSTANCE)
    outbox.write(BallotPromised(Ballot(1, "a", 1)))
    outbox.send_after_sync("a", EntriesRequest(0))
    outbox.flush()
    outbox.send_after_sync("a", EntriesRequest(1))  # depends on the same write
    outbox.flush()
    assert [type(action) for action in outbox.take_actions()] == [Persist]
    outbox.persisted(99)  # a token beyond the last write does not cover later writes
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


def test_voting_needs_acknowledgements_and_their_entries() -> None:
    recovery = Recovery(INSTANCE, CANDIDATE_VOTERS[0].disk, 1, {})
    for index, after in ((1, 0), (2, 7), (3, 0)):
        assert not recovery.may_vote(VOTERS, 0)
        acknowledgement = RunAcknowledged(recovery.run, RUNS[index], after, NOBODY)
        assert recovery.record_acknowledgement(
            NodeInstance(CANDIDATE_VOTERS[index].name, 1), acknowledgement, VOTERS
        )
        assert not recovery.record_acknowledgement(
            NodeInstance(CANDIDATE_VOTERS[index].name, 1), acknowledgement, VOTERS
        )
    assert not recovery.may_vote(VOTERS, 6) and recovery.may_vote(VOTERS, 7)
    assert not recovery.may_vote(CANDIDATE_VOTERS[1:6], 7)  # this node is no voter
    # With other voters, acknowledgements of those are needed.
    assert not recovery.may_vote((CANDIDATE_VOTERS[0], *CANDIDATE_VOTERS[3:7]), 7)
    other_run = RunAcknowledged(Run(CANDIDATE_VOTERS[0].disk, 1, 9), RUNS[4], 0, NOBODY)
    assert not recovery.record_acknowledgement(NodeInstance("d4", 1), other_run, VOTERS)
    assert not recovery.record_conflict(
        RunConflict(Run(CANDIDATE_VOTERS[0].disk, 1, 9), Run(CANDIDATE_VOTERS[0].disk, 5, 4))
    )
    assert recovery.record_conflict(RunConflict(recovery.run, Run(CANDIDATE_VOTERS[0].disk, 1, 4)))
    assert not recovery.may_vote(VOTERS, 7)


def test_vote_of_an_earlier_run_is_void() -> None:
    votes = {run.disk: VoteSource(run) for run in RUNS[:3]}
    assert count_votes(votes, VOTERS) == 3
    votes[RUNS[1].disk] = VoteSource(RUNS[1], (Run(RUNS[0].disk, 2, 2),))
    assert count_votes(votes, VOTERS) == 2
    votes[RUNS[0].disk] = VoteSource(Run(RUNS[0].disk, 2, 2))
    assert count_votes(votes, VOTERS) == 3
    assert count_votes(votes, CANDIDATE_VOTERS[1:6]) == 2


def test_runs_and_acknowledgements_are_bounded() -> None:
    recovery = Recovery(INSTANCE, CANDIDATE_VOTERS[0].disk, 1, {})
    for number in range(1, 3 * MAX_RUNS):
        run = Run(f"{number:032x}", 1, 1)
        assert recovery.record_acknowledgement(
            NodeInstance(f"d{number}", 1), RunAcknowledged(recovery.run, run, 0, NOBODY), VOTERS
        )
        assert recovery.record_run(run, VOTERS)
    assert len(recovery.acknowledgements) == len(recovery.runs) == MAX_RUNS
    assert recovery.may_vote(VOTERS, 0) and len(recovery.vote_source(VOTERS).known_runs) == 4


# --- proposals ---


def test_request_from_before_the_window_is_ignored() -> None:
    learner = Learner(VOTERS, {"sum": SumMachine()}, LogSettings(max_deduplicated_ids=2))
    queue = ProposalQueue(LogSettings(), lambda now_us: 5)
    early_request = ProposalRequest("sum", "p1", INSTANCE, 0, b"1")
    for position in (1, 2, 3):
        learner.apply(entry(position))
    queue.add(early_request, learner)  # its id was applied, and has been dropped from the table
    assert queue.batch(0, learner) == ()
    queue.add(ProposalRequest("sum", "p9", INSTANCE, 1, b"1"), learner)
    assert [each.id for each in queue.batch(0, learner)] == ["p9"]


def test_change_of_the_voters_ends_a_batch() -> None:
    learner = Learner(VOTERS, {"sum": SumMachine()}, LogSettings())
    learner.apply(entry(1, at_ms=50))
    queue = ProposalQueue(LogSettings(), lambda now_us: 7)
    for number, machine in enumerate(("sum", LOG_MACHINE, "sum")):
        queue.add(ProposalRequest(machine, f"q{number}", INSTANCE, 0, b"1"), learner)
    queue.add(ProposalRequest("sum", "p1", INSTANCE, 0, b"1"), learner)  # applied before
    batch = queue.batch(0, learner)
    assert [each.id for each in batch] == ["q0", "q1"]
    assert [each.at_ms for each in batch] == [50, 50]  # with a slow clock the times do not decrease
    assert [each.id for each in queue.batch(0, learner)] == ["q2"]
    assert not queue.requests


def test_batch_is_bounded_in_bytes() -> None:
    learner = Learner(VOTERS, {"sum": SumMachine()}, LogSettings())
    queue = ProposalQueue(LogSettings(), lambda now_us: 7)
    for number in range(10):
        queue.add(ProposalRequest("sum", f"q{number}", INSTANCE, 0, b"1" * 16_000), learner)
    assert len(queue.batch(0, learner)) == 4


def test_known_ids_are_bounded() -> None:
    table = DeduplicationTable(2)
    for position in (1, 2, 3):
        table.add(entry(position), b"", Outcome())
    assert table.find("p1") is None and table.find("p2") and table.floor == 1


def test_repeated_id_and_unknown_machine_give_errors() -> None:
    learner = Learner(VOTERS, {"sum": SumMachine()}, LogSettings())
    entries = [entry(1), entry(2, entry_id="p1"), entry(3, machine="none")]
    outcomes = [
        action.outcome for each in entries for action in learner.apply(each) if isinstance(action, Applied)
    ]
    assert outcomes == [Outcome(value=b"1"), Outcome(REPEATED_ERROR.format(1)), Outcome("no such machine")]


# --- changes of the voters ---


@pytest.mark.parametrize(
    ("change", "error"),
    [
        (ReplaceVoter(CANDIDATE_VOTERS[0], CANDIDATE_VOTERS[7]), ""),
        (ReplaceVoter(CANDIDATE_VOTERS[7], CANDIDATE_VOTERS[8]), "no such seat"),
        (ReplaceVoter(CANDIDATE_VOTERS[0], CANDIDATE_VOTERS[1]), "the seat is taken"),
        (
            ReplaceVoter(CANDIDATE_VOTERS[0], Voter("d1", CANDIDATE_VOTERS[8].disk)),
            "a front door and a disk have one seat each",
        ),
        (ReplaceVoter(CANDIDATE_VOTERS[0], Voter("d0", CANDIDATE_VOTERS[8].disk)), ""),
        (AddVoters((CANDIDATE_VOTERS[7], CANDIDATE_VOTERS[8])), ""),
        (AddVoters((CANDIDATE_VOTERS[7], CANDIDATE_VOTERS[7])), "the seat is taken"),
        (RemoveVoters((CANDIDATE_VOTERS[0], CANDIDATE_VOTERS[1])), ""),
        (RemoveVoters((CANDIDATE_VOTERS[0], CANDIDATE_VOTERS[0])), "the seat is taken"),
    ],
)
def test_changes_of_the_voters(change: ReplaceVoter, error: str) -> None:
    after, outcome = apply_change(VOTERS, msgspec.json.encode(change))
    assert outcome == Outcome(error)
    assert (after == VOTERS) == bool(error)


def test_sizes_of_the_voters() -> None:
    pair = msgspec.json.encode(AddVoters((CANDIDATE_VOTERS[7], CANDIDATE_VOTERS[8])))
    assert apply_change(CANDIDATE_VOTERS[:7], pair)[1].error.startswith("a panel has")
    assert apply_change(
        CANDIDATE_VOTERS[:3], msgspec.json.encode(RemoveVoters((CANDIDATE_VOTERS[0], CANDIDATE_VOTERS[1])))
    )[1].error
    assert apply_change(VOTERS, b'{"kind": "other"}')[1].error == "not a change of the panel"


# --- messages ---


def test_messages_are_typed_and_bounded() -> None:
    decoder = msgspec.json.Decoder(Message)
    assert decoder.decode(msgspec.json.encode(EntriesRequest(3))) == EntriesRequest(3)
    entries = tuple(entry(position) for position in range(1, MAX_BATCH_ENTRIES + 2))
    for invalid in (
        b'{"kind":"l.want","after":3,"more":1}',
        b'{"kind":"l.want","after":-1}',
        b'{"kind":"want","after":1}',
        msgspec.json.encode(EntriesReply(entries, 1)),
        msgspec.json.encode(VoteSource(RUNS[0])),
    ):
        with pytest.raises(msgspec.MsgspecError):
            decoder.decode(invalid)


# --- catching up ---


def sent_messages(replica: ReplicaState) -> list[object]:
    return [action.message for action in replica.outbox.take_actions() if isinstance(action, SendMessage)]


def snapshot_chunks(replica: ReplicaState, position: int = 0) -> list[SnapshotChunk]:
    """All chunks of a snapshot, requested one after another."""
    sender, chunks = CatchUpProtocol(replica), []
    while not chunks or chunks[-1].offset + len(chunks[-1].data) < chunks[-1].total:
        sender.send_chunk("d1", position, sum(len(chunk.data) for chunk in chunks))
        chunks.append(
            next(message for message in sent_messages(replica) if isinstance(message, SnapshotChunk))
        )
        position = chunks[0].position
    return chunks


def replicas_and_chunks(padding_bytes: int) -> tuple[ReplicaState, ReplicaState, list[SnapshotChunk]]:
    replica = new_replica(LogSettings(max_tail_entries=3), SumMachine(padding_bytes=padding_bytes))
    replica.apply_decided([entry(position) for position in range(1, 9)])
    assert replica.learner.entries_after(2) is None
    return replica, new_replica(machine=SumMachine(padding_bytes=padding_bytes)), snapshot_chunks(replica)


def test_consecutive_chunks_make_a_snapshot() -> None:
    replica, receiver, chunks = replicas_and_chunks(3 * MAX_CHUNK_BYTES)
    catch_up = CatchUpProtocol(receiver)
    assert len(chunks) == 4 and all(len(chunk.data) <= MAX_CHUNK_BYTES for chunk in chunks)
    assert not catch_up.on_chunk("d1", chunks[1])  # no snapshot is in progress
    # A repeated chunk, and one that comes too early, are ignored.
    for chunk in (chunks[0], chunks[0], chunks[2], chunks[1], chunks[2]):
        assert not catch_up.on_chunk("d1", chunk)
    assert not catch_up.on_chunk("d2", chunks[3])  # from another sender
    assert catch_up.on_chunk("d1", chunks[3])
    assert receiver.position == 8 and receiver.learner.digest() == replica.learner.digest()


def test_snapshot_with_a_wrong_digest_is_dropped() -> None:
    _, receiver, chunks = replicas_and_chunks(10)
    catch_up = CatchUpProtocol(receiver)
    invalid = msgspec.structs.replace(chunks[0], data=chunks[0].data[:-1] + b"\x00")
    assert not catch_up.on_chunk("d1", invalid) and receiver.position == 0 and not catch_up.snapshot_data
    assert catch_up.on_chunk("d1", chunks[0])


def test_older_or_incomplete_snapshot_is_not_used() -> None:
    replica, receiver, chunks = replicas_and_chunks(10)
    receiver.apply_decided([entry(position) for position in range(1, 10)])
    assert not CatchUpProtocol(receiver).on_chunk("d1", chunks[0]) and receiver.position == 9
    assert not receiver.restore(replica.learner.snapshot())
    replica.learner.failed_machines.add("sum")
    sender = CatchUpProtocol(replica)
    sender.send_entries("d2", 0)
    assert sent_messages(replica) == []


def test_request_is_retried_and_abandoned() -> None:
    receiver = new_replica()
    catch_up = CatchUpProtocol(receiver)
    catch_up.request_from("d1")
    now_us = 0
    for _ in range(20):
        now_us += 300
        catch_up.tick(now_us, 300)
    assert sent_messages(receiver) == [EntriesRequest(0)] * 6 and not catch_up.source


def test_entries_are_requested_while_replies_bring_new_ones() -> None:
    receiver = new_replica()
    catch_up = CatchUpProtocol(receiver)
    assert catch_up.on_entries("d1", EntriesReply((entry(1),), 5))
    assert not catch_up.on_entries("d1", EntriesReply((entry(1),), 5))  # a repeat causes no request
    assert sent_messages(receiver) == [EntriesRequest(1)]
    assert not catch_up.on_entries("d1", EntriesReply((entry(3),), 5))  # a gap
    assert receiver.position == 1

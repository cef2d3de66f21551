"""Council messages and records with fixed content: one of each type, built by the program's own types."""

from molereach.coordination.dissemination import messages as dissemination_types
from molereach.coordination.interface.identifiers import NodeInstance
from molereach.coordination.interface.log import Entry, Outcome
from molereach.coordination.interface.sessions import RenewalGrant
from molereach.coordination.interface.sessions import RenewalRequest as SessionAsk
from molereach.coordination.leases import bodies as lease_bodies
from molereach.coordination.membership import messages as membership_types
from molereach.coordination.replicated_log import messages as log_words
from molereach.coordination.replicated_log import records as log_records
from molereach.coordination.replicated_log import voters as log_panel
from molereach.coordination.replicated_log.deduplication import AppliedProposal
from molereach.coordination.transport import handshake as link_hello
from molereach.coordination.transport import messages as link_words

FIRST_DOOR = NodeInstance(name="door-a", number=1_900_000_000_001 << 20)
SECOND_DOOR = NodeInstance(name="door-b", number=(1_900_000_000_002 << 20) + 7)
FIRST_DISK = "0123456789abcdef" * 2
SECOND_DISK = "fedcba9876543210" * 2
AT_MS = 1_796_731_200_000


def entry(position: int, machine: str = "sessions", body: bytes = b'{"kind":"keeping","ballot":3}') -> Entry:
    """An entry of the replicated log."""
    return Entry(
        position=position,
        machine=machine,
        id=f"entry-{position}",
        proposer=FIRST_DOOR,
        at_ms=AT_MS + position,
        body=body,
    )


def membership_messages() -> dict[str, membership_types.Message]:
    """Datagrams of the membership protocol, with every status in their rumours."""
    rumours = tuple(
        membership_types.Rumour(
            name=f"door-{status.name.lower()}",
            instance_number=5 + status,
            incarnation=2 * status,
            status=status,
            accuser="door-a" if status is membership_types.MemberStatus.SUSPECT else None,
        )
        for status in membership_types.MemberStatus
    )
    return {
        "ping": membership_types.Ping(seq=1, rumours=rumours),
        "ping-without-rumours": membership_types.Ping(seq=0),
        "ping-request": membership_types.PingReq(seq=2, name="door-c", number=9, rumours=rumours[:1]),
        "ack": membership_types.Ack(seq=membership_types.MAX_SEQUENCE_NUMBER, rumours=rumours[1:2]),
        "nack": membership_types.Nack(seq=4, rumours=rumours[2:3]),
        "sync": membership_types.Sync(rumours=rumours, wants_reply=True),
        "sync-reply": membership_types.Sync(rumours=rumours[:2]),
    }


def ballot(number: int = 3) -> log_words.Ballot:
    """A ballot of the first front door."""
    return log_words.Ballot(number=number, name=FIRST_DOOR.name, instance_number=FIRST_DOOR.number)


def first_run() -> log_words.Run:
    """The fourth start of the first disk."""
    return log_words.Run(disk=FIRST_DISK, start_count=4, instance_number=FIRST_DOOR.number)


def second_run() -> log_words.Run:
    """The first start of the second disk."""
    return log_words.Run(disk=SECOND_DISK, start_count=1, instance_number=SECOND_DOOR.number)


def voter() -> log_words.VoteSource:
    """A vote of the first disk that knows the second."""
    return log_words.VoteSource(run=first_run(), known_runs=(second_run(),))


def log_start_messages() -> dict[str, log_words.Message]:
    """Messages of a disk's start."""
    return {
        "start": log_words.RunStarted(run=first_run(), after=16),
        "noted": log_words.RunAcknowledged(
            run=first_run(),
            acknowledged_by=second_run(),
            after=16,
            promised=ballot(5),
            accepted_at=ballot(4),
            accepted=(entry(17), entry(18, machine="log")),
        ),
        "noted-empty": log_words.RunAcknowledged(
            run=first_run(), acknowledged_by=second_run(), after=0, promised=log_words.NOBODY
        ),
        "exists": log_words.RunConflict(run=first_run(), known=second_run()),
    }


def log_election_messages() -> dict[str, log_words.Message]:
    """Messages of an election."""
    return {
        "poll": log_words.PreVote(ballot=ballot(), after=17),
        "polled": log_words.PreVoteReply(ballot=ballot(), disk=SECOND_DISK, granted=True, promised=ballot(2)),
        "prepare": log_words.Prepare(ballot=ballot(), after=17),
        "promise": log_words.Promise(
            ballot=ballot(), after=17, source=voter(), accepted_at=ballot(2), accepted=(entry(18),)
        ),
        "promise-empty": log_words.Promise(ballot=ballot(), after=17, source=voter()),
        "outbid": log_words.BallotRejected(ballot=ballot(), promised=ballot(9)),
    }


def log_leader_messages() -> dict[str, log_words.Message]:
    """Messages of a leader, of those that follow it, and of proposers."""
    return {
        "accept": log_words.Accept(ballot=ballot(), entries=(entry(18), entry(19, body=b""))),
        "accepted": log_words.Accepted(ballot=ballot(), last=19, source=voter()),
        "beat": log_words.Heartbeat(ballot=ballot(), decided=19, round=77),
        "follow": log_words.HeartbeatReply(ballot=ballot(), round=77, source=voter()),
        "ask": log_words.ProposalRequest(
            machine="upkeep", id="proposal-1", proposer=SECOND_DOOR, since=18, body=b'{"kind":"ask"}'
        ),
        "leader": log_words.LeaderHint(ballot=ballot()),
    }


def log_catch_up_messages() -> dict[str, log_words.Message]:
    """Messages by which a replica catches up."""
    return {
        "want": log_words.EntriesRequest(after=12),
        "known": log_words.EntriesReply(entries=(entry(13), entry(14)), decided=19),
        "want-piece": log_words.SnapshotChunkRequest(position=19, offset=65_536),
        "piece": log_words.SnapshotChunk(
            position=19, total=100_000, offset=65_536, digest=bytes(range(16)), data=b"snapshot\x00\xff"
        ),
    }


def log_messages() -> dict[str, log_words.Message]:
    """All messages of the replicated log."""
    return {
        **log_start_messages(),
        **log_election_messages(),
        **log_leader_messages(),
        **log_catch_up_messages(),
    }


def log_snapshot() -> log_records.Snapshot:
    """A snapshot of the log's state with one machine."""
    return log_records.Snapshot(
        position=12,
        last=entry(12),
        chain=bytes(range(32)),
        voters=(
            log_words.Voter(name=FIRST_DOOR.name, disk=FIRST_DISK),
            log_words.Voter(name=SECOND_DOOR.name, disk=SECOND_DISK),
        ),
        applied_proposals=(
            AppliedProposal(
                id="entry-12",
                machine="sessions",
                body_digest=bytes(range(16)),
                position=12,
                outcome=Outcome(error="", value=b"{}"),
            ),
            AppliedProposal(
                id="entry-11", machine="", body_digest=b"", position=11, outcome=Outcome(error="refused")
            ),
        ),
        deduplication_floor=3,
        machines={"sessions": b'{"ballot":3,"doors":[]}'},
        failed_machines=("upkeep",),
    )


def log_base() -> log_records.Base:
    """What takes the place of all records before it."""
    return log_records.Base(
        disk=FIRST_DISK,
        start_count=3,
        runs=(second_run(),),
        promised=ballot(3),
        accepted_at=ballot(2),
        accepted=(entry(13),),
        snapshot=log_snapshot(),
    )


def log_record_samples() -> dict[str, log_records.Record]:
    """Records in an order in which a disk holds them behind `log_base`."""
    return {
        "started": log_records.DiskStarted(run=first_run()),
        "wrote": log_records.RunRecorded(run=second_run()),
        "promised": log_records.BallotPromised(ballot=ballot(4)),
        "voted": log_records.BatchAccepted(ballot=ballot(4), entries=(entry(13), entry(14))),
        "decided": log_records.EntriesDecided(entries=(entry(13), entry(14))),
        "raised": log_records.StateAdopted(promised=ballot(7), accepted_at=ballot(6), accepted=(entry(15),)),
    }


def lease_body_samples() -> dict[str, lease_bodies.Body]:
    """Bodies of the entries about sessions."""
    return {
        "open": lease_bodies.OpenSession(instance=FIRST_DOOR),
        "ended": lease_bodies.EndSession(instance=FIRST_DOOR, fencing_token=11, ballot=3),
        "close": lease_bodies.CloseSession(instance=SECOND_DOOR, fencing_token=12),
        "keeping": lease_bodies.BecomeManager(ballot=3),
    }


def panel_changes() -> dict[str, log_panel.Change]:
    """Bodies of the log's own entries: a seat for another, two more, two less."""
    first = log_words.Voter(name=FIRST_DOOR.name, disk=FIRST_DISK)
    second = log_words.Voter(name=SECOND_DOOR.name, disk=SECOND_DISK)
    return {
        "replace": log_panel.ReplaceVoter(removed=first, added=second),
        "grow": log_panel.AddVoters(voters=(first, second)),
        "shrink": log_panel.RemoveVoters(voters=(first, second)),
    }


def session_asks() -> dict[str, SessionAsk]:
    """Renewals as they are asked for."""
    first, second = FIRST_DOOR, SECOND_DOOR
    return {
        "ask": SessionAsk(
            name=first.name,
            instance_number=first.number,
            fencing_token=11,
            number=8,
            applied_position=19,
            lag=2,
        ),
        "ask-without-lag": SessionAsk(
            name=second.name, instance_number=second.number, fencing_token=0, number=1, applied_position=0
        ),
    }


def session_grants() -> dict[str, RenewalGrant]:
    """Renewals as they are granted."""
    return {
        "grant": RenewalGrant(
            name=FIRST_DOOR.name, instance_number=FIRST_DOOR.number, fencing_token=11, number=8
        )
    }


def spread_messages() -> dict[str, dissemination_types.Message]:
    """Messages along the dissemination tree."""
    return {
        "up": dissemination_types.UpstreamReport(
            applied_position=19, subtree_size=2, renewal_requests=tuple(session_asks().values())
        ),
        "up-without-asks": dissemination_types.UpstreamReport(applied_position=0, subtree_size=1),
        "down": dissemination_types.DownstreamUpdate(
            ballot=3,
            heartbeat_number=120,
            leader=FIRST_DOOR.name,
            depth=1,
            applied_position=19,
            entries=(entry(19),),
            grants=tuple(session_grants().values()),
        ),
        "down-empty": dissemination_types.DownstreamUpdate(
            ballot=3, heartbeat_number=121, leader="door-a", depth=0, applied_position=19
        ),
        "whom": dissemination_types.ParentRequest(),
        "redirect": dissemination_types.Redirect(parent="door-b", ballot=3, leader="door-a"),
        "redirect-without-leader": dissemination_types.Redirect(parent="door-b", ballot=0),
    }


def link_own_messages() -> dict[str, link_words.Heartbeat | link_words.Goodbye]:
    """The links' own messages."""
    return {"beat": link_words.Heartbeat(received=300), "bye": link_words.Goodbye(reason="room for another")}


def handshake_messages() -> dict[str, object]:
    """Each word of a link's handshake."""
    return {
        "greeting": link_hello.Greeting(version=link_hello.VERSION, nonce=bytes(range(16))),
        "hello": link_hello.Hello(
            version=link_hello.VERSION,
            sender=FIRST_DOOR,
            recipient=SECOND_DOOR.name,
            protocols=("log", "membership", "spread"),
            nonce=bytes(range(16, 32)),
            proof=bytes(range(32)),
        ),
        "welcome": link_hello.Welcome(sender=SECOND_DOOR, proof=bytes(range(32, 64))),
        "refused": link_hello.Rejection(reason="closed"),
    }

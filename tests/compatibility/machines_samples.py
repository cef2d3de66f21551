"""One log with commands for every state machine: each kind of body once at least, by the program's own types.

An entry's position is its place in `commands`, from 1. A body that names the position of an earlier entry
does so by one of the constants below.
"""

from dataclasses import dataclass
from typing import Any

from molereach.cache.purge import bodies as purge_bodies
from molereach.coordination.interface.clearance import ClearanceEvidence
from molereach.coordination.interface.identifiers import NodeInstance
from molereach.coordination.leases import bodies as lease_bodies
from molereach.coordination.replicated_log import messages as log_words
from molereach.coordination.replicated_log import voters as log_panel
from molereach.coordination.replicated_log.learner import LOG_MACHINE
from molereach.shards import proof as shard_proof
from molereach.shards.counts import bodies as count_bodies
from molereach.shards.counts import messages as shard_messages
from molereach.shards.map.shard_map import MEMBER_ID_LIMIT, CellId, ShardRange
from molereach.shards.splits import bodies as split_bodies
from molereach.upkeep.permits import bodies as upkeep_bodies
from molereach.upkeep.permits.lifecycle import Step
from molereach.upkeep.requests.work_item import MachineKind, WorkItem
from molereach.upkeep.rules.fleet_facts import ProxyFacts, ServerFacts

START_MS = 1_796_731_200_000  # 2026-12-08 12:00 UTC
ENTRY_MS = 250  # between two entries
WINDOW_MS = 600_000
DAY_MS = 24 * 60 * 60_000

FIRST = NodeInstance(name="door-a", number=1_900_000_000_001 << 20)
SECOND = NodeInstance(name="door-b", number=1_900_000_000_002 << 20)
THIRD = NodeInstance(name="door-c", number=1_900_000_000_003 << 20)
FIRST_ANEW = NodeInstance(name="door-a", number=1_900_000_600_000 << 20)

# Positions that later entries name.
OPENED_FIRST, OPENED_SECOND, OPENED_THIRD, KEPT = 1, 2, 3, 4
COPIED, CLOSED, HANDED, PLANNED_AGAIN = 7, 8, 9, 10
DRAINED = 18
PURGED = 27
ENDED_SECOND, CLOSED_THIRD, OPENED_ANEW = 30, 31, 32
FOLDED_SECOND, FOLDED_THIRD = 34, 35
PERMIT = 1

MEMBER, OTHER_MEMBER = "00000000000000aa", "00000000000000bb"
CELLS = tuple(CellId(building="b0", name=f"c{number}") for number in range(4))
DISKS = tuple(f"{number:032x}" for number in range(1, 5))


@dataclass(frozen=True, slots=True)
class Command:
    """A body for a machine, who proposes it, and how much later than the entry before it is settled.

    A body of bytes is none that the machine's codec can read. Only a repeated proposal has its own `id`.
    """

    name: str
    machine: str
    body: Any
    proposer: NodeInstance = FIRST
    later_ms: int = ENTRY_MS
    id: str = ""


def panel() -> log_words.Voters:
    """The seats before any entry."""
    doors = (FIRST, SECOND, THIRD)
    return tuple(log_words.Voter(name=life.name, disk=disk) for life, disk in zip(doors, DISKS, strict=False))


# --- sessions ---


def session_beginnings() -> list[Command]:
    """Three sessions, and a leader that keeps them."""
    machine = lease_bodies.MACHINE
    opens = [
        Command("open", machine, lease_bodies.OpenSession(instance=life), proposer=life)
        for life in (FIRST, SECOND, THIRD)
    ]
    return [*opens, Command("keeping", machine, lease_bodies.BecomeManager(ballot=3))]


def session_ends() -> list[Command]:
    """Sessions that end by time, in order, and by a new life."""
    machine = lease_bodies.MACHINE
    ended = lease_bodies.EndSession(instance=SECOND, fencing_token=OPENED_SECOND, ballot=3)
    closed = lease_bodies.CloseSession(instance=THIRD, fencing_token=OPENED_THIRD)
    return [
        Command("ended", machine, ended),
        Command("close", machine, closed, proposer=THIRD),
        Command("open-anew", machine, lease_bodies.OpenSession(instance=FIRST_ANEW), proposer=FIRST_ANEW),
        Command("keeping-late", machine, lease_bodies.BecomeManager(ballot=2)),
    ]


# --- shards ---


def shard_word(
    fence: int, position: int, known: ClearanceEvidence = ClearanceEvidence.REPORTED
) -> shard_proof.SessionClearance:
    """What a proof about shards says of one session."""
    return shard_proof.SessionClearance(fencing_token=fence, evidence=known, position=position)


def all_said(position: int) -> tuple[shard_proof.SessionClearance, ...]:
    """Each of the first three sessions has said this position."""
    return tuple(shard_word(fence, position) for fence in (OPENED_FIRST, OPENED_SECOND, OPENED_THIRD))


def found_map() -> split_bodies.CreateMap:
    """The first map: two shards."""
    ranges = (
        ShardRange(first=0, shard=1, cell=CELLS[0]),
        ShardRange(first=MEMBER_ID_LIMIT // 2, shard=2, cell=CELLS[1]),
    )
    return split_bodies.CreateMap(ranges=ranges, shard_bytes=(1_000, 2_000))


def splits() -> list[Command]:
    """A map, a split up to its hand-over, and one that is given up."""
    plan = split_bodies.PlanSplit(id="split-1", shard=1, split_point=MEMBER_ID_LIMIT // 4, target=CELLS[2])
    close = split_bodies.CloseRange(id="split-1", expected_position=COPIED, proof=all_said(COPIED))
    again = split_bodies.PlanSplit(
        id="split-2", shard=2, split_point=3 * (MEMBER_ID_LIMIT // 4), target=CELLS[3]
    )
    bodies = {
        "found": found_map(),
        "plan": plan,
        "copy": split_bodies.StartCopy(id="split-1"),
        "close": close,
        "hand": split_bodies.HandOver(id="split-1", expected_position=CLOSED, range_bytes=400),
        "plan-again": again,
        "give-up": split_bodies.AbandonSplit(
            id="split-2", expected_position=PLANNED_AGAIN, reason="growth has turned"
        ),
    }
    return [Command(name, split_bodies.MACHINE, body) for name, body in bodies.items()]


def split_ends() -> list[Command]:
    """The first split is cleared, by a proof with each way in which a session ends; another is planned."""
    proof = (
        shard_word(OPENED_FIRST, OPENED_ANEW, ClearanceEvidence.RESTARTED),
        shard_word(OPENED_SECOND, ENDED_SECOND, ClearanceEvidence.SESSION_EXPIRED),
        shard_word(OPENED_THIRD, CLOSED_THIRD, ClearanceEvidence.LEFT),
    )
    clear = split_bodies.ClearRange(id="split-1", expected_position=HANDED, proof=proof)
    plan = split_bodies.PlanSplit(
        id="split-3", shard=2, split_point=3 * (MEMBER_ID_LIMIT // 4), target=CELLS[3]
    )
    return [
        Command("clear", split_bodies.MACHINE, clear, later_ms=WINDOW_MS),
        Command("plan-third", split_bodies.MACHINE, plan),
    ]


# --- upkeep ---


def servers(*away: str) -> tuple[ServerFacts, ...]:
    """Six servers, of which some are not ready."""
    return tuple(
        ServerFacts(
            name=f"s{number}",
            address=f"10.0.0.{number}:80",
            cell=f"c{number % 2}",
            zone=f"z{number % 3}",
            ready=f"s{number}" not in away,
            warmth=900 + number,
            load=300,
        )
        for number in range(6)
    )


def doors() -> tuple[ProxyFacts, ...]:
    """Five front doors."""
    return tuple(
        ProxyFacts(
            name=f"d{number}",
            address=f"10.1.0.{number}:80",
            cell="c0",
            zone=f"z{number % 3}",
            ready=True,
            number=number,
        )
        for number in range(5)
    )


def first_facts() -> list[upkeep_bodies.ReportFacts]:
    """A set of facts in two parts."""
    first = upkeep_bodies.ReportFacts(number=1, part=0, parts=2, age_ms=40, servers=servers())
    second = upkeep_bodies.ReportFacts(
        number=1,
        part=1,
        parts=2,
        age_ms=90,
        doors=doors(),
        panel=("d0", "d1", "d2"),
        spares=2,
        ordered=("s5",),
    )
    return [first, second]


def later_facts(number: int, part: int, parts: int) -> upkeep_bodies.ReportFacts:
    """Facts in which the first server is away."""
    return upkeep_bodies.ReportFacts(
        number=number,
        part=part,
        parts=parts,
        age_ms=10,
        servers=servers("s0"),
        doors=doors(),
        panel=("d0", "d1", "d2"),
        spares=2,
    )


def work(id: str, machine: str, kind: MachineKind, **more: Any) -> WorkItem:  # noqa: ANN401
    """A work of half an hour."""
    return WorkItem(
        id=id,
        machine=machine,
        kind=kind,
        minutes=30,
        not_before_ms=START_MS - DAY_MS,
        not_after_ms=START_MS + DAY_MS,
        reason="new disk",
        **more,
    )


def upkeep_beginnings() -> list[Command]:
    """Facts, works that are asked for, and one that drains."""
    door_work = work(
        "work-2", "d0", MachineKind.DOOR, not_with=("d1", "s1"), after=("s0",), successor="d0-anew"
    )
    bodies: dict[str, upkeep_bodies.Body] = {
        "seen-first": first_facts()[0],
        "seen-second": first_facts()[1],
        "ask": upkeep_bodies.RequestMaintenance(work=work("work-1", "s0", MachineKind.SERVER)),
        "ask-door": upkeep_bodies.RequestMaintenance(work=door_work),
        "stand": upkeep_bodies.SetFallbackServers(servers=("s1", "s2")),
        "queue": upkeep_bodies.TakeStep(id="work-1", step=Step.QUEUE),
        "drain": upkeep_bodies.TakeStep(id="work-1", step=Step.DRAIN),
        "empty": upkeep_bodies.TakeStep(id="work-1", step=Step.CONFIRM_DRAINED, begun=DRAINED),
    }
    return [Command(name, upkeep_bodies.MACHINE, body) for name, body in bodies.items()]


def upkeep_ends() -> list[Command]:
    """A permit and its end, a work that is withdrawn, and facts of which a part is missing."""
    proof = tuple(
        upkeep_bodies.SessionClearance(fence=fence, known=ClearanceEvidence.REPORTED, position=DRAINED)
        for fence in (OPENED_FIRST, OPENED_SECOND, OPENED_THIRD)
    )
    bodies: dict[str, upkeep_bodies.Body] = {
        "out": upkeep_bodies.GrantPermit(id="work-1", begun=DRAINED, proof=proof),
        "seen-away": later_facts(number=2, part=0, parts=1),
        "back": upkeep_bodies.ReportReturn(id="work-1", permit=PERMIT, name="s0"),
        "ask-third": upkeep_bodies.RequestMaintenance(work=work("work-3", "s3", MachineKind.SERVER)),
        "withdraw": upkeep_bodies.TakeStep(id="work-3", step=Step.WITHDRAW),
        "stand-again": upkeep_bodies.SetFallbackServers(servers=("s2",)),
        "seen-part": later_facts(number=3, part=0, parts=2),
    }
    return [Command(name, upkeep_bodies.MACHINE, body) for name, body in bodies.items()]


# --- purges ---


def purge_id(position: int, number: int) -> str:
    """An id drawn where the log was at `position`."""
    return f"{position:x}-{number:016x}"


def purges() -> list[Command]:
    """Two purges, of which the first is done."""
    first = purge_bodies.RequestPurge(
        id=purge_id(20, 1), member=MEMBER, class_name="profile", shards=("shard-1", "shard-2")
    )
    second = purge_bodies.RequestPurge(id=purge_id(21, 2), member=OTHER_MEMBER)
    done = purge_bodies.CompletePurges(
        up_to_position=PURGED, cleared_tokens=(OPENED_FIRST, OPENED_SECOND, OPENED_THIRD)
    )
    bodies = {"ask-class": first, "ask-all": second, "done": done}
    return [Command(name, purge_bodies.MACHINE, body) for name, body in bodies.items()]


def later_purge() -> Command:
    """A purge that is asked for while one session is open."""
    body = purge_bodies.RequestPurge(id=purge_id(36, 3), member=MEMBER)
    return Command("ask-later", purge_bodies.MACHINE, body, proposer=FIRST_ANEW)


def purge_done_by_ends() -> Command:
    """The second purge is done by how the sessions have ended, without a word of any."""
    return Command(
        "done-by-ends",
        purge_bodies.MACHINE,
        purge_bodies.CompletePurges(up_to_position=PURGED + 1, cleared_tokens=()),
    )


# --- counts ---


def rows(writes: int) -> tuple[shard_messages.CountRow, ...]:
    """What one life has written."""
    return (
        shard_messages.CountRow(shard=1, writes=writes, bytes=100 * writes),
        shard_messages.CountRow(shard=2, writes=1, bytes=7),
    )


def counts() -> list[Command]:
    """Two lives that are over, of which one is forgotten."""
    proof = (shard_word(OPENED_ANEW, FOLDED_THIRD),)
    forget = count_bodies.Retire(instance=THIRD, folded_at=FOLDED_THIRD, proof=proof)
    bodies = {
        "fold": count_bodies.Fold(instance=SECOND, rows=rows(5)),
        "fold-left": count_bodies.Fold(instance=THIRD, rows=rows(9)),
        "forget": forget,
    }
    return [Command(name, count_bodies.MACHINE, body, proposer=FIRST_ANEW) for name, body in bodies.items()]


# --- the log ---


def panel_change() -> Command:
    """One seat for another."""
    body = log_panel.ReplaceVoter(
        removed=log_words.Voter(name=THIRD.name, disk=DISKS[2]),
        added=log_words.Voter(name="door-d", disk=DISKS[3]),
    )
    return Command("panel", LOG_MACHINE, body)


def commands() -> list[Command]:
    """Commands that all change something but one, in order."""
    return [
        *session_beginnings(),
        *splits(),
        *upkeep_beginnings(),
        *upkeep_ends(),
        *purges(),
        *session_ends(),
        *counts(),
        later_purge(),
        *split_ends(),
        panel_change(),
        purge_done_by_ends(),
    ]

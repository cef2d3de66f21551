"""Commands that are refused, behind those of `machines_samples` on the same log.

The reasons are kept with the ids of entries, so they are replicated state as well.
"""

from collections.abc import Iterable

from molereach.cache.purge import bodies as purge_bodies
from molereach.coordination.leases import bodies as lease_bodies
from molereach.coordination.replicated_log.learner import LOG_MACHINE
from molereach.shards.counts import bodies as count_bodies
from molereach.shards.map.shard_map import CellId
from molereach.shards.splits import bodies as split_bodies
from molereach.upkeep.permits import bodies as upkeep_bodies
from molereach.upkeep.permits.lifecycle import Step
from molereach.upkeep.requests.work_item import MachineKind
from tests.compatibility import machines_samples as samples
from tests.compatibility.machines_samples import Command


def sessions() -> list[Command]:
    """Entries about sessions that change nothing."""
    first, second, third = samples.FIRST, samples.SECOND, samples.THIRD
    fence, anew = samples.OPENED_SECOND, samples.OPENED_ANEW
    by_another_leader = lease_bodies.EndSession(instance=samples.FIRST_ANEW, fencing_token=anew, ballot=2)
    bodies: dict[str, lease_bodies.Body] = {
        "open-by-another": lease_bodies.OpenSession(instance=second),
        "open-older": lease_bodies.OpenSession(instance=first),
        "close-by-another": lease_bodies.CloseSession(instance=second, fencing_token=fence),
        "ended-twice": lease_bodies.EndSession(instance=second, fencing_token=fence, ballot=3),
        "ended-by-another-leader": by_another_leader,
    }
    left = Command(
        "open-left", lease_bodies.MACHINE, lease_bodies.OpenSession(instance=third), proposer=third
    )
    return [*(Command(name, lease_bodies.MACHINE, body) for name, body in bodies.items()), left]


def splits() -> list[Command]:
    """Entries about splits that change nothing."""
    plan, cells = split_bodies.PlanSplit, samples.CELLS
    bodies: dict[str, split_bodies.Body] = {
        "found-twice": samples.found_map(),
        "plan-unknown-shard": plan(id="split-4", shard=9, split_point=5, target=cells[2]),
        "plan-empty-part": plan(id="split-4", shard=1, split_point=0, target=cells[3]),
        "plan-other-building": plan(
            id="split-4", shard=1, split_point=5, target=CellId(building="b1", name="c9")
        ),
        "plan-same-cell": plan(id="split-4", shard=1, split_point=5, target=cells[0]),
        "plan-busy-cell": plan(id="split-4", shard=1, split_point=5, target=cells[3]),
        "copy-unknown": split_bodies.StartCopy(id="split-9"),
        "copy-again": split_bodies.StartCopy(id="split-1"),
        "give-up-late": split_bodies.AbandonSplit(
            id="split-3", expected_position=1, reason="growth has turned"
        ),
    }
    return [Command(name, split_bodies.MACHINE, body) for name, body in bodies.items()]


def upkeep() -> list[Command]:
    """Entries about works that change nothing."""
    ask, move, begun = upkeep_bodies.RequestMaintenance, upkeep_bodies.TakeStep, samples.DRAINED
    bodies: dict[str, upkeep_bodies.Body] = {
        "ask-unknown-machine": ask(work=samples.work("work-9", "s9", MachineKind.SERVER)),
        "ask-other-kind": ask(work=samples.work("work-9", "s1", MachineKind.DOOR)),
        "ask-used-id": ask(work=samples.work("work-1", "s1", MachineKind.SERVER)),
        "move-unknown": move(id="work-9", step=Step.QUEUE),
        "move-out": move(id="work-1", step=Step.GRANT_PERMIT, begun=begun),
        "move-not-next": move(id="work-1", step=Step.QUEUE),
        "out-again": upkeep_bodies.GrantPermit(id="work-1", begun=begun, proof=()),
        "back-other-permit": upkeep_bodies.ReportReturn(id="work-1", permit=7, name="s0"),
        "back-other-name": upkeep_bodies.ReportReturn(id="work-1", permit=samples.PERMIT, name="s4"),
        "warm-old-facts": move(id="work-1", step=Step.RESUME_TRAFFIC, begun=begun),
        "stand-unknown": upkeep_bodies.SetFallbackServers(servers=("s9",)),
        "seen-out-of-order": samples.later_facts(number=4, part=1, parts=2),
    }
    return [Command(name, upkeep_bodies.MACHINE, body) for name, body in bodies.items()]


def purges() -> list[Command]:
    """Entries about purges that change nothing."""
    ask, purge_id, member = purge_bodies.RequestPurge, samples.purge_id, samples.MEMBER
    bodies: dict[str, purge_bodies.Body] = {
        "ask-not-drawn": ask(id=purge_id(1 << 40, 4), member=member),
        "ask-used-id": ask(id=purge_id(20, 1), member=samples.OTHER_MEMBER),
        "ask-shards-in-disorder": ask(id=purge_id(21, 5), member=member, shards=("b", "a")),
        "done-nothing": purge_bodies.CompletePurges(up_to_position=1, cleared_tokens=()),
        "done-unaccounted": purge_bodies.CompletePurges(up_to_position=40, cleared_tokens=()),
    }
    return [Command(name, purge_bodies.MACHINE, body) for name, body in bodies.items()]


def counts() -> list[Command]:
    """Entries about counts that change nothing."""
    fold, retire, rows = count_bodies.Fold, count_bodies.Retire, samples.rows(1)
    bodies: dict[str, count_bodies.Body] = {
        "fold-with-session": fold(instance=samples.FIRST_ANEW, rows=rows),
        "fold-forgotten": fold(instance=samples.THIRD, rows=rows),
        "forget-not-folded": retire(instance=samples.FIRST, folded_at=3, proof=()),
        "forget-that-may-come-back": retire(
            instance=samples.SECOND, folded_at=samples.FOLDED_SECOND, proof=()
        ),
    }
    return [Command(name, count_bodies.MACHINE, body) for name, body in bodies.items()]


def by_the_log() -> list[Command]:
    """Entries that come to no machine: an id again, one for something else, and an unknown machine."""
    machine, body = lease_bodies.MACHINE, lease_bodies.BecomeManager(ballot=3)
    return [
        Command("repeat", machine, body, id=f"id-{samples.KEPT}"),
        Command("used-id", machine, body, id=f"id-{samples.OPENED_FIRST}"),
        Command("no-machine", "unknown", b"{}"),
        Command("no-such-seat", LOG_MACHINE, samples.panel_change().body),
    ]


def not_understood(machines: Iterable[str]) -> list[Command]:
    """A body of an unknown kind for each machine."""
    return [Command("not-understood", machine, b'{"kind":"unknown"}') for machine in machines]


def commands() -> list[Command]:
    """All that a machine or the log refuses though it can read it."""
    return [*sessions(), *splits(), *upkeep(), *purges(), *counts(), *by_the_log()]

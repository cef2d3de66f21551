"""Values beside the log: counts that front doors tell one another, digests, accounts, and values of enums."""

import json
from dataclasses import dataclass
from enum import Enum

import msgspec

from molereach.cache.purge.ids import draw_id
from molereach.coordination.interface.clearance import ClearanceEvidence, NodeClearance
from molereach.coordination.leases.acknowledgements import AcknowledgementTracker, SessionReport
from molereach.coordination.membership.messages import MemberStatus
from molereach.shards.counts import messages as shard_messages
from molereach.shards.counts.qdigest import Digest
from molereach.shards.map.delta import Delta, delta_between
from molereach.shards.map.range_split import split_map
from molereach.shards.map.shard_map import MEMBER_ID_LIMIT, ShardMap
from molereach.shards.splits import states as split_states
from molereach.upkeep.permits import lifecycle as upkeep_lifecycle
from molereach.upkeep.requests.work_item import MachineKind
from tests.compatibility import machines_samples as samples
from tests.compatibility.machines_replica import Replica

COUNTS_FILE, ACCOUNTS_FILE, ENUMS_FILE = (
    "machines_counts.hex",
    "machines_accounts.json",
    "machines_enums.json",
)
MAPS_FILE, PURGE_IDS_FILE = "machines_maps.hex", "machines_purge_ids.json"
WRITES = 3_000  # in a digest: enough for nodes to be joined
ENUMS: dict[str, type[Enum]] = {
    "how a front door is known": ClearanceEvidence,
    "life of a front door": MemberStatus,
    "kind of a machine out for work": MachineKind,
    "state of a work": upkeep_lifecycle.State,
    "step of a work": upkeep_lifecycle.Step,
    "state of a split": split_states.State,
    "step of a split": split_states.Step,
}


def digest() -> Digest:
    """Writes of many members, spread over all ids, and one heavy one."""
    found = Digest()
    for number in range(WRITES):
        found.add(number * 2_654_435_761 % MEMBER_ID_LIMIT, 1 + number % 7)
    found.add(12_345, 5_000)
    return found


def told() -> shard_messages.CountReport:
    """Counts of one life."""
    return shard_messages.CountReport(instance=samples.FIRST, rows=samples.rows(5))


def sketch() -> shard_messages.DigestReport:
    """Which members of a shard wrote."""
    nodes = (
        shard_messages.DigestNode(number=MEMBER_ID_LIMIT + 12_345, weight=5_000),
        shard_messages.DigestNode(number=1, weight=9),
    )
    return shard_messages.DigestReport(instance=samples.FIRST, shard=1, nodes=nodes)


def digest_sketch() -> shard_messages.DigestReport:
    """The sample digest as it is told."""
    return shard_messages.DigestReport(instance=samples.FIRST, shard=2, nodes=digest().nodes_to_report())


def joined_sketch(heard: shard_messages.DigestReport) -> shard_messages.DigestReport:
    """What a front door tells of a shard when it has joined another's nodes to none of its own."""
    joined = Digest()
    joined.merge(heard.nodes)
    return shard_messages.DigestReport(
        instance=samples.SECOND, shard=heard.shard, nodes=joined.nodes_to_report()
    )


def count_messages() -> dict[str, shard_messages.Message]:
    """Each kind of word about counts."""
    heard = digest_sketch()
    return {"told": told(), "sketch": sketch(), "digest": heard, "joined": joined_sketch(heard)}


def encoded_counts() -> dict[str, bytes]:
    """The words about counts, encoded."""
    return {name: msgspec.json.encode(word) for name, word in count_messages().items()}


@dataclass(slots=True)
class Said:
    """What an open session has said of itself."""

    applied_position: int
    clear_position: int
    received_at_us: int | None


@dataclass(slots=True)
class Sayings:
    """All open sessions have said the same."""

    position: int

    def report(self, name: str, fence: int) -> SessionReport | None:
        """What is known of an open session."""
        return Said(applied_position=self.position, clear_position=self.position, received_at_us=0)


def account(replica: Replica, position: int) -> tuple[NodeClearance, ...] | None:
    """The proof that an entry holds everywhere."""
    sayings = Sayings(replica.learner.position)
    return AcknowledgementTracker(position, replica.sessions, sayings, since_us=0, clear=True).proof()


def accounts(replica: Replica) -> dict[str, tuple[NodeClearance, ...] | None]:
    """Proofs for an entry before all sessions ended, and for one after it."""
    return {"before": account(replica, samples.HANDED), "after": account(replica, samples.FOLDED_THIRD)}


def map_values() -> dict[str, ShardMap | Delta]:
    """A map, the one after a cut, and what has changed between the two."""
    first = ShardMap(version=1, ranges=samples.found_map().ranges, last_shard=2)
    second = split_map(first, shard=1, split_point=MEMBER_ID_LIMIT // 4, target=samples.CELLS[2])
    return {"first": first, "second": second, "delta": delta_between(first, second)}


def encoded_maps() -> dict[str, bytes]:
    """The maps and their difference, encoded."""
    return {name: msgspec.json.encode(value) for name, value in map_values().items()}


def purge_ids() -> str:
    """Ids of purges as they are drawn at some positions by fixed draws."""
    found = {str(position): draw_id(position, lambda: 0.75) for position in (0, 20, 1 << 40)}
    return json.dumps(found, indent=2) + "\n"


def enum_values() -> str:
    """The values of each enum, which stand in messages and in snapshots."""
    found = {name: [member.value for member in kind] for name, kind in ENUMS.items()}
    return json.dumps(found, indent=2) + "\n"

"""Digests of the watched shards, by instance. They only grow, so an instance's heaviest report is kept.

Only a few shards are watched: those that are likely to be split next.
"""

from molereach.coordination.interface.identifiers import NodeInstance
from molereach.shards.counts.messages import DigestNode, DigestReport
from molereach.shards.counts.qdigest import Digest

MAX_WATCHED_SHARDS = 8
MAX_REPORTED_DIGESTS = 2048  # over all instances and watched shards


class WatchedDigests:
    """This front door's digests, and those that others reported."""

    def __init__(self, instance: NodeInstance) -> None:
        self._instance = instance
        self._local: dict[int, Digest] = {}
        self._reported: dict[int, dict[NodeInstance, tuple[DigestNode, ...]]] = {}

    def watch(self, shards: tuple[int, ...]) -> None:
        """Watch the first `MAX_WATCHED_SHARDS` of these, and drop the digests of all others."""
        watched = shards[:MAX_WATCHED_SHARDS]
        self._local = {shard: self._local.get(shard) or Digest() for shard in watched}
        self._reported = {shard: self._reported.get(shard, {}) for shard in watched}

    def add(self, shard: int, member: int, size_bytes: int) -> None:
        """Add a write; ignored unless the shard is watched."""
        if shard in self._local:
            self._local[shard].add(member, size_bytes)

    def merge(self, report: DigestReport) -> None:
        """Keep another instance's report if it is heavier than the last one."""
        by_instance = self._reported.get(report.shard)
        if by_instance is None or report.instance == self._instance:
            return
        before = by_instance.get(report.instance, ())
        total = sum(len(each) for each in self._reported.values())
        if (report.instance in by_instance or total < MAX_REPORTED_DIGESTS) and _total_weight(
            report.nodes
        ) > _total_weight(before):
            by_instance[report.instance] = report.nodes

    def reports(self) -> tuple[DigestReport, ...]:
        """This front door's digests, to be sent to others."""
        return tuple(
            DigestReport(self._instance, shard, digest.nodes_to_report())
            for shard, digest in self._local.items()
        )

    def merged(self, shard: int) -> Digest:
        """All that is known of a shard, as one digest."""
        digest = Digest()
        if shard in self._local:
            digest.merge(self._local[shard].nodes_to_report())
        for instance in sorted(self._reported.get(shard, {})):
            digest.merge(self._reported[shard][instance])
        return digest


def _total_weight(nodes: tuple[DigestNode, ...]) -> int:
    return sum(node.weight for node in nodes)

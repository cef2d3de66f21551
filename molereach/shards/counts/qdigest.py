"""Which member IDs wrote how many bytes, in bounded memory: a q-digest.

Source: Shrivastava et al., "Medians and Beyond" (SenSys 2004). IDs are the leaves of a binary tree; a node
that is light together with its sibling and its parent is merged into the parent. At most 3
`COMPRESSION_FACTOR` nodes remain after `compress`, and the weight below any ID is off by at most `TREE_DEPTH`
/ `COMPRESSION_FACTOR` of the total. Digests can be added up. A heavy ID stays a leaf of its own.
"""

from molereach.shards.counts.messages import MAX_BYTES, MAX_DIGEST_NODES, DigestNode
from molereach.shards.map.shard_map import MEMBER_ID_LIMIT

TREE_DEPTH = 33  # below the root; the leaf of an ID is `MEMBER_ID_LIMIT` + ID
COMPRESSION_FACTOR = 256
MAX_UNCOMPRESSED_NODES = 6 * COMPRESSION_FACTOR  # more are compressed


class Digest:
    """Bytes written by member, approximately: the weight of each node of the tree, by its number."""

    def __init__(self) -> None:
        self.nodes: dict[int, int] = {}
        self.total = 0

    def add(self, member: int, weight: int) -> None:
        """Add bytes written by a member; ValueError for an ID out of range or a negative weight."""
        if not 0 <= member < MEMBER_ID_LIMIT or weight < 0:
            raise ValueError(f"member: {member} with {weight}")
        self._add_node(MEMBER_ID_LIMIT + member, weight)

    def merge(self, nodes: tuple[DigestNode, ...]) -> None:
        """Add the nodes of another digest; of each instance they may be added only once."""
        for node in nodes:
            self._add_node(node.number, node.weight)

    def _add_node(self, number: int, weight: int) -> None:
        if not weight or self.total + weight > MAX_BYTES:
            return
        self.nodes[number] = self.nodes.get(number, 0) + weight
        self.total += weight
        if len(self.nodes) > MAX_UNCOMPRESSED_NODES:
            self.compress()

    def compress(self) -> None:
        """Merge light nodes into their parents, from the leaves up."""
        threshold, nodes = self.total // COMPRESSION_FACTOR, self.nodes
        by_depth: list[set[int]] = [set() for _ in range(TREE_DEPTH + 1)]
        for number in nodes:
            by_depth[number.bit_length() - 1].add(number)
        for depth in range(TREE_DEPTH, 0, -1):
            for number in sorted({number & ~1 for number in by_depth[depth]}):
                parent = number >> 1
                children = nodes.get(number, 0) + nodes.get(number + 1, 0)
                if children + nodes.get(parent, 0) <= threshold:
                    nodes[parent] = nodes.get(parent, 0) + children
                    nodes.pop(number, None)
                    nodes.pop(number + 1, None)
                    by_depth[depth - 1].add(parent)

    def nodes_to_report(self) -> tuple[DigestNode, ...]:
        """The compressed nodes, in the order of their numbers; the heaviest if they are too many."""
        self.compress()
        heaviest = sorted(self.nodes.items(), key=lambda each: (-each[1], each[0]))[:MAX_DIGEST_NODES]
        return tuple(DigestNode(number, weight) for number, weight in sorted(heaviest))

    def spans(self) -> list[tuple[int, int, int]]:
        """First ID, last ID and weight of each node, ordered by the last ID, small nodes first."""
        spans = []
        for number, weight in self.nodes.items():
            width = TREE_DEPTH - (number.bit_length() - 1)
            first = (number << width) - MEMBER_ID_LIMIT
            spans.append((first, first + (1 << width) - 1, weight))
        return sorted(spans, key=lambda span: (span[1], span[1] - span[0]))

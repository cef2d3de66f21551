"""Which ids wrote how much, in bounded memory: a q-digest.

Source: Shrivastava et al., "Medians and Beyond" (SenSys 2004). Ids are the leaves of a binary tree; a node
that is light together with its sibling and parent goes into the parent. At most 3 `FACTOR` nodes are left
after `compress`, and the weight below any id is off by at most `LEVELS` / `FACTOR` of the whole. Digests add
up. A heavy id stays a leaf of its own.
"""

from molereach.shards.counts.messages import MOST_BYTES, MOST_NODES, Node
from molereach.shards.map.shard_map import MEMBERS

LEVELS = 33  # below the root; the leaf of an id is `MEMBERS` + id
FACTOR = 256
MOST_HELD = 6 * FACTOR  # nodes, between two compressions


class Digest:
    """Of one shard."""

    def __init__(self) -> None:
        self.nodes: dict[int, int] = {}
        self.total = 0

    def add(self, member: int, weight: int) -> None:
        """ValueError for what is no id."""
        if not 0 <= member < MEMBERS or weight < 0:
            raise ValueError(f"member: {member} with {weight}")
        self._put(MEMBERS + member, weight)

    def join(self, nodes: tuple[Node, ...]) -> None:
        """Add what another has, once for each life."""
        for node in nodes:
            self._put(node.number, node.weight)

    def _put(self, number: int, weight: int) -> None:
        if not weight or self.total + weight > MOST_BYTES:
            return
        self.nodes[number] = self.nodes.get(number, 0) + weight
        self.total += weight
        if len(self.nodes) > MOST_HELD:
            self.compress()

    def compress(self) -> None:
        """From the leaves up."""
        light, nodes = self.total // FACTOR, self.nodes
        levels: list[set[int]] = [set() for _ in range(LEVELS + 1)]
        for number in nodes:
            levels[number.bit_length() - 1].add(number)
        for level in range(LEVELS, 0, -1):
            for number in sorted({number & ~1 for number in levels[level]}):
                parent = number >> 1
                pair = nodes.get(number, 0) + nodes.get(number + 1, 0)
                if pair + nodes.get(parent, 0) <= light:
                    nodes[parent] = nodes.get(parent, 0) + pair
                    nodes.pop(number, None)
                    nodes.pop(number + 1, None)
                    levels[level - 1].add(parent)

    def told(self) -> tuple[Node, ...]:
        """As it goes into a word."""
        self.compress()
        heaviest = sorted(self.nodes.items(), key=lambda each: (-each[1], each[0]))[:MOST_NODES]
        return tuple(Node(number, weight) for number, weight in sorted(heaviest))

    def spans(self) -> list[tuple[int, int, int]]:
        """First id, last id and weight of each node, by the last id, small nodes first."""
        found = []
        for number, weight in self.nodes.items():
            width = LEVELS - (number.bit_length() - 1)
            first = (number << width) - MEMBERS
            found.append((first, first + (1 << width) - 1, weight))
        return sorted(found, key=lambda span: (span[1], span[1] - span[0]))

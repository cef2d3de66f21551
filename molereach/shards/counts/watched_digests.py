"""Digests of the shards that are watched, by life: the largest of a life holds, as a life's only grows.

They are kept for few shards: for those that are likely to be cut next.
"""

from molereach.coordination.interface.identifiers import NodeInstance
from molereach.shards.counts.messages import Node, Sketch
from molereach.shards.counts.qdigest import Digest

MOST_WATCHED = 8
MOST_SKETCHES = 2048  # of all lives and watched shards


class Sketches:
    """One front door's own, and those it has heard."""

    def __init__(self, me: NodeInstance) -> None:
        self._me = me
        self._own: dict[int, Digest] = {}
        self._heard: dict[int, dict[NodeInstance, tuple[Node, ...]]] = {}

    def watch(self, shards: tuple[int, ...]) -> None:
        """These, the first `MOST_WATCHED`; what is kept of others goes."""
        wanted = shards[:MOST_WATCHED]
        self._own = {shard: self._own.get(shard) or Digest() for shard in wanted}
        self._heard = {shard: self._heard.get(shard, {}) for shard in wanted}

    def add(self, shard: int, member: int, size_bytes: int) -> None:
        if shard in self._own:
            self._own[shard].add(member, size_bytes)

    def heard(self, sketch: Sketch) -> None:
        lives = self._heard.get(sketch.shard)
        if lives is None or sketch.life == self._me:
            return
        before = lives.get(sketch.life, ())
        held = sum(len(each) for each in self._heard.values())
        if (sketch.life in lives or held < MOST_SKETCHES) and _weight(sketch.nodes) > _weight(before):
            lives[sketch.life] = sketch.nodes

    def told(self) -> tuple[Sketch, ...]:
        return tuple(Sketch(self._me, shard, digest.told()) for shard, digest in self._own.items())

    def of(self, shard: int) -> Digest:
        """All that is known of a shard."""
        found = Digest()
        if shard in self._own:
            found.join(self._own[shard].told())
        for life in sorted(self._heard.get(shard, {})):
            found.join(self._heard[shard][life])
        return found


def _weight(nodes: tuple[Node, ...]) -> int:
    return sum(node.weight for node in nodes)

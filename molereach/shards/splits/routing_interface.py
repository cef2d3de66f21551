"""What the decisions ask of shards: the text for `policy/interface`, and the types that it takes."""

from dataclasses import dataclass
from typing import Protocol

from molereach.policy.interface.settings import Idempotency


@dataclass(frozen=True, slots=True)
class Place:
    """Where a request's shard is: the cell that may be sent to, the shard, and the version of the map.

    The version goes with the request, so that a server that turns it away can say whether a later one is
    known.
    """

    building: str
    cell: str
    shard: int
    version: int


class Shards(Protocol):
    """Which cell a request of a member may be sent to, also while its shard is split; a core without I/O.

    Asked before each attempt, never kept. Without one, any server of the request's group will do.

    - A safe request goes where the map says at the moment.
    - An unsafe one goes to one side only, ever: with `tried`, the place of its first attempt, it is that
      place or None. None also after a server turned it away there, once the map has changed: answer busy.
    - A keyed one that was tried stays on the side where it was tried for its window. One that the client says
      is a repeat (`Request.is_repeat`) may have been tried by another gateway before the map changed: until
      the window since then is over it goes to the old side, which answers it if it ran there and else passes
      it on. A first attempt goes where the map says.
    """

    def place(
        self,
        now_us: int,
        member: int,
        effect: Idempotency,
        is_repeat: bool = False,
        tried: Place | None = None,
    ) -> Place | None:
        """Where this attempt may go; None for nowhere: answer that the service is busy. ValueError if
        `member` is no id."""

    def turned_away(self, now_us: int, place: Place, version: int) -> None:
        """A server of `place` turned an attempt away (it never ran), and knows the map at `version`."""

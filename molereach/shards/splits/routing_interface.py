"""What request policy asks of shards: a proposal for `policy/interface`, with the types that it takes."""

from dataclasses import dataclass
from typing import Protocol

from molereach.policy.interface.settings import Idempotency


@dataclass(frozen=True, slots=True)
class Placement:
    """Where a request's shard is: the cell that may be sent to, the shard, and the version of the map.

    The version goes with the request, so that a backend that rejects it can tell whether a later one is
    known.
    """

    building: str
    cell: str
    shard: int
    map_version: int


class ShardRouting(Protocol):
    """Which cell may get an attempt for a member, also while its shard is split; a core without I/O.

    It is asked before each attempt, and answers are not kept. Without it, any backend of the request's group
    may get the attempt.

    - An idempotent request goes to the cell by the current map.
    - A non-idempotent one goes to one side of a split only: with `previous`, the placement of its first
      attempt, the answer is that one or None. It is also None after a backend there rejected the attempt and
      the map changed: the client gets a busy error.
    - A keyed request that was tried stays on the side of its first attempt for its window. One that the
      client declares as a repeat (`Request.is_repeat`) may have been tried by another gateway before the map
      changed: until the window since that change is over it goes to the source cell, which answers it if it
      was executed there, and else passes it on. A first attempt goes by the map.
    """

    def place(
        self,
        now_us: int,
        member: int,
        idempotency: Idempotency,
        is_repeat: bool = False,
        previous: Placement | None = None,
    ) -> Placement | None:
        """Where this attempt may go; None for nowhere, so that the client gets a busy error.

        ValueError if the member ID is out of range.
        """

    def on_rejected(self, now_us: int, placement: Placement, map_version: int) -> None:
        """A backend of `placement` rejected an attempt, not executed, and knows the map at `map_version`."""

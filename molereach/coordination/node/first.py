"""Who accepts at the very beginning: seats that every front door of one key works out alike.

A seat is a front door and its disk, and disks are named when their folders are made. For the first panel the
name follows from the council's key and the front door's name, where the operator says that the council is
being formed; in any other new folder it is drawn. A folder that was lost and is formed again by mistake has
the old name and none of the promises: the other seats know of its earlier start, and it never votes.
"""

import hashlib
from collections.abc import Sequence

from molereach.coordination.replicated_log.messages import Voter, Voters

IDENTITY_BYTES = 16
NO_DISK = "0" * 32  # of a front door without a folder: it learns, and has no seat


def first_identity(key: bytes, door: str) -> bytes:
    name = door.encode()
    return hashlib.blake2b(name, digest_size=IDENTITY_BYTES, key=key, person=b"council-seat").digest()


def first_panel(key: bytes, names: Sequence[str]) -> Voters:
    return tuple(sorted(Voter(name, first_identity(key, name).hex()) for name in names))

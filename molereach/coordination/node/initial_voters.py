"""The initial voters of a cluster, derived identically by every proxy with the same key.

A voter is identified by its proxy and its disk, and a disk gets its identity when its folder is created. If
the operator states that the cluster is being formed, the identity of an initial voter's disk is derived from
the cluster key and the proxy name; in any other new folder it is random. If a lost folder is recreated by
mistake as if the cluster were being formed, it has the old identity without the old promises. The other
voters know of its earlier start, so it never votes.
"""

import hashlib
from collections.abc import Sequence

from molereach.coordination.replicated_log.messages import Voter, Voters

DISK_IDENTITY_BYTES = 16
DISK_IDENTITY_PERSONALIZATION = b"council-seat"  # separates these identities from other uses of the key
NO_DISK = "0" * 32  # of a proxy without a folder, which learns but never votes


def initial_disk_identity(key: bytes, proxy_name: str) -> bytes:
    """The disk identity of an initial voter."""
    name = proxy_name.encode()
    return hashlib.blake2b(
        name, digest_size=DISK_IDENTITY_BYTES, key=key, person=DISK_IDENTITY_PERSONALIZATION
    ).digest()


def initial_voters(key: bytes, names: Sequence[str]) -> Voters:
    """The initial voters with these names, sorted, so that the order of `names` does not matter."""
    return tuple(sorted(Voter(name, initial_disk_identity(key, name).hex()) for name in names))

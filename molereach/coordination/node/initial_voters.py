"""The voters of a cluster that is being formed, as every proxy with the same key derives them.

A voter is a proxy and its disk, and a disk gets its identity when its folder is created. For an initial voter
the identity is derived from the cluster's key and the proxy's name, if the operator says that the cluster is
being formed; in any other new folder it is random. A folder that was lost and is formed again by mistake has
the old identity and none of the promises; the other voters know of its earlier start, so it never votes.
"""

import hashlib
from collections.abc import Sequence

from molereach.coordination.replicated_log.messages import Voter, Voters

DISK_IDENTITY_BYTES = 16
DISK_IDENTITY_PURPOSE = b"council-seat"  # separates these identities from other uses of the key
NO_DISK = "0" * 32  # of a proxy without a folder: it learns and never votes


def initial_disk_identity(key: bytes, proxy_name: str) -> bytes:
    """The identity of the disk of an initial voter."""
    name = proxy_name.encode()
    return hashlib.blake2b(
        name, digest_size=DISK_IDENTITY_BYTES, key=key, person=DISK_IDENTITY_PURPOSE
    ).digest()


def initial_voters(key: bytes, names: Sequence[str]) -> Voters:
    """The initial voters of these names, in the same order for every order of `names`."""
    return tuple(sorted(Voter(name, initial_disk_identity(key, name).hex()) for name in names))

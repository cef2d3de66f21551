"""The files that are written as a whole: the folder's identity, a base, and the head of a tail.

Each names its kind, version, length and digest. A base names the folder and its generation; a tail's head is
the seed that follows from these and the base's digest: files of two folders or generations cannot be mixed.
"""

from typing import Annotated

import msgspec

from molereach.coordination.interface.identifiers import Name, WireStruct
from molereach.coordination.storage.errors import InvalidFileError
from molereach.coordination.storage.frames import DIGEST_BYTES, digest

MAGIC = b"molereach-council-"
VERSION = 1
LENGTH_BYTES = 8
GENERATION_BYTES = 8
IDENTITY_BYTES = 16
MAX_IDENTITY_FILE_BYTES = 1024
MAX_BASE_BYTES = 16 << 20
KINDS = ("identity", "base", "tail")
NO_BASE = b"\0"  # marks a base file without a base
WITH_BASE = b"\1"


class FolderOwner(WireStruct, frozen=True):
    """Whose folder it is; `identity` is drawn when the folder is made."""

    node_name: Name = msgspec.field(name="door")
    identity: Annotated[str, msgspec.Meta(pattern=r"^[0-9a-f]{32}$")]


def head_bytes(kind: str) -> int:
    """Bytes of a file before its body."""
    return len(MAGIC) + len(kind) + 1 + LENGTH_BYTES + DIGEST_BYTES


TAIL_HEAD_BYTES = head_bytes("tail") + DIGEST_BYTES
BASE_HEAD_BYTES = head_bytes("base") + IDENTITY_BYTES + GENERATION_BYTES + 1


def seal(kind: str, body: bytes) -> bytes:
    """The complete file with this body."""
    head = MAGIC + kind.encode() + bytes([VERSION]) + len(body).to_bytes(LENGTH_BYTES)
    return head + digest(head, body) + body


def unseal(kind: str, data: bytes) -> bytes:
    """The body of a file; raises `InvalidFileError`, which says what is wrong with it."""
    name = MAGIC + kind.encode()
    start = head_bytes(kind)
    if len(data) < start or not data.startswith(name):
        raise InvalidFileError(f"is no {kind} file of a council's folder, or is cut off")
    if data[len(name)] != VERSION:
        raise InvalidFileError(f"is of version {data[len(name)]}; {VERSION} is read here")
    head = data[: start - DIGEST_BYTES]
    body = data[start:]
    if int.from_bytes(head[-LENGTH_BYTES:]) != len(body):
        raise InvalidFileError("is not as long as it says")
    if digest(head, body) != data[start - DIGEST_BYTES : start]:
        raise InvalidFileError("is damaged: its checksum is another")
    return body


def encode_owner(owner: FolderOwner) -> bytes:
    """The identity file."""
    return seal("identity", msgspec.json.encode(owner))


def decode_owner(data: bytes) -> FolderOwner:
    """The owner in an identity file; raises a ValueError for anything else."""
    return msgspec.json.decode(unseal("identity", data), type=FolderOwner)


def _base_prefix(owner: FolderOwner, generation: int) -> bytes:
    return bytes.fromhex(owner.identity) + generation.to_bytes(GENERATION_BYTES)


def encode_base(owner: FolderOwner, generation: int, base: bytes | None) -> bytes:
    """The file of a base, or of none; raises a ValueError for one that is too large."""
    if base is not None and len(base) > MAX_BASE_BYTES:
        raise ValueError(f"a base of {len(base)} bytes; {MAX_BASE_BYTES} at most")
    content = NO_BASE if base is None else WITH_BASE + base
    return seal("base", _base_prefix(owner, generation) + content)


def decode_base(owner: FolderOwner, generation: int, data: bytes) -> bytes | None:
    """The base in a file, or None; raises a ValueError also for another folder's or generation's."""
    body = unseal("base", data)
    prefix = _base_prefix(owner, generation)
    marker = body[len(prefix) : len(prefix) + 1]
    base = body[len(prefix) + 1 :]
    if not body.startswith(prefix) or marker not in (NO_BASE, WITH_BASE) or (marker == NO_BASE and base):
        raise InvalidFileError("is of another folder or another generation")
    return base if marker == WITH_BASE else None


def tail_seed(base_file: bytes) -> bytes:
    """What the frames of the tail behind this base are bound to."""
    return digest(b"tail", base_file[head_bytes("base") - DIGEST_BYTES : head_bytes("base")])


def check_tail_head(seed: bytes, data: bytes) -> None:
    """Raise `InvalidFileError` where a tail's head is damaged or belongs to another base."""
    if unseal("tail", data[:TAIL_HEAD_BYTES]) != seed:
        raise InvalidFileError("does not belong to the base of its number")

"""The parts that are written as a whole: the folder's identity, a base, and the header of a tail.

Each begins with its kind, version, length and digest. A base also names its folder and generation. The header
of a tail holds a seed that is derived from the digest of its base, so files of different folders or
generations cannot be mixed.
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
NO_BASE = b"\0"  # marks a base file that holds no base
WITH_BASE = b"\1"


class FolderOwner(WireStruct, frozen=True):
    """The node that owns a folder; `identity` is drawn at random when the folder is created."""

    node_name: Name = msgspec.field(name="door")
    identity: Annotated[str, msgspec.Meta(pattern=r"^[0-9a-f]{32}$")]


def header_bytes(kind: str) -> int:
    """The number of bytes before the body of a file."""
    return len(MAGIC) + len(kind) + 1 + LENGTH_BYTES + DIGEST_BYTES


TAIL_HEADER_BYTES = header_bytes("tail") + DIGEST_BYTES
BASE_HEADER_BYTES = header_bytes("base") + IDENTITY_BYTES + GENERATION_BYTES + 1


def seal(kind: str, body: bytes) -> bytes:
    """Encode a complete file with this body."""
    header = MAGIC + kind.encode() + bytes([VERSION]) + len(body).to_bytes(LENGTH_BYTES)
    return header + digest(header, body) + body


def unseal(kind: str, data: bytes) -> bytes:
    """Check a file and return its body; raises `InvalidFileError`."""
    name = MAGIC + kind.encode()
    start = header_bytes(kind)
    if len(data) < start or not data.startswith(name):
        raise InvalidFileError(f"is no {kind} file of a council's folder, or is cut off")
    if data[len(name)] != VERSION:
        raise InvalidFileError(f"is of version {data[len(name)]}; {VERSION} is read here")
    header = data[: start - DIGEST_BYTES]
    body = data[start:]
    if int.from_bytes(header[-LENGTH_BYTES:]) != len(body):
        raise InvalidFileError("is not as long as it says")
    if digest(header, body) != data[start - DIGEST_BYTES : start]:
        raise InvalidFileError("is damaged: its checksum is another")
    return body


def encode_owner(owner: FolderOwner) -> bytes:
    """Encode the identity file."""
    return seal("identity", msgspec.json.encode(owner))


def decode_owner(data: bytes) -> FolderOwner:
    """Decode an identity file; raises a ValueError if it is invalid."""
    return msgspec.json.decode(unseal("identity", data), type=FolderOwner)


def _base_prefix(owner: FolderOwner, generation: int) -> bytes:
    return bytes.fromhex(owner.identity) + generation.to_bytes(GENERATION_BYTES)


def encode_base(owner: FolderOwner, generation: int, base: bytes | None) -> bytes:
    """Encode a base file, which may hold no base; raises a ValueError if the base is too large."""
    if base is not None and len(base) > MAX_BASE_BYTES:
        raise ValueError(f"a base of {len(base)} bytes; {MAX_BASE_BYTES} at most")
    content = NO_BASE if base is None else WITH_BASE + base
    return seal("base", _base_prefix(owner, generation) + content)


def decode_base(owner: FolderOwner, generation: int, data: bytes) -> bytes | None:
    """Decode a base file; raises a ValueError also if it belongs to another folder or generation."""
    body = unseal("base", data)
    prefix = _base_prefix(owner, generation)
    marker = body[len(prefix) : len(prefix) + 1]
    base = body[len(prefix) + 1 :]
    if not body.startswith(prefix) or marker not in (NO_BASE, WITH_BASE) or (marker == NO_BASE and base):
        raise InvalidFileError("is of another folder or another generation")
    return base if marker == WITH_BASE else None


def tail_seed(base_file: bytes) -> bytes:
    """The seed of the tail that follows this base; the digests of its frames cover it."""
    return digest(b"tail", base_file[header_bytes("base") - DIGEST_BYTES : header_bytes("base")])


def check_tail_header(seed: bytes, data: bytes) -> None:
    """Raise `InvalidFileError` if the header of a tail is damaged or belongs to another base."""
    if unseal("tail", data[:TAIL_HEADER_BYTES]) != seed:
        raise InvalidFileError("does not belong to the base of its number")

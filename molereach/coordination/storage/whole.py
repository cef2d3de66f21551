"""The files that are written whole: the folder's identity, a base, and the head of a tail.

Each says its kind, version, length and digest. A base names the folder and its generation; a tail's head is
the seed that follows from these and the base's digest: files of two folders or generations are not mixed.
"""

from typing import Annotated

import msgspec

from molereach.coordination.interface.identifiers import Name, WireStruct
from molereach.coordination.storage.frames import DIGEST_BYTES, digest

MAGIC = b"molereach-council-"
VERSION = 1
LENGTH_BYTES = 8
GENERATION_BYTES = 8
IDENTITY_BYTES = 16
MOST_IDENTITY_FILE_BYTES = 1024
MOST_BASE_BYTES = 16 << 20
KINDS = ("identity", "base", "tail")


class Owner(WireStruct, frozen=True):
    """Whose folder it is; `identity` is drawn when the folder is made."""

    door: Name
    identity: Annotated[str, msgspec.Meta(pattern=r"^[0-9a-f]{32}$")]


def head_bytes(kind: str) -> int:
    return len(MAGIC) + len(kind) + 1 + LENGTH_BYTES + DIGEST_BYTES


TAIL_HEAD_BYTES = head_bytes("tail") + DIGEST_BYTES
BASE_HEAD_BYTES = head_bytes("base") + IDENTITY_BYTES + GENERATION_BYTES + 1


def seal(kind: str, body: bytes) -> bytes:
    """The whole file."""
    head = MAGIC + kind.encode() + bytes([VERSION]) + len(body).to_bytes(LENGTH_BYTES)
    return head + digest(head, body) + body


def unseal(kind: str, data: bytes) -> bytes:
    """What is in a file; ValueError says what is wrong with it."""
    name, start = MAGIC + kind.encode(), head_bytes(kind)
    if len(data) < start or not data.startswith(name):
        raise ValueError(f"is no {kind} file of a council's folder, or is cut off")
    if data[len(name)] != VERSION:
        raise ValueError(f"is of version {data[len(name)]}; {VERSION} is read here")
    head, body = data[: start - DIGEST_BYTES], data[start:]
    if int.from_bytes(head[-LENGTH_BYTES:]) != len(body):
        raise ValueError("is not as long as it says")
    if digest(head, body) != data[start - DIGEST_BYTES : start]:
        raise ValueError("is damaged: its checksum is another")
    return body


def encode_owner(owner: Owner) -> bytes:
    return seal("identity", msgspec.json.encode(owner))


def decode_owner(data: bytes) -> Owner:
    return msgspec.json.decode(unseal("identity", data), type=Owner)


def encode_base(owner: Owner, generation: int, base: bytes | None) -> bytes:
    """The file of a base; without one (None) it says so. ValueError for what is too large."""
    if base is not None and len(base) > MOST_BASE_BYTES:
        raise ValueError(f"a base of {len(base)} bytes; {MOST_BASE_BYTES} at most")
    place = bytes.fromhex(owner.identity) + generation.to_bytes(GENERATION_BYTES)
    return seal("base", place + (b"\0" if base is None else b"\1" + base))


def decode_base(owner: Owner, generation: int, data: bytes) -> bytes | None:
    """ValueError also for the base of another folder or generation."""
    body = unseal("base", data)
    place = bytes.fromhex(owner.identity) + generation.to_bytes(GENERATION_BYTES)
    there, rest = body[len(place) : len(place) + 1], body[len(place) + 1 :]
    if not body.startswith(place) or there not in (b"\0", b"\1") or (there == b"\0" and rest):
        raise ValueError("is of another folder or another generation")
    return rest if there == b"\1" else None


def seed_of(base_file: bytes) -> bytes:
    """What the frames of the tail behind this base are bound to."""
    return digest(b"tail", base_file[head_bytes("base") - DIGEST_BYTES : head_bytes("base")])


def check_tail_head(seed: bytes, data: bytes) -> None:
    """ValueError where a tail's head is damaged or belongs to another base."""
    if unseal("tail", data[:TAIL_HEAD_BYTES]) != seed:
        raise ValueError("does not belong to the base of its number")

"""Names and ids with their bounds, and the identity of one run of a proxy."""

from typing import Annotated

import msgspec
from msgspec import Meta

SECOND_US = 1_000_000

MAX_MEMBERS = 256  # proxies in one group
MAX_NAME_CHARACTERS = 64
MAX_ID_CHARACTERS = 64

NAME_PATTERN = r"^[A-Za-z0-9][A-Za-z0-9._-]*\Z"
Name = Annotated[str, Meta(min_length=1, max_length=MAX_NAME_CHARACTERS, pattern=NAME_PATTERN)]
Id = Annotated[str, Meta(min_length=1, max_length=MAX_ID_CHARACTERS)]
Position = Annotated[int, Meta(ge=0, le=1 << 62)]
InstanceNumber = Annotated[int, Meta(ge=0, le=1 << 62)]


class WireStruct(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Base class of all data sent to other proxies or written to disk.

    Fields are typed and bounded; data that does not match, or has unknown fields, is rejected.
    """


class NodeInstance(WireStruct, frozen=True, order=True):
    """One run of one proxy: its name, and a number that increases with each start.

    The number is the Unix time of the start in milliseconds times 2**20, plus 20 random bits; the caller of
    the core draws it. If the clock was set back the number can be lower than that of an earlier run, so a
    proxy that learns of a higher number under its own name must restart.
    """

    name: Name
    number: InstanceNumber

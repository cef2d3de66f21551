"""Names, bounds and the identity of one run of a proxy."""

from typing import Annotated

import msgspec
from msgspec import Meta

SECOND_US = 1_000_000

MAX_MEMBERS = 256  # of one group of proxies
MAX_NAME_CHARACTERS = 64
MAX_ID_CHARACTERS = 64

NAME_PATTERN = r"^[A-Za-z0-9][A-Za-z0-9._-]*\Z"
Name = Annotated[str, Meta(min_length=1, max_length=MAX_NAME_CHARACTERS, pattern=NAME_PATTERN)]
Id = Annotated[str, Meta(min_length=1, max_length=MAX_ID_CHARACTERS)]
Position = Annotated[int, Meta(ge=0, le=1 << 62)]
InstanceNumber = Annotated[int, Meta(ge=0, le=1 << 62)]


class WireStruct(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Base of what goes between proxies or to the disk: typed, bounded, and rejected if it does not match."""


class NodeInstance(WireStruct, frozen=True, order=True):
    """One run of one proxy: its name, and a number that is higher with each start.

    The number is the Unix time of the start in milliseconds times 2**20, plus 20 random bits, drawn by the
    shell. A clock that was set back can give a lower number, so a proxy that learns of a higher one under its
    own name must start again.
    """

    name: Name
    number: InstanceNumber

"""The figures of the rules, from the protocol's section "The rules on sockets"."""

from dataclasses import dataclass, field

S = 1_000_000


@dataclass(frozen=True, slots=True)
class Ceiling:
    """A plan's hard ceiling for one customer, over all front doors together."""

    rate: float  # units a second
    burst: float  # units
    slack: float  # units that it may go below nothing


@dataclass(frozen=True, slots=True)
class Quota:
    """A plan's quota for one customer, over all front doors together; what goes beyond it is told."""

    rate: float
    burst: float


@dataclass(frozen=True, slots=True)
class Figures:
    """The figures of the rules."""

    drain_us: int = 1 * S
    fall_multiple: float = 2.5
    fall_us: int = 1 * S
    ceilings: dict[str, Ceiling] = field(default_factory=dict)  # by plan
    quotas: dict[str, Quota] = field(default_factory=dict)  # by plan; what they say is told, not judged

"""Parameters of the audit rules, from the protocol's section "The rules on sockets"."""

from dataclasses import dataclass, field

US_PER_S = 1_000_000


@dataclass(frozen=True, slots=True)
class Ceiling:
    """A plan's hard ceiling for one customer, over all front doors together."""

    rate: float  # units a second
    burst: float  # units
    slack: float  # units by which the bucket may fall below zero


@dataclass(frozen=True, slots=True)
class Quota:
    """A plan's quota for one customer, over all front doors together; use beyond it breaks no rule."""

    rate: float  # units a second
    burst: float  # units


@dataclass(frozen=True, slots=True)
class RuleParameters:
    """Parameters of the audit rules."""

    drain_us: int = 1 * US_PER_S
    fall_multiple: float = 2.5
    fall_us: int = 1 * US_PER_S
    ceilings: dict[str, Ceiling] = field(default_factory=dict)  # by plan
    quotas: dict[str, Quota] = field(default_factory=dict)  # by plan; measured, not a rule

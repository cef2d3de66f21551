"""What an operator sets about the council, checked as a whole, and the figures that follow from it."""

from dataclasses import dataclass, field

from molereach.coordination.interface.identifiers import MAX_MEMBERS, SECOND_US
from molereach.coordination.interface.log import VOTER_COUNTS
from molereach.coordination.interface.sessions import SessionTerms

MS = 1000  # microseconds in a millisecond
LEAST_SESSION_BEATS = 4  # or one lost word ends a session
Address = tuple[str, int]


@dataclass(frozen=True, slots=True)
class CouncilSettings:
    """The same at all front doors of a council. ValueError names the key that is wrong."""

    doors: dict[str, Address]  # where each listens, by name
    panel: tuple[str, ...]  # that accepted first; what the log says of it since goes before
    beat_us: int = 500 * MS
    terms: SessionTerms = field(default_factory=SessionTerms)

    def __post_init__(self) -> None:
        if not 1 <= len(self.doors) <= MAX_MEMBERS:
            raise ValueError(f"doors: {len(self.doors)} of them; 1 to {MAX_MEMBERS} can be")
        if len(set(self.doors.values())) < len(self.doors):
            raise ValueError("doors: two have one address")
        if len(self.panel) not in VOTER_COUNTS:
            sizes = ", ".join(map(str, VOTER_COUNTS))
            raise ValueError(f"panel: {len(self.panel)} front doors; {sizes} can be")
        for name in self.panel:
            if name not in self.doors:
                raise ValueError(f"panel: '{name}' is not among the doors")
            if self.panel.count(name) > 1:
                raise ValueError(f"panel: '{name}' stands there twice")
        if self.terms.duration_us < LEAST_SESSION_BEATS * self.beat_us:
            raise ValueError(f"session_ms: less than {LEAST_SESSION_BEATS} beats")
        if not 0 <= self.terms.drift <= 0.05:
            raise ValueError("drift: not from 0 to 0.05")

    @property
    def doubt_us(self) -> int:
        """After so long without a word from any other front door, this one hears nobody."""
        return max(2 * SECOND_US, 4 * self.beat_us)

"""Client-side routing: distributes the requests of each customer over its set of front doors.

A failed front door is excluded some time after its failure, and included again once it answers.
"""

from dataclasses import dataclass, field

FAR_FUTURE_US = 1 << 62


@dataclass(slots=True)
class ClientRouter:
    """Selects the front door of each request. `detection_us` is the time until a failure is detected."""

    doors: int
    detection_us: int
    # When the exclusion of each failed front door starts.
    excluded_from_us: dict[int, int] = field(default_factory=dict)
    # A front door, and the share of requests that goes to it alone.
    concentrated: tuple[int, float] | None = None

    def mark_failed(self, now_us: int, door: int) -> None:
        """Exclude a front door once its failure is detected."""
        self.excluded_from_us.setdefault(door, now_us + self.detection_us)

    def mark_up(self, door: int) -> None:
        """Include a front door again."""
        self.excluded_from_us.pop(door, None)

    def concentrate(self, door: int | None, share: float = 0.0) -> None:
        """Move a share of the requests to one front door at once; None ends that."""
        self.concentrated = None if door is None else (door, share)

    def choose(self, now_us: int, first: int, size: int, weights: tuple[float, ...], draw: float) -> int:
        """Select one of the `size` front doors from number `first` on, by weight and a draw from 0 to 1."""
        members = [(first + offset) % self.doors for offset in range(size)]
        available = [
            pair
            for pair in zip(members, weights, strict=True)
            if now_us < self.excluded_from_us.get(pair[0], FAR_FUTURE_US)
        ]
        pairs = available or list(zip(members, weights, strict=True))
        if self.concentrated and any(door == self.concentrated[0] for door, _ in pairs):
            door, share = self.concentrated
            if draw < share:
                return door
            draw = (draw - share) / (1 - share)
        remaining = draw * sum(weight for _, weight in pairs)
        for door, weight in pairs:
            remaining -= weight
            if remaining < 0:
                return door
        return pairs[-1][0]

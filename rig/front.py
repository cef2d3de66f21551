"""The front before the front doors: it deals out each customer's requests among the doors of its set.

A door is taken in once it has answered, and left out from when its death is noticed, some time after it.
"""

from dataclasses import dataclass, field

NEVER = 1 << 62


@dataclass(slots=True)
class Front:
    """Which front door a request goes to; a core. `notice_us` is how long a death goes unnoticed."""

    doors: int
    notice_us: int
    out_from: dict[int, int] = field(default_factory=dict)  # when a door that died is left out
    gathered: tuple[int, float] | None = None  # a door, and the share of its customers that gather on it

    def died(self, now_us: int, door: int) -> None:
        self.out_from.setdefault(door, now_us + self.notice_us)

    def answered(self, door: int) -> None:
        self.out_from.pop(door, None)

    def gather(self, door: int | None, share: float = 0.0) -> None:
        """Traffic moves to one door at a stroke; None ends that."""
        self.gathered = None if door is None else (door, share)

    def pick(self, now_us: int, first: int, size: int, weights: tuple[float, ...], draw: float) -> int:
        """One of the `size` doors from number `first` on, by weights in that order and a draw from 0 to 1."""
        members = [(first + step) % self.doors for step in range(size)]
        known = [
            pair for pair in zip(members, weights, strict=True) if now_us < self.out_from.get(pair[0], NEVER)
        ]
        pairs = known or list(zip(members, weights, strict=True))
        if self.gathered and any(door == self.gathered[0] for door, _ in pairs):
            door, share = self.gathered
            if draw < share:
                return door
            draw = (draw - share) / (1 - share)
        at = draw * sum(weight for _, weight in pairs)
        for door, weight in pairs:
            at -= weight
            if at < 0:
                return door
        return pairs[-1][0]

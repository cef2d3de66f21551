"""When each front door was up, as observed from outside it."""

from collections import defaultdict
from collections.abc import Iterator

from rig.facts import DoorDown, DoorUp, Down

ABRUPT_ENDS = (Down.KILLED, Down.CRASHED, Down.STOPPED)


class Doors:
    """Starts and ends of each front door."""

    def __init__(self) -> None:
        self.ups: dict[str, list[DoorUp]] = defaultdict(list)
        self.downs: dict[str, list[DoorDown]] = defaultdict(list)

    def take(self, fact: DoorUp | DoorDown) -> None:
        """Store a start or an end."""
        if isinstance(fact, DoorUp):
            self.ups[fact.door].append(fact)
        else:
            self.downs[fact.door].append(fact)

    def crashes(self) -> Iterator[DoorDown]:
        """All crashes of all front doors."""
        for downs in self.downs.values():
            yield from (down for down in downs if down.how is Down.CRASHED)

    def outage_explains(self, door: str, since_us: int, until_us: int, closing_us: int = 0) -> bool:
        """Whether an outage explains a request that was not answered between the two times.

        True if the front door was killed, crashed or stopped at any time in between, or had ended as ordered
        before. `closing_us`: how long before its end a front door may have closed its listener.
        """
        for down, up_us in self.outages(door):
            if down.how in ABRUPT_ENDS and down.at_us <= until_us and up_us >= since_us:
                return True
            if down.how is Down.ENDED and down.at_us - closing_us <= since_us <= up_us:
                return True
        return False

    def outages(self, door: str) -> Iterator[tuple[DoorDown, int]]:
        """Each outage of a front door, with the time of the next start."""
        for down in self.downs.get(door, ()):
            ups = [up.at_us for up in self.ups.get(door, ()) if up.at_us >= down.at_us]
            yield down, min(ups, default=1 << 62)

    def process_start_us(self, door: str, at_us: int) -> int:
        """The start of the process that ran at `at_us`; it knows nothing of what earlier ones were told."""
        starts = [up.at_us for up in self.ups.get(door, ()) if not up.again and up.at_us <= at_us]
        return max(starts, default=0)

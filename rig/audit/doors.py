"""When each front door was up, as others than itself saw it."""

from collections import defaultdict
from collections.abc import Iterator

from rig.facts import DoorDown, DoorUp, Down

FATAL = (Down.KILLED, Down.CRASHED, Down.STOPPED)


class Doors:
    """The starts and ends of each front door."""

    def __init__(self) -> None:
        self.ups: dict[str, list[DoorUp]] = defaultdict(list)
        self.downs: dict[str, list[DoorDown]] = defaultdict(list)

    def take(self, fact: DoorUp | DoorDown) -> None:
        if isinstance(fact, DoorUp):
            self.ups[fact.door].append(fact)
        else:
            self.downs[fact.door].append(fact)

    def crashes(self) -> Iterator[DoorDown]:
        for downs in self.downs.values():
            yield from (down for down in downs if down.how is Down.CRASHED)

    def excused(self, door: str, since_us: int, until_us: int, closing_us: int = 0) -> bool:
        """Whether the front door was killed, or held, at any time in between; or had ended before.

        `closing_us`: how long before its end a front door may have closed its listener.
        """
        for down, up_us in self.down_times(door):
            if down.how in FATAL and down.at_us <= until_us and up_us >= since_us:
                return True
            if down.how is Down.ENDED and down.at_us - closing_us <= since_us <= up_us:
                return True
        return False

    def down_times(self, door: str) -> Iterator[tuple[DoorDown, int]]:
        """Each time that it was down, and until when."""
        for down in self.downs.get(door, ()):
            ups = [up.at_us for up in self.ups.get(door, ()) if up.at_us >= down.at_us]
            yield down, min(ups, default=1 << 62)

    def process_since(self, door: str, at_us: int) -> int:
        """When the process of that time was started: what its predecessor was told is not its own."""
        starts = [up.at_us for up in self.ups.get(door, ()) if not up.again and up.at_us <= at_us]
        return max(starts, default=0)

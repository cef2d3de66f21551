"""A reading on its way to a client: good only while a look right before it is written says so.

Between that look and the write nothing may wait, and the write must take all of it (see `interface`): what is
left in a buffer goes out later, looked at by nobody.
"""

from typing import Protocol

from molereach.cache.readings.reading import Reading


class Judge(Protocol):
    """Who knows of the session and of purges."""

    def usable(self, now_us: int, reading: Reading) -> bool: ...


class Hit:
    """Held by one request; `still` is asked with the time read after the hit was taken, each time anew."""

    __slots__ = ("_judge", "_reading")

    def __init__(self, judge: Judge, reading: Reading) -> None:
        self._judge, self._reading = judge, reading

    @property
    def value(self) -> bytes:
        return self._reading.value

    def age_us(self, now_us: int) -> int:
        """How long ago its request was sent: what a client may be told of its age."""
        return now_us - self._reading.sent_us

    def still(self, now_us: int) -> bool:
        """Whether it may be written now. After a stop of this process it is asked with a time from after."""
        return self._judge.usable(now_us, self._reading)

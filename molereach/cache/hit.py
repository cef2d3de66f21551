"""A cache hit on its way to a client: usable only while a check right before the write allows it.

Nothing may wait between that check and the write, and the write must take the whole value (see `interface`):
what stays in a buffer would be sent later without a check.
"""

from typing import Protocol

from molereach.cache.readings.reading import Reading


class ReadingValidator(Protocol):
    """Knows the session and the purges."""

    def is_usable(self, now_us: int, reading: Reading) -> bool:
        """Whether the reading may be shown now."""
        ...


class Hit:
    """Held by one request; each call of `is_usable` gets a time that was read after the hit was taken."""

    __slots__ = ("_reading", "_validator")

    def __init__(self, validator: ReadingValidator, reading: Reading) -> None:
        self._validator, self._reading = validator, reading

    @property
    def value(self) -> bytes:
        """The answer's bytes."""
        return self._reading.value

    def age_us(self, now_us: int) -> int:
        """The time since the reading's request was sent: the age that a client is told."""
        return now_us - self._reading.sent_us

    def is_usable(self, now_us: int) -> bool:
        """Whether the reading may be written now. After a pause of the process, `now_us` is read after it."""
        return self._validator.is_usable(now_us, self._reading)

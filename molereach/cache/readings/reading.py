"""One reading: what a server answered a member, and from when on that counts."""

from molereach.cache.readings.settings import OVERHEAD_BYTES


class Reading:
    """Never changed once it is made; compared by identity."""

    __slots__ = ("applied", "asked", "class_name", "member", "sent_us", "size", "value")

    def __init__(
        self, member: str, class_name: str, asked: bytes, value: bytes, sent_us: int, applied: int
    ) -> None:
        self.member, self.class_name, self.asked, self.value = member, class_name, asked, value
        # Not when the answer came: the server may have read what it told at any time since the request left.
        self.sent_us = sent_us
        self.applied = applied  # the log's position up to which purges were applied here by then
        self.size = len(value) + len(asked) + OVERHEAD_BYTES

    @property
    def key(self) -> tuple[str, bytes]:
        """Among those of its member."""
        return self.class_name, self.asked

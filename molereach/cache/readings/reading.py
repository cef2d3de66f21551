"""One cached reading: a server's answer to a member's request, and from when it counts."""

from molereach.cache.readings.settings import OVERHEAD_BYTES


class Reading:
    """Immutable; compared by identity."""

    __slots__ = ("applied_position", "class_name", "member", "request", "sent_us", "size", "value")

    def __init__(
        self,
        member: str,
        class_name: str,
        request: bytes,
        value: bytes,
        sent_us: int,
        applied_position: int,
    ) -> None:
        self.member, self.class_name, self.request, self.value = member, class_name, request, value
        # Not the time of the answer: the server may have read the data at any time since the request left.
        self.sent_us = sent_us
        self.applied_position = applied_position  # of the log here at `sent_us`, with all purges up to it
        self.size = len(value) + len(request) + OVERHEAD_BYTES

    @property
    def key(self) -> tuple[str, bytes]:
        """Identifies the reading among those of its member."""
        return self.class_name, self.request

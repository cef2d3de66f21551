"""What is said and heard on one link once both sides are proven: sealed bytes for bodies and back. A core.

It numbers and seals, opens and reads, counts what the other side has taken in, and says each beat what was
taken here. What is wrong is a `FrameError` or a `WordError`, and the end of the link.
"""

from typing import Any

from molereach.coordination.transport.frames import DIALLER, LISTENER, Opener, Sealer
from molereach.coordination.transport.hello import Session
from molereach.coordination.transport.pulse import Pulse, Verdict
from molereach.coordination.transport.words import OWN, Beat, Bye, WordError, Words


class Speech:
    """One session's."""

    __slots__ = ("life", "opener", "pulse", "sealer", "words")

    def __init__(self, key: bytes, session: Session, dialled: bool, words: Words, pulse: Pulse) -> None:
        ours, theirs = (DIALLER, LISTENER) if dialled else (LISTENER, DIALLER)
        self.sealer, self.opener = Sealer(key, session.id, ours), Opener(key, session.id, theirs)
        self.words, self.pulse, self.life = words, pulse, session.peer

    def say(self, body: bytes) -> bytes:
        """A message of a part, packed."""
        self.pulse.on_sent()
        return self.sealer.seal(body)

    def own(self, word: Beat | Bye) -> bytes:
        return self.sealer.seal(self.words.pack(OWN, word))

    def hear(self, frame: bytes) -> tuple[str, Any]:
        """A part and its message; of the links' own, what was acknowledged has been counted."""
        part, message = self.words.read(self.opener.open(frame))
        if part != OWN:
            self.pulse.on_heard()
        elif isinstance(message, Beat):
            try:
                self.pulse.on_ack(message.heard)
            except ValueError as error:
                raise WordError(str(error)) from error
        return part, message

    def beat(self, drained: int, waiting: int) -> tuple[bytes, Verdict]:
        """What to say on this beat, if anything, and whether the link lives; see `Pulse.beat`."""
        said = b""
        if self.pulse.ack_due:
            self.pulse.told = self.pulse.heard
            said = self.own(Beat(self.pulse.heard))
        return said, self.pulse.beat(drained, waiting)

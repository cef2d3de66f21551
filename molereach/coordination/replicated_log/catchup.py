"""Getting what is missing from another front door, and giving it: entries, or a snapshot in pieces.

Who asks keeps at most one snapshot under way and takes a piece only where it fits; who gives keeps one
snapshot, made when first asked for and used as long as its tail leads on from it.
"""

from hashlib import blake2b

from molereach.coordination.replicated_log.ledger import Ledger
from molereach.coordination.replicated_log.records import decode_snapshot, encode
from molereach.coordination.replicated_log.settings import MOST_PIECE_BYTES, MOST_SNAPSHOT_BYTES
from molereach.coordination.replicated_log.words import Known, Piece, Want, WantPiece

MOST_REPEATS = 5  # of a question that is not answered


class CatchingUp:
    """Both sides of it at one front door."""

    def __init__(self, ledger: Ledger) -> None:
        self.ledger, self.outbox = ledger, ledger.outbox
        self.source = ""  # who is asked; empty for nobody
        self.due_us = 0  # when it is asked again; 0 for the next `tick`
        self.repeats = 0
        self.position, self.total, self.digest = 0, 0, b""  # of the snapshot under way
        self.data = bytearray()
        self.given: tuple[int, bytes, bytes] | None = None  # position, bytes and digest of the one given

    # --- asking ---

    def want(self, source: str) -> None:
        """Ask it for what follows; a snapshot that is coming in goes on instead."""
        if source == self.outbox.me.name or self.data:
            return
        self.source, self.due_us, self.repeats = source, 0, 0
        self._ask()

    def _ask(self) -> None:
        if self.data:
            self.outbox.say(self.source, WantPiece(self.position, len(self.data)))
        else:
            self.outbox.say(self.source, Want(self.ledger.position))

    def on_known(self, sender: str, word: Known) -> bool:
        """Take entries; whether any was new."""
        new = self.ledger.learn(word.entries)
        if new:
            self._drop_passed()
        if word.decided > self.ledger.position:
            if new:
                self.want(sender)
        elif sender == self.source and not self.data:
            self.source = ""
        return new

    def on_piece(self, sender: str, word: Piece) -> bool:
        """Take a piece; whether a snapshot was whole and of use."""
        if word.position <= self.ledger.position or not self._fits(sender, word):
            return False
        self.data += word.data
        self.due_us = self.repeats = 0
        if len(self.data) < self.total:
            self._ask()
            return False
        data, total, digest = bytes(self.data), self.total, self.digest
        self._drop()
        if len(data) != total or blake2b(data, digest_size=16).digest() != digest:
            return False
        try:
            snapshot = decode_snapshot(data)
        except ValueError:
            return False
        if not self.ledger.restore(snapshot):
            return False
        self.want(sender)  # what came since
        return True

    def _fits(self, sender: str, word: Piece) -> bool:
        """Whether it goes on with the snapshot under way, or begins the first or a newer one."""
        if self.data and sender == self.source and word.position == self.position:
            return (word.total, word.digest, word.offset) == (self.total, self.digest, len(self.data))
        if word.offset or (self.data and (sender != self.source or word.position < self.position)):
            return False
        self.source, self.data = sender, bytearray()
        self.position, self.total, self.digest = word.position, word.total, word.digest
        return True

    def _drop_passed(self) -> None:
        if self.data and self.position <= self.ledger.position:
            self._drop()

    def _drop(self) -> None:
        self.source, self.data = "", bytearray()

    def tick(self, now_us: int, again_us: int) -> None:
        """Ask again where no answer came."""
        if not self.source:
            return
        if not self.due_us:
            self.due_us = now_us + again_us
        elif now_us >= self.due_us:
            self.repeats += 1
            self.due_us = now_us + again_us
            if self.repeats > MOST_REPEATS:
                self._drop()
            else:
                self._ask()

    # --- giving ---

    def tell(self, to: str, after: int) -> None:
        """What follows a position, as far as it goes into one word."""
        learner = self.ledger.learner
        entries = learner.following(after)
        if entries is None:
            self.give(to, 0, 0)
        else:
            self.outbox.say(to, Known(entries, learner.position))

    def give(self, to: str, position: int, offset: int) -> None:
        """A piece of a snapshot; the first of the newest where another is asked for."""
        learner = self.ledger.learner
        if self.given is None or learner.following(self.given[0]) is None:
            if learner.failed:  # a state that stopped at some entry is no state of the log
                return
            data = encode(learner.snapshot())
            if len(data) > MOST_SNAPSHOT_BYTES:
                return
            self.given = (learner.position, data, blake2b(data, digest_size=16).digest())
        made, data, digest = self.given
        if position != made or offset >= len(data):
            offset = 0
        piece = data[offset : offset + MOST_PIECE_BYTES]
        self.outbox.say(to, Piece(made, len(data), offset, digest, piece))

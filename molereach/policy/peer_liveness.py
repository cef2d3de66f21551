"""What is known of each peer: whether it answers, and whether it keeps to the smaller share of ceilings."""

from molereach.policy.customers import SILENT_US
from molereach.policy.time_units import SECOND_US

ASK_AGAIN_US = 300_000  # a peer that is silent is asked again
MARKED_US = 10 * SECOND_US  # for how long it counts that a peer said that ceilings are split there


class Peers:
    """Times by peer; an entry for each gateway of the fleet at most."""

    __slots__ = ("asked_us", "heard_us", "marks_us", "unanswered")

    def __init__(self) -> None:
        self.unanswered: dict[int, int] = {}  # the first ask without a word since
        self.asked_us: dict[int, int] = {}  # the last ask
        self.heard_us: dict[int, int] = {}  # when it last said anything,
        self.marks_us: dict[int, int] = {}  # and when it last said that it splits ceilings

    def ask(self, now: int, peer: int) -> None:
        """It is asked something now."""
        self.unanswered.setdefault(peer, now)
        self.asked_us[peer] = now

    def hear(self, now: int, peer: int) -> None:
        """A message of it has come."""
        self.unanswered.pop(peer, None)
        self.heard_us[peer] = now

    def leaves(self, peer: int) -> bool:
        """Whether it keeps to the smaller share of ceilings, as far as is known: an older version speaks, and
        does not say so."""
        heard, said = self.heard_us.get(peer), self.marks_us.get(peer)
        return heard is None or (said is not None and heard - said < MARKED_US)

    def is_silent(self, now: int, peer: int) -> bool:
        """It has answered no ask for long, as one that restarts: waiting for it would cost the aim. Now and
        then it is asked all the same."""
        if now - self.unanswered.get(peer, now) <= SILENT_US:
            return False
        return now - self.asked_us.get(peer, 0) < ASK_AGAIN_US

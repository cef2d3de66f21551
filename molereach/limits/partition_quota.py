"""What part of a soft quota may be spent here while front doors are cut off. A core.

A set that falls apart splits its store: the home goes on with k/n of burst and rate for the k that it
hears, each of the others with 1/n. On the ordinary path, when all hear each other, it changes nothing.
Totals in place of increments (a counter that only grows, one for each life of a front door) make good
what was lost: Shapiro et al., "A Comprehensive Study of Convergent and Commutative Replicated Data Types"
(2011), 3.1. docs/design/limits.md states the error.
"""

from collections.abc import Sequence

from molereach.limits.settings import LimitSettings, S
from molereach.policy.interface.messages import CustomerKey, SpendingTotal
from molereach.policy.interface.settings import Plan

BEATS = 4  # that are missed before a front door counts as cut off
BEATS_PART = 0.3  # of the messages that a front door takes in may be beats
TELL_AGAIN_US, TELLINGS = 300_000, 2  # a total is told so often, as words may be lost
JOIN_US = TELLINGS * TELL_AGAIN_US  # who is back and has said nothing of a customer by then spent nothing
LEAST_KEPT_US = 10 * S
MOST_HOMES = 200_000  # customers that others' words may open here
LONG_AGO = -1 << 60


class _Mine:
    """What was spent here of one customer's quota, and how often its home has been told of it."""

    __slots__ = ("at", "left", "spent", "told")

    def __init__(self) -> None:
        self.at, self.spent, self.left, self.told = 0, 0.0, 0.0, 0


class _Home:
    """One customer at its home: whose parts are not in its store and since when; the others' last totals."""

    __slots__ = ("apart", "at", "theirs")

    def __init__(self, apart: dict[int, int], now: int) -> None:
        self.apart, self.at = apart, now
        self.theirs: dict[int, tuple[int, float]] = {}  # generation and total


class Reach:
    """Who is heard, what was spent, and which part of each quota is to be gone by."""

    def __init__(
        self, me: int, doors: int, plans: Sequence[Plan], settings: LimitSettings, intake_per_s: float
    ) -> None:
        self.me, self.doors, self.plans = me, doors, plans
        crowd = S * (doors - 1) / (BEATS_PART * intake_per_s) if intake_per_s else 0.0
        self.beat_us = max(settings.beat_us, round(crowd))
        self.silence_us = BEATS * self.beat_us
        self.start_us = 0
        self.heard_us: dict[int, int] = {}  # words of one that hears this front door as well
        self.came_us: dict[int, int] = {}  # any word: a link may work one way
        self.back_us: dict[int, int] = {}  # since when a peer has been heard again
        self.lives: dict[int, int] = {}  # generations of those that tell totals
        self.gone: dict[int, int] = {}  # generations of those that ended in order: they spend nothing
        self.told_us: dict[int, int] = {}
        self.mine: dict[CustomerKey, _Mine] = {}  # both: the one used last at the end
        self.homes: dict[CustomerKey, _Home] = {}
        self.fresh: dict[CustomerKey, None] = {}  # spending that the home has not been told of
        self.again: dict[CustomerKey, int] = {}  # that it is told of once more, at that time
        fill = [plan.quota_burst / plan.quota_rate for plan in plans if plan.quota_rate]
        self.forget_us = max([LEAST_KEPT_US, *(round(2 * S * took) for took in fill)])

    # --- who is there ---

    def silent(self, now: int, peer: int) -> bool:
        return now - self.heard_us.get(peer, LONG_AGO) > self.silence_us

    def hears(self, now: int, peer: int) -> bool:
        """Whether the peer is to be told that its words come here."""
        return now - self.came_us.get(peer, LONG_AGO) <= self.silence_us

    def heard(self, now: int, peer: int, generation: int | None, mutual: bool = True) -> None:
        """Something came from a peer; who was silent is told all that its customers spent here. One that does
        not hear this front door cannot tell it what it spends by its word: it counts as silent."""
        self.came_us[peer] = now
        if not mutual:
            return
        if self.silent(now, peer):
            self.back_us[peer] = now
            self.tell_all(peer)
        self.heard_us[peer] = now
        if generation is not None:
            self.lives[peer] = generation
            if self.gone.get(peer, generation) != generation:
                del self.gone[peer]

    def left(self, now: int, peer: int, generation: int) -> None:
        """It has ended: nothing more comes of that life, whatever arrives late."""
        self.gone[peer] = generation
        self.heard_us[peer] = LONG_AGO

    def tell_all(self, peer: int) -> int:
        """Tell a peer, from now on, all that its customers spent here; of how many."""
        theirs = [key for key in self.mine if self.home(key) == peer]
        for key in theirs:
            self.mine[key].told = 0
            self.fresh[key] = None
        return len(theirs)

    def nothing_to_tell(self, peer: int) -> None:
        """It has spent nothing of any customer here: its parts join at once."""
        self.back_us[peer] = LONG_AGO

    def beats(self, now: int) -> list[int]:
        """Peers that have heard nothing from here for a beat."""
        return [
            peer
            for peer in range(self.doors)
            if peer != self.me and now - self.told_us.get(peer, LONG_AGO) >= self.beat_us
        ]

    # --- the part to go by ---

    def home(self, key: CustomerKey) -> int:
        name, _, first, size = key
        return (first + name % size) % self.doors

    def acting(self, now: int, key: CustomerKey) -> int:
        """The home as seen from here: the first that is heard, in the set's order from the home on."""
        name, _, first, size = key
        for number in range(name % size, name % size + size):
            member = (first + number % size) % self.doors
            if member == self.me or (member not in self.gone and not self.silent(now, member)):
                return member
        return self.me

    def others(self, key: CustomerKey) -> list[int]:
        _, _, first, size = key
        return [peer for number in range(size) if (peer := (first + number) % self.doors) != self.me]

    def reach(self, now: int, key: CustomerKey) -> tuple[int, float, float]:
        """The home to go by, the part of the quota that is its side's, and units that joined the store here
        just now."""
        size, plan = key[3], self.plans[key[1]]
        if size == 1 or not plan.quota_rate:
            return self.home(key), 1.0, 0.0
        home = self.acting(now, key)
        if home != self.me:
            return home, 1.0, 0.0
        known = self.at_home(now, key)
        joined = 0.0
        for peer in self.others(key):
            if peer in self.gone:
                joined += plan.quota_burst / size * (known.apart.pop(peer, None) is not None)
            elif self.silent(now, peer):
                known.apart.setdefault(peer, self.heard_us.get(peer, self.start_us))
            elif peer in known.apart and now - self.back_us[peer] > JOIN_US:
                del known.apart[peer]  # it had time to tell what it spent here, and had nothing to tell
                joined += plan.quota_burst / size
        return home, 1 - len(known.apart) / size, joined

    def at_home(self, now: int, key: CustomerKey) -> _Home:
        """The customer here, at its home. Soon after a start nothing is known of what the others spent."""
        known = self.homes.pop(key, None)
        if known is None:
            young = now - self.start_us <= JOIN_US + self.silence_us
            known = _Home({peer: self.start_us for peer in self.others(key) if young}, now)
        self.homes[key], known.at = known, now
        return known

    # --- totals ---

    def spend(self, now: int, key: CustomerKey, units: float, left: float) -> None:
        """So much was spent here, and so much of the part here is left."""
        if self.acting(now, key) == self.me:
            return
        mine = self.mine.pop(key, None) or _Mine()
        self.mine[key] = mine
        mine.at, mine.spent, mine.left, mine.told = now, mine.spent + units, left, 0
        self.again.pop(key, None)
        self.fresh[key] = None

    def total(self, now: int, key: CustomerKey) -> SpendingTotal:
        """What the home is told; what has been refilled since the last spending is left as well."""
        mine, plan, size = self.mine[key], self.plans[key[1]], key[3]
        left = min(plan.quota_burst / size, mine.left + plan.quota_rate / size * (now - mine.at) / S)
        return SpendingTotal(key, mine.spent, left)

    def due(self, now: int, most: int) -> list[tuple[int, SpendingTotal]]:
        """Totals to be told to homes now, at most so many."""
        found: list[tuple[int, SpendingTotal]] = []
        while self.again and len(found) < most:
            key, at = next(iter(self.again.items()))
            if at > now:
                break
            del self.again[key]
            self.fresh[key] = None
        while self.fresh and len(found) < most:
            key = next(iter(self.fresh))
            del self.fresh[key]
            if mine := self.mine.get(key):
                found.append((self.acting(now, key), self.total(now, key)))
                mine.told += 1
                if mine.told < TELLINGS:
                    self.again[key] = now + TELL_AGAIN_US
        return found

    def spent(self, now: int, sender: int, total: SpendingTotal) -> float:
        """What a total adds to what is known, in units for the customer's store; below 0 where a part joins.

        A part that was apart joins with what is left of it, less what was spent beyond it; a total that is
        older than the last one adds nothing.
        """
        key, plan = total.key, self.plans[total.key[1]]
        if self.acting(now, key) != self.me or not plan.quota_rate:
            return 0.0
        if key not in self.homes and len(self.homes) >= MOST_HOMES:
            return 0.0
        known, part = self.at_home(now, key), plan.quota_burst / key[3]
        left = max(0.0, min(total.remaining_units, part))
        generation, last = known.theirs.get(sender, (-1, 0.0))
        mine = generation == self.lives.get(sender)
        since = total.spent_units - last if mine else total.spent_units
        if mine and since < 0:
            return 0.0
        known.theirs[sender] = self.lives.get(sender, -1), total.spent_units
        apart_us = known.apart.pop(sender, None)
        if apart_us is not None:
            entitled = part + plan.quota_rate / key[3] * (now - apart_us) / S
            return max(0.0, since + left - entitled) - left if mine else -left
        return since if mine or generation >= 0 else part - left

    def forget(self, now: int) -> None:
        while self.mine and now - next(iter(self.mine.values())).at > self.forget_us:
            del self.mine[next(iter(self.mine))]
        while self.homes and now - next(iter(self.homes.values())).at > self.forget_us:
            del self.homes[next(iter(self.homes))]

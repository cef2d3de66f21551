"""A machine's way, as a table: what is not in it is refused.

Out is entered from empty alone, by an entry that carries the proof; and no way leads from out to queued, so
a work has one permit at most.
"""

from enum import Enum


class State(Enum):
    """Where a work's machine stands."""

    ASKED = "asked"  # its window has not begun, or another work of the machine goes first
    QUEUED = "queued"  # it may go next
    DRAINING = "draining"  # nobody sends to it who knows
    EMPTY = "empty"  # nobody sends to it, and nothing is under way there; it waits for its permit
    OUT = "out"
    BACK = "back"  # it is there again and cold
    WARM = "warm"  # it is sent requests again
    DONE = "done"
    WITHDRAWN = "withdrawn"
    OVERDUE = "overdue"  # it was to be back, or warm, by now
    LOST = "lost"  # it is not counted on any more


class Step(Enum):
    """What an entry does with it."""

    QUEUE = "queue"
    DRAIN = "drain"
    EMPTY = "empty"
    OUT = "out"
    RECALL = "recall"  # something else was lost: it is needed
    HURRY = "hurry"  # the same, for one that is out
    BACK = "back"
    WARM = "warm"
    DONE = "done"
    WITHDRAW = "withdraw"
    LAPSE = "lapse"  # its window has closed
    OVERDUE = "overdue"
    LOST = "lost"


TABLE: dict[tuple[State, Step], State] = {
    (State.ASKED, Step.QUEUE): State.QUEUED,
    (State.ASKED, Step.WITHDRAW): State.WITHDRAWN,
    (State.ASKED, Step.LAPSE): State.WITHDRAWN,
    (State.QUEUED, Step.DRAIN): State.DRAINING,
    (State.QUEUED, Step.WITHDRAW): State.WITHDRAWN,
    (State.QUEUED, Step.LAPSE): State.WITHDRAWN,
    (State.DRAINING, Step.EMPTY): State.EMPTY,
    (State.DRAINING, Step.RECALL): State.QUEUED,
    (State.DRAINING, Step.WITHDRAW): State.WITHDRAWN,
    (State.EMPTY, Step.OUT): State.OUT,
    (State.EMPTY, Step.RECALL): State.QUEUED,
    (State.EMPTY, Step.WITHDRAW): State.WITHDRAWN,
    (State.OUT, Step.HURRY): State.OUT,
    (State.OUT, Step.WITHDRAW): State.OUT,  # who has it is asked to bring it back
    (State.OUT, Step.BACK): State.BACK,
    (State.OUT, Step.OVERDUE): State.OVERDUE,
    (State.OVERDUE, Step.HURRY): State.OVERDUE,
    (State.OVERDUE, Step.WITHDRAW): State.OVERDUE,
    (State.OVERDUE, Step.BACK): State.BACK,
    (State.OVERDUE, Step.LOST): State.LOST,
    (State.BACK, Step.WARM): State.WARM,
    (State.BACK, Step.OVERDUE): State.OVERDUE,
    (State.WARM, Step.DONE): State.DONE,
    (State.LOST, Step.BACK): State.BACK,
}

WAITING = frozenset({State.ASKED, State.QUEUED})
LEAVING = frozenset({State.DRAINING, State.EMPTY})
GONE = frozenset({State.OUT, State.OVERDUE, State.LOST})
FINAL = frozenset({State.DONE, State.WITHDRAWN})
UNSENDABLE = frozenset({*LEAVING, *GONE, State.BACK})  # to which nothing new is sent
BOUND = frozenset(
    {  # steps that are for one time of draining alone: one that was settled late is void
        Step.EMPTY,
        Step.OUT,
        Step.RECALL,
        Step.HURRY,
        Step.OVERDUE,
        Step.LOST,
        Step.WARM,
        Step.DONE,
    }
)

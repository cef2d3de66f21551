"""The lifecycle of a work item as a table of transitions; a step that is not in the table is rejected.

A permit is granted only in the state DRAINED, by an entry that carries the proof. No transition leads back
from PERMITTED to QUEUED, so an item gets one permit at most.
"""

from enum import Enum


class State(Enum):
    """The state of a work item."""

    REQUESTED = "asked"  # its window has not begun, or another item of its machine goes first
    QUEUED = "queued"  # it may start once no rule blocks it
    DRAINING = "draining"  # no proxy that has applied the entry sends to the machine
    DRAINED = "empty"  # as the leader reports, no proxy uses it; it waits for its permit
    PERMITTED = "out"  # the machine may be shut down
    RETURNED = "back"  # the machine is ready again but cold
    WARMING = "warm"  # it is sent requests again
    DONE = "done"
    WITHDRAWN = "withdrawn"
    OVERDUE = "overdue"  # it has not returned, or not warmed up, in time
    LOST = "lost"  # its return is not expected any more


class Step(Enum):
    """What an entry does with a work item."""

    QUEUE = "queue"
    DRAIN = "drain"
    CONFIRM_DRAINED = "empty"
    GRANT_PERMIT = "out"
    RECALL = "recall"  # the draining machine is needed after all, because of another loss
    EXPEDITE = "hurry"  # the same for a machine with a permit: its return is urgent
    RETURN = "back"
    RESUME_TRAFFIC = "warm"
    COMPLETE = "done"
    WITHDRAW = "withdraw"
    EXPIRE = "lapse"  # too late to start: it can no longer end within its window
    MARK_OVERDUE = "overdue"
    MARK_LOST = "lost"


TRANSITIONS: dict[tuple[State, Step], State] = {
    (State.REQUESTED, Step.QUEUE): State.QUEUED,
    (State.REQUESTED, Step.WITHDRAW): State.WITHDRAWN,
    (State.REQUESTED, Step.EXPIRE): State.WITHDRAWN,
    (State.QUEUED, Step.DRAIN): State.DRAINING,
    (State.QUEUED, Step.WITHDRAW): State.WITHDRAWN,
    (State.QUEUED, Step.EXPIRE): State.WITHDRAWN,
    (State.DRAINING, Step.CONFIRM_DRAINED): State.DRAINED,
    (State.DRAINING, Step.RECALL): State.QUEUED,
    (State.DRAINING, Step.WITHDRAW): State.WITHDRAWN,
    (State.DRAINED, Step.GRANT_PERMIT): State.PERMITTED,
    (State.DRAINED, Step.RECALL): State.QUEUED,
    (State.DRAINED, Step.WITHDRAW): State.WITHDRAWN,
    (State.PERMITTED, Step.EXPEDITE): State.PERMITTED,
    (State.PERMITTED, Step.WITHDRAW): State.PERMITTED,  # its return is requested
    (State.PERMITTED, Step.RETURN): State.RETURNED,
    (State.PERMITTED, Step.MARK_OVERDUE): State.OVERDUE,
    (State.OVERDUE, Step.EXPEDITE): State.OVERDUE,
    (State.OVERDUE, Step.WITHDRAW): State.OVERDUE,
    (State.OVERDUE, Step.RETURN): State.RETURNED,
    (State.OVERDUE, Step.MARK_LOST): State.LOST,
    (State.RETURNED, Step.RESUME_TRAFFIC): State.WARMING,
    (State.RETURNED, Step.MARK_OVERDUE): State.OVERDUE,
    (State.WARMING, Step.COMPLETE): State.DONE,
    (State.LOST, Step.RETURN): State.RETURNED,
}

WAITING_STATES = frozenset({State.REQUESTED, State.QUEUED})
DRAINING_STATES = frozenset({State.DRAINING, State.DRAINED})
ABSENT_STATES = frozenset({State.PERMITTED, State.OVERDUE, State.LOST})
FINAL_STATES = frozenset({State.DONE, State.WITHDRAWN})
UNROUTABLE_STATES = frozenset(
    {*DRAINING_STATES, *ABSENT_STATES, State.RETURNED}
)  # no new requests are sent to these
DRAIN_BOUND_STEPS = frozenset(
    {  # steps that apply to one draining only: one that is proposed for an earlier draining is rejected
        Step.CONFIRM_DRAINED,
        Step.GRANT_PERMIT,
        Step.RECALL,
        Step.EXPEDITE,
        Step.MARK_OVERDUE,
        Step.MARK_LOST,
        Step.RESUME_TRAFFIC,
        Step.COMPLETE,
    }
)

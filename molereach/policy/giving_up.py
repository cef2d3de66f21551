"""Rules for giving up a request, and the reason that is counted for it.

A request is given up shortly before its deadline. It is given up earlier if its latency objective is out of
reach and the client may safely retry, or if half of the client's timeout is nearly over and no attempt has
been sent.
"""

from enum import Enum

from molereach.policy.pending_request import PendingRequest
from molereach.policy.time_units import TICK_US

# Multiples of the mean latency that must remain until the objective. With the smaller factor for all,
# requests that have waited would be forwarded just too late to meet it.
NEW_REQUEST_LATENCY_FACTOR = 0.5
WAITING_REQUEST_LATENCY_FACTOR = 2.0


class EndReason(Enum):
    """Why a request was given up. The values are the keys of `Gateway.ended`."""

    QUOTA = "quota"
    CEILING = "ceiling"
    OVERLOAD = "cap"
    NO_BACKEND = "server"
    LATE = "late"
    ATTEMPTS = "attempts"


def required_latency_factor(is_waiting: bool) -> float:
    """The multiple of the mean latency that must remain until the objective of a request."""
    return WAITING_REQUEST_LATENCY_FACTOR if is_waiting else NEW_REQUEST_LATENCY_FACTOR


def is_too_late(now_us: int, pending: PendingRequest, latency_us: float, may_reject: bool) -> bool:
    """Whether the request must be given up now.

    `latency_us` is the time that must remain until the objective, capped at half the objective.
    `may_reject` says whether the client may be told that a retry is safe.
    """
    if now_us + 2 * TICK_US >= pending.deadline_us:
        return True
    needed_us = min(latency_us, pending.request_class.latency_objective_us / 2)
    if may_reject and now_us + needed_us >= pending.objective_at_us:
        return True
    return pending.unsent_count == len(pending.backends) and now_us + TICK_US >= pending.reject_by_us

"""Giving up: when a waiting request is ended, and the reason that is counted.

A request is rejected when its latency objective is out of reach, where that is harmless; before half of its
time is over while nothing of it has been sent; and shortly before its deadline in any case.
"""

from enum import Enum

from molereach.policy.pending_request import PendingRequest
from molereach.policy.time_units import TICK_US

# Mean latencies that must remain until the objective. With the first for all, those that have waited would
# all be forwarded just too late.
NEW_REQUEST_LATENCIES = 0.5
WAITING_REQUEST_LATENCIES = 2.0


class EndReason(Enum):
    """Why a request was given up; the values are the keys of `Gateway.ended`."""

    QUOTA = "quota"
    CEILING = "ceiling"
    OVERLOAD = "cap"
    NO_BACKEND = "server"
    LATE = "late"
    ATTEMPTS = "attempts"


def required_latencies(is_waiting: bool) -> float:
    """How many mean latencies must remain, for a request that has waited and for a new one."""
    return WAITING_REQUEST_LATENCIES if is_waiting else NEW_REQUEST_LATENCIES


def is_too_late(now_us: int, pending: PendingRequest, latency_us: float, may_reject: bool) -> bool:
    """Whether the request must be ended now.

    `latency_us` is what an attempt is expected to take; half the objective counts at most. `may_reject` says
    whether the client may be told that a retry is harmless.
    """
    if now_us + 2 * TICK_US >= pending.deadline_us:
        return True
    needed_us = min(latency_us, pending.request_class.latency_objective_us / 2)
    if may_reject and now_us + needed_us >= pending.objective_at_us:
        return True
    return pending.unsent_count == len(pending.backends) and now_us + TICK_US >= pending.reject_by_us

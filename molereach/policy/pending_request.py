"""One request that a gateway owes a final answer: its deadlines, its priority and its attempts."""

from molereach.policy.backend_state import BackendState
from molereach.policy.interface.events import Endpoint, RequestReceived
from molereach.policy.interface.settings import RequestClass
from molereach.policy.quota import CustomerAccount
from molereach.policy.time_units import NEVER_US


class PendingRequest:
    """A request from its arrival to its last attempt's end; times are in microseconds."""

    __slots__ = (
        "account",
        "backends",
        "deadline_us",
        "decide_by_us",
        "first_endpoint",
        "first_forwarded_at_us",
        "in_flight",
        "is_closed",
        "is_drawn_here",
        "is_within_quota",
        "maybe_executed_on",
        "objective_at_us",
        "owner_request_count",
        "owner_requested_at_us",
        "priority",
        "reject_by_us",
        "request",
        "request_class",
        "unexecuted_count",
        "unsent_count",
    )

    def __init__(
        self,
        request: RequestReceived,
        request_class: RequestClass,
        account: CustomerAccount,
        now_us: int,
        elapsed_us: int,
    ) -> None:
        """`elapsed_us` is how long ago the client's first attempt was; the objective counts from it."""
        self.request = request
        self.request_class = request_class
        self.account = account
        self.priority = request_class.priority_weight * account.plan.priority_factor * request.units
        self.deadline_us = now_us + request.remaining_us
        self.objective_at_us = min(now_us + request_class.latency_objective_us - elapsed_us, self.deadline_us)
        self.reject_by_us = (
            now_us + request.remaining_us // 2
        )  # where nothing is sent by then: a client rejected later cannot go elsewhere in time
        self.is_closed = False  # answered or abandoned
        self.is_within_quota = False
        # Attempts
        self.backends: list[BackendState] = []  # of its attempts, in order
        self.in_flight: dict[int, int] = {}  # forwarding time by attempt
        self.maybe_executed_on: BackendState | None = None  # None while no attempt may have been executed
        self.first_endpoint: Endpoint | None = None  # that backend as it was listed then
        self.first_forwarded_at_us = 0
        self.unexecuted_count = 0  # attempts that were not executed for certain
        self.unsent_count = 0  # attempts that were never sent completely
        # Requests to the customer's owner
        self.decide_by_us = NEVER_US
        self.owner_request_count = 0
        self.owner_requested_at_us = 0  # the last one
        self.is_drawn_here = False  # admitted by this gateway's draw: only ceiling units are requested

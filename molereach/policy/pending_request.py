"""One request that still needs a final answer: its deadlines, its priority and its attempts."""

from molereach.policy.backend_state import BackendState
from molereach.policy.interface.events import Endpoint, RequestReceived
from molereach.policy.interface.settings import RequestClass
from molereach.policy.quota import CustomerAccount
from molereach.policy.time_units import NEVER_US


class PendingRequest:
    """A request from its arrival until its last attempt has ended; times are in microseconds."""

    __slots__ = (
        "account",
        "backends",
        "deadline_us",
        "decide_by_us",
        "first_endpoint",
        "first_forwarded_at_us",
        "in_flight",
        "is_closed",
        "is_drawn_locally",
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
        """`elapsed_us` is the time since the client's first attempt, from which the objective counts."""
        self.request = request
        self.request_class = request_class
        self.account = account
        self.priority = request_class.priority_weight * account.plan.priority_factor * request.units
        self.deadline_us = now_us + request.remaining_us
        self.objective_at_us = min(now_us + request_class.latency_objective_us - elapsed_us, self.deadline_us)
        # If nothing has been sent by then, the client is rejected early enough to use another gateway.
        self.reject_by_us = now_us + request.remaining_us // 2
        self.is_closed = False  # answered, or the client has disconnected
        self.is_within_quota = False
        # Attempts
        self.backends: list[BackendState] = []  # the backend of each attempt, in order
        self.in_flight: dict[int, int] = {}  # forwarding time by attempt number
        self.maybe_executed_on: BackendState | None = None  # None if no attempt can have been executed
        self.first_endpoint: Endpoint | None = None  # its endpoint list entry at that time
        self.first_forwarded_at_us = 0
        self.unexecuted_count = 0  # attempts that certainly were not executed
        self.unsent_count = 0  # attempts that were never sent completely
        # Requests to the customer's owner
        self.decide_by_us = NEVER_US
        self.owner_request_count = 0
        self.owner_requested_at_us = 0  # time of the last one
        # Admitted by this gateway's draw: the owner is sent a request only for units of the ceiling.
        self.is_drawn_locally = False

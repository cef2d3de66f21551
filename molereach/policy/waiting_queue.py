"""Queue of admitted requests that wait to be forwarded, and what each of them waits for.

A first attempt needs the permission of overload control, capacity below the customer's ceiling and a usable
backend. A request whose attempts were not executed also waits here for its retry, which needs a usable
backend, and the permission of overload control only when the queue starts to be processed; the retry budget
is not charged for it.
"""

import itertools
from bisect import insort
from typing import NamedTuple

from molereach.policy.attempts import Attempts
from molereach.policy.backend_state import BackendState
from molereach.policy.customers import Customers
from molereach.policy.giving_up import EndReason
from molereach.policy.interface.actions import ForwardAttempt
from molereach.policy.load_balancing import LoadBalancer
from molereach.policy.overload_control import OverloadControl
from molereach.policy.pending_request import PendingRequest


class WaitingEntry(NamedTuple):
    """An entry of the queue; the first two fields determine its position."""

    negated_priority: float
    arrival_number: int
    pending: PendingRequest


class WaitingQueue:
    """Waiting requests, ordered by descending priority, then by arrival."""

    __slots__ = ("arrival_numbers", "attempts", "customers", "entries", "load_balancer", "overload_control")

    def __init__(
        self,
        customers: Customers,
        load_balancer: LoadBalancer,
        overload_control: OverloadControl,
        attempts: Attempts,
    ) -> None:
        self.customers = customers
        self.load_balancer = load_balancer
        self.overload_control = overload_control
        self.attempts = attempts
        self.entries: list[WaitingEntry] = []
        self.arrival_numbers = itertools.count()

    def add(self, pending: PendingRequest) -> None:
        """Add a request to the queue."""
        insort(self.entries, WaitingEntry(-pending.priority, next(self.arrival_numbers), pending))

    def forward_allowed(self, now_us: int) -> list[ForwardAttempt]:
        """Forward the requests that may be forwarded now, and remove the closed ones.

        Nothing is forwarded if overload control forbids it at the start. As soon as it forbids more first
        attempts, or a request (a retry too) finds no usable backend, only retries are tried from there on.
        """
        if not self.entries or not self.overload_control_allows(now_us):
            return []
        entries = self.entries
        self.entries = []
        forwarded = []
        blocks_first_attempts = False
        for entry in entries:
            pending = entry.pending
            must_wait = pending.is_closed or (
                not pending.backends  # it has had no attempt yet
                and (blocks_first_attempts or not self.is_below_ceiling(now_us, pending))
            )
            backend = None if must_wait else self.load_balancer.choose(now_us, pending)
            if backend:
                forwarded.append(self.forward(now_us, pending, backend))
            elif not pending.is_closed:
                self.entries.append(entry)
            blocks_first_attempts = (
                blocks_first_attempts
                or not self.overload_control_allows(now_us)
                or not (must_wait or backend)
            )
        return forwarded

    def forward(self, now_us: int, pending: PendingRequest, backend: BackendState) -> ForwardAttempt:
        """Forward an attempt; the first one spends units of the ceiling."""
        if not pending.backends:  # the first attempt
            self.overload_control.forwarded_count += 1
            self.customers.spend_ceiling(now_us, pending.account, pending.request.units)
        return self.attempts.begin(now_us, pending, backend)

    def overload_control_allows(self, now_us: int) -> bool:
        """Whether overload control allows one more first attempt."""
        return self.overload_control.allows(now_us, self.attempts.in_flight, len(self.load_balancer.ready))

    def is_below_ceiling(self, now_us: int, pending: PendingRequest) -> bool:
        """Whether the customer's ceiling has capacity for the request now."""
        return self.customers.is_below_ceiling(now_us, pending.account, pending.request.units)

    def waiting_reason(self, now_us: int, pending: PendingRequest) -> EndReason:
        """What a request that was never forwarded is waiting for."""
        if not self.is_below_ceiling(now_us, pending):
            return EndReason.CEILING
        return EndReason.NO_BACKEND if self.overload_control_allows(now_us) else EndReason.OVERLOAD

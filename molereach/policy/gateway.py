"""The gateway: handles each event by applying the other modules in order.

A request is admitted by its customer's quota, waits until overload control, the customer's ceiling and a
usable backend allow it, is forwarded and possibly retried. Each request gets exactly one final answer.
"""

import random
from collections.abc import Callable

from molereach.policy import giving_up, idempotency
from molereach.policy.admission import Admission
from molereach.policy.attempts import Attempts
from molereach.policy.client_timeouts import ClientTimeouts
from molereach.policy.customers import Customers
from molereach.policy.giving_up import EndReason
from molereach.policy.gossip_receiver import GossipReceiver
from molereach.policy.interface.actions import (
    Action,
    CancelAttempt,
    FailRequest,
    Reject,
    SetTimer,
    SubscribeToEndpoints,
)
from molereach.policy.interface.events import (
    AttemptEnded,
    AttemptResult,
    ClientDisconnected,
    EndpointListReceived,
    Event,
    GossipReceived,
    RequestReceived,
    ResponseStreamStarted,
    TimerExpired,
)
from molereach.policy.interface.protocols import LimitPolicy
from molereach.policy.interface.settings import Settings
from molereach.policy.load_balancing import STALE_LIST_KINDS, LoadBalancer
from molereach.policy.overload_control import OverloadControl
from molereach.policy.pending_request import PendingRequest
from molereach.policy.time_units import NEVER_US, TICK_US
from molereach.policy.waiting_queue import WaitingQueue


class Gateway:
    """The policy of one gateway: `handle` takes each event in order and returns the actions to carry out."""

    def __init__(self, settings: Settings, limits: LimitPolicy | None = None) -> None:
        self.settings = settings
        self.random = random.Random(settings.seed)
        self.load_balancer = LoadBalancer(settings, self.random)
        self.customers = Customers(settings, limits)
        self.admission = Admission(settings, self.random, self.customers, self.decide)
        self.gossip_receiver = GossipReceiver(settings, self.random, self.admission)
        self.outbox = self.admission.outbox
        self.overload_control = OverloadControl(settings)
        self.attempts = Attempts(settings)
        self.client_timeouts = ClientTimeouts(settings)
        self.queue = WaitingQueue(self.customers, self.load_balancer, self.overload_control, self.attempts)
        self.now_us = 0
        self.timer_at_us = NEVER_US
        self.ended = {reason.value: 0 for reason in EndReason}  # requests given up, by reason
        self.actions: list[Action] = []  # of the current event
        self.handlers: dict[type, Callable[..., object]] = {
            RequestReceived: self.on_request_received,
            AttemptEnded: self.on_attempt_ended,
            TimerExpired: self.on_timer_expired,
            EndpointListReceived: self.on_endpoint_list_received,
            GossipReceived: self.on_gossip_received,
            ClientDisconnected: self.on_request_closed,
            ResponseStreamStarted: self.on_request_closed,
        }

    def handle(self, now_us: int, event: Event) -> list[Action]:
        """Apply an event that occurs at `now_us`; return the actions to carry out, in order."""
        self.now_us = now_us
        self.actions = []
        if self.overload_control.period_started_at_us < 0:
            self.start()
        if handler := self.handlers.get(type(event)):
            handler(event)
        self.actions += self.outbox.take_due(now_us)
        self.set_timer()
        return self.actions

    def start(self) -> None:
        """Start the control periods and the uptime at the first event."""
        self.overload_control.period_started_at_us = self.now_us
        self.customers.started_at_us = self.now_us
        if self.limits:
            self.limits.start(self.now_us)

    def set_timer(self) -> None:
        """Set the next timer; an idle gateway wakes up only for the end of a period or for due messages."""
        next_tick_us = self.now_us + TICK_US
        due_us = next_tick_us
        if not (self.queue.entries or self.outbox.waiting or self.attempts.pending):
            due_us = max(next_tick_us, min(self.overload_control.period_end_us(), self.outbox.due_us))
        if limits := self.customers.limits:
            due_us = min(due_us, max(next_tick_us, limits.next_due_us))
        if due_us < self.timer_at_us:
            self.timer_at_us = due_us
            self.actions.append(SetTimer(due_us - self.now_us, 0))

    @property
    def limits(self) -> LimitPolicy | None:
        """The limit policy, if any; it may be set after construction, before the first event."""
        return self.customers.limits

    @limits.setter
    def limits(self, limits: LimitPolicy | None) -> None:
        self.customers.limits = limits

    def on_timer_expired(self, _: TimerExpired) -> None:
        """End the periods that are over, and check all waiting requests."""
        if self.now_us < self.timer_at_us:
            return
        self.timer_at_us = NEVER_US
        while self.now_us >= self.overload_control.period_end_us():
            self.end_period()
        self.admission.resolve_expired(self.now_us)
        entries = self.queue.entries
        self.queue.entries = [
            entry for entry in entries if not self.give_up_if_late(entry.pending, is_waiting=True)
        ]
        self.forward_waiting()

    def on_request_received(self, request: RequestReceived) -> None:
        """Admit a request; one that comes too late is given up without using quota."""
        account = self.customers.account_for_request(self.now_us, request)
        request_class = self.settings.classes[request.class_index]
        elapsed_us = self.client_timeouts.elapsed_us(request)
        pending = PendingRequest(request, request_class, account, self.now_us, elapsed_us)
        self.attempts.pending[request.request_id] = pending
        account.pending_requests += 1
        if not self.give_up_if_late(pending, is_waiting=False):
            self.admission.admit(self.now_us, pending)

    def on_endpoint_list_received(self, event: EndpointListReceived) -> None:
        """Apply an endpoint list; subscribe to changes after a saved list or a failure, if required."""
        if self.settings.must_poll_endpoints and event.kind in STALE_LIST_KINDS:
            self.actions.append(SubscribeToEndpoints(True))
        self.load_balancer.apply_endpoint_list(self.now_us, event)
        self.overload_control.sharing_proxies = self.load_balancer.sharing_proxies

    def on_gossip_received(self, event: GossipReceived) -> None:
        """Apply the messages of a peer."""
        self.gossip_receiver.receive(self.now_us, event)

    def on_attempt_ended(self, event: AttemptEnded) -> None:
        """Record the end of an attempt, and retry or give up its request."""
        pending = self.attempts.end(self.now_us, event)
        if pending is None:
            return
        self.overload_control.record_attempt_end(event, pending.request_class.latency_objective_us)
        if event.load_report is not None:
            backend = pending.backends[event.attempt]
            self.load_balancer.record_load_report(self.now_us, backend, event.load_report)
        if event.is_request_closed or pending.is_closed:
            self.close(pending)
        elif not pending.in_flight and not self.retry(pending, event.result):
            self.give_up(pending, EndReason.ATTEMPTS)

    def on_request_closed(self, event: ClientDisconnected | ResponseStreamStarted) -> None:
        """Close a request that needs no further answer."""
        if pending := self.attempts.pending.get(event.request_id):
            self.close(pending)

    def end_period(self) -> None:
        """End a control period."""
        control = self.overload_control
        balancer = self.load_balancer
        balancer.end_period(self.now_us, control.offered_count(), control.control_period_us)
        self.customers.evict_idle(self.now_us)
        control.end_period(
            balancer.forward_rate, len(balancer.ready), lambda: self.attempts.overdue_ages(self.now_us)
        )

    def decide(self, pending: PendingRequest, probability: float) -> None:
        """Draw whether a request is within quota; queue it if so, or if its value exceeds its cost."""
        pending.is_within_quota = self.random.random() < probability
        plan = pending.account.plan
        if pending.is_within_quota:
            self.customers.spend(self.now_us, pending.account, pending.request.units)
        elif plan.over_quota_value <= plan.over_quota_cost or self.overload_control.n_past is not None:
            self.give_up(pending, EndReason.QUOTA)
            return
        self.overload_control.admitted_count += 1
        self.customers.request_ceiling_capacity(self.now_us, pending.account, pending.request.units)
        self.queue.add(pending)
        self.forward_waiting()

    def forward_waiting(self) -> None:
        """Forward the waiting requests that may be forwarded now."""
        self.actions += self.queue.forward_allowed(self.now_us)

    def retry(self, pending: PendingRequest, result: AttemptResult) -> bool:
        """Forward a retry, or queue the request if it was not executed; whether either was done."""
        retry_policy = self.attempts.retry_policy
        mean_us = self.attempts.mean_latency_us[pending.request.class_index]
        if not retry_policy.may_retry(self.now_us, pending, result, mean_us):
            return False
        if backend := self.load_balancer.choose(self.now_us, pending):
            retry_policy.spend(result)
            self.actions.append(self.queue.forward(self.now_us, pending, backend))
            return True
        if pending.maybe_executed_on is None:
            self.queue.add(pending)
            return True
        return False

    def may_reject(self, pending: PendingRequest) -> bool:
        """Whether a retry by the client is safe at the latest time at which it is told to send one."""
        return idempotency.may_reject(pending, self.now_us + self.settings.max_retry_after_us)

    def give_up_if_late(self, pending: PendingRequest, is_waiting: bool) -> bool:
        """Give up a request that would be answered too late; return whether it is closed."""
        latency_us = self.attempts.mean_latency_us[pending.request.class_index]
        latency_us *= giving_up.required_latency_factor(is_waiting)
        if not pending.is_closed and giving_up.is_too_late(
            self.now_us, pending, latency_us, self.may_reject(pending)
        ):
            reason = EndReason.LATE
            if is_waiting and not pending.backends:
                reason = self.queue.waiting_reason(self.now_us, pending)
            self.give_up(pending, reason)
        return pending.is_closed

    def give_up(self, pending: PendingRequest, reason: EndReason) -> None:
        """Give the final answer: rejected if a retry is safe, otherwise failed."""
        self.ended[reason.value] += 1
        request_id = pending.request.request_id
        if self.may_reject(pending):
            self.actions.append(Reject(request_id, self.settings.max_retry_after_us))
        else:
            self.actions.append(FailRequest(request_id))
        self.close(pending)

    def close(self, pending: PendingRequest) -> None:
        """Close a request: return its quota if no attempt was made, and cancel its attempts in flight."""
        request_id = pending.request.request_id
        if not pending.is_closed:
            pending.is_closed = True
            if pending.is_within_quota and not pending.backends:
                self.customers.spend(self.now_us, pending.account, -pending.request.units)
            if self.settings.may_cancel and not pending.request_class.is_streamed:
                self.actions += [CancelAttempt(request_id, number) for number in pending.in_flight]
        if not pending.in_flight and request_id in self.attempts.pending:
            del self.attempts.pending[request_id]
            pending.account.pending_requests -= 1

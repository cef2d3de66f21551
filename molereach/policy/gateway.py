"""The order of steps: what a gateway does at each event, by what its parts say.

A request is admitted by its customer's quota, held until the cap, its ceiling and a server allow it, sent on,
and perhaps sent again; each gets one final answer. Events, actions and settings: molereach/policy/interface.
"""

import itertools
import random
import zlib
from bisect import insort
from collections.abc import Callable

from molereach.policy.admission import Admission
from molereach.policy.attempts import Attempts
from molereach.policy.backend_state import Server
from molereach.policy.customers import Customers
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
    EndpointListKind,
    EndpointListReceived,
    Event,
    GossipReceived,
    RequestReceived,
    ResponseStreamStarted,
    TimerExpired,
)
from molereach.policy.interface.protocols import CustomerLimits, LimitPolicy
from molereach.policy.interface.settings import Settings
from molereach.policy.load_balancing import Fleet
from molereach.policy.overload_control import Cap
from molereach.policy.pending_request import Job
from molereach.policy.time_units import NEVER_US, TICK_US

NEEDED_NEW, NEEDED_HELD = 0.5, 2.0  # mean latencies left: else all that is held would leave just too late
ENDS = ("quota", "ceiling", "cap", "server", "late", "attempts")  # why a request was given up on


class Gateway:
    """One gateway; `handle` is given each event in turn, and answers with the actions to carry out."""

    def __init__(self, settings: Settings, limits: LimitPolicy | None = None) -> None:
        self.set = settings
        self.random = random.Random(settings.seed)
        self.fleet = Fleet(settings, self.random)
        self.customers = Customers(settings, limits)
        self.held: list[tuple[float, int, Job]] = []  # highest worth first, then by arrival
        self.now, self.alarm_us, self.serial = 0, NEVER_US, itertools.count()
        self.admission = Admission(settings, self.random, self.customers, self.decide)
        self.words = self.admission.words
        self.cap, self.attempts = Cap(settings), Attempts(settings)
        self.ended = dict.fromkeys(ENDS, 0)  # requests given up on, by why
        self.actions: list[Action] = []
        self.on: dict[type, Callable[..., object]] = {
            RequestReceived: self.on_request,
            AttemptEnded: self.on_outcome,
            TimerExpired: self.on_tick,
            EndpointListReceived: self.on_list,
            GossipReceived: self.on_peer,
            ClientDisconnected: self.on_end,
            ResponseStreamStarted: self.on_end,
        }

    def handle(self, now_us: int, event: Event) -> list[Action]:
        self.now, self.actions = now_us, []
        limits, cap = self.customers.limits, self.cap
        if cap.period_us < 0:
            cap.period_us = self.customers.since_us = now_us
            if limits:
                limits.start(now_us)
        if act := self.on.get(type(event)):
            act(event)
        self.actions += self.words.leave(now_us)
        # An idle gateway wakes up only to end its periods.
        busy = self.held or self.words.waiting or self.attempts.jobs
        due = max(now_us + TICK_US, 0 if busy else min(cap.period_us + cap.cc_us, self.words.due_us))
        if limits:
            due = min(due, max(now_us + TICK_US, limits.next_due_us))
        if due < self.alarm_us:
            self.alarm_us = due
            self.actions.append(SetTimer(due - now_us, 0))
        return self.actions

    @property
    def limits(self) -> LimitPolicy | None:
        """What is consulted on limits; it may be handed in after the start, before the first event."""
        return self.customers.limits

    @limits.setter
    def limits(self, limits: LimitPolicy | None) -> None:
        self.customers.limits = limits

    def standing(
        self, customer: str, now_us: int
    ) -> list[tuple[int, float, float, float, float, float | None]]:
        """As `Customers.standing`."""
        return self.customers.standing(customer, now_us)

    def shares_held(self, customer: str, now_us: int) -> list[CustomerLimits]:
        """Shares of the customer's ceilings here, where shares move."""
        return self.limits.snapshot(zlib.crc32(customer.encode()), now_us) if self.limits else []

    def on_tick(self, _: TimerExpired) -> None:
        if self.now < self.alarm_us:
            return
        self.alarm_us = NEVER_US
        while self.now - self.cap.period_us >= self.cap.cc_us:
            self.end_period()
        self.admission.end_waits(self.now)
        self.held = [entry for entry in self.held if not self.expire(entry[2], NEEDED_HELD)]
        self.release()

    def on_request(self, req: RequestReceived) -> None:
        key = (zlib.crc32(req.customer.encode()), req.plan_index, req.set_first, req.set_size)
        customer = self.customers.get(self.now, key)
        rule = self.set.classes[req.class_index]
        gone_us = self.attempts.gone_us(req)
        job = self.attempts.jobs[req.request_id] = Job(req, rule, customer, self.now, gone_us)
        if not self.expire(job, NEEDED_NEW):  # some come with no time left: they cost no quota
            self.admission.admit(self.now, job)

    def on_list(self, news: EndpointListReceived) -> None:
        if self.set.must_subscribe and news.kind in (EndpointListKind.SAVED, EndpointListKind.FAILED):
            self.actions.append(SubscribeToEndpoints(True))
        self.fleet.learn(self.now, news)
        self.cap.gateways = self.fleet.sharers

    def on_peer(self, message: GossipReceived) -> None:
        self.admission.hear(self.now, message)

    def end_period(self) -> None:
        self.fleet.end_period(self.now, self.cap.to_send(), self.cap.cc_us)
        self.customers.forget(self.now)
        self.cap.end_period(self.fleet.rate, len(self.fleet.up), lambda: self.attempts.overdue(self.now))

    def release(self) -> None:
        cap, attempts, ready = self.cap, self.attempts, len(self.fleet.up)
        blocked, held = not cap.allows(self.now, attempts.out, ready), self.held
        if blocked or not held:
            return
        self.held = []
        for entry in held:
            job = entry[2]
            waits = job.over or (not job.servers and (blocked or not self.may_pass(job)))
            if server := None if waits else self.fleet.choose(self.now, job):
                self.send(job, server)
            elif not job.over:
                self.held.append(entry)  # where no server takes anything there is no need to look on
            blocked = blocked or not cap.allows(self.now, attempts.out, ready) or not (waits or server)

    def may_pass(self, job: Job) -> bool:
        return self.customers.below_ceiling(self.now, job.customer, job.req.units)

    def may_refuse(self, job: Job) -> bool:
        """Whether trying again is harmless at the time at which the client is told to come."""
        return job.may_refuse(self.now + self.set.max_retry_after_us)

    def expire(self, job: Job, means: float) -> bool:
        """A held request is ended in time: refused when its aim is out of reach, where that is allowed, and
        before half of its time is over while nothing of it has been sent."""
        needed = min(means * self.attempts.mean_us[job.req.class_index], job.rule.latency_objective_us / 2)
        late = self.may_refuse(job) and self.now + needed >= job.aim_us
        late = late or (job.unsent == len(job.servers) and self.now + TICK_US >= job.half_us)
        if not job.over and (late or self.now + 2 * TICK_US >= job.end_us):
            self.end(job, self.why_held(job) if means == NEEDED_HELD and not job.servers else "late")
        return job.over

    def why_held(self, job: Job) -> str:
        """What a request that was held until it was given up on waited for."""
        if not self.may_pass(job):
            return "ceiling"
        return "server" if self.cap.allows(self.now, self.attempts.out, len(self.fleet.up)) else "cap"

    def decide(self, job: Job, chance: float) -> None:
        """Draw whether a request is inside its quota; where it is, or is worth it, it may leave."""
        job.in_quota, plan = self.random.random() < chance, job.customer.plan
        if job.in_quota:
            self.customers.spend(self.now, job.customer, job.req.units)
        elif plan.over_quota_value <= plan.over_quota_cost or self.cap.n_past is not None:
            self.end(job, "quota")
            return
        self.cap.wanted += 1
        self.customers.want(self.now, job.customer, job.req.units)
        insort(self.held, (-job.worth, next(self.serial), job))
        self.release()

    def send(self, job: Job, server: Server) -> None:
        if not job.servers:
            self.cap.accepted += 1
            self.customers.pass_ceiling(self.now, job.customer, job.req.units)
        self.actions.append(self.attempts.begin(self.now, job, server))

    def again(self, job: Job, why: AttemptResult) -> bool:
        """Whether the request has a further attempt, or waits for one as nothing of it has run."""
        if not self.attempts.has_another(self.now, job, why):
            return False
        if server := self.fleet.choose(self.now, job):
            self.attempts.pay(why)
            self.send(job, server)
        elif job.ran_on is None:
            insort(self.held, (-job.worth, next(self.serial), job))
        return server is not None or job.ran_on is None

    def on_outcome(self, event: AttemptEnded) -> None:
        job = self.attempts.end(self.now, event)
        if job is None:
            return
        if (report := event.load_report) is not None:
            if report.cpu_utilization is not None:
                self.cap.signals["util"].append(report.cpu_utilization)
            self.fleet.hear_load(self.now, job.servers[event.attempt], report)
        if event.result in (AttemptResult.OK, AttemptResult.TIMEOUT):
            self.cap.signals["latency"].append(min(1.0, event.latency_us / job.rule.latency_objective_us))
        if event.is_request_closed or job.over:
            self.drop(job)
        elif not job.out and not self.again(job, event.result):
            self.end(job, "attempts")

    def end(self, job: Job, why: str) -> None:
        self.ended[why] += 1
        wait = self.set.max_retry_after_us
        self.actions.append(
            Reject(job.req.request_id, wait) if self.may_refuse(job) else FailRequest(job.req.request_id)
        )
        self.drop(job)

    def on_end(self, event: ClientDisconnected | ResponseStreamStarted) -> None:
        if job := self.attempts.jobs.get(event.request_id):
            self.drop(job)

    def drop(self, job: Job) -> None:
        if job.in_quota and not job.servers and not job.over:
            self.customers.spend(self.now, job.customer, -job.req.units)
        calls_off, job.over = self.set.may_cancel and not job.over and not job.rule.is_streamed, True
        self.actions += [CancelAttempt(job.req.request_id, number) for number in job.out if calls_off]
        if not job.out:
            self.attempts.jobs.pop(job.req.request_id, None)

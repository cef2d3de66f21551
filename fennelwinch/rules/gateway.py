"""The decisions of one gateway; its events, actions and settings are in fennelwinch/interface.py."""

import itertools
import random
import zlib
from bisect import insort
from collections.abc import Callable

from fennelwinch import interface as i
from fennelwinch.rules.admission import Admission
from fennelwinch.rules.cap import Cap
from fennelwinch.rules.customers import Customers
from fennelwinch.rules.fleet import Fleet
from fennelwinch.rules.job import Job
from fennelwinch.rules.server import Server
from fennelwinch.rules.times import NEVER, TICK_US

PATIENCE_STEPS = 200  # first tries by which the known patience of clients can rise by about its double
SMOOTH = 0.1  # weight of a new latency in a running mean
NEEDED_NEW, NEEDED_HELD = 0.5, 2.0  # mean latencies left: else all that is held would leave just too late
RETRY_SHARE, RETRY_STORE = 0.1, 8.0  # further attempts earned by a first one, and kept at most
ENDS = ("quota", "ceiling", "cap", "server", "late", "attempts")  # why a request was given up on


class Gateway:
    def __init__(self, settings: i.Settings, limits: i.Limits | None = None) -> None:
        self.set = settings
        self.random = random.Random(settings.seed)
        self.fleet = Fleet(settings, self.random)
        self.customers = Customers(settings, limits)
        self.jobs: dict[str, Job] = {}
        self.held: list[tuple[float, int, Job]] = []  # highest worth first, then by arrival
        self.now, self.alarm_us, self.serial = 0, NEVER, itertools.count()
        self.admission = Admission(settings, self.random, self.customers, self.decide)
        self.words = self.admission.words
        self.mean_us = [rule.aim_us / 4 for rule in settings.classes]
        self.patience_us = [0] * len(settings.classes)  # how long clients wait for their first tries
        self.retries = RETRY_STORE / 2
        self.cap, self.out = Cap(settings), 0  # attempts out
        self.ended = dict.fromkeys(ENDS, 0)  # requests given up on, by why
        self.actions: list[i.Action] = []
        self.on: dict[type, Callable[..., object]] = {
            i.Request: self.on_request, i.Outcome: self.on_outcome, i.Timer: self.on_tick,
            i.ServerList: self.on_list, i.PeerMessage: self.on_peer,
            i.ClientGone: self.on_end, i.StreamStarted: self.on_end,
        }

    def handle(self, now_us: int, event: i.Event) -> list[i.Action]:
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
        busy = self.held or self.words.waiting or self.jobs
        due = max(now_us + TICK_US, 0 if busy else cap.period_us + cap.cc_us)
        if limits:
            due = min(due, max(now_us + TICK_US, limits.wake_us))
        if due < self.alarm_us:
            self.alarm_us = due
            self.actions.append(i.SetTimer(due - now_us, 0))
        return self.actions

    def on_tick(self, _: i.Timer) -> None:
        if self.now < self.alarm_us:
            return
        self.alarm_us = NEVER
        while self.now - self.cap.period_us >= self.cap.cc_us:
            self.end_period()
        self.admission.end_waits(self.now)
        self.held = [entry for entry in self.held if not self.expire(entry[2], NEEDED_HELD)]
        self.release()

    def on_request(self, req: i.Request) -> None:
        key = (zlib.crc32(req.customer.encode()), req.plan_index, req.set_first, req.set_size)
        customer = self.customers.get(self.now, key)
        rule = self.set.classes[req.class_index]
        job = self.jobs[req.id] = Job(req, rule, customer, self.now, self.gone_us(req))
        if not self.expire(job, NEEDED_NEW):  # some come with no time left: they cost no quota
            self.admission.admit(self.now, job)

    def gone_us(self, req: i.Request) -> int:
        """How long ago the client first asked, at least: a retry has that much less of its time left.

        What a retry would be served after the aim is worth nothing, and takes its customer's quota.
        """
        known, rule = self.patience_us[req.class_index], self.set.classes[req.class_index]
        if rule.late_worth:
            return 0
        if req.is_repeat:
            return max(0, known - req.left_us)
        # The least of late, as clients may differ; it recovers should they wait for longer from now on.
        longer = known + known // PATIENCE_STEPS + 1 if known else req.left_us
        self.patience_us[req.class_index] = min(req.left_us, longer)
        return 0

    def on_list(self, news: i.ServerList) -> None:
        if self.set.must_subscribe and news.kind in (i.ListKind.SAVED, i.ListKind.FAILED):
            self.actions.append(i.Subscribe(True))
        self.fleet.learn(self.now, news)

    def end_period(self) -> None:
        self.fleet.end_period(self.now, self.cap.to_send(), self.cap.cc_us)
        self.customers.forget(self.now)
        self.cap.end_period(self.fleet.rate, len(self.fleet.up), self.overdue)

    def overdue(self) -> list[float]:
        """The ages of attempts that are out for longer than usual, as parts of their aims."""
        return [min(1.0, (self.now - sent) / job.rule.aim_us) for job in self.jobs.values()
                for sent in job.out.values() if self.now - sent > self.mean_us[job.req.class_index]]

    def release(self) -> None:
        cap, ready = self.cap, len(self.fleet.up)
        blocked, held = not cap.allows(self.now, self.out, ready), self.held
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
            blocked = blocked or not cap.allows(self.now, self.out, ready) or not (waits or server)

    def may_pass(self, job: Job) -> bool:
        return self.customers.below_ceiling(self.now, job.customer, job.req.units)

    def expire(self, job: Job, means: float) -> bool:
        """A held request is ended in time: refused when its aim is out of reach, where that is allowed, and
        before half of its time is over while nothing of it has been sent."""
        needed = min(means * self.mean_us[job.req.class_index], job.rule.aim_us / 2)
        late = job.may_refuse() and self.now + needed >= job.aim_us
        late = late or (job.unsent == len(job.servers) and self.now + TICK_US >= job.half_us)
        if not job.over and (late or self.now + 2 * TICK_US >= job.end_us):
            self.end(job, self.why_held(job) if means == NEEDED_HELD and not job.servers else "late")
        return job.over

    def why_held(self, job: Job) -> str:
        """What a request that was held until it was given up on waited for."""
        if not self.may_pass(job):
            return "ceiling"
        return "server" if self.cap.allows(self.now, self.out, len(self.fleet.up)) else "cap"

    @property
    def limits(self) -> i.Limits | None:
        """What is consulted on limits; it may be handed in after the start, before the first event."""
        return self.customers.limits

    @limits.setter
    def limits(self, limits: i.Limits | None) -> None:
        self.customers.limits = limits

    def standing(
        self, customer: str, now_us: int
    ) -> list[tuple[int, float, float, float, float, float | None]]:
        """As `Customers.standing`."""
        return self.customers.standing(customer, now_us)

    def shares_held(self, customer: str, now_us: int) -> list[i.Held]:
        """Shares of the customer's ceilings here, where shares move."""
        return self.limits.held(zlib.crc32(customer.encode()), now_us) if self.limits else []

    def decide(self, job: Job, chance: float) -> None:
        """Draw whether a request is inside its quota; where it is, or is worth it, it may leave."""
        job.in_quota, plan = self.random.random() < chance, job.customer.plan
        if job.in_quota:
            self.customers.spend(self.now, job.customer, job.req.units)
        elif plan.over_worth <= plan.over_cost or self.cap.n_past is not None:
            self.end(job, "quota")
            return
        self.cap.wanted += 1
        self.customers.want(self.now, job.customer, job.req.units)
        insort(self.held, (-job.worth, next(self.serial), job))
        self.release()

    def on_peer(self, message: i.PeerMessage) -> None:
        self.admission.hear(self.now, message)

    def send(self, job: Job, server: Server) -> None:
        if not (number := len(job.servers)):
            self.cap.accepted += 1
            self.retries = min(RETRY_STORE, self.retries + RETRY_SHARE)
            self.customers.pass_ceiling(self.now, job.customer, job.req.units)
        job.servers.append(server)
        server.kept = server.kept - 1 if server.is_kept(self.now, self.set.keep_us) else 0
        job.out[number] = server.out[(job.req.id, number)] = self.now
        job.customer.out, self.out = job.customer.out + 1, self.out + 1
        server.sent_us, server.credit = self.now, 0.0
        if job.ran_on is None:
            job.ran_on, job.ran_us = server, self.now
        self.actions.append(i.Send(job.req.id, server.entry.name, self.time_out(job)))

    def time_out(self, job: Job) -> int:
        """A repeatable attempt is given up while another can still meet the aim."""
        left, mean = job.end_us - self.now, self.mean_us[job.req.class_index]
        early = round(job.aim_us - self.now - 2 * mean)
        last = job.rule.effect is i.Effect.UNSAFE or len(job.servers) >= self.set.max_attempts
        return max(1, left if last or early < 2 * mean else min(left, early))

    def again(self, job: Job, why: i.Result) -> bool:
        """Further attempts live on a small share of first ones, so that they cannot feed an overload."""
        costs = why is not i.Result.CONNECT_FAILED
        late = why is i.Result.MOOT or self.now + self.mean_us[job.req.class_index] / 2 >= job.end_us
        if late or len(job.servers) >= self.set.max_attempts or (costs and self.retries < 1):
            return False
        if server := self.fleet.choose(self.now, job):
            self.retries -= costs
            self.send(job, server)
        elif job.ran_on is None:
            insort(self.held, (-job.worth, next(self.serial), job))
        return server is not None or job.ran_on is None

    def on_outcome(self, event: i.Outcome) -> None:
        job = self.jobs.get(event.id)
        if job is None or event.attempt not in job.out:
            return
        server, job.customer.out, self.out = job.servers[event.attempt], job.customer.out - 1, self.out - 1
        del job.out[event.attempt], server.out[(event.id, event.attempt)]
        self.learn(job, server, event)
        if event.result in (i.Result.OK, i.Result.ERROR, i.Result.FULL):
            server.kept, server.kept_at = server.kept + 1, self.now
        job.unsent += event.result in (i.Result.CONNECT_FAILED, i.Result.MOOT)
        job.unrun += event.result in (i.Result.FULL, i.Result.CONNECT_FAILED, i.Result.MOOT)
        job.ran_on = None if job.unrun == len(job.servers) else job.ran_on
        if event.over or job.over:
            self.drop(job)
        elif not job.out and not self.again(job, event.result):
            self.end(job, "attempts")

    def learn(self, job: Job, server: Server, event: i.Outcome) -> None:
        index, result, took = job.req.class_index, event.result, event.latency_us
        if event.report is not None:
            self.cap.signals["util"] += [event.report.util] if event.report.util is not None else []
            self.fleet.hear_load(self.now, server, event.report)
        if result is i.Result.OK:
            server.heard_us = self.now
            ratio = min(4.0, max(0.25, took / max(1.0, self.mean_us[index])))  # one outlier counts for little
            server.slowness += SMOOTH * (ratio - server.slowness)
            self.mean_us[index] += SMOOTH * (took - self.mean_us[index])
            if self.set.trued_up and event.true_units and job.in_quota:
                job.customer.spend(event.true_units - job.req.units)
        if result in (i.Result.OK, i.Result.TIMEOUT):
            self.cap.signals["latency"].append(min(1.0, took / job.rule.aim_us))
        server.note_end(self.now, result, took, self.set.warm_within_us)

    def end(self, job: Job, why: str) -> None:
        self.ended[why] += 1
        wait = self.set.max_retry_after_us
        self.actions.append(i.Refuse(job.req.id, wait) if job.may_refuse() else i.Fail(job.req.id))
        self.drop(job)

    def on_end(self, event: i.ClientGone | i.StreamStarted) -> None:
        if event.id in self.jobs:
            self.drop(self.jobs[event.id])

    def drop(self, job: Job) -> None:
        if job.in_quota and not job.servers and not job.over:
            self.customers.spend(self.now, job.customer, -job.req.units)
        calls_off, job.over = self.set.may_cancel and not job.over and not job.rule.streamed, True
        self.actions += [i.Cancel(job.req.id, number) for number in job.out if calls_off]
        if not job.out:
            self.jobs.pop(job.req.id, None)

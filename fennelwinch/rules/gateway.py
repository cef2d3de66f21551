"""The decisions of one gateway; its events, actions and settings are in fennelwinch/interface.py."""

import itertools
import random
import zlib
from bisect import insort
from collections.abc import Callable

from fennelwinch import interface as i
from fennelwinch.rules.cap import Cap
from fennelwinch.rules.customers import SILENT_US, Customers
from fennelwinch.rules.fleet import Fleet
from fennelwinch.rules.job import Job
from fennelwinch.rules.server import Server
from fennelwinch.rules.store import DEMAND_US, GRANT_US, WORD_FRESH_US, Customer
from fennelwinch.rules.times import NEVER, TICK_US, S

# The wait for word from home, its part of the aim, and how often it is asked.
ASK_US, ASK_PART, ASKS = 160_000, 3, 3
ASK_AGAIN_US = 300_000  # a peer that is silent is asked again
MARK_US, MARKED_US = 3 * S, 10 * S  # how often a peer is told that this is kept to; older ones speak without
SPACE_US = 80_000  # between words to one peer, at most
ASK_SHARE = 0.5  # part of a gateway's intake that the asks for one customer may take
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
        self.unanswered: dict[int, int] = {}  # by peer: the first ask without a word since
        self.asked_us: dict[int, int] = {}  # by peer: the last ask
        self.marked_us: dict[int, int] = {}  # when each peer was told that ceilings are split here,
        self.marks_us: dict[int, int] = {}  # when it last said so,
        self.heard_us: dict[int, int] = {}  # and when it last said anything
        self.waits: list[Job] = []  # those that wait for word
        self.words: dict[int, list[i.Word | i.LimitWord]] = {}  # for each peer
        self.told_us: dict[int, int] = {}  # when words last left for it
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
        if self.cap.period_us < 0:
            self.cap.period_us = self.customers.since_us = now_us
            if self.limits:
                self.limits.start(now_us)
        if act := self.on.get(type(event)):
            act(event)
        self.send_words()
        busy = self.held or self.words or self.jobs  # an idle gateway wakes up only to end its periods
        due = max(now_us + TICK_US, 0 if busy else self.cap.period_us + self.cap.cc_us)
        if self.limits:
            due = min(due, max(now_us + TICK_US, self.limits.wake_us))
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
        self.end_waits()
        self.held = [entry for entry in self.held if not self.expire(entry[2], NEEDED_HELD)]
        self.release()

    def on_request(self, req: i.Request) -> None:
        key = (zlib.crc32(req.customer.encode()), req.plan_index, req.set_first, req.set_size)
        customer = self.customers.get(self.now, key)
        rule = self.set.classes[req.class_index]
        job = self.jobs[req.id] = Job(req, rule, customer, self.now, self.gone_us(req))
        if not self.expire(job, NEEDED_NEW):  # some come with no time left: they cost no quota
            self.admit(job)

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

    def admit(self, job: Job) -> None:
        """The part while it lasts; else the chance rule, with word from the home where that is elsewhere."""
        customer, units, home = job.customer, job.req.units, job.customer.home
        customer.own, customer.untold = customer.own + units, customer.untold + units
        most = ASK_SHARE * self.set.peer_messages_per_s * DEMAND_US / S  # past this the last word must do
        heard = self.now - customer.heard_us < WORD_FRESH_US and self.random.random() * customer.demand > most
        if not customer.plan.max_out and customer.part >= units and not customer.is_short(units):
            self.decide(job, 1.0)
            self.tell(home, customer, 0.0)
        elif home == self.set.me or heard or self.is_silent(home) or not customer.plan.rate:
            if home == self.set.me and customer.is_short(units) and self.give(customer, units):
                customer.take_given(self.now, self.now + GRANT_US, units)
            self.decide(job, customer.chance(units))
        else:
            self.ask(job)

    def give(self, customer: Customer, units: float) -> bool:
        """At the home: give out units of the ceiling that are its own. Those that are not used are lost.

        Its share is what the gateways of the set leave: all but those that speak and do not say so. One that
        has not been heard since this start has spent nothing that it had to tell.
        """
        _, _, first, size = customer.key
        members = ((first + n) % self.set.gateways for n in range(size))
        leave = sum(map(self.leaves, members))
        customer.pooled = (1 - customer.split) * leave / size
        customer.pool = min(customer.pool, customer.most_pooled)
        if customer.pool < units or customer.level < units:  # what the quota refuses would be lost
            return False
        customer.pool -= units
        return True

    def leaves(self, member: int) -> bool:
        """Whether it keeps to the smaller share of ceilings, as far as is known: an older version speaks, and
        does not say so."""
        heard, said = self.heard_us.get(member), self.marks_us.get(member)
        return heard is None or (said is not None and heard - said < MARKED_US)

    def is_silent(self, peer: int) -> bool:
        """It has answered no ask for long, as one that restarts: waiting for it would cost the aim. Now and
        then it is asked all the same."""
        if self.now - self.unanswered.get(peer, self.now) <= SILENT_US:
            return False
        return self.now - self.asked_us.get(peer, 0) < ASK_AGAIN_US

    def ask(self, job: Job) -> None:
        job.asked_us = self.now
        self.unanswered.setdefault(job.customer.home, self.now)
        self.asked_us[job.customer.home] = self.now
        job.customer.asked_us = min(job.customer.asked_us, self.now)
        wait, job.asks = min(ASK_US, job.rule.aim_us // ASK_PART), job.asks + 1
        job.decide_us = min(self.now + wait, job.end_us - 4 * TICK_US, job.half_us - 2 * TICK_US)
        self.waits.append(job)
        self.tell(job.customer.home, job.customer, job.req.units)

    def decide(self, job: Job, chance: float) -> None:
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

    def end_waits(
        self, told: Customer | None = None, granted: bool = False, inside: bool | None = None
    ) -> None:
        """Decide on those that wait for word: theirs has come, or what is known here must do."""
        ready = [job for job in self.waits if job.customer is told][:1]
        ready += [job for job in self.waits if job.decide_us <= self.now and job not in ready]
        self.waits = [job for job in self.waits if job not in ready]
        for job in [job for job in ready if not job.over]:
            last = min(job.end_us - 4 * TICK_US, job.half_us - 2 * TICK_US)
            if told is None and job.asks < ASKS and self.now + ASK_US < last:
                self.ask(job)  # words may be lost
                continue
            if granted and job.customer is told:
                job.customer.take_given(self.now, job.asked_us + GRANT_US, job.req.units)
            chance = job.customer.chance(job.req.units)
            # As much the home has counted already, each time that it was asked; not where it has totals.
            counted = chance * job.asks
            if inside is not None and job.customer is told:
                counted, chance = inside + chance * (job.asks - 1), float(inside)
            job.customer.spent -= 0 if self.limits else job.req.units * counted
            self.decide(job, chance)

    def tell(
        self, peer: int, customer: Customer, asked: float, inside: bool | None = None
    ) -> None:
        """A word to the home of what was asked and spent, or the home's answer with what it knows."""
        answer = customer.home == self.set.me
        demand = customer.demand if answer else customer.untold
        wanted = answer and asked > 0 and inside is not False and customer.plan.ceiling_rate > 0
        granted = wanted and self.give(customer, asked)
        word = i.Word(*customer.key, answer, demand, customer.spent, asked, customer.level, granted, inside)
        if peer != self.set.me:
            self.words.setdefault(peer, []).append(word)
        customer.untold = customer.spent = 0.0

    def send_words(self) -> None:
        """Words leave at once, but in a small set spaced so that all peers together take half an intake."""
        for peer, word in self.limits.due(self.now) if self.limits else ():
            self.words.setdefault(peer, []).extend([word] if word else [])
        space = min(SPACE_US, 2 * S * (self.set.gateways - 1) / max(1, self.set.peer_messages_per_s))
        for peer in [peer for peer in self.words if self.now - self.told_us.get(peer, -S) >= space]:
            self.told_us[peer] = self.now
            if self.customers.splits() and self.now - self.marked_us.get(peer, -MARK_US) >= MARK_US:
                self.marked_us[peer] = self.now
                self.words[peer].append(i.Word(0, i.SPLIT_MARK, 0, 0))
            self.actions.append(i.Tell(peer, tuple(self.words.pop(peer))))
            if self.limits:
                self.limits.told(self.now, peer)

    def on_peer(self, message: i.PeerMessage) -> None:
        """The home adds up what its set asks and spends, or takes over at its start, and answers."""
        self.unanswered.pop(message.sender, None)
        self.heard_us[message.sender] = self.now
        if self.limits:
            self.limits.hear(self.now, message)
        for word in message.words:
            if not isinstance(word, i.Word):
                if self.limits and isinstance(word, i.Total) and self.in_my_set(word.key):
                    self.customers.take_total(self.now, message.sender, word)
                continue
            if word.plan_index == i.SPLIT_MARK:
                self.marks_us[message.sender] = self.now
            key = (word.customer, word.plan_index, word.set_first, word.set_size)
            if not self.in_my_set(key):
                continue
            new, customer = key not in self.customers.known, self.customers.get(self.now, key)
            if word.is_answer:
                customer.heard_us, customer.level, customer.asked_us = self.now, word.level, NEVER
                customer.others = max(0.0, word.demand - customer.own)
                customer.part = min(customer.part, max(0.0, word.level / customer.size))
                self.end_waits(customer if word.asked else None, word.granted, word.inside)
            elif customer.home == self.set.me:
                customer.level = min(customer.level, word.level) if new else customer.level
                customer.others += word.demand
                counted = self.limits is not None and self.limits.counts(message.sender)
                customer.spend(0.0 if counted else word.spent)
                # The chance is drawn here, where it is counted: were its mean counted, and what came of it
                # told with the asker's next word, the store would be wrong until then.
                inside = self.random.random() < customer.chance(word.asked) if word.asked else None
                if word.asked or customer.level < customer.plan.burst / 2:
                    self.tell(message.sender, customer, word.asked, inside)
                customer.spend(0.0 if counted or not inside else word.asked)

    def in_my_set(self, key: i.Key) -> bool:
        _, plan, first, size = key
        known = plan < len(self.set.plans) and first < self.set.gateways and 0 < size <= self.set.gateways
        return known and (self.set.me - first) % self.set.gateways < size

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

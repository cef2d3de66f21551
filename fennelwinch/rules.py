"""The decisions of one gateway; its events, actions and settings are in fennelwinch/interface.py."""

import itertools
import math
import random
import zlib
from bisect import insort
from collections.abc import Callable

from fennelwinch import interface as i

S, NEVER = 1_000_000, 1 << 62  # microseconds in a second; a time that does not come

TICK_US = 20_000  # how often held requests and words are looked at: well under any aim
FAIR_N, MOST_PERIODS = 10, 2  # control period and OPPUI: 1 or 2 s, for a fair-sized N
MAX_INCREASE, MAX_DECREASE = 0.2, 0.1  # the largest step of N in a second, against noise
ADDL_DECREMENT, MIN_FRACTION_CALLS = 0.1, 0.75  # extra step at occ_too_high; part of N that counts as low
# max_occup, occ_too_high, min_occup: reports of busy cores are late; a mean at half the aim has a tail.
TARGETS = {"util": (0.92, 0.97, 0.75), "latency": (0.5, 0.7, 0.35)}
# For each ready server, by all gateways: attempts a second when the cap engages, and out at once ever.
START_PER_SERVER, LEAST_OUT = 8, 2  # the second: for one gateway in any case
USUAL_AIM_US = 1.5 * S  # what the figures for a second are meant for: where aims are shorter, all goes faster
DEMAND_US = 0.1 * S  # ageing of demand: short, as the level of the store carries the longer memory
SMALL_STORE_US = 0.5 * S  # of its rate, that a store which holds no whole request may owe
# The wait for word from home, its part of the aim, and how often it is asked; how long a word holds.
ASK_US, ASK_PART, ASKS, WORD_FRESH_US = 160_000, 3, 3, S
SILENT_US, ASK_AGAIN_US = 500_000, 300_000  # a peer is silent that answers no ask for so long; asked again
# Of a ceiling whose parts would hold fewer units than the first: the share that is split over the set. The
# rest is its home's, which gives it out with its words; for how long after the ask such units may be used.
SMALL_PART, SPLIT_SHARE, GRANT_US = 4, 0.5, 300_000
MARK_US, MARKED_US = 3 * S, 10 * S  # how often a peer is told that this is kept to; older ones speak without
LEAST_KEPT_US = 10 * S  # for which a customer is remembered in any case
SPACE_US = 80_000  # between words to one peer, at most
ASK_SHARE = 0.5  # part of a gateway's intake that the asks for one customer may take
PATIENCE_STEPS = 200  # first tries by which the known patience of clients can rise by about its double
SMOOTH, RATE_SMOOTH = 0.1, 0.3  # weight of a new latency, and of a period's sends, in a running mean
KEPT_CHOICES, HANDSHAKE_WEIGHT = 6, 10  # of these, with a connection that rests; cost of a new one
CHOICES = 8  # servers looked at for one attempt: many gateways that all take the emptiest would flood it
SUSPECT_AT = 1.7  # two failures running, or a mix with more failures than answers
BROKEN_PART = 0.5  # of a failure: how much a spoilt answer or a reset counts
SUSPECT_US, SUSPECT_MAX_US = S, 8 * S  # the first and the longest time without a trial
AVOID_US = 300_000  # a server that turned a request away is full for about a service time
REPORT_FRESH_US = 1.5 * S  # a load report older than this says nothing
NEEDED_NEW, NEEDED_HELD = 0.5, 2.0  # mean latencies left: else all that is held would leave just too late
RETRY_SHARE, RETRY_STORE = 0.1, 8.0  # further attempts earned by a first one, and kept at most
ENDS = ("quota", "ceiling", "cap", "server", "late", "attempts")  # why a request was given up on


class _Server:
    def __init__(self, entry: i.Server) -> None:
        self.entry = entry
        self.out: dict[tuple[str, int], int] = {}  # attempts out and when each was sent
        self.heard_us = self.avoid_until = self.sent_us = self.backoff_us = 0
        self.credit = 1.0  # of a request that it may be sent while cold, as of `sent_us`
        self.slowness, self.fails = 1.0, 0.0  # latency over the mean of its class; failures of late
        self.on_trial, self.load_at = False, 0
        self.kept = self.kept_at = 0  # connections that rest there, and since when the last does
        self.load: float | None = None
        self.warm_from = entry.started_us  # start of its ramp: its start, or its return from suspicion


class _Customer:
    """A customer's part of quota and ceiling here, and what is known of its whole set: all, at its home."""

    __slots__ = ("asked_us", "at", "ceiling", "given", "heard_us", "home", "key", "level", "others", "out",
                 "own", "part", "plan", "pool", "pooled", "reach", "size", "spent", "split", "untold")

    def __init__(
        self, plan: i.Plan, key: tuple[int, int, int, int], set_: i.Settings, now: int, since: int,
        split: bool = False,
    ) -> None:
        self.plan, self.key, self.size, self.at = plan, key, key[3], now
        self.home = (key[2] + key[0] % self.size) % set_.gateways if set_.may_tell else set_.me
        self.part, self.level = plan.burst / self.size, plan.burst
        self.own, self.others = 0.0, 0.0  # aged demand, here and at the others of the set
        # Empty at the gateway's start, as a restart looks like a first one; it fills from then on.
        self.split = SPLIT_SHARE if split else 1.0
        filled = plan.ceiling_rate * (now - since) / S
        self.ceiling = min(plan.ceiling_burst, filled) * self.split / self.size
        self.given: list[tuple[int, float]] = []  # units of its home's that came here: until when, how many
        self.pooled = 1.0 - self.split  # at the home: its share of the ceiling, and a store for the whole set
        self.pool = min(self.most_pooled, filled * self.pooled)
        self.heard_us, self.out = -NEVER, 0
        self.untold = self.spent = 0.0  # demand and spending that the home has not been told of
        self.reach = 1.0  # the part of the quota that may be spent on this side of a split
        self.asked_us = NEVER  # the first ask that its home has not answered

    def refill(self, now: int) -> "_Customer":
        """Refill the parts. Others' demand and the level stay as told while that is fresh, as others go on
        asking; after that, as when the home has gone, they are what may be by now."""
        took, plan, part, self.at = (now - self.at) / S, self.plan, 1 / self.size, now
        share = part * self.split
        self.ceiling = min(plan.ceiling_burst * share, self.ceiling + plan.ceiling_rate * took * share)
        self.pool = min(self.most_pooled, self.pool + plan.ceiling_rate * took * self.pooled)
        aged = math.exp(-took * S / DEMAND_US)
        self.own *= aged
        if now - self.heard_us > WORD_FRESH_US:
            self.level = min(plan.burst * self.reach, self.level + plan.rate * self.reach * took)
            self.others *= aged
        self.part = min(plan.burst * part, self.part + plan.rate * took * part, max(0.0, self.level))
        return self

    @property
    def most_pooled(self) -> float:
        """What the home's store holds: less what may still be used of units that it has given out."""
        return max(0.0, self.plan.ceiling_burst - self.plan.ceiling_rate * GRANT_US / S) * self.pooled

    @property
    def demand(self) -> float:
        """That of the whole set, as far as it is known."""
        return self.own + self.others

    def chance(self, units: float) -> float:
        """Quota over summed demand: of what the set has left, as the home counts it, and of late asked."""
        if self.plan.max_out and self.out >= max(1, self.plan.max_out // self.size):
            return 0.0
        # A store that does not hold the whole of a request serves none of it: what is sent on then is beyond.
        if self.plan.burst * self.reach < units:  # never, by its size: then it may owe some
            quota = self.level + self.plan.rate * self.reach * SMALL_STORE_US / S
        else:
            quota = self.level if self.level >= units else 0.0
        return max(0.0, min(1.0, quota / max(units, self.demand))) if self.plan.rate else 1.0

    def has_given(self, now: int, units: float) -> bool:
        self.given = [(until, left) for until, left in self.given if now <= until]
        return any(left >= units for _, left in self.given)

    def take_given(self, now: int, until: int, units: float) -> None:
        self.has_given(now, units)  # those that are over go, whether or not any request asks for them
        self.given.append((until, units))

    def pass_ceiling(self, now: int, units: float) -> None:
        """Units are sent on: the home's first, as they do not keep."""
        if self.has_given(now, units):
            self.given.remove(next(entry for entry in self.given if entry[1] >= units))
        else:
            self.ceiling -= units

    def spend(self, units: float) -> None:
        small = self.plan.burst * self.reach < 1
        owes_us = SMALL_STORE_US if small else DEMAND_US  # for no longer
        least = -self.plan.rate * self.reach * owes_us / S
        self.level = max(self.level - units, least)


class _Job:
    def __init__(
        self, req: i.Request, rule: i.RequestClass, customer: _Customer, now: int, gone_us: int
    ) -> None:
        """`gone_us` is how long ago the client's first try was: a retry's aim counts from there."""
        self.req, self.rule, self.customer = req, rule, customer
        self.worth = rule.worth * customer.plan.worth_factor * req.units
        self.end_us = now + req.left_us
        self.aim_us = min(now + rule.aim_us - gone_us, self.end_us)
        self.half_us = now + req.left_us // 2  # a refusal after that, with nothing sent whole, comes too late
        self.servers: list[_Server] = []  # of its attempts, in order
        self.out: dict[int, int] = {}  # attempts out and when each was sent
        self.ran_on: _Server | None = None  # where it may first have run, and since when
        self.over, self.in_quota, self.ran_us, self.unrun = False, False, 0, 0  # unrun: proven so
        self.unsent = 0  # attempts that never came whole to a server
        self.decide_us, self.asks = NEVER, 0  # until when it waits for word of its quota
        self.asked_us = 0  # its last ask

    def may_refuse(self) -> bool:
        keyed_ok = self.rule.effect is i.Effect.KEYED and self.rule.group is i.Group.ALL
        return self.ran_on is None or self.rule.effect is i.Effect.SAFE or keyed_ok


class Gateway:
    def __init__(self, settings: i.Settings, limits: i.Limits | None = None) -> None:
        self.set, self.limits = settings, limits
        self.random = random.Random(settings.seed)
        self.servers: dict[str, _Server] = {}
        self.up: list[_Server] = []  # those that may be sent new work
        self.customers: dict[tuple[int, int, int, int], _Customer] = {}  # the one seen last at the end
        self.sets: dict[tuple[int, int], tuple[int, int, int, int]] = {}  # under which a customer came first
        self.jobs: dict[str, _Job] = {}
        self.held: list[tuple[float, int, _Job]] = []  # highest worth first, then by arrival
        self.now, self.period_us, self.alarm_us, self.serial = 0, -1, NEVER, itertools.count()
        self.since_us, self.forget_us = 0, max(LEAST_KEPT_US, *map(full_again_us, settings.plans))
        self.unanswered: dict[int, int] = {}  # by peer: the first ask without a word since
        self.asked_us: dict[int, int] = {}  # by peer: the last ask
        self.ceilings = any(plan.ceiling_rate for plan in settings.plans)
        self.marked_us: dict[int, int] = {}  # when each peer was told that ceilings are split here,
        self.marks_us: dict[int, int] = {}  # when it last said so,
        self.heard_us: dict[int, int] = {}  # and when it last said anything
        self.waits: list[_Job] = []  # those that wait for word
        self.words: dict[int, list[i.Word | i.LimitWord]] = {}  # for each peer
        self.told_us: dict[int, int] = {}  # when words last left for it
        self.mean_us = [rule.aim_us / 4 for rule in settings.classes]
        aims = [rule.aim_us for rule in settings.classes]
        self.second = round(S * min(1.0, sum(aims) / max(1, len(aims)) / USUAL_AIM_US))  # of this deployment
        self.patience_us = [0] * len(settings.classes)  # how long clients wait for their first tries
        self.retries = RETRY_STORE / 2
        self.n_past: int | None = None  # no N: the cap is lifted
        self.overhead, self.accepted, self.out, self.cc_us = 1.0, 0, 0, self.second  # accepted: this period
        self.signals: dict[str, list[float]] = {"util": [], "latency": []}
        self.warm = 0.0  # servers' worth of capacity that is up, where a cold one counts for its part
        self.rate, self.mean_load = 0.0, 0.0  # first attempts a second; load of the servers, as they say
        self.wanted = 0  # requests let through by their quotas in this period
        self.ended = dict.fromkeys(ENDS, 0)  # requests given up on, by why
        self.actions: list[i.Action] = []
        self.on: dict[type, Callable[..., object]] = {
            i.Request: self.on_request, i.Outcome: self.on_outcome, i.Timer: self.on_tick,
            i.ServerList: self.on_list, i.PeerMessage: self.on_peer,
            i.ClientGone: self.on_end, i.StreamStarted: self.on_end,
        }

    def handle(self, now_us: int, event: i.Event) -> list[i.Action]:
        self.now, self.actions = now_us, []
        if self.period_us < 0:
            self.period_us = self.since_us = now_us
            if self.limits:
                self.limits.start(now_us)
        if act := self.on.get(type(event)):
            act(event)
        self.send_words()
        busy = self.held or self.words or self.jobs  # an idle gateway wakes up only to end its periods
        due = max(now_us + TICK_US, 0 if busy else self.period_us + self.cc_us)
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
        while self.now - self.period_us >= self.cc_us:
            self.end_period()
        self.end_waits()
        self.held = [entry for entry in self.held if not self.expire(entry[2], NEEDED_HELD)]
        self.release()

    def on_request(self, req: i.Request) -> None:
        key = (zlib.crc32(req.customer.encode()), req.plan_index, req.set_first, req.set_size)
        customer = self.customer(key)
        rule = self.set.classes[req.class_index]
        job = self.jobs[req.id] = _Job(req, rule, customer, self.now, self.gone_us(req))
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
        named = {entry.name for entry in news.servers}
        part = news.kind in (i.ListKind.CHANGES, i.ListKind.FAILED)  # after a failure the old list holds
        self.servers = {name: known for name, known in self.servers.items() if part or name in named}
        for entry in news.servers:
            known = self.servers.get(entry.name)
            if known is None or known.entry.started_us != entry.started_us:
                known = self.servers[entry.name] = _Server(entry)
                if self.warmth(known) < 1:  # all gateways hear of it at once: each has its own time to begin
                    known.sent_us, known.credit = self.now, self.random.random()
            known.entry = entry
            if entry.state is i.ServerState.GONE:  # its id does not come again
                del self.servers[entry.name]
        self.up = [server for server in self.servers.values() if server.entry.state is i.ServerState.UP]
        self.warm = sum(map(self.warmth, self.up))

    # --- the cap: Dynamic Processor Overload Control, section 2 of the paper ---

    def end_period(self) -> None:
        self.period_us += self.cc_us
        for server in self.servers.values():  # a slow one that is sent nothing must get its chance again
            server.slowness += SMOOTH * (1 - server.slowness)
        # What was to be sent, not what was: a fleet of cold servers, each spaced by this rate, would never
        # be sent more than before.
        sent = max(self.accepted, self.wanted if self.n_past is None else min(self.wanted, self.n_past))
        self.rate += (RATE_SMOOTH if self.rate else 1) * (sent * S / self.cc_us - self.rate)
        self.wanted, self.warm = 0, sum(map(self.warmth, self.up))
        self.forget_customers()
        self.update_cap(self.accepted)
        was, most = self.cc_us, min(MOST_PERIODS, round(FAIR_N / max(1.0, self.rate * self.second / S)))
        self.cc_us = self.second * max(1, most)
        self.n_past = None if self.n_past is None else max(1, self.n_past * self.cc_us // was)
        self.accepted = 0

    def forget_customers(self) -> None:
        """One whose stores are full again is as good as new; those that came only once would never end."""
        while self.customers:
            key, oldest = next(iter(self.customers.items()))
            if oldest.out or self.now - oldest.at <= self.forget_us:
                return
            del self.customers[key]
            if self.sets.get(key[:2]) == key:
                del self.sets[key[:2]]

    def update_cap(self, na_past: float) -> None:
        """The paper's update. A cap in full use is not lifted: that floods servers that have just drained."""
        kind = "util" if self.signals["util"] else "latency"
        samples, targets = self.signals[kind], TARGETS[kind]
        self.signals = {"util": [], "latency": []}
        if kind == "latency":  # a jam answers nobody: what is out and overdue counts with its age so far
            samples += [min(1.0, (self.now - sent) / job.rule.aim_us) for job in self.jobs.values()
                        for sent in job.out.values() if self.now - sent > self.mean_us[job.req.class_index]]
        if not samples:
            return
        occup, was = min(1.0, sum(samples) / len(samples)), self.n_past
        if occup < targets[2] and (was is None or na_past < MIN_FRACTION_CALLS * was):
            self.overhead, self.n_past = min(self.overhead, occup), None
        elif was is None:
            start = START_PER_SERVER * len(self.up) * self.cc_us // self.second
            self.n_past = max(1, start // self.set.gateways)
        else:
            seconds, overhead = self.cc_us / self.second, min(self.overhead, targets[2] / 2)
            self.n_past = next_n(was, na_past, occup, overhead, targets, seconds)

    def allowance(self) -> bool:
        part = min(1.0, (self.now - self.period_us + TICK_US) / self.cc_us)
        # Servers that hold too much may not come back for long: what is out is bounded, cap or no cap.
        free = self.out < max(LEAST_OUT, START_PER_SERVER * len(self.up) // self.set.gateways)
        return free and (self.n_past is None or self.accepted < math.ceil(self.n_past * part))

    def release(self) -> None:
        blocked, held = not self.allowance(), self.held
        if blocked or not held:
            return
        self.held = []
        for entry in held:
            job = entry[2]
            waits = job.over or (not job.servers and (blocked or not self.below_ceiling(job)))
            if server := None if waits else self.choose(job):
                self.send(job, server)
            elif not job.over:
                self.held.append(entry)  # where no server takes anything there is no need to look on
            blocked = blocked or not self.allowance() or not (waits or server)

    def below_ceiling(self, job: _Job) -> bool:
        customer, units = job.customer, job.req.units
        if self.limits and customer.plan.ceiling_rate:
            return self.limits.room(self.now, customer.key, units)
        if not customer.plan.ceiling_rate or customer.has_given(self.now, units):
            return True
        return customer.refill(self.now).ceiling >= units

    def expire(self, job: _Job, means: float) -> bool:
        """A held request is ended in time: refused when its aim is out of reach, where that is allowed, and
        before half of its time is over while nothing of it has been sent."""
        needed = min(means * self.mean_us[job.req.class_index], job.rule.aim_us / 2)
        late = job.may_refuse() and self.now + needed >= job.aim_us
        late = late or (job.unsent == len(job.servers) and self.now + TICK_US >= job.half_us)
        if not job.over and (late or self.now + 2 * TICK_US >= job.end_us):
            self.end(job, self.why_held(job) if means == NEEDED_HELD and not job.servers else "late")
        return job.over

    def why_held(self, job: _Job) -> str:
        """What a request that was held until it was given up on waited for."""
        return "ceiling" if not self.below_ceiling(job) else "server" if self.allowance() else "cap"

    def customer(self, key: tuple[int, int, int, int]) -> _Customer:
        known = self.customers.pop(key, None)
        if known is None:
            split = self.splits() and self.set.plans[key[1]].ceiling_burst < SMALL_PART * key[3]
            known = _Customer(self.set.plans[key[1]], key, self.set, self.now, self.since_us, split)
            if self.sets.setdefault(key[:2], key) != key:  # a name of another set must not open a fresh burst
                known.part = known.level = known.ceiling = known.pool = 0.0
        self.customers[key] = known
        if self.limits:
            home, known.reach, joined = self.limits.reach(self.now, key)
            known.level += joined
            if home != known.home:
                known.home, known.asked_us = home, NEVER
            if self.now - known.asked_us > SILENT_US:  # nobody says what the others spend: its part is all
                known.reach = 1 / known.size
        return known.refill(self.now)

    def standing(
        self, customer: str, now_us: int
    ) -> list[tuple[int, float, float, float, float, float | None]]:
        """What is known here of a customer: plan, level, parts of quota and ceiling, demand (units), and how
        many seconds ago its home's word came. It only reads."""
        found = []
        for plan in range(len(self.set.plans)):
            key = self.sets.get((zlib.crc32(customer.encode()), plan))
            if key and (known := self.customers.get(key)):
                heard = round((now_us - known.heard_us) / S, 3) if known.heard_us >= 0 else None
                found.append((plan, known.level, known.part, known.ceiling, known.demand, heard))
        return found

    def shares_held(self, customer: str, now_us: int) -> list[i.Held]:
        """Shares of the customer's ceilings here, where shares move."""
        return self.limits.held(zlib.crc32(customer.encode()), now_us) if self.limits else []

    def admit(self, job: _Job) -> None:
        """The part while it lasts; else the chance rule, with word from the home where that is elsewhere."""
        customer, units, home = job.customer, job.req.units, job.customer.home
        customer.own, customer.untold = customer.own + units, customer.untold + units
        most = ASK_SHARE * self.set.peer_messages_per_s * DEMAND_US / S  # past this the last word must do
        heard = self.now - customer.heard_us < WORD_FRESH_US and self.random.random() * customer.demand > most
        if not customer.plan.max_out and customer.part >= units and not self.is_short(customer, units):
            self.decide(job, 1.0)
            self.tell(home, customer, 0.0)
        elif home == self.set.me or heard or self.is_silent(home) or not customer.plan.rate:
            if home == self.set.me and self.is_short(customer, units) and self.give(customer, units):
                customer.take_given(self.now, self.now + GRANT_US, units)
            self.decide(job, customer.chance(units))
        else:
            self.ask(job)

    def splits(self) -> bool:
        """Whether a part of each ceiling is left to the customer's home; not where limits move the shares."""
        return self.ceilings and self.set.may_tell and not self.limits

    def is_short(self, customer: _Customer, units: float) -> bool:
        """The share of the ceiling here does not hold so much: some of the home's is wanted."""
        return customer.split < 1 and customer.plan.ceiling_rate > 0 and customer.ceiling < units

    def give(self, customer: _Customer, units: float) -> bool:
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

    def ask(self, job: _Job) -> None:
        job.asked_us = self.now
        self.unanswered.setdefault(job.customer.home, self.now)
        self.asked_us[job.customer.home] = self.now
        job.customer.asked_us = min(job.customer.asked_us, self.now)
        wait, job.asks = min(ASK_US, job.rule.aim_us // ASK_PART), job.asks + 1
        job.decide_us = min(self.now + wait, job.end_us - 4 * TICK_US, job.half_us - 2 * TICK_US)
        self.waits.append(job)
        self.tell(job.customer.home, job.customer, job.req.units)

    def decide(self, job: _Job, chance: float) -> None:
        job.in_quota, plan = self.random.random() < chance, job.customer.plan
        if job.in_quota:
            self.spend(job.customer, job.req.units)
        elif plan.over_worth <= plan.over_cost or self.n_past is not None:
            self.end(job, "quota")
            return
        self.wanted += 1
        if self.limits and plan.ceiling_rate:
            self.limits.want(self.now, job.customer.key, job.req.units)
        insort(self.held, (-job.worth, next(self.serial), job))
        self.release()

    def end_waits(
        self, told: _Customer | None = None, granted: bool = False, inside: bool | None = None
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

    def spend(self, customer: _Customer, units: float) -> None:
        customer.spend(units)
        customer.part, customer.spent = max(0.0, customer.part - units), customer.spent + units
        if self.limits:
            self.limits.spend(self.now, customer.key, units, customer.part)

    def tell(
        self, peer: int, customer: _Customer, asked: float, inside: bool | None = None
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
            if self.splits() and self.now - self.marked_us.get(peer, -MARK_US) >= MARK_US:
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
                    self.take_total(message.sender, word)
                continue
            if word.plan_index == i.SPLIT_MARK:
                self.marks_us[message.sender] = self.now
            key = (word.customer, word.plan_index, word.set_first, word.set_size)
            if not self.in_my_set(key):
                continue
            new, customer = key not in self.customers, self.customer(key)
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

    def take_total(self, sender: int, total: i.Total) -> None:
        """What a peer spent since its last word; what joins of a part that was apart lifts the store."""
        assert self.limits
        customer, units = self.customer(total.key), self.limits.spent(self.now, sender, total)
        if units >= 0:
            customer.spend(units)
        else:
            customer.reach = self.limits.reach(self.now, total.key)[1]
            customer.level = min(customer.plan.burst * customer.reach, customer.level - units)

    def choose(self, job: _Job) -> _Server | None:
        """The least expected wait among a few of those that the rules and their health allow."""
        allowed = [server for server in self.up if self.in_group(job, server)]
        usable = [server for server in allowed if self.now >= server.avoid_until and server not in job.servers
                  and not (server.on_trial and (server.out or job.rule.effect is i.Effect.UNSAFE))] or allowed
        return min(self.candidates(usable), key=self.cost, default=None)

    def candidates(self, usable: list[_Server]) -> list[_Server]:
        """A few to choose from; where connections have a price, most of them have one that rests.

        A gateway of many meets most servers seldom: those that it stays with it also knows. Cold servers
        that are due come first: what they are not sent, the warm ones must bear.
        """
        due: list[_Server] = []
        kept: list[_Server] = []
        others: list[_Server] = []
        usual = max(1 / self.set.gateways, self.rate / max(1.0, self.warm))
        oldest = self.now - self.set.keep_us
        for server in usable:
            if server.warm_from and (warmth := self.warmth(server)) < 1:
                if self.is_due(server, warmth, usual):
                    due.append(server)
            else:
                server.warm_from = 0  # it need not be looked at again
                (kept if server.kept and server.kept_at > oldest else others).append(server)
        few = len(usable) <= CHOICES or not self.set.handshake_price
        if few:
            room = due + kept + others
            return self.random.sample(room, min(CHOICES, len(room)))
        first = self.random.sample(due, min(len(due), CHOICES - KEPT_CHOICES))
        first += self.random.sample(kept, min(len(kept), KEPT_CHOICES))
        return first + self.random.sample(others, min(len(others), CHOICES - len(first)))

    def is_kept(self, server: _Server) -> bool:
        """Whether a connection to it rests, as far as the module can know."""
        return server.kept > 0 and self.now - server.kept_at < self.set.keep_us

    def in_group(self, job: _Job, server: _Server) -> bool:
        """A keyed request that may have run stays where its repeats are dropped, while they are."""
        rule, first = job.rule, job.ran_on
        if first is None or rule.effect is i.Effect.SAFE:
            return True
        place = "zone" if rule.group is i.Group.ZONE else "cell"
        same = rule.group is i.Group.ALL or getattr(server.entry, place) == getattr(first.entry, place)
        return same and rule.effect is i.Effect.KEYED and self.now < job.ran_us + rule.window_us

    def cost(self, server: _Server) -> float:
        """Expected wait: work out there, how slow it is, how loaded it says it is."""
        load = server.load if self.now - server.load_at < REPORT_FRESH_US else None
        pressure = 1.0 if load is None else 0.5 + load / max(0.01, self.mean_load) / 2
        far = 1 + 10 * self.set.cross_zone_price * (server.entry.zone != self.set.zone)
        new = 1.0 if self.is_kept(server) else 1 + HANDSHAKE_WEIGHT * self.set.handshake_price
        # A trial that is due goes first, and so does a cold server's part, which is spaced out.
        waits = 0 if server.on_trial or self.warmth(server) < 1 else len(server.out) + 1
        return waits * server.slowness * pressure * far * new

    def warmth(self, server: _Server) -> float:
        """The least part of its capacity that a started or returned server has by now."""
        age, cold = (self.now - server.warm_from) / max(1, self.set.warm_within_us), self.set.cold_from
        return 1.0 if age >= 1 or not server.warm_from else cold + (1 - cold) * max(0.0, age)

    def is_due(self, server: _Server, warmth: float, usual: float) -> bool:
        """A server that started or came back gets its part of what warm ones are sent here, `usual` a second,
        spaced out. Over many gateways the space is longer than the warm-up, so it shrinks meanwhile."""
        since, cold = self.now - server.sent_us, self.set.cold_from
        then = max(cold, warmth - (1 - cold) * since / max(1, self.set.warm_within_us))
        return server.credit + since / S * usual * (then + warmth) / 2 >= 1

    def note_result(self, server: _Server, ok: bool) -> None:
        """Any kind of failure makes a server suspect; it comes back by a trial, then by the cold ramp."""
        server.fails = server.fails / 2 if ok else server.fails + 1
        if ok and server.on_trial:
            server.on_trial, server.backoff_us, server.fails = False, 0, 0.0
            server.warm_from = max(server.warm_from, self.now - self.set.warm_within_us // 2)
        elif not ok and (server.fails >= SUSPECT_AT or server.on_trial) and self.now >= server.avoid_until:
            server.backoff_us = min(SUSPECT_MAX_US, max(SUSPECT_US, server.backoff_us * 2))
            server.avoid_until, server.on_trial = self.now + server.backoff_us, True

    def note_broken(self, server: _Server) -> None:
        """It is there, but an answer was spoilt or a connection ended, as any may now and then: only one
        that does little else is suspect. One that has died refuses new connections."""
        server.fails += BROKEN_PART - 1
        self.note_result(server, False)

    def send(self, job: _Job, server: _Server) -> None:
        if not (number := len(job.servers)):
            self.accepted, self.retries = self.accepted + 1, min(RETRY_STORE, self.retries + RETRY_SHARE)
            job.customer.pass_ceiling(self.now, job.req.units)
            if self.limits and job.customer.plan.ceiling_rate:
                self.limits.take(self.now, job.customer.key, job.req.units)
        job.servers.append(server)
        server.kept = server.kept - 1 if self.is_kept(server) else 0
        job.out[number] = server.out[(job.req.id, number)] = self.now
        job.customer.out, self.out = job.customer.out + 1, self.out + 1
        server.sent_us, server.credit = self.now, 0.0
        if job.ran_on is None:
            job.ran_on, job.ran_us = server, self.now
        self.actions.append(i.Send(job.req.id, server.entry.name, self.time_out(job)))

    def time_out(self, job: _Job) -> int:
        """A repeatable attempt is given up while another can still meet the aim."""
        left, mean = job.end_us - self.now, self.mean_us[job.req.class_index]
        early = round(job.aim_us - self.now - 2 * mean)
        last = job.rule.effect is i.Effect.UNSAFE or len(job.servers) >= self.set.max_attempts
        return max(1, left if last or early < 2 * mean else min(left, early))

    def again(self, job: _Job, why: i.Result) -> bool:
        """Further attempts live on a small share of first ones, so that they cannot feed an overload."""
        costs = why is not i.Result.CONNECT_FAILED
        late = why is i.Result.MOOT or self.now + self.mean_us[job.req.class_index] / 2 >= job.end_us
        if late or len(job.servers) >= self.set.max_attempts or (costs and self.retries < 1):
            return False
        if server := self.choose(job):
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

    def learn(self, job: _Job, server: _Server, event: i.Outcome) -> None:
        index, result, took = job.req.class_index, event.result, event.latency_us
        report = event.report or i.LoadReport()  # busy cores are the signal; a count only ranks servers
        loads = [load for load in (report.util, report.inflight, report.queue) if load is not None]
        self.signals["util"] += [report.util] if report.util is not None else []
        if loads:
            server.load, server.load_at = loads[0], self.now
            self.mean_load += SMOOTH * (loads[0] - self.mean_load)
        if result is i.Result.OK:
            server.heard_us = self.now
            ratio = min(4.0, max(0.25, took / max(1.0, self.mean_us[index])))  # one outlier counts for little
            server.slowness += SMOOTH * (ratio - server.slowness)
            self.mean_us[index] += SMOOTH * (took - self.mean_us[index])
            if self.set.trued_up and event.true_units and job.in_quota:
                job.customer.spend(event.true_units - job.req.units)
        if result in (i.Result.OK, i.Result.TIMEOUT):
            self.signals["latency"].append(min(1.0, took / job.rule.aim_us))
        long = result is i.Result.TIMEOUT and server.heard_us >= self.now - took  # but it answered others
        if result is i.Result.FULL:
            server.avoid_until = max(server.avoid_until, self.now + AVOID_US)
        elif result in (i.Result.SPOILT, i.Result.RESET):
            self.note_broken(server)
        elif not long and result not in (i.Result.CANCELLED, i.Result.MOOT):
            self.note_result(server, result is i.Result.OK)

    def end(self, job: _Job, why: str) -> None:
        self.ended[why] += 1
        wait = self.set.max_retry_after_us
        self.actions.append(i.Refuse(job.req.id, wait) if job.may_refuse() else i.Fail(job.req.id))
        self.drop(job)

    def on_end(self, event: i.ClientGone | i.StreamStarted) -> None:
        if event.id in self.jobs:
            self.drop(self.jobs[event.id])

    def drop(self, job: _Job) -> None:
        if job.in_quota and not job.servers and not job.over:
            self.spend(job.customer, -job.req.units)
        calls_off, job.over = self.set.may_cancel and not job.over and not job.rule.streamed, True
        self.actions += [i.Cancel(job.req.id, number) for number in job.out if calls_off]
        if not job.out:
            self.jobs.pop(job.req.id, None)


def full_again_us(plan: i.Plan) -> int:
    """How long the stores of a customer take at most to be full, from what it may owe."""
    quota = plan.burst / plan.rate + SMALL_STORE_US / S if plan.rate else 0.0
    ceiling = plan.ceiling_burst / plan.ceiling_rate if plan.ceiling_rate else 0.0
    return round(S * max(quota, ceiling))


def next_n(n_past: int, na_past: float, occup: float, overhead: float, targets: tuple[float, ...],
           seconds: float = 1.0) -> int:
    """The paper's update of N, rounded down; `targets` are max_occup, occ_too_high and min_occup."""
    max_occup, occ_too_high, min_occup = targets
    if occup < min_occup and na_past < MIN_FRACTION_CALLS * n_past:
        return n_past
    lowest: float = n_past * (1 - MAX_DECREASE) ** seconds
    highest: float = n_past * (1 + MAX_INCREASE) ** seconds
    n_prelim = highest if occup <= overhead else (max_occup - overhead) / (occup - overhead) * na_past
    n_next = min(max(n_prelim, lowest), highest)
    if occup >= occ_too_high:
        n_next = max(n_prelim, lowest) * (1 - ADDL_DECREMENT) ** seconds
    elif n_prelim - n_past >= 1 and highest - n_past < 1:
        n_next = n_past + 1
    return max(1, math.floor(n_next + 1e-9))

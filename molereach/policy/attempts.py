"""Requests at hand and their attempts: how long they take, when one is given up, whether there is another.

A repeatable attempt is given up while another can still meet the aim. Further attempts live on a small share
of first ones, so that they cannot feed an overload (a retry budget).
"""

from molereach.policy.backend_state import Server
from molereach.policy.interface.actions import ForwardAttempt
from molereach.policy.interface.events import AttemptEnded, AttemptResult, RequestReceived
from molereach.policy.interface.settings import Idempotency, Settings
from molereach.policy.pending_request import Job

PATIENCE_STEPS = 200  # first tries by which the known patience of clients can rise by about its double
SMOOTH = 0.1  # weight of a new latency in a running mean
RETRY_SHARE, RETRY_STORE = 0.1, 8.0  # further attempts earned by a first one, and kept at most


class Attempts:
    """Requests by their ids, and what was learnt of each class."""

    __slots__ = ("jobs", "mean_us", "out", "patience_us", "retries", "set")

    def __init__(self, settings: Settings) -> None:
        self.set, self.out = settings, 0  # attempts out
        self.jobs: dict[str, Job] = {}
        self.mean_us = [rule.latency_objective_us / 4 for rule in settings.classes]
        self.patience_us = [0] * len(settings.classes)  # how long clients wait for their first tries
        self.retries = RETRY_STORE / 2

    def gone_us(self, req: RequestReceived) -> int:
        """How long ago the client first asked, at least: a retry has that much less of its time left.

        What a retry would be served after the aim is worth nothing, and takes its customer's quota.
        """
        known, rule = self.patience_us[req.class_index], self.set.classes[req.class_index]
        if rule.late_priority_weight:
            return 0
        if req.is_retry:
            return max(0, known - req.remaining_us)
        # The least of late, as clients may differ; it recovers should they wait for longer from now on.
        longer = known + known // PATIENCE_STEPS + 1 if known else req.remaining_us
        self.patience_us[req.class_index] = min(req.remaining_us, longer)
        return 0

    def overdue(self, now: int) -> list[float]:
        """The ages of attempts that are out for longer than usual, as parts of their aims."""
        return [
            min(1.0, (now - sent) / job.rule.latency_objective_us)
            for job in self.jobs.values()
            for sent in job.out.values()
            if now - sent > self.mean_us[job.req.class_index]
        ]

    def begin(self, now: int, job: Job, server: Server) -> ForwardAttempt:
        """An attempt leaves for that server."""
        number = len(job.servers)
        if not number:
            self.retries = min(RETRY_STORE, self.retries + RETRY_SHARE)
        job.servers.append(server)
        server.kept = server.kept - 1 if server.is_kept(now, self.set.idle_connection_ttl_us) else 0
        job.out[number] = server.out[(job.req.request_id, number)] = now
        job.customer.out, self.out = job.customer.out + 1, self.out + 1
        server.sent_us, server.credit, whole_by_us = now, 0.0, job.whole_by_us()
        if job.ran_on is None:
            job.ran_on, job.ran_as, job.ran_us = server, server.entry, now
        return ForwardAttempt(
            job.req.request_id, server.entry.name, self.time_out(now, job), whole_by_us, number
        )

    def time_out(self, now: int, job: Job) -> int:
        """For the attempt that leaves now."""
        left, mean = job.end_us - now, self.mean_us[job.req.class_index]
        early = round(job.aim_us - now - 2 * mean)
        last = job.rule.idempotency is Idempotency.NON_IDEMPOTENT or len(job.servers) >= self.set.max_attempts
        return max(1, left if last or early < 2 * mean else min(left, early))

    def end(self, now: int, event: AttemptEnded) -> Job | None:
        """An attempt has ended: whose it was, or None where nothing is known of it."""
        job = self.jobs.get(event.request_id)
        if job is None or event.attempt not in job.out:
            return None
        server, job.customer.out, self.out = job.servers[event.attempt], job.customer.out - 1, self.out - 1
        del job.out[event.attempt], server.out[(event.request_id, event.attempt)]
        result = event.result
        if result is AttemptResult.OK:
            self.learn(now, job, server, event)
        server.note_end(now, result, event.latency_us, self.set.slow_start_window_us)
        if result in (AttemptResult.OK, AttemptResult.ERROR, AttemptResult.REJECTED):
            server.kept, server.kept_at = server.kept + 1, now
        job.unsent += result in (AttemptResult.CONNECT_FAILED, AttemptResult.NOT_SENT)
        job.unrun += result in (AttemptResult.REJECTED, AttemptResult.CONNECT_FAILED, AttemptResult.NOT_SENT)
        job.ran_on = None if job.unrun == len(job.servers) else job.ran_on
        return job

    def learn(self, now: int, job: Job, server: Server, event: AttemptEnded) -> None:
        """An attempt was answered."""
        index, took = job.req.class_index, event.latency_us
        server.heard_us = now
        ratio = min(4.0, max(0.25, took / max(1.0, self.mean_us[index])))  # one outlier counts for little
        server.slowness += SMOOTH * (ratio - server.slowness)
        self.mean_us[index] += SMOOTH * (took - self.mean_us[index])
        if self.set.costs_are_corrected and event.actual_units and job.in_quota:
            job.customer.spend(event.actual_units - job.req.units)

    def has_another(self, now: int, job: Job, why: AttemptResult) -> bool:
        """Whether one more attempt may follow one that ended so; `pay` where it does."""
        costs = why is not AttemptResult.CONNECT_FAILED
        late = why is AttemptResult.NOT_SENT or now + self.mean_us[job.req.class_index] / 2 >= job.end_us
        return not (late or len(job.servers) >= self.set.max_attempts or (costs and self.retries < 1))

    def pay(self, why: AttemptResult) -> None:
        """A further attempt leaves; one after a failed connect costs nothing, as nothing was sent."""
        self.retries -= why is not AttemptResult.CONNECT_FAILED

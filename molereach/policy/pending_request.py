"""One request that a gateway owes a final answer: its times, its worth and its attempts."""

from molereach.policy.backend_state import Server
from molereach.policy.interface.events import Endpoint, RequestReceived
from molereach.policy.interface.settings import DeduplicationScope, Idempotency, RequestClass
from molereach.policy.quota import Customer
from molereach.policy.time_units import NEVER_US


class Job:
    """A request from its event to its last attempt's end; times are those of the events."""

    __slots__ = (
        "aim_us",
        "asked_us",
        "asks",
        "customer",
        "decide_us",
        "end_us",
        "half_us",
        "in_quota",
        "let_in",
        "out",
        "over",
        "ran_as",
        "ran_on",
        "ran_us",
        "req",
        "rule",
        "servers",
        "unrun",
        "unsent",
        "worth",
    )

    def __init__(
        self, req: RequestReceived, rule: RequestClass, customer: Customer, now: int, gone_us: int
    ) -> None:
        """`gone_us` is how long ago the client's first try was: a retry's aim counts from there."""
        self.req, self.rule, self.customer = req, rule, customer
        self.worth = rule.priority_weight * customer.plan.priority_factor * req.units
        self.end_us = now + req.remaining_us
        self.aim_us = min(now + rule.latency_objective_us - gone_us, self.end_us)
        self.half_us = (
            now + req.remaining_us // 2
        )  # a refusal after that, with nothing sent whole, comes too late
        self.servers: list[Server] = []  # of its attempts, in order
        self.out: dict[int, int] = {}  # attempts out and when each was sent
        self.ran_on: Server | None = None  # where it may first have run, and since when
        self.ran_as: Endpoint | None = None  # what the list said of it then; that may change
        self.over, self.in_quota, self.ran_us, self.unrun = False, False, 0, 0  # unrun: proven so
        self.unsent = 0  # attempts that never came whole to a server
        self.decide_us, self.asks = NEVER_US, 0  # until when it waits for word of its quota
        self.asked_us = 0  # its last ask
        self.let_in = False  # drawn here: it asks for units of the ceiling alone

    def may_refuse(self, again_us: int) -> bool:
        """Whether trying again then is harmless, for all that is known of its attempts: a refusal says so."""
        dropped = (
            self.rule.idempotency is Idempotency.IDEMPOTENT_WITH_KEY
            and self.rule.deduplication_scope is DeduplicationScope.ALL
        )
        repeatable = self.rule.idempotency is Idempotency.IDEMPOTENT or (
            dropped and again_us < self.whole_by_us()
        )
        return self.ran_on is None or repeatable

    def whole_by_us(self) -> int:
        """Until when a further attempt may still begin to run; 0 where it may at any time. The window counts
        from the earliest moment at which the first one may have run: when it was let go."""
        repeats = self.ran_on is not None and self.rule.idempotency is Idempotency.IDEMPOTENT_WITH_KEY
        return self.ran_us + self.rule.deduplication_window_us if repeats else 0

    def may_run_on(self, now: int, server: Server) -> bool:
        """A keyed request that may have run stays where its repeats are dropped, while they are."""
        rule, first = self.rule, self.ran_as
        if self.ran_on is None or rule.idempotency is Idempotency.IDEMPOTENT:
            return True
        scope = rule.deduplication_scope
        place = "zone" if scope is DeduplicationScope.ZONE else "cell"
        same = scope is DeduplicationScope.ALL or getattr(server.entry, place) == getattr(first, place)
        return same and rule.idempotency is Idempotency.IDEMPOTENT_WITH_KEY and now < self.whole_by_us()

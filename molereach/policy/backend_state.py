"""One server as this gateway sees it: what is out there, its health, its warmth.

A server that fails is suspect and left alone, for longer each time; it comes back by one trial, then by the
ramp of cold servers. All is of this gateway's own attempts: no server is probed.
"""

from molereach.policy.interface.events import AttemptResult, Endpoint
from molereach.policy.interface.settings import Settings
from molereach.policy.time_units import SECOND_US

SUSPECT_AT = 1.7  # two failures running, or a mix with more failures than answers
BROKEN_PART = 0.5  # of a failure: how much a spoilt answer or a reset counts
SUSPECT_US, SUSPECT_MAX_US = SECOND_US, 8 * SECOND_US  # the first and the longest time without a trial
AVOID_US = 300_000  # a server that turned a request away is full for about a service time


class Server:
    """What is known of a server; all times are those of the events."""

    __slots__ = (
        "avoid_until",
        "backoff_us",
        "credit",
        "entry",
        "fails",
        "heard_us",
        "kept",
        "kept_at",
        "load",
        "load_at",
        "on_trial",
        "out",
        "sent_us",
        "slowness",
        "warm_from",
    )

    def __init__(self, entry: Endpoint) -> None:
        self.entry = entry
        self.out: dict[tuple[str, int], int] = {}  # attempts out and when each was sent
        self.heard_us = self.avoid_until = self.sent_us = self.backoff_us = 0
        self.credit = 1.0  # of a request that it may be sent while cold, as of `sent_us`
        self.slowness, self.fails = 1.0, 0.0  # latency over the mean of its class; failures of late
        self.on_trial, self.load_at = False, 0
        self.kept = self.kept_at = 0  # connections that rest there, and since when the last does
        self.load: float | None = None
        self.warm_from = entry.started_us  # start of its ramp: its start, or its return from suspicion

    def is_kept(self, now: int, keep_us: int) -> bool:
        """Whether a connection to it rests, as far as the module can know."""
        return self.kept > 0 and now - self.kept_at < keep_us

    def warmth(self, now: int, settings: Settings) -> float:
        """The least part of its capacity that a started or returned server has by now."""
        if not self.warm_from:
            return 1.0
        age, cold = (
            (now - self.warm_from) / max(1, settings.slow_start_window_us),
            settings.slow_start_fraction,
        )
        return 1.0 if age >= 1 else cold + (1 - cold) * max(0.0, age)

    def note_result(self, now: int, ok: bool, warm_within_us: int) -> None:
        """Any kind of failure makes a server suspect; it comes back by a trial, then by the cold ramp."""
        self.fails = self.fails / 2 if ok else self.fails + 1
        if ok and self.on_trial:
            self.on_trial, self.backoff_us, self.fails = False, 0, 0.0
            self.warm_from = max(self.warm_from, now - warm_within_us // 2)
        elif not ok and (self.fails >= SUSPECT_AT or self.on_trial) and now >= self.avoid_until:
            self.backoff_us = min(SUSPECT_MAX_US, max(SUSPECT_US, self.backoff_us * 2))
            self.avoid_until, self.on_trial = now + self.backoff_us, True

    def note_broken(self, now: int, warm_within_us: int) -> None:
        """It is there, but an answer was spoilt or a connection ended, as any may now and then: only one
        that does little else is suspect. One that has died refuses new connections."""
        self.fails += BROKEN_PART - 1
        self.note_result(now, False, warm_within_us)

    def note_end(self, now: int, result: AttemptResult, took: int, warm_within_us: int) -> None:
        """How an attempt there ended, after `took`."""
        long = result is AttemptResult.TIMEOUT and self.heard_us >= now - took  # but it answered others
        if result is AttemptResult.REJECTED:
            self.avoid_until = max(self.avoid_until, now + AVOID_US)
        elif result in (AttemptResult.MALFORMED, AttemptResult.RESET):
            self.note_broken(now, warm_within_us)
        elif not long and result not in (AttemptResult.CANCELLED, AttemptResult.NOT_SENT):
            self.note_result(now, result is AttemptResult.OK, warm_within_us)

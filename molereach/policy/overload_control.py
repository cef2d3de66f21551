"""The cap: how many first attempts a gateway may send on in a period, none while the servers have room.

Source: Dynamic Processor Overload Control (section 2 of the paper), with servers' reports of busy cores in
place of the processor's own, or latencies as parts of the aim where servers say nothing of cores.
"""

import math
from collections.abc import Callable

from molereach.policy.interface.settings import Settings
from molereach.policy.time_units import SECOND_US, TICK_US

FAIR_N, MOST_PERIODS = 10, 2  # control period and OPPUI: 1 or 2 s, for a fair-sized N
MAX_INCREASE, MAX_DECREASE = 0.2, 0.1  # the largest step of N in a second, against noise
ADDL_DECREMENT, MIN_FRACTION_CALLS = 0.1, 0.75  # extra step at occ_too_high; part of N that counts as low
# max_occup, occ_too_high, min_occup: reports of busy cores are late; a mean at half the aim has a tail.
TARGETS = {"util": (0.92, 0.97, 0.75), "latency": (0.5, 0.7, 0.35)}
# For each ready server, by all gateways: attempts a second when the cap engages, and out at once ever.
START_PER_SERVER, LEAST_OUT = 8, 2  # the second: for one gateway in any case
USUAL_AIM_US = (
    1.5 * SECOND_US
)  # what the figures for a second are meant for: where aims are shorter, all goes faster


class Cap:
    """N and its control period; `accepted` and `wanted` count this period."""

    __slots__ = (
        "accepted",
        "cc_us",
        "gateways",
        "n_past",
        "overhead",
        "period_us",
        "second",
        "signals",
        "wanted",
    )

    def __init__(self, settings: Settings) -> None:
        aims = [rule.latency_objective_us for rule in settings.classes]
        second = round(
            SECOND_US * min(1.0, sum(aims) / max(1, len(aims)) / USUAL_AIM_US)
        )  # of this deployment
        self.second = max(TICK_US, second)  # a tick ends each period that is over: they must not be many
        self.gateways, self.period_us, self.cc_us = settings.proxy_count, -1, self.second
        self.n_past: int | None = None  # no N: the cap is lifted
        self.overhead, self.accepted = 1.0, 0
        self.wanted = 0  # requests let through by their quotas in this period
        self.signals: dict[str, list[float]] = {"util": [], "latency": []}

    def to_send(self) -> int:
        """What was to be sent, not what was: a fleet of cold servers, each spaced by this rate, would never
        be sent more than before."""
        return max(self.accepted, self.wanted if self.n_past is None else min(self.wanted, self.n_past))

    def end_period(self, rate: float, ready: int, overdue: Callable[[], list[float]]) -> None:
        """At so many first attempts a second, to so many ready servers; `overdue` as for `update`."""
        self.period_us += self.cc_us
        self.update(self.accepted, ready, overdue)
        was, most = self.cc_us, min(MOST_PERIODS, round(FAIR_N / max(1.0, rate * self.second / SECOND_US)))
        self.cc_us = self.second * max(1, most)
        self.n_past = None if self.n_past is None else max(1, self.n_past * self.cc_us // was)
        self.accepted = self.wanted = 0

    def update(self, na_past: float, ready: int, overdue: Callable[[], list[float]]) -> None:
        """The paper's update. A cap in full use is not lifted: that floods servers that have just drained.

        A jam answers nobody: what is out and overdue counts with its age so far, as parts of the aim.
        """
        kind = "util" if self.signals["util"] else "latency"
        samples, targets = self.signals[kind], TARGETS[kind]
        self.signals = {"util": [], "latency": []}
        if kind == "latency":
            samples += overdue()
        if not samples:
            return
        occup, was = min(1.0, sum(samples) / len(samples)), self.n_past
        if occup < targets[2] and (was is None or na_past < MIN_FRACTION_CALLS * was):
            self.overhead, self.n_past = min(self.overhead, occup), None
        elif was is None:
            start = START_PER_SERVER * ready * self.cc_us // self.second
            self.n_past = max(1, start // self.gateways)
        else:
            seconds, overhead = self.cc_us / self.second, min(self.overhead, targets[2] / 2)
            self.n_past = next_n(was, na_past, occup, overhead, targets, seconds)

    def allows(self, now: int, out: int, ready: int) -> bool:
        """Whether one more may be sent on, where so many are out and so many servers ready."""
        part = min(1.0, (now - self.period_us + TICK_US) / self.cc_us)
        # Servers that hold too much may not come back for long: what is out is bounded, cap or no cap.
        free = out < max(LEAST_OUT, START_PER_SERVER * ready // self.gateways)
        return free and (self.n_past is None or self.accepted < math.ceil(self.n_past * part))


def next_n(
    n_past: int,
    na_past: float,
    occup: float,
    overhead: float,
    targets: tuple[float, ...],
    seconds: float = 1.0,
) -> int:
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

"""Overload control: limits the number of first attempts that a gateway forwards in a control period.

Source: Dynamic Processor Overload Control (section 2 of the paper). In place of the processor's own occupancy
it uses the utilization that backends report or, if they report none, latencies as fractions of the objective.
The paper's N is the maximum number of first attempts per period; there is no maximum while the backends have
spare capacity. A request that waits for it may be given up with the reason `cap` (see `giving_up`).

Symbols of the paper: `occup` is the occupancy, `max_occup` its target, `occ_too_high` the threshold from
which N is reduced by an additional step, `min_occup` the threshold below which N may be lifted, `overhead`
the occupancy without calls; `n_past` is N in the past period, `na_past` the number of calls accepted in it.
"""

import math
from collections.abc import Callable
from dataclasses import dataclass

from molereach.policy.interface.events import AttemptEnded, AttemptResult
from molereach.policy.interface.settings import Settings
from molereach.policy.time_units import SECOND_US, TICK_US

# The control period is made long enough for about 10 first attempts, up to 2 time units.
TARGET_N = 10
MAX_PERIOD_TIME_UNITS = 2
# The time unit is one second, or shorter in proportion if the mean latency objective is shorter than this.
REFERENCE_OBJECTIVE_US = 1.5 * SECOND_US
# Constants of the paper; steps are per time unit.
MAX_INCREASE = 0.2
MAX_DECREASE = 0.1
ADDL_DECREMENT = 0.1  # additional step at occ_too_high
MIN_FRACTION_CALLS = 0.75  # of N; with fewer first attempts, N is not in full use
ROUNDING_ERROR = 1e-9
# Per ready backend, over all gateways: attempts in flight, and the initial N per time unit.
IN_FLIGHT_PER_BACKEND = 8
MIN_IN_FLIGHT = 2  # lower bound of that limit for one gateway

LATENCY_SAMPLE_RESULTS = (AttemptResult.OK, AttemptResult.TIMEOUT)  # the latencies of such attempts are used


@dataclass(frozen=True, slots=True)
class OccupancyTargets:
    """The paper's thresholds of the occupancy, from 0 to 1."""

    max_occup: float
    occ_too_high: float
    min_occup: float


UTILIZATION_TARGETS = OccupancyTargets(0.92, 0.97, 0.75)  # below 1, as utilization is reported with a delay
LATENCY_TARGETS = OccupancyTargets(0.5, 0.7, 0.35)  # a mean of half the objective has a tail


class OverloadControl:
    """The current N (`n_past`), the control period, and the counts and samples of this period."""

    __slots__ = (
        "admitted_count",
        "control_period_us",
        "forwarded_count",
        "latency_samples",
        "n_past",
        "overhead",
        "period_started_at_us",
        "sharing_proxies",
        "time_unit_us",
        "utilization_samples",
    )

    def __init__(self, settings: Settings) -> None:
        objectives = [request_class.latency_objective_us for request_class in settings.classes]
        mean_us = sum(objectives) / max(1, len(objectives))
        time_unit_us = round(SECOND_US * min(1.0, mean_us / REFERENCE_OBJECTIVE_US))
        self.time_unit_us = max(TICK_US, time_unit_us)  # so that few periods end in one tick
        self.sharing_proxies = settings.proxy_count
        self.period_started_at_us = -1  # set at the first event
        self.control_period_us = self.time_unit_us
        self.n_past: int | None = None  # None: the control is not engaged
        self.overhead = 1.0  # estimate: lowest occupancy measured when N was lifted or not set
        self.forwarded_count = 0  # first attempts forwarded
        self.admitted_count = 0  # requests admitted by quota
        self.utilization_samples: list[float] = []
        self.latency_samples: list[float] = []

    def period_end_us(self) -> int:
        """When the control period ends."""
        return self.period_started_at_us + self.control_period_us

    def record_attempt_end(self, event: AttemptEnded, latency_objective_us: int) -> None:
        """Add the occupancy samples of an attempt that has ended."""
        report = event.load_report
        if report is not None and report.cpu_utilization is not None:
            self.utilization_samples.append(report.cpu_utilization)
        if event.result in LATENCY_SAMPLE_RESULTS:
            self.latency_samples.append(min(1.0, event.latency_us / latency_objective_us))

    def offered_count(self) -> int:
        """The number of first attempts offered in this period, whether forwarded or not.

        Slow start spaces attempts by this rate. If only forwarded attempts counted, a cluster whose backends
        are all in slow start would never be sent more than before.
        """
        return max(
            self.forwarded_count,
            self.admitted_count if self.n_past is None else min(self.admitted_count, self.n_past),
        )

    def end_period(
        self, forward_rate: float, ready_count: int, overdue_ages: Callable[[], list[float]]
    ) -> None:
        """End the period; `forward_rate` is the mean rate of first attempts per second.

        `overdue_ages` is passed on to `update`.
        """
        self.period_started_at_us += self.control_period_us
        self.update(self.forwarded_count, ready_count, overdue_ages)
        last_period_us = self.control_period_us
        time_units = round(TARGET_N / max(1.0, forward_rate * self.time_unit_us / SECOND_US))
        self.control_period_us = self.time_unit_us * max(1, min(MAX_PERIOD_TIME_UNITS, time_units))
        if self.n_past is not None:
            self.n_past = max(1, self.n_past * self.control_period_us // last_period_us)
        self.forwarded_count = 0
        self.admitted_count = 0

    def update(self, na_past: float, ready_count: int, overdue_ages: Callable[[], list[float]]) -> None:
        """Update N as in the paper, after a period with `na_past` first attempts.

        N is not lifted while it is in full use, since that would flood backends that have just recovered.
        Backends that hang do not answer at all, so overdue attempts count with their ages, as fractions of
        their objectives; `overdue_ages` returns these.
        """
        targets = UTILIZATION_TARGETS
        samples = self.utilization_samples
        if not samples:
            targets = LATENCY_TARGETS
            samples = self.latency_samples + overdue_ages()
        self.utilization_samples = []
        self.latency_samples = []
        if not samples:
            return
        occup = min(1.0, sum(samples) / len(samples))
        n_past = self.n_past
        if occup < targets.min_occup and (n_past is None or na_past < MIN_FRACTION_CALLS * n_past):
            self.overhead = min(self.overhead, occup)
            self.n_past = None
        elif n_past is None:
            initial = IN_FLIGHT_PER_BACKEND * ready_count * self.control_period_us // self.time_unit_us
            self.n_past = max(1, initial // self.sharing_proxies)
        else:
            time_units = self.control_period_us / self.time_unit_us
            overhead = min(self.overhead, targets.min_occup / 2)
            self.n_past = next_n(n_past, na_past, occup, overhead, targets, time_units)

    def allows(self, now_us: int, in_flight: int, ready_count: int) -> bool:
        """Whether one more first attempt may be forwarded, given the number of attempts in flight.

        The attempts in flight are limited even if the control is not engaged, because overloaded backends
        may take long to answer. N is spread evenly over the period.
        """
        if in_flight >= max(MIN_IN_FLIGHT, IN_FLIGHT_PER_BACKEND * ready_count // self.sharing_proxies):
            return False
        if self.n_past is None:
            return True
        elapsed = min(1.0, (now_us - self.period_started_at_us + TICK_US) / self.control_period_us)
        return self.forwarded_count < math.ceil(self.n_past * elapsed)


def next_n(
    n_past: int,
    na_past: float,
    occup: float,
    overhead: float,
    targets: OccupancyTargets,
    time_units: float = 1.0,
) -> int:
    """The paper's next N, rounded down, after a period that lasted `time_units`."""
    if occup < targets.min_occup and na_past < MIN_FRACTION_CALLS * n_past:
        return n_past
    lowest: float = n_past * (1 - MAX_DECREASE) ** time_units
    highest: float = n_past * (1 + MAX_INCREASE) ** time_units
    n_prelim = highest
    if occup > overhead:
        n_prelim = (targets.max_occup - overhead) / (occup - overhead) * na_past
    n_next = min(max(n_prelim, lowest), highest)
    if occup >= targets.occ_too_high:
        n_next = max(n_prelim, lowest) * (1 - ADDL_DECREMENT) ** time_units
    elif n_prelim - n_past >= 1 and highest - n_past < 1:
        n_next = n_past + 1
    return max(1, math.floor(n_next + ROUNDING_ERROR))

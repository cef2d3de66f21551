"""Overload control: how many first attempts a gateway may forward in a control period.

Source: Dynamic Processor Overload Control (section 2 of the paper), with the backends' reports of utilization
in place of the processor's own, or latencies as fractions of the objective where backends report none. The
paper's N is the number of first attempts per period; there is none while the backends have capacity. A
request that waits for it is given up as `cap` (see `giving_up`).
"""

import math
from collections.abc import Callable
from dataclasses import dataclass

from molereach.policy.interface.events import AttemptEnded, AttemptResult
from molereach.policy.interface.settings import Settings
from molereach.policy.time_units import SECOND_US, TICK_US

TARGET_N = 10  # the control period lasts so long that N is at least about this,
MAX_PERIOD_UNITS = 2  # but no longer than this many time units
REFERENCE_OBJECTIVE_US = 1.5 * SECOND_US  # where objectives are shorter, the time unit is less than a second
# The paper's constants; steps are per time unit.
MAX_INCREASE = 0.2
MAX_DECREASE = 0.1
ADDL_DECREMENT = 0.1  # additional step at occ_too_high
MIN_FRACTION_CALLS = 0.75  # of N: fewer first attempts do not use N fully
ROUNDING_ERROR = 1e-9
# For each ready backend, by all gateways: attempts in flight, and per time unit when the control engages.
IN_FLIGHT_PER_BACKEND = 8
MIN_IN_FLIGHT = 2  # for one gateway in any case

MEASURED_RESULTS = (AttemptResult.OK, AttemptResult.TIMEOUT)  # of attempts whose latencies are samples


@dataclass(frozen=True, slots=True)
class OccupancyTargets:
    """The paper's thresholds of the occupancy, from 0 to 1."""

    max_occup: float
    occ_too_high: float
    min_occup: float


UTILIZATION_TARGETS = OccupancyTargets(0.92, 0.97, 0.75)  # utilization is reported late
LATENCY_TARGETS = OccupancyTargets(0.5, 0.7, 0.35)  # a mean at half the objective has a tail


class OverloadControl:
    """N (`n_past`) and its control period; `accepted` and `admitted` count this period."""

    __slots__ = (
        "accepted",
        "admitted",
        "control_period_us",
        "latency_samples",
        "n_past",
        "overhead",
        "period_started_at_us",
        "sharing_proxies",
        "time_unit_us",
        "utilization_samples",
    )

    def __init__(self, settings: Settings) -> None:
        objectives = [each.latency_objective_us for each in settings.classes]
        mean_us = sum(objectives) / max(1, len(objectives))
        time_unit_us = round(SECOND_US * min(1.0, mean_us / REFERENCE_OBJECTIVE_US))
        self.time_unit_us = max(TICK_US, time_unit_us)  # a tick ends every period that is over: few at once
        self.sharing_proxies = settings.proxy_count
        self.period_started_at_us = -1  # set at the first event
        self.control_period_us = self.time_unit_us
        self.n_past: int | None = None  # None: not engaged
        self.overhead = 1.0
        self.accepted = 0  # first attempts forwarded
        self.admitted = 0  # requests that may be forwarded by their quotas
        self.utilization_samples: list[float] = []
        self.latency_samples: list[float] = []

    def period_end_us(self) -> int:
        """When the control period is over."""
        return self.period_started_at_us + self.control_period_us

    def record_attempt_end(self, event: AttemptEnded, latency_objective_us: int) -> None:
        """Take what an attempt says of the backends' occupancy."""
        report = event.load_report
        if report is not None and report.cpu_utilization is not None:
            self.utilization_samples.append(report.cpu_utilization)
        if event.result in MEASURED_RESULTS:
            self.latency_samples.append(min(1.0, event.latency_us / latency_objective_us))

    def offered(self) -> int:
        """The first attempts that were offered in this period, forwarded or not.

        With those forwarded, backends in slow start, each spaced by this rate, would never get more.
        """
        return max(self.accepted, self.admitted if self.n_past is None else min(self.admitted, self.n_past))

    def end_period(self, rate: float, ready: int, overdue_ages: Callable[[], list[float]]) -> None:
        """A period is over, at `rate` first attempts per second and so many ready backends.

        `overdue_ages` as for `update`.
        """
        self.period_started_at_us += self.control_period_us
        self.update(self.accepted, ready, overdue_ages)
        last_period_us = self.control_period_us
        units = round(TARGET_N / max(1.0, rate * self.time_unit_us / SECOND_US))
        self.control_period_us = self.time_unit_us * max(1, min(MAX_PERIOD_UNITS, units))
        if self.n_past is not None:
            self.n_past = max(1, self.n_past * self.control_period_us // last_period_us)
        self.accepted = 0
        self.admitted = 0

    def update(self, na_past: float, ready: int, overdue_ages: Callable[[], list[float]]) -> None:
        """The paper's update, after `na_past` first attempts. An N in full use is not lifted: that would
        flood backends that have just recovered.

        Backends that are stuck answer nobody: attempts that are overdue count with their ages so far, as
        fractions of their objectives.
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
            initial = IN_FLIGHT_PER_BACKEND * ready * self.control_period_us // self.time_unit_us
            self.n_past = max(1, initial // self.sharing_proxies)
        else:
            units = self.control_period_us / self.time_unit_us
            overhead = min(self.overhead, targets.min_occup / 2)
            self.n_past = next_n(n_past, na_past, occup, overhead, targets, units)

    def allows(self, now_us: int, in_flight: int, ready: int) -> bool:
        """Whether one more first attempt may be forwarded, with so many in flight and ready backends.

        Overloaded backends may not answer for long: attempts in flight are bounded, with N or without.
        """
        if in_flight >= max(MIN_IN_FLIGHT, IN_FLIGHT_PER_BACKEND * ready // self.sharing_proxies):
            return False
        if self.n_past is None:
            return True
        elapsed = min(1.0, (now_us - self.period_started_at_us + TICK_US) / self.control_period_us)
        return self.accepted < math.ceil(self.n_past * elapsed)


def next_n(
    n_past: int,
    na_past: float,
    occup: float,
    overhead: float,
    targets: OccupancyTargets,
    units: float = 1.0,
) -> int:
    """The paper's update of N after a period of so many time units, rounded down; names are the paper's."""
    if occup < targets.min_occup and na_past < MIN_FRACTION_CALLS * n_past:
        return n_past
    lowest: float = n_past * (1 - MAX_DECREASE) ** units
    highest: float = n_past * (1 + MAX_INCREASE) ** units
    n_prelim = highest
    if occup > overhead:
        n_prelim = (targets.max_occup - overhead) / (occup - overhead) * na_past
    n_next = min(max(n_prelim, lowest), highest)
    if occup >= targets.occ_too_high:
        n_next = max(n_prelim, lowest) * (1 - ADDL_DECREMENT) ** units
    elif n_prelim - n_past >= 1 and highest - n_past < 1:
        n_next = n_past + 1
    return max(1, math.floor(n_next + ROUNDING_ERROR))

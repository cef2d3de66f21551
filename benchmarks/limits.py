"""Limits over front doors that lose words: bounds in random histories, a moved building, words and CPU.

Figures named `before_` are of the same seed without the limits module.
"""

import multiprocessing
import statistics
import sys
import time
import tracemalloc
from collections import defaultdict
from collections.abc import Callable, Iterator, Sequence
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass, replace
from random import Random
from typing import TypeVar

import msgspec

from benchmarks.result import Result
from molereach.limits.core import Limits
from molereach.limits.settings import LimitSettings
from molereach.policy.gateway import Gateway
from molereach.policy.interface.actions import ForwardAttempt
from molereach.policy.interface.events import (
    AttemptEnded,
    AttemptResult,
    Endpoint,
    EndpointListKind,
    EndpointListReceived,
    EndpointState,
    RequestReceived,
)
from molereach.policy.interface.messages import CustomerKey
from molereach.policy.interface.settings import Plan, Settings
from molereach.policy.quota import DEMAND_DECAY_US
from rig import scenario_files
from sim.histories import PLAN, READ_CLASS, InvariantError, QuotaHistory, ReferenceBucket, ShareHistory
from sim.run import JOBS_CONTEXT
from sim.world import run_scenario

US_PER_S = 1_000_000
HISTORIES, QUICK_HISTORIES = 10_000, 240
QUOTAS, QUICK_QUOTAS = 400, 40
SEEDS, QUICK_SEEDS = range(1, 6), range(1, 3)
DAYS, QUICK_DAYS = range(1, 11), range(1, 2)
SPLIT_S, QUICK_SPLIT_S = 60.0, 15.0
MEASURED_S = 5.0
TIERS = (3, 10, 50)
CUSTOMERS, QUICK_CUSTOMERS = 100_000, 5_000
TIER_RATE_PER_S, TIER_SECONDS = 2000, 4  # requests a second over a tier
COST_ROUNDS, QUICK_COST_ROUNDS, COST_REQUESTS = 9, 3, 3000
# A plan without a quota, so that only the ceiling applies.
CEILING_PLAN = replace(PLAN, quota_rate=0.0, quota_burst=0.0)


class ShareOutcome(msgspec.Struct, frozen=True):
    """Outcome of one random history of shares."""

    broken: str
    most_share: float
    lowest: float  # lowest level of the reference store, as a share of the burst
    granted: int


class QuotaOutcome(msgspec.Struct, frozen=True):
    """Outcome of one random history of a quota: units over it, and these as a share of the bound."""

    excess_units: float
    bound_share: float
    ceiling_excess_units: float  # units over the ceiling


def run_share_history(seed: int) -> ShareOutcome:
    """Run one random history of shares."""
    history = ShareHistory(seed)
    try:
        history.play()
    except InvariantError as error:
        return ShareOutcome(
            str(error),
            history.max_share,
            history.reference.lowest_level / history.plan.ceiling_burst,
            history.granted,
        )
    return ShareOutcome(
        "", history.max_share, history.reference.lowest_level / history.plan.ceiling_burst, history.granted
    )


def excess_bound(history: QuotaHistory, events: int) -> float:
    """Return the bound on units over a quota for a number of splits, stops and restarts.

    It is stated in docs/design/limits.md.
    """
    plan, others = history.plan, len(history.nodes) - 1
    silence_s = 4 * history.limit_settings.heartbeat_us / US_PER_S
    return (
        max(1, events)
        * others
        * (plan.quota_burst + plan.quota_rate * (silence_s + DEMAND_DECAY_US / US_PER_S))
    )


def run_quota_history(seed: int) -> QuotaOutcome:
    """Run traffic that moves among front doors that lose messages, are partitioned and killed."""
    draw = Random(f"{seed}:quota")
    history = QuotaHistory(seed, draw.randint(2, 5))
    history.network.loss, history.network.duplicate = (
        draw.choice((0.0, 0.1, 0.3, 0.5)),
        draw.choice((0.0, 0.2)),
    )
    at, end = 3.0, 23.0
    while at < end:
        weights = [draw.choice((0.0, 0.2, 1.0)) for _ in history.nodes]
        weights[draw.randrange(len(weights))] = 2.0
        until = min(end, at + draw.uniform(1.0, 6.0))
        history.load(round(at * US_PER_S), round(until * US_PER_S), draw.uniform(5, 60), weights)
        at = until
    events = draw.randint(0, 4)
    for _ in range(events):
        schedule_fault(history, draw, round(draw.uniform(2.0, 20.0) * US_PER_S))
    history.run_until(round(end * US_PER_S) + US_PER_S)
    # Message loss alone can look like a partition: each such case counts as an event.
    losses = 1 + (history.network.loss >= 0.3) * 2 + (history.network.loss >= 0.5) * 5
    excess_units = max(0.0, -history.quota.lowest_level)
    return QuotaOutcome(
        excess_units,
        excess_units / excess_bound(history, events + losses),
        max(0.0, -history.ceiling.lowest_level),
    )


def schedule_fault(history: QuotaHistory, draw: Random, at_us: int) -> None:
    """Schedule a kill or a partition with its end."""
    node, duration_us = draw.choice(history.nodes), round(draw.uniform(0.3, 8.0) * US_PER_S)
    if draw.random() < 0.4:
        history.call_at(at_us, lambda: history.kill(node, duration_us) if node.up else None)
        return
    group_size = draw.randint(1, len(history.nodes) - 1)
    numbers = draw.sample(range(len(history.nodes)), len(history.nodes))
    links = frozenset((one, other) for one in numbers for other in numbers if draw.random() < 0.3)
    is_group_split = draw.random() < 0.6  # otherwise single links fail, each direction independently

    def split() -> None:
        if is_group_split:
            history.network.groups = frozenset(numbers[:group_size]), frozenset(numbers[group_size:])
        else:
            history.network.blocked_links = links

    def heal() -> None:
        history.network.groups, history.network.blocked_links = (), frozenset()

    history.call_at(at_us, split)
    history.call_at(at_us + duration_us, heal)


A = TypeVar("A")
T = TypeVar("T")


def map_in_processes(work: Callable[[A], T], seeds: Sequence[A], say: Callable[[str], None]) -> Iterator[T]:
    """Map `work` over the seeds in a pool of processes."""
    context = multiprocessing.get_context(JOBS_CONTEXT)
    with ProcessPoolExecutor(mp_context=context) as pool:
        for number, found in enumerate(pool.map(work, seeds, chunksize=2), 1):
            if number % 500 == 0:
                say(f"{number} of {len(seeds)} histories")
            yield found


def run_histories(quick: bool, say: Callable[[str], None]) -> tuple[dict[str, float], dict[str, object]]:
    """Run all random histories; return the figures and the first violations."""
    count, quotas = (QUICK_HISTORIES, QUICK_QUOTAS) if quick else (HISTORIES, QUOTAS)
    share_outcomes = list(map_in_processes(run_share_history, range(count), say))
    quota_outcomes = list(map_in_processes(run_quota_history, range(quotas), say))
    broken = [outcome.broken for outcome in share_outcomes if outcome.broken]
    return {
        "share_histories": len(share_outcomes),
        "share_histories_broken": len(broken),
        "shares_at_most": max(outcome.most_share for outcome in share_outcomes),
        "ceiling_left_at_least": round(min(outcome.lowest for outcome in share_outcomes), 6),
        "granted_in_histories": sum(outcome.granted for outcome in share_outcomes),
        "quota_histories": len(quota_outcomes),
        "quota_over_units": round(max(outcome.excess_units for outcome in quota_outcomes), 2),
        "quota_over_of_bound": round(max(outcome.bound_share for outcome in quota_outcomes), 4),
        "quota_ceiling_over_units": round(max(outcome.ceiling_excess_units for outcome in quota_outcomes), 3),
    }, {"broken": broken[:3]}


# --- a customer whose traffic stays at one front door, or moves at once ---


def entitled_units(plan: Plan, history: QuotaHistory, since: int, until: int, asked: int) -> float:
    """Return what a single front door that sees all requests would have forwarded between two times."""
    rate, burst = (
        (plan.quota_rate, plan.quota_burst) if plan.quota_rate else (plan.ceiling_rate, plan.ceiling_burst)
    )
    store = ReferenceBucket(rate, burst, burst, 0)
    for at, _ in history.sent:
        if at < since:
            store.take(at, 1.0)
    store.take(since, 0.0)
    return min(asked, max(0.0, store.level) + rate * (until - since) / US_PER_S)


@dataclass(frozen=True, slots=True)
class Case:
    """A customer's traffic for 5 s, or for the duration of a partition."""

    limit: str
    name: str
    plan: Plan
    moves: bool
    loss: float
    split_s: float
    with_limits: bool
    seed: int


def measure_case(case: Case) -> tuple[float, float]:
    """Return the granted share of what the plan entitles to over the next 5 s, and the units over it."""
    plan, split_s = case.plan, case.split_s
    history = QuotaHistory(case.seed, 3, case.with_limits, plan)
    history.network.loss = case.loss
    start = 5 * US_PER_S
    if case.moves:
        history.load(start, start + 5 * US_PER_S, 60.0, [1.0, 0.0, 0.0])
        start += 5 * US_PER_S
    if split_s:
        history.call_at(
            start, lambda: setattr(history.network, "groups", tuple(frozenset([n]) for n in range(3)))
        )
    end = start + round((split_s or MEASURED_S) * US_PER_S)
    history.load(start, end, 60.0, [0.0, 1.0, 0.0] if case.moves else [1.0, 0.0, 0.0])
    history.run_until(start)
    before = history.requested
    history.run_until(end + US_PER_S)
    store = history.quota if plan.quota_rate else history.ceiling
    share = history.count_sent(start, end) / entitled_units(
        plan, history, start, end, history.requested - before
    )
    return min(1.0, share), max(0.0, -store.lowest_level)


def cases(quick: bool) -> list[Case]:
    """Return all cases."""
    split_s = QUICK_SPLIT_S if quick else SPLIT_S
    kinds = (
        ("one_door", False, 0.0, 0.0),
        ("moves", True, 0.0, 0.0),
        ("one_door_loss", False, 0.3, 0.0),
        ("moves_loss", True, 0.3, 0.0),
        ("moves_split", True, 0.3, split_s),
    )
    return [
        Case(limit, name, plan, moves, loss, lasts, with_limits, seed)
        for limit, plan in (("quota", PLAN), ("ceiling", CEILING_PLAN))
        for name, moves, loss, lasts in kinds
        for with_limits in (False, True)
        for seed in (QUICK_SEEDS if quick else SEEDS)
    ]


def measure_cases(quick: bool, say: Callable[[str], None]) -> dict[str, float]:
    """Return the mean share granted and the most units over, by limit and case, with and without limits."""
    all_cases = cases(quick)
    found: dict[str, list[tuple[float, float]]] = defaultdict(list)
    for case, result in zip(all_cases, map_in_processes(measure_case, all_cases, say), strict=True):
        found[f"{'' if case.with_limits else 'before_'}{case.limit}_{case.name}"].append(result)
    figures: dict[str, float] = {}
    for name, results in found.items():
        figures[name] = round(statistics.mean(share for share, _ in results), 4)
        figures[f"{name}_over"] = round(max(excess_units for _, excess_units in results), 2)
    return figures


def measure_whole_program(quick: bool) -> dict[str, float]:
    """Run the whole program in virtual time with and without limits.

    The records of servers and clients give the units over quota and ceiling.
    """
    figures: dict[str, float] = {}
    for side, limits in (("before_", False), ("", True)):
        quota_over, ceiling_over, share, passed = [], [], [], 0
        for seed in QUICK_DAYS if quick else DAYS:
            ledger = (
                run := run_scenario(scenario_files.load("move-in-split"), seed, limits=limits)
            ).report.ledger
            quota_over.append(ledger.quota_over)
            ceiling_over.append(ledger.units_over)
            share.append(ledger.quota_granted)
            passed += run.ok
        figures[f"{side}days_in_order"] = passed / len(quota_over)
        figures[f"{side}days_quota_over"] = round(max(quota_over), 2)
        figures[f"{side}days_ceiling_over"] = round(max(ceiling_over), 2)
        figures[f"{side}days_quota_granted"] = round(statistics.mean(share), 4)
    return figures


# --- costs ---


def message_rates(doors: int, customers: int, with_limits: bool) -> tuple[float, float]:
    """Return the messages and bytes a second that one front door of a tier sends for so many customers."""
    history = QuotaHistory(1, doors, with_limits)
    draw = history.random
    for number in range(TIER_RATE_PER_S * TIER_SECONDS):
        node = draw.choice(history.nodes)
        size = min(3, doors)
        first = (node.number - draw.randrange(size)) % doors
        customer = f"{draw.randrange(customers):016x}"
        request = RequestReceived(f"t{number}", 0, 0, customer, 1_900_000, 1.0, size, first)
        history.call_at(
            2 * US_PER_S + number * US_PER_S // TIER_RATE_PER_S,
            lambda node=node, request=request: history.handle_event(node, request),  # type: ignore[misc]
        )
    history.run_until(2 * US_PER_S)
    before = history.messages, history.bytes
    history.run_until((2 + TIER_SECONDS) * US_PER_S)
    span = doors * TIER_SECONDS
    return (history.messages - before[0]) / span, (history.bytes - before[1]) / span


def request_cpu_us(with_limits: bool, seed: int) -> float:
    """Return CPU microseconds in the policy module for a request.

    One customer in ten has a ceiling, and all requests are served.
    """
    settings = Settings(
        seed=seed,
        proxy_index=0,
        proxy_count=3,
        classes=(READ_CLASS,),
        may_gossip=True,
        plans=(replace(PLAN, quota_rate=1e6, quota_burst=1e6, ceiling_rate=1e6, ceiling_burst=1e6),),
        gossip_messages_per_s=60.0,
    )
    gateway = Gateway(settings, Limits(settings, LimitSettings()) if with_limits else None)
    servers = tuple(Endpoint(f"s{n}", n % 3, 0, 0, EndpointState.UP) for n in range(9))
    gateway.handle(0, EndpointListReceived(EndpointListKind.FULL, 1, servers))
    now = 20 * US_PER_S
    started_s = time.process_time()
    for number in range(COST_REQUESTS):
        now += 2000
        name = f"r{number}"
        actions = gateway.handle(
            now, RequestReceived(name, 0, 0, f"{number % 50:016x}", 1_900_000, 1.0, 3, 0)
        )
        for action in actions:
            if isinstance(action, ForwardAttempt):
                gateway.handle(now, AttemptEnded(name, True, 0, action.endpoint, AttemptResult.OK, 30_000))
    return (time.process_time() - started_s) * 1e6 / COST_REQUESTS


def bytes_per_customer(count: int) -> float:
    """Return the bytes held for each customer with a ceiling, a quota spent here and its home elsewhere."""
    settings = Settings(
        seed=1,
        proxy_index=0,
        proxy_count=3,
        classes=(READ_CLASS,),
        plans=(PLAN,),
        may_gossip=True,
        gossip_messages_per_s=60.0,
    )
    limits = Limits(settings, LimitSettings())
    limits.start(0)
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    for number in range(count):
        key = CustomerKey(number, 0, 0, 3)
        limits.request_capacity(10 * US_PER_S, key, 1.0)
        limits.reachable_quota(10 * US_PER_S, key)
        limits.record_spending(10 * US_PER_S, key, 1.0, 1.0)
    held_bytes = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    return held_bytes / count


def measure_costs(quick: bool) -> dict[str, float]:
    """Measure messages, CPU and memory."""
    figures: dict[str, float] = {}
    customers = QUICK_CUSTOMERS if quick else CUSTOMERS
    for doors in TIERS:
        for side, with_limits in (("before_", False), ("", True)):
            messages, size = message_rates(doors, customers, with_limits)
            figures[f"{side}messages_per_s_{doors}"] = round(messages, 1)
            figures[f"{side}bytes_per_s_{doors}"] = round(size)
    ratios = []
    for number in range(QUICK_COST_ROUNDS if quick else COST_ROUNDS):
        without = request_cpu_us(False, number)
        ratios.append(request_cpu_us(True, number) / without)
    figures["module_cpu_ratio"] = round(statistics.median(ratios), 3)
    figures["module_us"] = round(without, 1)
    figures["bytes_per_customer"] = round(bytes_per_customer(customers))
    return figures


def measure(quick: bool, seed: int, progress: bool) -> Result:
    """Aims are the issue's and the bounds of docs/design/limits.md."""

    def say(text: str) -> None:
        if progress:
            print(text, file=sys.stderr)

    figures, more = run_histories(quick, say)
    figures |= measure_cases(quick, say)
    say("a building that moves: done")
    figures |= measure_whole_program(quick)
    say("days of the whole program: done")
    figures |= measure_costs(quick)
    aims = {
        "most_share_histories_broken": 0.0,
        "most_shares_at_most": 1.0,
        "ceiling_left_at_least": -1e-6,
        "most_quota_over_of_bound": 1.0,
        "quota_one_door": 0.95,
        "quota_moves": 0.95,
        "ceiling_one_door": 0.9,
        "ceiling_moves": 0.9,
        "quota_one_door_loss": 0.85,
        "quota_moves_loss": 0.85,
        "days_in_order": 1.0,
        "most_messages_per_s_50": 60.0,
    }
    return Result("limits", seed, aims, figures, more)

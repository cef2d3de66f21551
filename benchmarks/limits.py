"""Limits over front doors that lose words: bounds in random histories, a moved building, words and CPU.

Figures named `before_` are of the same seed without limits, as the front door was.
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

SECOND_US = 1_000_000
HISTORIES, QUICK_HISTORIES = 10_000, 240
QUOTAS, QUICK_QUOTAS = 400, 40
SEEDS, QUICK_SEEDS = range(1, 6), range(1, 3)
DAYS, QUICK_DAYS = range(1, 11), range(1, 2)
SPLIT_S, QUICK_SPLIT_S = 60.0, 15.0
MEASURED_S = 5.0
TIERS = (3, 10, 50)
CUSTOMERS, QUICK_CUSTOMERS = 100_000, 5_000
TIER_RATE, TIER_SECONDS = 2000, 4  # tries a second over a tier
COST_ROUNDS, QUICK_COST_ROUNDS, COST_TRIES = 9, 3, 3000
# A plan without a quota, so that the ceiling alone binds.
CEILING = replace(PLAN, quota_rate=0.0, quota_burst=0.0)


class Share(msgspec.Struct, frozen=True):
    """What one random history of shares came to."""

    broken: str
    most_share: float
    lowest: float  # of the judge's store, as a part of the burst
    granted: int


class Over(msgspec.Struct, frozen=True):
    """What one random history of a quota came to: units beyond it, of the bound stated ahead."""

    units: float
    part: float
    ceiling: float  # units beyond the ceiling


def share_history(seed: int) -> Share:
    history = ShareHistory(seed)
    try:
        history.play()
    except InvariantError as error:
        return Share(
            str(error),
            history.max_share,
            history.reference.lowest_level / history.plan.ceiling_burst,
            history.granted,
        )
    return Share(
        "", history.max_share, history.reference.lowest_level / history.plan.ceiling_burst, history.granted
    )


def bound(history: QuotaHistory, events: int) -> float:
    """docs/design/limits.md: the most that may go beyond a quota, for so many splits, stops and restarts."""
    plan, others = history.plan, len(history.nodes) - 1
    silence_s = 4 * history.limit_settings.heartbeat_us / SECOND_US
    return (
        max(1, events)
        * others
        * (plan.quota_burst + plan.quota_rate * (silence_s + DEMAND_DECAY_US / SECOND_US))
    )


def quota_history(seed: int) -> Over:
    """Traffic that moves among front doors that lose words, are split and killed."""
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
        history.load(round(at * SECOND_US), round(until * SECOND_US), draw.uniform(5, 60), weights)
        at = until
    events = draw.randint(0, 4)
    for _ in range(events):
        fault(history, draw, round(draw.uniform(2.0, 20.0) * SECOND_US))
    history.run_until(round(end * SECOND_US) + SECOND_US)
    # Loss alone may look like a split now and then: each such moment counts as one.
    losses = 1 + (history.network.loss >= 0.3) * 2 + (history.network.loss >= 0.5) * 5
    over = max(0.0, -history.quota.lowest_level)
    return Over(over, over / bound(history, events + losses), max(0.0, -history.ceiling.lowest_level))


def fault(history: QuotaHistory, draw: Random, at: int) -> None:
    node, lasts = draw.choice(history.nodes), round(draw.uniform(0.3, 8.0) * SECOND_US)
    if draw.random() < 0.4:
        history.call_at(at, lambda: history.kill(node, lasts) if node.up else None)
        return
    cut = draw.randint(1, len(history.nodes) - 1)
    names = draw.sample(range(len(history.nodes)), len(history.nodes))
    links = frozenset((one, other) for one in names for other in names if draw.random() < 0.3)
    whole = draw.random() < 0.6  # else some links fail, each way by itself

    def split() -> None:
        if whole:
            history.network.groups = frozenset(names[:cut]), frozenset(names[cut:])
        else:
            history.network.blocked_links = links

    def heal() -> None:
        history.network.groups, history.network.blocked_links = (), frozenset()

    history.call_at(at, split)
    history.call_at(at + lasts, heal)


A = TypeVar("A")
T = TypeVar("T")


def over_cores(work: Callable[[A], T], seeds: Sequence[A], say: Callable[[str], None]) -> Iterator[T]:
    context = multiprocessing.get_context(JOBS_CONTEXT)
    with ProcessPoolExecutor(mp_context=context) as pool:
        for number, found in enumerate(pool.map(work, seeds, chunksize=2), 1):
            if number % 500 == 0:
                say(f"{number} of {len(seeds)} histories")
            yield found


def histories(quick: bool, say: Callable[[str], None]) -> tuple[dict[str, float], dict[str, object]]:
    count, quotas = (QUICK_HISTORIES, QUICK_QUOTAS) if quick else (HISTORIES, QUOTAS)
    shares = list(over_cores(share_history, range(count), say))
    overs = list(over_cores(quota_history, range(quotas), say))
    broken = [found.broken for found in shares if found.broken]
    return {
        "share_histories": len(shares),
        "share_histories_broken": len(broken),
        "shares_at_most": max(found.most_share for found in shares),
        "ceiling_left_at_least": round(min(found.lowest for found in shares), 6),
        "granted_in_histories": sum(found.granted for found in shares),
        "quota_histories": len(overs),
        "quota_over_units": round(max(found.units for found in overs), 2),
        "quota_over_of_bound": round(max(found.part for found in overs), 4),
        "quota_ceiling_over_units": round(max(found.ceiling for found in overs), 3),
    }, {"broken": broken[:3]}


# --- a building that stands at one front door, or moves at once ---


def entitled(plan: Plan, history: QuotaHistory, since: int, until: int, asked: int) -> float:
    """What one front door that sees all tries would have sent on between two times."""
    rate, burst = (
        (plan.quota_rate, plan.quota_burst) if plan.quota_rate else (plan.ceiling_rate, plan.ceiling_burst)
    )
    store = ReferenceBucket(rate, burst, burst, 0)
    for at, _ in history.sent:
        if at < since:
            store.take(at, 1.0)
    store.take(since, 0.0)
    return min(asked, max(0.0, store.level) + rate * (until - since) / SECOND_US)


@dataclass(frozen=True, slots=True)
class Case:
    """A building's traffic for 5 s, or for as long as a split."""

    limit: str
    name: str
    plan: Plan
    moves: bool
    loss: float
    split_s: float
    with_limits: bool
    seed: int


def granted(case: Case) -> tuple[float, float]:
    """The share granted of what the plan entitles to over the next 5 s, and units beyond the plan's store."""
    plan, split_s = case.plan, case.split_s
    history = QuotaHistory(case.seed, 3, case.with_limits, plan)
    history.network.loss = case.loss
    start = 5 * SECOND_US
    if case.moves:
        history.load(start, start + 5 * SECOND_US, 60.0, [1.0, 0.0, 0.0])
        start += 5 * SECOND_US
    if split_s:
        history.call_at(
            start, lambda: setattr(history.network, "groups", tuple(frozenset([n]) for n in range(3)))
        )
    end = start + round((split_s or MEASURED_S) * SECOND_US)
    history.load(start, end, 60.0, [0.0, 1.0, 0.0] if case.moves else [1.0, 0.0, 0.0])
    history.run_until(start)
    before = history.requested
    history.run_until(end + SECOND_US)
    store = history.quota if plan.quota_rate else history.ceiling
    share = history.count_sent(start, end) / entitled(plan, history, start, end, history.requested - before)
    return min(1.0, share), max(0.0, -store.lowest_level)


def cases(quick: bool) -> list[Case]:
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
        for limit, plan in (("quota", PLAN), ("ceiling", CEILING))
        for name, moves, loss, lasts in kinds
        for with_limits in (False, True)
        for seed in (QUICK_SEEDS if quick else SEEDS)
    ]


def moved(quick: bool, say: Callable[[str], None]) -> dict[str, float]:
    """By limit and case, with limits and before: the mean share granted, and the most units beyond."""
    drawn = cases(quick)
    found: dict[str, list[tuple[float, float]]] = defaultdict(list)
    for case, result in zip(drawn, over_cores(granted, drawn, say), strict=True):
        found[f"{'' if case.with_limits else 'before_'}{case.limit}_{case.name}"].append(result)
    figures: dict[str, float] = {}
    for name, results in found.items():
        figures[name] = round(statistics.mean(share for share, _ in results), 4)
        figures[f"{name}_over"] = round(max(over for _, over in results), 2)
    return figures


def rig_days(quick: bool) -> dict[str, float]:
    """The whole program in virtual time, judged by servers' and clients' journals, on both sides."""
    figures: dict[str, float] = {}
    for side, limits in (("before_", False), ("", True)):
        over, ceiling, share, fine = [], [], [], 0
        for seed in QUICK_DAYS if quick else DAYS:
            ledger = (
                played := run_scenario(scenario_files.load("move-in-split"), seed, limits=limits)
            ).report.ledger
            over.append(ledger.quota_over)
            ceiling.append(ledger.units_over)
            share.append(ledger.quota_granted)
            fine += played.ok
        figures[f"{side}days_in_order"] = fine / len(over)
        figures[f"{side}days_quota_over"] = round(max(over), 2)
        figures[f"{side}days_ceiling_over"] = round(max(ceiling), 2)
        figures[f"{side}days_quota_granted"] = round(statistics.mean(share), 4)
    return figures


# --- what it costs ---


def tier(doors: int, customers: int, with_limits: bool) -> tuple[float, float]:
    """Messages and bytes a second that one front door of a tier sends, with so many customers' traffic."""
    history = QuotaHistory(1, doors, with_limits)
    draw = history.random
    for number in range(TIER_RATE * TIER_SECONDS):
        node = draw.choice(history.nodes)
        size = min(3, doors)
        first = (node.number - draw.randrange(size)) % doors
        customer = f"{draw.randrange(customers):016x}"
        request = RequestReceived(f"t{number}", 0, 0, customer, 1_900_000, 1.0, size, first)
        history.call_at(
            2 * SECOND_US + number * SECOND_US // TIER_RATE,
            lambda node=node, request=request: history.handle_event(node, request),  # type: ignore[misc]
        )
    history.run_until(2 * SECOND_US)
    before = history.messages, history.bytes
    history.run_until((2 + TIER_SECONDS) * SECOND_US)
    span = doors * TIER_SECONDS
    return (history.messages - before[0]) / span, (history.bytes - before[1]) / span


def try_us(with_limits: bool, seed: int) -> float:
    """CPU microseconds in the module for a try, of one customer in ten with a ceiling, all served."""
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
    now = 20 * SECOND_US
    begun = time.process_time()
    for number in range(COST_TRIES):
        now += 2000
        name = f"r{number}"
        actions = gateway.handle(
            now, RequestReceived(name, 0, 0, f"{number % 50:016x}", 1_900_000, 1.0, 3, 0)
        )
        for action in actions:
            if isinstance(action, ForwardAttempt):
                gateway.handle(now, AttemptEnded(name, True, 0, action.endpoint, AttemptResult.OK, 30_000))
    return (time.process_time() - begun) * 1e6 / COST_TRIES


def memory(count: int) -> float:
    """Bytes that limits hold for each customer with a ceiling, a quota spent here and its home elsewhere."""
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
        limits.request_capacity(10 * SECOND_US, key, 1.0)
        limits.reachable_quota(10 * SECOND_US, key)
        limits.record_spending(10 * SECOND_US, key, 1.0, 1.0)
    taken = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    return taken / count


def costs(quick: bool) -> dict[str, float]:
    figures: dict[str, float] = {}
    customers = QUICK_CUSTOMERS if quick else CUSTOMERS
    for doors in TIERS:
        for side, with_limits in (("before_", False), ("", True)):
            messages, size = tier(doors, customers, with_limits)
            figures[f"{side}messages_per_s_{doors}"] = round(messages, 1)
            figures[f"{side}bytes_per_s_{doors}"] = round(size)
    ratios = []
    for number in range(QUICK_COST_ROUNDS if quick else COST_ROUNDS):
        without = try_us(False, number)
        ratios.append(try_us(True, number) / without)
    figures["module_cpu_ratio"] = round(statistics.median(ratios), 3)
    figures["module_us"] = round(without, 1)
    figures["bytes_per_customer"] = round(memory(customers))
    return figures


def measure(quick: bool, seed: int, progress: bool) -> Result:
    """Aims: the issue's, and the bounds of docs/design/limits.md."""

    def say(text: str) -> None:
        if progress:
            print(text, file=sys.stderr)

    figures, more = histories(quick, say)
    figures |= moved(quick, say)
    say("a building that moves: done")
    figures |= rig_days(quick)
    say("days of the whole program: done")
    figures |= costs(quick)
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

"""What is kept by member is declared: by what the code says, and by what a live gateway holds."""

import zlib
from collections.abc import Iterator
from functools import cache
from pathlib import Path
from typing import Any

from molereach.cache.door import Door, Failed
from molereach.cache.purge.bodies import Ask
from molereach.cache.purge.holdings import HOLDINGS, Effect, declared
from molereach.cache.readings.settings import ReadingSettings, S
from molereach.coordination.interface.log import Applied, Restored
from molereach.limits.core import Limits
from molereach.limits.settings import LimitSettings
from molereach.policy.gateway import Gateway
from molereach.policy.interface.events import (
    AttemptEnded,
    AttemptResult,
    Endpoint,
    EndpointListKind,
    EndpointListReceived,
    EndpointState,
    GossipReceived,
    RequestReceived,
    TimerExpired,
)
from molereach.policy.interface.messages import LoanRequest
from molereach.policy.interface.settings import Plan, RequestClass, Settings
from tests.cache.purge.entries import Log, purge_id
from tests.cache.purge.finding import Code, code_of
from tests.cache.sessions import Held

ROOT = Path(__file__).parents[3]
MEMBER = "0000000012345678"
CANARIES = {MEMBER, zlib.crc32(MEMBER.encode())}
GROWING = (dict, list, set)  # and what is derived of them


@cache
def product() -> Code:
    return code_of(ROOT, ("molereach",))


def test_all_that_the_code_keeps_by_member_is_declared() -> None:
    assert set(product().holdings()) - declared().keys() == set()


def test_all_that_is_declared_is_there_once_and_says_what_a_purge_does() -> None:
    assert len({(each.owner, each.attribute) for each in HOLDINGS}) == len(HOLDINGS)
    parts = {(kind.full, name) for kind in product().kinds for name in kind.parts}
    assert declared().keys() <= parts
    assert {each.effect for each in HOLDINGS} == set(Effect) and all(each.stays for each in HOLDINGS)


def test_a_new_holding_is_found_however_it_is_typed() -> None:
    source = """
from collections import OrderedDict, deque
from molereach.policy.interface import events as i
from molereach.policy.interface.events import RequestReceived as Asked
from molereach.policy.interface.messages import CustomerKey
Many = list[Asked]
class Bill:
    customer: str
class Inner:
    def __init__(self, bill: Bill) -> None:
        self.bill = bill
class Holder:
    many: Many
    def __init__(self) -> None:
        self.by_key: dict[CustomerKey, int] = {}
        self.by_tuple: OrderedDict[tuple[int, int, int, int], str] = OrderedDict()
        self.asked: "deque[i.RequestReceived]" = deque()
        self.inner: dict[str, Inner] = {}
        self.counts: dict[str, int] = {}
        self.servers: list[i.Endpoint] = []
"""
    code = code_of(ROOT, ("molereach/policy", "molereach/protocol"))
    code.add("molereach.new", source)
    new = {name for owner, name in code.holdings() if owner == "molereach.new.Holder"}
    assert new == {"many", "by_key", "by_tuple", "asked", "inner"}
    assert not Code().holdings()


# --- what a live one holds ---


def slots(thing: object) -> Iterator[tuple[str, Any]]:
    names = [name for kind in type(thing).__mro__ for name in getattr(kind, "__slots__", ())]
    yield from ((name, getattr(thing, name)) for name in names if hasattr(thing, name))
    yield from vars(thing).items() if hasattr(thing, "__dict__") else ()


def holders(thing: object, seen: set[Any], at: tuple[str, str] | None) -> Iterator[tuple[str, str]]:
    """The attributes, innermost that can grow, under which a canary is."""
    if isinstance(thing, (str, int)):
        if thing in CANARIES and at:
            yield at
        return
    if (id(thing), at) in seen or isinstance(thing, type) or callable(thing):
        return
    seen.add((id(thing), at))
    if isinstance(thing, dict):
        for key, value in thing.items():
            yield from holders(key, seen, at)
            yield from holders(value, seen, at)
    elif isinstance(thing, (list, tuple, set, frozenset)) or hasattr(thing, "popleft"):
        for each in thing:  # type: ignore[attr-defined]
            yield from holders(each, seen, at)
    elif type(thing).__module__.split(".")[0] == "molereach":
        for name, value in slots(thing):
            grows = isinstance(value, GROWING) or hasattr(value, "popleft")
            owner = f"{type(thing).__module__}.{type(thing).__qualname__}"
            yield from holders(value, seen, (owner, name) if grows else at)


def test_all_that_a_live_gateway_holds_of_a_member_is_declared() -> None:
    rules = (RequestClass(S, 2 * S),)
    plans = (Plan(quota_rate=10, quota_burst=2, ceiling_rate=5, ceiling_burst=8),)
    settings = Settings(1, 0, 3, rules, plans, max_attempts=2, may_gossip=True, gossip_messages_per_s=100)
    gateway = Gateway(settings, Limits(settings, LimitSettings()))
    server = Endpoint("s", 0, 0, 0, EndpointState.UP)
    gateway.handle(0, EndpointListReceived(EndpointListKind.FULL, 1, (server,)))
    seen: set[tuple[str, str]] = set()
    for number in range(40):
        now_us = number * S // 20
        request = RequestReceived(f"r{number}", 0, 0, MEMBER, S, set_size=3)
        gateway.handle(now_us, request)
        seen |= set(holders(gateway, set(), None))
        gateway.handle(now_us + 1, TimerExpired(0))
        if number % 3:
            gateway.handle(now_us + 2, AttemptEnded(f"r{number}", False, 0, "s", AttemptResult.OK, 9))
        ask = LoanRequest((zlib.crc32(MEMBER.encode()), 0, 0, 3), number + 1, 0, 0, 500)
        gateway.handle(now_us + 3, GossipReceived(1, (ask,), 7))
        seen |= set(holders(gateway, set(), None))
    assert len(seen) >= 6 and seen - declared().keys() == set()


def test_all_that_the_cache_holds_of_a_member_is_declared_and_dropped_by_a_purge() -> None:
    log = Log()
    door = Door(ReadingSettings({"load": S}, 1 << 20, 1 << 16), log.purges, Held())
    ticket = door.begin(0, MEMBER, "load", b"x")
    assert ticket
    door.end(1, ticket, b"v")
    outcome = log.purge(Ask(purge_id(0), MEMBER))
    door.handle(2, Applied(log.entries[-1], outcome))
    before = set(holders(door, set(), None))
    assert len(before) >= 7 and before - declared().keys() == set()
    other = Door(ReadingSettings({"load": S}, 1 << 20, 1 << 16), log.purges, Held())
    other.handle(2, Restored(1))
    assert ("molereach.cache.door.Door", "_news") in set(holders(other, set(), None))
    door._turn(3)
    after = {declared()[each].effect for each in holders(door, set(), None)}
    assert after == {Effect.PROOF}
    door.handle(4, Failed())

"""All state kept by member is in the inventory: what the code declares, and what live objects contain."""

import zlib
from collections.abc import Iterator
from functools import cache
from pathlib import Path
from typing import Any

from molereach.cache.door import Door, MachineFailed
from molereach.cache.purge.bodies import RequestPurge
from molereach.cache.purge.member_state import MEMBER_STATES, PurgeEffect, by_attribute
from molereach.cache.readings.settings import SECOND_US, ReadingSettings
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
from tests.cache.fake_session import FakeSession
from tests.cache.purge.member_state_scan import SourceCode, read_packages
from tests.cache.purge.purge_log import PurgeLog, purge_id

ROOT = Path(__file__).parents[3]
MEMBER = "0000000012345678"
MEMBER_VALUES = {MEMBER, zlib.crc32(MEMBER.encode())}
GROWING_TYPES = (dict, list, set)  # and their subclasses


@cache
def product_code() -> SourceCode:
    return read_packages(ROOT, ("molereach",))


def test_all_member_state_in_the_code_is_in_the_inventory() -> None:
    assert set(product_code().member_state()) - by_attribute().keys() == set()


def test_each_item_of_the_inventory_exists_once_with_an_effect_and_a_retention() -> None:
    assert len({(state.owner, state.attribute) for state in MEMBER_STATES}) == len(MEMBER_STATES)
    attributes = {
        (scanned.full_name, name) for scanned in product_code().classes for name in scanned.attributes
    }
    assert by_attribute().keys() <= attributes
    assert {state.effect for state in MEMBER_STATES} == set(PurgeEffect) and all(
        state.retention for state in MEMBER_STATES
    )


def test_the_scan_finds_member_state_of_any_type() -> None:
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
    code = read_packages(ROOT, ("molereach/policy", "molereach/protocol"))
    code.add("molereach.new", source)
    found = {name for owner, name in code.member_state() if owner == "molereach.new.Holder"}
    assert found == {"many", "by_key", "by_tuple", "asked", "inner"}
    assert not SourceCode().member_state()


# --- what live objects contain ---


def attribute_values(instance: object) -> Iterator[tuple[str, Any]]:
    names = [name for class_ in type(instance).__mro__ for name in getattr(class_, "__slots__", ())]
    yield from ((name, getattr(instance, name)) for name in names if hasattr(instance, name))
    yield from vars(instance).items() if hasattr(instance, "__dict__") else ()


def find_holders(
    value: object, visited: set[Any], holder: tuple[str, str] | None
) -> Iterator[tuple[str, str]]:
    """The innermost attributes with a growing collection under which the member is found."""
    if isinstance(value, (str, int)):
        if value in MEMBER_VALUES and holder:
            yield holder
        return
    if (id(value), holder) in visited or isinstance(value, type) or callable(value):
        return
    visited.add((id(value), holder))
    if isinstance(value, dict):
        for key, item in value.items():
            yield from find_holders(key, visited, holder)
            yield from find_holders(item, visited, holder)
    elif isinstance(value, (list, tuple, set, frozenset)) or hasattr(value, "popleft"):
        for item in value:  # type: ignore[attr-defined]
            yield from find_holders(item, visited, holder)
    elif type(value).__module__.split(".")[0] == "molereach":
        for name, attribute in attribute_values(value):
            grows = isinstance(attribute, GROWING_TYPES) or hasattr(attribute, "popleft")
            owner = f"{type(value).__module__}.{type(value).__qualname__}"
            yield from find_holders(attribute, visited, (owner, name) if grows else holder)


def test_all_state_of_a_member_in_a_live_gateway_is_in_the_inventory() -> None:
    classes = (RequestClass(SECOND_US, 2 * SECOND_US),)
    plans = (Plan(quota_rate=10, quota_burst=2, ceiling_rate=5, ceiling_burst=8),)
    settings = Settings(1, 0, 3, classes, plans, max_attempts=2, may_gossip=True, gossip_messages_per_s=100)
    gateway = Gateway(settings, Limits(settings, LimitSettings()))
    server = Endpoint("s", 0, 0, 0, EndpointState.UP)
    gateway.handle(0, EndpointListReceived(EndpointListKind.FULL, 1, (server,)))
    holders: set[tuple[str, str]] = set()
    for number in range(40):
        now_us = number * SECOND_US // 20
        request = RequestReceived(f"r{number}", 0, 0, MEMBER, SECOND_US, set_size=3)
        gateway.handle(now_us, request)
        holders |= set(find_holders(gateway, set(), None))
        gateway.handle(now_us + 1, TimerExpired(0))
        if number % 3:
            gateway.handle(now_us + 2, AttemptEnded(f"r{number}", False, 0, "s", AttemptResult.OK, 9))
        loan_request = LoanRequest((zlib.crc32(MEMBER.encode()), 0, 0, 3), number + 1, 0, 0, 500)
        gateway.handle(now_us + 3, GossipReceived(1, (loan_request,), 7))
        holders |= set(find_holders(gateway, set(), None))
    assert len(holders) >= 6 and holders - by_attribute().keys() == set()


def test_all_state_of_a_member_in_the_cache_is_in_the_inventory_and_removed_by_a_purge() -> None:
    log = PurgeLog()
    door = Door(ReadingSettings({"load": SECOND_US}, 1 << 20, 1 << 16), log.purges, FakeSession())
    ticket = door.begin_fill(0, MEMBER, "load", b"x")
    assert ticket
    door.finish_fill(1, ticket, b"v")
    outcome = log.append_purge(RequestPurge(purge_id(0), MEMBER))
    door.handle(2, Applied(log.entries[-1], outcome))
    holders = set(find_holders(door, set(), None))
    assert len(holders) >= 7 and holders - by_attribute().keys() == set()
    restored = Door(ReadingSettings({"load": SECOND_US}, 1 << 20, 1 << 16), log.purges, FakeSession())
    restored.handle(2, Restored(1))
    assert ("molereach.cache.door.Door", "_news") in set(find_holders(restored, set(), None))
    door._on_tick(3)
    effects = {by_attribute()[holder].effect for holder in find_holders(door, set(), None)}
    assert effects == {PurgeEffect.PURGE_STATE}
    door.handle(4, MachineFailed())

"""Endpoints that share an address: only the one that started last is reported."""

import random
from dataclasses import replace

from molereach.endpoint_address import EndpointAddress
from molereach.policy.interface.events import Endpoint, EndpointListKind, EndpointListReceived, EndpointState
from molereach.subsetting.address_owners import AddressOwners
from molereach.subsetting.interface import SubsetUpdate, removed

OLD = Endpoint("old", 0, 0, 0, EndpointState.UP, started_us=1_000)
NEW = Endpoint("new", 1, 0, 1, EndpointState.UP, started_us=9_000)
OTHER = Endpoint("other", 0, 0, 0, EndpointState.UP)
HERE = ("127.0.0.1", 7000)
ELSEWHERE = ("127.0.0.1", 7001)
FULL, CHANGES = EndpointListKind.FULL, EndpointListKind.CHANGES


def make_update(kind: EndpointListKind, *listed: tuple[Endpoint, EndpointAddress | None]) -> SubsetUpdate:
    """An update with these endpoints and their addresses."""
    event = EndpointListReceived(kind, 7, tuple(endpoint for endpoint, _ in listed))
    return SubsetUpdate(event, {endpoint.name: address for endpoint, address in listed if address})


def test_update_without_a_shared_address_is_passed_on_unchanged() -> None:
    owners = AddressOwners()
    for update in (
        make_update(FULL, (OLD, HERE), (OTHER, ELSEWHERE)),
        make_update(CHANGES, (removed(OLD), None)),
        make_update(CHANGES, (NEW, HERE)),
        make_update(EndpointListKind.FAILED),
    ):
        assert owners.apply(update) is update


def test_endpoint_that_takes_over_an_address_removes_the_earlier_one() -> None:
    """Guards against requests for a backend that has gone, which reached the new one at its address."""
    owners = AddressOwners()
    owners.apply(make_update(FULL, (OLD, HERE), (OTHER, ELSEWHERE)))
    published = owners.apply(make_update(CHANGES, (NEW, HERE)))
    assert published.event.endpoints == (NEW, removed(OLD))
    assert published.addresses == {"new": HERE}
    # What is listed of it afterwards changes nothing, and neither does its removal.
    drained = replace(OLD, state=EndpointState.DRAINING)
    assert owners.apply(make_update(CHANGES, (drained, HERE))).event.endpoints == (removed(OLD),)
    assert owners.apply(make_update(CHANGES, (removed(OLD), None))).event.endpoints == (removed(OLD),)
    assert not owners.hidden


def test_full_list_is_published_without_the_earlier_endpoint() -> None:
    for listed in (((OLD, HERE), (NEW, HERE)), ((NEW, HERE), (OLD, HERE))):
        published = AddressOwners().apply(make_update(FULL, *listed, (OTHER, ELSEWHERE)))
        assert published.event.endpoints == (NEW, OTHER)
        assert published.addresses == {"new": HERE, "other": ELSEWHERE}


def test_earlier_endpoint_is_used_again_when_the_later_one_leaves_the_address() -> None:
    for leaving in ((removed(NEW), None), (NEW, ELSEWHERE)):
        owners = AddressOwners()
        owners.apply(make_update(FULL, (OLD, HERE), (NEW, HERE)))
        published = owners.apply(make_update(CHANGES, leaving))
        assert published.event.endpoints == (leaving[0], OLD)
        assert published.addresses["old"] == HERE
        assert not owners.hidden


def test_endpoints_of_which_none_is_known_to_be_later_are_all_reported() -> None:
    twin = replace(OTHER, name="twin")
    update = make_update(FULL, (OTHER, HERE), (twin, HERE))
    assert AddressOwners().apply(update) is update
    # A start of 0 is long ago; a start before the machine's own is negative.
    before_boot = replace(OLD, started_us=-5_000)
    published = AddressOwners().apply(make_update(FULL, (OTHER, HERE), (before_boot, HERE)))
    assert published.event.endpoints == (before_boot,)


def test_what_is_published_always_has_one_latest_endpoint_at_an_address() -> None:
    """Random updates: the published endpoints are those of the list without all that are superseded."""
    rng = random.Random(7)
    for _ in range(200):
        owners = AddressOwners()
        listed: dict[str, tuple[Endpoint, EndpointAddress]] = {}
        published: dict[str, tuple[Endpoint, EndpointAddress]] = {}
        for step in range(20):
            kind = FULL if step == 0 or rng.random() < 0.1 else CHANGES
            entries = []
            for name in rng.sample("abcdef", rng.randint(1, 4)):
                state = rng.choice([EndpointState.UP, EndpointState.DRAINING, EndpointState.REMOVED])
                if kind is FULL and state is EndpointState.REMOVED:
                    continue
                endpoint = Endpoint(name, 0, 0, 0, state, started_us=rng.randrange(4))
                entries.append((endpoint, ("127.0.0.1", rng.randrange(3))))
            if kind is FULL:
                listed.clear()
                published.clear()
            update = owners.apply(make_update(kind, *entries))
            for endpoint, address in entries:
                listed.pop(endpoint.name, None)
                if endpoint.state is not EndpointState.REMOVED:
                    listed[endpoint.name] = endpoint, address
            for endpoint in update.event.endpoints:
                published.pop(endpoint.name, None)
                if endpoint.state is not EndpointState.REMOVED:
                    published[endpoint.name] = endpoint, update.addresses[endpoint.name]
            latest = {
                address: max(other.started_us for other, place in listed.values() if place == address)
                for _, address in listed.values()
            }
            assert published == {
                name: (endpoint, address)
                for name, (endpoint, address) in listed.items()
                if endpoint.started_us == latest[address]
            }

"""The checks that every front shares, with no syntax around them."""

import pytest

from molereach.clients.requests import CommandError, RequestChecks
from tests.sockets import CONFIG, CUSTOMER

FIELDS = {"c": "book", "t": "team", "d": "900", "k": "5c0f", "units": "2.5", "spread": "2", "first": "1"}


def test_fields_become_the_request_that_the_module_sees() -> None:
    found = RequestChecks(CONFIG).check(CUSTOMER.upper().encode(), b"a1", {**FIELDS, "r": "1"}, True, 25_000)
    assert (found.request_id, found.class_index, found.plan_index, found.customer) == ("a1", 1, 0, CUSTOMER)
    assert (found.remaining_us, found.units, found.set_size, found.set_first) == (875_000, 2.5, 2, 1)
    assert found.is_client_retry and found.is_write


@pytest.mark.parametrize(
    ("changes", "reason"),
    [
        ({"c": "fly"}, "unknown class"),
        ({"c": "read"}, "does not serve this class"),
        ({"k": ""}, "key is missing"),
        ({"t": ""}, "unknown plan"),
        ({"d": "-1"}, "invalid time"),
        ({"d": "12001"}, "invalid time"),
        ({"d": "\u0664"}, "invalid time"),
        ({"units": "0"}, "invalid units"),
        ({"units": "nan"}, "invalid units"),
        ({"units": "1001"}, "invalid units"),
        ({"spread": "3"}, "invalid spread"),
        ({"spread": "1", "first": "1"}, "set is without"),
    ],
)
def test_what_is_wrong_is_named(changes: dict[str, str], reason: str) -> None:
    with pytest.raises(CommandError, match=reason):
        RequestChecks(CONFIG).check(CUSTOMER.encode(), b"a1", {**FIELDS, **changes}, True, 0)


@pytest.mark.parametrize(
    ("customer", "name"),
    [
        (b"0" * 15, b"a1"),
        (b"f" * 16, b"a1"),
        (b"x" * 16, b"a1"),
        (CUSTOMER.encode(), b""),
        (CUSTOMER.encode(), b"a" * 65),
        (CUSTOMER.encode(), b"a b"),
    ],
)
def test_who_asks_and_the_id_are_checked(customer: bytes, name: bytes) -> None:
    with pytest.raises(CommandError):
        RequestChecks(CONFIG).check(customer, name, FIELDS, True, 0)

"""Validation of request fields, independent of any protocol."""

import pytest

from molereach.clients.commands import MAX_FIELDS, MAX_FIELDS_BYTES, parse_fields
from molereach.clients.requests import CommandError, RequestValidator
from tests.sockets import CONFIG, CUSTOMER

FIELDS = {"c": "book", "t": "team", "d": "900", "k": "5c0f", "units": "2.5", "spread": "2", "first": "1"}


def test_valid_fields_become_a_request() -> None:
    request = RequestValidator(CONFIG).validate(
        CUSTOMER.upper().encode(), b"a1", {**FIELDS, "r": "1"}, True, 25_000
    )
    assert (request.request_id, request.class_index, request.plan_index, request.customer) == (
        "a1",
        1,
        0,
        CUSTOMER,
    )
    assert (request.remaining_us, request.units, request.set_size, request.set_first) == (875_000, 2.5, 2, 1)
    assert request.is_client_retry and request.is_write


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
def test_error_names_the_invalid_field(changes: dict[str, str], reason: str) -> None:
    with pytest.raises(CommandError, match=reason):
        RequestValidator(CONFIG).validate(CUSTOMER.encode(), b"a1", {**FIELDS, **changes}, True, 0)


@pytest.mark.parametrize(
    ("customer", "request_id"),
    [
        (b"0" * 15, b"a1"),
        (b"f" * 16, b"a1"),
        (b"x" * 16, b"a1"),
        (CUSTOMER.encode(), b""),
        (CUSTOMER.encode(), b"a" * 65),
        (CUSTOMER.encode(), b"a b"),
    ],
)
def test_customer_and_request_id_are_validated(customer: bytes, request_id: bytes) -> None:
    with pytest.raises(CommandError):
        RequestValidator(CONFIG).validate(customer, request_id, FIELDS, True, 0)


def test_fields_are_limited_in_number_and_length() -> None:
    """Guards against a stall: dividing heads of thousands of short fields held the event loop for seconds."""
    names = [f"f{number}" for number in range(9000)]
    most = ",".join(f"{name}=1" for name in names[:MAX_FIELDS])
    assert list(parse_fields(most.encode())) == names[:MAX_FIELDS]
    longest = b"f=" + b"1" * (MAX_FIELDS_BYTES - len(b"f="))
    assert list(parse_fields(longest)) == ["f"]
    for too_much in (",".join(f"{name}=1" for name in names).encode(), longest + b"1"):
        with pytest.raises(CommandError, match="too many fields"):
            parse_fields(too_much)
    one_more = ",".join(f"{name}=1" for name in names[: MAX_FIELDS + 1])
    with pytest.raises(CommandError, match="too many fields"):
        parse_fields(one_more.encode())

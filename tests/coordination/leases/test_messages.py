"""Renewal messages: bounded size, and rejection of invalid fields."""

import msgspec
import pytest

from molereach.coordination.interface.sessions import RenewalGrant, RenewalRequest


def test_request_with_a_21_character_name_takes_at_most_48_bytes() -> None:
    request = RenewalRequest("front-door-0123456789", 1 << 61, 1 << 31, 1 << 31, 1 << 31)
    data = msgspec.msgpack.encode(request)
    assert len(data) <= 48 and msgspec.msgpack.decode(data, type=RenewalRequest) == request


@pytest.mark.parametrize(
    "fields",
    [
        ["", 1, 1, 1, 1],
        ["a" * 65, 1, 1, 1, 1],
        ["a", -1, 1, 1, 1],
        ["a", 1, 1, 0, 1],
        ["a", 1, 1, 1, 1 << 63],
        ["a", 1, 1, 1, 1, -1],
        ["a", 1, 1, 1],
        ["a", 1, 1, "1", 1],
    ],
)
def test_invalid_request_is_rejected(fields: list[object]) -> None:
    with pytest.raises(msgspec.ValidationError):
        msgspec.convert(fields, RenewalRequest)


@pytest.mark.parametrize("fields", [["a", 1, 1, 0], ["a", 1, -1, 1], ["a", 1, 1, 1, 1], ["a", 1, 1]])
def test_invalid_grant_is_rejected(fields: list[object]) -> None:
    with pytest.raises(msgspec.ValidationError):
        msgspec.convert(fields, RenewalGrant)

"""What goes along the tree: small, bounded, and refused when it is not as it says."""

import msgspec
import pytest

from molereach.coordination.interface.sessions import RenewalGrant, RenewalRequest


def test_a_request_takes_at_most_48_bytes_in_the_bound_of_the_design() -> None:
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
def test_a_request_that_is_not_one_is_refused(fields: list[object]) -> None:
    with pytest.raises(msgspec.ValidationError):
        msgspec.convert(fields, RenewalRequest)


@pytest.mark.parametrize("fields", [["a", 1, 1, 0], ["a", 1, -1, 1], ["a", 1, 1, 1, 1], ["a", 1, 1]])
def test_a_grant_that_is_not_one_is_refused(fields: list[object]) -> None:
    with pytest.raises(msgspec.ValidationError):
        msgspec.convert(fields, RenewalGrant)

"""Inconsistent settings are rejected."""

import pytest

from molereach.coordination.membership.settings import MembershipSettings


@pytest.mark.parametrize(
    "invalid",
    [
        {"ping_timeout_us": 500_000},
        {"ping_timeout_us": 0},
        {"suspicion_intervals": 0},
        {"max_local_health_score": -1},
        {"forget_us": 1},
        {"retry_intervals": 0},
    ],
)
def test_invalid_settings_are_rejected(invalid: dict[str, int]) -> None:
    with pytest.raises(ValueError, match="must"):
        MembershipSettings(**invalid)

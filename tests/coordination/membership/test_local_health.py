"""The local health score: bounds and scaling."""

from molereach.coordination.membership.local_health import LocalHealth


def test_score_is_bounded_and_reports_changes() -> None:
    local_health = LocalHealth(8)
    assert not local_health.adjust(-1)
    assert local_health.adjust(3) and local_health.scale(100) == 400
    assert local_health.adjust(100) and local_health.score == 8 and not local_health.adjust(1)

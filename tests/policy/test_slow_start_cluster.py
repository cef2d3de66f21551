"""Cold servers under the sum of what many gateways send: N, and beyond it only what is put down to chance."""

import pytest

from tests.policy.slow_start_cluster import CAPACITY, NEW_BACKENDS, RETURNING_BACKENDS, SlowStartCluster


@pytest.mark.parametrize("price", [0.0, 0.08])
@pytest.mark.parametrize("gateways", [20, 30])
def test_no_cold_server_gets_more_than_it_bears_from_all_gateways_together(
    gateways: int, price: float
) -> None:
    """In no window of the time that settings name, new or returned, under a burst, whichever the chance. They
    are not spared altogether either: what they can do is needed."""
    for seed in range(2):
        day = SlowStartCluster(gateways, seed, handshake_price=price).run()
        table = day.fullest_windows()
        assert len(table) == NEW_BACKENDS + RETURNING_BACKENDS
        for name, (count, n, part) in table.items():
            assert part <= 1, f"{name} of seed {seed} got {count} where it is allowed {n:.1f}"
            assert len(day.forwarded_at_us[name]) > 0.25 * CAPACITY * 5

"""The total load that many gateways send to backends in slow start stays within its bound."""

import pytest

from tests.policy.slow_start_cluster import CAPACITY, NEW_BACKENDS, RETURNING_BACKENDS, SlowStartCluster


@pytest.mark.parametrize("handshake_price", [0.0, 0.08])
@pytest.mark.parametrize("gateway_count", [20, 30])
def test_backend_in_slow_start_is_not_overloaded_by_all_gateways_together(
    gateway_count: int, handshake_price: float
) -> None:
    """This holds for new and for returning backends, under a burst, in every window and for several seeds.

    The backends still receive a minimum of attempts, since their capacity is needed.
    """
    for seed in range(2):
        cluster = SlowStartCluster(gateway_count, seed, handshake_price=handshake_price).run()
        fullest_windows = cluster.fullest_windows()
        assert len(fullest_windows) == NEW_BACKENDS + RETURNING_BACKENDS
        for name, (count, n, fraction) in fullest_windows.items():
            assert fraction <= 1, f"{name} of seed {seed} got {count} attempts where it bears {n:.1f}"
            assert len(cluster.forwarded_at_us[name]) > 0.25 * CAPACITY * 5

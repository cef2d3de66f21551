"""Cold servers under the sum of what many gateways send: N, and beyond it only what is put down to chance."""

import pytest

from tests.policy.throng import BACK, CAPACITY, NEW, Throng


@pytest.mark.parametrize("price", [0.0, 0.08])
@pytest.mark.parametrize("gateways", [20, 30])
def test_no_cold_server_gets_more_than_it_bears_from_all_gateways_together(
    gateways: int, price: float
) -> None:
    """In no window of the time that settings name, new or returned, under a burst, whichever the chance. They
    are not spared altogether either: what they can do is needed."""
    for seed in range(2):
        day = Throng(gateways, seed, handshake_price=price).play()
        table = day.table()
        assert len(table) == NEW + BACK
        for name, (count, n, part) in table.items():
            assert part <= 1, f"{name} of seed {seed} got {count} where it is allowed {n:.1f}"
            assert len(day.sent[name]) > 0.25 * CAPACITY * 5

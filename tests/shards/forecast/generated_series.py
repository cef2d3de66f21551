"""Series as a shard's growth may be, drawn by other rules than the model's own."""

import numpy as np

from molereach.shards.forecast.effects import in_khareef
from molereach.shards.forecast.size_forecast import Past

FIRST_DAY = 738_000


def drawn_days(seed: int, days: int) -> np.ndarray:
    """Bytes of each day: a trend that bends, a week, the khareef, a tariff's change, noise that lasts."""
    draw = np.random.default_rng(seed)
    at = np.arange(days)
    trend = draw.uniform(-0.0005, 0.002) * at + np.cumsum(draw.normal(0, draw.uniform(0.002, 0.01), days))
    week = draw.normal(0, draw.uniform(0.05, 0.25), 7)[(FIRST_DAY + at) % 7]
    khareef = draw.uniform(0.1, 0.7) * np.array([in_khareef(FIRST_DAY + day) for day in range(days)])
    tariff = draw.uniform(-0.4, 0.6) * (at >= draw.integers(60, 2 * days)) if draw.random() < 0.5 else 0.0
    noise, lasting = np.zeros(days), draw.uniform(0, 0.5)
    for day in range(1, days):
        noise[day] = lasting * noise[day - 1] + draw.normal(0, 0.1) * (1 if draw.random() < 0.97 else 3)
    return np.exp(draw.uniform(18, 23) + trend + week + khareef + tariff + noise).astype(np.int64)


def past_of(daily: np.ndarray, seed: int, until: int) -> Past:
    """Counts up to a day, with gaps, and a counter that starts anew."""
    draw = np.random.default_rng(seed + 9000)
    counts: list[int | None] = [0, *(int(each) for each in np.cumsum(daily[:until]))]
    if draw.random() < 0.3:
        anew = int(draw.integers(1, until))
        base = counts[anew] or 0
        counts[anew:] = [each - base for each in counts[anew:] if each is not None]
    for _ in range(int(draw.integers(0, 4))):
        gap = int(draw.integers(1, until - 8))
        counts[gap : gap + 5] = [None] * 5
    return Past(int(daily[:until].sum()), FIRST_DAY - 1, tuple(counts[: until + 1]))

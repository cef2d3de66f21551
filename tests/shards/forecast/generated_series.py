"""Generated series of a shard's growth, by other rules than the model's own."""

import numpy as np

from molereach.shards.forecast.effects import in_khareef
from molereach.shards.forecast.size_forecast import ShardHistory

FIRST_DAY = 738_000


def generate_daily_bytes(seed: int, days: int) -> np.ndarray:
    """Bytes of each day: a varying trend, a weekly pattern, the khareef, a tariff change, lasting noise."""
    generator = np.random.default_rng(seed)
    index = np.arange(days)
    trend = generator.uniform(-0.0005, 0.002) * index + np.cumsum(
        generator.normal(0, generator.uniform(0.002, 0.01), days)
    )
    week = generator.normal(0, generator.uniform(0.05, 0.25), 7)[(FIRST_DAY + index) % 7]
    khareef = generator.uniform(0.1, 0.7) * np.array([in_khareef(FIRST_DAY + day) for day in range(days)])
    tariff = (
        generator.uniform(-0.4, 0.6) * (index >= generator.integers(60, 2 * days))
        if generator.random() < 0.5
        else 0.0
    )
    noise, correlation = np.zeros(days), generator.uniform(0, 0.5)
    for day in range(1, days):
        noise[day] = correlation * noise[day - 1] + generator.normal(0, 0.1) * (
            1 if generator.random() < 0.97 else 3
        )
    return np.exp(generator.uniform(18, 23) + trend + week + khareef + tariff + noise).astype(np.int64)


def history_until(daily: np.ndarray, seed: int, until: int) -> ShardHistory:
    """The counts up to a day, with gaps, and sometimes with a counter that restarts."""
    generator = np.random.default_rng(seed + 9000)
    counts: list[int | None] = [0, *(int(each) for each in np.cumsum(daily[:until]))]
    if generator.random() < 0.3:
        restart = int(generator.integers(1, until))
        base = counts[restart] or 0
        counts[restart:] = [each - base for each in counts[restart:] if each is not None]
    for _ in range(int(generator.integers(0, 4))):
        gap = int(generator.integers(1, until - 8))
        counts[gap : gap + 5] = [None] * 5
    return ShardHistory(int(daily[:until].sum()), FIRST_DAY - 1, tuple(counts[: until + 1]))

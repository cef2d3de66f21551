"""Positions of backends and proxies on one hash ring, and how far back a proxy has to look. A core.

A backend's position is the hash of its name. Proxy n is at n times the golden ratio, which spreads any
number of proxies evenly and moves none when their number changes (Weyl's sequence; Knuth, The Art of Computer
Programming 3, 6.4: Fibonacci hashing). Proxies with consecutive numbers, which share customers, are far
apart. A proxy's subset is what lies behind it on the ring, so a backend that joins or leaves concerns only
the proxies next after it.
"""

import heapq
from hashlib import blake2b

RING_BITS = 64
RING_SIZE = 1 << RING_BITS
GOLDEN_RATIO_STEP = 0x9E3779B97F4A7C15  # the ring over the golden ratio; odd, so that no two proxies coincide
MIN_PROXIES_PER_BACKEND = 2  # whatever the numbers of proxies: one of them may be down


def backend_position(name: bytes) -> int:
    """The position of a backend, by its name in UTF-8."""
    return int.from_bytes(blake2b(name, digest_size=RING_BITS // 8).digest(), "big")


def proxy_position(number: int) -> int:
    """The position of a proxy, by its number in the settings."""
    return number * GOLDEN_RATIO_STEP % RING_SIZE


def distance_behind(position: int, proxy: int) -> int:
    """How far a position lies behind that of a proxy, going backwards round the ring."""
    return (proxy - position) % RING_SIZE


def min_subset_distance(proxy_index: int, proxy_count: int) -> int:
    """How far back a proxy has to look so that every backend is in `MIN_PROXIES_PER_BACKEND` subsets.

    That is the distance to the second next proxy behind it, or the whole ring where there are no more proxies
    than that. Linear in the number of proxies; computed once, at the start.
    """
    if proxy_count <= MIN_PROXIES_PER_BACKEND:
        return RING_SIZE
    position = proxy_position(proxy_index)
    distances = (
        distance_behind(proxy_position(number), position)
        for number in range(proxy_count)
        if number != proxy_index
    )
    return heapq.nsmallest(MIN_PROXIES_PER_BACKEND, distances)[-1]

"""Positions of backends and proxies on a hash ring, and the distance that a proxy's subset has to cover.

A backend's position is the hash of its name. Proxy n is at n times the golden ratio, which distributes any
number of proxies evenly and moves none of them when their number changes (Weyl sequence; Knuth, The Art of
Computer Programming 3, 6.4: Fibonacci hashing). Proxies with consecutive numbers, which share customers, are
far apart. A proxy's subset are the backends behind it on the ring, so a backend that joins or leaves affects
only the next proxies after it. No I/O.
"""

import heapq
from hashlib import blake2b

RING_BITS = 64
RING_SIZE = 1 << RING_BITS
GOLDEN_RATIO_STEP = 0x9E3779B97F4A7C15  # RING_SIZE over the golden ratio; odd, so that no positions coincide
MIN_PROXIES_PER_BACKEND = 2  # for any number of proxies from 2 on, as one of the two may be down


def backend_position(name: bytes) -> int:
    """Position of a backend by its encoded name."""
    return int.from_bytes(blake2b(name, digest_size=RING_BITS // 8).digest(), "big")


def proxy_position(number: int) -> int:
    """Position of a proxy by its index in the settings."""
    return number * GOLDEN_RATIO_STEP % RING_SIZE


def distance_behind(position: int, proxy: int) -> int:
    """Distance from a proxy's position back to another position, around the ring."""
    return (proxy - position) % RING_SIZE


def min_subset_distance(proxy_index: int, proxy_count: int) -> int:
    """Distance that a subset has to cover so that each backend is in `MIN_PROXIES_PER_BACKEND` subsets.

    That is the distance to the second proxy behind this one, or the whole ring if there are at most two
    proxies. Linear in the number of proxies; computed once at startup.
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

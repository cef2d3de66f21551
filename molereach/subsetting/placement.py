"""Where backends and front doors stand on one ring, and how far back a front door has to see. A core.

A backend stands where the hash of its name says; front door n at n times the golden ratio, which spreads any
number of them evenly and moves none when their number changes (Weyl's sequence; Knuth, The Art of Computer
Programming 3, 6.4: Fibonacci hashing). Front doors with numbers in a row, which share customers, stand far
apart. What a front door sees is what lies behind it on the ring, so a backend that comes or goes concerns
only those that stand next after it.
"""

import heapq
from hashlib import blake2b

BITS = 64
RING = 1 << BITS
STEP = 0x9E3779B97F4A7C15  # the ring over the golden ratio; odd, so that no two front doors share a place
LEAST_DOORS = 2  # that see a backend, whatever the numbers: one may be down


def place_of(name: bytes) -> int:
    """Of a backend, by its name in UTF-8."""
    return int.from_bytes(blake2b(name, digest_size=BITS // 8).digest(), "big")


def door_place(number: int) -> int:
    return number * STEP % RING


def behind(place: int, door: int) -> int:
    """How far a place lies behind that of a front door."""
    return (door - place) % RING


def least_reach(me: int, doors: int) -> int:
    """How far back a front door has to see, so that with all others every backend has `LEAST_DOORS`: to the
    second next one behind it. The whole ring where there are no more than that. Linear in the front doors;
    it is asked once, at the start."""
    if doors <= LEAST_DOORS:
        return RING
    own = door_place(me)
    others = (behind(door_place(number), own) for number in range(doors) if number != me)
    return heapq.nsmallest(LEAST_DOORS, others)[-1]

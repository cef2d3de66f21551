"""The slots of unauthenticated connections."""

from molereach.coordination.transport.connection_slots import ConnectionSlots


def test_slots_are_limited_in_total_and_per_source() -> None:
    slots = ConnectionSlots(5, 3)
    assert [slots.acquire("x") for _ in range(4)] == [True, True, True, False]
    assert [slots.acquire("y") for _ in range(3)] == [True, True, False] and slots.rejected == 2
    slots.release("x")
    assert slots.acquire("y") and not slots.acquire("z")
    for source in ("x", "x", "y", "y", "y"):
        slots.release(source)
    assert not slots.used

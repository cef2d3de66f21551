"""What waits, when to dial, whether a link lives, how much in a turn, how many unproven."""

from hypothesis import given
from hypothesis import strategies as st

from molereach.coordination.transport import retry_backoff
from molereach.coordination.transport.budget import BEGIN_US, MAX_STEPS, MAX_TURN_US, EventLoopBudget
from molereach.coordination.transport.connection_slots import ConnectionSlots
from molereach.coordination.transport.heartbeat import ConnectionHealth, HeartbeatMonitor
from molereach.coordination.transport.retry_backoff import RetryBackoff
from molereach.coordination.transport.send_queue import QueueCapacity, QueuedMessage, QueueLimits, SendQueue

RULES = {
    "log": QueueLimits(4, 100, droppable=False),
    "spread": QueueLimits(6, 100, latest_only=frozenset({int})),
    "hint": QueueLimits(6, 100),
}


def item(part: str, body: bytes, kind: type = str, life: int | None = None) -> QueuedMessage:
    return QueuedMessage(part, kind, body, life)


def said(box: SendQueue, life: int = 1) -> list[bytes]:
    found = []
    while one := box.pop(life):
        found.append(one.body)
    return found


def test_messages_go_in_the_order_in_which_they_were_said_over_all_parts() -> None:
    box = SendQueue(RULES)
    for number, part in enumerate(("log", "hint", "spread", "log", "hint")):
        box.put(item(part, b"%d" % number))
    assert said(box) == [b"0", b"1", b"2", b"3", b"4"] and not len(box) and not box.size


def test_the_oldest_of_a_part_that_may_lose_goes_first_and_of_another_the_new_one() -> None:
    box = SendQueue(RULES)
    assert all(box.put(item("hint", b"%d" % number)) for number in range(9))
    assert [box.put(item("log", b"%d" % number)) for number in range(5)] == [True] * 4 + [False]
    assert box.dropped == 4
    assert said(box) == [b"3", b"4", b"5", b"6", b"7", b"8", b"0", b"1", b"2", b"3"]


def test_where_the_room_of_all_is_short_what_may_not_be_lost_pushes_out_what_may() -> None:
    box = SendQueue(RULES, QueueCapacity(3, 1000))
    for part, body in (("log", b"a"), ("hint", b"b"), ("spread", b"c"), ("log", b"d"), ("log", b"e")):
        assert box.put(item(part, body))
    assert not box.put(item("log", b"f")) and box.dropped == 3
    assert said(box) == [b"a", b"d", b"e"]


def test_a_later_one_of_a_kind_takes_the_place_of_an_older_one_for_the_same_run_only() -> None:
    box = SendQueue(RULES)
    for body, kind, life in ((b"1", int, None), (b"2", str, None), (b"3", int, 7), (b"4", int, None)):
        box.put(item("spread", body, kind, life))
    box.put(item("spread", b"5"))
    assert (box.superseded, box.dropped) == (1, 0)
    assert said(box, 7) == [b"2", b"3", b"4", b"5"]
    box.put(item("spread", b"6", int))  # the one before has left: nothing of it is kept
    assert said(box) == [b"6"] and box.superseded == 1


def test_what_is_for_another_run_is_dropped() -> None:
    box = SendQueue(RULES)
    for life in (6, None, 7):
        box.put(item("hint", b"%d" % (life or 0), life=life))
    assert said(box, 7) == [b"0", b"7"] and box.dropped == 1


def test_with_less_room_what_may_be_lost_gives_way_and_the_rest_stays_to_its_own_bounds() -> None:
    box = SendQueue(RULES, QueueCapacity(99, 9999))
    for number, part in enumerate(("hint", "log", "spread", "log", "hint", "log")):
        box.put(item(part, b"%d" % number))
    box.set_capacity(QueueCapacity(4, 9999))
    assert box.dropped == 2
    box.set_capacity(QueueCapacity(1, 9999))
    assert box.dropped == 3 and not box.put(item("log", b"6")) and not box.put(item("hint", b"7"))
    assert said(box) == [b"1", b"3", b"5"]


@given(
    st.lists(
        st.tuples(
            st.sampled_from(sorted(RULES)),
            st.integers(0, 130),
            st.sampled_from((int, str)),
            st.sampled_from((None, 1, 2)),
        )
    ),
    st.integers(1, 12),
    st.integers(1, 200),
)
def test_bounds_hold_after_each_message_and_all_are_accounted_for(
    many: list[tuple[str, int, type, int | None]],
    most: int,
    most_bytes: int,
) -> None:
    box = SendQueue(RULES, QueueCapacity(most, most_bytes))
    for part, size, kind, life in many:
        box.put(item(part, bytes(size), kind, life))
        assert len(box) <= most and box.size <= most_bytes
        for name, rule in RULES.items():
            waiting = box.protocol_queues[name]
            assert len(waiting.messages) <= rule.max_messages
            assert waiting.size == sum(len(one.body) for one in waiting.messages.values()) <= rule.max_bytes
            assert len(waiting.latest_numbers) <= len(waiting.messages)
    assert len(said(box)) + box.dropped + box.superseded == len(many)


def test_waits_double_up_to_the_most_and_chance_shortens_them_within_bounds() -> None:
    late, early = RetryBackoff(lambda: 0.0), RetryBackoff(lambda: 0.999)
    waits = []
    for _ in range(8):
        late.on_failed(0)
        early.on_failed(0)
        waits.append(late.delay_us(0))
        assert retry_backoff.MIN_DELAY_US <= early.delay_us(0) <= late.delay_us(0)
    assert waits == [200_000, 400_000, 800_000, 1_600_000, 3_200_000, 5_000_000, 5_000_000, 5_000_000]
    assert (
        early.delay_us(0) < retry_backoff.MAX_DELAY_US * 0.51
        and early.delay_us(retry_backoff.MAX_DELAY_US) == 0
    )


def test_a_link_that_breaks_at_once_is_no_good_one_but_one_that_lasted_is() -> None:
    one = RetryBackoff(lambda: 0.0)
    for _ in range(3):
        one.on_opened(0)
        one.on_failed(retry_backoff.STABLE_AFTER_US - 1)
    assert one.failures == 3
    one.on_opened(0)
    one.on_failed(retry_backoff.STABLE_AFTER_US)
    assert (one.failures, one.delay_us(retry_backoff.STABLE_AFTER_US)) == (1, retry_backoff.MIN_DELAY_US)
    one.on_closed(0)
    assert (one.failures, one.delay_us(0)) == (0, retry_backoff.MIN_DELAY_US)


def test_a_silent_peer_is_found_only_while_something_is_unacknowledged() -> None:
    pulse = HeartbeatMonitor(4, 50, 60)
    assert all(pulse.check(0, 0) is ConnectionHealth.ALIVE for _ in range(20))
    pulse.on_sent()
    pulse.on_bytes()
    assert [pulse.check(0, 0) for _ in range(5)] == [ConnectionHealth.ALIVE] * 4 + [ConnectionHealth.SILENT]
    pulse = HeartbeatMonitor(4, 50, 60)
    pulse.on_sent()
    pulse.on_acknowledgement(1)
    assert all(pulse.check(0, 0) is ConnectionHealth.ALIVE for _ in range(20))


def test_a_peer_that_speaks_and_does_not_read_is_found_but_a_slow_reader_is_not() -> None:
    def beats(drained: int, acks: bool) -> list[ConnectionHealth]:
        pulse, found = HeartbeatMonitor(4, 5, 60), []
        for number in range(20):
            pulse.on_sent()
            pulse.on_bytes()
            if acks:
                pulse.on_acknowledgement(number)
            found.append(pulse.check(number * drained, 1000))
        return found

    assert beats(0, False)[:5] == [ConnectionHealth.ALIVE] * 4 + [ConnectionHealth.STALLED]
    assert beats(1, False) == beats(0, True) == [ConnectionHealth.ALIVE] * 20


def test_a_link_without_messages_is_idle_and_one_with_messages_either_way_is_not() -> None:
    pulse = HeartbeatMonitor(4, 5, 3)
    for step in (pulse.on_received, lambda: (pulse.on_sent(), pulse.on_acknowledgement(1))):
        step()
        assert [pulse.check(0, 0) for _ in range(4)] == [ConnectionHealth.ALIVE] * 3 + [ConnectionHealth.IDLE]


def test_what_was_never_sent_cannot_be_acknowledged() -> None:
    pulse = HeartbeatMonitor(4, 5, 60)
    pulse.on_sent()
    for wrong in (2, -1):
        try:
            pulse.on_acknowledgement(wrong)
        except ValueError:
            continue
        raise AssertionError(wrong)


def test_a_turn_ends_by_steps_or_by_time_and_always_takes_one_step() -> None:
    turn, steps = EventLoopBudget(0), 0
    while turn.allows_step(0):
        steps += 1
    assert steps == MAX_STEPS
    late = EventLoopBudget(0)
    assert late.allows_step(10 * MAX_TURN_US) and not late.allows_step(10 * MAX_TURN_US)
    turn = EventLoopBudget(0)
    assert turn.allows_step(0) and turn.allows_step(BEGIN_US - 1) and not turn.allows_step(BEGIN_US)


def test_unproven_connections_are_bounded_in_all_and_of_each_source() -> None:
    places = ConnectionSlots(5, 3)
    assert [places.acquire("x") for _ in range(4)] == [True, True, True, False]
    assert [places.acquire("y") for _ in range(3)] == [True, True, False] and places.rejected == 2
    places.release("x")
    assert places.acquire("y") and not places.acquire("z")
    for source in ("x", "x", "y", "y", "y"):
        places.release(source)
    assert not places.used

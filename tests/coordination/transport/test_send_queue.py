"""The send queue of a peer: order, limits, capacity and what is dropped."""

from hypothesis import given
from hypothesis import strategies as st

from molereach.coordination.transport.send_queue import QueueCapacity, QueuedMessage, QueueLimits, SendQueue

LIMITS = {
    "log": QueueLimits(4, 100, droppable=False),
    "spread": QueueLimits(6, 100, latest_only=frozenset({int})),
    "hint": QueueLimits(6, 100),
}


def queued(
    protocol: str, body: bytes, message_type: type = str, instance_number: int | None = None
) -> QueuedMessage:
    return QueuedMessage(protocol, message_type, body, instance_number)


def pop_all(queue: SendQueue, instance_number: int = 1) -> list[bytes]:
    """The bodies that leave the queue for one instance of the peer."""
    bodies = []
    while message := queue.pop(instance_number):
        bodies.append(message.body)
    return bodies


def test_messages_of_all_protocols_leave_in_the_order_of_sending() -> None:
    queue = SendQueue(LIMITS)
    for number, protocol in enumerate(("log", "hint", "spread", "log", "hint")):
        queue.put(queued(protocol, b"%d" % number))
    assert pop_all(queue) == [b"0", b"1", b"2", b"3", b"4"] and not len(queue) and not queue.size_bytes


def test_a_droppable_protocol_drops_its_oldest_message_and_another_rejects_the_new_one() -> None:
    queue = SendQueue(LIMITS)
    assert all(queue.put(queued("hint", b"%d" % number)) for number in range(9))
    assert [queue.put(queued("log", b"%d" % number)) for number in range(5)] == [True] * 4 + [False]
    assert queue.dropped == 4
    assert pop_all(queue) == [b"3", b"4", b"5", b"6", b"7", b"8", b"0", b"1", b"2", b"3"]


def test_over_capacity_an_undroppable_message_displaces_droppable_ones() -> None:
    queue = SendQueue(LIMITS, QueueCapacity(3, 1000))
    for protocol, body in (("log", b"a"), ("hint", b"b"), ("spread", b"c"), ("log", b"d"), ("log", b"e")):
        assert queue.put(queued(protocol, body))
    assert not queue.put(queued("log", b"f")) and queue.dropped == 3
    assert pop_all(queue) == [b"a", b"d", b"e"]


def test_a_message_supersedes_an_older_one_of_its_type_for_the_same_instance_only() -> None:
    queue = SendQueue(LIMITS)
    for body, message_type, instance_number in (
        (b"1", int, None),
        (b"2", str, None),
        (b"3", int, 7),
        (b"4", int, None),
    ):
        queue.put(queued("spread", body, message_type, instance_number))
    queue.put(queued("spread", b"5"))
    assert (queue.superseded, queue.dropped) == (1, 0)
    assert pop_all(queue, 7) == [b"2", b"3", b"4", b"5"]
    queue.put(queued("spread", b"6", int))  # the previous message was sent, so it is not superseded
    assert pop_all(queue) == [b"6"] and queue.superseded == 1


def test_messages_for_another_instance_are_dropped() -> None:
    queue = SendQueue(LIMITS)
    for instance_number in (6, None, 7):
        queue.put(queued("hint", b"%d" % (instance_number or 0), instance_number=instance_number))
    assert pop_all(queue, 7) == [b"0", b"7"] and queue.dropped == 1


def test_a_smaller_capacity_drops_droppable_messages_and_keeps_the_others() -> None:
    queue = SendQueue(LIMITS, QueueCapacity(99, 9999))
    for number, protocol in enumerate(("hint", "log", "spread", "log", "hint", "log")):
        queue.put(queued(protocol, b"%d" % number))
    queue.set_capacity(QueueCapacity(4, 9999))
    assert queue.dropped == 2
    queue.set_capacity(QueueCapacity(1, 9999))
    assert queue.dropped == 3 and not queue.put(queued("log", b"6")) and not queue.put(queued("hint", b"7"))
    assert pop_all(queue) == [b"1", b"3", b"5"]


@given(
    st.lists(
        st.tuples(
            st.sampled_from(sorted(LIMITS)),
            st.integers(0, 130),
            st.sampled_from((int, str)),
            st.sampled_from((None, 1, 2)),
        )
    ),
    st.integers(1, 12),
    st.integers(1, 200),
)
def test_limits_hold_after_each_message_and_every_message_is_accounted_for(
    messages: list[tuple[str, int, type, int | None]],
    max_messages: int,
    max_bytes: int,
) -> None:
    queue = SendQueue(LIMITS, QueueCapacity(max_messages, max_bytes))
    for protocol, size, message_type, instance_number in messages:
        queue.put(queued(protocol, bytes(size), message_type, instance_number))
        assert len(queue) <= max_messages and queue.size_bytes <= max_bytes
        for name, limits in LIMITS.items():
            protocol_queue = queue.protocol_queues[name]
            assert len(protocol_queue.messages) <= limits.max_messages
            assert (
                protocol_queue.size_bytes
                == sum(len(message.body) for message in protocol_queue.messages.values())
                <= limits.max_bytes
            )
            assert len(protocol_queue.latest_numbers) <= len(protocol_queue.messages)
    assert len(pop_all(queue)) + queue.dropped + queue.superseded == len(messages)

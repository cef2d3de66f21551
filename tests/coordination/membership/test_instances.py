"""Instances with the same name: the newest takes precedence, and older ones are told to exit."""

import pytest

from molereach.coordination.interface.core import NEVER_US, MessageReceived, Tick
from molereach.coordination.interface.identifiers import NodeInstance
from molereach.coordination.membership.events import (
    MemberStatusChanged,
    Superseded,
)
from molereach.coordination.membership.messages import Ping, Rumour, Sync
from tests.coordination.membership.single_core import (
    ALIVE,
    DEAD,
    LEFT,
    LOCAL,
    SUSPECT,
    SingleCore,
    sent_messages,
)


def test_newer_instance_replaces_the_older_one_and_ignores_its_rumours() -> None:
    single = SingleCore("a", "b")
    actions = single.receive("a", Ping(1), number=2)
    assert [action for action in actions if isinstance(action, MemberStatusChanged)] == [
        MemberStatusChanged(NodeInstance("a", 1), DEAD, ALIVE),
        MemberStatusChanged(NodeInstance("a", 2), ALIVE, None),
    ]
    for status in (SUSPECT, DEAD, LEFT):
        single.receive("b", Ping(1, (Rumour("a", 1, 99, status, "b"),)))
    assert single.core.status("a") is ALIVE and NodeInstance("a", 2) in single.core.live_instances()


def test_older_instance_is_corrected_and_its_rumours_are_ignored() -> None:
    single = SingleCore("a")
    single.receive("a", Ping(1), number=7)
    (sent,) = sent_messages(single.receive("a", Ping(1, (Rumour("z", 1, 0, ALIVE),)), number=6))
    assert (sent.recipient, sent.instance_number) == ("a", 6) and Rumour(
        "a", 7, 0, ALIVE
    ) in sent.message.rumours
    assert single.core.status("z") is None


@pytest.mark.parametrize(
    "event",
    [
        MessageReceived(NodeInstance("me", 6), Ping(1)),
        MessageReceived(NodeInstance("a", 1), Ping(1, (Rumour("me", 6, 0, DEAD, "a"),))),
    ],
)
def test_newer_instance_under_the_own_name_supersedes_the_local_one(event: MessageReceived) -> None:
    single = SingleCore("a", "b")
    actions = single.handle(event)
    assert actions == [Superseded(NodeInstance("me", 6))]
    assert single.core.wake_us == NEVER_US and not single.handle(Tick()) and not single.receive("a", Ping(1))
    assert LOCAL not in single.core.live_instances()


def test_older_instance_under_the_own_name_is_told_to_exit() -> None:
    single = SingleCore("a")
    (sent,) = sent_messages(
        single.handle(MessageReceived(NodeInstance("me", 4), Sync((Rumour("z", 1, 0, ALIVE),))))
    )
    assert (sent.recipient, sent.instance_number) == ("me", 4) and Rumour(
        "me", 5, 0, ALIVE
    ) in sent.message.rumours
    assert single.core.status("z") is None
    assert not single.handle(MessageReceived(LOCAL, Ping(1)))  # its own message, sent back


def test_unknown_event_or_message_is_ignored() -> None:
    single = SingleCore("a")
    assert not single.handle(MessageReceived(NodeInstance("a", 1), "x")) and not single.handle("x")
    assert [instance.name for instance in single.core.live_instances()] == ["a", "me"]

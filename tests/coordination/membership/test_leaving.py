"""Graceful leave."""

from molereach.coordination.interface.core import NEVER_US, Tick
from molereach.coordination.membership.events import (
    Leave,
)
from molereach.coordination.membership.messages import Ping, PingReq, Rumour
from tests.coordination.membership.single_core import (
    LEFT,
    LOCAL,
    SUSPECT,
    SingleCore,
    sent_messages,
)


def test_leaving_member_notifies_others_then_only_answers_pings() -> None:
    single = SingleCore("a", "b", "c")
    leave_messages = sent_messages(single.handle(Leave()))
    assert {sent.recipient for sent in leave_messages} == {"a", "b", "c"}
    assert all(Rumour("me", 5, 1, LEFT) in sent.message.rumours for sent in leave_messages)
    assert (
        single.core.wake_us == NEVER_US
        and single.core.status("me") is LEFT
        and LOCAL not in single.core.live_instances()
    )
    assert (
        not single.handle(Tick())
        and not single.handle(Leave())
        and not sent_messages(single.receive("a", PingReq(1, "b", 1)))
    )
    (ack,) = sent_messages(single.receive("a", Ping(1, (Rumour("me", 5, 1, SUSPECT, "a"),))))
    assert Rumour("me", 5, 1, LEFT) in ack.message.rumours

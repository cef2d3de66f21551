"""Each action of the policy is written as a line of the simulator's protocol."""

from molereach.policy.interface.actions import (
    Action,
    AddToCounter,
    CancelAttempt,
    CheckHealth,
    CloseIdleConnections,
    FailRequest,
    FetchEndpoints,
    Reject,
    SendGossip,
    SetTimer,
    SubscribeToEndpoints,
    WriteLog,
)
from molereach.policy.interface.messages import GossipMessage
from molereach.simulator.action_writer import write_action


def test_every_action_is_written_as_its_line() -> None:
    actions: list[tuple[Action, str]] = [
        (CancelAttempt("a", 1), "CANCEL a 1"),
        (Reject("a", 5), "TURN_AWAY a 5"),
        (FailRequest("a"), "END_FAILED a"),
        (SetTimer(5, 7), "ARM 5 7"),
        (CheckHealth("s"), "CHECK s"),
        (CloseIdleConnections("s"), "HANG_UP s"),
        (
            SendGossip(2, (GossipMessage(5, 1, 3, 4, True, tokens=-1.5),)),
            f"TELL 2 00000005010003000401{0:012x}ffb5",
        ),
        (AddToCounter(4, 1, 9), "ADD_TO 4 1 9"),
        (SubscribeToEndpoints(False), "STREAM_CHANGES 0"),
        (FetchEndpoints(), "SNAPSHOT"),
        (WriteLog("a\nb"), "EMIT a b"),
    ]
    assert [write_action(action) for action, _ in actions] == [line for _, line in actions]

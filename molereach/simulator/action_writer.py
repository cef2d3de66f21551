"""Writes the policy's actions as lines of the simulator's protocol."""

from molereach.policy.interface.actions import (
    Action,
    AddToCounter,
    CancelAttempt,
    CheckHealth,
    CloseIdleConnections,
    FailRequest,
    FetchEndpoints,
    ForwardAttempt,
    Reject,
    SendGossip,
    SetTimer,
    SubscribeToEndpoints,
    WriteLog,
)
from molereach.protocol.gossip_codec import GossipCodec, QuotaGossipCodec

QUOTA_GOSSIP_CODEC = QuotaGossipCodec()


def write_action(action: Action, codec: GossipCodec = QUOTA_GOSSIP_CODEC) -> str:
    """Write an action as one line, or gossip that needs several datagrams as one line for each.

    Raises TypeError if `action` is not an action.
    """
    match action:
        case SendGossip(peer, messages):
            return "\n".join(f"TELL {peer} {data.hex()}" for data in codec.pack(peer, messages))
        case ForwardAttempt(request_id, endpoint, timeout_us):
            return f"TRY {request_id} {endpoint} {timeout_us}"
        case CancelAttempt(request_id, attempt):
            return f"CANCEL {request_id} {attempt}"
        case Reject(request_id, retry_after_us):
            return f"TURN_AWAY {request_id} {retry_after_us}"
        case FailRequest(request_id):
            return f"END_FAILED {request_id}"
        case SetTimer(delay_us, token):
            return f"ARM {delay_us} {token}"
        case CheckHealth(endpoint):
            return f"CHECK {endpoint}"
        case CloseIdleConnections(endpoint):
            return f"HANG_UP {endpoint}"
        case AddToCounter(name, amount, lifetime_us):
            return f"ADD_TO {name} {amount:g} {lifetime_us}"
        case SubscribeToEndpoints(is_subscribed):
            return f"STREAM_CHANGES {int(is_subscribed)}"
        case FetchEndpoints():
            return "SNAPSHOT"
        case WriteLog(text):
            return f"EMIT {one_line(text)}"
    raise TypeError(f"not an action: {action!r}")


def one_line(text: str) -> str:
    """Collapse each run of white space in a text, line ends included, to one space."""
    return " ".join(text.split())

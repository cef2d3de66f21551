"""The interface of the decision module: what a gateway is told and what it may do.

In reading order: `settings`, `words` between gateways, `events`, `actions`, `protocols`, what the decisions
consult. All times are whole microseconds. Settings are given once, at start. Each event is handed to
`rules.Gateway.handle(now_us, event)`, which answers with the actions to carry out, in order.
"""

from fennelwinch.interface.actions import (
    Action,
    Cancel,
    CloseIdle,
    Count,
    Fail,
    FetchList,
    Log,
    Probe,
    Refuse,
    Send,
    SetTimer,
    Subscribe,
    Tell,
)
from fennelwinch.interface.events import (
    ClientGone,
    Counted,
    Event,
    ListKind,
    LoadReport,
    Outcome,
    PeerMessage,
    ProbeResult,
    Request,
    Result,
    Server,
    ServerList,
    ServerState,
    StreamStarted,
    Timer,
)
from fennelwinch.interface.protocols import Held, Limits
from fennelwinch.interface.settings import Effect, Group, Plan, RequestClass, Settings
from fennelwinch.interface.words import (
    SPLIT_MARK,
    Bye,
    Clear,
    Hello,
    Key,
    LimitWord,
    LoanAsk,
    LoanGrant,
    Total,
    Word,
)

__all__ = [
    "SPLIT_MARK", "Action", "Bye", "Cancel", "Clear", "ClientGone", "CloseIdle", "Count", "Counted", "Effect",
    "Event", "Fail", "FetchList", "Group", "Held", "Hello", "Key", "LimitWord", "Limits", "ListKind",
    "LoadReport", "LoanAsk", "LoanGrant", "Log", "Outcome", "PeerMessage", "Plan", "Probe", "ProbeResult",
    "Refuse", "Request", "RequestClass", "Result", "Send", "Server", "ServerList", "ServerState", "SetTimer",
    "Settings", "StreamStarted", "Subscribe", "Tell", "Timer", "Total", "Word",
]

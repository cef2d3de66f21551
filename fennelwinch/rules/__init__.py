"""The decisions of one gateway, in reading order: `times`; `server` and `fleet`, the servers known; `store`
and `customers`, the stores of each; `job`, a request; `cap`, what may be sent on; `gateway`, the order of
steps.
"""

from fennelwinch.rules.cap import TARGETS, next_n
from fennelwinch.rules.gateway import Gateway
from fennelwinch.rules.store import DEMAND_US

__all__ = ["DEMAND_US", "TARGETS", "Gateway", "next_n"]

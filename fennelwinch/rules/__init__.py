"""The decisions of a gateway, in reading order: `times`; `server`, `fleet`, the servers known; `store`,
`customers`, the stores of each; `peers`, `words`, `admission`, what their homes say; `job`, `attempts`, the
requests at hand; `cap`, what may be sent on; `gateway`, the order of steps.
"""

from fennelwinch.rules.cap import TARGETS, next_n
from fennelwinch.rules.gateway import Gateway
from fennelwinch.rules.store import DEMAND_US

__all__ = ["DEMAND_US", "TARGETS", "Gateway", "next_n"]

"""Rule: a fallback server is replaced by another before its own maintenance starts.

Fallback servers are those that proxies may use for long without a session.
"""

from molereach.upkeep.requests.work_item import WorkItem
from molereach.upkeep.rules.scene import Blocker, Scene

FALLBACK_RULE = "standing"


def check_fallback_servers(scene: Scene, work: WorkItem) -> Blocker | None:
    """Blocks an item while its machine is a fallback server."""
    if work.machine in scene.fallback_servers:
        return Blocker(FALLBACK_RULE, (work.machine,), "another takes its place first")
    return None

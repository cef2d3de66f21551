"""Rule: the voters of the replicated log keep a majority even after one more loss. A voter is replaced before
its machine is drained.

A front door keeps its vote only if no other could take it; voters that drain count as lost. Source: Ongaro,
"Consensus: Bridging Theory and Practice" (2014), section 4: members that leave are replaced first.
"""

from molereach.upkeep.requests.work_item import WorkItem
from molereach.upkeep.rules.scene import Blocker, Scene

VOTER_RULE = "seat"  # blocks until the voter is replaced


def check_voters(scene: Scene, work: WorkItem) -> Blocker | None:
    """Blocks a voter that can be replaced, or without which one more loss would leave no majority."""
    fleet = scene.fleet
    if work.machine not in fleet.voters:
        return None
    if fleet.facts.spares:
        return Blocker(VOTER_RULE, (work.machine,), "its seat of the panel is moved first")
    unavailable = sorted(
        name for name in fleet.voters if name != work.machine and _is_unavailable(scene, name)
    )
    remaining = len(fleet.voters) - 1 - len(unavailable)
    if remaining - 1 < len(fleet.voters) // 2 + 1:
        return Blocker(
            "panel", tuple(unavailable), f"{remaining} seats of {len(fleet.voters)} bear no further loss"
        )
    return None


def _is_unavailable(scene: Scene, name: str) -> bool:
    proxy = scene.fleet.proxies.get(name)
    return proxy is None or not proxy.ready or scene.bears_no_load(name)

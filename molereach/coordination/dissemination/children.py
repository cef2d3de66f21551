"""The children of this proxy, at most twice the fanout, and the redirection of those without a place.

A child by rank is always admitted, as there are at most `fanout` of them: if necessary it replaces another
child. So other proxies or invented names, whatever their number, cannot displace the children by rank.
"""

from dataclasses import dataclass
from typing import NamedTuple

from molereach.coordination.dissemination.messages import UpstreamReport
from molereach.coordination.dissemination.settings import DisseminationSettings
from molereach.coordination.interface.identifiers import MAX_MEMBERS, NodeInstance


@dataclass(slots=True)
class Child:
    """A proxy that follows this one."""

    instance_number: int
    applied_position: int  # as reported by the child
    subtree_size: int
    last_report_us: int
    has_reported: bool = True  # since the last heartbeat


class Admission(NamedTuple):
    """Whether a proxy was admitted as a child, and the child evicted for it."""

    admitted: bool
    evicted: str | None = None


class Children:
    """The proxies that follow this one, by name."""

    def __init__(self, settings: DisseminationSettings) -> None:
        self.settings = settings
        self.table: dict[str, Child] = {}

    def __contains__(self, name: str) -> bool:
        """Whether a proxy is a child."""
        return name in self.table

    @property
    def subtree_size(self) -> int:
        """The number of proxies in the subtree of this one, itself included."""
        return min(MAX_MEMBERS, 1 + sum(child.subtree_size for child in self.table.values()))

    def update(self, now_us: int, sender: NodeInstance, report: UpstreamReport) -> bool:
        """Apply the report of a child; False if this instance of the sender is not a child."""
        child = self.table.get(sender.name)
        if child is None or child.instance_number != sender.number:
            return False
        # Reports may be reordered; the position of one instance never decreases.
        child.applied_position = max(child.applied_position, report.applied_position)
        child.subtree_size = report.subtree_size
        child.last_report_us = now_us
        child.has_reported = True
        return True

    def has_newer_instance(self, sender: NodeInstance) -> bool:
        """Whether a newer instance of the sender is a child."""
        child = self.table.get(sender.name)
        return child is not None and child.instance_number > sender.number

    def admit(
        self, now_us: int, sender: NodeInstance, report: UpstreamReport, children_by_rank: frozenset[str]
    ) -> Admission:
        """Make the sender a child if there is capacity or it is a child by rank."""
        evicted = None
        if sender.name not in self.table and len(self.table) >= self.settings.max_children:
            unranked = [name for name in self.table if name not in children_by_rank]
            if sender.name not in children_by_rank or not unranked:
                return Admission(admitted=False)
            evicted = min(unranked, key=lambda name: self.table[name].last_report_us)
            del self.table[evicted]
        self.table[sender.name] = Child(sender.number, report.applied_position, report.subtree_size, now_us)
        return Admission(admitted=True, evicted=evicted)

    def has_capacity_for(self, name: str, children_by_rank: frozenset[str]) -> bool:
        """Whether a proxy would be admitted."""
        return name in self.table or name in children_by_rank or len(self.table) < self.settings.max_children

    def choose_redirect_target(self, excluded_name: str) -> str | None:
        """The child with the smallest subtree, to redirect a proxy to; counts that proxy into its subtree."""
        names = [name for name in self.table if name != excluded_name]
        if not names:
            return None
        name = min(names, key=lambda name: self.table[name].subtree_size)
        self.table[name].subtree_size = min(MAX_MEMBERS, self.table[name].subtree_size + 1)
        return name

    def start_interval(self, now_us: int) -> None:
        """At a heartbeat: remove silent children, and expect a report from each of the others."""
        timeout_us = self.settings.child_timeout_intervals * self.settings.heartbeat_interval_us
        cutoff_us = now_us - timeout_us
        self.table = {name: child for name, child in self.table.items() if child.last_report_us >= cutoff_us}
        for child in self.table.values():
            child.has_reported = False

    @property
    def all_reported(self) -> bool:
        """Whether all children have reported since the last heartbeat."""
        return all(child.has_reported for child in self.table.values())

    def remove_older_instance(self, name: str, instance_number: int) -> None:
        """Remove a child whose instance number is lower than `instance_number`, as it has ended."""
        child = self.table.get(name)
        if child is not None and child.instance_number < instance_number:
            del self.table[name]

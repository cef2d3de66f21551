"""The children of this proxy: at most twice the fanout, and where one without a place is redirected.

A child by rank is always admitted, as there are at most `fanout` of them: another one is evicted for it. So
no number of strangers or invented names can keep out the proxies that belong here.
"""

from dataclasses import dataclass
from typing import NamedTuple

from molereach.coordination.dissemination.messages import UpstreamReport
from molereach.coordination.dissemination.settings import DisseminationSettings
from molereach.coordination.interface.identifiers import MAX_MEMBERS, NodeInstance


@dataclass(slots=True)
class Child:
    """One proxy that follows this one."""

    instance_number: int
    applied_position: int  # as reported
    subtree_size: int
    last_report_us: int
    has_reported: bool = True  # since the last heartbeat


class Admission(NamedTuple):
    """Whether a proxy is a child now, and the child that was evicted for it."""

    admitted: bool
    evicted: str | None = None


class Children:
    """The proxies that follow this one, by name."""

    def __init__(self, settings: DisseminationSettings) -> None:
        self.settings = settings
        self.table: dict[str, Child] = {}

    def __contains__(self, name: str) -> bool:
        """Whether that proxy is a child."""
        return name in self.table

    @property
    def subtree_size(self) -> int:
        """Proxies below, this one included."""
        return min(MAX_MEMBERS, 1 + sum(child.subtree_size for child in self.table.values()))

    def update(self, now_us: int, sender: NodeInstance, report: UpstreamReport) -> bool:
        """Apply the report of a child; False for a proxy, or an instance of it, that is no child."""
        child = self.table.get(sender.name)
        if child is None or child.instance_number != sender.number:
            return False
        # Reports may be reordered; within one instance the position never decreases.
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
        self, now_us: int, sender: NodeInstance, report: UpstreamReport, ranked: frozenset[str]
    ) -> Admission:
        """Make the sender a child if there is capacity; `ranked` are the children by rank."""
        evicted = None
        if sender.name not in self.table and len(self.table) >= self.settings.max_children:
            strangers = [name for name in self.table if name not in ranked]
            if sender.name not in ranked or not strangers:
                return Admission(admitted=False)
            evicted = min(strangers, key=lambda name: self.table[name].last_report_us)
            del self.table[evicted]
        self.table[sender.name] = Child(sender.number, report.applied_position, report.subtree_size, now_us)
        return Admission(admitted=True, evicted=evicted)

    def has_capacity_for(self, name: str, ranked: frozenset[str]) -> bool:
        """Whether that proxy would be admitted."""
        return name in self.table or name in ranked or len(self.table) < self.settings.max_children

    def smallest_child(self, besides: str) -> str | None:
        """The child with the smallest subtree, for a proxy that was not admitted; it counts as below it."""
        names = [name for name in self.table if name != besides]
        if not names:
            return None
        name = min(names, key=lambda name: self.table[name].subtree_size)
        self.table[name].subtree_size = min(MAX_MEMBERS, self.table[name].subtree_size + 1)
        return name

    def start_interval(self, now_us: int) -> None:
        """At a heartbeat: forget silent children, and wait for the reports of the others."""
        timeout_us = self.settings.child_timeout_intervals * self.settings.heartbeat_interval_us
        oldest_us = now_us - timeout_us
        self.table = {name: child for name, child in self.table.items() if child.last_report_us >= oldest_us}
        for child in self.table.values():
            child.has_reported = False

    @property
    def all_reported(self) -> bool:
        """Whether all children have reported since the last heartbeat."""
        return all(child.has_reported for child in self.table.values())

    def remove_older_instance(self, name: str, instance_number: int) -> None:
        """Remove a child of a lower instance number than this, which has ended."""
        child = self.table.get(name)
        if child is not None and child.instance_number < instance_number:
            del self.table[name]

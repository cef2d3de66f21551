"""Test helper that builds rumours."""

from molereach.coordination.membership.messages import MemberStatus, Rumour

ALIVE, SUSPECT, DEAD, LEFT = MemberStatus


def rumour_of(instance_number: int, incarnation: int, status: MemberStatus, name: str = "a") -> Rumour:
    """A rumour about `name`, with an accuser if the status requires one."""
    return Rumour(name, instance_number, incarnation, status, "z" if status in (SUSPECT, DEAD) else None)

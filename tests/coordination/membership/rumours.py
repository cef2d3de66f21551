"""Builds rumours of one member."""

from molereach.coordination.membership.messages import MemberStatus, Rumour

ALIVE, SUSPECT, DEAD, LEFT = MemberStatus


def rumour_of(number: int, incarnation: int, status: MemberStatus, name: str = "a") -> Rumour:
    """A rumour of `name`, with an accuser where the status needs one."""
    return Rumour(name, number, incarnation, status, "z" if status in (SUSPECT, DEAD) else None)

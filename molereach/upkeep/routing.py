"""Which machines a proxy may send to: none in maintenance, and limited ones without a session. Also its clear
position.

- With a session it sends to all machines but those in maintenance, by the entries applied here.
- After the session has ended it does the same for `alone_ms` by its own clock, counted from when it last knew
  that it held the session. After that it uses only the fallback servers that it last knew. The other proxies
  count from later, wait for longer (`expired_session_wait_ms`), and take no server out of service that was a
  fallback server then. So by itself it stops sending to a machine that is drained later, even if it never
  learns of it.
- A new instance that has not had a session yet uses none of the members' servers, because its name may have
  been cleared already.

Source: Gray and Cheriton, "Leases" (SOSP 1989), section 2.
"""

from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass

from molereach.coordination.interface.core import NEVER_US, Tick
from molereach.coordination.interface.log import Applied, Restored
from molereach.coordination.interface.sessions import Session
from molereach.upkeep.permits.bodies import MACHINE
from molereach.upkeep.permits.lifecycle import State
from molereach.upkeep.permits.state_machine import UpkeepStateMachine

MS_US = 1000


@dataclass(frozen=True, slots=True)
class RequestStarted:
    """Event: a request is about to be sent. Comes right after `may_send`, before the first byte of the
    request."""

    machine: str


@dataclass(frozen=True, slots=True)
class RequestFinished:
    """Event: nothing of a request is in flight to the machine any more."""

    machine: str


@dataclass(frozen=True, slots=True)
class StopRouting:
    """Action: send no new requests to the machine."""

    machine: str


@dataclass(frozen=True, slots=True)
class ResumeRouting:
    """Action: requests may be sent to the machine again."""

    machine: str


@dataclass(frozen=True, slots=True)
class PermitGranted:
    """Action: tell the requester that the machine may be shut down. Every front door does, whichever proposed
    the permit."""

    id: str
    machine: str
    permit: int
    until_ms: int


@dataclass(frozen=True, slots=True)
class ExpediteReturn:
    """Action: tell the requester to bring the machine back now."""

    id: str
    machine: str
    permit: int


Event = Applied | Restored | RequestStarted | RequestFinished | Tick
Action = StopRouting | ResumeRouting | PermitGranted | ExpediteReturn


class MaintenanceRouting:
    """Decides to which machines a proxy sends. `Applied` and `Restored` must be handled before the session's
    holder reports the position as applied."""

    def __init__(self, machine: UpkeepStateMachine, session: Session) -> None:
        self._machine, self._session = machine, session
        self._max_without_session_us = machine.settings.alone_ms * MS_US
        self._position = 0  # of the last entry applied here
        self._last_held_us: int | None = None  # when the session was last known to be held
        self._unroutable: dict[str, int] = {}  # by name: the position of the entry that forbids it
        self._in_flight: Counter[str] = Counter()
        # By item: its permit, and whether its return is urgent.
        self._announced: dict[str, tuple[int, bool]] = {}

    # --- queries ---

    @property
    def wake_us(self) -> int:
        """It needs no `Tick`."""
        return NEVER_US

    @property
    def clear_position(self) -> int:
        """The position up to which nothing that entries forbid is in flight here."""
        blocked_positions = [
            position - 1 for name, position in self._unroutable.items() if self._in_flight[name]
        ]
        return min([self._position, *blocked_positions])

    @property
    def unroutable(self) -> frozenset[str]:
        """The machines to which no new requests are sent."""
        return frozenset(self._unroutable)

    def allowed_servers(self, now_us: int) -> frozenset[str] | None:
        """The members' servers to which it is limited; None for all but the `unroutable` ones."""
        if self._holds_session(now_us):
            return None
        if self._last_held_us is None:
            return frozenset()
        if now_us - self._last_held_us <= self._max_without_session_us:
            return None
        return self._machine.registry.fallback_servers - self._unroutable.keys()

    def may_send(self, now_us: int, machine: str) -> bool:
        """Whether a request may be sent. Call it for each request, with a time read after anything that may
        take long."""
        allowed_servers = self.allowed_servers(now_us)
        return machine not in self._unroutable and (allowed_servers is None or machine in allowed_servers)

    # --- events ---

    def handle(self, now_us: int, event: Event) -> Sequence[Action]:
        """Handles an event, and returns the resulting actions."""
        self._holds_session(now_us)
        match event:
            case Applied():
                self._position = event.entry.position
                return (
                    self._apply_state() if event.entry.machine == MACHINE and not event.outcome.error else []
                )
            case Restored():
                self._position = event.position
                return self._apply_state()
            case RequestStarted():
                self._in_flight[event.machine] += 1
            case RequestFinished():
                self._in_flight[event.machine] -= 1
                if self._in_flight[event.machine] <= 0:
                    del self._in_flight[event.machine]
        return []

    def _holds_session(self, now_us: int) -> bool:
        holds = self._session.holds(now_us)
        if holds:
            self._last_held_us = now_us
        return holds

    def _apply_state(self) -> list[Action]:
        """Compares the state machine with what was announced, and returns the difference as actions."""
        before, self._unroutable = self._unroutable, self._machine.registry.unroutable()
        actions: list[Action] = [
            StopRouting(name) for name in sorted(self._unroutable.keys() - before.keys())
        ]
        actions += [ResumeRouting(name) for name in sorted(before.keys() - self._unroutable.keys())]
        announced: dict[str, tuple[int, bool]] = {}
        for record in self._machine.registry.records.values():
            if record.state not in (State.PERMITTED, State.OVERDUE, State.LOST):
                continue
            id, machine = record.work.id, record.work.machine
            announced[id] = record.permit, record.hurried
            if id not in self._announced:
                actions.append(PermitGranted(id, machine, record.permit, record.until_ms))
            if record.hurried and self._announced.get(id) != announced[id]:
                actions.append(ExpediteReturn(id, machine, record.permit))
        self._announced = announced
        return actions

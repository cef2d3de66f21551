"""Components with one safeguard removed, and season and voter rules with an error."""

from collections.abc import Sequence
from dataclasses import replace
from typing import Any

from molereach.coordination.interface.clearance import ClearanceEvidence
from molereach.upkeep.permits.bodies import SessionClearance
from molereach.upkeep.permits.lifecycle import DRAINING_STATES, State, Step
from molereach.upkeep.permits.proof import SessionHistory, proof_gap
from molereach.upkeep.permits.record import ItemRecord
from molereach.upkeep.permits.state_machine import UpkeepStateMachine
from molereach.upkeep.requests.work_item import WorkItem
from molereach.upkeep.routing import MaintenanceRouting
from molereach.upkeep.rules.scene import Absence, Blocker, MachineInMaintenance, Scene
from molereach.upkeep.rules.seasons import is_in_season
from molereach.upkeep.rules.settings import MonthDay, Season, UpkeepSettings
from molereach.upkeep.rules.voters import check_voters
from tests.upkeep.world_parts import Components


class IgnoresReportedPosition(UpkeepStateMachine):
    """A reported clearance counts, whatever its position."""

    def proof_gap(self, record: ItemRecord, clearances: Sequence[SessionClearance], at_ms: int) -> str:
        patched = [
            SessionClearance(clearance.fence, clearance.known, record.begun)
            if clearance.known is ClearanceEvidence.REPORTED
            else clearance
            for clearance in clearances
        ]
        return super().proof_gap(record, patched, at_ms)


class AcceptsStaleFacts(UpkeepStateMachine):
    """Facts of any age are used."""

    def __init__(self, settings: UpkeepSettings, sessions: SessionHistory) -> None:
        super().__init__(settings, sessions)
        self.registry.stale_facts_blocker = lambda at_ms: None  # type: ignore[method-assign]


class CountsDrainingServersAsAvailable(UpkeepStateMachine):
    """A draining server counts as available."""

    def __init__(self, settings: UpkeepSettings, sessions: SessionHistory) -> None:
        super().__init__(settings, sessions)
        self.registry.in_maintenance = self._in_maintenance  # type: ignore[method-assign]

    def _in_maintenance(self) -> dict[str, MachineInMaintenance]:
        registry = self.registry
        machines = {
            name: machine
            for each in registry.records.values()
            for name, machine in each.in_maintenance().items()
            if each.state not in (State.REQUESTED, State.QUEUED)
        }
        return {
            name: replace(each, absence=Absence.WARMING)
            if registry.records[each.work.id].state in DRAINING_STATES
            else each
            for name, each in machines.items()
        }


class ReusesPermitNumbers(UpkeepStateMachine):
    """The permit number is the number of machines with a permit."""

    def next_permit(self) -> int:
        return 1 + sum(each.state is State.PERMITTED for each in self.registry.records.values())


class GrantsPermitAfterRecall(UpkeepStateMachine):
    """A recalled item gets a permit."""

    def next_state(self, record: ItemRecord, step: Step) -> State | None:
        return super().next_state(record, step) or (
            State.PERMITTED if record.state is State.QUEUED and step is Step.GRANT_PERMIT else None
        )


class SkipsExpiryWait(UpkeepStateMachine):
    """An expired session is clear at once."""

    def wait_elapsed(self, position: int, at_ms: int) -> bool:
        return True


class IgnoresFormerFallbackServers(UpkeepStateMachine):
    """A former fallback server is treated like any other."""

    def proof_gap(self, record: ItemRecord, clearances: Sequence[SessionClearance], at_ms: int) -> str:
        return proof_gap(
            clearances, self.sessions, record.begun, -1, lambda position: self.wait_elapsed(position, at_ms)
        )


class IgnoresEarlierExpiredSessions(UpkeepStateMachine):
    """Sessions that had expired before the draining started are not covered."""

    def proof_gap(self, record: ItemRecord, clearances: Sequence[SessionClearance], at_ms: int) -> str:
        return proof_gap(
            clearances,
            _WithoutExpiredSessions(self.sessions),
            record.begun,
            -1,  # type: ignore[arg-type]
            lambda position: self.wait_elapsed(position, at_ms),
        )


class _WithoutExpiredSessions:
    def __init__(self, sessions: SessionHistory) -> None:
        self._sessions = sessions

    def expired_sessions(self) -> list[Any]:
        return []

    def __getattr__(self, name: str) -> Any:  # noqa: ANN401
        return getattr(self._sessions, name)


class KeepsAllServersWithoutSession(MaintenanceRouting):
    """Without a session it keeps using all servers."""

    def allowed_servers(self, now_us: int) -> frozenset[str] | None:
        allowed_servers = super().allowed_servers(now_us)
        return None if self._last_held_us is not None else allowed_servers


class CountsFromWakeup(MaintenanceRouting):
    """The time without a session counts from when that is noticed."""

    _noticed_us: int | None = None

    def allowed_servers(self, now_us: int) -> frozenset[str] | None:
        if self._session.holds(now_us):
            self._noticed_us = None
        elif self._noticed_us is None and self._last_held_us is not None:
            self._noticed_us = now_us
        if self._noticed_us is not None:
            self._last_held_us = self._noticed_us
        return super().allowed_servers(now_us)


class ReportsAppliedAsClear(MaintenanceRouting):
    """Requests in flight are ignored."""

    @property
    def clear_position(self) -> int:
        return self._position


class ServesBeforeFirstSession(MaintenanceRouting):
    """A new instance sends requests before it has a session."""

    def allowed_servers(self, now_us: int) -> frozenset[str] | None:
        return super().allowed_servers(now_us) if self._last_held_us is not None else None


def check_voters_without_draining(scene: Scene, work: WorkItem) -> Blocker | None:
    return check_voters(replace(scene, in_maintenance={}), work)


def is_in_season_without_last_day(day: MonthDay, season: Season) -> bool:
    return is_in_season(day, season) and day != season.last


MUTANTS: dict[str, Components] = {
    "reported position ignored": Components(IgnoresReportedPosition),
    "stale facts accepted": Components(AcceptsStaleFacts),
    "draining servers counted as available": Components(CountsDrainingServersAsAvailable),
    "permit numbers reused": Components(ReusesPermitNumbers),
    "permit after recall": Components(GrantsPermitAfterRecall),
    "no wait after expiry": Components(SkipsExpiryWait),
    "former fallback servers ignored": Components(IgnoresFormerFallbackServers),
    "earlier expired sessions ignored": Components(IgnoresEarlierExpiredSessions),
    "all servers kept without session": Components(routing=KeepsAllServersWithoutSession),
    "time without session counted from wakeup": Components(routing=CountsFromWakeup),
    "requests in flight ignored": Components(routing=ReportsAppliedAsClear),
    "requests before first session": Components(routing=ServesBeforeFirstSession),
}

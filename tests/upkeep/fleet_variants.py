"""The steps and fleets that the tests of the state machine share."""

import msgspec

from molereach.upkeep.permits.lifecycle import Step
from molereach.upkeep.rules.fleet_facts import FleetFacts
from tests.upkeep.state_machine_log import FLEET_FACTS

PLAIN_STEPS = [step for step in Step if step not in (Step.GRANT_PERMIT, Step.RETURN)]


def fleet_with(*names: str, **fields: object) -> FleetFacts:
    """The fleet, with some fields of these servers changed."""
    return FleetFacts(
        servers=tuple(
            msgspec.structs.replace(each, **fields) if each.name in names else each
            for each in FLEET_FACTS.servers
        ),
        doors=FLEET_FACTS.doors,
        panel=FLEET_FACTS.panel,
    )

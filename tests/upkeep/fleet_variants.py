"""What the tests of the machine begin from."""

import msgspec

from molereach.upkeep.permits.lifecycle import Step
from molereach.upkeep.rules.fleet_facts import Facts
from tests.upkeep.state_machine_log import FLEET

FREE = [step for step in Step if step not in (Step.OUT, Step.BACK)]


def fleet(*changed: str, **more: object) -> Facts:
    """The fleet, with some servers otherwise."""
    return Facts(
        servers=tuple(
            msgspec.structs.replace(each, **more) if each.name in changed else each for each in FLEET.servers
        ),
        doors=FLEET.doors,
        panel=FLEET.panel,
    )

"""Whose delay it was: the front door's own delays, in the report beside the lateness of the test bed."""

import asyncio

import uvloop

from rig import scenario as sc
from rig.door_delays import DoorDelays
from rig.world.world import World

TIMEOUT_S = 120


def test_delays_of_a_front_door_are_read_from_its_log() -> None:
    delays = DoorDelays()
    for line in (
        "2026-12-03 20:00:00 WARNING molereach.clients.listener: event loop delayed by 812 ms",
        "2026-12-03 20:00:01 INFO molereach: longest delays: event loop 700 ms, accept to first read 31 ms",
        "2026-12-03 20:00:02 INFO molereach: n0 ends",
    ):
        delays.read_line(line)
    assert delays == DoorDelays(loop_ms=812, first_read_ms=31)


def test_stopped_front_door_is_reported_as_late_itself() -> None:
    """The report tells a front door that stood still from a test bed that did."""
    scenario = sc.decode(
        'name = "stopped"\ntitle = "A front door stands still"\nseconds = 3.0\n'
        '[[fault]]\nfault = "stop"\nat = 1.0\ndoor = "n1"\nlasts = 0.8\n'
    )
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        report = runner.run(asyncio.wait_for(World(scenario, 1).run(), TIMEOUT_S))
    n0, n1, n2 = (door.loop_delay_ms for door in report.doors)
    assert n1 >= 600 > max(n0, n2)  # its timers run every 0.2 s

"""What an agent tells of its front doors while they come, fall silent, go and end."""

from collections.abc import Callable

import msgspec

from molereach.fleet import roster
from molereach.fleet.agent import api
from tests.compatibility import fleet_samples as samples

BEGUN_MS = 1_700_000_000_000
DOOR = samples.STATE.name
# Each event, and how many milliseconds after the one before it.
STEPS: tuple[tuple[int, roster.RosterEvent], ...] = (
    (0, roster.RevisionOrReadinessChanged(revision=4, ready=True)),
    (1, roster.SocketsListed(names=frozenset({DOOR, "n1"}))),
    (1, roster.Connected(proxy=DOOR)),
    (1, roster.StateReceived(proxy=DOOR, state=samples.STATE)),
    (1, roster.Disconnected(proxy="n1", reason="Connection refused")),
    (roster.SILENCE_TIMEOUT_MS, roster.Tick()),
    (1, roster.StateReceived(proxy=DOOR, state=msgspec.structs.replace(samples.STATE, pid=4712, revision=5))),
    (1, roster.RequestUnanswered(proxy=DOOR)),
    (1, roster.StateReceived(proxy=DOOR, state=msgspec.structs.replace(samples.STATE, name="n8"))),
    (1, roster.SocketsListed(names=frozenset({DOOR}))),
)


def played() -> roster.Roster:
    """The roster after all steps."""
    made, now_ms = roster.Roster(samples.AGENT), BEGUN_MS
    for after_ms, event in STEPS:
        now_ms += after_ms
        made.handle(now_ms, event)
    return made


def told() -> bytes:
    """The history, an event a line, and then each front door as the API tells of it."""
    made = played()
    views = made.proxy_statuses(BEGUN_MS + 10_000)
    return b"".join(
        [*map(api.encode_line, made.history), *(msgspec.json.encode(view) + b"\n" for view in views)]
    )


# The recorded files of this module, and what makes each.
FILES: dict[str, Callable[[], bytes]] = {"fleet-roster.json": told}

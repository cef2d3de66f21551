"""Events of days in virtual time, played to the gateway of this checkout and to that of another.

    python -m tests.policy.replay record FILE [SEED]
    python -m tests.policy.replay compare FILE POLICY
    python -m tests.policy.replay time FILE POLICY [ROUNDS]

POLICY is the folder `molereach/policy` of another checkout.
`record` plays days of the rig and histories of quotas, with limits and without. `compare` asks that both
take the same actions in the same order at every event and leave their chance alike. `time` reads the CPU of
both in turns; which of them begins changes with each round.
"""

import gc
import importlib.util
import pickle
import statistics
import sys
import time
from pathlib import Path
from typing import Any

import molereach.proxy.proxy
import sim.histories
from molereach.limits.core import Limits
from molereach.limits.settings import LimitSettings
from molereach.policy.gateway import Gateway
from molereach.policy.interface.actions import Action
from molereach.policy.interface.events import Event
from molereach.policy.interface.settings import Settings
from rig import scenario_files
from sim.histories import MS, QuotaHistory, S
from sim.world import play

SHORT = {"doors": 20, "servers": 30, "load": {"rate": 120.0, "customers": 60, "set-doors": 20}}
POLICY = "molereach.policy"
INTERFACE = "molereach.policy.interface"  # both sides share its types: actions are compared
Stream = tuple[Settings, LimitSettings | None, list[tuple[int, Event]]]
STREAMS: list[Stream] = []


class Recorded(Gateway):
    """A gateway whose events are kept."""

    def __init__(self, settings: Settings, limits: Any = None) -> None:  # noqa: ANN401
        super().__init__(settings, limits)
        self.settings_given, self.heard = settings, []

    def handle(self, now_us: int, event: Event) -> list[Action]:
        if not self.heard:  # limits may be handed in between the start and the first event
            figures = self.limits.settings if self.limits else None
            STREAMS.append((self.settings_given, figures, self.heard))
        self.heard.append((now_us, event))
        return super().handle(now_us, event)


def record(file: str, seed: int) -> None:
    """Days of the rig and histories of quotas, by that seed."""
    molereach.proxy.proxy.Gateway = sim.histories.Gateway = Recorded  # type: ignore[misc]
    for limits in (False, True):
        record_history(seed, limits, 30)
        for name in (*scenario_files.LARGE, "crowd", "cold-deploy", "garbled-servers", "vanish"):
            large = name in scenario_files.LARGE
            play(scenario_files.load(name, SHORT if large else None, not large), seed, limits=limits)
    Path(file).write_bytes(pickle.dumps(STREAMS))
    print(f"{len(STREAMS)} gateways, {sum(len(events) for *_, events in STREAMS)} events")


def record_history(seed: int, limits: bool, seconds: int) -> None:
    """Five gateways of one set over a network that loses and doubles words, of which one is killed."""
    history = QuotaHistory(seed, 5, limits)
    history.mail.loss, history.mail.double, history.mail.old = 0.05, 0.05, 0.01
    history.load(0, seconds * S, 60.0, [3, 2, 1, 1, 1])
    history.at(seconds * S // 3, lambda: history.kill(history.nodes[0], 500 * MS))
    history.run((seconds + 2) * S)


def decision_modules() -> list[str]:
    """The loaded modules of the decisions, without the interface."""
    return [
        name
        for name in sys.modules
        if f"{name}.".startswith(f"{POLICY}.") and not f"{name}.".startswith(f"{INTERFACE}.")
    ]


def other(place: str) -> Any:  # noqa: ANN401
    """The gateway's class of another checkout, beside that of this one."""
    ours = {name: sys.modules.pop(name) for name in decision_modules()}
    try:  # its modules import each other by the name of the package: it must be theirs meanwhile
        spec = importlib.util.spec_from_file_location(
            POLICY, Path(place) / "__init__.py", submodule_search_locations=[place]
        )
        assert spec and spec.loader
        module = sys.modules[POLICY] = importlib.util.module_from_spec(spec)
        spec.loader.exec_module(module)
        return importlib.import_module(f"{POLICY}.gateway").Gateway
    finally:
        for name in decision_modules():
            del sys.modules[name]
        sys.modules.update(ours)


def made(kind: Any, stream: Stream) -> Any:  # noqa: ANN401
    settings, figures, _ = stream
    return kind(settings, Limits(settings, figures) if figures else None)


def difference(old: Any, new: Any, stream: Stream) -> str:  # noqa: ANN401
    """Where two gateways differ first on a stream; nothing if they do not."""
    for number, (now, event) in enumerate(stream[2]):
        wanted, got = old.handle(now, event), new.handle(now, event)
        if wanted != got:
            return f"event {number}, {event}:\n{wanted}\n{got}"
    same = old.random.getstate() == new.random.getstate() and old.ended == new.ended
    return "" if same else "other draws, or other ends"


def compare(file: str, place: str) -> None:
    kind, counts = other(place), {False: [0, 0], True: [0, 0]}
    for stream in pickle.loads(Path(file).read_bytes()):
        if told := difference(made(kind, stream), made(Gateway, stream), stream):
            sys.exit(told)
        count = counts[stream[1] is not None]
        count[0], count[1] = count[0] + 1, count[1] + len(stream[2])
    for limits, (gateways, events) in counts.items():
        print(f"limits {limits}: {gateways} gateways, {events} events: the same actions, draws and ends")


def cpu_s(kind: Any, streams: list[Stream]) -> float:  # noqa: ANN401
    gateways = [(made(kind, stream).handle, stream[2]) for stream in streams]
    gc.collect()
    start = time.process_time()
    for handle, events in gateways:
        for now, event in events:
            handle(now, event)
    return time.process_time() - start


def compare_times(file: str, place: str, rounds: int) -> None:
    kinds, streams = (other(place), Gateway), pickle.loads(Path(file).read_bytes())
    ratios, least = [], [1e9, 1e9]
    gc.disable()
    for number in range(rounds):
        took = [0.0, 0.0]
        for side in (0, 1) if number % 2 else (1, 0):
            took[side] = cpu_s(kinds[side], streams)
            least[side] = min(least[side], took[side])
        ratios.append(took[1] / took[0])
    print(
        f"this over other: mean {statistics.mean(ratios):.4f}, median {statistics.median(ratios):.4f}, "
        f"least CPU {least[1] / least[0]:.4f} of {least[1]:.3f} s"
    )


def main() -> None:
    command, file, *more = sys.argv[1:]
    if command == "record":
        record(file, int(more[0]) if more else 0)
    elif command == "compare":
        compare(file, more[0])
    else:
        compare_times(file, more[0], int(more[1]) if len(more) > 1 else 12)


if __name__ == "__main__":
    main()

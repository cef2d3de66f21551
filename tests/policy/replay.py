"""Replays recorded events in virtual time to the gateway of this checkout and to that of another one.

    python -m tests.policy.replay record FILE [SEED]
    python -m tests.policy.replay compare FILE POLICY
    python -m tests.policy.replay time FILE POLICY [ROUNDS]

POLICY is the folder `molereach/policy` of the other checkout.
`record` runs scenarios of the rig and quota histories, with and without limits, and stores the events of each
gateway. `compare` checks that both gateways return the same actions in the same order for every event and end
with the same state of their random number generators. `time` measures the CPU time of both alternately; each
round changes which of them goes first.
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
from sim.histories import MILLISECOND_US, SECOND_US, QuotaHistory
from sim.world import run_scenario

SHORT_SCENARIO = {"doors": 20, "servers": 30, "load": {"rate": 120.0, "customers": 60, "set-doors": 20}}
POLICY = "molereach.policy"
INTERFACE = "molereach.policy.interface"  # shared by both sides, so that actions compare equal
Stream = tuple[Settings, LimitSettings | None, list[tuple[int, Event]]]
STREAMS: list[Stream] = []


class RecordingGateway(Gateway):
    """A gateway that records its events."""

    def __init__(self, settings: Settings, limits: Any = None) -> None:  # noqa: ANN401
        super().__init__(settings, limits)
        self.given_settings, self.events = settings, []

    def handle(self, now_us: int, event: Event) -> list[Action]:
        if not self.events:  # limits may be set after construction
            limit_settings = self.limits.settings if self.limits else None
            STREAMS.append((self.given_settings, limit_settings, self.events))
        self.events.append((now_us, event))
        return super().handle(now_us, event)


def record(file: str, seed: int) -> None:
    """Record scenarios of the rig and quota histories with that seed."""
    molereach.proxy.proxy.Gateway = sim.histories.Gateway = RecordingGateway  # type: ignore[misc]
    for limits in (False, True):
        record_history(seed, limits, 30)
        for name in (*scenario_files.SIMULATED_ONLY, "crowd", "cold-deploy", "garbled-servers", "vanish"):
            is_large = name in scenario_files.SIMULATED_ONLY
            run_scenario(
                scenario_files.load(name, SHORT_SCENARIO if is_large else None, not is_large),
                seed,
                limits=limits,
            )
    Path(file).write_bytes(pickle.dumps(STREAMS))
    print(f"{len(STREAMS)} gateways, {sum(len(events) for *_, events in STREAMS)} events")


def record_history(seed: int, limits: bool, seconds: int) -> None:
    """Record five gateways of one set; the network loses and duplicates messages, one gateway is killed."""
    history = QuotaHistory(seed, 5, limits)
    history.network.loss, history.network.duplicate, history.network.stale = 0.05, 0.05, 0.01
    history.load(0, seconds * SECOND_US, 60.0, [3, 2, 1, 1, 1])
    history.call_at(seconds * SECOND_US // 3, lambda: history.kill(history.nodes[0], 500 * MILLISECOND_US))
    history.run_until((seconds + 2) * SECOND_US)


def policy_modules() -> list[str]:
    """The loaded modules of the policy, except for its interface."""
    return [
        name
        for name in sys.modules
        if f"{name}.".startswith(f"{POLICY}.") and not f"{name}.".startswith(f"{INTERFACE}.")
    ]


def load_other_gateway(policy_folder: str) -> Any:  # noqa: ANN401
    """The `Gateway` class of another checkout, loaded beside that of this one."""
    local_modules = {name: sys.modules.pop(name) for name in policy_modules()}
    try:  # its modules import each other by the package name, which must refer to them while they load
        spec = importlib.util.spec_from_file_location(
            POLICY, Path(policy_folder) / "__init__.py", submodule_search_locations=[policy_folder]
        )
        assert spec and spec.loader
        module = sys.modules[POLICY] = importlib.util.module_from_spec(spec)
        spec.loader.exec_module(module)
        return importlib.import_module(f"{POLICY}.gateway").Gateway
    finally:
        for name in policy_modules():
            del sys.modules[name]
        sys.modules.update(local_modules)


def build_gateway(gateway_class: Any, stream: Stream) -> Any:  # noqa: ANN401
    settings, limit_settings, _ = stream
    return gateway_class(settings, Limits(settings, limit_settings) if limit_settings else None)


def first_difference(old: Any, new: Any, stream: Stream) -> str:  # noqa: ANN401
    """The first difference between two gateways on a stream; empty if there is none."""
    for number, (now_us, event) in enumerate(stream[2]):
        expected, actual = old.handle(now_us, event), new.handle(now_us, event)
        if expected != actual:
            return f"event {number}, {event}:\n{expected}\n{actual}"
    is_equal = old.random.getstate() == new.random.getstate() and old.ended == new.ended
    return "" if is_equal else "different random draws, or different counts of requests given up"


def compare(file: str, policy_folder: str) -> None:
    gateway_class, counts = load_other_gateway(policy_folder), {False: [0, 0], True: [0, 0]}
    for stream in pickle.loads(Path(file).read_bytes()):
        if difference := first_difference(
            build_gateway(gateway_class, stream), build_gateway(Gateway, stream), stream
        ):
            sys.exit(difference)
        count = counts[stream[1] is not None]
        count[0], count[1] = count[0] + 1, count[1] + len(stream[2])
    for limits, (gateways, events) in counts.items():
        print(f"limits {limits}: {gateways} gateways, {events} events: same actions, draws and end counts")


def cpu_s(gateway_class: Any, streams: list[Stream]) -> float:  # noqa: ANN401
    gateways = [(build_gateway(gateway_class, stream).handle, stream[2]) for stream in streams]
    gc.collect()
    start = time.process_time()
    for handle, events in gateways:
        for now_us, event in events:
            handle(now_us, event)
    return time.process_time() - start


def compare_times(file: str, policy_folder: str, rounds: int) -> None:
    gateway_classes, streams = (
        (load_other_gateway(policy_folder), Gateway),
        pickle.loads(Path(file).read_bytes()),
    )
    ratios, min_cpu_s = [], [1e9, 1e9]
    gc.disable()
    for number in range(rounds):
        round_cpu_s = [0.0, 0.0]
        for index in (0, 1) if number % 2 else (1, 0):
            round_cpu_s[index] = cpu_s(gateway_classes[index], streams)
            min_cpu_s[index] = min(min_cpu_s[index], round_cpu_s[index])
        ratios.append(round_cpu_s[1] / round_cpu_s[0])
    print(
        f"this over other: mean {statistics.mean(ratios):.4f}, median {statistics.median(ratios):.4f}, "
        f"minimum CPU {min_cpu_s[1] / min_cpu_s[0]:.4f} of {min_cpu_s[1]:.3f} s"
    )


def main() -> None:
    command, file, *options = sys.argv[1:]
    if command == "record":
        record(file, int(options[0]) if options else 0)
    elif command == "compare":
        compare(file, options[0])
    else:
        compare_times(file, options[0], int(options[1]) if len(options) > 1 else 12)


if __name__ == "__main__":
    main()

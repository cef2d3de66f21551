"""Random faults for simulated coordination, and the checks that must hold once they have ended."""

from functools import partial
from random import Random

from sim.council import CoordinationHistory
from sim.histories import SECOND_US, InvariantError, NetworkConditions, Node

MAX_LOSS, MAX_DUPLICATE, MAX_STALE = 0.3, 0.1, 0.05
RECOVERY_US = 25 * SECOND_US  # time to recover after the last fault


def inject_faults(history: CoordinationHistory, seed: int, seconds: int = 15) -> None:
    """Inject kills, stops, partitions, lost messages and at times a broken disk, while proposing marks."""
    draw = Random(f"{seed}:troubles")
    history.run_until(6 * SECOND_US)
    # One broken disk at most, and only with 5 or more voters, so that a majority is left: of 3 voters,
    # another that restarts would lack half of the others.
    if draw.random() < 0.2 and len(history.disks) >= 5:
        history.disks[draw.choice(sorted(history.disks))].broken = True
    for _ in range(seconds * 2):
        kind = draw.random()
        node = history.nodes[draw.randrange(len(history.nodes))]
        if kind < 0.12 and node.up:
            history.kill(node, draw.randrange(SECOND_US // 2, 5 * SECOND_US))
        elif kind < 0.25 and node.up and not node.stopped:
            history.stop(node)
            history.call_at(
                history.now + draw.randrange(SECOND_US // 2, 10 * SECOND_US),
                partial(resume_incarnation, history, node, node.incarnation),
            )
        elif kind < 0.4:
            history.network = draw_network(draw, len(history.nodes))
        if draw.random() < 0.5:
            history.propose_mark(draw.randrange(len(history.nodes)), 4 * SECOND_US)
        history.run_until(history.now + SECOND_US // 2)
        history.check_proofs()


def resume_incarnation(history: CoordinationHistory, node: Node, incarnation: int) -> None:
    """Resume a front door if it has not been killed since it was stopped."""
    if node.incarnation == incarnation and node.stopped:
        history.resume(node)


def draw_network(draw: Random, doors: int) -> NetworkConditions:
    """Draw the network conditions that hold from now on."""
    groups: tuple[frozenset[int], ...] = ()
    blocked_links: set[tuple[int, int]] = set()
    if draw.random() < 0.4:
        side = frozenset(draw.sample(range(doors), draw.randint(1, doors - 1)))
        groups = side, frozenset(range(doors)) - side
    elif draw.random() < 0.5:
        blocked_links = {
            (draw.randrange(doors), draw.randrange(doors)) for _ in range(draw.randint(1, doors))
        }
    loss, duplicate, stale = (draw.random() * most for most in (MAX_LOSS, MAX_DUPLICATE, MAX_STALE))
    return NetworkConditions(loss, duplicate, stale, groups, frozenset(blocked_links))


def recover_and_check(history: CoordinationHistory) -> None:
    """End all faults and wait; raise `InvariantError` unless everything has recovered by then."""
    history.network = NetworkConditions()
    for node in history.nodes:
        if node.stopped:
            history.resume(node)
    end = history.now + RECOVERY_US
    while history.now < end:
        history.run_until(history.now + SECOND_US // 2)
        history.check_proofs()
    last = history.propose_mark(0, 2 * SECOND_US)
    history.run_until(history.now + 3 * SECOND_US)
    history.check_proofs()
    unfinished = [name for name, mark in history.marks.items() if mark.status is None and mark.awaited]
    if unfinished:
        raise InvariantError(f"no result for {unfinished}")
    if not history.marks[last].applied_everywhere_us or not history.marks[last].proof_us:
        raise InvariantError(
            "a mark is not applied everywhere with a proof 3 s after it was proposed, without faults"
        )
    if without_session := [door for door in range(len(history.nodes)) if not history.holds_session(door)]:
        raise InvariantError(f"front doors {without_session} hold no session, without faults")

"""Random troubles for a council in virtual time, and what must hold when they are over."""

from functools import partial
from random import Random

from sim.council import CouncilHistory
from sim.histories import BrokenError, Mail, Node, S

MOST_LOSS, MOST_DOUBLE, MOST_OLD = 0.3, 0.1, 0.05
CALM_US = 25 * S  # after the last trouble, until all must be well again


def trouble(play: CouncilHistory, seed: int, seconds: int = 15) -> None:
    """Kills, stops, splits, one-way links, losses, a broken disk at times; marks are asked for all along."""
    draw = Random(f"{seed}:troubles")
    play.run(6 * S)
    # One, so that a majority is left; of three, another that starts anew would lack half of the others.
    if draw.random() < 0.2 and len(play.disks) >= 5:
        play.disks[draw.choice(sorted(play.disks))].broken = True
    for _ in range(seconds * 2):
        each = draw.random()
        node = play.nodes[draw.randrange(len(play.nodes))]
        if each < 0.12 and node.up:
            play.kill(node, draw.randrange(S // 2, 5 * S))
        elif each < 0.25 and node.up and not node.stopped:
            play.stop(node)
            play.at(play.now + draw.randrange(S // 2, 10 * S), partial(go_on, play, node, node.life))
        elif each < 0.4:
            play.mail = mail(draw, len(play.nodes))
        if draw.random() < 0.5:
            play.mark(draw.randrange(len(play.nodes)), 4 * S)
        play.run(play.now + S // 2)
        play.proofs()


def go_on(play: CouncilHistory, node: Node, life: int) -> None:
    if node.life == life and node.stopped:
        play.resume(node)


def mail(draw: Random, doors: int) -> Mail:
    """How messages fare from now on."""
    groups: tuple[frozenset[int], ...] = ()
    cut: set[tuple[int, int]] = set()
    if draw.random() < 0.4:
        side = frozenset(draw.sample(range(doors), draw.randint(1, doors - 1)))
        groups = side, frozenset(range(doors)) - side
    elif draw.random() < 0.5:
        cut = {(draw.randrange(doors), draw.randrange(doors)) for _ in range(draw.randint(1, doors))}
    loss, double, old = (draw.random() * most for most in (MOST_LOSS, MOST_DOUBLE, MOST_OLD))
    return Mail(loss, double, old, groups, frozenset(cut))


def calm(play: CouncilHistory) -> None:
    """All goes on and hears one another again; after a time all must be well, or it is a BrokenError."""
    play.mail = Mail()
    for node in play.nodes:
        if node.stopped:
            play.resume(node)
    end = play.now + CALM_US
    while play.now < end:
        play.run(play.now + S // 2)
        play.proofs()
    last = play.mark(0, 2 * S)
    play.run(play.now + 3 * S)
    play.proofs()
    wrong = [name for name, told in play.marks.items() if told.over is None and told.asked]
    if wrong:
        raise BrokenError(f"no word on {wrong}")
    if not play.marks[last].everywhere_us or not play.marks[last].proof_us:
        raise BrokenError("a mark is not everywhere 3 s after it was asked for, with all well")
    if lacking := [door for door in range(len(play.nodes)) if not play.holding(door)]:
        raise BrokenError(f"{lacking} hold no session, with all well")

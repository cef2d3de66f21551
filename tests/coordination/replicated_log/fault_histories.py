"""Random histories: faults drawn by a seed for some time, then none; `simulated_cluster` has the invariants."""

from collections.abc import Callable

from molereach.coordination.interface.log import ProposalStatus
from molereach.coordination.replicated_log.messages import Voter, Voters
from molereach.coordination.replicated_log.settings import LogSettings
from molereach.coordination.replicated_log.voters import AddVoters, RemoveVoters, ReplaceVoter
from tests.coordination.replicated_log.simulated_cluster import MS, Disk, Node, S, World

FAULTS_US, HEAL_US = 2_500 * MS, 25 * S
QUICK = LogSettings(
    heartbeat_interval_us=100 * MS,
    min_election_timeout_us=300 * MS,
    max_election_timeout_us=600 * MS,
    retry_interval_us=200 * MS,
    max_tail_entries=24,
)


class History:
    """One history. At most one disk at a time is lost or set back, as the design says."""

    def __init__(self, seed: int, size: int, learners: int) -> None:
        self.world = world = World(seed, size, learners, QUICK)
        self.random = world.random
        world.loss, world.double = self.random.choice([0.0, 0.05, 0.3]), 0.1
        world.sync_us = self.random.choice([3 * MS, 20 * MS, 200 * MS])
        world.slowest_us = self.random.choice([5 * MS, 40 * MS, 300 * MS])
        self.numbers = 0
        self.old: dict[str, Disk] = {}  # copies of disks, to be set back to
        self.broken = ""  # the front door whose disk was lost or set back, until its seat is another's
        self.replacing = ""
        self.faults = 0

    # --- faults ---

    def seats(self) -> Voters:
        cores = [node.core for node in self.world.nodes.values() if node.core]
        return max(cores, key=lambda core: core.position).voters if cores else self.world.panel

    def some(self) -> Node:
        """Any front door; more often one that leads."""
        leading = [
            node for node in self.world.nodes.values() if node.core and node.core.leader_protocol.leadership
        ]
        return self.random.choice(
            leading if leading and self.random.random() < 0.4 else list(self.world.nodes.values())
        )

    def may_break(self, name: str) -> bool:
        """Three bear no lost disk; and one without a seat may just be given one with the disk that it had."""
        return len(self.world.panel) > 3 and self.seat(name) in self.seats()

    def kill(self) -> None:
        node = self.some()
        if node.core:
            self.world.kill(node.name)
            self.back_later(node)

    def back_later(self, node: Node) -> None:
        def back() -> None:
            if node.core is None:
                self.world.start(node.name)

        self.world.at(self.random.randrange(800 * MS), back)

    def copy_disk(self) -> None:
        node = self.random.choice(list(self.world.nodes.values()))
        self.old[node.name] = node.disk.copy()

    def set_back(self) -> None:
        if self.broken or not self.old:
            return
        name = self.random.choice(list(self.old))
        node = self.world.nodes[name]
        if node.core is None or self.old[name].identity != node.disk.identity or not self.may_break(name):
            return
        self.broken = name
        self.world.kill(name)
        node.disk = self.old.pop(name)
        self.back_later(node)

    def lose_disk(self) -> None:
        node = self.some()
        if self.broken or node.core is None or not self.may_break(node.name):
            return
        self.broken = node.name
        self.old.pop(node.name, None)
        self.world.kill(node.name)
        node.disk = self.world.new_disk()
        self.back_later(node)

    def fail_disk(self) -> None:
        node = self.some()
        if node.core and not self.broken:
            node.disk_fails = True
            self.world.at(S, lambda: self.restart(node))

    def restart(self, node: Node) -> None:
        if node.core and node.disk_fails:
            self.world.kill(node.name)
            self.world.start(node.name)

    def stall(self) -> None:
        self.world.stall(self.some().name, self.random.randrange(2 * S))

    def split(self) -> None:
        self.world.groups = {name: self.random.randrange(2) for name in self.world.nodes}
        self.world.at(self.random.randrange(2 * S), self.join)

    def cut_off(self) -> None:
        self.world.groups = {self.some().name: 1}
        self.world.at(self.random.randrange(S), self.join)

    def join(self) -> None:
        self.world.groups = {}

    # --- the operator ---

    def seat(self, name: str) -> Voter:
        return Voter(name, self.world.nodes[name].disk.identity)

    def change_panel(self) -> None:
        panel = self.seats()
        free = [name for name in self.world.nodes if name not in {seat.name for seat in panel}]
        name = self.random.choice(list(self.world.nodes))
        self.numbers += 1
        kind = self.random.random()
        if kind < 0.5 and free:
            into = self.seat(self.random.choice(free))
            self.world.change(name, f"c{self.numbers}", ReplaceVoter(self.random.choice(panel), into))
        elif kind < 0.75 and len(free) >= 2:
            self.world.change(name, f"c{self.numbers}", AddVoters((self.seat(free[0]), self.seat(free[1]))))
        elif len(panel) > (3 if len(self.world.panel) == 3 else 5):  # three bear no lost disk and a start
            self.world.change(name, f"c{self.numbers}", RemoveVoters((panel[0], panel[-1])))

    def mend(self) -> None:
        """A seat whose disk was lost or set back is given to the disk that is there now."""
        if self.broken:
            node, panel = self.world.nodes[self.broken], self.seats()
            held = next((seat for seat in panel if seat.name == self.broken), None)
            if node.set_back:
                self.world.kill(node.name)
                node.disk = self.world.new_disk()
                self.world.start(node.name)
            elif node.core and held is None:
                self.broken = ""
            elif node.core and held and held.disk != node.disk.identity:
                name = self.random.choice(list(self.world.nodes))
                self.numbers += 1
                self.world.change(name, f"m{self.numbers}", ReplaceVoter(held, self.seat(self.broken)))
            elif node.core and held and node.core.state.may_vote:
                self.broken = ""
        self.world.at(500 * MS, self.mend)

    # --- the run ---

    def fault(self) -> None:
        kinds: list[Callable[[], None]] = [
            self.kill,
            self.kill,
            self.copy_disk,
            self.set_back,
            self.lose_disk,
            self.fail_disk,
            self.stall,
            self.stall,
            self.split,
            self.cut_off,
            self.change_panel,
            self.change_panel,
        ]
        if not self.over:
            self.random.choice(kinds)()
            self.world.at(self.random.randrange(300 * MS), self.fault)

    def work(self) -> None:
        if not self.over:
            name = self.random.choice(list(self.world.nodes))
            if self.random.random() < 0.2:
                self.world.confirm(self.world.leader() or name)
            else:
                self.numbers += self.random.random() < 0.8  # some ids are told again, at another front door
                self.world.propose(name, f"p{self.numbers}")
            self.world.at(self.random.randrange(60 * MS), self.work)

    def play(self) -> None:
        world, self.over = self.world, False
        world.start_all()
        world.beat()
        self.fault()
        self.work()
        self.mend()
        world.run(FAULTS_US)
        self.over = True
        world.loss, world.slowest_us, world.sync_us = 0.0, 40 * MS, 10 * MS
        self.join()
        settled = world.run(
            HEAL_US,
            lambda: (
                not self.broken
                and world.leader() is not None
                and world.level()
                and not any(node.stalled or node.disk_fails for node in world.nodes.values())
            ),
        )
        assert settled, f"not level: {self.state()}"
        for name in world.nodes:
            world.propose(name, f"last-{name}")
        assert world.run(5 * S, world.level), f"not level at the end: {self.state()}"
        assert all(world.words[f"last-{name}"][0].status is ProposalStatus.APPLIED for name in world.nodes)

    def state(self) -> list[object]:
        return [
            self.broken,
            self.seats(),
            len(self.world.entries),
            [
                (
                    node.name,
                    node.disk.identity[-2:],
                    node.core
                    and (
                        node.core.position,
                        node.core.state.may_vote,
                        node.core.leader_protocol.is_leader,
                        node.core.leader,
                        node.stopped,
                        node.set_back,
                        len(node.open),
                        len(node.core.recovery.acknowledgements),
                    ),
                )
                for node in self.world.nodes.values()
            ],
        ]

"""Counts match those of the backends: merged twice or in any order, with lagging or returning front doors."""

import itertools

import msgspec
import pytest

from molereach.coordination.interface.clearance import ClearanceEvidence, NodeClearance
from molereach.coordination.interface.core import MessageReceived, Tick
from molereach.coordination.interface.identifiers import NodeInstance
from molereach.coordination.interface.log import Restored
from molereach.coordination.leases import bodies as leases
from molereach.shards.counts.bodies import MACHINE, Fold, encode
from molereach.shards.counts.counter import Count, WriteCounter
from molereach.shards.counts.machine import CountsMachine
from molereach.shards.counts.merged_counts import MergedCounts
from molereach.shards.counts.messages import (
    MAX_BYTES,
    MAX_ROWS,
    CountReport,
    CountRow,
    count_reports,
    decode,
)
from molereach.shards.counts.recorder import REPORT_INTERVAL_US, CountRecorder, RestartRequired
from molereach.shards.proof import SessionClearance, build_proof, proof_error
from tests.shards.counts.simulation import Proxy, ShardsBelow100, Simulation
from tests.shards.generated import random_source

A, B, C, B2 = NodeInstance("a", 1), NodeInstance("b", 1), NodeInstance("c", 1), NodeInstance("b", 2)


def simulate(*instances: NodeInstance, machine: type[CountsMachine] = CountsMachine) -> Simulation:
    """A simulation in which these front doors run."""
    simulation = Simulation(random_source(1), machine)
    for instance in instances:
        simulation.start(instance)
    return simulation


def settle(simulation: Simulation) -> None:
    """All messages arrive, all proposals are chosen, and all front doors catch up."""
    for _ in range(3):
        for instance, proxy in simulation.proxies.items():
            if proxy.alive:
                simulation.catch_up(instance)
                simulation.tick(instance)
        while simulation.messages:
            simulation.deliver(0, duplicate=False)
    for instance in simulation.proxies:
        simulation.catch_up(instance)


class AddsReports(MergedCounts):
    """Mutation: a repeated report counts again."""

    @staticmethod
    def _combine(before: Count, reported: Count) -> Count:
        return before.plus(reported)


class AddsFolds(MergedCounts):
    """Mutation: the log's counts of an instance are added to the reported ones."""

    def totals(self) -> dict[int, Count]:
        totals = super().totals()
        for instance, folded in self._logged.folded().items():
            for shard in folded if instance in self._instances else ():
                totals[shard] = totals[shard].plus(folded[shard])
        return totals


def merges_in_any_order(kind: type[MergedCounts]) -> bool:
    """Whether reports in any order, one of them twice, give the same totals."""
    reports = [
        (A, (CountRow(1, 1, 10),)),
        (A, (CountRow(1, 3, 30), CountRow(2, 1, 5))),
        (B, (CountRow(1, 2, 7),)),
    ]
    results = set()
    for order in itertools.permutations([*reports, reports[1]]):
        merged = kind(Proxy(C).counts)
        for instance, rows in order:
            merged.merge(instance, rows)
        results.add(tuple(sorted((shard, count.bytes) for shard, count in merged.totals().items())))
    return results == {((1, 37), (2, 5))}


def test_reports_merged_twice_and_in_any_order_give_the_same_totals() -> None:
    assert merges_in_any_order(MergedCounts)
    assert not merges_in_any_order(AddsReports)


def counts_a_returning_instance_once(kind: type[MergedCounts]) -> bool:
    """Whether the counts are right if an instance is folded, returns and writes again."""
    simulation = simulate(A, B)
    simulation.proxies[A].recorder.merged = kind(simulation.proxies[A].counts)
    simulation.write(B, 7, 60)
    settle(simulation)
    simulation.expire_session(B)
    settle(simulation)
    assert simulation.reference.counts.folded()[B] == {7: Count(1, 60)}
    assert not simulation.append(
        leases.MACHINE, leases.encode(leases.OpenSession(B)), B
    ).error  # its process was suspended and resumes
    simulation.write(B, 7, 40)
    settle(simulation)
    return simulation.counted(A) == simulation.confirmed == {7: 100}


def test_an_instance_that_returns_after_its_fold_counts_once() -> None:
    assert counts_a_returning_instance_once(MergedCounts)
    assert not counts_a_returning_instance_once(AddsFolds)


def test_reports_that_reached_only_a_partitioned_proxy_are_counted() -> None:
    simulation = simulate(A, B, C)
    simulation.write(C, 1, 100)
    rows = simulation.proxies[C].recorder.counter.rows()
    simulation.proxies[A].recorder.handle(0, MessageReceived(C, CountReport(C, rows)))
    simulation.write(C, 1, 11)
    later_rows = simulation.proxies[C].recorder.counter.rows()
    simulation.proxies[B].recorder.handle(
        0, MessageReceived(C, CountReport(C, later_rows))
    )  # only B gets the last report, then C stops
    simulation.proxies[C].alive = False
    simulation.expire_session(C)
    simulation.catch_up(A)
    simulation.tick(A)  # the leader folds what it knows
    assert simulation.reference.counts.folded()[C] == {1: Count(1, 100)}
    simulation.catch_up(B)
    assert simulation.proxies[B].recorder.clear_position < simulation.proxies[B].recorder._applied
    assert simulation.retire(C).error == "this life may come back"
    simulation.start(NodeInstance("c", 2))
    simulation.catch_up(A)
    assert simulation.retire(C).error == "proof: no word of b"
    simulation.tick(B)  # folds what the log lacks
    settle(simulation)
    assert simulation.counted(A) == simulation.counted(B) == {1: 111}
    assert not simulation.retire(C).error
    settle(simulation)
    simulation.proxies[A].recorder.handle(0, MessageReceived(C, CountReport(C, later_rows)))
    assert simulation.counted(A) == simulation.counted(B) == {1: 111}


def test_folds_and_retirements_that_break_a_rule_are_rejected() -> None:
    simulation = simulate(A, B)

    def fold(instance: NodeInstance) -> str:
        return simulation.append(MACHINE, encode(Fold(instance, (CountRow(1, 1, 5),))), A).error

    assert fold(A) == "this life has a session"
    assert fold(NodeInstance("never", 1)) and fold(NodeInstance("a", 2))
    simulation.expire_session(B)
    assert not fold(B)
    assert simulation.retire(B).error == "this life may come back"
    simulation.start(B2)
    assert "no word" in simulation.retire(NodeInstance("b", 1)).error or not simulation.retire(B).error
    settle(simulation)
    simulation.expire_session(B2)
    assert not fold(B2)
    simulation.start(NodeInstance("b", 3))
    settle(simulation)
    if B in simulation.reference.counts.folded():
        assert "earlier life" in simulation.retire(B2).error
        assert not simulation.retire(B).error
    assert not simulation.retire(B2).error
    assert fold(B) == "this life is in the base"
    assert simulation.reference.counts.base() == {1: Count(2, 10)}
    assert simulation.append(MACHINE, b'{"kind":"other"}', A).error == "not understood"


def test_an_expired_proxy_that_may_return_blocks_a_retirement() -> None:
    simulation = simulate(A, B, C)
    simulation.write(C, 1, 5)
    settle(simulation)
    simulation.expire_session(C)
    settle(simulation)
    simulation.expire_session(B)  # it may hold a later report of C
    simulation.start(NodeInstance("c", 2))
    settle(simulation)
    assert simulation.retire(C).error == "proof: b may come back"
    simulation.start(B2)
    assert not simulation.retire(C).error


def test_without_room_only_instances_that_never_return_are_retired_without_proof() -> None:
    simulation = simulate(A, B, C)
    counts = CountsMachine(simulation.reference.sessions, ShardsBelow100(), max_rows=2)
    simulation.reference.counts = counts
    simulation.expire_session(B)
    simulation.expire_session(C)
    assert not simulation.append(MACHINE, encode(Fold(B, (CountRow(1, 1, 5), CountRow(2, 1, 5)))), A).error
    assert "more than 2 rows" in simulation.append(MACHINE, encode(Fold(C, (CountRow(1, 1, 5),))), A).error
    simulation.start(B2)
    assert not simulation.append(MACHINE, encode(Fold(C, (CountRow(1, 1, 5),))), A).error
    assert (
        counts.unproven_retirements == 1
        and counts.is_retired(B)
        and counts.base() == {1: Count(1, 5), 2: Count(1, 5)}
    )
    recorder = CountRecorder(B, counts, 0)
    assert recorder.handle(REPORT_INTERVAL_US, Tick()) == [RestartRequired()]


def test_reports_of_a_retired_instance_are_ignored() -> None:
    simulation = simulate(A, B)
    simulation.write(B, 1, 5)
    settle(simulation)
    simulation.expire_session(B)
    settle(simulation)
    simulation.start(B2)
    simulation.catch_up(A)
    recorder = simulation.proxies[A].recorder
    recorder.merged.merge(B, [CountRow(1, 1, 5)])  # a late report, which the log has completely
    assert not simulation.retire(B).error
    simulation.catch_up(A)
    assert simulation.counted(A) == {1: 5}
    assert not recorder.merged.merge(B, [CountRow(1, 2, 9)]) and simulation.counted(A) == {1: 5}
    recorder.merged.discard_logged()
    assert not recorder.merged.merge(B, [CountRow(1, 2, 9)]) and B not in recorder.merged.instances()


def test_an_earlier_instance_that_is_not_folded_blocks_the_retirement_of_a_later_one() -> None:
    simulation = simulate(A, B, C)
    simulation.proxies[C].recorder.merged.merge(B, [CountRow(1, 1, 5)])  # only C has its report
    simulation.start(B2)
    simulation.expire_session(B2)
    assert not simulation.append(MACHINE, encode(Fold(B2, (CountRow(1, 1, 7),))), A).error
    simulation.start(NodeInstance("b", 3))
    for instance in (A, NodeInstance("b", 3), C):
        simulation.catch_up(instance)
    assert simulation.retire(B2).error == "proof: no word of c"
    simulation.tick(C)
    simulation.catch_up(C)
    assert simulation.reference.counts.folded()[B] == {1: Count(1, 5)}
    assert simulation.retire(B2).error == "an earlier life of this name is kept"


def test_what_an_incomplete_proof_lacks_is_named() -> None:
    simulation = simulate(A, B, C)
    sessions, position = simulation.reference.sessions, len(simulation.entries) + 1
    simulation.append(MACHINE, b"{}", A)
    tokens = {session.instance: session.fencing_token for session in sessions.active_sessions()}
    proof = {
        instance: SessionClearance(token, ClearanceEvidence.REPORTED, position)
        for instance, token in tokens.items()
    }

    def error(**changed: SessionClearance) -> str:
        return proof_error(
            [changed.get(instance.name, clearance) for instance, clearance in proof.items()],
            sessions,
            position,
        )

    assert error() == ""
    assert proof_error([], sessions, position) == "no word of a"
    assert (
        error(b=SessionClearance(tokens[B], ClearanceEvidence.REPORTED, position - 1))
        == f"b has said {position - 1} of {position}"
    )
    assert (
        error(b=SessionClearance(tokens[B], ClearanceEvidence.SESSION_EXPIRED, position + 1))
        == "b has a session and has not said so"
    )
    simulation.expire_session(B)
    assert (
        error(b=SessionClearance(tokens[B], ClearanceEvidence.SESSION_EXPIRED, position + 2))
        == f"b is over by {position + 1}"
    )
    assert error(b=SessionClearance(tokens[B], ClearanceEvidence.SESSION_EXPIRED, position + 1)) == ""
    clearances = [
        NodeClearance(B, ClearanceEvidence.SESSION_EXPIRED, position + 1),
        NodeClearance(A, ClearanceEvidence.REPORTED, position),
        NodeClearance(C, ClearanceEvidence.REPORTED, position),
    ]
    assert proof_error(build_proof(sessions, position, clearances), sessions, position) == ""


def test_counters_and_messages_are_bounded() -> None:
    counter = WriteCounter()
    for shard in range(MAX_ROWS + 5):
        counter.add(shard + 1, 1)
    counter.add(1, MAX_BYTES)
    counter.add(1, -1)
    assert (len(counter.counts), counter.uncounted) == (MAX_ROWS, 7)
    reports = count_reports(A, counter.rows())
    assert sum(len(report.rows) for report in reports) == MAX_ROWS
    assert all(decode(msgspec.json.encode(report)) == report for report in reports)
    merged = MergedCounts(Proxy(A).counts)
    merged.merge(B, [CountRow(1, 1, 1), CountRow(100, 1, 1)])
    assert list(merged.totals()) == [1]  # the map does not have the other shard, or not yet
    assert len(merged.rows_of(B)) == 2
    for broken in (b"{}", b'{"kind":"told","life":{"name":"a","number":1},"rows":[[0,1,1]]}', b" " * 70_000):
        with pytest.raises(ValueError):
            decode(broken)


@pytest.mark.parametrize("seed", range(12))
def test_random_histories_lead_to_the_counts_of_the_backends(seed: int) -> None:
    draw = random_source(seed)
    simulation = simulate(A, B, C)
    simulation.draw = draw
    instances = {"a": A, "b": B, "c": C}
    for _ in range(250):
        name = "abc"[int(draw() * 3)]
        instance = instances[name]
        choice = draw()
        active = simulation.reference.sessions.active_session(name)
        if choice < 0.45:
            simulation.write(instance, 1 + int(draw() * 4), 1 + int(draw() * 50))
        elif choice < 0.6:
            simulation.tick(instance, loss=0.3)
        elif choice < 0.75 and simulation.messages:
            simulation.deliver(int(draw() * len(simulation.messages)), duplicate=draw() < 0.5)
        elif choice < 0.88:
            simulation.catch_up(instance, 1 + int(draw() * 4))
        elif choice < 0.92 and active and active.instance == instance:
            simulation.expire_session(instance)
        elif choice < 0.95 and not active:
            simulation.append(
                leases.MACHINE, leases.encode(leases.OpenSession(instance)), instance
            )  # a suspended process resumes
        elif choice < 0.97 and simulation.can_be_lost(instance):  # it restarts from a snapshot
            del simulation.proxies[instance]
            instances[name] = NodeInstance(name, instance.number + 1)
            simulation.start(instances[name])
            snapshot = simulation.reference.counts.snapshot()
            restarted = simulation.proxies[instances[name]]
            restarted.counts.restore(snapshot)
            restarted.recorder.handle(simulation.now_us, Restored(len(simulation.entries)))
            assert restarted.counts.snapshot() == snapshot
        elif choice < 0.99:
            simulation.elect("abc"[int(draw() * 3)])
        else:
            for each in list(simulation.reference.counts.folded()):
                simulation.retire(each)
    for name, instance in instances.items():
        active = simulation.reference.sessions.active_session(name)
        if not active or active.instance != instance:
            simulation.append(leases.MACHINE, leases.encode(leases.OpenSession(instance)), instance)
    for leader in "abc":
        simulation.elect(leader)
        settle(simulation)
        settle(simulation)
        assert simulation.counted(instances[leader]) == simulation.confirmed
    assert simulation.reference.counts.snapshot() == simulation.proxies[instances["a"]].counts.snapshot()


def test_snapshots_to_which_no_log_leads_are_rejected() -> None:
    counts = CountsMachine(Proxy(A).sessions, ShardsBelow100())
    before = counts.snapshot()
    folded = '{"life":{"name":"a","number":1},"begun":3,"rows":[[1,1,5]]}'
    for broken in (
        b"",
        b"{}",
        f'{{"base":[],"kept":[{folded},{folded}],"horizon":{{}},"hurried":0}}'.encode(),
        f'{{"base":[],"kept":[{folded}],"horizon":{{"a":1}},"hurried":0}}'.encode(),
    ):
        with pytest.raises(ValueError):
            counts.restore(broken)
    assert counts.snapshot() == before

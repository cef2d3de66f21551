"""The stand-in server without I/O, in virtual time."""

from hypothesis import given
from hypothesis import strategies as st

from rig.facts import Arrived, Fell, Ran, Repeat, Started, TurnedAway
from rig.member import (
    Action,
    Closed,
    Command,
    Crash,
    DeduplicationStore,
    Member,
    MemberSpec,
    Reply,
    SetDraining,
    SetSlow,
    Start,
    Tick,
)

S, MS = 1_000_000, 1_000
SPEC = MemberSpec(cores=2, queue=2, cold_from=0.25, warm_us=8 * S)


def member(spec: MemberSpec = SPEC, store: DeduplicationStore | None = None, name: str = "s1") -> Member:
    return Member(name, "z1", spec, store or DeduplicationStore(15 * S))


def command(name: str, connection: int = 1, work_us: int = 20 * MS, key: str = "", at: int = 0) -> Command:
    return Command(connection, "n0", name, "c1", key, "1", at, work_us)


def until(server: Member, end_us: int) -> list[tuple[int, Action]]:
    """The actions of all ticks up to a time."""
    actions: list[tuple[int, Action]] = []
    while (due := server.next_us()) is not None and due <= end_us:
        actions += [(due, action) for action in server.handle(due, Tick())]
    return actions


def ids_of(server: Member, fact_type: type) -> list[str]:
    return [fact.id for fact in server.facts if isinstance(fact, fact_type)]  # type: ignore[attr-defined]


def test_commands_run_wait_and_are_rejected() -> None:
    server = member()
    for number in range(4):
        assert server.handle(0, command(f"r{number}", number)) == []
    (rejection,) = server.handle(0, command("r4", 4))
    assert isinstance(rejection, Reply) and rejection.connection == 4 and rejection.data.startswith(b"-BUSY ")
    assert ids_of(server, Ran) == ["r0", "r1"] and ids_of(server, TurnedAway) == ["r4"]
    answered = until(server, S)
    assert [at for at, _ in answered] == [20 * MS, 20 * MS, 40 * MS, 40 * MS]
    assert ids_of(server, Ran) == ["r0", "r1", "r2", "r3"]
    assert len(ids_of(server, Arrived)) == 5


def test_answer_carries_its_value_and_a_load_report() -> None:
    server = member()
    server.handle(0, command("r0"))
    ((_, action),) = until(server, S)
    (run,) = [fact for fact in server.facts if isinstance(fact, Ran)]
    assert isinstance(action, Reply) and run.value in action.data
    assert b"util=" in action.data and b",latency_ms=" in action.data


def test_drain_rejects_new_commands_and_completes_accepted_ones() -> None:
    server = member()
    server.handle(0, command("r0"))
    server.handle(1, SetDraining(True))
    server.handle(2, command("r1", 2))
    assert ids_of(server, TurnedAway) == ["r1"] and len(until(server, S)) == 1
    server.handle(S, SetDraining(False))
    server.handle(S, command("r2", 2))
    assert ids_of(server, Ran) == ["r0", "r2"]


def test_repeated_key_is_dropped_within_its_zone_and_window() -> None:
    store = DeduplicationStore(15 * S)
    first, second, other = member(store=store), member(store=store, name="s2"), member(name="s3")
    first.handle(0, command("r0", key="k"))
    (reply,) = second.handle(5 * S, command("r1", key="k"))
    assert ids_of(second, Repeat) == ["r1"] and not ids_of(second, Ran)
    assert isinstance(reply, Reply) and b"s1.1.r0" in reply.data  # the result of the first execution
    other.handle(5 * S, command("r2", key="k"))  # the store of another zone does not have it
    second.handle(15 * S + 1, command("r3", key="k"))
    second.handle(5 * S, command("r4", key="l"))
    assert ids_of(other, Ran) == ["r2"] and ids_of(second, Ran) == ["r3", "r4"]


def test_closed_connection_drops_queued_commands_and_not_running_ones() -> None:
    server = member()
    for number in range(4):
        server.handle(0, command(f"r{number}", number))
    for number in (0, 2):
        server.handle(1, Closed(number))
    answered = [action.connection for _, action in until(server, S) if isinstance(action, Reply)]
    assert answered == [1, 3] and ids_of(server, Ran) == ["r0", "r1", "r3"]


def test_cold_server_is_slow_and_becomes_warm() -> None:
    server = member()
    server.handle(S, Start(cold=True))
    server.handle(S, command("r0"))
    assert server.next_us() == S + 80 * MS
    until(server, 9 * S)
    server.handle(9 * S, command("r1"))
    assert server.next_us() == 9 * S + 20 * MS
    assert next(type(fact) for fact in server.facts) is Started


def test_cold_server_fails_under_overload() -> None:
    """Half a core, times 2.5, plus a tenth of slack: 1.375 s of work within a second."""
    server = member(MemberSpec(queue=100))
    server.handle(0, Start(cold=True))
    actions = [server.handle(0, command(f"r{number}", number, work_us=50 * MS)) for number in range(28)]
    assert all(Crash() not in found for found in actions[:27]) and actions[27] == [Crash()]
    assert any(isinstance(fact, Fell) for fact in server.facts)
    # It stays down until its restart.
    assert server.handle(S, command("more")) == [] and until(server, 20 * S) == []
    server.handle(20 * S, Start(cold=False))
    server.handle(20 * S, command("later"))
    assert ids_of(server, Ran)[-1] == "later"


def test_warm_server_does_not_fail_under_overload() -> None:
    server = member()
    for number in range(1000):
        assert Crash() not in server.handle(0, command(f"r{number}", number, work_us=S))


def test_slow_server_multiplies_its_service_times() -> None:
    server = member()
    server.handle(0, SetSlow(5.0))
    server.handle(0, command("r0"))
    assert server.next_us() == 100 * MS


def test_deduplication_store_drops_expired_keys() -> None:
    store = DeduplicationStore(10)
    for number in range(1000):
        store.remember(number, "c", str(number), b"v")
    assert len(store.values) <= 12 and store.find(1000, "c", "995") == b"v"
    assert store.find(1010, "c", "995") is None


EVENTS = st.lists(
    st.one_of(
        st.tuples(st.just("command"), st.integers(0, 5), st.integers(1, 60 * MS)),
        st.tuples(st.just("closed"), st.integers(0, 5), st.just(0)),
        st.tuples(st.just("drain"), st.integers(0, 1), st.just(0)),
        st.tuples(st.just("wait"), st.just(0), st.integers(0, 80 * MS)),
    ),
    max_size=60,
)


@given(EVENTS, st.booleans())
def test_every_command_has_at_most_one_answer_and_runs_at_most_once(
    events: list[tuple[str, int, int]], cold: bool
) -> None:
    server, now, replies = member(MemberSpec(queue=3)), 0, 0
    server.handle(0, Start(cold))
    for number, (what, which, amount) in enumerate(events):
        actions: list[Action] = []
        if what == "command":
            actions = server.handle(now, command(f"r{number}", which, work_us=amount))
        elif what == "closed":
            actions = server.handle(now, Closed(which))
        elif what == "drain":
            actions = server.handle(now, SetDraining(bool(which)))
        else:
            now += amount
            actions = [action for _, action in until(server, now)]
        replies += sum(isinstance(action, Reply) for action in actions)
        assert len(server.running) <= 2 and len(server.waiting) <= 3
        runs = ids_of(server, Ran)
        assert len(set(runs)) == len(runs)
        assert not set(runs) & set(ids_of(server, TurnedAway))
        assert set(runs) <= set(ids_of(server, Arrived))
        assert replies <= len(ids_of(server, Arrived))

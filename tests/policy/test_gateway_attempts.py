"""Attempts and answers of a gateway: what may go again, and by when each request is answered."""

from dataclasses import replace

from molereach.policy.interface.actions import FailRequest, ForwardAttempt, Reject
from molereach.policy.interface.events import AttemptResult, ClientDisconnected, ResponseStreamStarted
from molereach.policy.interface.settings import DeduplicationScope, Idempotency, Plan, RequestClass
from tests.helpers import MS, SAFE, SETTINGS, S, World, of, servers
from tests.policy.gateways import UNSAFE, with_class

KEYED = RequestClass(
    2 * S,
    6 * S,
    idempotency=Idempotency.IDEMPOTENT_WITH_KEY,
    deduplication_scope=DeduplicationScope.ZONE,
    deduplication_window_us=3 * S,
)


def test_no_time_left_is_answered_at_once() -> None:
    world = World(fleet=())
    assert of(Reject, world.ask("a", left_us=0))


def test_deadline_of_an_unsafe_request_fails_it() -> None:
    world = World(with_class(UNSAFE))
    world.ask("a")
    world.run(6 * S)
    actions = world.answer("a", AttemptResult.TIMEOUT)
    assert actions == [FailRequest("a")]
    assert world.tell(ClientDisconnected("a")) == []


def test_unsafe_goes_again_only_if_it_never_ran() -> None:
    world = World(with_class(UNSAFE))
    world.ask("a")
    assert of(ForwardAttempt, world.answer("a", AttemptResult.REJECTED))
    assert of(ForwardAttempt, world.answer("a", AttemptResult.CONNECT_FAILED, attempt=1))
    assert world.answer("a", AttemptResult.RESET, attempt=2) == [FailRequest("a")]


def test_unsafe_proven_unrun_to_the_end_is_refused() -> None:
    world = World(with_class(UNSAFE))
    world.ask("a")
    for attempt in range(3):
        actions = world.answer("a", AttemptResult.REJECTED, attempt)
    assert of(Reject, actions)


def test_keyed_stays_in_its_zone_and_window() -> None:
    world = World(with_class(KEYED))
    world.ask("a")
    first = world.out[("a", 0)][0]
    again = of(ForwardAttempt, world.answer("a", AttemptResult.RESET))
    assert int(again[0].endpoint[1:]) % 2 == int(first[1:]) % 2
    world.run(3 * S)
    assert world.answer("a", AttemptResult.RESET, attempt=1) == [FailRequest("a")]


def test_slow_attempt_is_given_up_while_another_can_meet_the_aim() -> None:
    world = World()
    world.ask("a")
    assert world.out[("a", 0)][2] < 2 * S - 500 * MS
    world.run(S)
    assert len(of(ForwardAttempt, world.answer("a", AttemptResult.TIMEOUT))) == 1
    world = World(with_class(UNSAFE))
    world.ask("a")
    assert world.out[("a", 0)][2] == 6 * S


def test_time_out_on_a_server_that_answers_others_is_no_sign() -> None:
    world = World(replace(SETTINGS, plans=(Plan(),)), servers(1))
    for n in range(4):
        world.ask(f"r{n}")
    for n in range(2):
        world.ask(f"ok{n}")
    world.run(1 * S)
    world.answer("ok0")
    world.run(10 * MS)
    for n in range(4):
        world.answer(f"r{n}", AttemptResult.TIMEOUT)
    assert world.gateway.load_balancer.backends["s0"].on_trial is False


def test_further_attempts_are_few() -> None:
    world = World(replace(SETTINGS, plans=(Plan(),)))
    for n in range(100):
        for action in of(ForwardAttempt, world.ask(f"r{n}")):
            more = of(ForwardAttempt, world.answer(action.request_id, AttemptResult.ERROR))
            while more:
                attempt = world.tries[action.request_id] - 1
                more = of(ForwardAttempt, world.answer(action.request_id, AttemptResult.ERROR, attempt))
        world.run(10 * MS)
    assert len(of(ForwardAttempt, [action for _, action in world.log])) <= 100 * 1.1 + 8


def test_stream_is_the_clients_once_begun() -> None:
    world = World(with_class(replace(SAFE, is_streamed=True)))
    world.ask("a")
    assert world.tell(ResponseStreamStarted("a", 0, world.out[("a", 0)][0], 5)) == []
    assert of(Reject, world.answer("a", AttemptResult.RESET)) == []


def test_request_of_which_nothing_was_sent_is_refused_before_half_of_its_time() -> None:
    for fleet in ((), servers(1)):
        world = World(fleet=fleet)
        world.gateway.attempts.mean_latency_us = [
            50.0 * MS
        ]  # so that the aim alone would let it wait for longer
        start = world.now
        world.ask("a", left_us=S)
        if fleet:  # a failed connect has sent nothing
            world.gateway.load_balancer.ready.clear()
            world.answer("a", AttemptResult.CONNECT_FAILED)
        world.run(S)
        refused = [at for at, action in world.log if isinstance(action, Reject)]
        assert len(refused) == 1
        assert 400 * MS < refused[0] - start < 500 * MS


def test_request_that_was_sent_whole_may_wait_for_longer() -> None:
    world = World()
    world.ask("a", left_us=S)
    world.run(900 * MS)
    assert of(Reject, world.run(0)) == [] and world.out


def test_retry_that_comes_after_the_aim_of_its_first_try_is_refused_at_once() -> None:
    world = World()
    world.ask("first", left_us=6 * S)
    assert of(ForwardAttempt, world.ask("soon", left_us=5 * S, is_retry=True))
    late = world.ask("late", left_us=4 * S, is_retry=True)  # asked first 2 s ago, as long as the aim is
    assert of(Reject, late) and not of(ForwardAttempt, late)
    worth = World(replace(SETTINGS, classes=(replace(SAFE, late_priority_weight=0.5),)))
    worth.ask("first", left_us=6 * S)
    assert of(ForwardAttempt, worth.ask("late", left_us=4 * S, is_retry=True))


def test_clients_that_wait_for_different_times_are_no_reason_to_refuse_retries() -> None:
    world = World()
    for number, left in enumerate([6 * S, 3 * S, 6 * S, 3 * S]):
        world.ask(f"first{number}", left_us=left)
    assert of(ForwardAttempt, world.ask("retry", left_us=2 * S, is_retry=True))

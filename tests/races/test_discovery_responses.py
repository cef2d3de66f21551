"""How an answer of discovery ends, and what of it counts then. The rows: docs/design/endings.md."""

from collections.abc import Callable

import pytest

from molereach.policy.interface.events import EndpointState
from tests.races.discovery_agent import PLAIN_HEAD, WHOLE, after, asked, call, changes, indented, watch, whole
from tests.races.scripted_peers import Peer, machine, turns
from tests.sockets import HEAD, chunk, run

UP, DRAINING, GONE = EndpointState.UP, EndpointState.DRAINING, EndpointState.REMOVED


def test_indented_lists_are_read_in_a_watch_and_in_the_whole_list() -> None:
    async def job() -> None:
        with machine() as agent, machine() as other:
            async with asked(agent) as door:
                peer = await watch(agent)
                text = indented(changes(4, s1="DRAINING")) + b"\n" + indented(changes(5, s1="DELETED"))
                peer.say(chunk(text[:70]) + chunk(text[70:]))
                assert await door.next() == (4, {"s1": DRAINING})
                assert await door.next() == (5, {"s1": GONE})
                door.discovery.change_address(other.address)
                peer, target = await call(other)
                assert target == WHOLE
                body = indented(whole(9, "s2"))
                peer.say(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
                assert await door.next() == (9, {"s2": UP})
                await watch(other, 9)

    run(job())


def test_answer_with_no_length_that_ends_cleanly_is_complete() -> None:
    async def job() -> None:
        with machine() as agent:
            async with asked(agent, version=0) as door:
                peer, _ = await call(agent)
                peer.say(PLAIN_HEAD + whole(4, "s1") + changes(5, s1="DRAINING").strip())
                peer.close()
                assert await door.next() == (4, {"s1": UP})
                assert await door.next() == (5, {"s1": DRAINING})
                await watch(agent, 5)

    run(job())


@pytest.mark.parametrize(("cut", "said"), [(1, True), (2, True), (0, False)])
def test_answer_with_no_length_that_ends_within_an_object_is_told_of_in_the_log(
    cut: int, said: bool, caplog: pytest.LogCaptureFixture
) -> None:
    """Its end looks clean: nothing else tells whoever runs it that lists come in part."""

    async def job() -> None:
        with machine() as agent:
            async with asked(agent):
                peer, _ = await call(agent)
                text = changes(4, s1="DRAINING").strip()
                peer.say(PLAIN_HEAD + text[: len(text) - cut])
                peer.close()
                await watch(agent, 3 if said else 4)
        assert any("ends within an object" in line for line in caplog.messages) is said

    run(job())


def test_answer_with_no_length_that_is_reset_is_not_complete() -> None:
    """What was whole before counts; what was not is dropped, and asked for again."""

    async def job() -> None:
        with machine() as agent:
            async with asked(agent) as door:
                peer, _ = await call(agent)
                peer.say(PLAIN_HEAD + changes(4, s1="DRAINING") + changes(5, s1="DELETED")[:-3])
                assert await door.next() == (4, {"s1": DRAINING})
                peer.reset()
                peer = await watch(agent, 4)
                assert door.heard.empty()
                peer.say(chunk(changes(5, s1="DELETED")))
                assert await door.next() == (5, {"s1": GONE})

    run(job())


LINE = changes(5, s1="DELETED")


def fin(peer: Peer) -> None:
    peer.close()


def reset(peer: Peer) -> None:
    peer.reset()


def last_chunk(peer: Peer) -> None:
    peer.say(chunk(b""))
    peer.close()


@pytest.mark.parametrize("end", [fin, reset, last_chunk])
@pytest.mark.parametrize("cut", [b"", b"c", b"c8\r\n", b"c8\r\n" + LINE[:40], chunk(LINE[:40])])
def test_watch_that_ends_within_an_object_is_opened_after_what_was_whole(
    end: Callable[[Peer], None], cut: bytes
) -> None:
    """Cut before a chunk, in its size, behind that, within the chunk, or between two that hold an object."""

    async def job() -> None:
        with machine() as agent:
            async with asked(agent) as door:
                peer = await watch(agent)
                peer.say(chunk(changes(4, s1="DRAINING")) + cut)
                assert await door.next() == (4, {"s1": DRAINING})
                end(peer)
                await watch(agent, 4)
                assert door.heard.empty()

    run(job())


REFUSAL = changes(9, s9="DRAINING")  # whatever it is, the status goes before it


@pytest.mark.parametrize(
    "answer",
    [
        b"HTTP/1.1 500 Oops\r\nContent-Length: %d\r\n\r\n" % len(REFUSAL) + REFUSAL,
        b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n{}\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n[]",
        b"nonsense\r\n\r\n",
        HEAD + chunk(b"\n{not json\n"),
        HEAD + chunk(b'{"generation": 1e999, "instances": []}\n'),
        HEAD + chunk(b'{"generation": 9, "instances": null}\n'),
        HEAD + b"fffffffffffffffffffff\r\n",
    ],
)
def test_answer_that_makes_no_sense_costs_its_call_alone(answer: bytes) -> None:
    async def job() -> None:
        with machine() as agent:
            async with asked(agent) as door:
                peer, _ = await call(agent)
                peer.say(answer)  # and it stays open
                peer = await watch(agent)
                peer.say(chunk(changes(4, s1="DRAINING")))
                assert await door.next() == (4, {"s1": DRAINING})

    run(job())


def test_news_that_nobody_could_take_are_asked_for_again() -> None:
    """The version goes on only once they were handed on."""

    async def job() -> None:
        with machine() as agent:
            async with asked(agent) as door:
                take, failures = door.discovery.on_update, [LookupError("taken ill")]

                def fail_once(news: object) -> None:
                    if failures:
                        raise failures.pop()
                    take(news)  # type: ignore[arg-type]

                door.discovery.on_update = fail_once
                peer = await watch(agent)
                peer.say(chunk(changes(4, s1="DRAINING")))
                peer = await watch(agent)
                peer.say(chunk(changes(4, s1="DRAINING")))
                assert await door.next() == (4, {"s1": DRAINING})

    run(job())


@pytest.mark.parametrize("senseless", [b"{}\n", b"nonsense\n", b'{"a\n'])
def test_what_came_before_an_object_that_makes_no_sense_counts_and_nothing_after_it(senseless: bytes) -> None:
    """All in one chunk. Else what always comes with such a one would never be heard."""

    async def job() -> None:
        with machine() as agent:
            async with asked(agent) as door:
                peer = await watch(agent)
                peer.say(chunk(changes(4, s1="DRAINING") + senseless + changes(9, s2="DRAINING")))
                assert await door.next() == (4, {"s1": DRAINING})
                await turns()
                _, target = await call(agent)
                assert target == after(4) and door.heard.empty()

    run(job())

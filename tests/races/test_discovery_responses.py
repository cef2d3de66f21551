"""How a discovery response ends, and which of its objects are applied. Cases: docs/design/endings.md."""

from collections.abc import Callable

import pytest

from molereach.policy.interface.events import EndpointState
from tests.races.discovery_agent import (
    FULL_LIST_PATH,
    HEAD_WITHOUT_LENGTH,
    accept_request,
    accept_watch,
    change_list,
    full_list,
    indented,
    running_discovery,
    watch_path,
)
from tests.races.scripted_peers import Peer, run_loop_iterations, scripted_server
from tests.sockets import HEAD, chunk, run

UP, DRAINING, REMOVED = EndpointState.UP, EndpointState.DRAINING, EndpointState.REMOVED


def test_indented_lists_are_read_in_a_watch_and_in_the_full_list() -> None:
    async def job() -> None:
        with scripted_server() as agent, scripted_server() as other_agent:
            async with running_discovery(agent) as harness:
                peer = await accept_watch(agent)
                objects = (
                    indented(change_list(4, s1="DRAINING")) + b"\n" + indented(change_list(5, s1="DELETED"))
                )
                peer.send(chunk(objects[:70]) + chunk(objects[70:]))
                assert await harness.next_update() == (4, {"s1": DRAINING})
                assert await harness.next_update() == (5, {"s1": REMOVED})
                harness.discovery.change_address(other_agent.address)
                peer, target = await accept_request(other_agent)
                assert target == FULL_LIST_PATH
                body = indented(full_list(9, "s2"))
                peer.send(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
                assert await harness.next_update() == (9, {"s2": UP})
                await accept_watch(other_agent, 9)

    run(job())


def test_response_without_a_length_is_complete_at_eof() -> None:
    async def job() -> None:
        with scripted_server() as agent:
            async with running_discovery(agent, version=0) as harness:
                peer, _ = await accept_request(agent)
                peer.send(HEAD_WITHOUT_LENGTH + full_list(4, "s1") + change_list(5, s1="DRAINING").strip())
                peer.close()
                assert await harness.next_update() == (4, {"s1": UP})
                assert await harness.next_update() == (5, {"s1": DRAINING})
                await accept_watch(agent, 5)

    run(job())


@pytest.mark.parametrize(("cut", "is_logged"), [(1, True), (2, True), (0, False)])
def test_response_without_a_length_that_ends_within_an_object_is_logged(
    cut: int, is_logged: bool, caplog: pytest.LogCaptureFixture
) -> None:
    """The response ends with a clean EOF, so only the log tells an operator that lists are truncated."""

    async def job() -> None:
        with scripted_server() as agent:
            async with running_discovery(agent):
                peer, _ = await accept_request(agent)
                objects = change_list(4, s1="DRAINING").strip()
                peer.send(HEAD_WITHOUT_LENGTH + objects[: len(objects) - cut])
                peer.close()
                await accept_watch(agent, 3 if is_logged else 4)
        assert any("ends within an object" in message for message in caplog.messages) is is_logged

    run(job())


def test_response_without_a_length_that_is_reset_is_incomplete() -> None:
    """Objects complete before the reset are applied; a partial one is dropped and requested again."""

    async def job() -> None:
        with scripted_server() as agent:
            async with running_discovery(agent) as harness:
                peer, _ = await accept_request(agent)
                peer.send(
                    HEAD_WITHOUT_LENGTH + change_list(4, s1="DRAINING") + change_list(5, s1="DELETED")[:-3]
                )
                assert await harness.next_update() == (4, {"s1": DRAINING})
                peer.reset()
                peer = await accept_watch(agent, 4)
                assert harness.updates.empty()
                peer.send(chunk(change_list(5, s1="DELETED")))
                assert await harness.next_update() == (5, {"s1": REMOVED})

    run(job())


CHANGE = change_list(5, s1="DELETED")


def close(peer: Peer) -> None:
    peer.close()


def reset(peer: Peer) -> None:
    peer.reset()


def last_chunk(peer: Peer) -> None:
    peer.send(chunk(b""))
    peer.close()


@pytest.mark.parametrize("end", [close, reset, last_chunk])
@pytest.mark.parametrize("cut", [b"", b"c", b"c8\r\n", b"c8\r\n" + CHANGE[:40], chunk(CHANGE[:40])])
def test_watch_that_ends_within_an_object_resumes_after_the_last_complete_one(
    end: Callable[[Peer], None], cut: bytes
) -> None:
    """Cut before a chunk, within its size, after its size, within its data, or between two chunks of one
    object."""

    async def job() -> None:
        with scripted_server() as agent:
            async with running_discovery(agent) as harness:
                peer = await accept_watch(agent)
                peer.send(chunk(change_list(4, s1="DRAINING")) + cut)
                assert await harness.next_update() == (4, {"s1": DRAINING})
                end(peer)
                await accept_watch(agent, 4)
                assert harness.updates.empty()

    run(job())


ERROR_BODY = change_list(9, s9="DRAINING")  # the status takes precedence over any body


@pytest.mark.parametrize(
    "response",
    [
        b"HTTP/1.1 500 Oops\r\nContent-Length: %d\r\n\r\n" % len(ERROR_BODY) + ERROR_BODY,
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
def test_invalid_response_fails_only_its_request(response: bytes) -> None:
    async def job() -> None:
        with scripted_server() as agent:
            async with running_discovery(agent) as harness:
                peer, _ = await accept_request(agent)
                peer.send(response)  # the connection stays open
                peer = await accept_watch(agent)
                peer.send(chunk(change_list(4, s1="DRAINING")))
                assert await harness.next_update() == (4, {"s1": DRAINING})

    run(job())


def test_update_whose_handler_fails_is_requested_again() -> None:
    """The version advances only after the update was handled."""

    async def job() -> None:
        with scripted_server() as agent:
            async with running_discovery(agent) as harness:
                on_update, failures = harness.discovery.on_update, [LookupError("injected error")]

                def fail_once(update: object) -> None:
                    if failures:
                        raise failures.pop()
                    on_update(update)  # type: ignore[arg-type]

                harness.discovery.on_update = fail_once
                peer = await accept_watch(agent)
                peer.send(chunk(change_list(4, s1="DRAINING")))
                peer = await accept_watch(agent)
                peer.send(chunk(change_list(4, s1="DRAINING")))
                assert await harness.next_update() == (4, {"s1": DRAINING})

    run(job())


@pytest.mark.parametrize("invalid", [b"{}\n", b"nonsense\n", b'{"a\n'])
def test_objects_before_an_invalid_one_are_applied_and_none_after_it(invalid: bytes) -> None:
    """All objects are in one chunk. Otherwise an update that always comes with an invalid object would never
    be applied."""

    async def job() -> None:
        with scripted_server() as agent:
            async with running_discovery(agent) as harness:
                peer = await accept_watch(agent)
                peer.send(chunk(change_list(4, s1="DRAINING") + invalid + change_list(9, s2="DRAINING")))
                assert await harness.next_update() == (4, {"s1": DRAINING})
                await run_loop_iterations()
                _, target = await accept_request(agent)
                assert target == watch_path(4) and harness.updates.empty()

    run(job())

"""The buffer of a client's commands: order, limits, and input that is malformed or never ends."""

import pytest

from molereach.clients import command_buffer
from molereach.clients.command_buffer import MAX_WAITING_BYTES, CommandBuffer
from molereach.resp import MAX_COMMAND_BYTES
from tests.sockets import resp


def numbered(count: int, size: int = 100) -> bytes:
    """Encode that many commands, each with its number and an argument of `size` bytes."""
    return b"".join(resp(str(number), b"x" * size) for number in range(count))


def take_numbers(commands: CommandBuffer) -> list[int]:
    """Take all commands that may be handled and return their numbers."""
    numbers = []
    while (arguments := commands.peek()) is not None:
        commands.pop()
        numbers.append(int(arguments[0]))
    return numbers


def test_commands_are_handled_in_order_however_they_were_divided() -> None:
    for divided in (0, 1, 7, 100):
        commands = CommandBuffer()
        commands.feed(numbered(20))
        assert commands.peek() == [b"0", b"x" * 100]
        commands.divide(divided)
        assert take_numbers(commands) == list(range(20))
        assert not commands.has_commands() and commands.buffered_bytes() == 0


def test_commands_beyond_the_limit_are_counted_and_not_kept() -> None:
    commands = CommandBuffer()
    commands.feed(numbered(1000))
    assert not commands.divide(999)
    assert commands.divide(10)
    assert MAX_WAITING_BYTES - 200 < commands.buffered_bytes() <= MAX_WAITING_BYTES
    waiting_count = 1000 - commands.rejected_count
    assert commands.take_rejected() == 0  # the rejections follow the commands before them
    assert take_numbers(commands) == list(range(waiting_count))
    assert commands.take_rejected() == 1000 - waiting_count
    commands.feed(numbered(3))
    assert take_numbers(commands) == [0, 1, 2]


def test_one_long_command_may_wait() -> None:
    commands = CommandBuffer()
    long_command = resp("0", b"x" * (MAX_COMMAND_BYTES - 100))
    commands.feed(long_command + numbered(1))
    assert commands.divide(10)
    assert commands.buffered_bytes() == len(long_command) and commands.rejected_count == 1


def test_endless_commands_are_a_violation_of_the_protocol(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(command_buffer, "MAX_REJECTED", 5)
    commands = CommandBuffer()
    commands.feed(numbered(1000))
    assert commands.divide(2000)
    assert commands.error and str(commands.error) == "too many commands"
    assert commands.rejected_count == 5
    buffered_bytes = commands.buffered_bytes()
    commands.feed(numbered(1000))
    assert commands.buffered_bytes() == buffered_bytes <= MAX_WAITING_BYTES


def test_commands_before_malformed_input_are_handled() -> None:
    commands = CommandBuffer()
    commands.feed(numbered(3) + b"?" + numbered(3))
    assert commands.divide(10)
    assert take_numbers(commands) == [0, 1, 2]
    assert commands.error and not commands.has_commands()


def test_all_commands_are_taken_at_once_but_an_incomplete_one() -> None:
    commands = CommandBuffer()
    commands.feed(numbered(500))
    commands.peek()
    commands.divide(400)
    rest = resp("PING")[:5]
    commands.feed(rest)
    assert commands.take_all() == 500
    assert not commands.has_commands() and bytes(commands.reader.buffer) == rest

"""Names of classes and plans in other deployments: they come from the settings alone."""

from dataclasses import replace

import pytest

from molereach.clients.commands import CommandParser
from molereach.clients.requests import CommandError
from tests.sockets import CONFIG, CUSTOMER

NAMES = ["basic tariff", "Größe-Ⅲ", "a=b", "0", "d", "x" * 200, "plan;1/2%"]


@pytest.mark.parametrize("name", NAMES)
def test_requests_are_accepted_for_any_name_of_a_class_or_plan(name: str) -> None:
    config = replace(CONFIG, class_numbers={name: 0}, plan_numbers={"other": 0, name: 0})
    fields = f"c={name},t={name},d=480,units=1".encode()
    command = CommandParser(config).parse([b"SVC.QUERY", CUSTOMER.encode(), b"a1", fields], 0)
    assert command.request.plan_index == 0 and command.request.remaining_us == 480_000
    assert command.payload(70_000).endswith(fields.replace(b"d=480", b"d=70") + b"\r\n")


INVALID_FIELDS = [b"c=\xff,t=team,d=480", b"c=read,t=team,d=\xd9\xa3", b"c=read,t=team,\xc3\xa9"]


@pytest.mark.parametrize("fields", INVALID_FIELDS)
def test_invalid_text_or_numbers_are_an_error(fields: bytes) -> None:
    with pytest.raises(CommandError):
        CommandParser(CONFIG).parse([b"SVC.QUERY", CUSTOMER.encode(), b"a1", fields], 0)

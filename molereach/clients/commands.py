"""Commands of clients: their fields cut out for the shared checks, and the command as it is forwarded."""

from dataclasses import dataclass

from molereach.clients.requests import CommandError, RequestChecks
from molereach.policy.interface.events import RequestReceived
from molereach.proxy.config import Config
from molereach.resp import encode_command

QUERY = b"SVC.QUERY"
SUBMIT = b"SVC.SUBMIT"  # has the value to write as one more argument
QUERY_ARGUMENTS = 4  # the command, customer, request id, fields
FIELDS_AT = 3
WAIT_FIELD = "d"  # milliseconds that the client waits


@dataclass(frozen=True, slots=True)
class Command:
    """A request as the policy sees it, and the arguments to forward."""

    request: RequestReceived
    arguments: list[bytes]
    fields_before_wait: bytes  # the fields' text before and after the time that the client waits
    fields_after_wait: bytes

    @property
    def size(self) -> int:
        """Bytes of its arguments."""
        return sum(map(len, self.arguments))

    def payload(self, wait_us: int) -> bytes:
        """The command for a backend: unchanged but for how long this proxy will wait."""
        fields = b"%b%d%b" % (self.fields_before_wait, max(1, wait_us // 1000), self.fields_after_wait)
        return encode_command([*self.arguments[:FIELDS_AT], fields, *self.arguments[FIELDS_AT + 1 :]])


class CommandParser:
    """Cuts a command's arguments into the fields that the shared checks take."""

    def __init__(self, config: Config) -> None:
        self.checks = RequestChecks(config)

    def parse(self, arguments: list[bytes], answer_margin_us: int) -> Command:
        """The command; raises CommandError for one that is invalid.

        `answer_margin_us` is taken off the time that the client waits.
        """
        is_write = arguments[0] == SUBMIT
        if not is_write and arguments[0] != QUERY:
            raise CommandError("unknown command")
        if len(arguments) != QUERY_ARGUMENTS + is_write:
            raise CommandError("wrong number of arguments")
        fields = arguments[FIELDS_AT]
        values = parse_fields(fields)
        request = self.checks.check(arguments[1], arguments[2], values, is_write, answer_margin_us)
        at = fields.find(b"d=") if fields.startswith(b"d=") else fields.find(b",d=") + 1
        wait_start = at + len(b"d=")
        wait_end = wait_start + len(values[WAIT_FIELD])
        return Command(request, arguments, fields[:wait_start], fields[wait_end:])


def parse_fields(fields: bytes) -> dict[str, str]:
    """The fields `name=value,...`, each once; raises CommandError for any other text."""
    try:
        pairs = [field.partition("=") for field in fields.decode().split(",")]
    except UnicodeDecodeError:
        raise CommandError("invalid fields") from None
    values = {name: value for name, _, value in pairs}
    if not all(name and sign and name.isascii() for name, sign, _ in pairs):
        raise CommandError("invalid fields")
    if len(values) != len(pairs):
        raise CommandError("a field is given twice")
    return values

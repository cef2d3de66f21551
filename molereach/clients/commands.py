"""Parses client commands into fields for the shared validation, and encodes them for forwarding."""

from dataclasses import dataclass

from molereach.clients.requests import CommandError, RequestValidator
from molereach.policy.interface.events import RequestReceived
from molereach.proxy.config import Config
from molereach.resp import encode_command

QUERY = b"SVC.QUERY"
SUBMIT = b"SVC.SUBMIT"  # takes the value to write as an additional argument
QUERY_ARGUMENTS = 4  # the command, customer, request id, fields
FIELDS_INDEX = 3
MAX_FIELDS = 64  # of a command; the platform's protocol has eight
MAX_FIELDS_BYTES = 4096
WAIT_FIELD = "d"  # the client's timeout in milliseconds


@dataclass(frozen=True, slots=True)
class Command:
    """A request in the form that the policy takes, and the arguments to forward."""

    request: RequestReceived
    arguments: list[bytes]
    fields_before_wait: bytes  # text of the fields before and after the client's timeout
    fields_after_wait: bytes

    @property
    def size(self) -> int:
        """Total size of the arguments in bytes."""
        return sum(map(len, self.arguments))

    def payload(self, wait_us: int) -> bytes:
        """Encode the command for a backend, with the client's timeout replaced by that of this proxy."""
        fields = b"%b%d%b" % (self.fields_before_wait, max(1, wait_us // 1000), self.fields_after_wait)
        return encode_command([*self.arguments[:FIELDS_INDEX], fields, *self.arguments[FIELDS_INDEX + 1 :]])


class CommandParser:
    """Parses the arguments of a command and validates its fields."""

    def __init__(self, config: Config) -> None:
        self.validator = RequestValidator(config)

    def parse(self, arguments: list[bytes], answer_margin_us: int) -> Command:
        """Parse a command; raises CommandError if it is invalid.

        `answer_margin_us` is deducted from the client's timeout.
        """
        is_write = arguments[0] == SUBMIT
        if not is_write and arguments[0] != QUERY:
            raise CommandError("unknown command")
        if len(arguments) != QUERY_ARGUMENTS + is_write:
            raise CommandError("wrong number of arguments")
        fields = arguments[FIELDS_INDEX]
        values = parse_fields(fields)
        request = self.validator.validate(arguments[1], arguments[2], values, is_write, answer_margin_us)
        field_start = fields.find(b"d=") if fields.startswith(b"d=") else fields.find(b",d=") + 1
        wait_start = field_start + len(b"d=")
        wait_end = wait_start + len(values[WAIT_FIELD])
        return Command(request, arguments, fields[:wait_start], fields[wait_end:])


def parse_fields(fields: bytes) -> dict[str, str]:
    """Parse `name=value,...` with unique names; raises CommandError for any other text.

    The limits are checked first, as dividing a long text would hold the event loop.
    """
    if len(fields) > MAX_FIELDS_BYTES or fields.count(b",") >= MAX_FIELDS:
        raise CommandError("too many fields")
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

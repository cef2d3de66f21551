"""Commands of clients: their words cut into the fields that the shared checks take, and passed on."""

from dataclasses import dataclass

from molereach.clients.requests import CommandError, RequestChecks
from molereach.policy.interface.events import RequestReceived
from molereach.proxy.config import Config
from molereach.resp import encode


@dataclass(frozen=True, slots=True)
class Command:
    """A request as the module sees it, and the words to pass on."""

    request: RequestReceived
    words: list[bytes]
    fields_head: bytes  # the list of names and values before and after the time that the client waits
    fields_tail: bytes

    @property
    def size(self) -> int:
        return sum(map(len, self.words))

    def payload(self, wait_us: int) -> bytes:
        """The command for a backend: unchanged but for how long this front door will wait."""
        fields = b"%b%d%b" % (self.fields_head, max(1, wait_us // 1000), self.fields_tail)
        words = [*self.words[:3], fields, *self.words[4:]]
        return encode(words)


class CommandParser:
    """Cuts a command's words into the fields that the shared checks take."""

    def __init__(self, config: Config) -> None:
        self.checks = RequestChecks(config)

    def parse(self, words: list[bytes], answer_margin_us: int) -> Command:
        is_write = words[0] == b"SVC.SUBMIT"
        if not is_write and words[0] != b"SVC.QUERY":
            raise CommandError("unknown command")
        if len(words) != 4 + is_write:
            raise CommandError("wrong number of arguments")
        try:
            parts = [part.partition("=") for part in words[3].decode().split(",")]
        except UnicodeDecodeError:
            raise CommandError("invalid fields") from None
        values = {name: value for name, _, value in parts}
        if not all(name and sign and name.isascii() for name, sign, _ in parts):
            raise CommandError("invalid fields")
        if len(values) != len(parts):
            raise CommandError("a field is given twice")
        request = self.checks.check(words[1], words[2], values, is_write, answer_margin_us)
        at = words[3].find(b"d=") if words[3].startswith(b"d=") else words[3].find(b",d=") + 1
        return Command(request, words, words[3][: at + 2], words[3][at + 2 + len(values["d"]) :])

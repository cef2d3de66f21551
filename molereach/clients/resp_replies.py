"""The replies in RESP2 that the front door words itself, and PING, which it answers itself."""

from molereach.clients.requests import CommandError
from molereach.resp import ProtocolError

REQUEST_FAILED = b"-ERR failed\r\n"
REJECTED = b"-BUSY\r\n"
SHUTTING_DOWN = b"-ERR the front door ends\r\n"
INTERNAL_ERROR = b"-ERR internal error\r\n"
TOO_SLOW = b"-ERR timed out\r\n"
TOO_MANY_ERRORS = b"-ERR too many wrong commands\r\n"
PING = b"PING"
PONG = b"+PONG\r\n"
MAX_PING_ARGUMENTS = 2  # the command and a message


def is_ping(arguments: list[bytes]) -> bool:
    """Whether a command is PING, which is answered without a backend."""
    return arguments[0].upper() == PING and len(arguments) <= MAX_PING_ARGUMENTS


def pong(arguments: list[bytes]) -> bytes:
    """Return the reply to PING with or without a message."""
    if len(arguments) == 1:
        return PONG
    return b"$%d\r\n%b\r\n" % (len(arguments[1]), arguments[1])


def error_reply(error: CommandError) -> bytes:
    """Return the reply to an invalid command."""
    return b"-ERR %b\r\n" % str(error).encode()


def protocol_error_reply(error: ProtocolError) -> bytes:
    """Return the last reply on a connection with malformed input."""
    return b"-ERR Protocol error: %b\r\n" % str(error).encode()

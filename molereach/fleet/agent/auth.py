"""Authorization of an agent's API: bearer tokens, each with a name and a role."""

import hashlib
import hmac
from dataclasses import dataclass
from enum import Enum

MAX_CLIENTS = 256
MIN_TOKEN_LENGTH = 16
SCHEME = "Bearer "


class Role(Enum):
    """What a client may do; OPERATE includes READ."""

    READ = "read"
    OPERATE = "operate"

    def may(self, wanted: "Role") -> bool:
        """Return whether this role includes another."""
        return self is Role.OPERATE or wanted is Role.READ


@dataclass(frozen=True, slots=True)
class Client:
    """The holder of a token."""

    name: str
    role: Role


class Tokens:
    """The clients of an agent; tokens are stored as digests and compared in constant time."""

    def __init__(self, text: str) -> None:
        """Read a line `ROLE NAME TOKEN` for each client; ValueError names a wrong line without its text."""
        self.clients: list[tuple[bytes, Client]] = []
        for number, line in enumerate(text.splitlines(), 1):
            columns = line.split()
            if not columns or columns[0].startswith("#"):
                continue
            if (
                len(columns) != 3
                or columns[0] not in ("read", "operate")
                or len(columns[2]) < MIN_TOKEN_LENGTH
            ):
                wanted = f"'read' or 'operate', a name and a token of {MIN_TOKEN_LENGTH} or more characters"
                raise ValueError(f"line {number} is not: {wanted}")
            self.clients.append((digest(columns[2]), Client(columns[1], Role(columns[0]))))
        if not 0 < len(self.clients) <= MAX_CLIENTS:
            raise ValueError(f"{len(self.clients)} tokens; 1 to {MAX_CLIENTS} are taken")

    def client(self, authorization: str) -> Client | None:
        """Return the client whose token an Authorization header carries (RFC 6750, section 2.1)."""
        if not authorization.startswith(SCHEME):
            return None
        given = digest(authorization[len(SCHEME) :])
        found = None
        for known, client in self.clients:
            if hmac.compare_digest(known, given):
                found = client
        return found


def digest(token: str) -> bytes:
    """Return the digest under which a token is stored."""
    return hashlib.sha256(token.encode("utf-8", "replace")).digest()

"""Who may do what at an agent's API: bearer tokens with a name and a role. A core."""

import hashlib
import hmac
from dataclasses import dataclass
from enum import Enum

MAX_CLIENTS = 256
MIN_TOKEN_LENGTH = 16
SCHEME = "Bearer "


class Role(Enum):
    """What a client may do; whoever may operate may read."""

    READ = "read"
    OPERATE = "operate"

    def may(self, wanted: "Role") -> bool:
        return self is Role.OPERATE or wanted is Role.READ


@dataclass(frozen=True, slots=True)
class Client:
    """Somebody with a token."""

    name: str
    role: Role


class Tokens:
    """The clients of an agent. Tokens are kept as digests and compared in constant time."""

    def __init__(self, text: str) -> None:
        """A line `ROLE NAME TOKEN` for each; ValueError says which line is wrong, and never what is in it."""
        self.clients: list[tuple[bytes, Client]] = []
        for number, line in enumerate(text.splitlines(), 1):
            words = line.split()
            if not words or words[0].startswith("#"):
                continue
            if len(words) != 3 or words[0] not in ("read", "operate") or len(words[2]) < MIN_TOKEN_LENGTH:
                wanted = f"'read' or 'operate', a name and a token of {MIN_TOKEN_LENGTH} or more characters"
                raise ValueError(f"line {number} is not: {wanted}")
            self.clients.append((digest(words[2]), Client(words[1], Role(words[0]))))
        if not 0 < len(self.clients) <= MAX_CLIENTS:
            raise ValueError(f"{len(self.clients)} tokens; 1 to {MAX_CLIENTS} are taken")

    def client(self, authorization: str) -> Client | None:
        """Whose token an Authorization header carries (RFC 6750, section 2.1)."""
        if not authorization.startswith(SCHEME):
            return None
        given, found = digest(authorization[len(SCHEME) :]), None
        for known, client in self.clients:
            if hmac.compare_digest(known, given):
                found = client
        return found


def digest(token: str) -> bytes:
    return hashlib.sha256(token.encode("utf-8", "replace")).digest()

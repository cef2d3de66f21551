"""Authentication of API clients: bearer tokens, each with a client name and a role."""

import hashlib
import hmac
from dataclasses import dataclass
from enum import Enum

MAX_CLIENTS = 256
MIN_TOKEN_LENGTH = 16
BEARER_PREFIX = "Bearer "


class Role(Enum):
    """What a client may do; OPERATE includes READ."""

    READ = "read"
    OPERATE = "operate"

    def includes(self, other: "Role") -> bool:
        """Return whether a client with this role may do all that `other` may."""
        return self is Role.OPERATE or other is Role.READ


@dataclass(frozen=True, slots=True)
class Client:
    """An API client, identified by its token."""

    name: str
    role: Role


class Tokens:
    """The API clients of an agent; tokens are stored as digests and compared in constant time."""

    def __init__(self, text: str) -> None:
        """Parse a line `ROLE NAME TOKEN` for each client.

        ValueError gives the number of an invalid line, but not its text, which may contain a token.
        """
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
                expected_columns = (
                    f"'read' or 'operate', a name and a token of {MIN_TOKEN_LENGTH} or more characters"
                )
                raise ValueError(f"line {number} is not: {expected_columns}")
            self.clients.append((token_digest(columns[2]), Client(columns[1], Role(columns[0]))))
        if not 0 < len(self.clients) <= MAX_CLIENTS:
            raise ValueError(f"{len(self.clients)} tokens; 1 to {MAX_CLIENTS} are taken")

    def authenticate(self, authorization: str) -> Client | None:
        """Return the client whose token an Authorization header carries (RFC 6750, section 2.1)."""
        if not authorization.startswith(BEARER_PREFIX):
            return None
        given_digest = token_digest(authorization[len(BEARER_PREFIX) :])
        matching_client = None
        for stored_digest, client in self.clients:
            if hmac.compare_digest(stored_digest, given_digest):
                matching_client = client
        return matching_client


def token_digest(token: str) -> bytes:
    """Return the SHA-256 digest of a token."""
    return hashlib.sha256(token.encode("utf-8", "replace")).digest()

"""Sends attempts directly to a scripted backend, without a proxy."""

from molereach.backends.attempt import Attempt
from molereach.backends.pools import Backends
from molereach.policy.interface.events import AttemptResult, EndpointState
from tests.races.scripted_peers import ScriptedServer

SECOND_US = 1_000_000


class Sender:
    """Sends attempts to one backend and records their results."""

    def __init__(self, backend: ScriptedServer) -> None:
        self.backends = Backends(30 * SECOND_US, 5 * SECOND_US, 50)
        self.backends.update({"s": EndpointState.UP}, {"s": backend.address}, is_full_list=True)
        self.results: list[AttemptResult] = []

    def send(self, payload: bytes, timeout_us: int = 5 * SECOND_US) -> Attempt:
        attempt = Attempt("a", 0, "s", payload, lambda _, result, *more: self.results.append(result))
        self.backends.send(attempt, timeout_us)
        return attempt

"""Attempts on one machine, below the front door."""

from molereach.backends.attempt import Attempt
from molereach.backends.pools import Backends
from molereach.policy.interface.events import AttemptResult, EndpointState
from tests.races.scripted_peers import Machine

S = 1_000_000


class Sender:
    """Attempts on one backend, and how they ended."""

    def __init__(self, held: Machine) -> None:
        self.backends = Backends(30 * S, 5 * S, 50)
        self.backends.update({"s": EndpointState.UP}, {"s": held.address}, is_full_list=True)
        self.ended: list[AttemptResult] = []

    def send(self, payload: bytes, timeout_us: int = 5 * S) -> Attempt:
        attempt = Attempt("a", 0, "s", payload, lambda _, result, *more: self.ended.append(result))
        self.backends.send(attempt, timeout_us)
        return attempt

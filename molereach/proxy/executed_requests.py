"""Remembers the requests that may have been executed and must not be executed again. Sans-I/O.

A request's id is unique, so a command with the id of an earlier one is the same request: its client has
disconnected without reading the answer, or sent it twice.
"""

from collections import OrderedDict
from collections.abc import Iterable

from molereach.clients.requests import MAX_WAIT_FACTOR
from molereach.policy.interface.settings import Idempotency, RequestClass

MAX_REQUESTS = 32_768  # the oldest ones are forgotten beyond it


class ExecutedRequests:
    """Ids of executed requests, each for as long as a client may wait for the answer to one."""

    def __init__(self, classes: Iterable[RequestClass]) -> None:
        self.classes = tuple(classes)
        deadlines_us = (each.deadline_us for each in self.classes if is_repeat_harmful(each))
        self.retention_us = MAX_WAIT_FACTOR * max(deadlines_us, default=0)
        self.forgotten_at_us: OrderedDict[str, int] = OrderedDict()  # by id, in order of execution

    def record(self, now_us: int, request_id: str, class_index: int) -> None:
        """Remember that a request may have been executed, unless repeating its class does no harm."""
        if not is_repeat_harmful(self.classes[class_index]):
            return
        self.forget_expired(now_us)
        self.forgotten_at_us.pop(request_id, None)  # moved to the end
        self.forgotten_at_us[request_id] = now_us + self.retention_us
        if len(self.forgotten_at_us) > MAX_REQUESTS:
            self.forgotten_at_us.popitem(last=False)

    def contains(self, now_us: int, request_id: str) -> bool:
        """Whether a request may have been executed within the retention time."""
        return self.forgotten_at_us.get(request_id, 0) > now_us

    def forget_expired(self, now_us: int) -> None:
        """Remove the ids whose retention time has passed."""
        while self.forgotten_at_us:
            request_id, at_us = next(iter(self.forgotten_at_us.items()))
            if at_us > now_us:
                return
            del self.forgotten_at_us[request_id]


def is_repeat_harmful(request_class: RequestClass) -> bool:
    """Whether executing a request of the class again, on any backend, may have a second effect."""
    return request_class.idempotency is not Idempotency.IDEMPOTENT

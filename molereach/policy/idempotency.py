"""Idempotency: whether, where and until when a request may be executed more than once.

An idempotent request may be repeated anywhere. A request that is idempotent with a key may be repeated on the
backends that drop its duplicates (`RequestClass.deduplication_scope`) while they remember the key. Any other
request may be repeated only if it certainly was not executed.
"""

from molereach.policy.backend_state import BackendState
from molereach.policy.interface.settings import DeduplicationScope, Idempotency
from molereach.policy.pending_request import PendingRequest


def write_deadline_us(pending: PendingRequest) -> int:
    """The time by which a further attempt must be written; 0 if there is no such deadline.

    The deduplication window counts from the earliest time at which the first attempt may have been executed,
    which is when it was forwarded.
    """
    if (
        pending.maybe_executed_on is not None
        and pending.request_class.idempotency is Idempotency.IDEMPOTENT_WITH_KEY
    ):
        return pending.first_forwarded_at_us + pending.request_class.deduplication_window_us
    return 0


def may_reject(pending: PendingRequest, retry_at_us: int) -> bool:
    """Whether a client may be told that a retry at that time is safe."""
    if pending.maybe_executed_on is None:
        return True
    request_class = pending.request_class
    if request_class.idempotency is Idempotency.IDEMPOTENT:
        return True
    return (
        request_class.idempotency is Idempotency.IDEMPOTENT_WITH_KEY
        and request_class.deduplication_scope is DeduplicationScope.ALL
        and retry_at_us < write_deadline_us(pending)
    )


def may_run_on(pending: PendingRequest, now_us: int, backend: BackendState) -> bool:
    """Whether a further attempt may be forwarded to the backend now."""
    request_class = pending.request_class
    first = pending.first_endpoint
    if (
        first is None
        or pending.maybe_executed_on is None
        or request_class.idempotency is Idempotency.IDEMPOTENT
    ):
        return True
    scope = request_class.deduplication_scope
    if scope is DeduplicationScope.ALL:
        is_in_scope = True
    elif scope is DeduplicationScope.ZONE:
        is_in_scope = backend.endpoint.zone == first.zone
    else:
        is_in_scope = backend.endpoint.cell == first.cell
    return (
        is_in_scope
        and request_class.idempotency is Idempotency.IDEMPOTENT_WITH_KEY
        and now_us < write_deadline_us(pending)
    )

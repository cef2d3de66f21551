"""What the tests of a gateway share: classes, and settings with one of them."""

from dataclasses import replace

from molereach.policy.interface.settings import Idempotency, RequestClass, Settings
from tests.helpers import SETTINGS, S

UNSAFE = RequestClass(2 * S, 6 * S, idempotency=Idempotency.NON_IDEMPOTENT)


def with_class(rule: RequestClass, **changes: object) -> Settings:
    return replace(SETTINGS, classes=(rule,), **changes)

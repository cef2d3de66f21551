"""What the tests of a gateway share: classes, and settings with one of them."""

from dataclasses import replace

from molereach.policy.interface.settings import Idempotency, RequestClass, Settings
from tests.helpers import SECOND_US, SETTINGS

NON_IDEMPOTENT = RequestClass(2 * SECOND_US, 6 * SECOND_US, idempotency=Idempotency.NON_IDEMPOTENT)


def with_class(rule: RequestClass, **changes: object) -> Settings:
    return replace(SETTINGS, classes=(rule,), **changes)

"""A request class, and settings with a single request class, for the tests of a gateway."""

from dataclasses import replace

from molereach.policy.interface.settings import Idempotency, RequestClass, Settings
from tests.helpers import SECOND_US, SETTINGS

NON_IDEMPOTENT = RequestClass(2 * SECOND_US, 6 * SECOND_US, idempotency=Idempotency.NON_IDEMPOTENT)


def settings_with_class(request_class: RequestClass, **changes: object) -> Settings:
    return replace(SETTINGS, classes=(request_class,), **changes)

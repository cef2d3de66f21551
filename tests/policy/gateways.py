"""What the tests of a gateway share: classes, and settings with one of them."""

from dataclasses import replace

from molereach.policy import interface as i
from tests.helpers import SETTINGS, S

UNSAFE = i.RequestClass(2 * S, 6 * S, effect=i.Effect.UNSAFE)


def with_class(rule: i.RequestClass, **changes: object) -> i.Settings:
    return replace(SETTINGS, classes=(rule,), **changes)

"""The checks on a request's fields, one set for every front: what is wrong goes no further.

A front brings the fields as texts, in whatever syntax it speaks, and gets the request as the module sees it.
"""

import re
from collections.abc import Mapping

from molereach.policy.interface.events import RequestReceived
from molereach.policy.interface.settings import Idempotency, Plan
from molereach.proxy.config import Config

CUSTOMERS = 1 << 33
MOST_WAITS = 2  # times the class's time, that a client may say it waits
MOST_UNITS = 1e6  # where a plan has no burst
MOST_ID_BYTES = 64
HEX = frozenset(b"0123456789abcdefABCDEF")
UNITS = re.compile(r"[0-9]{1,7}(\.[0-9]{1,6})?")


class CommandError(Exception):
    """A well-formed command that is wrong; the connection lives."""


class NoRoomError(CommandError):
    """A command that is good, and that there is no room for now."""


def whole(text: str, name: str, least: int, most: int) -> int:
    if not (text.isascii() and text.isdigit()) or len(text) > 12 or not least <= int(text) <= most:
        raise CommandError(f"invalid {name}")
    return int(text)


class RequestChecks:
    """Checks a request's fields against the settings."""

    def __init__(self, config: Config) -> None:
        self.classes, self.plans, self.settings = config.class_numbers, config.plan_numbers, config.settings

    def check(
        self,
        customer: bytes,
        request_id: bytes,
        values: Mapping[str, str],
        is_write: bool,
        answer_margin_us: int,
    ) -> RequestReceived:
        """The request that the fields describe; a CommandError for one that is wrong.

        `values` go by the protocol's names: c (class), t (plan), d (ms that the client waits), k (key),
        r (1 for a retry), units, spread and first. `answer_margin_us` is taken off the time that the client
        waits.
        """
        name, identity = self.customer(customer), self.request_id(request_id)
        number = self.class_number(values, is_write)
        plan = self.plans.get(values.get("t", ""))
        if plan is None:
            raise CommandError("unknown plan")
        # Clients wait a little longer than the class's time, seen by up to a tenth; a day of waiting would
        # hold memory for a day.
        most_ms = MOST_WAITS * self.settings.classes[number].deadline_us // 1000
        wait_ms = whole(values.get("d", ""), "time", 0, most_ms)
        size, first = self.customers_set(values)
        return RequestReceived(
            request_id=identity,
            class_index=number,
            plan_index=plan,
            customer=name,
            remaining_us=max(0, wait_ms * 1000 - answer_margin_us),
            units=self.units(values, self.settings.plans[plan]),
            set_size=size,
            set_first=first,
            is_retry=values.get("r") == "1",
            is_write=is_write,
        )

    def customer(self, word: bytes) -> str:
        if len(word) != 16 or not HEX.issuperset(word) or int(word, 16) >= CUSTOMERS:
            raise CommandError("invalid customer")
        return word.decode().lower()

    def request_id(self, word: bytes) -> str:
        if not 0 < len(word) <= MOST_ID_BYTES or not word.isalnum():
            raise CommandError("invalid id")
        return word.decode()

    def class_number(self, values: Mapping[str, str], is_write: bool) -> int:
        number = self.classes.get(values.get("c", ""))
        if number is None:
            raise CommandError("unknown class")
        effect = self.settings.classes[number].idempotency
        if is_write == (effect is Idempotency.IDEMPOTENT):
            raise CommandError("the command does not serve this class")
        if effect is Idempotency.IDEMPOTENT_WITH_KEY and not values.get("k"):
            raise CommandError("a key is missing")
        return number

    def units(self, values: Mapping[str, str], plan: Plan) -> float:
        """More than a plan lets through at once would only drain what is its customer's."""
        text = values.get("units", "1")
        most = min(
            (burst for burst in (plan.quota_burst, plan.ceiling_burst) if burst > 0), default=MOST_UNITS
        )
        if not UNITS.fullmatch(text) or not 0 < float(text) <= max(1.0, most):
            raise CommandError("invalid units")
        return float(text)

    def customers_set(self, values: Mapping[str, str]) -> tuple[int, int]:
        """The customer's front doors, as their number and the first; this one is among them."""
        gateways = self.settings.proxy_count
        size = whole(values.get("spread", "1"), "spread", 1, gateways)
        first = whole(values.get("first", str(self.settings.proxy_index)), "first", 0, gateways - 1)
        if (self.settings.proxy_index - first) % gateways >= size:
            raise CommandError("the set is without this front door")
        return size, first

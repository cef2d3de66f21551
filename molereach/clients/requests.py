"""Validation of request fields, shared by all client protocols.

A protocol extracts the fields as text from its own syntax and gets a request in the form the policy takes.
"""

import re
from collections.abc import Mapping

from molereach.policy.interface.events import RequestReceived
from molereach.policy.interface.settings import Idempotency, Plan
from molereach.proxy.config import Config

CUSTOMER_LIMIT = 1 << 33  # customers are numbers below this
CUSTOMER_DIGITS = 16
MAX_WAIT_FACTOR = 2  # maximum client timeout as a multiple of the class's deadline
MAX_UNITS = 1e6  # for plans without a burst
MAX_ID_BYTES = 64
MAX_NUMBER_DIGITS = 12
HEX_DIGITS = frozenset(b"0123456789abcdefABCDEF")
UNITS_PATTERN = re.compile(r"[0-9]{1,7}(\.[0-9]{1,6})?")


class CommandError(Exception):
    """A well-formed command that is invalid; the connection stays open."""


class OverloadedError(CommandError):
    """A valid command that exceeds the current capacity."""


def parse_integer(text: str, name: str, minimum: int, maximum: int) -> int:
    """Parse an integer within a range; raises CommandError with the field's name otherwise."""
    is_decimal = text.isascii() and text.isdigit()
    if not is_decimal or len(text) > MAX_NUMBER_DIGITS or not minimum <= int(text) <= maximum:
        raise CommandError(f"invalid {name}")
    return int(text)


class RequestValidator:
    """Validates the fields of requests against the settings."""

    def __init__(self, config: Config) -> None:
        self.classes = config.class_numbers
        self.plans = config.plan_numbers
        self.settings = config.settings

    def validate(
        self,
        customer: bytes,
        request_id: bytes,
        values: Mapping[str, str],
        is_write: bool,
        answer_margin_us: int,
    ) -> RequestReceived:
        """Return the request that the fields describe; raises CommandError if one is invalid.

        The names in `values` are those of the protocol: c (class), t (plan), d (client timeout in ms),
        k (key), r (1 for a retry), units, spread and first. `answer_margin_us` is deducted from the client's
        timeout.
        """
        customer_name = self.parse_customer(customer)
        valid_request_id = self.parse_request_id(request_id)
        class_index = self.parse_class(values, is_write)
        plan_index = self.plans.get(values.get("t", ""))
        if plan_index is None:
            raise CommandError("unknown plan")
        # Clients wait slightly longer than the class's deadline, but a timeout of a day would occupy memory
        # for a day.
        max_wait_ms = MAX_WAIT_FACTOR * self.settings.classes[class_index].deadline_us // 1000
        wait_ms = parse_integer(values.get("d", ""), "time", 0, max_wait_ms)
        set_size, set_first = self.parse_proxy_set(values)
        return RequestReceived(
            request_id=valid_request_id,
            class_index=class_index,
            plan_index=plan_index,
            customer=customer_name,
            remaining_us=max(0, wait_ms * 1000 - answer_margin_us),
            units=self.parse_units(values, self.settings.plans[plan_index]),
            set_size=set_size,
            set_first=set_first,
            is_client_retry=values.get("r") == "1",
            is_write=is_write,
        )

    def parse_customer(self, text: bytes) -> str:
        """Validate a customer and convert it to lower case."""
        is_hex = len(text) == CUSTOMER_DIGITS and HEX_DIGITS.issuperset(text)
        if not is_hex or int(text, 16) >= CUSTOMER_LIMIT:
            raise CommandError("invalid customer")
        return text.decode().lower()

    def parse_request_id(self, text: bytes) -> str:
        """Parse a request id."""
        if not 0 < len(text) <= MAX_ID_BYTES or not text.isalnum():
            raise CommandError("invalid id")
        return text.decode()

    def parse_class(self, values: Mapping[str, str], is_write: bool) -> int:
        """Return the index of the request's class, which must match the command."""
        class_index = self.classes.get(values.get("c", ""))
        if class_index is None:
            raise CommandError("unknown class")
        idempotency = self.settings.classes[class_index].idempotency
        if is_write == (idempotency is Idempotency.IDEMPOTENT):
            raise CommandError("the command does not serve this class")
        if idempotency is Idempotency.IDEMPOTENT_WITH_KEY and not values.get("k"):
            raise CommandError("a key is missing")
        return class_index

    def parse_units(self, values: Mapping[str, str], plan: Plan) -> float:
        """Parse the request's cost, limited to the plan's bursts: a larger cost could never be admitted."""
        text = values.get("units", "1")
        bursts = (burst for burst in (plan.quota_burst, plan.ceiling_burst) if burst > 0)
        max_units = max(1.0, min(bursts, default=MAX_UNITS))
        if not UNITS_PATTERN.fullmatch(text) or not 0 < float(text) <= max_units:
            raise CommandError("invalid units")
        return float(text)

    def parse_proxy_set(self, values: Mapping[str, str]) -> tuple[int, int]:
        """Parse the size and first proxy of the customer's set, which must include this proxy."""
        proxy_count = self.settings.proxy_count
        proxy_index = self.settings.proxy_index
        size = parse_integer(values.get("spread", "1"), "spread", 1, proxy_count)
        first = parse_integer(values.get("first", str(proxy_index)), "first", 0, proxy_count - 1)
        if (proxy_index - first) % proxy_count >= size:
            raise CommandError("the set is without this front door")
        return size, first

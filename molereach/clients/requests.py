"""The checks on a request's fields, one set for every protocol that clients speak.

A protocol brings the fields as texts, in whatever syntax it has, and gets the request as the policy sees it.
"""

import re
from collections.abc import Mapping

from molereach.policy.interface.events import RequestReceived
from molereach.policy.interface.settings import Idempotency, Plan
from molereach.proxy.config import Config

CUSTOMER_LIMIT = 1 << 33  # customers are numbers below it
CUSTOMER_DIGITS = 16
MAX_WAIT_FACTOR = 2  # times the class's deadline, that a client may say it waits
MAX_UNITS = 1e6  # where a plan has no burst
MAX_ID_BYTES = 64
MAX_NUMBER_DIGITS = 12
HEX_DIGITS = frozenset(b"0123456789abcdefABCDEF")
UNITS_FORM = re.compile(r"[0-9]{1,7}(\.[0-9]{1,6})?")


class CommandError(Exception):
    """A well-formed command that is invalid; the connection stays open."""


class OverloadedError(CommandError):
    """A valid command for which there is no capacity now."""


def parse_integer(text: str, name: str, minimum: int, maximum: int) -> int:
    """A whole number within its range; raises CommandError that names the field."""
    is_number = text.isascii() and text.isdigit()
    if not is_number or len(text) > MAX_NUMBER_DIGITS or not minimum <= int(text) <= maximum:
        raise CommandError(f"invalid {name}")
    return int(text)


class RequestChecks:
    """Checks a request's fields against the settings."""

    def __init__(self, config: Config) -> None:
        self.classes = config.class_numbers
        self.plans = config.plan_numbers
        self.settings = config.settings

    def check(
        self,
        customer: bytes,
        request_id: bytes,
        values: Mapping[str, str],
        is_write: bool,
        answer_margin_us: int,
    ) -> RequestReceived:
        """The request that the fields describe; raises CommandError for one that is invalid.

        `values` go by the protocol's names: c (class), t (plan), d (ms that the client waits), k (key),
        r (1 for a retry), units, spread and first. `answer_margin_us` is taken off the time that the client
        waits.
        """
        checked_customer = self.customer(customer)
        checked_id = self.request_id(request_id)
        class_index = self.class_number(values, is_write)
        plan_index = self.plans.get(values.get("t", ""))
        if plan_index is None:
            raise CommandError("unknown plan")
        # Clients wait a little longer than the class's deadline; a day's wait would hold memory for a day.
        max_wait_ms = MAX_WAIT_FACTOR * self.settings.classes[class_index].deadline_us // 1000
        wait_ms = parse_integer(values.get("d", ""), "time", 0, max_wait_ms)
        set_size, set_first = self.proxy_set(values)
        return RequestReceived(
            request_id=checked_id,
            class_index=class_index,
            plan_index=plan_index,
            customer=checked_customer,
            remaining_us=max(0, wait_ms * 1000 - answer_margin_us),
            units=self.units(values, self.settings.plans[plan_index]),
            set_size=set_size,
            set_first=set_first,
            is_client_retry=values.get("r") == "1",
            is_write=is_write,
        )

    def customer(self, text: bytes) -> str:
        """The customer, in lower case."""
        is_hex = len(text) == CUSTOMER_DIGITS and HEX_DIGITS.issuperset(text)
        if not is_hex or int(text, 16) >= CUSTOMER_LIMIT:
            raise CommandError("invalid customer")
        return text.decode().lower()

    def request_id(self, text: bytes) -> str:
        """The request's id."""
        if not 0 < len(text) <= MAX_ID_BYTES or not text.isalnum():
            raise CommandError("invalid id")
        return text.decode()

    def class_number(self, values: Mapping[str, str], is_write: bool) -> int:
        """The index of the request's class, which must suit the command."""
        class_index = self.classes.get(values.get("c", ""))
        if class_index is None:
            raise CommandError("unknown class")
        idempotency = self.settings.classes[class_index].idempotency
        if is_write == (idempotency is Idempotency.IDEMPOTENT):
            raise CommandError("the command does not serve this class")
        if idempotency is Idempotency.IDEMPOTENT_WITH_KEY and not values.get("k"):
            raise CommandError("a key is missing")
        return class_index

    def units(self, values: Mapping[str, str], plan: Plan) -> float:
        """The request's cost; more than a plan's bursts would never be admitted."""
        text = values.get("units", "1")
        bursts = (burst for burst in (plan.quota_burst, plan.ceiling_burst) if burst > 0)
        max_units = max(1.0, min(bursts, default=MAX_UNITS))
        if not UNITS_FORM.fullmatch(text) or not 0 < float(text) <= max_units:
            raise CommandError("invalid units")
        return float(text)

    def proxy_set(self, values: Mapping[str, str]) -> tuple[int, int]:
        """The customer's set of proxies, as its size and its first; this proxy is among them."""
        proxy_count = self.settings.proxy_count
        proxy_index = self.settings.proxy_index
        size = parse_integer(values.get("spread", "1"), "spread", 1, proxy_count)
        first = parse_integer(values.get("first", str(proxy_index)), "first", 0, proxy_count - 1)
        if (proxy_index - first) % proxy_count >= size:
            raise CommandError("the set is without this front door")
        return size, first

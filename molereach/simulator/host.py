"""The policy instances of one adapter process, and the endpoint lists that they share."""

from collections.abc import Iterator
from dataclasses import dataclass

from molereach.policy.gateway import Gateway
from molereach.policy.interface.events import (
    Endpoint,
    EndpointListKind,
    EndpointListReceived,
    Event,
    GossipReceived,
)
from molereach.policy.interface.settings import Settings
from molereach.protocol.gossip_codec import GossipCodec, QuotaGossipCodec
from molereach.protocol.settings import read_settings
from molereach.simulator.action_writer import write_action
from molereach.simulator.event_parser import ENDPOINT_LIST_KINDS, parse_endpoint, parse_event, parse_pairs
from molereach.simulator.fields import FieldReader, SimulatorError, WireError


class PolicyError(SimulatorError):
    """The policy raised an exception; the text names it."""


@dataclass(frozen=True, slots=True)
class Instance:
    """One proxy of the simulation: its policy and how its messages are laid out."""

    gateway: Gateway
    gossip_codec: GossipCodec
    load_report_names: list[str]


class Host:
    """The instances of this process, and the numbered endpoint lists that events refer to."""

    def __init__(self, with_limits: bool = False) -> None:
        self.with_limits = with_limits
        self.instances: dict[int, Instance] = {}
        self.endpoint_lists: dict[int, tuple[Endpoint, ...]] = {}
        self.target: int | None = None  # the instance that the next events of the batch are for
        self.reply_context: int | None = None  # the instance that the reply's next lines are of
        self.now_us = 0

    def start_batch(self, now_us: int) -> None:
        """Begin a batch of events that happen at one time; no instance is named yet."""
        self.now_us = now_us
        self.target = None
        self.reply_context = None

    def handle(self, name: str, fields: list[str], lines: Iterator[str]) -> list[str]:
        """Apply one message, which may go on in the next lines; the reply's lines for it.

        Raises WireError, ValueError, KeyError or StopIteration where the input is malformed, and
        PolicyError where the policy raised an exception.
        """
        reader = FieldReader(fields)
        if name == "TARGET_INSTANCE":
            self.target = reader.integer()
            return []
        if name == "SHEET":
            self._read_endpoint_list(reader, lines)
            return []
        if self.target is None:
            raise WireError("no instance is named")
        if name == "NEW_INSTANCE":
            self.instances[self.target] = self._create_instance(reader, fields)
            return []
        if self.target not in self.instances:
            raise WireError(f"there is no instance {self.target}")
        if name == "KILLED":
            del self.instances[self.target]
            return []
        return self._decide(self.target, self._parse_event(name, reader, self.instances[self.target]))

    def _read_endpoint_list(self, reader: FieldReader, lines: Iterator[str]) -> None:
        number = reader.integer()
        size = reader.integer()
        # A list first: StopIteration inside a generator would become RuntimeError.
        endpoints = [parse_endpoint(next(lines)) for _ in range(size)]
        self.endpoint_lists[number] = tuple(endpoints)

    def _create_instance(self, reader: FieldReader, fields: list[str]) -> Instance:
        settings_reader = parse_pairs(field for field in fields[1:] if field)
        names = settings_reader.text("stats.names")
        load_report_names = names.split(",") if names else []
        seed = reader.integer()
        settings = read_settings(seed, settings_reader)
        if self.with_limits:
            return _instance_with_limits(settings, load_report_names)
        return Instance(Gateway(settings), QuotaGossipCodec(), load_report_names)

    def _parse_event(self, name: str, reader: FieldReader, instance: Instance) -> Event:
        if name == "UPDATE":
            return self._parse_endpoint_list_event(reader)
        if name == "FROM_PEER":
            sender = reader.integer()
            data = reader.octets()
            return instance.gossip_codec.unpack(sender, data) or GossipReceived(sender, ())
        return parse_event(name, reader, instance.load_report_names)

    def _parse_endpoint_list_event(self, reader: FieldReader) -> EndpointListReceived:
        kind = ENDPOINT_LIST_KINDS[reader.text()]
        version = reader.integer(0)
        number = reader.integer(0)
        if kind is EndpointListKind.FAILED:
            return EndpointListReceived(kind, version)
        if number not in self.endpoint_lists:
            raise WireError(f"there is no list {number}")
        return EndpointListReceived(kind, version, self.endpoint_lists[number])

    def _decide(self, target: int, event: Event) -> list[str]:
        instance = self.instances[target]
        try:
            actions = instance.gateway.handle(self.now_us, event)
        except Exception as error:
            raise PolicyError(f"{type(error).__name__}: {error}") from error
        lines = [write_action(action, instance.gossip_codec) for action in actions]
        if lines and self.reply_context != target:
            self.reply_context = target
            lines.insert(0, f"CONTEXT {target}")
        return lines


def _instance_with_limits(settings: Settings, load_report_names: list[str]) -> Instance:
    # Imported here: without limits the process loads none of their modules.
    from molereach.limits.core import Limits
    from molereach.limits.gossip_codec import LimitGossipCodec
    from molereach.limits.settings import LimitSettings

    limits = Limits(settings, LimitSettings())
    codec = LimitGossipCodec(
        limits.proxy_index, limits.incarnation, limits.sends_totals, receives_from=limits.receives_from
    )
    return Instance(Gateway(settings, limits), codec, load_report_names)

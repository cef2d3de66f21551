"""Hosts the policy instances and the endpoint lists that they share.

All are in one process of `molereach.simulator.adapter`, which connects the simulator to the policy.
"""

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
from molereach.simulator.event_parser import (
    ENDPOINT_LIST_KIND_BY_NAME,
    parse_endpoint,
    parse_event,
    parse_settings,
)
from molereach.simulator.fields import FieldReader, SimulatorError, WireError


class PolicyError(SimulatorError):
    """The policy raised an exception, which the message names."""


@dataclass(frozen=True, slots=True)
class Instance:
    """One simulated proxy: its policy, its gossip codec and the names of the values in load reports."""

    gateway: Gateway
    gossip_codec: GossipCodec
    load_report_names: list[str]


class Host:
    """Passes the messages of the simulator to the policy instances of this process.

    It keeps the instances by number, and the numbered endpoint lists that events refer to.
    """

    def __init__(self, with_limits: bool = False) -> None:
        """`with_limits`: whether the instances use `molereach.limits` beside the quotas of the policy."""
        self.with_limits = with_limits
        self.instances: dict[int, Instance] = {}
        self.endpoint_lists: dict[int, tuple[Endpoint, ...]] = {}
        self.target: int | None = None  # the instance that receives the next events of the batch
        self.reply_context: int | None = None  # the instance that the last CONTEXT line of the reply names
        self.now_us = 0

    def start_batch(self, now_us: int) -> None:
        """Begin a batch of simultaneous events, without a target instance."""
        self.now_us = now_us
        self.target = None
        self.reply_context = None

    def handle(self, name: str, fields: list[str], lines: Iterator[str]) -> list[str]:
        """Handle one message, which may continue in the next lines; return its lines of the reply.

        Raises WireError, ValueError, KeyError or StopIteration if the input is malformed, and PolicyError
        if the policy raised an exception.
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
        return self._handle_event(self.target, self._parse_event(name, reader, self.instances[self.target]))

    def _read_endpoint_list(self, reader: FieldReader, lines: Iterator[str]) -> None:
        list_number = reader.integer()
        size = reader.integer()
        # Not a generator, which would turn StopIteration into RuntimeError.
        endpoints = [parse_endpoint(next(lines)) for _ in range(size)]
        self.endpoint_lists[list_number] = tuple(endpoints)

    def _create_instance(self, reader: FieldReader, fields: list[str]) -> Instance:
        settings_reader = parse_settings(field for field in fields[1:] if field)
        names = settings_reader.text("stats.names")
        load_report_names = names.split(",") if names else []
        seed = reader.integer()
        settings = read_settings(seed, settings_reader)
        if self.with_limits:
            return _create_instance_with_limits(settings, load_report_names)
        return Instance(Gateway(settings), QuotaGossipCodec(), load_report_names)

    def _parse_event(self, name: str, reader: FieldReader, instance: Instance) -> Event:
        if name == "UPDATE":
            return self._parse_endpoint_list_event(reader)
        if name == "FROM_PEER":
            sender = reader.integer()
            data = reader.hex_bytes()
            # A malformed or empty datagram is None; the policy handles it as one without messages.
            return instance.gossip_codec.unpack(sender, data) or GossipReceived(sender, ())
        return parse_event(name, reader, instance.load_report_names)

    def _parse_endpoint_list_event(self, reader: FieldReader) -> EndpointListReceived:
        kind = ENDPOINT_LIST_KIND_BY_NAME[reader.text()]
        version = reader.integer(0)
        list_number = reader.integer(0)
        if kind is EndpointListKind.FAILED:
            return EndpointListReceived(kind, version)
        if list_number not in self.endpoint_lists:
            raise WireError(f"there is no list {list_number}")
        return EndpointListReceived(kind, version, self.endpoint_lists[list_number])

    def _handle_event(self, target: int, event: Event) -> list[str]:
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


def _create_instance_with_limits(settings: Settings, load_report_names: list[str]) -> Instance:
    # Imported here so that a process that runs without `molereach.limits` does not load these modules.
    from molereach.limits.core import Limits
    from molereach.limits.gossip_codec import LimitGossipCodec
    from molereach.limits.settings import LimitSettings

    limits = Limits(settings, LimitSettings())
    codec = LimitGossipCodec(
        limits.proxy_index, limits.incarnation, limits.sends_totals, receives_from=limits.receives_from
    )
    return Instance(Gateway(settings, limits), codec, load_report_names)

"""Recorded datagrams between front doors are read as the words that were packed."""

import pytest

from molereach.limits.gossip_codec import LimitGossipCodec
from molereach.policy.interface.events import GossipReceived
from molereach.policy.interface.messages import GossipMessage, LimitMessage
from molereach.protocol.gossip_codec import QuotaGossipCodec
from tests.compatibility import gossip_samples as samples
from tests.compatibility.recording import recorded_lines


def datagrams(name: str) -> list[bytes]:
    """The recorded datagrams of a file."""
    return [bytes.fromhex(line) for line in recorded_lines(name)]


def read_all(packing: LimitGossipCodec, found: list[bytes]) -> list[GossipMessage | LimitMessage]:
    """The words of all datagrams; each of them has to be readable."""
    words: list[GossipMessage | LimitMessage] = []
    for data in found:
        message = packing.unpack(samples.SENDER, data)
        assert message is not None
        words += message.messages
    return words


def test_plain_datagrams_are_read_as_packed() -> None:
    messages = [QuotaGossipCodec().unpack(samples.SENDER, data) for data in datagrams("gossip-plain.hex")]
    assert all(message is not None and message.sender == samples.SENDER for message in messages)
    words = tuple(word for message in messages if message for word in message.messages)
    assert words == samples.QUOTA_WORDS


def test_amounts_past_their_field_are_read_as_its_bounds() -> None:
    (data,) = datagrams("gossip-plain-too-large.hex")
    assert QuotaGossipCodec().unpack(samples.SENDER, data) == GossipReceived(
        sender=samples.SENDER, messages=(samples.TOO_LARGE_READ,)
    )


@pytest.mark.parametrize("name", samples.CODECS)
def test_limit_datagrams_are_read_as_packed(name: str) -> None:
    packing, found = samples.CODECS[name], datagrams(f"gossip-limits-{name}.hex")
    expected = [word for words in samples.SINGLE.values() for word in words]
    assert read_all(packing, found) == [*expected, *samples.MANY]


def test_quota_words_in_the_limit_form_lose_two_flags() -> None:
    found = datagrams("gossip-limits-quota.hex")
    assert read_all(samples.CODECS["open-hears"], found) == list(samples.QUOTA_WORDS_IN_LIMIT_FORM)


@pytest.mark.parametrize("name", samples.CODECS)
def test_limit_datagrams_tell_generation_and_hearing(name: str) -> None:
    packing = samples.CODECS[name]
    for data in datagrams(f"gossip-limits-{name}.hex"):
        message = packing.unpack(samples.SENDER, data)
        assert message is not None
        assert (message.incarnation, message.is_receiving) == (
            samples.GENERATION,
            packing.receives_from(samples.PEER),
        )


def test_a_datagram_is_not_read_with_another_key_or_sender() -> None:
    keyed, other = samples.CODECS["keyed-hears"], samples.CODECS["open-hears"]
    for data in datagrams("gossip-limits-keyed-hears.hex"):
        assert keyed.unpack(samples.SENDER + 1, data) is None
        assert other.unpack(samples.SENDER, data) is None


def test_mixed_datagrams_are_read_as_packed() -> None:
    found = datagrams("gossip-mixed.hex")
    assert read_all(samples.MIXED_CODEC, found) == list(samples.MIXED_WORDS)

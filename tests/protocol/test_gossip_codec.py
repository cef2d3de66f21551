"""Gossip on quotas: messages that are packed are read again, by older versions too."""

from dataclasses import replace

from molereach.policy.interface.events import GossipReceived
from molereach.policy.interface.messages import SPLIT_CEILING_PLAN_INDEX, GossipMessage
from molereach.protocol.gossip_codec import RECORD, pack_messages, unpack_messages
from tests.helpers import SETTINGS, GatewayDriver


def test_messages_are_read_as_they_were_packed() -> None:
    messages = tuple(GossipMessage(n, 1, 300, 200, n % 2 == 1, 2.5, 0.5, 1.0, -0.5) for n in range(30))
    datagrams = pack_messages(messages)
    assert len(datagrams) > 1 and max(map(len, datagrams)) <= 256
    assert sum((unpack_messages(data) for data in datagrams), ()) == messages
    assert unpack_messages(datagrams[0][:-1]) == ()
    assert unpack_messages(pack_messages([GossipMessage(1, 0, 0, 2, tokens=1e9)])[0])[0].tokens == 32767 / 50


def test_messages_keep_their_flags_and_older_versions_ignore_the_ceiling_mark() -> None:
    messages = (
        GossipMessage(7, 1, 2, 3, True, 1.0, 2.0, 1.0, -3.0, is_ceiling_granted=True, is_within_quota=False),
        GossipMessage(7, 1, 2, 3, True, is_within_quota=True),
        GossipMessage(0, SPLIT_CEILING_PLAN_INDEX, 0, 0),
    )
    (data,) = pack_messages(messages)
    assert unpack_messages(data) == messages
    assert len(data) == 3 * RECORD.size
    assert data[8] != 0  # an older version takes any flag for a reply, as which it is meant
    world = GatewayDriver(replace(SETTINGS, proxy_count=2))
    world.handle(GossipReceived(1, (GossipMessage(7, SPLIT_CEILING_PLAN_INDEX, 0, 2, requested_units=1.0),)))
    assert not world.gateway.customers.accounts

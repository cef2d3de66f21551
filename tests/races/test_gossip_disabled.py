"""A deployment in which front doors tell each other nothing: its settings forbid it, or it names no peers."""

import json
from dataclasses import replace
from pathlib import Path

import pytest

from molereach.policy.interface.settings import Plan
from molereach.proxy.config_file import load
from tests.helpers import MILLISECOND_US, SETTINGS, GatewayCluster
from tests.races.test_settings_invalid import VALUES

ALONE = replace(SETTINGS, may_gossip=False, gossip_messages_per_s=0.0)


@pytest.mark.parametrize("size", [2, 3])
@pytest.mark.parametrize("ceiling", [0.0, 8.0])
def test_each_of_a_set_spends_its_part_of_the_quota(size: int, ceiling: float) -> None:
    """Each was the customer's home for itself and let in the whole quota, so that the set spent it `size`
    times over."""
    plan = Plan(quota_rate=5.0, quota_burst=12.0, ceiling_rate=ceiling, ceiling_burst=2 * ceiling)
    gates = GatewayCluster(size, replace(ALONE, plans=(plan,)))
    for n in range(400):
        gates.send_request(n % size, f"r{n}")
        gates.advance(50 * MILLISECOND_US)
    assert gates.forwarded_count() == pytest.approx(12 + 20 * 5, abs=2 * size)


def test_one_front_door_alone_has_the_whole_quota() -> None:
    gates = GatewayCluster(1, ALONE)
    for n in range(100):
        gates.send_request(0, f"r{n}")
        gates.advance(40 * MILLISECOND_US)
    assert gates.forwarded_count() == pytest.approx(20 + 4 * 10, abs=2)


@pytest.mark.parametrize("absent", ["peers", "peer_listen"])
def test_peers_that_are_allowed_but_not_named_are_none(tmp_path: Path, absent: str) -> None:
    """Asks that nobody gets would be waited for, and each door would count on words of the others."""
    nobody = {**VALUES, "peers": []}
    for values, may_tell in ((VALUES, True), ({**VALUES, absent: None}, False), (nobody, False)):
        (tmp_path / "config.json").write_text(json.dumps(values))
        assert load({"PROXY_CONFIG": str(tmp_path / "config.json")}).settings.may_gossip == may_tell

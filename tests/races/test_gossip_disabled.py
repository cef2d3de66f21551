"""Deployments without gossip: the settings forbid it, or no peers are configured."""

import json
from dataclasses import replace
from pathlib import Path

import pytest

from molereach.policy.interface.settings import Plan
from molereach.proxy.config_file import load
from tests.helpers import MILLISECOND_US, SETTINGS, GatewayCluster
from tests.races.test_settings_invalid import VALUES

WITHOUT_GOSSIP = replace(SETTINGS, may_gossip=False, gossip_messages_per_s=0.0)


@pytest.mark.parametrize("size", [2, 3])
@pytest.mark.parametrize("ceiling", [0.0, 8.0])
def test_each_proxy_of_a_set_spends_its_part_of_the_quota(size: int, ceiling: float) -> None:
    """Without the split each proxy acted as the customer's home and admitted the whole quota, so that the set
    spent it `size` times over."""
    plan = Plan(quota_rate=5.0, quota_burst=12.0, ceiling_rate=ceiling, ceiling_burst=2 * ceiling)
    cluster = GatewayCluster(size, replace(WITHOUT_GOSSIP, plans=(plan,)))
    for number in range(400):
        cluster.send_request(number % size, f"r{number}")
        cluster.advance(50 * MILLISECOND_US)
    assert cluster.forwarded_count() == pytest.approx(12 + 20 * 5, abs=2 * size)


def test_single_proxy_has_the_whole_quota() -> None:
    cluster = GatewayCluster(1, WITHOUT_GOSSIP)
    for number in range(100):
        cluster.send_request(0, f"r{number}")
        cluster.advance(40 * MILLISECOND_US)
    assert cluster.forwarded_count() == pytest.approx(20 + 4 * 10, abs=2)


@pytest.mark.parametrize("absent", ["peers", "peer_listen"])
def test_gossip_is_off_without_configured_peers(tmp_path: Path, absent: str) -> None:
    """Otherwise requests would wait for answers of nobody, and each proxy would rely on messages of the
    others."""
    no_peers = {**VALUES, "peers": []}
    for values, may_gossip in ((VALUES, True), ({**VALUES, absent: None}, False), (no_peers, False)):
        (tmp_path / "config.json").write_text(json.dumps(values))
        assert load({"PROXY_CONFIG": str(tmp_path / "config.json")}).settings.may_gossip == may_gossip

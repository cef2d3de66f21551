"""Limits in a running front door: operator file, key file, and scenarios in virtual time."""

import asyncio
import json
from pathlib import Path

import pytest
from msgspec.structs import replace

from molereach import operator_config
from molereach.keyfile import KeyFileError, read_key
from molereach.limits.core import Limits
from molereach.limits.gossip_codec import LimitGossipCodec
from molereach.limits.service import attacher
from molereach.limits.settings import SECOND_US
from molereach.policy.interface.messages import JoinAcknowledged
from molereach.proxy.config import parse
from molereach.proxy.proxy import Proxy
from molereach.simulator.adapter import run_batch
from molereach.simulator.host import Host
from rig import scenario_files
from rig.audit.figures import Quota
from rig.audit.quotas import quota_use
from rig.facts import Asked, Effect
from sim import swarm
from sim.run import Options, evaluate
from sim.world import run_scenario
from tests.test_program import config


def test_key_file_must_be_private_and_of_valid_length(tmp_path: Path) -> None:
    key_file = tmp_path / "key"
    for data, mode, reason in (
        (b"k" * 32 + b"\n", 0o640, "others may read it"),
        (b"k" * 15, 0o600, "16 to 64"),
        (b"k" * 65, 0o600, "16 to 64"),
    ):
        key_file.write_bytes(data)
        key_file.chmod(mode)
        with pytest.raises(KeyFileError, match=reason):
            read_key(key_file, "limits.key_file")
    key_file.write_bytes(b"k" * 32 + b"\n")
    assert read_key(key_file, "limits.key_file") == b"k" * 32


def test_section_enables_limits_before_the_first_event(tmp_path: Path) -> None:
    section = operator_config.decode("[limits]\nlease_ms = 500\n").limits
    assert section
    attach = attacher(section)

    async def started_proxy() -> Proxy:
        proxy = Proxy(parse(json.loads(json.dumps(config())), {}))
        (await attach(proxy))()
        return proxy

    proxy = asyncio.run(started_proxy())
    assert isinstance(proxy.gateway.limits, Limits) and isinstance(proxy.gossip.codec, LimitGossipCodec)
    assert proxy.gateway.limits.settings.lease_us == 500_000
    assert proxy.gateway.limits.incarnation == int("8c1f30d27a5be964", 16) % (1 << 16)


def test_partition_scenario_keeps_all_rules_with_limits() -> None:
    partition = replace(scenario_files.load("move-in-split"), seconds=10.0)
    with_limits, without_limits = (
        run_scenario(partition, 2, limits=limits).report.ledger for limits in (True, False)
    )
    assert with_limits.ok and without_limits.ok
    assert with_limits.units_over <= 4.0 + 24 * 0.15  # the slack of the ceiling, plus 0.15 s at its rate
    assert with_limits.quota_over <= 2 * (24 + 12 * 1.5)  # of the largest plan
    assert with_limits.quota_granted > 0.8


@pytest.mark.parametrize("seed", [3, 8])
def test_random_scenarios_keep_all_rules_with_limits(seed: int) -> None:
    options = Options(seconds=15.0, limits=True, skew_ms=500, drift=0.0005)
    verdict = evaluate(options, swarm.draw_scenario(seed, 15.0), seed)
    assert verdict.ok, verdict


def test_quota_use_is_measured_against_one_token_bucket() -> None:
    requests = [
        Asked(at * SECOND_US, f"r{at}", "n0", "c", Effect.SAFE, "all", 0, "p", 2.0, 0) for at in range(4)
    ]
    use = quota_use(Quota(1.0, 4.0), "c", [(request, request.at_us) for request in requests])
    assert (use.asked, use.granted, use.entitled, use.over) == (8.0, 8.0, 6.0, 1.0)
    use = quota_use(Quota(1.0, 4.0), "c", [(request, None) for request in requests])
    assert (use.granted, use.over) == (0.0, 0.0)


def test_simulator_host_has_limits_only_if_enabled() -> None:
    start = (
        "NEW_INSTANCE 5 me=0 balancers=3 categories.count=0 plans.count=1 plans.0.units-per-s=3 "
        "plans.0.burst=6 plans.0.never-over-rate=9 plans.0.hard-burst=18 extra.mail-per-s=60 "
        "ceilings.peers=true"
    )
    batch = ["MARK 1000", "TARGET_INSTANCE 0", start, "BELL 0", "EOF_BATCH"]
    for with_limits in (False, True):
        host = Host(with_limits)
        reply = run_batch(host, iter(batch))
        assert reply and any(line.startswith("TELL 1 b7") for line in reply) == with_limits
        assert isinstance(host.instances[0].gateway.limits, Limits) == with_limits
        acknowledgement = LimitGossipCodec(1, 9).pack(0, [JoinAcknowledged(5)])[0].hex()
        from_peer = f"FROM_PEER 1 {acknowledgement}"
        assert run_batch(host, iter(["MARK 2000", "TARGET_INSTANCE 0", from_peer, "EOF_BATCH"]))
        limits = host.instances[0].gateway.limits
        assert not with_limits or (isinstance(limits, Limits) and limits.escrow.acknowledged_us == {1: 2000})

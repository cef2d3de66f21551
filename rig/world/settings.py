"""The settings of front doors in the form of a deployment, and the auditor's parameters of the same rules."""

from rig.audit.figures import Ceiling, Quota, RuleParameters
from rig.member import MemberSpec
from rig.scenario import ZONES
from rig.workload import CLASSES, PLANS, PlanSpec

US_PER_S = 1_000_000
DRAIN_GRACE_US = 1 * US_PER_S
PEER_DATAGRAMS_PER_S = 60.0
CONNECTION_IDLE_US, CONNECT_TIMEOUT_US, MAX_RETRY_AFTER_US = 10 * US_PER_S, 250_000, 1 * US_PER_S


def settings(number: int, doors: int, spec: MemberSpec) -> dict[str, object]:
    """The settings of one front door as nested JSON, as a deployment gives them."""
    return {
        "me": number,
        "balancers": doors,
        "zone": number % len(ZONES),
        "zones": list(ZONES),
        "kinds": ["two-core"],
        "registry-mode": "automatic",
        "domain-type": "gate",
        "categories": [
            {
                "name": request_class.name,
                "on-time-us": request_class.on_time_us,
                "deadline-us": request_class.deadline_us,
                "points": request_class.points,
                "late-worth": 0.0,
                "idempotency": request_class.effect.value,
                "group": request_class.group,
                "window-us": request_class.window_us,
                "streamed": False,
            }
            for request_class in CLASSES
        ],
        "plans": [plan_settings(plan) for plan in PLANS],
        "ceilings": {
            "max-attempts": 4,
            "conn-idle-us": CONNECTION_IDLE_US,
            "connect-timeout-us": CONNECT_TIMEOUT_US,
            "max-open": 20_000,
            "retry-after": True,
            "max-retry-after-us": MAX_RETRY_AFTER_US,
            "may-cancel": True,
            "may-probe": False,
            "parallel-tries": False,
            "peers": True,
            "streams-per-conn": 1,
        },
        "extra": {"mail-per-s": PEER_DATAGRAMS_PER_S, "counter": False, "trued-up": False, "largest": 1},
        "stats": {"how": "inline", "names": ["util", "latency_ms"]},
        "prices": {"cross-zone": 0.01, "waste": 0.05, "late-fail": 0.03, "peer": 0.02},
        "obligations": {
            "grace-to-answer-us": 0,
            "drain-grace-us": DRAIN_GRACE_US,
            "cold-from": spec.cold_from,
            "warm-within-us": spec.warm_us,
            "fall-multiple": spec.fall_multiple,
            "fall-us": spec.fall_us,
        },
    }


def plan_settings(plan: PlanSpec) -> dict[str, object]:
    """One entry of `plans` in the settings."""
    return {
        "name": plan.name,
        "units-per-s": plan.rate,
        "burst": plan.burst,
        "max-out": 0,
        "value-factor": plan.value_factor,
        "extra-worth": 0.0,
        "overrun-cost": 0.6,
        "never-over-rate": plan.ceiling_rate,
        "hard-burst": plan.ceiling_burst,
        "hard-slack": plan.ceiling_slack,
    }


def rule_parameters(spec: MemberSpec) -> RuleParameters:
    """The parameters of the audit rules that match `settings`."""
    ceilings = {
        plan.name: Ceiling(plan.ceiling_rate, plan.ceiling_burst, plan.ceiling_slack)
        for plan in PLANS
        if plan.ceiling_rate
    }
    quotas = {plan.name: Quota(plan.rate, plan.burst) for plan in PLANS}
    return RuleParameters(DRAIN_GRACE_US, spec.fall_multiple, spec.fall_us, ceilings, quotas)

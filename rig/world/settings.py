"""The settings of front doors, as a deployment gives them, and the auditor's figures of the same rules."""

from rig.audit.figures import Ceiling, Figures, Quota
from rig.member import MemberSpec
from rig.scenario import ZONES
from rig.workload import CLASSES, PLANS, PlanSpec

S = 1_000_000
DRAIN_US = 1 * S
MAIL_PER_S = 60.0
CONN_IDLE_US, CONNECT_US, MAX_WAIT_US = 10 * S, 250_000, 1 * S


def settings(number: int, doors: int, spec: MemberSpec) -> dict[str, object]:
    """The settings of one front door, as the deployment gives them: nested JSON."""
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
                "name": kind.name,
                "on-time-us": kind.aim_us,
                "deadline-us": kind.deadline_us,
                "points": kind.worth,
                "late-worth": 0.0,
                "idempotency": kind.effect.value,
                "group": kind.group,
                "window-us": kind.window_us,
                "streamed": False,
            }
            for kind in CLASSES
        ],
        "plans": [plan_settings(plan) for plan in PLANS],
        "ceilings": {
            "max-attempts": 4,
            "conn-idle-us": CONN_IDLE_US,
            "connect-timeout-us": CONNECT_US,
            "max-open": 20_000,
            "retry-after": True,
            "max-retry-after-us": MAX_WAIT_US,
            "may-cancel": True,
            "may-probe": False,
            "parallel-tries": False,
            "peers": True,
            "streams-per-conn": 1,
        },
        "extra": {"mail-per-s": MAIL_PER_S, "counter": False, "trued-up": False, "largest": 1},
        "stats": {"how": "inline", "names": ["util", "latency_ms"]},
        "prices": {"cross-zone": 0.01, "waste": 0.05, "late-fail": 0.03, "peer": 0.02},
        "obligations": {
            "grace-to-answer-us": 0,
            "drain-grace-us": DRAIN_US,
            "cold-from": spec.cold_from,
            "warm-within-us": spec.warm_us,
            "fall-multiple": spec.fall_multiple,
            "fall-us": spec.fall_us,
        },
    }


def plan_settings(plan: PlanSpec) -> dict[str, object]:
    return {
        "name": plan.name,
        "units-per-s": plan.rate,
        "burst": plan.burst,
        "max-out": 0,
        "value-factor": plan.worth,
        "extra-worth": 0.0,
        "overrun-cost": 0.6,
        "never-over-rate": plan.ceiling_rate,
        "hard-burst": plan.ceiling_burst,
        "hard-slack": plan.ceiling_slack,
    }


def figures(spec: MemberSpec) -> Figures:
    ceilings = {
        plan.name: Ceiling(plan.ceiling_rate, plan.ceiling_burst, plan.ceiling_slack)
        for plan in PLANS
        if plan.ceiling_rate
    }
    quotas = {plan.name: Quota(plan.rate, plan.burst) for plan in PLANS}
    return Figures(DRAIN_US, spec.fall_multiple, spec.fall_us, ceilings, quotas)

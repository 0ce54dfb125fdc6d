"""The settings that the platform gives to a node of an experiment."""

from __future__ import annotations

from typing import Any

from balancer.experiments.experiment import Experiment


def platform_settings(spec: Experiment, node: int, attempts: int) -> dict[str, Any]:
    """Return the settings of one node, keyed as in its configuration file."""
    rules = spec.rules
    return {
        "me": node, "group-size": spec.fleet.nodes, "zone": spec.zone_of(f"n{node}"),
        "failure-domains": list(spec.fleet.zones), "kinds": ["std"], "granularity": 5.0,
        "discovery": "subscribe" if spec.discovery.mode == "poll" else "automatic",
        "client-habits": {"marks-retry": True}, "weight-source": "off", "worth-by": "request",
        "load-info": {"how": "on_probe", "names": ["active", "waiting"]},
        "request-classes": [
            {"name": c.name, "effect": c.effect, "objective": c.objective_ms, "give-up": c.deadline_ms,
             "value": c.value, "late-worth": c.late_value, "streamed": False}
            | ({"group": c.group, "memory-span": c.memory_span_ms} if c.effect == "dedup" else {})
            for c in spec.load.classes
        ],
        "limits": {"cancel": True, "conn-idle": 60_000.0, "connect-timeout": 120.0, "most-tries": attempts,
                   "max-open": 20_000, "max-retry-after": 600.0, "retry-after": True, "probing": False,
                   "peers": spec.network.peer_datagrams, "second-copies": False, "streams-per-conn": 1},
        "rules": {"answer-slack": rules.answer_slack_ms, "ask-within": 10_000.0,
                  "cold-share": rules.cold_share, "drain-grace": rules.drain_grace_ms,
                  "fall": rules.fall_ms, "fall-multiple": rules.fall_multiple,
                  "ramp-time": rules.ramp_time_ms},
    }  # fmt: skip

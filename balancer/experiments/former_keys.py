"""Former names of keys in experiment files, which are replaced with the current names on reading.

Older experiment files and the `experiment.json` of earlier runs use the former names.
"""

from __future__ import annotations

from typing import Any

TABLE_KEYS = {
    "backends": {
        "cold-from": "cold-capacity-share",
        "cold-s": "warm-up-s",
        "cold": "start-cold",
    },
    "discovery": {
        "notice-s": "removal-delay-s",
        "add-s": "addition-delay-s",
        "spread-ms": "watch-spread-ms",
        "call-ms": "call-service-ms",
        "indented": "multi-line",
        "ends": "watch-ends-on-change",
    },
    "network": {
        "same-ms": "same-zone-ms",
        "cross-ms": "cross-zone-ms",
        "peers": "peer-datagrams",
    },
    "load": {"swing": "amplitude"},
    "clients": {
        "try-share": "attempt-time-share",
        "honour": "retry-after-share",
        "impatient": "impatient-share",
        "per-connection": "requests-per-connection",
        "notice-s": "failure-detection-s",
    },
}
CLASS_KEYS = {"aim-ms": "objective-ms", "late-worth": "late-value"}
FAULT_KEYS = {
    "reload": {"attempts": "max-attempts", "moves": "moves-discovery"},
    "slow": {"times": "factor"},
    "surge": {"times": "factor"},
    "discovery-late": {"by-ms": "delay-ms"},
}
CLOCK_KEYS = {"by": "offset-s"}
DISCOVERY_MODES = {"ask": "poll"}

Raw = dict[str, Any]


def with_current_keys(raw: Raw) -> Raw:
    """Return the tables of an experiment file with former keys replaced by their current names.

    If a table has both names of a key, the later one wins. Values of a wrong type are returned unchanged, as
    the conversion to structs rejects them.
    """
    out = dict(raw)
    for table, keys in TABLE_KEYS.items():
        if isinstance(out.get(table), dict):
            out[table] = _rename_keys(out[table], keys)
    discovery = out.get("discovery")
    if isinstance(discovery, dict) and isinstance(mode := discovery.get("mode"), str):
        discovery["mode"] = DISCOVERY_MODES.get(mode, mode)
    load = out.get("load")
    if isinstance(load, dict) and "classes" in load:
        load["classes"] = _rename_keys_of_each(load["classes"], CLASS_KEYS)
    if isinstance(out.get("faults"), list):
        out["faults"] = [_with_current_fault_keys(fault) for fault in out["faults"]]
    return out


def _with_current_fault_keys(fault: Any) -> Any:
    if not isinstance(fault, dict):
        return fault
    kind = fault.get("kind")
    out = _rename_keys(fault, FAULT_KEYS.get(kind, {}) if isinstance(kind, str) else {})
    if "clocks" in out:
        out["clocks"] = _rename_keys_of_each(out["clocks"], CLOCK_KEYS)
    return out


def _rename_keys_of_each(tables: Any, keys: dict[str, str]) -> Any:
    if not isinstance(tables, list):
        return tables
    return [_rename_keys(table, keys) if isinstance(table, dict) else table for table in tables]


def _rename_keys(table: Raw, keys: dict[str, str]) -> Raw:
    return {keys.get(key, key): value for key, value in table.items()}

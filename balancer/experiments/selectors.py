"""Selectors, which name the parties that a fault of an experiment affects."""

from __future__ import annotations

from balancer.experiments.errors import ExperimentError
from balancer.experiments.experiment import Experiment
from balancer.experiments.faults import Fault

FULL_PERCENTAGE = 100


def select_parties(spec: Experiment, selector: str) -> list[str]:
    """Return the parties that a selector names, in a fixed order.

    A selector is `KIND` or `KIND:WHICH`. KIND is nodes, backends, clients or discovery. WHICH is a number
    (`3`), a range (`0-2`), a percentage (`70%`), `zone=a` or `zone!=a`. A percentage selects parties evenly
    over all numbers.

    Raises:
        ExperimentError: The selector is invalid or selects no party.
    """
    kind, _, which = selector.partition(":")
    parties_by_kind = {
        "nodes": spec.node_names, "backends": spec.backend_names, "discovery": ["d"],
        "clients": [f"c-{zone}" for zone in spec.fleet.zones],
    }  # fmt: skip
    if kind not in parties_by_kind:
        raise ExperimentError(f"{selector!r} must begin with one of {', '.join(parties_by_kind)}")
    names = parties_by_kind[kind]
    if not which:
        return names
    if "zone" in which:
        return _select_zone(spec, selector, names)
    if which.endswith("%") and which[:-1].isdecimal() and 0 < int(which[:-1]) <= FULL_PERCENTAGE:
        count = max(1, round(len(names) * int(which[:-1]) / FULL_PERCENTAGE))
        return [names[i * len(names) // count] for i in range(count)]
    first, _, last = which.partition("-")
    if first.isdecimal() and (last or first).isdecimal() and int(first) <= int(last or first) < len(names):
        return names[int(first) : int(last or first) + 1]
    raise ExperimentError(f"{selector!r} selects nothing: there are {len(names)} {kind}")


def _select_zone(spec: Experiment, selector: str, names: list[str]) -> list[str]:
    operator, _, zone = selector.partition(":")[2].rpartition("=")
    if zone not in spec.fleet.zones or operator not in ("zone", "zone!"):
        raise ExperimentError(f"{selector!r} names no zone of the fleet")
    return [name for name in names if (spec.zone_of(name) == zone) == (operator == "zone")]


def fault_targets(spec: Experiment, fault: Fault) -> list[str]:
    """Return the parties that a fault affects; none for a fault of a link, of discovery or of the load.

    Raises:
        ExperimentError: A selector is invalid or selects no party.
    """
    targets = getattr(fault, "targets", ())
    selectors = (targets,) if isinstance(targets, str) else targets
    return list(dict.fromkeys(name for selector in selectors for name in select_parties(spec, selector)))


def split_into_batches(names: list[str], count: int) -> list[list[str]]:
    """Split names, in order, into at most `count` batches of similar size, none of them empty."""
    count = min(count, len(names))
    return [names[i * len(names) // count : (i + 1) * len(names) // count] for i in range(count)]

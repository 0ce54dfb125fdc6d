"""Validation of an experiment beyond the types of its fields."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from typing import Any, NamedTuple

from balancer.experiments.errors import ExperimentError
from balancer.experiments.experiment import Experiment
from balancer.experiments.faults import (
    AnyFault,
    DiskFault,
    Fault,
    Kill,
    LinkFault,
    Maintenance,
    PowerLoss,
    Reload,
    SilentWatches,
    SlowConnects,
    Stall,
    Terminate,
    Upgrade,
    fault_kind,
)
from balancer.experiments.selectors import select_parties

MAX_RUN_S = 3600
MAX_NODES = 200
MAX_BACKENDS = 200
MIN_MEMORY_MB = 32
MIN_SOCKETS = 64
MAX_UTILISATION = 10
MAX_RATE_PER_S = 50_000
MAX_CLIENT_RETRIES = 10
# `models/connect_delay.py` delays connects for 0.9 s at a time and at least 1.1 s apart, so for at most
# 0.45 of the time.
MAX_SLOW_CONNECT_SHARE = 0.45

NODE = "n"
BACKEND = "s"
CLIENT = "c"
DISCOVERY = "d"


class Bound(NamedTuple):
    """A condition on a field, which has its dotted name in the file."""

    field: str
    holds: bool


class Selection(NamedTuple):
    """A selector in a field of a fault, and the initial letters of the parties that it may select.

    `field` is the dotted name within the fault.
    """

    field: str
    selector: str
    allowed_initials: str


def check_experiment(spec: Experiment) -> None:
    """Check that all values of an experiment are valid.

    Raises:
        ExperimentError: A value is invalid; the message begins with the dotted name of its field.
    """
    for bound in _bounds(spec):
        if not bound.holds:
            value = _value_of(spec, bound.field)
            raise ExperimentError(f"{bound.field}: invalid value {value!r:.80}")
    for index, fault in enumerate(spec.faults):
        _check_fault(spec, fault, f"faults[{index}]")
    for index, expect in enumerate(spec.expect):
        if expect.min is None and expect.max is None:
            raise ExperimentError(f"expect[{index}]: either `min` or `max` is required")


def _bounds(spec: Experiment) -> Iterator[Bound]:
    yield Bound("seconds", 0 < spec.seconds <= MAX_RUN_S)
    yield Bound("warmup", 0 <= spec.warmup < spec.seconds)
    yield from _platform_bounds(spec)
    yield from _demand_bounds(spec)
    yield Bound("rules.max-attempts", spec.rules.max_attempts >= 1)


def _platform_bounds(spec: Experiment) -> Iterator[Bound]:
    fleet = spec.fleet
    backends = spec.backends
    yield Bound("fleet.nodes", 1 <= fleet.nodes <= MAX_NODES)
    yield Bound("fleet.zones", 0 < len(set(fleet.zones)) == len(fleet.zones) <= backends.count)
    yield Bound("fleet.cores", 0 < fleet.cores <= 1)
    yield Bound("fleet.memory-mb", fleet.memory_mb >= MIN_MEMORY_MB)
    yield Bound("fleet.sockets", fleet.sockets >= MIN_SOCKETS)
    yield Bound("fleet.membership", not fleet.membership or spec.network.peer_datagrams)
    yield Bound("fleet.recovery", not fleet.recovery or fleet.membership)
    yield Bound("backends.count", 1 <= backends.count <= MAX_BACKENDS)
    yield Bound("backends.cores", backends.cores >= 1)
    yield Bound("backends.speed", 0 < backends.speed[0] <= backends.speed[1])
    yield Bound("backends.cold-capacity-share", 0 < backends.cold_capacity_share <= 1)
    yield Bound("backends.error-rate", 0 <= backends.error_rate <= 1)


def _demand_bounds(spec: Experiment) -> Iterator[Bound]:
    load = spec.load
    clients = spec.clients
    yield Bound("load.work-ms", load.work_ms > 0)
    yield Bound("load.work-cv", load.work_cv >= 0)
    yield Bound("load.amplitude", 0 <= load.amplitude < 1)
    yield Bound("load.zone-skew", 0 <= load.zone_skew < 1)
    yield Bound("load.utilisation", 0 <= load.utilisation <= MAX_UTILISATION)
    yield Bound("load.rate", 0 < spec.rate <= MAX_RATE_PER_S)
    yield Bound("load.classes", bool(load.classes) and sum(each.share for each in load.classes) > 0)
    yield Bound("clients.retries", 0 <= clients.retries <= MAX_CLIENT_RETRIES)
    yield Bound("clients.attempt-time-share", 0 < clients.attempt_time_share <= 1)
    yield Bound("clients.requests-per-connection", clients.requests_per_connection >= 1)


def _value_of(spec: Experiment, dotted: str) -> Any:
    value: Any = spec
    for part in dotted.replace("-", "_").split("."):
        value = getattr(value, part)
    return value


def _check_fault(spec: Experiment, fault: AnyFault, name: str) -> None:
    if not (0 <= fault.at < spec.seconds and fault.ends_at <= spec.seconds):
        raise ExperimentError(
            f"{name}.at: the fault must begin and end within the {spec.seconds:g} s of the run"
        )
    if isinstance(fault, SlowConnects) and not 0 < fault.share <= MAX_SLOW_CONNECT_SHARE:
        raise ExperimentError(f"{name}.share is out of range: {fault.share!r:.80}")
    if isinstance(fault, PowerLoss):
        for key in ("restart_after", "return_over", "discovery_after"):
            if getattr(fault, key) < 0:
                raise ExperimentError(f"{name}.{key.replace('_', '-')} must not be negative")
    for selection in _selections(fault):
        try:
            chosen = select_parties(spec, selection.selector)
        except ExperimentError as err:
            raise ExperimentError(f"{name}.{selection.field}: {err}") from None
        if not all(party[0] in selection.allowed_initials for party in chosen):
            raise ExperimentError(
                f"{name}.{selection.field}: {selection.selector!r} selects parties that cannot be targets of "
                f"the fault {fault_kind(fault)}"
            )


def _selections(fault: AnyFault) -> Iterable[Selection]:
    if isinstance(fault, LinkFault):
        any_party = NODE + BACKEND + CLIENT + DISCOVERY
        yield Selection("from", fault.source, any_party)
        yield Selection("to", fault.destination, any_party)
    elif isinstance(fault, PowerLoss):
        for name, selectors in (("what", fault.targets), ("never", fault.never)):
            for selector in selectors:
                yield Selection(name, selector, _target_initials(fault))
        for index, disk in enumerate(fault.disks):
            yield Selection(f"disks.{index}.nodes", disk.nodes, NODE)
        for index, step in enumerate(fault.clocks):
            yield Selection(f"clocks.{index}.nodes", step.nodes, NODE)
    elif (targets := getattr(fault, "targets", None)) is not None:
        yield Selection("what", targets, _target_initials(fault))
    if isinstance(fault, Maintenance):
        yield Selection("nodes", fault.nodes, NODE)


def _target_initials(fault: Fault) -> str:
    """Return the initial letters of the parties that a fault can affect."""
    if isinstance(fault, (Kill, Stall)):
        return NODE + BACKEND
    if isinstance(fault, PowerLoss):
        return NODE + BACKEND + DISCOVERY
    if isinstance(fault, (Terminate, Upgrade, Reload, DiskFault, SilentWatches)):
        return NODE
    return BACKEND

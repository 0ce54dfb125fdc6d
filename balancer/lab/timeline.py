"""The schedule of an experiment's faults, the same in all processes of a run."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from enum import Enum

from balancer.experiments.experiment import Experiment
from balancer.experiments.faults import AnyFault, BatchedFault, Drain, Fault, Kill, PowerLoss, TimedFault
from balancer.experiments.selectors import fault_targets, split_into_batches
from balancer.lab.power_loss import return_times


class Step(Enum):
    """The steps of a fault over time."""

    BEGIN = "begin"
    END = "end"
    RESTART = "back"  # Targets that a fault ended start again.


@dataclass(slots=True, frozen=True)
class Moment:
    """One step of a fault at one time."""

    at_s: float
    step: Step
    fault: AnyFault
    names: tuple[str, ...]  # A step affects the targets with these names.


@dataclass(slots=True, frozen=True)
class Batch:
    """The targets of a fault that are affected at the same time."""

    at_s: float
    names: tuple[str, ...]


def last_step_at(spec: Experiment, fault: AnyFault | None = None) -> float:
    """Return the time (s) of the last step of a fault, or of all faults; 0 if there is none.

    All seeds give the same time: a seed draws the order in which targets come back, not when the last does.
    """
    moments = timeline(spec, 0)
    return max((moment.at_s for moment in moments if fault is None or moment.fault is fault), default=0.0)


def timeline(spec: Experiment, seed: int) -> list[Moment]:
    """Return all steps in order of time, except restarts after SIGTERM, whose time is unknown in advance."""
    moments = [
        moment
        for fault in spec.faults
        for batch in _batches(spec, fault)
        for moment in _moments_of(spec, seed, fault, batch)
    ]
    return sorted(moments, key=lambda moment: moment.at_s)


def _batches(spec: Experiment, fault: Fault) -> list[Batch]:
    targets = fault_targets(spec, fault)
    if not isinstance(fault, BatchedFault):
        return [Batch(fault.at, tuple(targets))]
    return [
        Batch(fault.at + index * fault.every, tuple(names))
        for index, names in enumerate(split_into_batches(targets, fault.batches))
    ]


def _moments_of(spec: Experiment, seed: int, fault: AnyFault, batch: Batch) -> Iterator[Moment]:
    yield Moment(batch.at_s, Step.BEGIN, fault, batch.names)
    if isinstance(fault, Kill) and fault.restart_after is not None:
        yield Moment(batch.at_s + fault.restart_after, Step.RESTART, fault, batch.names)
    if isinstance(fault, PowerLoss):
        yield from _power_returns(spec, seed, fault)
    if isinstance(fault, TimedFault) and fault.duration_s:
        yield Moment(fault.ends_at, Step.END, fault, batch.names)
    if isinstance(fault, Drain):
        yield Moment(fault.ends_at + fault.restart_after, Step.RESTART, fault, batch.names)


def _power_returns(spec: Experiment, seed: int, fault: PowerLoss) -> Iterator[Moment]:
    """Yield the returns of a power loss up to the next one, which also covers targets still down by then."""
    losses = [each.at for each in spec.faults if isinstance(each, PowerLoss)]
    next_loss = min((at for at in losses if at > fault.at), default=float("inf"))
    for name, back_at in return_times(spec, seed, fault).items():
        if back_at < next_loss:
            yield Moment(back_at, Step.RESTART, fault, (name,))

"""When each fault of an experiment begins, ends and is made good: one schedule for all processes of a run."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from balancer.experiments.spec import (
    AnyFault,
    Drain,
    Experiment,
    Kill,
    Power,
    Reload,
    Terminate,
    batches,
    parties,
)
from balancer.lab.power import returns


class Step(Enum):
    """What happens to the fault's parties."""

    BEGIN = "begin"
    END = "end"
    BACK = "back"  # what died starts again


@dataclass(slots=True, frozen=True)
class Moment:
    """One step of a fault; `at` in seconds."""

    at: float
    step: Step
    fault: AnyFault
    names: tuple[str, ...]


def over(spec: Experiment, fault: AnyFault | None = None) -> float:
    """When the last that is planned of a fault, or of all, has happened, in s; 0 where there is none.

    It is the same for every seed: a seed draws who comes back when, not when the last one does.
    """
    return max((m.at for m in timeline(spec, 0) if fault is None or m.fault is fault), default=0.0)


def timeline(spec: Experiment, seed: int) -> list[Moment]:
    """All moments in order of time; none for a node's start after SIGTERM, as nobody knows when it ends."""
    cuts = [f.at for f in spec.faults if isinstance(f, Power)]
    out: list[Moment] = []
    for fault in spec.faults:
        names = parties(spec, fault)
        groups = batches(names, fault.batches) if isinstance(fault, (Kill, Terminate, Reload)) else [names]
        for index, group in enumerate(groups):
            at = fault.at + (index * fault.every if isinstance(fault, (Kill, Terminate, Reload)) else 0.0)
            some = tuple(group)
            out.append(Moment(at, Step.BEGIN, fault, some))
            if isinstance(fault, Kill) and fault.restart_after is not None:
                out.append(Moment(at + fault.restart_after, Step.BACK, fault, some))
            if isinstance(fault, Power):
                until = min((at for at in cuts if at > fault.at), default=float("inf"))
                for name, back in returns(spec, seed, fault).items():
                    if back < until:  # who was to come later is caught by the next cut
                        out.append(Moment(back, Step.BACK, fault, (name,)))
            if getattr(fault, "for_", 0.0):
                out.append(Moment(fault.until, Step.END, fault, some))
            if isinstance(fault, Drain):
                out.append(Moment(fault.until + fault.restart_after, Step.BACK, fault, some))
    return sorted(out, key=lambda moment: moment.at)

"""The summary of a run: its figures, its expectations, and the first violations of rules."""

from __future__ import annotations

import json

import msgspec

from balancer.experiments.experiment import Experiment
from balancer.lab import records
from balancer.lab.figures import (
    MAX_CPU_WAIT_S,
    MAX_HARNESS_LATENESS_P99_MS,
    expectation_holds,
    figures,
)
from balancer.lab.judge import Judgement

VERSION = 1


class CheckedExpectation(msgspec.Struct, frozen=True):
    """An expectation of an experiment and its measured figure, which is None if the run lacks it."""

    figure: str
    min: float | None
    max: float | None
    measured: float | None
    held: bool


class Violation(msgspec.Struct, frozen=True):
    """A violation of a rule as it is written to `summary.json`."""

    rule: str
    at_ms: float
    node: int
    text: str


class Summary(msgspec.Struct, frozen=True):
    """The content of `summary.json`."""

    version: int
    experiment: str
    seed: int
    program: str
    seconds: float
    void: bool  # The figures are meaningless: the harness was late or a node lacked a core.
    figures: dict[str, float]
    expectations: list[CheckedExpectation]
    breaks: list[Violation]

    def encode(self, indent: int | None = None) -> str:
        """Encode the summary as JSON."""
        return json.dumps(msgspec.to_builtins(self), indent=indent)


def summarize(
    spec: Experiment, seed: int, program: str, run_records: records.RunRecords, judged: Judgement
) -> Summary:
    """Return the summary of a run from its records and the check of the rules."""
    values = figures(spec, seed, run_records, judged)
    late = values["rig_late_p99_ms"] > MAX_HARNESS_LATENESS_P99_MS
    starved = values["node_waited_s_max"] > MAX_CPU_WAIT_S
    return Summary(
        version=VERSION,
        experiment=spec.name,
        seed=seed,
        program=program,
        seconds=spec.seconds,
        void=late or starved,
        figures=values,
        expectations=[
            CheckedExpectation(
                each.figure, each.min, each.max, values.get(each.figure), expectation_holds(each, values)
            )
            for each in spec.expect
        ],
        breaks=[
            Violation(each.rule, round(each.at, 1), each.node, each.text) for each in judged.first_violations
        ],
    )

"""The error of an experiment file."""

from __future__ import annotations

from balancer.errors import BalancerError


class ExperimentError(BalancerError):
    """An experiment makes no sense; the text names the dotted field."""

    code = "LAB01"
    remedy = "correct the field that is named, in the file or after --set; lab list has the names there are"

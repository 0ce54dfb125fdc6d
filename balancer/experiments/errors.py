"""The error for an invalid experiment."""

from __future__ import annotations

from balancer.errors import BalancerError


class ExperimentError(BalancerError):
    """An experiment is invalid; the message names the field in dotted form."""

    code = "LAB01"
    remedy = "correct the named field in the file or in --set; lab list prints the names of the experiments"

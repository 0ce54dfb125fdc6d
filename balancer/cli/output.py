"""What all commands share: exit codes, and the two lines that say why not and what to do."""

from __future__ import annotations

import sys
from enum import IntEnum

import typer

from balancer.errors import BalancerError


class Exit(IntEnum):
    """What the exit code says."""

    HELD = 0
    SHORT = 1
    NOT_RUN = 2


def stop(err: BalancerError) -> typer.Exit:
    """The code and what happened, then what to do, on standard error; exit code 2."""
    happened, remedy = err.report
    print(f"balancer: {happened}\n{remedy}", file=sys.stderr)
    return typer.Exit(Exit.NOT_RUN)

"""What all commands share: exit codes, and the two lines of an error."""

from __future__ import annotations

import sys
from enum import IntEnum

import typer

from balancer.errors import BalancerError


class Exit(IntEnum):
    """The exit codes."""

    HELD = 0
    SHORT = 1
    NOT_RUN = 2


def stop(err: BalancerError) -> typer.Exit:
    """Print the code and the error, then the remedy, on standard error; return exit code 2."""
    happened, remedy = err.report_lines
    print(f"balancer: {happened}\n{remedy}", file=sys.stderr)
    return typer.Exit(Exit.NOT_RUN)

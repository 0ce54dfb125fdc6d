"""Exit codes and error output of all commands."""

from __future__ import annotations

import sys
from enum import IntEnum

import typer

from balancer.errors import BalancerError


class ExitCode(IntEnum):
    """The exit codes of the commands."""

    OK = 0
    CHECK_FAILED = 1
    ERROR = 2


def error_exit(err: BalancerError) -> typer.Exit:
    """Print an error and its remedy, one line each, to standard error; return exit code 2."""
    message, remedy = err.report_lines
    print(f"balancer: {message}\n{remedy}", file=sys.stderr)
    return typer.Exit(ExitCode.ERROR)

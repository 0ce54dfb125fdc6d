"""What all commands share: exit codes, and the one line that says why not."""

from __future__ import annotations

import sys
from enum import IntEnum

import typer


class Exit(IntEnum):
    """What the exit code says."""

    HELD = 0
    SHORT = 1
    NOT_RUN = 2


def stop(text: str) -> typer.Exit:
    """One line on standard error, exit code 2."""
    print(f"dillport: {' '.join(text.split())}", file=sys.stderr)
    return typer.Exit(Exit.NOT_RUN)

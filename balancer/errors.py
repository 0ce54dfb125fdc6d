"""Base class of errors that are reported to operators, with a stable code, a message and a remedy.

All errors whose text reaches an operator (on standard error, in the log, in a console response or in the
output of the `balancer` command) derive from `BalancerError` and are defined in the module of their subject.
Internal exceptions do not: control signals (`FencedError`), errors that are counted and dropped
(`MessageError`), and errors that are returned to clients of the balanced service (`BadRequestError`).

A code consists of three letters for the subject and two digits, such as `CFG01`, so that it is easy to find
in a log with `grep`. A code is never reused for another error. `docs/on-call.md` lists all codes.
"""

from __future__ import annotations

from typing import ClassVar


class BalancerError(Exception):
    """Base class of operator errors; `str` of an instance describes what happened in one line.

    Each subclass defines its own code, and a remedy: one line on what an operator can do.
    """

    code: ClassVar[str]
    remedy: ClassVar[str]

    def __str__(self) -> str:
        """Return the message in one line, with all whitespace collapsed."""
        return " ".join(super().__str__().split())

    @property
    def summary(self) -> str:
        """Return the code and the message in one line, for the log."""
        return f"{self.code}: {self}"

    @property
    def report_lines(self) -> tuple[str, str]:
        """Return two lines for terminal output: code and message, then the remedy."""
        return self.summary, f"what to do: {self.remedy}"

    @property
    def one_line_report(self) -> str:
        """Return code, message and remedy in one line, for a process that exits."""
        return "; ".join(self.report_lines)

"""What an operator is told when something does not work: a stable code, what happened, what can be done.

All errors whose text reaches an operator (on standard error, in the log, in an answer of the console, in what
the `balancer` command prints) derive from `BalancerError` and stand where their subject is. Exceptions that
never leave the program stay outside: signals between two of its parts (`FencedError`), what is counted and
dropped (`MessageError`), and what a client of the balanced service is answered (`BadRequest`).

A code is three letters for the subject and two digits, `CFG01`: it is like nothing else in a log, and `grep`
finds it. It is given once and never to another error. `docs/on-call.md` lists all of them.
"""

from __future__ import annotations

from typing import ClassVar


class BalancerError(Exception):
    """The base: a class has a code and a remedy of its own, `str` of an instance is what happened."""

    code: ClassVar[str]
    remedy: ClassVar[str]  # what an operator can do, one line

    def __str__(self) -> str:
        """Return what happened, in one line."""
        return " ".join(super().__str__().split())

    @property
    def summary(self) -> str:
        """Return the code and what happened, for the log."""
        return f"{self.code}: {self}"

    @property
    def report_lines(self) -> tuple[str, str]:
        """Return two lines for a person: the code and what happened, and what to do."""
        return self.summary, f"what to do: {self.remedy}"

    @property
    def one_line_report(self) -> str:
        """Return the report in one line, for a process that does not run."""
        return "; ".join(self.report_lines)

"""Parse the load report that backends send in the `Server-Load` response header."""

from __future__ import annotations

import math

from balancer.interface import LoadReport

TEXT_FORMAT = "TEXT"
FIELDS = {
    "inflight": "in_flight",
    "active": "in_flight",
    "queue": "queue",
    "waiting": "queue",
    "util": "cpu_utilization",
    "cpu": "cpu_utilization",
    "latency_ms": "mean_duration_ms",
    "avg_ms": "mean_duration_ms",
    "qps": "requests_per_s",
    "rps": "requests_per_s",
    "eps": "errors_per_s",
    "err_rps": "errors_per_s",
}


class LoadReportError(ValueError):
    """The `Server-Load` header is invalid; this is logged and the response is used without a report."""


def parse_load_report(value: str) -> LoadReport:
    """Parse a header value of the form `TEXT name=number, ...`, ignoring unknown names.

    Raises:
        LoadReportError: the value has another form, or a number is negative or not finite.
    """
    report_format, _, fields = value.partition(" ")
    report = LoadReport()
    try:
        if report_format != TEXT_FORMAT:
            raise ValueError(report_format)
        for field in fields.split(","):
            name, text = field.strip().split("=")
            number = float(text)
            if not 0 <= number < math.inf:
                raise ValueError(text)
            if name in FIELDS:
                setattr(report, FIELDS[name], number)
    except ValueError:
        raise LoadReportError(
            f"not a load report of the form 'TEXT name=number, ...': {value!r:.120}"
        ) from None
    return report

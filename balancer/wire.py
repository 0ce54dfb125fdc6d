"""The codec of the simulator's wire protocol: parses lines of text to events and formats actions as lines.

Only this module maps the words of the protocol to the names of `balancer.interface`.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from typing import Any

from balancer import interface as api
from balancer.errors import BalancerError

MAX_QUOTED_CHARS = 120
ABSENT = "-"
TRUE = "1"
NO_TENANT = "0"
ENTRY_WORD = "ENTRY"
LIST_UPDATE_WORD = "DIRECTORY_UPDATE"
UNKNOWN_CELL = -1
TIME_DECIMALS = 3

PHASES = {
    "up": api.EndpointPhase.IN_SERVICE,
    "draining": api.EndpointPhase.DRAINING,
    "removed": api.EndpointPhase.REMOVED,
}
UPDATE_KINDS = {
    "diff": api.ListUpdateKind.DELTA,
    "snapshot": api.ListUpdateKind.SNAPSHOT,
    "disk": api.ListUpdateKind.CACHED,
    "error": api.ListUpdateKind.FAILED,
}
STATUSES = {
    "pass": api.AttemptStatus.OK,
    "fault": api.AttemptStatus.ERROR,
    "no_room": api.AttemptStatus.REJECTED,
    "too_slow": api.AttemptStatus.TIMEOUT,
    "no_route": api.AttemptStatus.CONNECT_FAILED,
    "cut": api.AttemptStatus.RESET,
    "undone": api.AttemptStatus.CANCELLED,
    "stale_send": api.AttemptStatus.NOT_STARTED,
}
REPORT_FIELDS = {
    "active": "in_flight",
    "waiting": "queue",
    "cpu": "cpu_utilization",
    "avg_ms": "mean_duration_ms",
    "rps": "requests_per_s",
    "err_rps": "errors_per_s",
}


class WireError(BalancerError):
    """The input violates the wire protocol."""

    code = "WIR01"
    remedy = "run a simulator that implements the same version of the wire protocol"


def parse_time(text: str) -> float:
    """Parse a finite number; raises ValueError."""
    value = float(text)
    if not math.isfinite(value):
        raise ValueError(text)
    return value


def parse_report(text: str, names: tuple[str, ...]) -> api.LoadReport | None:
    """Parse a load report whose values are in the order of `names`; raises ValueError.

    Values of a name that the wire protocol does not define are ignored.
    """
    if text == ABSENT:
        return None
    report = api.LoadReport()
    for name, value in zip(names, text.split(","), strict=True):
        if value != ABSENT and name in REPORT_FIELDS:
            setattr(report, REPORT_FIELDS[name], parse_time(value))
    return report


def parse_entry(line: str) -> api.Endpoint:
    """Parse one line of an endpoint list; raises WireError."""
    try:
        word, cell, kind, name, scale, phase, started_at, zone = line.split(" ")
        weight = 1.0 if scale == ABSENT else parse_time(scale)
        if word != ENTRY_WORD or not name or weight < 0:
            raise ValueError(line)
        return api.Endpoint(
            backend=name,
            zone=zone,
            cell=UNKNOWN_CELL if cell == ABSENT else int(cell),
            weight=weight,
            phase=PHASES[phase],
            started_at=0.0 if started_at == ABSENT else parse_time(started_at),
            kind=kind,
        )
    except (ValueError, KeyError):
        raise WireError(
            f"malformed list entry: expected 'ENTRY CELL KIND NAME WEIGHT PHASE STARTED ZONE', "
            f"got {line[:MAX_QUOTED_CHARS]!r}"
        ) from None


def parse_list_update(line: str) -> tuple[api.ListUpdate, int]:
    """Parse the first line of a list update; raises WireError.

    Returns the update without its entries, and the number of entry lines that follow.
    """
    try:
        _, kind, revision, count = line.split(" ")
        number = 0 if revision == ABSENT else int(revision)
        entry_count = 0 if count == ABSENT else int(count)
        if entry_count < 0:
            raise ValueError(count)
        return api.ListUpdate(UPDATE_KINDS[kind], [], number), entry_count
    except (ValueError, KeyError):
        raise WireError(
            f"malformed list update: expected 'DIRECTORY_UPDATE KIND REVISION COUNT', "
            f"got {line[:MAX_QUOTED_CHARS]!r}"
        ) from None


def parse_event(line: str, report_names: tuple[str, ...]) -> api.Event:
    """Parse the line of any event but a list update; raises WireError.

    `report_names` gives the order of the values in load reports.
    """
    parts = line.split(" ")
    if (parse := _EVENTS.get(parts[0])) is None:
        raise WireError(
            "unknown message: expected a line that starts with an event of the protocol, "
            f"got {line[:MAX_QUOTED_CHARS]!r}"
        )
    try:
        return parse(parts, report_names)
    except (ValueError, KeyError, IndexError):
        raise WireError(
            f"malformed line: a field of the event is missing or invalid: {line[:MAX_QUOTED_CHARS]!r}"
        ) from None


def format_action(action: api.Action) -> str:
    """Format an action as a line of the wire protocol."""
    return _ACTIONS[type(action)](action)


def _health_check_ended(parts: list[str], report_names: tuple[str, ...]) -> api.HealthCheckEnded:
    _, status, duration, name, report = parts
    return api.HealthCheckEnded(
        name, STATUSES[status], parse_time(duration), parse_report(report, report_names)
    )


def _attempt_ended(parts: list[str], report_names: tuple[str, ...]) -> api.AttemptEnded:
    _, request, attempt, name, status, duration, is_closed, report = parts
    return api.AttemptEnded(
        request,
        int(attempt),
        name,
        STATUSES[status],
        parse_time(duration),
        is_closed == TRUE,
        parse_report(report, report_names),
    )


def _request_arrived(parts: list[str], _: tuple[str, ...]) -> api.RequestArrived:
    _word, request, is_retry, key, deadline, tenant, work_hint, class_name, writes = parts
    return api.RequestArrived(
        request,
        class_name,
        parse_time(deadline),
        is_retry=is_retry == TRUE,
        key=None if key == ABSENT else key,
        tenant=None if tenant in (ABSENT, NO_TENANT) else tenant,
        work_hint=None if work_hint == ABSENT else parse_time(work_hint),
        writes=writes == TRUE,
    )


def _response_started(parts: list[str], _: tuple[str, ...]) -> api.ResponseStarted:
    _word, request, attempt, name, duration = parts
    return api.ResponseStarted(request, int(attempt), name, parse_time(duration))


def _peer_message(parts: list[str], _: tuple[str, ...]) -> api.PeerMessage:
    return api.PeerMessage(int(parts[1]), b"" if parts[2] == ABSENT else bytes.fromhex(parts[2]))


_EVENTS: dict[str, Callable[[list[str], tuple[str, ...]], api.Event]] = {
    "SAMPLED": _health_check_ended,
    "RESOLVED": _attempt_ended,
    "WAKE": lambda parts, _: api.TimerFired(int(parts[1])),
    "ORDER": _request_arrived,
    "CANCELLED_BY_CLIENT": lambda parts, _: api.ClientDisconnected(parts[1]),
    "ACCEPTED": _response_started,
    "HEARD": _peer_message,
}


def _send_peer_message(action: api.SendPeerMessage) -> str:
    node = "all" if action.node is None else action.node
    return f"WRITE_PEER {node} {action.content.hex() or ABSENT}"


_ACTIONS: dict[type, Callable[[Any], str]] = {
    api.CheckHealth: lambda a: f"INSPECT {a.backend}",
    api.StartAttempt: lambda a: f"PLACE {a.request} {round(a.timeout_ms, TIME_DECIMALS)} {a.backend}",
    api.SetTimer: lambda a: f"NOTIFY_ME {round(a.fires_at, TIME_DECIMALS)} {a.token}",
    api.RejectRequest: lambda a: f"PUSH_BACK {a.request} {round(a.retry_after_ms, TIME_DECIMALS)}",
    api.FailRequest: lambda a: f"SURRENDER {a.request}",
    api.CancelAttempt: lambda a: f"ABANDON {a.request} {a.attempt}",
    api.WriteLog: lambda a: "LOG " + " ".join(a.text.split()),
    api.CloseIdleConnections: lambda a: f"SHUT_IDLE {a.backend}",
    api.SendPeerMessage: _send_peer_message,
    api.WatchEndpoints: lambda a: f"TAIL {int(a.enabled)}",
    api.FetchEndpoints: lambda a: "LIST_ALL",
}

"""Test the log lines for discovery calls, changes of the endpoint list, and failed requests."""

from __future__ import annotations

import logging
from dataclasses import replace
from pathlib import Path

import pytest

from balancer.interface import AttemptStatus, EndpointPhase
from balancer.net.change_summary import MAX_NAMES_PER_CHANGE, ChangeSummary
from balancer.net.rate_limited_log import PERIOD_S, RateLimitedLog
from balancer.net.request_log import RequestLog
from balancer.net.response_progress import ResponseProgress
from balancer.net.upload_clock import UploadProgress
from tests.helpers import entry, member
from tests.virtual_discovery import DiscoverySimulation

ADDRESS = "127.0.0.1:9"


def test_a_change_summary_names_backends_by_kind_of_change_and_counts_the_rest() -> None:
    changes = ChangeSummary()
    up = member(entry("b0"), ADDRESS)
    changes.add_update(up, up)
    assert changes.text() == ""
    for number in range(MAX_NAMES_PER_CHANGE + 2):
        one = replace(up, backend=f"b{number}")
        changes.add_update(replace(one, phase=EndpointPhase.DRAINING), one)
    changes.add_update(replace(up, backend="new"), None)
    # Removing a backend that was never listed must not be reported as a change.
    changes.add_update(replace(up, backend="old", phase=EndpointPhase.REMOVED), None)
    changes.add_update(replace(up, started_at=up.started_at + 1.0), up)
    left_out = replace(up, backend="left-out")
    changes.add_update(replace(left_out, phase=EndpointPhase.REMOVED), left_out)
    named = " ".join(f"b{number}" for number in range(MAX_NAMES_PER_CHANGE))
    assert changes.text() == f"draining {named} and 2 more, removed left-out, in service new, restarted b0"


def test_a_change_summary_adds_up_the_batches_of_a_long_list() -> None:
    changes, up = ChangeSummary(), member(entry("b"), ADDRESS)
    changes.add_changed([replace(up, backend=f"b{number}") for number in range(MAX_NAMES_PER_CHANGE)])
    changes.add_changed(
        [replace(up, backend="more"), replace(up, backend="old", phase=EndpointPhase.REMOVED)]
    )
    named = " ".join(f"b{number}" for number in range(MAX_NAMES_PER_CHANGE))
    assert changes.text() == f"removed old, in service {named} and 1 more"


def test_lines_of_a_kind_are_limited_and_suppressed_lines_are_counted(
    caplog: pytest.LogCaptureFixture,
) -> None:
    now = 0.0
    lines = RateLimitedLog(logging.getLogger("tests"), lambda: now, max_lines=2)
    for text in ("a", "b", "c", "d"):
        lines.log("kind", text)
    lines.log("other kind", "e")
    now = PERIOD_S
    lines.log("kind", "f")
    assert caplog.messages == ["a", "b", "e", "f (2 more since such a line)"]


def test_each_kind_of_failure_is_logged_for_one_request_per_period(caplog: pytest.LogCaptureFixture) -> None:
    caplog.set_level(logging.INFO)
    requests = RequestLog(lambda: 0.0)
    for name in ("r1", "r2"):
        requests.attempt_failed(name, 0, "b0", AttemptStatus.RESET, 3.2)
        requests.retried(name, 1, "b1", AttemptStatus.RESET)
        requests.unserved(name, "refused", "held", 2)
    requests.unserved("r3", "failed", "held", 2)
    assert caplog.messages == [
        "request r1: attempt 1 at b0: reset after 3 ms",
        "request r1: attempt 2 at b1, after one that ended: reset",
        "request r1: refused, reason held, attempts 2",
        "request r3: failed, reason held, attempts 2",
    ]


def test_each_discovery_call_is_logged_with_its_reason_and_its_end(
    tmp_path: Path, caplog: pytest.LogCaptureFixture
) -> None:
    caplog.set_level(logging.INFO)
    sim = DiscoverySimulation(tmp_path, False, "goes_silent", "connection_refused", "rejects", "healthy")
    sim.run(20)
    lines = [line for line in caplog.messages if line.startswith(("discovery: call", "list: revision"))]
    target = "127.0.0.1:1 for /discovery/hosts?watch=1&from="
    names = " ".join(f"b{i}" for i in range(MAX_NAMES_PER_CHANGE))
    assert lines[:3] == [
        f"discovery: call 1 to {target}0: list requested",
        "discovery: call 1 answered after 0.00 s",
        f"list: revision 8: in service {names} and 4 more",
    ]
    reasons = [line.rpartition(": ")[2] for line in lines[3:]]
    assert reasons[:5] == [
        "timed out", "previous watch timed out", "no connection", "retry after a failed call",
        "rejected by discovery"
    ]  # fmt: skip
    assert lines[-1].endswith(": cancelled")


def test_delays_of_a_request_and_the_leaving_of_its_client_are_logged_with_its_id(
    caplog: pytest.LogCaptureFixture,
) -> None:
    caplog.set_level(logging.INFO)
    requests = RequestLog(lambda: 0.0)
    requests.read_late("r1", 420.4)
    requests.sent_late("r1", 0, "b0", 430.0, 3.0)
    requests.client_left("r2", 75.0, "attempt sent", 1)
    requests.attempt_failed("r3", 0, "b0", AttemptStatus.NOT_STARTED, 0.0, "client has left")
    assert caplog.messages == [
        "request r1: read 420 ms after it arrived",
        "request r1: attempt 1 at b0: written 430 ms after the request arrived, 3 ms after its decision",
        "request r2: client left 75 ms after the request arrived, attempt sent, attempts 1",
        "request r3: attempt 1 at b0: moot after 0 ms, client has left",
    ]


def test_ended_responses_without_a_length_are_logged_with_their_progress(
    caplog: pytest.LogCaptureFixture,
) -> None:
    lines = RequestLog(lambda: 0.0)
    progress = ResponseProgress(54_000, 612.4, 600.2)
    with caplog.at_level(logging.INFO):
        lines.response_passed_on("1", "b0", progress)
        lines.response_ended("1", "b0", progress, is_passed_on=True)
        lines.response_ended("2", "b1", progress, is_passed_on=False)
        lines.upload_overdue(
            "3", UploadProgress(300_000, 65_536, 131_072, True), "attempt waits for its connection"
        )
    came = "54000 bytes, the first 612 ms ago, the last 600 ms ago"
    assert caplog.messages == [
        f"request 1: response of b0 without a length is passed on: {came}",
        f"request 1: response of b0 without a length is broken off for its deadline: {came}",
        f"request 2: response of b1 without a length is not passed on for its deadline: {came}",
        "request 3: upload overdue, 65536 bytes read, 131072 received and not read,"
        " attempt waits for its connection",
    ]

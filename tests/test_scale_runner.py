"""Tests of scale measurements at small sizes: their figures, their time limits, and the result files."""

from __future__ import annotations

import asyncio
import json
import time
from collections.abc import Iterator, Sequence
from pathlib import Path

import pytest
import uvloop
from typer.testing import CliRunner

from balancer import interface as api
from balancer.cli import scale as command
from balancer.cli.app import app
from balancer.lab.scale import (
    concurrent_callers,
    decision_module,
    dense_hosting,
    discovery,
    endpoint_list,
    generated_inputs,
    rack_failure,
    runner,
    settings_tables,
    size,
)
from balancer.lab.scale.points import NotPlayed, Play, Point
from balancer.net.endpoint_decoder import decode_update
from tests.helpers import member


def figures(items: Sequence[Point | NotPlayed], exact: bool = False) -> dict[tuple[str, str, int], float]:
    return {(p.role, p.figure, p.size): p.value for p in items
            if isinstance(p, Point) and (p.exact or not exact)}  # fmt: skip


def ignore_progress(play: str, point: Point | None) -> None:
    pass


def linear(seed: int) -> Iterator[Point | NotPlayed]:
    for n in (10, 40, 160):
        yield Point("module", "answer", "us", n, 3.0 * n + seed, True)
    yield NotPlayed("module at 640", "it never ended")


LINEAR_PLAY = Play("planted", linear, 640, "nothing is real")


# --- Tests of single measurements


def test_encoded_list_decodes_to_the_same_endpoints() -> None:
    endpoints = [
        generated_inputs.entry(0),
        generated_inputs.entry(1, api.EndpointPhase.DRAINING),
        generated_inputs.entry(2, api.EndpointPhase.REMOVED, 5.0),
    ]
    update = decode_update(generated_inputs.encode_update(endpoints, 3, True))
    assert list(update.members) == [member(one, f"10.0.0.{i}:8080") for i, one in enumerate(endpoints)]
    assert (update.revision, update.complete) == (3, True)
    assert {
        m.address
        for m in decode_update(generated_inputs.encode_update(endpoints, 3, True, "127.0.0.1:9")).members
    } == {("127.0.0.1", 9)}


def test_module_measurement_yields_all_figures() -> None:
    found = [decision_module.measure_memory(60, 1), *decision_module.measure(60, 1, 0.2)]
    assert [p.figure for p in found] == [
        "memory", "whole_list", "choice", "answer", "failure", "drain", "replace", "restart", "unavailable",
        "learned",
    ]  # fmt: skip
    assert all(p.value > 0 and p.size == 60 and p.role == "module" for p in found)


def test_request_driver_starts_every_request_and_retries_failures() -> None:
    balancer = decision_module.new_balancer(60, 1)
    balancer.handle(
        generated_inputs.START_MS,
        api.ListUpdate(api.ListUpdateKind.SNAPSHOT, generated_inputs.entries(60), 1),
    )
    requests = decision_module.RequestDriver(balancer, generated_inputs.START_MS)
    requests.run(60.0, 200)
    assert (len(requests.choice), len(requests.answer), len(requests.failure)) == (200, 200, 20)
    assert balancer.limit.in_flight == 0 and not balancer.requests.by_id


def test_replacements_report_what_the_time_limit_cut_off() -> None:
    whole = list(decision_module.replacements(1, 40, (10, 40), 60.0))
    assert list(figures(whole)) == [
        ("replaced", figure, n) for figure in ("change", "memory") for n in (10, 40)
    ]
    cut = [p for p in decision_module.replacements(1, 10_000, (10_000,), 0.02) if isinstance(p, NotPlayed)]
    assert len(cut) == 2 and "of 10000" in cut[0].what


def test_bytes_of_lists_are_exact() -> None:
    small = list(endpoint_list.lists((200, 800)))
    assert figures(small, exact=True) == {
        ("list", "whole", 200): 33227.0, ("list", "change", 200): 215.0,
        ("list", "whole", 800): 133055.0, ("list", "change", 800): 213.0,
    }  # fmt: skip
    assert ("list", "decode", 800) in figures(small)


def test_node_process_serves_all_requests() -> None:
    found = figures(uvloop.run(endpoint_list.play_node(60, 0.6, 3.0)))
    assert [name for _, name, _ in found] == [
        "ready", "in_force", "p50", "p99", "memory", "core_per_request", "served", "p99_lists", "worst_lists",
        "in_force_lists", "memory_lists", "served_lists", "rig_late", "rig_worst",
    ]  # fmt: skip
    assert found["node", "served", 60] == found["node", "served_lists", 60] == 1.0


async def test_discovery_stub_sends_heartbeats_on_idle_watches(monkeypatch: pytest.MonkeyPatch) -> None:
    """A watch without heartbeats counts as dead; its node would fetch the list while a change is measured."""
    monkeypatch.setattr(endpoint_list, "HEARTBEAT_INTERVAL_S", 0.02)
    stub = endpoint_list.DiscoveryStub(b"{}\n")
    server = await asyncio.start_server(stub.serve, "127.0.0.1", 0)
    reader, writer = await asyncio.open_connection(*server.sockets[0].getsockname()[:2])
    writer.write(b"GET /discovery/hosts?watch=1&from=0 HTTP/1.1\r\n\r\n")
    assert await reader.readuntil(b"3\r\n{}\n\r\n")
    for _ in range(3):
        assert await reader.readexactly(6) == b"1\r\n\n\r\n"
    assert stub.calls == 1
    writer.close()
    server.close()


def test_node_processes_on_one_host_yield_all_figures() -> None:
    found = uvloop.run(dense_hosting.play_processes(2, 60, 2))
    assert list(figures(found)) == [("processes", figure, 60) for figure in ("ready", "memory", "change")]


def test_no_request_reaches_a_failed_rack_during_a_discovery_outage() -> None:
    """The expected counts hold at any speed of the machine that runs the real node processes."""
    points = uvloop.run(rack_failure.play_rack(2, 600, before_s=1.5, after_s=2.5))
    found = {p.figure: p.value for p in points if isinstance(p, Point)}
    assert found["sent_before"] > 0 and found["sent_late"] == 0 and found["unanswered"] == 0
    assert found["asked_after"] == pytest.approx(2 * 2.5 * size.PEAK_PER_S / size.NODES, abs=4)


def test_load_that_clients_could_not_offer_is_reported() -> None:
    whole = concurrent_callers.PartResult(
        0.0, scheduled=1930, sent=1930, statuses={200: 1900, 503: 28, 0: 2}, late_ms=[0.5] * 1930
    )
    found = list(rack_failure.client_points(600, 20.0, whole, whole, [1.0]))
    values = {item.figure: item.value for item in found if isinstance(item, Point)}
    assert len(values) == len(found) and (values["offered"], values["unanswered"]) == (193.0, 4)
    assert values["served_after"] == 1900 / 1930 and values["rig_late"] == pytest.approx(1.0, rel=0.01)
    for seconds, lags in ((20.0, [rack_failure.MAX_LATENESS_MS * 2]), (21.0, [1.0])):
        *_, last = rack_failure.client_points(600, seconds, whole, whole, lags)
        assert isinstance(last, NotPlayed) and "at 193 requests" in last.what


async def test_concurrent_callers_send_at_their_rate_and_count_each_request_once(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Requests are counted once even if a node closes connections, refuses them, or never responds."""

    class Breaks(endpoint_list.BackendStub):
        def data_received(self, data: bytes) -> None:
            self.transport.close()

    class Silent(endpoint_list.BackendStub):
        def data_received(self, data: bytes) -> None:
            pass

    loop = asyncio.get_running_loop()
    servers = [
        await loop.create_server(one, "127.0.0.1", 0) for one in (endpoint_list.BackendStub, Breaks, Silent)
    ]
    gone = await loop.create_server(asyncio.Protocol, "127.0.0.1", 0)
    ports = [server.sockets[0].getsockname()[1] for server in (*servers, gone)]
    gone.close()
    for port, status, wait in zip(ports, (200, 0, 0, 0), (60.0, 60.0, 0.2, 60.0), strict=True):
        # Only the node that never responds makes the callers wait for the whole timeout.
        monkeypatch.setattr(concurrent_callers, "ANSWER_TIMEOUT_S", wait)
        first, second = await concurrent_callers.send_all(
            concurrent_callers.Plan([port], 500.0, 0.1, 0.2), time.monotonic()
        )
        assert (first.scheduled, second.scheduled) == (50, 100)
        assert first.statuses.get(status) == 50 and second.statuses.get(status) == 100
        assert len(first.late_ms) == 50 and len(first.took_ms) == (50 if status else 0)
    for server in servers:
        server.close()


def test_quick_run_reports_that_node_processes_were_skipped() -> None:
    (play,) = dense_hosting.plays(True)
    (item,) = play.run(1)
    assert isinstance(item, NotPlayed) and "16 real processes" in item.what


@pytest.mark.parametrize("play", settings_tables.plays(True), ids=lambda play: play.name)
def test_memory_of_settings_grows_with_their_tables(play: Play) -> None:
    found = list(play.run(1))
    assert {p.figure for p in found if isinstance(p, Point)} == {"make", "reload", "memory"}
    sizes = sorted(n for (_, figure, n) in figures(found) if figure == "memory")
    memory_bytes = [figures(found)[play.name, "memory", n] for n in sizes]
    assert memory_bytes == sorted(memory_bytes) and len(sizes) >= 3


def test_stub_watchers_receive_all_events() -> None:
    found = figures(uvloop.run(discovery.play_watchers(12)))
    assert found["discovery", "join_calls", 12] == 12
    assert found["discovery", "join_failed", 12] == 0
    assert found["discovery", "tenth_calls", 12] == 2
    line = len(
        generated_inputs.encode_update([generated_inputs.entry(0, api.EndpointPhase.DRAINING)], 3, False)
    )
    assert found["discovery", "told", 12] == pytest.approx(12 * line, rel=0.02)


def test_bytes_of_bursts_and_of_a_day_are_exact() -> None:
    bursts = figures(uvloop.run(discovery.play_bursts((1, 40, 90))), exact=True)
    assert bursts["burst", "line", 40] == len(generated_inputs.encode_update(
        [generated_inputs.entry(n) for n in range(40)], 8, False))  # fmt: skip
    day = uvloop.run(discovery.play_day(160))
    again = uvloop.run(discovery.play_day(160))
    assert figures(day, exact=True) == figures(again, exact=True)
    assert sorted(n for (_, figure, n) in figures(day, exact=True)) == [10, 20, 40, 80, 160]


def test_all_plays_have_limits_and_a_target_size() -> None:
    for quick in (True, False):
        plays = runner.all_plays(quick)
        assert len({play.name for play in plays}) == len(plays)
        assert all(play.limits and play.target > 0 for play in plays)
    assert {"module", "list", "node", "routes", "tenants", "discovery"} <= {p.name for p in plays}


def test_sizes_span_the_range_that_a_slope_needs() -> None:
    """Slopes need five sizes over a factor of 16, up to the planned size where one machine can hold it."""
    for sizes in (decision_module.SIZES,
                  endpoint_list.SIZES,
                  endpoint_list.NODE_SIZES,
                  settings_tables.ROUTES,
                  settings_tables.TENANTS,
                  discovery.WATCHER_COUNTS):  # fmt: skip
        assert len(sizes) >= 5 and max(sizes) >= 16 * min(sizes)
    assert (
        decision_module.SIZES[-1] == endpoint_list.SIZES[-1] == endpoint_list.NODE_SIZES[-1] == size.BACKENDS
    )
    assert (settings_tables.ROUTES[-1], settings_tables.TENANTS[-1]) == (size.ROUTES, size.TENANTS)


# --- Tests of the runner and the command


def test_result_files_have_slopes_and_skipped_measurements(tmp_path: Path) -> None:
    result = runner.run([LINEAR_PLAY], 5, True, ignore_progress)
    runner.write(result, tmp_path)
    assert runner.read(tmp_path / "scale.json") == result
    table = json.loads((tmp_path / "scale.json").read_text())
    assert set(table) == {
        "version", "seed", "quick", "program", "python", "machine", "load", "seconds", "plays", "points",
        "slopes", "not_played",
    }  # fmt: skip
    assert table["not_played"] == [{"what": "module at 640", "why": "it never ended"}]
    (slope,) = result.slopes
    assert (slope.fit, round(slope.at_target, 6), slope.beyond) == ("linear", 1925.0, 4.0)
    page = (tmp_path / "scale.html").read_text()
    assert "it never ended" in page and "nothing is real" in page and "data:image/png" in page


def test_plays_after_the_time_limit_are_skipped(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(runner, "QUICK_TIME_LIMIT_S", -1.0)
    result = runner.run([LINEAR_PLAY], 1, True, ignore_progress)
    assert not result.points and [n.what for n in result.not_played] == ["planted"]


def test_command_writes_and_prints_the_result(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(command, "all_plays", lambda quick: [LINEAR_PLAY])
    done = CliRunner().invoke(app, ["lab", "scale", "--quick", "--json", "--out", str(tmp_path)])
    assert done.exit_code == 0, done.output
    assert json.loads(done.stdout)["quick"] is True
    assert (tmp_path / "scale.json").read_text() == done.stdout
    done = CliRunner().invoke(app, ["lab", "scale", "--quick", "--out", str(tmp_path)])
    assert done.exit_code == 0 and "it never ended" in done.stdout


def test_output_folder_that_cannot_be_created_is_reported_in_two_lines(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(command, "all_plays", lambda quick: [LINEAR_PLAY])
    (tmp_path / "file").write_text("")
    done = CliRunner().invoke(app, ["lab", "scale", "--quick", "--out", str(tmp_path / "file")])
    assert done.exit_code == 2 and len(done.stderr.strip().split("\n")) == 2

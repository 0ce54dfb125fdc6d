"""Tests of settings, of the simulator's wire protocol and of the process that runs the policy for it."""

from __future__ import annotations

import io
import json
import os
import shutil
import subprocess
import sys
import tomllib
from pathlib import Path

import pytest

from balancer import interface as api
from balancer import policy, simhost, wire
from balancer.settings import parse_settings_text

INFO = {
    "request-classes": [
        {"name": "read", "effect": "retryable", "give-up": 1000.0, "objective": 400.0, "value": 2}
    ],
    "limits": {"cancel": True, "most-tries": 3, "second-copies": True, "probing": False},
    "rules": {"answer-slack": 5.0, "cold-share": 0.2, "ramp-time": 9000.0, "fall": 1000.0},
    "load-info": {"how": "inline", "names": ["waiting", "active"]},
    "unknown-key": {"x": 1},
}
BOOT = json.dumps(INFO)
LIST = "DIRECTORY_UPDATE disk 1 2\nENTRY 0 k 1.1.1.1:1 1 up - a\nENTRY - k 1.1.1.2:1 1.5 up 61.5 b\n"
START = f"SYNC 1000\nCONTEXT 0\nSTART 7 {BOOT}\n{LIST}GO\n"


ORDER = "ORDER ab 0 - 2001 - - read 0\n"


def run(text: str) -> str:
    out = io.StringIO()
    simhost.serve(io.StringIO(text), out)
    return out.getvalue()


def test_settings_are_parsed_and_unknown_keys_ignored() -> None:
    got = parse_settings_text(BOOT)
    assert got.classes[0].latency_objective_ms == 400.0 and got.max_attempts == 3
    assert got.load_report_fields == ("waiting", "active")


@pytest.mark.parametrize(
    ("change", "named"),
    [
        ({"request-classes": []}, "request-classes is missing"),
        (
            {"request-classes": [{"name": "x", "effect": "odd", "give-up": 1}]},
            r"\.effect must be one of retryable, dedup, fragile, got 'odd'$",
        ),
        ({"request-classes": [{"name": "x", "effect": "dedup"}]}, r"request-classes\[0\].give-up is missing"),
        ({"rules": {"ramp-time": -1}}, "^rules.ramp-time must be a finite number of at least 0, got -1$"),
        ({"group-size": 0}, "^group-size must be an integer of at least 1, got 0$"),
        ({"group-size": 2.5}, "^group-size must be an integer of at least 1, got 2.5$"),
        ({"me": "x"}, "^me must be an integer of at least 0, got 'x'$"),
        ({"request-classes": 5}, "^request-classes must be a list of tables, got 5$"),
        ({"request-classes": [7]}, r"^request-classes\[0\] must be a table, got 7$"),
        (
            {"request-classes": [{"name": "x", "effect": 3, "give-up": 1}]},
            r"\.effect must be one of retryable, dedup, fragile, got 3$",
        ),
        (
            {"request-classes": [{"name": "x", "effect": "dedup", "give-up": 0}]},
            r"^request-classes\[0\]\.give-up must be a number greater than 0, got 0\.0$",
        ),
        ({"limits": [1]}, r"^limits must be a table, got \[1\]$"),
        ({"limits": {"cancel": "yes"}}, "^limits.cancel must be true or false, got 'yes'$"),
        ({"rules": {"cold-share": 1.5}}, "^rules.cold-share must be a number from 0 to 1, got 1.5$"),
        ({"granularity": float("nan")}, "^granularity must be a finite number of at least 0, got nan$"),
        ({"rules": {"fall": float("inf")}}, "^rules.fall must be a finite number of at least 0, got inf$"),
        ({"charges": {"probe": True}}, "^charges.probe must be a finite number of at least 0, got True$"),
        ({"projects": [{"quota-per-s": 3}]}, r"projects\[0\].name is missing"),
        ({"projects": ["t"]}, r"^projects\[0\] must be a table, got 't'$"),
        (
            {"load-info": {"how": "inline", "names": "active"}},
            "^load-info.names must be a list of strings, got 'active'$",
        ),
        ({"discovery": "guess"}, "^discovery must be one of automatic, subscribe, got 'guess'$"),
        ({"weight-source": "odd"}, "^weight-source must be one of off, nominal, rough, live, got 'odd'$"),
        ({"zone": 4}, "^zone must be a string, got 4$"),
    ],
)
def test_errors_of_invalid_settings_name_the_key_the_expectation_and_the_value(
    change: dict[str, object], named: str
) -> None:
    with pytest.raises(api.SettingsError, match=named):
        parse_settings_text(json.dumps(INFO | change))


def test_all_settings_are_parsed() -> None:
    raw = INFO | {
        "blend": {"nines": 0.2, "top-nines": 4.0, "slow-end": 0.3, "miss-allowed": 0.02, "whole": 0.5},
        "charges": {"peer": 0.01, "moves": 0.02, "origin": 0.03, "fleet": 0.04, "discovery": 0.05},
        "client-habits": {"marks-retry": True},
        "family-info": {"warm-keys": True, "passes-deadline": True},
        "kinds": ["k"], "failure-domains": ["a", "b"],
    }  # fmt: skip
    raw["limits"] = {
        "conn-idle": 5000.0, "streams-per-conn": 7, "max-open": 9, "cpu-us-per-s": 8000,
        "cpu-us-per-request": 2.5, "peers": True, "retry-after": True, "max-retry-after": 250.0,
    }  # fmt: skip
    got = parse_settings_text(json.dumps(raw))
    assert (
        got.score_weights.nines,
        got.score_weights.top_nines,
        got.score_weights.slow_end,
        got.score_weights.miss_allowed,
    ) == (0.2, 4.0, 0.3, 0.02)
    charges = got.charges
    assert (charges.peer, charges.moves, charges.origin, charges.fleet, charges.discovery) == (
        0.01, 0.02, 0.03, 0.04, 0.05)  # fmt: skip
    assert (
        got.clients_mark_retries and got.warm_keys and got.propagates_deadline and got.peer_messages_allowed
    )
    assert got.kinds == ("k",) and got.zones == ("a", "b")
    assert (got.connection_idle_ms, got.streams_per_connection, got.max_open_requests) == (5000.0, 7, 9)
    assert (got.cpu_us_per_s, got.cpu_us_per_request, got.max_retry_after_ms) == (8000.0, 2.5, 250.0)


def test_default_settings_are_conservative() -> None:
    bare = parse_settings_text(json.dumps({"request-classes": INFO["request-classes"]}))
    assert bare.cold_capacity_fraction < 1 and bare.slow_start_ms > 0 and bare.overload_multiple <= 1
    assert (
        bare.classes[0].deduplication_scope is api.DeduplicationScope.CELL
        and bare.classes[0].deduplication_window_ms == 0
    )
    assert not (
        bare.health_checks_allowed
        or bare.cancellation_allowed
        or bare.hedging_allowed
        or bare.peer_messages_allowed
    )
    assert bare.max_attempts == 1 and bare.must_subscribe


def test_load_reports_list_entries_and_list_updates_are_parsed() -> None:
    names = ("active", "waiting", "cpu", "avg_ms")
    assert wire.parse_report("1,2,0.5,7.5", names) == api.LoadReport(1.0, 2.0, 0.5, 7.5)
    assert wire.parse_report("3,4", ("rps", "err_rps")) == api.LoadReport(
        requests_per_s=3.0, errors_per_s=4.0
    )
    assert wire.parse_report("9,1", ("new-value", "active")) == api.LoadReport(1.0)
    got = wire.parse_entry("ENTRY 3 big 1.1.1.1:1 1.5 draining 61.5 b")
    assert got == api.Endpoint("1.1.1.1:1", "b", 3, 1.5, api.EndpointPhase.DRAINING, 61.5, "big")
    assert wire.parse_list_update("DIRECTORY_UPDATE diff 41 2") == (
        api.ListUpdate(api.ListUpdateKind.DELTA, [], 41),
        2,
    )


def test_all_kinds_of_events_are_parsed() -> None:
    names = ("waiting", "active")
    assert wire.parse_event("WAKE 77", names) == api.TimerFired(77)
    assert wire.parse_event("CANCELLED_BY_CLIENT ab", names) == api.ClientDisconnected("ab")
    assert wire.parse_event("ACCEPTED ab 1 h:1 9.25", names) == api.ResponseStarted("ab", 1, "h:1", 9.25)
    assert wire.parse_event("HEARD 2 6869", names) == api.PeerMessage(2, b"hi")
    assert wire.parse_event("SAMPLED pass 1.4 h:1 3,-", names) == api.HealthCheckEnded(
        "h:1", api.AttemptStatus.OK, 1.4, api.LoadReport(None, 3.0)
    )
    assert wire.parse_event("ORDER ab 0 - 2000.5 - - read 0", names) == api.RequestArrived(
        "ab", "read", 2000.5
    )
    assert wire.parse_event("ORDER ab 1 k:1 2000.5 t 12.5 read 1", names) == api.RequestArrived(
        "ab", "read", 2000.5, True, "k:1", "t", 12.5, True
    )
    words = ["pass", "fault", "no_room", "too_slow", "no_route", "cut", "undone", "stale_send"]
    for word, status in zip(words, api.AttemptStatus, strict=True):
        got = wire.parse_event(f"RESOLVED ab 0 h:1 {word} 1 0 -", names)
        assert got == api.AttemptEnded("ab", 0, "h:1", status, 1.0, False, None)


def test_all_kinds_of_actions_are_formatted() -> None:
    assert wire.format_action(api.StartAttempt("ab", "h:1", 80.0)) == "PLACE ab 80.0 h:1"
    assert wire.format_action(api.RejectRequest("ab", 250.0)) == "PUSH_BACK ab 250.0"
    assert wire.format_action(api.FailRequest("ab")) == "SURRENDER ab"
    assert wire.format_action(api.CancelAttempt("ab", 1)) == "ABANDON ab 1"
    assert wire.format_action(api.SetTimer(8912.25, 7)) == "NOTIFY_ME 8912.25 7"
    assert wire.format_action(api.CheckHealth("h:1")) == "INSPECT h:1"
    assert wire.format_action(api.WatchEndpoints()) == "TAIL 1"
    assert wire.format_action(api.WatchEndpoints(False)) == "TAIL 0"
    assert wire.format_action(api.FetchEndpoints()) == "LIST_ALL"
    assert wire.format_action(api.CloseIdleConnections("h:1")) == "SHUT_IDLE h:1"
    assert wire.format_action(api.SendPeerMessage(None, b"hi")) == "WRITE_PEER all 6869"
    assert wire.format_action(api.SendPeerMessage(3, b"")) == "WRITE_PEER 3 -"
    assert wire.format_action(api.WriteLog("two\nlines")) == "LOG two lines"


@pytest.mark.parametrize(
    ("text", "named"),
    [
        ("HELLO\n", "expected SYNC"),
        ("SYNC x\nGO\n", "malformed line"),
        ("SYNC 1\nCONTEXT 3\nWAKE 1\nGO\n", "instance 3, which was never started"),
        ("SYNC 1\nCONTEXT 0\n", "input ended inside a batch"),
        (START + "SYNC 1001\nCONTEXT 0\nNONSENSE 1\nGO\n", "unknown message"),
        (START + "SYNC 1001\nCONTEXT 0\nORDER ab 0\nGO\n", "malformed line"),
        (START + "SYNC 1001\nCONTEXT 0\nDIRECTORY_UPDATE diff 2 1\nENTRY 0\nGO\n", "malformed list entry"),
        (START + "SYNC 1001\nCONTEXT 0\nDIRECTORY_UPDATE diff 2 -1\nGO\n", "malformed list update"),
        (START + "SYNC 1001\nCONTEXT 0\nDIRECTORY_UPDATE diff 2 many\nGO\n", "malformed list update"),
        (START + "SYNC 1001\nCONTEXT 0\nDIRECTORY_UPDATE diff 2 3\nGO\n", "malformed list entry"),
        (START + "SYNC 1001\nCONTEXT 0\nORDER ab 0 - nan - - read 0\nGO\n", "malformed line"),
        (START + "SYNC 1001\nCONTEXT 0\nSAMPLED pass 1 h:1 1,2,3\nGO\n", "malformed line"),
        ("SYNC nan\nGO\n", "malformed line"),
        (f"SYNC 1\nSTART 7 {BOOT}\nGO\n", "malformed line"),
        ("SYNC 1\nCONTEXT x\nGO\n", "malformed line"),
    ],
)
def test_invalid_input_raises_a_wire_error_that_names_the_fault(text: str, named: str) -> None:
    with pytest.raises(wire.WireError, match=named):
        run(text)


def test_invalid_input_ends_the_process_with_one_line_on_standard_error() -> None:
    got = subprocess.run(
        [sys.executable, "-m", "balancer.simhost"],
        input="HELLO\n",
        capture_output=True,
        text=True,
        check=False,
    )
    assert got.returncode == 2 and got.stderr.count("\n") == 1 and "Traceback" not in got.stderr


def test_the_deploy_file_builds_and_starts_the_simulator_host(tmp_path: Path) -> None:
    """The platform builds once, then starts the program by a shell in a read-only tree."""
    root = Path(__file__).parents[1]
    for name in ("balancer", "deploy", "requirements.txt"):
        source = root / name
        if source.is_dir():
            shutil.copytree(source, tmp_path / name, ignore=shutil.ignore_patterns("__pycache__"))
        else:
            shutil.copy(source, tmp_path / name)
    deploy = tomllib.loads((tmp_path / "deploy" / "balancer.toml").read_text(encoding="utf-8"))
    assert all((tmp_path / name).is_file() for name in deploy["policy"])
    subprocess.run(["/bin/sh", "-c", deploy["build"]], cwd=tmp_path, check=True)
    subprocess.run(["chmod", "-R", "a-w", str(tmp_path)], check=True)
    env = {"PATH": os.environ["PATH"], "TMPDIR": str(tmp_path)}
    order = "SYNC 1001\nCONTEXT 0\nORDER ab 0 - 2001 - - read 0\nGO\n"

    def start(text: str) -> subprocess.CompletedProcess[str]:
        command = ["/bin/sh", "-c", deploy["sim"]]
        return subprocess.run(
            command, input=text, cwd=tmp_path, env=env, capture_output=True, text=True, check=False
        )

    good = start(START + order)
    assert good.returncode == 0 and "PLACE ab" in good.stdout and good.stdout.count("FINISHED") == 2
    bad = start(START.replace("1000.0", "-1000.0", 1))
    assert bad.returncode == 2 and bad.stderr.count("\n") == 1
    assert "give-up" in bad.stderr and "-1000.0" in bad.stderr and "Traceback" not in bad.stderr
    subprocess.run(["chmod", "-R", "u+w", str(tmp_path)], check=True)


def test_the_deploy_file_lists_all_modules_of_the_policy() -> None:
    """The platform prints and stores the text of the listed modules; one left out would be missing there."""
    root = Path(__file__).parents[1]
    deploy = tomllib.loads((root / "deploy" / "balancer.toml").read_text(encoding="utf-8"))
    package = sorted(str(path.relative_to(root)) for path in (root / "balancer" / "policy").glob("**/*.py"))
    assert deploy["policy"] == ["balancer/interface.py", *package]


def test_unusual_but_valid_batches_are_handled_without_an_exception() -> None:
    head = START + "SYNC 1001\nCONTEXT 0\n"
    for body in (
        "RESOLVED ff 0 1.1.1.1:1 pass 1 1 -\nGO\n",
        "CANCELLED_BY_CLIENT ff\nWAKE 99\nACCEPTED ff 0 1.1.1.1:1 3\nHEARD 2 6869\nGO\n",
        "DIRECTORY_UPDATE snapshot 2 0\nORDER ab 0 - 2001 - - read 0\nGO\n",
        "ORDER ab 0 - 900 new-tenant - read 0\nGO\n",
        ORDER + "DIRECTORY_UPDATE snapshot 2 0\nRESOLVED ab 0 1.1.1.1:1 cut 1 0 -\nGO\n",
        f"DIRECTORY_UPDATE diff 2 1\nENTRY 4 z 9.9.9.9:9 1 up 5000 nowhere\n{ORDER}GO\n",
        "DIRECTORY_UPDATE diff 2 1\nENTRY 4 z 9.9.9.9:9 1 removed - nowhere\nGO\n",
    ):
        out = run(head + body)
        assert out.count("FINISHED") == 2 and "EXCEPTION" not in out, body


def test_stop_and_start_in_one_batch_create_a_new_instance() -> None:
    text = START + f"SYNC 1001\nCONTEXT 0\nORDER ab 0 - 2001 - - read 0\nSTOP\nSTART 8 {BOOT}\n{LIST}GO\n"
    out = run(text + "SYNC 1002\nCONTEXT 0\nRESOLVED ab 0 1.1.1.1:1 pass 1 1 -\nGO\n")
    assert out.count("FINISHED") == 3 and "EXCEPTION" not in out


def test_an_exception_in_the_policy_is_reported(monkeypatch: pytest.MonkeyPatch) -> None:
    def raise_index_error(*_: object) -> None:
        raise IndexError("off the end")

    monkeypatch.setattr(policy.Balancer, "handle", raise_index_error)
    assert "EXCEPTION IndexError: off the end" in run(START)


def _script() -> str:
    lines = []
    for i in range(60):
        lines.append(f"SYNC {1001 + i}")
        for instance in (0, 1):
            lines += [f"CONTEXT {instance}", f"ORDER {i:016x} 0 - {2001 + i} - - read 0"]
        lines.append("GO")
    starts = "".join(f"CONTEXT {instance}\nSTART {instance + 5} {BOOT}\n{LIST}" for instance in (0, 1))
    return f"SYNC 1000\n{starts}GO\n" + "\n".join(lines) + "\n"


def test_actions_do_not_depend_on_the_hash_seed() -> None:
    outs = {
        subprocess.run(
            [sys.executable, "-m", "balancer.simhost"],
            input=_script(), capture_output=True, text=True, check=True,
            env={**os.environ, "PYTHONHASHSEED": seed, "PYTHONPATH": str(Path(__file__).parents[1])},
        ).stdout
        for seed in ("0", "1", "77")
    }  # fmt: skip
    assert len(outs) == 1


def test_instances_act_the_same_alone_and_together() -> None:
    def only(text: str, instance: int) -> str:
        keep, mine = [], True
        for line in text.splitlines():
            word = line.split(" ")[0]
            if word in ("SYNC", "GO"):
                mine = True
            elif word == "CONTEXT":
                mine = line == f"CONTEXT {instance}"
            if mine:
                keep.append(line)
        return "\n".join(keep) + "\n"

    def acts(text: str, instance: int) -> list[str]:
        out, section = [], -1
        for line in text.splitlines():
            if line.startswith("SPEAKING"):
                section = int(line.split(" ")[1])
            elif line != "FINISHED" and section == instance:
                out.append(line)
        return out

    both = run(_script())
    for instance in (0, 1):
        assert acts(run(only(_script(), instance)), instance) == acts(both, instance)

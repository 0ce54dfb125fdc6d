"""Test that SIGHUP applies new settings completely or not at all, and not to requests in progress."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable
from dataclasses import replace
from pathlib import Path
from typing import Any

import pytest

from balancer import interface as api
from balancer.net.config import load, reload
from balancer.net.config_errors import ConfigError
from balancer.policy import Balancer
from tests.helpers import BASE, KEYED, SAFE, UNSAFE, answers, node, sends
from tests.sockets import CLASSES, Backend, Message, echo, node_config, running_node
from tests.test_console import CONSOLE


def fail_attempt(balancer: Balancer, request: str, attempt: int, backend: str) -> list[api.Action]:
    """End an attempt with an error that leaves open whether the request took effect."""
    ended = api.AttemptEnded(request, attempt, backend, api.AttemptStatus.ERROR, 10.0, False)
    return balancer.handle(1020.0 + attempt, ended)


def test_requests_in_progress_keep_their_class_and_later_ones_get_the_new_class() -> None:
    balancer = node(BASE, ["b0", "b1", "b2"])
    first = sends(balancer.handle(1001.0, api.RequestArrived("old", "pay", deadline=2001.0)))
    stricter = replace(KEYED, idempotency=api.Idempotency.NOT_IDEMPOTENT, latency_objective_ms=300.0)
    balancer.handle(1010.0, api.Reconfigured(replace(BASE, classes=(SAFE, stricter))))
    assert len(sends(fail_attempt(balancer, "old", 0, first[0].backend))) == 1
    later = sends(balancer.handle(1030.0, api.RequestArrived("new", "pay", deadline=2030.0)))
    assert isinstance(answers(fail_attempt(balancer, "new", 0, later[0].backend))[0], api.FailRequest)
    with pytest.raises(api.CallError):
        balancer.handle(1040.0, api.RequestArrived("gone", UNSAFE.name, deadline=2040.0))


@pytest.mark.parametrize(
    ("limit_at_arrival", "new_limit", "attempt_count"), [(3, 1, 3), (1, 3, 1), (2, 3, 2), (3, 2, 3)]
)
def test_the_attempt_limit_is_the_one_at_arrival(
    limit_at_arrival: int, new_limit: int, attempt_count: int
) -> None:
    balancer = node(replace(BASE, max_attempts=limit_at_arrival), ["b0", "b1", "b2", "b3"])
    sent = sends(balancer.handle(1001.0, api.RequestArrived("r", "read", deadline=2001.0)))
    balancer.handle(1010.0, api.Reconfigured(replace(BASE, max_attempts=new_limit)))
    while len(sent) < 5 and (more := sends(fail_attempt(balancer, "r", len(sent) - 1, sent[-1].backend))):
        sent += more
    assert len(sent) == attempt_count


def test_statistics_of_a_class_survive_new_settings() -> None:
    balancer = node(BASE, ["b0"])
    balancer.classes.by_name["read"].expected_ms = 77.0
    balancer.handle(
        1010.0, api.Reconfigured(replace(BASE, classes=(replace(SAFE, latency_objective_ms=90.0), UNSAFE)))
    )
    assert (
        balancer.classes.by_name["read"].expected_ms,
        balancer.classes.by_name["read"].config.latency_objective_ms,
    ) == (77.0, 90.0)
    assert balancer.ejection.longest_objective_ms == UNSAFE.latency_objective_ms


def without_key(*path: str | int) -> Callable[[dict[str, Any]], object]:
    """Return a function that removes one key from a configuration."""

    def change(raw: dict[str, Any]) -> None:
        table: Any = raw
        for part in path[:-1]:
            table = table[part]
        del table[path[-1]]

    return change


def with_class_value(name: str, value: object) -> Callable[[dict[str, Any]], object]:
    """Return a function that changes one value of the first request class."""
    return lambda raw: raw["settings"]["request-classes"][0].update({name: value})


def with_limit(name: str, value: object) -> Callable[[dict[str, Any]], object]:
    """Return a function that changes one value of the limits in the settings."""
    return lambda raw: raw["settings"]["limits"].update({name: value})


@pytest.mark.parametrize(
    ("change", "field"),
    [
        (without_key("settings"), "settings"),
        (without_key("discovery"), "discovery"),
        (without_key("settings", "limits", "most-tries"), "settings.limits.most-tries"),
        (without_key("settings", "request-classes"), "settings.request-classes"),
        (without_key("settings", "request-classes", 0, "give-up"), "request-classes[0].give-up"),
        (without_key("settings", "request-classes", 1, "objective"), "request-classes[1].objective"),
        (with_class_value("give-up", 0), "request-classes[0].give-up"),
        (with_class_value("give-up", -5), "request-classes[0].give-up"),
        (with_class_value("give-up", True), "request-classes[0].give-up"),
        (with_class_value("give-up", "400"), "request-classes[0].give-up"),
        (with_class_value("give-up", float("nan")), "request-classes[0].give-up"),
        (with_class_value("name", "pay"), "request-classes[1].name"),
        (with_limit("most-tries", 0), "limits.most-tries"),
        (with_limit("most-tries", 1.5), "limits.most-tries"),
        (with_limit("most-tries", False), "limits.most-tries"),
    ],
)
def test_an_incomplete_or_invalid_file_is_rejected(
    tmp_path: Path, change: Callable[[dict[str, Any]], object], field: str
) -> None:
    path, raw = tmp_path / "config.json", json.loads(json.dumps(node_config([], 1)))
    path.write_text(json.dumps(raw))
    current = load({"PROXY_CONFIG": str(path)})
    assert reload({"PROXY_CONFIG": str(path)}, current) == current
    change(raw)
    path.write_text(json.dumps(raw))
    with pytest.raises(ConfigError) as err:
        reload({"PROXY_CONFIG": str(path)}, current)
    assert field in str(err.value)


async def test_a_reload_adds_and_removes_classes_and_an_invalid_file_changes_nothing(
    tmp_path: Path,
) -> None:
    go = asyncio.Event()

    async def slow(backend: Backend, message: Message, writer: asyncio.StreamWriter) -> None:
        if message.start_line.startswith("GET /read "):
            await go.wait()
        await echo(backend, message, writer)

    backend = Backend("b0", slow)
    async with running_node(tmp_path, backend, console=CONSOLE) as rig:
        before = json.loads(rig.config.read_text())
        kept, other, third = await rig.connect(), await rig.connect(), await rig.connect()
        kept.send("/read")
        await backend.requests.get()
        fresh = json.loads(json.dumps(before))
        fresh["settings"]["request-classes"] = [CLASSES[2], CLASSES[0] | {"name": "read-2"}]
        for text in ("", json.dumps(fresh)[:-40], json.dumps(fresh | {"settings": {}})):
            rig.reload(text)
            await rig.wait_for_log("the configuration is unchanged")
            rig.log.clear()
        assert (await other.request("/read-2")).status == 404
        rig.reload(json.dumps(fresh))
        await rig.wait_for_log("reload: classes once read-2")
        assert (await third.request("/read-2")).status == 200
        assert (await third.request("/read")).status == 404
        go.set()
        assert (await kept.read_response()).status == 200
        got = await rig.stats()
        assert (got["config_reloads"], got["config_reload_errors"]) == (1, 3)
        assert got["completed"] == {"once": 0, "read-2": 1, "read": 1}


@pytest.mark.parametrize("late_weight_fraction", [0.0, 0.5])
def test_a_class_with_a_shorter_objective_is_not_shed(late_weight_fraction: float) -> None:
    """Guards against shedding a whole class, which then never learns that its new objective can be met."""
    read = replace(SAFE, late_weight_fraction=late_weight_fraction)
    shorter = replace(
        read, latency_objective_ms=read.latency_objective_ms / 8, deadline_ms=read.deadline_ms / 16
    )
    balancer = node(replace(BASE, classes=(read,)), ["b0"])
    learned = balancer.learned_state(1005.0)
    balancer.handle(1010.0, api.Reconfigured(replace(BASE, classes=(shorter,))))
    successor = node(replace(BASE, classes=(shorter,)), ["b0"])
    successor.handle(1010.0, api.LearnedStateRestored(learned, 0.0))
    for one in (balancer, successor):
        assert sends(one.handle(1020.0, api.RequestArrived("r", "read", 1020.0 + shorter.deadline_ms)))

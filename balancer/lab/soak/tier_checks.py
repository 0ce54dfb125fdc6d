"""Checks that the views, ban registers and bans of a tier agree some time after its last fault."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from http import HTTPStatus
from pathlib import Path
from typing import Any

from balancer.lab import records
from balancer.lab.processes import call_console
from balancer.lab.run import MaintenanceCall, Run

AGREEMENT_MS = 10_000.0  # All nodes must agree within 10 s after the last fault.
MAX_NAMED_ATTEMPTS = 3
TRACEBACK = "Traceback (most recent call last)"
MAX_TRACEBACK_CHARACTERS = 1500


@dataclass(slots=True, frozen=True)
class Finding:
    """A violation that a check has found."""

    check: str
    text: str


@dataclass(slots=True, frozen=True)
class NodeStats:
    """The state of the tier that one node's console reports."""

    node: int
    fleet: dict[str, Any]


async def read_stats(run: Run) -> list[NodeStats]:
    """Read the `fleet` object from the console of each running node, omitting nodes that do not answer."""
    nodes = [node for node in run.fleet.nodes if node.alive()]
    consoles = [run.addresses.console(n.number, n.alive()[-1].record.process) for n in nodes]
    answers = await asyncio.gather(*(call_console(console, "GET", "/stats") for console in consoles))
    return [
        NodeStats(node.number, json.loads(body).get("fleet", {}))
        for node, (status, body) in zip(nodes, answers, strict=True)
        if status == HTTPStatus.OK
    ]


def check_agreement(nodes: int, stats: list[NodeStats]) -> Iterator[Finding]:
    """Yield a finding for each disagreement on view or ban register, and for each failure of a node."""
    silent = sorted(set(range(nodes)) - {each.node for each in stats})
    if silent:
        yield Finding("agree", f"nodes {silent} do not answer calls to their consoles")
    not_participating = [each.node for each in stats if not _participates(each)]
    if not_participating:
        yield Finding("agree", f"nodes {not_participating} do not participate in the tier")
    stats = [each for each in stats if _participates(each)]
    views = {each.node: _view_of(each) for each in stats}
    if len(set(views.values())) > 1 or any(present != nodes for _, present in views.values()):
        yield Finding("agree", f"nodes disagree on the view or the number of present nodes: {views}")
    registers = {each.node: each.fleet["recovery"]["register"] for each in stats}
    if len(set(registers.values())) > 1:
        yield Finding("agree", f"nodes disagree on the ban register: {registers}")
    for each in stats:
        if each.fleet["recovery"]["failed"]:
            yield Finding("defect", f"n{each.node}: recovery has failed")
        defects = {part: each.fleet[part]["counts"]["defects"] for part in ("membership", "recovery")}
        if any(defects.values()):
            yield Finding("defect", f"n{each.node}: defects counted by each part: {defects}")


def _participates(stats: NodeStats) -> bool:
    return "view" in stats.fleet.get("membership", {}) and "recovery" in stats.fleet


def _view_of(stats: NodeStats) -> tuple[str, int]:
    membership = stats.fleet["membership"]
    return membership["view"], membership["present_nodes"]


def check_bans(
    last_fault_ms: float, calls: Iterable[MaintenanceCall], attempts: Iterable[records.BackendAttemptRecord]
) -> Iterator[Finding]:
    """Yield the successful bans that no other call may have lifted and that some node violates."""
    all_calls = list(calls)
    sent = list(attempts)
    for ban in all_calls:
        if not ban.is_out or not ban.succeeded:
            continue
        if any(each.may_lift(ban) for each in all_calls):
            continue
        bound = max(ban.answered_at, last_fault_ms) + AGREEMENT_MS
        broken = [each for each in sent if each.backend == ban.backend and each.first_byte_at > bound]
        if broken:
            nodes = sorted({each.node for each in broken})
            idents = [each.ident for each in broken[:MAX_NAMED_ATTEMPTS]]
            yield Finding(
                "ban",
                f"s{ban.backend} was banned at n{ban.node} ({ban.answered_at:.0f} ms); "
                f"{len(broken)} attempts by nodes {nodes} after {bound:.0f} ms: {idents}",
            )


def check_logs(logs: Path) -> Iterator[Finding]:
    """Yield a finding with the first traceback in each node's log."""
    for path in sorted(logs.glob("n*.log")):
        text = path.read_text("utf-8", "replace")
        at = text.find(TRACEBACK)
        if at >= 0:
            begin = text.rfind("\n", 0, max(0, at - 1)) + 1
            yield Finding("traceback", f"{path.name}: {text[begin : begin + MAX_TRACEBACK_CHARACTERS]}")

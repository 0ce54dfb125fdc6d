"""`balancer fleet recovery`: progress of the recovery of a node."""

from __future__ import annotations

import msgspec
from rich.console import Group, RenderableType
from rich.text import Text

from balancer.cli.fleet import (
    ConsoleError,
    ConsoleOption,
    JsonOption,
    NotInTierError,
    WatchOption,
    format_duration,
    print_snapshots,
    read_fleet_stats,
)
from balancer.cli.output import error_exit
from balancer.recovery.stats import NOT_TRUSTED, RecoveryStats

MAX_SHOWN_NODES = 20
COLOURS = {"verify": "red", "ask": "red", "listed": "yellow", "warming": "yellow", "full": "green"}


def read_recovery(console: str) -> RecoveryStats:
    """Read the recovery statistics from a console.

    Raises:
        typer.Exit: There is no valid response, or recovery is disabled on the node.
    """
    table = read_fleet_stats(console).recovery
    if table is None:
        message = f"{console}: recovery is disabled on the node (PROXY_FLEET names no file with [recovery])"
        raise error_exit(NotInTierError(message))
    try:
        return msgspec.convert(table, RecoveryStats)
    except msgspec.ValidationError as err:
        raise error_exit(ConsoleError(f"{console} returned no valid recovery statistics: {err}")) from None


def render_recovery(stats: RecoveryStats) -> RenderableType:
    """Return the progress of a recovery as lines of text."""
    lines = [
        _phase_line(stats),
        f"reports from {stats.reported_peers} of {stats.peers} peers; "
        f"waiting for {_awaited(stats.awaited_peers)}",
        _trust_line(stats.trusted),
        f"{stats.bans} bans in {stats.entries} register rows, register hash {stats.register_hash}",
        _list_line(stats),
        f"counts: {', '.join(f'{name} {count}' for name, count in sorted(stats.counts.items())) or 'none'}",
    ]
    if stats.failed:
        lines.append(
            "[red]recovery has failed because of a defect (see the log); the node continues without it[/]"
        )
    return Group(*(Text.from_markup(line) for line in lines))


def _phase_line(stats: RecoveryStats) -> str:
    colour = COLOURS.get(stats.phase, "")
    until = (
        f", {format_duration(stats.remaining_ms)} remaining at most" if stats.remaining_ms is not None else ""
    )
    return f"phase [{colour}]{stats.phase}[/] for {format_duration(stats.since_ms)}{until}, path {stats.path}"


def _awaited(nodes: list[int]) -> str:
    shown = ", ".join(map(str, nodes[:MAX_SHOWN_NODES])) or "none"
    hidden = len(nodes) - MAX_SHOWN_NODES
    return f"{shown} and {hidden} more" if hidden > 0 else shown


def _trust_line(trusted: dict[str, str]) -> str:
    used = [f"{kind} ({level})" for kind, level in trusted.items() if level != NOT_TRUSTED]
    unused = [kind for kind, level in trusted.items() if level == NOT_TRUSTED]
    return f"saved state: used {', '.join(used) or 'nothing'}; not used {', '.join(unused) or 'nothing'}"


def _list_line(stats: RecoveryStats) -> str:
    source = "from discovery" if stats.endpoint_list.fresh else "from saved state"
    return (
        f"endpoint list: revision {stats.endpoint_list.revision} {source}, "
        f"{stats.endpoint_list.restricted} backends avoided; "
        f"usable share of the capacity of cold backends {stats.share:.1%}"
    )


def is_complete(stats: RecoveryStats) -> bool:
    """Return whether the recovery is complete."""
    return stats.phase == "full"


def recovery(console: ConsoleOption, as_json: JsonOption = False, watch: WatchOption = False) -> None:
    """Show the recovery from a power loss. Exit code 0: complete; 1: not yet; 2: no valid response."""
    raise print_snapshots(
        console, as_json, watch, read_recovery, msgspec.to_builtins, render_recovery, is_complete
    )

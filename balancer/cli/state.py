"""`balancer state`: verify, show or compact the directory of a node's durable state.

Exit code 0: the directory is valid; 1: some of its data is damaged or missing; 2: it cannot be read, or must
not be changed.
"""

from __future__ import annotations

import json
import time
from dataclasses import asdict, dataclass
from pathlib import Path
from typing import Annotated

import typer
from rich.console import Console
from rich.table import Table

from balancer.cli.output import ExitCode, error_exit
from balancer.durable.filesystem import SystemDirectory
from balancer.durable.reader import DirectoryContents, read_directory
from balancer.durable.state import DurableState, replay
from balancer.durable.timestamp import Timestamp
from balancer.durable.writer import LogWriter
from balancer.errors import BalancerError

app = typer.Typer(help="Verify, show or compact the durable state of a node.", no_args_is_help=True)

MS_PER_S = 1000


class StateDirectoryError(BalancerError):
    """A directory of durable state is missing or cannot be read."""

    code = "CLI05"
    remedy = "name the directory in durable.directory, as a user with permission to read it"


class DirectoryInUseError(BalancerError):
    """A directory of durable state must not be changed while a process of its node uses it."""

    code = "CLI06"
    remedy = "stop the node first; the node also compacts the directory when it starts"


DirectoryArgument = Annotated[
    Path, typer.Argument(metavar="FOLDER", help="The directory in durable.directory.")
]
JsonOption = Annotated[bool, typer.Option("--json", help="Print the result as JSON on standard output.")]


@dataclass(frozen=True)
class Verification:
    """The result of verifying a directory; its fields are the keys of the JSON output."""

    sound: bool
    lost: bool
    records: int
    files: int
    bytes: int
    generation: int
    fence: int
    notes: list[str]

    @classmethod
    def of(cls, contents: DirectoryContents) -> Verification:
        """Summarise the contents of a directory."""
        return cls(
            sound=not contents.problems,
            lost=contents.has_lost_records,
            records=contents.last_number,
            files=contents.file_count,
            bytes=contents.size_bytes,
            generation=contents.generation,
            fence=contents.fence,
            notes=contents.problems,
        )


def _read(path: Path) -> DirectoryContents:
    """Read a directory of durable state; raises typer.Exit and prints the reason if that fails."""
    try:
        if not path.is_dir():
            raise error_exit(StateDirectoryError(f"{path} is not a directory"))
        return read_directory(SystemDirectory(path))
    except (BalancerError, OSError) as err:
        raise _error_exit_for(path, err) from None


def _replay(path: Path, contents: DirectoryContents) -> DurableState:
    """Restore the state from the records; raises typer.Exit and prints the reason if that fails."""
    try:
        return replay(contents.snapshot, contents.records)
    except BalancerError as err:
        raise _error_exit_for(path, err) from None


def _error_exit_for(path: Path, err: BalancerError | OSError) -> typer.Exit:
    kind = type(err) if isinstance(err, BalancerError) else StateDirectoryError
    return error_exit(kind(f"{path}: {err}"))


def _exit_for(contents: DirectoryContents) -> typer.Exit:
    return typer.Exit(ExitCode.CHECK_FAILED if contents.problems else ExitCode.OK)


@app.command()
def verify(path: DirectoryArgument, as_json: JsonOption = False) -> None:
    """Verify every record without changing anything; the node may be running."""
    contents = _read(path)
    _replay(path, contents)
    if as_json:
        print(json.dumps(asdict(Verification.of(contents))))
    else:
        print(
            f"{contents.last_number} records in {contents.file_count} files of {contents.size_bytes} bytes, "
            f"generation {contents.generation}, fence {contents.fence}"
        )
        for problem in contents.problems:
            print(problem)
        print(_verdict(contents))
    raise _exit_for(contents)


def _verdict(contents: DirectoryContents) -> str:
    if not contents.problems:
        return "sound"
    if contents.has_lost_records:
        return "acknowledged records are lost"
    return "no acknowledged record is lost"


def _format_time(unix_ms: float) -> str:
    return time.strftime("%Y-%m-%d %H:%M:%S", time.gmtime(unix_ms / MS_PER_S)) + " UTC"


@app.command()
def show(path: DirectoryArgument, as_json: JsonOption = False) -> None:
    """Show the state that the node would restore if it started now."""
    contents = _read(path)
    state = _replay(path, contents)
    sample = state.learned_sample
    age_ms = None if sample is None else sample.taken_at.age_ms(Timestamp.now())
    if as_json:
        print(json.dumps(_as_json(state, age_ms)))
    else:
        Console().print(_as_table(state, age_ms))
    raise _exit_for(contents)


def _as_json(state: DurableState, learned_age_ms: float | None) -> dict[str, object]:
    sample = state.learned_sample
    return {
        "out": state.banned,
        "back": state.lifted,
        "revision": state.list_revision,
        "heard": state.list_received_at_ms,
        "backends": len(state.endpoints),
        "life": state.incarnation,
        "learned_age_ms": learned_age_ms,
        "learned": None if sample is None else asdict(sample.learned),
        "unknown": len(state.unknown_records),
    }


def _as_table(state: DurableState, learned_age_ms: float | None) -> Table:
    table = Table(show_header=False)
    for backend, since_ms in sorted(state.banned.items()):
        table.add_row("banned", f"{backend} since {_format_time(since_ms)}")
    for backend, at_ms in sorted(state.lifted.items()):
        table.add_row("ban lifted", f"{backend} at {_format_time(at_ms)}")
    received = f"received {_format_time(state.list_received_at_ms)}"
    endpoints = f"revision {state.list_revision}, {len(state.endpoints)} backends, {received}"
    table.add_row("endpoint list", endpoints if state.endpoints else "none")
    table.add_row("incarnation", str(state.incarnation))
    if state.learned_sample is not None and learned_age_ms is not None:
        learned = state.learned_sample.learned
        age = f"at least {learned_age_ms / MS_PER_S:.1f} s ago"
        table.add_row("learned state", f"{age}: limit {learned.limit:.1f}, {len(learned.backends)} backends")
    return table


@app.command()
def compact(path: DirectoryArgument, as_json: JsonOption = False) -> None:
    """Start a new generation, as a start of the node does; no process of the node may be running."""
    before = _read(path)
    _replay(path, before)
    if not before.node:
        raise error_exit(StateDirectoryError(f"{path}: the directory contains no durable state"))
    directory = SystemDirectory(path)
    try:
        with directory.exclusive_use():
            LogWriter(directory, before.node, before.directory_id, _snapshot_of).close()
    except BlockingIOError:
        raise error_exit(DirectoryInUseError(f"{path}: a process of the node uses it")) from None
    except (BalancerError, OSError) as err:
        raise _error_exit_for(path, err) from None
    after = _read(path)
    _replay(path, after)
    if as_json:
        comparison = {"before": asdict(Verification.of(before)), "after": asdict(Verification.of(after))}
        print(json.dumps(comparison))
    else:
        print(f"{before.size_bytes} bytes before, {after.size_bytes} bytes after")
    raise _exit_for(after)


def _snapshot_of(contents: DirectoryContents) -> bytes:
    return replay(contents.snapshot, contents.records).encode_snapshot()

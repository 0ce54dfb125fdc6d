"""Two writers on one directory, in every order in which their calls to the disk can fall.

Stateless model checking over the store itself: each schedule is played from the start; where both writers
have a call to make, both orders are tried, depth first, with as many changes of turn as allowed. Whatever the
order: a record that was said yes to is there at the end, and none is there twice. Source: CHESS (Musuvathi
et al. 2008), whose bound on preemptions this is.
"""

from __future__ import annotations

import contextlib
import threading
from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass, field

from balancer.durable.files import Files
from balancer.durable.store import Fenced, Store, load
from balancer.sim.crash import NAME, NODE, fold, snapshot
from balancer.sim.disk import Disk, DiskFiles

Layer = Callable[[Disk], Files]
Body = Callable[["Writer"], None]


class Writer:
    """One process: it makes a call to the disk only when it is given a turn."""

    def __init__(self, disk: Disk, body: Body, layer: Layer) -> None:
        self.disk, self.body, self.files = disk, body, layer(disk)
        self.yes: list[bytes] = []  # records that were said yes to
        self.store: Store | None = None
        self.error: BaseException | None = None
        self.over = False
        self._go, self._stopped = threading.Semaphore(0), threading.Semaphore(0)
        self.thread = threading.Thread(target=self._run, daemon=True)

    def start(self) -> None:
        """Run up to the first call."""
        self.thread.start()
        self._stopped.acquire()

    def turn(self) -> None:
        """Make one call, and run up to the next one."""
        self._go.release()
        self._stopped.acquire()

    def before_call(self) -> None:
        """A call is due: wait for a turn."""
        self._stopped.release()
        self._go.acquire()

    def opened(self) -> Store:
        """Take the directory over."""
        self.store = Store(self.files, NODE, NAME, snapshot)
        return self.store

    def append(self, record: bytes) -> None:
        """One record, as an operator's call: the yes is given after the sync."""
        assert self.store is not None
        self.store.append([record], True)
        self.yes.append(record)

    def _run(self) -> None:
        try:
            self.body(self)
        except (Fenced, BlockingIOError):
            pass
        except BaseException as err:
            self.error = err
        self.over = True
        self._stopped.release()


@dataclass
class Explored:
    """What was gone through."""

    schedules: int = 0
    calls: int = 0  # in the longest of them
    whole: bool = True  # every schedule within the bound on changes of turn
    failures: list[str] = field(default_factory=list)


def play(
    bodies: Sequence[Body], prefix: Sequence[int], layer: Layer
) -> tuple[list[int], list[list[int]], str]:
    """Play one schedule: `prefix`, then whoever was on turn; the turns, who could at each, what is wrong."""
    disk = Disk()
    first = Store(DiskFiles(disk), NODE, NAME, snapshot)
    first.append([b"before"], True)
    writers = [Writer(disk, body, layer) for body in bodies]
    current: list[Writer] = []

    def wait(call: int, what: str, name: str) -> None:
        current[-1].before_call()

    disk.fail = wait
    for writer in writers:
        writer.store = first
        current.append(writer)
        writer.start()
    turns: list[int] = []
    choices: list[list[int]] = []
    while runnable := [i for i, w in enumerate(writers) if not w.over]:
        held = turns[-1] if turns and turns[-1] in runnable else runnable[0]
        pick = prefix[len(turns)] if len(turns) < len(prefix) else held
        choices.append(runnable)
        turns.append(pick)
        current.append(writers[pick])
        writers[pick].turn()
    disk.fail = lambda call, what, name: None
    return turns, choices, _wrong(disk, writers)


def _wrong(disk: Disk, writers: Sequence[Writer]) -> str:
    for writer in writers:
        if writer.error is not None:
            return f"{type(writer.error).__name__}: {writer.error}"
    held = fold(load(DiskFiles(disk), NODE))
    missing = [r for w in writers for r in w.yes if r not in held]
    if missing or b"before" not in held:
        return f"said yes to {missing}, holds {held}"
    return "" if len(set(held)) == len(held) else f"holds a record twice: {held}"


def explore(bodies: Sequence[Body], changes: int, most: int, layer: Layer = DiskFiles) -> Explored:
    """Every schedule with up to `changes` changes of turn that nobody's end forced, `most` at most."""
    out, stack = Explored(), [[*p] for p in _starts(bodies)]
    while stack:
        prefix = stack.pop()
        if out.schedules >= most:
            out.whole = False
            break
        turns, choices, wrong = play(bodies, prefix, layer)
        out.schedules += 1
        out.calls = max(out.calls, len(turns))
        if wrong:
            out.failures.append(f"turns {''.join(map(str, turns))}: {wrong}")
            if len(out.failures) >= 3:
                break
        for at in range(len(prefix), len(turns)):
            for other in choices[at]:
                if other != turns[at] and _changes([*turns[:at], other], choices) <= changes:
                    stack.append([*turns[:at], other])
    return out


def _starts(bodies: Sequence[Body]) -> Iterator[list[int]]:
    for index in range(len(bodies)):
        yield [index]


def _changes(turns: Sequence[int], choices: Sequence[Sequence[int]]) -> int:
    """Changes of turn away from a writer that could have gone on."""
    pairs = zip(turns, turns[1:], choices[1:], strict=False)
    return sum(a != b and a in able for a, b, able in pairs)


def old_writer(writer: Writer) -> None:
    """A process that goes on saying yes to operators, and begins a new generation in between."""
    assert writer.store is not None
    with contextlib.suppress(OSError):  # its successor may take its draft away: the answer is no
        writer.append(b"old 1")
        writer.store.rotate(b"\0".join([b"before", b"old 1"]))
        writer.append(b"old 2")


def heir(writer: Writer) -> None:
    """Its successor."""
    writer.opened()
    writer.append(b"new")

"""Power cuts at every call of a store's workload, and every state of the disk that may be left.

A workload appends numbered records, some synced, and begins new generations in between. After a cut at each
of its calls, in each state of the disk: the store loads, takes the directory over and goes on; what it holds
are the first records in order, all that were said yes to among them, and nothing that was not written.
"""

from __future__ import annotations

import contextlib
import random
from collections.abc import Callable
from dataclasses import dataclass, field

from balancer.durable.files import Files
from balancer.durable.store import Loaded, Store, load
from balancer.sim.disk import Disk, DiskFiles, Image, PowerCut

NODE, NAME = "n0", "0123456789abcdef"
SEPARATOR = b"\0"

Layer = Callable[[Disk], Files]


@dataclass
class Found:
    """What an exploration went through."""

    cuts: int = 0
    states: int = 0
    failures: list[str] = field(default_factory=list)


@dataclass
class History:
    """What a workload did before it ended."""

    written: list[bytes] = field(default_factory=list)  # in order, also those whose call did not return
    acked: int = 0  # so many of them were said yes to


def fold(loaded: Loaded) -> list[bytes]:
    """All records, from the snapshot and the log."""
    old = loaded.snapshot.split(SEPARATOR) if loaded.snapshot else []
    return old + loaded.records


def snapshot(loaded: Loaded) -> bytes:
    """All records as one snapshot."""
    return SEPARATOR.join(fold(loaded))


def workload(files: Files, seed: int, steps: int, history: History) -> None:
    """Batches of records of various lengths, synced or not; now and then a new generation."""
    dice = random.Random(f"workload {seed}")
    store = Store(files, NODE, NAME, snapshot)
    history.acked = len(history.written)
    for _ in range(steps):
        if dice.random() < 0.2:
            store.rotate(SEPARATOR.join(history.written))
            history.acked = len(history.written)
        count, sync = dice.randint(1, 3), dice.random() < 0.7
        first = len(history.written)
        records = [b"%d:" % (first + i) + b"x" * dice.choice((3, 40, 700)) for i in range(count)]
        history.written += records
        store.append(records, sync)
        if sync:
            history.acked = len(history.written)
    store.close()


def broken(image: Image, history: History, layer: Layer) -> str:
    """What is wrong with a state that a cut has left; empty where nothing is."""
    try:
        held = fold(load(layer(Disk(image)), NODE))
    except Exception as err:
        return f"cannot be loaded: {type(err).__name__} {err}"
    if held != history.written[: len(held)]:
        return f"holds what was not written: {held[-1][:20]!r}"
    if len(held) < history.acked:
        return f"holds {len(held)} records, {history.acked} were said yes to"
    disk = Disk(image)
    try:
        store = Store(layer(disk), NODE, NAME, snapshot)
        store.append([b"after"], True)
        store.close()
    except Exception as err:
        return f"cannot be taken over: {type(err).__name__} {err}"
    if fold(load(layer(Disk(disk.image())), NODE)) != [*held, b"after"]:
        return "does not go on from where it was"
    return ""


def explore(seed: int, steps: int, most: int, layer: Layer = DiskFiles, stop: int = 5) -> Found:
    """Cut the power at each call of a workload, and look at up to `most` states of the disk each time."""
    out, dice = Found(), random.Random(f"states {seed}")
    whole = Disk()
    workload(layer(whole), seed, steps, History())
    for cut in range(1, whole.calls + 2):
        disk, history = Disk(), History()

        def off(call: int, what: str, name: str, cut: int = cut) -> None:
            if call >= cut:
                raise PowerCut

        disk.fail = off
        with contextlib.suppress(PowerCut):
            workload(layer(disk), seed, steps, history)
        out.cuts += 1
        disk.fail = lambda call, what, name: None
        for image in disk.images(dice, most):
            out.states += 1
            if why := broken(image, history, layer):
                out.failures.append(f"seed {seed}, call {cut}: {why}")
                if len(out.failures) >= stop:
                    return out
    return out

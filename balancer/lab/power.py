"""A power cut of many: who comes back when, and what a cut may have left in a node's durable directory.

The lab sees a directory as the page cache has it when the process is killed. What of it had surely been
synced is worked out from the bytes, by the way `durable/store.py` writes them; the rest is put by chance into
one of the states that `sim/disk.py` allows:

- `draft-*` was not renamed yet: missing, torn, whole or with blocks missing;
- a snapshot without the log of its generation may still have its draft's name, as the directory may not have
  been synced (if it was, this is what a cut one call earlier left, with no yes in between); a log of nothing
  but its header may be missing or torn;
- a log with records is sure to the last one of a kind that nodes wait for (calls of the operators, rows of
  the room: whatever is not only noted) and to the end of the batch before the last one; what comes after,
  down to the last byte, may be gone, torn or zeros in blocks;
- `fence`, snapshots with a log and all logs but a writer's last are whole.

Not played: names that come back after they were removed (their bytes are gone), a call that had not yet got
its yes and is lost (it is kept: legal, too), disks that lie about a sync. Nothing that could have been
promised is ever taken away: `tests/test_lab_power.py` plays it against disks that know what was synced.
"""

from __future__ import annotations

import random
from collections.abc import Iterable
from pathlib import Path

import msgspec

from balancer.durable import frames
from balancer.durable.store import DRAFT, FENCE, LOG, MAGIC, NAME, SNAP
from balancer.lab.spec import Experiment, Power, choose, parties
from balancer.lab.streams import stream
from balancer.sim.disk import Disk, Image, Inode

NOTED = frozenset({"list", "learned", "start"})  # tags of records that are written, but not waited for
MOST_STATES = 64  # of a directory, of which one is drawn
HIT = 24  # bytes that damage overwrites


def returns(spec: Experiment, seed: int, fault: Power) -> dict[str, float]:
    """When each comes back, in s of the run: evenly over `return-over`, in an order that the seed draws."""
    away = {name for one in fault.never for name in choose(spec, one)}
    names = [name for name in parties(spec, fault) if name not in away]
    first = fault.at + fault.restart_after
    many = [name for name in names if name != "d"]
    order = stream(seed, "power", round(fault.at * 1000)).permutation(len(many))
    gap = fault.return_over / max(1, len(many) - 1)
    out = {many[int(which)]: first + place * gap for place, which in enumerate(order)}
    if "d" in names:
        out["d"] = first + fault.discovery_after
    return out


def clock_of(spec: Experiment, fault: Power, node: str) -> float:
    """Seconds by which a node's wall clock is off after the cut."""
    return sum(step.by for step in fault.clocks if node in choose(spec, step.nodes))


def state_of(spec: Experiment, fault: Power, node: str) -> str:
    """What becomes of a node's disk; the last table that names it counts."""
    return next((d.state for d in reversed(fault.disks) if node in choose(spec, d.nodes)), "sound")


def _sure(data: bytes) -> int:
    """How many bytes of the newest log had surely been synced."""
    magic = MAGIC[LOG]
    header = frames.parse(data[: len(magic) + 4096], len(magic), -1, frames.crc(magic))
    if not header.frames:
        return 0
    first = header.frames[0]
    at = len(magic) + frames.HEAD.size + len(first.data)
    try:
        number = msgspec.msgpack.decode(first.data, type=list[object])[5]
    except (msgspec.MsgspecError, IndexError):
        return 0
    found = frames.parse(data, at, number if isinstance(number, int) else 0, frames.crc(data[:at]))
    if not found.frames:
        return 0  # not even the header's sync is sure
    batch, sure = found.frames[-1].batch, at
    for one in found.frames:
        at += frames.HEAD.size + len(one.data)
        if one.number < batch or not _noted(one.data):
            sure = at
    return sure


def _noted(record: bytes) -> bool:
    try:
        table = msgspec.msgpack.decode(record)
    except msgspec.MsgspecError:
        return False
    return isinstance(table, dict) and table.get("type") in NOTED


def unsure(image: Image) -> Disk:
    """The directory as the model's disk: with what had not surely been synced still open."""
    disk = Disk(image)
    names = sorted(n for n in image if NAME.fullmatch(n))
    newest = max(names, key=_place, default="")
    if newest.startswith(LOG):
        inode = disk.now[newest]
        inode.synced = _sure(image[newest])
        if not inode.synced:
            disk.sure.pop(newest)
            disk.pending.append((newest, newest, inode))
    elif newest:
        _renamed(disk, newest)
    for name in image:
        if name.startswith(DRAFT):
            inode = disk.now[name] = Inode(bytearray(image[name]))
            disk.sure.pop(name)
            disk.pending.append((name, name, inode))
    return disk


def _renamed(disk: Disk, name: str) -> None:
    """It may still have the name of its draft: the rename is not sure yet."""
    inode = disk.sure.pop(name)
    draft = f"{DRAFT}{name}-{_place(name)[0]}"
    disk.sure[draft] = inode
    disk.pending.append((name, draft, inode))


def _place(name: str) -> tuple[int, int, bool]:
    """Fence, generation, and a log after its snapshot."""
    found = NAME.fullmatch(name)
    assert found is not None
    return int(found[3]), int(found[2]), found[1] == LOG


def cut(image: Image, dice: random.Random) -> Image:
    """A state that a power cut now may leave of a directory."""
    return dice.choice(list(unsure(image).images(dice, MOST_STATES)))


def damage(image: Image, dice: random.Random) -> Image:
    """Bytes in the midst of a file go bad: of the newest snapshot or log, or `fence`."""
    names = sorted(n for n in image if NAME.fullmatch(n))
    targets = [n for n in [*names[-1:], max((n for n in names if n.startswith(SNAP)), default=""), FENCE]
               if image.get(n)]  # fmt: skip
    if not targets:
        return image
    name = dice.choice(targets)
    data = bytearray(image[name])
    at = dice.randrange(max(1, len(data) - HIT))
    data[at : at + HIT] = dice.randbytes(len(data[at : at + HIT]))
    return image | {name: bytes(data)}


def read_image(folder: Path) -> Image:
    """A directory's files; none where it is missing. Raises OSError."""
    if not folder.is_dir():
        return {}
    return {path.name: path.read_bytes() for path in sorted(folder.iterdir()) if path.is_file()}


def write_image(folder: Path, image: Image) -> None:
    """Make a directory hold just that. Raises OSError."""
    folder.mkdir(mode=0o700, parents=True, exist_ok=True)
    for path in folder.iterdir():
        if path.name not in image:
            path.unlink()
    for name, data in image.items():
        (folder / name).write_bytes(data)


def leave(spec: Experiment, seed: int, fault: Power, images: dict[str, Image],
          copies: dict[str, Image]) -> dict[str, Image]:  # fmt: skip
    """What each node finds, from what its killed process had written and from an earlier copy of it."""
    dice = {n: random.Random(f"{seed} {fault.at} {n}") for n in images}
    out = {n: cut(image, dice[n]) for n, image in images.items()}
    for left in fault.disks:
        some = [n for n in choose(spec, left.nodes) if n in out and state_of(spec, fault, n) == left.state]
        out |= _altered(left.state, some, out, copies, dice)
    return out


def _altered(state: str, names: list[str], now: dict[str, Image], copies: dict[str, Image],
             dice: dict[str, random.Random]) -> Iterable[tuple[str, Image]]:  # fmt: skip
    match state:
        case "empty":
            return [(n, {}) for n in names]
        case "damaged":
            return [(n, damage(now[n], dice[n])) for n in names]
        case "old":
            return [(n, copies.get(n, {})) for n in names]
        case _:
            return list(zip(names, [now[n] for n in names[1:] + names[:1]], strict=True))

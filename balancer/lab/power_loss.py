"""Power loss in the lab: when each target comes back, and what is left of a node's durable directory.

The lab sees a directory as the page cache has it when the process is killed. It infers from the bytes, and
from how `durable/writer.py` writes them, what was certainly synced; the rest is put at random into one of the
states that `sim/disk.py` allows:

- `draft-*` was not renamed yet: it is missing, torn, whole or lacks blocks;
- a snapshot without the log of its generation may still have its draft's name, because the directory may not
  have been synced (if it was, this is the state of a power loss one call earlier, with no acknowledgement in
  between); a log that holds only its header may be missing or torn;
- a log with records is certainly synced up to the last record of a kind that nodes wait for (operators' calls
  and register rows, all but UNSYNCED_TAGS), and up to the end of the batch before the last one; what follows,
  down to the last byte, may be missing, torn or zeros in whole blocks;
- `fence`, snapshots with a log, and all logs but a writer's last one are whole.

Not simulated: removed names that come back (their bytes are gone), a call that is lost before it was
acknowledged (it is kept, which is legal too), and disks that lie about a sync. Nothing that may have been
acknowledged is ever lost: `tests/test_lab_power.py` checks this with disks that know what was synced.
"""

from __future__ import annotations

import random
from collections.abc import Iterable
from pathlib import Path

import msgspec

from balancer.durable import frames
from balancer.durable.layout import DRAFT_PREFIX, FENCE_NAME, FILE_NAME, MAGIC, FileKind, FileName, draft_name
from balancer.experiments.experiment import Experiment
from balancer.experiments.faults import PowerLoss
from balancer.experiments.random_streams import random_stream
from balancer.experiments.selectors import fault_targets, select_parties
from balancer.sim.disk import DiskImage, Inode, NameChange, SimulatedDisk

UNSYNCED_TAGS = frozenset({"list", "learned", "start"})  # Nodes do not wait until these are synced.
MAX_CRASH_STATES = 64  # One of at most 64 possible states of a directory is drawn.
MAX_HEADER_BYTES = 4096
CORRUPTED_BYTES = 24


def return_times(spec: Experiment, seed: int, fault: PowerLoss) -> dict[str, float]:
    """Return the time (s) of each return: evenly over `return-over`, in an order drawn from the seed."""
    away = {name for one in fault.never for name in select_parties(spec, one)}
    names = [name for name in fault_targets(spec, fault) if name not in away]
    first = fault.at + fault.restart_after
    order_names = [name for name in names if name != "d"]
    order = random_stream(seed, "power", round(fault.at * 1000)).permutation(len(order_names))
    gap = fault.return_over / max(1, len(order_names) - 1)
    out = {order_names[int(which)]: first + place * gap for place, which in enumerate(order)}
    if "d" in names:
        out["d"] = first + fault.discovery_after
    return out


def clock_offset_of(spec: Experiment, fault: PowerLoss, node: str) -> float:
    """Return the offset (s) of a node's wall clock after the loss."""
    return sum(step.offset_s for step in fault.clocks if node in select_parties(spec, step.nodes))


def disk_state_of(spec: Experiment, fault: PowerLoss, node: str) -> str:
    """Return the state of a node's disk after the loss; the last entry of `disks` for the node counts."""
    return next((d.state for d in reversed(fault.disks) if node in select_parties(spec, d.nodes)), "sound")


def _synced_bytes(data: bytes) -> int:
    """Return how many leading bytes of the newest log were certainly synced."""
    magic = MAGIC[FileKind.LOG]
    header = frames.parse_frames(data[: len(magic) + MAX_HEADER_BYTES], len(magic), -1, frames.crc32c(magic))
    if not header.frames:
        return 0
    first = header.frames[0]
    at = len(magic) + frames.HEADER.size + len(first.payload)
    try:
        number = msgspec.msgpack.decode(first.payload, type=list[object])[5]
    except (msgspec.MsgspecError, IndexError):
        return 0
    found = frames.parse_frames(data, at, number if isinstance(number, int) else 0, frames.crc32c(data[:at]))
    if not found.frames:
        return 0  # In a log without records, not even the header is certainly synced.
    batch = found.frames[-1].batch
    synced = at
    for one in found.frames:
        at += frames.HEADER.size + len(one.payload)
        if one.number < batch or not _is_unsynced_kind(one.payload):
            synced = at
    return synced


def _is_unsynced_kind(record: bytes) -> bool:
    try:
        table = msgspec.msgpack.decode(record)
    except msgspec.MsgspecError:
        return False
    return isinstance(table, dict) and table.get("type") in UNSYNCED_TAGS


def unsynced_disk(image: DiskImage) -> SimulatedDisk:
    """Return a simulated disk with this directory, on which all possibly unsynced parts are pending."""
    disk = SimulatedDisk(image)
    names = sorted(n for n in image if FILE_NAME.fullmatch(n))
    newest = max(names, key=_age, default="")
    if newest.startswith(FileKind.LOG):
        inode = disk.files[newest]
        inode.durable_bytes = _synced_bytes(image[newest])
        if not inode.durable_bytes:
            disk.durable_names.pop(newest)
            disk.pending.append(NameChange(newest, newest, inode))
    elif newest:
        _unsync_rename(disk, newest)
    for name in image:
        if name.startswith(DRAFT_PREFIX):
            inode = disk.files[name] = Inode(bytearray(image[name]))
            disk.durable_names.pop(name)
            disk.pending.append(NameChange(name, name, inode))
    return disk


def _unsync_rename(disk: SimulatedDisk, name: str) -> None:
    """Make the rename of a file pending, so that a crash may leave the name of its draft."""
    inode = disk.durable_names.pop(name)
    draft = draft_name(name, _age(name)[0])
    disk.durable_names[draft] = inode
    disk.pending.append(NameChange(name, draft, inode))


def _age(name: str) -> tuple[int, int, bool]:
    """Return the sort key of a file by age: fence, generation, and a log after its snapshot."""
    found = FileName.parse(name)
    assert found is not None
    return found.generation.fence, found.generation.number, found.kind is FileKind.LOG


def crash_image(image: DiskImage, dice: random.Random) -> DiskImage:
    """Draw a state in which a power loss at this time may leave a directory."""
    return dice.choice(list(unsynced_disk(image).crash_images(dice, MAX_CRASH_STATES)))


def corrupted(image: DiskImage, dice: random.Random) -> DiskImage:
    """Overwrite some bytes of the newest snapshot or log, or of `fence`, at random."""
    names = sorted(n for n in image if FILE_NAME.fullmatch(n))
    snapshot = max((n for n in names if n.startswith(FileKind.SNAPSHOT)), default="")
    targets = [n for n in [*names[-1:], snapshot, FENCE_NAME] if image.get(n)]
    if not targets:
        return image
    name = dice.choice(targets)
    data = bytearray(image[name])
    at = dice.randrange(max(1, len(data) - CORRUPTED_BYTES))
    data[at : at + CORRUPTED_BYTES] = dice.randbytes(len(data[at : at + CORRUPTED_BYTES]))
    return image | {name: bytes(data)}


def read_image(folder: Path) -> DiskImage:
    """Read the files of a directory, none if it is missing; raises OSError."""
    if not folder.is_dir():
        return {}
    return {path.name: path.read_bytes() for path in sorted(folder.iterdir()) if path.is_file()}


def write_image(folder: Path, image: DiskImage) -> None:
    """Replace the files of a directory by those of an image; raises OSError."""
    folder.mkdir(mode=0o700, parents=True, exist_ok=True)
    for path in folder.iterdir():
        if path.name not in image:
            path.unlink()
    for name, data in image.items():
        (folder / name).write_bytes(data)


def images_after(spec: Experiment, seed: int, fault: PowerLoss, images: dict[str, DiskImage],
          copies: dict[str, DiskImage]) -> dict[str, DiskImage]:  # fmt: skip
    """Return each node's disk after the loss, from its state at the loss and an earlier copy."""
    dice = {n: random.Random(f"{seed} {fault.at} {n}") for n in images}
    out = {n: crash_image(image, dice[n]) for n, image in images.items()}
    for disk_state in fault.disks:
        some = [
            n
            for n in select_parties(spec, disk_state.nodes)
            if n in out and disk_state_of(spec, fault, n) == disk_state.state
        ]
        out |= _altered(disk_state.state, some, out, copies, dice)
    return out


def _altered(state: str, names: list[str], now: dict[str, DiskImage], copies: dict[str, DiskImage],
             dice: dict[str, random.Random]) -> Iterable[tuple[str, DiskImage]]:  # fmt: skip
    match state:
        case "empty":
            return [(n, {}) for n in names]
        case "damaged":
            return [(n, corrupted(now[n], dice[n])) for n in names]
        case "old":
            return [(n, copies.get(n, {})) for n in names]
        case _:
            return list(zip(names, [now[n] for n in names[1:] + names[:1]], strict=True))

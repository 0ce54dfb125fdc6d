"""Read-only access to a state directory: its newest valid snapshot and the records that follow it.

If a snapshot is corrupt, the previous snapshot and its complete log give the same state.

The handling of torn tails follows etcd's write-ahead log; the assumptions on the effects of a power cut
follow ALICE (Pillai et al. 2014) and SQLite.
"""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass, field

from balancer.durable import frames, layout
from balancer.durable.filesystem import Directory
from balancer.durable.frames import ParsedFrames
from balancer.durable.layout import (
    FENCE_NAME,
    FileKind,
    FileName,
    GenerationId,
    Header,
    IncompatibleDirectoryError,
    InvalidFileError,
)

SNAPSHOT_FRAME_NUMBER = 1


@dataclass(slots=True)
class DirectoryContents:
    """Contents of a state directory, as far as they could be read.

    `generation` is the newest generation with a file, `records` are those after the snapshot, and `problems`
    describes each corrupt file in one line. `has_lost_records` means that synced records are missing.
    """

    directory_id: str = ""
    node: str = ""
    generation: int = 0
    fence: int = 0
    last_number: int = 0
    last_chain: int = 0
    snapshot: bytes | None = None
    records: list[bytes] = field(default_factory=list)
    problems: list[str] = field(default_factory=list)
    has_lost_records: bool = False
    file_count: int = 0
    size_bytes: int = 0

    def report_loss(self, problem: str) -> None:
        """Add a problem that has lost synced records."""
        self.has_lost_records = True
        self.problems.append(problem)


@dataclass(frozen=True)
class LogTail:
    """Records of a log up to a limit, with the number and chain value of the last record."""

    records: list[bytes]
    last_number: int
    last_chain: int


class Generation:
    """The files of one generation; corrupt ones are added to the problems of `contents`."""

    def __init__(
        self,
        directory: Directory,
        generation_id: GenerationId,
        names: Sequence[str],
        contents: DirectoryContents,
    ) -> None:
        """Read the snapshot and the log of a generation, as far as `names` lists them."""
        self.id = generation_id
        self.snapshot_header: Header | None = None
        self.snapshot = b""
        self.log_header: Header | None = None
        self.parsed = ParsedFrames()
        self._contents = contents
        # Chain value that the first record of the log continues.
        self._first_chain = 0
        for kind in (FileKind.SNAPSHOT, FileKind.LOG):
            name = str(FileName(kind, generation_id))
            if name in names:
                self._read(directory, name, kind)

    @property
    def header(self) -> Header | None:
        """Return the header of the snapshot, else that of the log, or None if neither is readable."""
        return self.snapshot_header or self.log_header

    def belongs_to(self, owner: Header) -> bool:
        """Return whether all readable files of the generation belong to the owner's directory and node."""
        headers = (self.snapshot_header, self.log_header)
        return all(header is None or header.has_same_owner(owner) for header in headers)

    def log_after(self, number: int, chain: int, limit: int | None) -> LogTail | None:
        """Return the records up to number `limit`, or None if the log does not continue this position."""
        header = self.log_header
        if header is None or (header.number, header.chain) != (number, chain):
            return None
        taken = [frame for frame in self.parsed.frames if limit is None or frame.number <= limit]
        records = [frame.payload for frame in taken]
        if not taken:
            return LogTail(records, header.number, self._first_chain)
        return LogTail(records, taken[-1].number, taken[-1].chain)

    def _read(self, directory: Directory, name: str, kind: FileKind) -> None:
        problems = self._contents.problems
        try:
            data = directory.read(name)
            self._contents.file_count += 1
            self._contents.size_bytes += len(data)
            start = layout.decode_file_start(data, kind)
            if start.header.generation_id != self.id:
                raise InvalidFileError(
                    f"its header names generation {start.header.generation}, unlike its file name"
                )
            if kind is FileKind.SNAPSHOT:
                self._parse_snapshot(data, start)
            else:
                self._parse_log(data, start)
        except (OSError, InvalidFileError) as err:
            problems.append(f"{name}: {err}")
        if self.parsed.is_damaged:
            problems.append(
                f"{name}: damaged at byte {self.parsed.end}: records from that position to number "
                f"{self.parsed.last_lost_number} cannot be read"
            )
        elif self.parsed.trailing_bytes:
            problems.append(f"{name}: a torn tail of {self.parsed.trailing_bytes} bytes is ignored")

    def _parse_snapshot(self, data: bytes, start: layout.FileStart) -> None:
        chain = frames.crc32c(data[: start.end])
        body = frames.parse_frames(data, start.end, SNAPSHOT_FRAME_NUMBER - 1, chain)
        if len(body.frames) != 1 or body.trailing_bytes:
            raise InvalidFileError("the snapshot after the file header is corrupt")
        self.snapshot_header = start.header
        self.snapshot = body.frames[0].payload

    def _parse_log(self, data: bytes, start: layout.FileStart) -> None:
        self.log_header = start.header
        # The chain starts with the header, so that records of one log cannot follow the header of another.
        self._first_chain = frames.crc32c(data[: start.end])
        self.parsed = frames.parse_frames(data, start.end, start.header.number, self._first_chain)


def read_fence(directory: Directory, names: Sequence[str], problems: list[str]) -> Header | None:
    """Return the header of the fence file, or None if the file is missing or corrupt.

    Raises:
        IncompatibleDirectoryError: A newer version wrote the file.
    """
    if FENCE_NAME not in names:
        return None
    try:
        return layout.decode_file_start(directory.read(FENCE_NAME), FileKind.FENCE).header
    except (OSError, InvalidFileError) as err:
        problems.append(f"{FENCE_NAME}: {err}")
        return None


def read_directory(
    directory: Directory, node: str | None = None, *, all_generations: bool = True
) -> DirectoryContents:
    """Return the newest valid snapshot of a directory and all records after it.

    Args:
        directory: The state directory.
        node: The node that must own the directory; None accepts any owner.
        all_generations: Whether to check also generations that do not affect the result.

    Raises:
        IncompatibleDirectoryError: A newer version or another node wrote the directory.
        OSError: The directory cannot be listed.
    """
    names = directory.list_names()
    contents = DirectoryContents()
    fence = read_fence(directory, names, contents.problems)
    ids = layout.list_generations(names)
    contents.generation = max((generation_id.number for generation_id in ids), default=0)
    generations = _read_generations(directory, names, contents, None if all_generations else fence)
    owner = fence or _majority_owner(generations)
    if owner is None:
        if ids:
            contents.report_loss("no file is valid: the node starts with empty state")
        return contents
    if node is not None and owner.node != node:
        raise IncompatibleDirectoryError(
            f"the directory belongs to node {owner.node!r}, this node is {node!r}"
        )
    contents.directory_id = owner.directory_id
    contents.node = owner.node
    contents.fence = max([owner.fence, *(generation_id.fence for generation_id in ids)])
    if ids and generations and generations[0].id != ids[0]:
        contents.report_loss(
            f"generation {ids[0].number}: neither snapshot nor log can be read, its records are lost"
        )
    _replay_newest(_owned_by(owner, generations, contents), contents)
    if contents.snapshot is None and ids:
        contents.report_loss("no snapshot is valid: the node starts with empty state")
    return contents


def _read_generations(
    directory: Directory, names: Sequence[str], contents: DirectoryContents, sufficient_for: Header | None
) -> list[Generation]:
    """Read generations, newest first, and stop at the first valid snapshot of a given owner."""
    generations: list[Generation] = []
    for generation_id in layout.list_generations(names):
        generation = Generation(directory, generation_id, names, contents)
        if generation.header is not None:
            generations.append(generation)
        is_sufficient = sufficient_for is not None and generation.belongs_to(sufficient_for)
        if is_sufficient and generation.snapshot_header is not None:
            break
    return generations


def _majority_owner(generations: list[Generation]) -> Header | None:
    """Return a header of the owner of most files; used if the fence file is missing or corrupt."""
    headers = [
        header
        for generation in generations
        for header in (generation.snapshot_header, generation.log_header)
        if header is not None
    ]
    counts = Counter((header.directory_id, header.node) for header in headers)
    return max(
        headers, key=lambda header: (counts[header.directory_id, header.node], header.fence), default=None
    )


def _owned_by(owner: Header, generations: list[Generation], contents: DirectoryContents) -> list[Generation]:
    owned = []
    for generation in generations:
        if generation.belongs_to(owner):
            owned.append(generation)
        else:
            contents.problems.append(
                f"generation {generation.id.number}: files of another directory are ignored"
            )
    return owned


def _newest_valid_snapshot(headers: list[Header], generations: list[Generation]) -> int | None:
    """Return the index of the newest generation whose snapshot is valid.

    The header of a later generation limits which records of an earlier one are valid, because it states up to
    which record its writer had read.
    """
    limit: float = math.inf
    for index, generation in enumerate(generations):
        snapshot = generation.snapshot_header
        if snapshot is not None and snapshot.number <= limit:
            return index
        limit = min(limit, headers[index].number)
    return None


def _replay_newest(generations: list[Generation], contents: DirectoryContents) -> None:
    """Load the newest valid snapshot, its log and all logs that continue it into `contents`."""
    headers = [generation.header for generation in generations if generation.header is not None]
    base = _newest_valid_snapshot(headers, generations)
    if base is None:
        return
    contents.snapshot = generations[base].snapshot
    contents.last_number = headers[base].number
    contents.last_chain = headers[base].chain
    for index in range(base, -1, -1):
        generation = generations[index]
        next_number = headers[index - 1].number if index else None
        tail = generation.log_after(contents.last_number, contents.last_chain, next_number)
        if tail is not None:
            contents.records += tail.records
            contents.last_number = tail.last_number
            contents.last_chain = tail.last_chain
            if generation.parsed.is_damaged and next_number is None:
                contents.has_lost_records = True
        if next_number is not None and next_number != contents.last_number:
            contents.report_loss(
                f"records {contents.last_number + 1} to {next_number} are lost, and so are all later records"
            )
            return

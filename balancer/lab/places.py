"""Where everybody listens: each run has a block of 127.S.x.y of its own, each pair its own address.

Two runs on one machine never meet: a block is taken by a lock that goes with the process that holds it.
"""

from __future__ import annotations

import fcntl
import os
import tempfile
from dataclasses import dataclass
from pathlib import Path

from balancer.errors import BalancerError

PORT = 8080
CONSOLE = 9800
FIRST_BLOCK, LAST_BLOCK = 16, 250
PER_ROW = 250  # addresses used of each 127.S.x.0/24
PAIRS, DISCOVERY, CONSOLES, PEERS = 4, 200, 220, 240  # first x of what listens there


class PlaceError(BalancerError):
    """No block of addresses is free, or the fleet does not fit into one."""

    code = "LAB04"
    remedy = "play fewer nodes or backends, or wait until other runs have ended"


@dataclass(slots=True, frozen=True)
class Places:
    """The addresses of one run, by its block."""

    block: int
    backends: int

    def _at(self, row: int, index: int) -> str:
        return f"127.{self.block}.{row + index // PER_ROW}.{1 + index % PER_ROW}"

    def node(self, node: int) -> tuple[str, int]:
        """Where clients find a node."""
        return self._at(0, node), PORT

    def backend(self, node: int, backend: int) -> tuple[str, int]:
        """Where a node finds a backend."""
        return self._at(PAIRS, node * self.backends + backend), PORT

    def discovery(self, node: int, moves: int = 0) -> tuple[str, int]:
        """Where a node finds discovery, after it has moved so many times."""
        return self._at(DISCOVERY, node), PORT + moves

    def console(self, node: int, process: int) -> tuple[str, int]:
        """Where operators find a process of a node."""
        return self._at(CONSOLES, node), CONSOLE + process

    def peer(self, node: int) -> tuple[str, int]:
        """Where a node's datagrams arrive."""
        return self._at(PEERS, node), PORT

    def relay(self, near: int, far: int) -> tuple[str, int]:
        """What node `near` knows as the address of node `far`; the network passes on what comes there."""
        return self._at(PEERS, near), PORT + 1 + far


class Block:
    """The lock on a block; `close` gives it back, and so does the end of the process."""

    def __init__(self, nodes: int, backends: int) -> None:
        if nodes * backends > (DISCOVERY - PAIRS) * PER_ROW or nodes > 200:
            raise PlaceError(f"{nodes} nodes and {backends} backends do not fit into one block of addresses")
        folder = Path(tempfile.gettempdir()) / f"balancer-lab-{os.getuid()}"
        folder.mkdir(mode=0o700, exist_ok=True)
        # Runs begin their search at different blocks: sockets of a run that just ended may linger.
        count = LAST_BLOCK - FIRST_BLOCK + 1
        for step in range(count):
            block = FIRST_BLOCK + (os.getpid() + step) % count
            self.lock = os.open(folder / f"block-{block}", os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
            try:
                fcntl.flock(self.lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
            except BlockingIOError:
                os.close(self.lock)
                continue
            self.places = Places(block, backends)
            return
        raise PlaceError("all blocks of addresses are in use")

    def close(self) -> None:
        """Give the block back."""
        os.close(self.lock)


def text(address: tuple[str, int]) -> str:
    """HOST:PORT."""
    return f"{address[0]}:{address[1]}"

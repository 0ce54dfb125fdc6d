"""Address allocation: each run has a block 127.S.x.y of its own, and each pair of parties an address.

Runs on one machine never share an address: a block is locked by a file lock of its process.
"""

from __future__ import annotations

import fcntl
import os
import tempfile
from dataclasses import dataclass
from pathlib import Path

from balancer.errors import BalancerError

SERVICE_PORT = 8080
FIRST_CONSOLE_PORT = 9800
MAX_NODES = 200
FIRST_BLOCK, LAST_BLOCK = 16, 250
ADDRESSES_PER_ROW = 250  # of each 127.S.x.0/24
FIRST_BACKEND_ROW = 4
FIRST_DISCOVERY_ROW = 200
FIRST_CONSOLE_ROW = 220
FIRST_PEER_ROW = 240


class AddressError(BalancerError):
    """No block of addresses is free, or the fleet does not fit into one."""

    code = "LAB04"
    remedy = "play fewer nodes or backends, or wait until other runs have ended"


@dataclass(slots=True, frozen=True)
class AddressPlan:
    """The addresses of one run, by its block."""

    block: int
    backends: int

    def _host(self, row: int, index: int) -> str:
        return f"127.{self.block}.{row + index // ADDRESSES_PER_ROW}.{1 + index % ADDRESSES_PER_ROW}"

    def node(self, node: int) -> tuple[str, int]:
        """Return the address of a node for clients."""
        return self._host(0, node), SERVICE_PORT

    def backend(self, node: int, backend: int) -> tuple[str, int]:
        """Return the address of a backend for a node."""
        return self._host(FIRST_BACKEND_ROW, node * self.backends + backend), SERVICE_PORT

    def discovery(self, node: int, moves: int = 0) -> tuple[str, int]:
        """Return the address of discovery for a node, after it has moved so many times."""
        return self._host(FIRST_DISCOVERY_ROW, node), SERVICE_PORT + moves

    def console(self, node: int, process: int) -> tuple[str, int]:
        """Return the address of the console of a node's process."""
        return self._host(FIRST_CONSOLE_ROW, node), FIRST_CONSOLE_PORT + process

    def peer(self, node: int) -> tuple[str, int]:
        """Return the address at which a node receives datagrams."""
        return self._host(FIRST_PEER_ROW, node), SERVICE_PORT

    def relay(self, near: int, far: int) -> tuple[str, int]:
        """Return the address of the relay that node `near` has for node `far`."""
        return self._host(FIRST_PEER_ROW, near), SERVICE_PORT + 1 + far


class AddressBlock:
    """The lock on a block of addresses; it ends with `close` or with the process."""

    def __init__(self, nodes: int, backends: int) -> None:
        """Lock a free block; raises AddressError where none is free or the fleet does not fit."""
        if (
            nodes * backends > (FIRST_DISCOVERY_ROW - FIRST_BACKEND_ROW) * ADDRESSES_PER_ROW
            or nodes > MAX_NODES
        ):
            raise AddressError(
                f"{nodes} nodes and {backends} backends do not fit into one block of addresses"
            )
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
            self.addresses = AddressPlan(block, backends)
            return
        raise AddressError("all blocks of addresses are in use")

    def close(self) -> None:
        """Release the block."""
        os.close(self.lock)


def format_address(address: tuple[str, int]) -> str:
    """Return HOST:PORT."""
    return f"{address[0]}:{address[1]}"

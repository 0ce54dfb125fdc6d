"""How the processes of one node keep to one limit of descriptors together while a new version takes over.

Each says in its slot how many it may hold at most, before it holds more. Only the one that came last may
grow, into what no other claims; the others only shrink. So no two reach for the same descriptor. Who grows
says so first and then looks once more whether another has come: that one has its slot before it reads, so it
either reads what was said or is seen.
"""

from __future__ import annotations

import time
import zlib
from dataclasses import dataclass

from balancer.net.connection_limits import CLOSING_FDS, MIN_FDS, RESERVED_FDS, overflow_limit
from balancer.net.front import Front
from balancer.net.node import Node
from balancer.net.pair import Pair


@dataclass(slots=True, frozen=True)
class Claim:
    """What a process says."""

    born: int  # ns, on the clock that all processes of a machine share
    most: int  # descriptors that it may hold

    def text(self) -> str:
        """As it stands in the slot; always as long, so that no rest of an older one is left behind it."""
        said = f"{self.born:020} {self.most:010}"
        return f"{said} {zlib.crc32(said.encode()):08x}\n"


def parse(text: str) -> Claim | None:
    """A claim; None for what is spoilt, or was written by a program that said nothing."""
    said, _, check = text.partition("\n")[0].rpartition(" ")
    born, _, most = said.partition(" ")
    whole = check == f"{zlib.crc32(said.encode('latin-1')):08x}"
    if not whole or not (born.isdecimal() and most.isdecimal()):
        return None
    return Claim(int(born), int(most))


class Parts:
    """The part of one process."""

    def __init__(self, node: Node, front: Front, pair: Pair) -> None:
        self.node, self.front, self.pair = node, front, pair
        self.born = time.monotonic_ns()
        self.part = MIN_FDS  # descriptors
        self.leaving = False  # new connections go to the other process: what ends here is not replaced
        self._before: set[int] | None = None  # slots of those that were there when this one came
        self._heard: dict[int, Claim | None] = {}  # by slot
        self.said = 0  # descriptors
        self._word = ""  # as it stands in the slot

    @property
    def enough(self) -> bool:
        """Whether the others have made the room that a newcomer may count on."""
        return self.part >= self.node.config.sockets - self.node.config.predecessor_fds

    def limits(self) -> tuple[int, int] | None:
        """Connections of clients and to backends, from now on; None where nobody can tell the others' parts.

        That is so without a slot, where one that was there before cannot be read, or this one's not be said.
        """
        if self.pair.mine < 0:
            return None
        config, others = self.node.config, self._others(self.pair.words)
        if not self.said:  # what was set without a slot never was in force
            self.front.limit, self.node.pool.limit = config.connection_limits(MIN_FDS)
        if self._followed(others):
            return self._elder(others)
        if (claimed := self._claimed(others)) is None:
            self.part = config.sockets // 2
            return None
        part = max(MIN_FDS, config.sockets - claimed) if others else config.sole_process_fds
        limits = config.connection_limits(part)
        if (most := self._most(*limits)) > self.said:
            if most > part:  # more is in use yet than these limits allow
                return self._no_more(limits)
            if not self._say(most):
                return None
            words = self.pair.read()
            if words is None or self._followed(self._others(words)):
                return self._no_more(limits)
        self.part = part
        return limits

    def _no_more(self, limits: tuple[int, int]) -> tuple[int, int]:
        """These, where they are lower than those in force."""
        return min(limits[0], self.front.limit), min(limits[1], self.node.pool.limit)

    def _most(self, clients: int, upstream: int) -> int:
        """Descriptors that this process may hold under these limits, or holds yet from before them."""
        front, pool = self.front, self.node.pool
        taken = max(clients + overflow_limit(clients), len(front.connections) + len(front.lingering))
        return RESERVED_FDS + CLOSING_FDS + taken + max(upstream, pool.count)

    def tell(self) -> None:
        """Say what this process may hold now, once its limits are in force."""
        if self.pair.mine >= 0:
            self._say(self._most(self.front.limit, self.node.pool.limit))

    def _say(self, most: int) -> bool:
        word = Claim(self.born, most).text()
        if word != self._word or self.pair.words:  # who is alone need not say it again
            self._word = word if self.pair.say(word) else ""
        self.said = most
        return bool(self._word)

    def _others(self, words: dict[int, str]) -> dict[int, Claim | None]:
        """What the others claim; what cannot be read now is as it was, as those before only shrink."""
        if self._before is None:
            self._before = set(words)
        self._before &= words.keys()
        self._heard = {slot: parse(word) or self._heard.get(slot) for slot, word in words.items()}
        return self._heard

    def _later(self, slot: int, claim: Claim | None) -> bool:
        """Whether a process came after this one."""
        if claim is None:
            return self._before is not None and slot not in self._before
        return (claim.born, slot) > (self.born, self.pair.mine)

    def _followed(self, others: dict[int, Claim | None]) -> bool:
        return any(self._later(slot, claim) for slot, claim in others.items())

    def _claimed(self, others: dict[int, Claim | None]) -> int | None:
        """What those that were there before may hold; None where one of them cannot be read."""
        before = [claim for slot, claim in others.items() if not self._later(slot, claim)]
        known = [claim.most for claim in before if claim is not None]
        return sum(known) if len(known) == len(before) else None

    def _elder(self, others: dict[int, Claim | None]) -> tuple[int, int]:
        """Beside one that came later: never more than before, and once this one leaves what it still uses."""
        config = self.node.config
        claimed = self._claimed(others)
        left = config.predecessor_fds - (claimed if claimed is not None else config.sockets // 2)
        self.part = max(MIN_FDS, left)
        clients, upstream = config.predecessor_limits(self.part)
        if self.leaving:
            open_now = len(self.front.connections)
            clients = min(clients, open_now + overflow_limit(clients))
            upstream = min(upstream, max(1, self.node.pool.count, 2 * open_now))
        return self._no_more((clients, upstream))

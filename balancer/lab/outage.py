"""A power cut on real nodes: all die before any is waited for, directories are laid, nodes come back."""

from __future__ import annotations

import asyncio
import contextlib

from balancer.experiments.faults import PowerLoss
from balancer.lab import power
from balancer.lab.processes import Fleet, NodeHost
from balancer.sim.disk import DiskImage


class Outage:
    """One `power` fault. What becomes of the directories is `power.leave`'s."""

    def __init__(self, fleet: Fleet, fault: PowerLoss) -> None:
        self.fleet, self.fault = fleet, fault
        self.copies: dict[str, DiskImage] = {}
        self.laid = asyncio.Event()
        self.over = False  # a later cut has come

    def copy(self) -> None:
        """Half of the time to the cut is over: the state of which disks are `old` is as it is now."""
        for node in self.fleet.nodes:
            if power.state_of(self.fleet.spec, self.fault, node.name) == "old":
                with contextlib.suppress(OSError):  # a file has just gone: an old disk may be an empty one
                    self.copies[node.name] = power.read_image(node.state)

    def cut(self, names: tuple[str, ...]) -> None:
        """SIGKILL to all at one moment; the rest goes on in the background."""
        nodes = [self.fleet.nodes[int(name[1:])] for name in names if name[0] == "n"]
        for node in nodes:
            node.kill()
        self.fleet.task(self._lay(nodes))

    async def _lay(self, nodes: list[NodeHost]) -> None:
        await asyncio.gather(*(running.process.wait() for node in nodes for running in node.running))
        images = {node.name: power.read_image(node.state) for node in nodes}
        left = power.leave(self.fleet.spec, self.fleet.seed, self.fault, images, self.copies)
        for node in nodes:
            power.write_image(node.state, left[node.name])
            state = power.state_of(self.fleet.spec, self.fault, node.name)
            changed = sorted(n for n in images[node.name] if left[node.name].get(n) != images[node.name][n])
            self.fleet.log.say(node.name, "disk after the cut", state=state, changed=changed)
        self.laid.set()

    async def back(self, node: NodeHost) -> None:
        """The node starts with what its disk holds now; `$TMPDIR` has not outlasted the cut."""
        await self.laid.wait()
        node.clock = power.clock_of(self.fleet.spec, self.fault, node.name)
        await node.start()
        if self.over:  # the next cut came while it was being started
            node.kill()

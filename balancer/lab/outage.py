"""A power loss of real nodes: kill all at once, replace their directories, start them again."""

from __future__ import annotations

import asyncio
import contextlib

from balancer.experiments.faults import PowerLoss
from balancer.lab import power_loss
from balancer.lab.processes import Fleet, NodeHost
from balancer.sim.disk import DiskImage


class Outage:
    """One `power` fault of the run."""

    def __init__(self, fleet: Fleet, fault: PowerLoss) -> None:
        """Prepare one loss of the fleet."""
        self.fleet, self.fault = fleet, fault
        self.copies: dict[str, DiskImage] = {}
        self.replaced = asyncio.Event()
        self.superseded = False  # a later cut has come

    def copy(self) -> None:
        """Copy the directories whose later state is `old`; called at half the time to the loss."""
        for node in self.fleet.nodes:
            if power_loss.disk_state_of(self.fleet.spec, self.fault, node.name) == "old":
                with contextlib.suppress(OSError):  # a file has just gone: an old disk may be an empty one
                    self.copies[node.name] = power_loss.read_image(node.state)

    def cut_power(self, names: tuple[str, ...]) -> None:
        """Send SIGKILL to all at one moment; replace their directories in the background."""
        nodes = [self.fleet.nodes[int(name[1:])] for name in names if name[0] == "n"]
        for node in nodes:
            node.kill()
        self.fleet.task(self._replace_directories(nodes))

    async def _replace_directories(self, nodes: list[NodeHost]) -> None:
        await asyncio.gather(*(running.process.wait() for node in nodes for running in node.running))
        images = {node.name: power_loss.read_image(node.state) for node in nodes}
        images_after = power_loss.images_after(
            self.fleet.spec, self.fleet.seed, self.fault, images, self.copies
        )
        for node in nodes:
            power_loss.write_image(node.state, images_after[node.name])
            state = power_loss.disk_state_of(self.fleet.spec, self.fault, node.name)
            changed = sorted(
                n for n in images[node.name] if images_after[node.name].get(n) != images[node.name][n]
            )
            self.fleet.log.write_event(node.name, "disk after the cut", state=state, changed=changed)
        self.replaced.set()

    async def restart(self, node: NodeHost) -> None:
        """Start a node with what its disk holds now; its `$TMPDIR` is empty after the loss."""
        await self.replaced.wait()
        node.clock = power_loss.clock_offset_of(self.fleet.spec, self.fault, node.name)
        await node.start()
        if self.superseded:  # the next cut came while it was being started
            node.kill()

"""Power loss of real nodes: kill all at once, replace their directories and start them again."""

from __future__ import annotations

import asyncio
import contextlib

from balancer.experiments.faults import PowerLoss
from balancer.lab import power_loss
from balancer.lab.processes import Fleet, NodeHost
from balancer.sim.disk import DiskImage


class Outage:
    """One `power` fault of a run, applied to the processes of its nodes."""

    def __init__(self, fleet: Fleet, fault: PowerLoss) -> None:
        """Prepare a power loss of the fleet, which `cut_power` starts."""
        self.fleet, self.fault = fleet, fault
        self.copies: dict[str, DiskImage] = {}
        self.replaced = asyncio.Event()
        self.superseded = False  # A power loss is superseded once a later one has begun.

    def copy(self) -> None:
        """Copy the directories that the loss will reset to an `old` state; called halfway to the loss."""
        for node in self.fleet.nodes:
            if power_loss.disk_state_of(self.fleet.spec, self.fault, node.name) == "old":
                # If a file is removed meanwhile, no copy is kept: an empty disk counts as old, too.
                with contextlib.suppress(OSError):
                    self.copies[node.name] = power_loss.read_image(node.state)

    def cut_power(self, names: tuple[str, ...]) -> None:
        """Send SIGKILL to all affected nodes at once, and replace their directories in the background."""
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
        """Start a node from its replaced directory, with an empty `$TMPDIR`."""
        await self.replaced.wait()
        node.clock_offset_s = power_loss.clock_offset_of(self.fleet.spec, self.fault, node.name)
        await node.start()
        if self.superseded:  # A later power loss came while the node was being started.
            node.kill()

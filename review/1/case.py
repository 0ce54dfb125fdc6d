"""A drain that a node was told of, an upgrade of that node, and a discovery that is down for 8 s."""

from __future__ import annotations

import asyncio
import json
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common"))

from standins import (
    HOST,
    Backend,
    Client,
    Discovery,
    NotRunError,
    Platform,
    Record,
    free_ports,
    main,
    settings,
)

OUTAGE_S = 8.0  # STANDING, herd+mass: "discovery is down for 8 s"
READY_WITHIN_S = 6.0  # DAYS: "The new process has 6 s to say yes."
TOLD_AFTER_YES_S = 2.0  # DAYS: "Discovery's news counts as told 2 s after the yes."
GRACE_S = 1.0  # the settings' drain-grace
SLACK_S = 0.05 + 0.15  # PROTOCOL: each limit grows by 50 ms; STANDING: a node held up for up to 0.15 s
KILL_AFTER_S = 1.2 + 0.7  # the longest deadline and 0.7 s


async def play(record: Record, folder: Path, trouble: bool) -> bool:
    """Return whether the drained backend got nothing new after the time that the pages allow."""
    backends = [Backend(record, f"s-{number}") for number in range(4)]
    for backend in backends:
        await backend.start()
    drained = backends[0]
    discovery = Discovery(record, backends)
    await discovery.come_up()
    listen, first_console, second_console = free_ports(3)
    config = folder / "config.json"
    table = {
        "name": "n0", "listen": f"{HOST}:{listen}", "discovery": f"{HOST}:{discovery.port}",
        "seed": "8c1f30d27a5be964", "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "known": discovery.full_list(), "settings": settings(),
    }  # fmt: skip
    config.write_text(json.dumps(table))
    platform = Platform(record, folder)
    stop = asyncio.Event()
    client = Client(record, listen)
    traffic: list[asyncio.Task[None]] = []
    try:
        old = await platform.start("old", config, folder / "tmp", first_console)
        await old.wait_ready(20.0)
        traffic = [asyncio.create_task(client.send_steadily(0.1, stop)) for _ in range(8)]
        await asyncio.sleep(2.0)
        if not drained.received:
            raise NotRunError("the backend got nothing before its drain")
        told = discovery.change(drained, "terminating")
        await asyncio.sleep(GRACE_S + 1.0)
        late = [r for r in drained.received if r.first > told + GRACE_S + SLACK_S]
        if late:
            record.add("check", f"before the upgrade already: {late[0].request_id}")
            return False
        if trouble:
            discovery.go_down()
        down_at = record.now()
        new = await platform.start("new", config, folder / "tmp", second_console)
        yes = await new.wait_ready(READY_WITHIN_S)
        await old.stop(KILL_AFTER_S)
        await asyncio.sleep(max(0.0, down_at + OUTAGE_S - record.now()))
        if trouble:
            await discovery.come_up()
        await asyncio.sleep(5.0)
    finally:
        stop.set()
        await asyncio.gather(*traffic)
        await platform.end()
    limit = yes + TOLD_AFTER_YES_S + GRACE_S + SLACK_S
    record.add(
        "check", f"told at {told:.3f}, yes at {yes:.3f}; nothing new to {drained.name} after {limit:.3f}"
    )
    broken = [r for r in drained.received if r.first > limit]
    earlier = [r for r in drained.received if yes < r.first <= limit]
    served = sum(answer.status == 200 for answer in client.answers)
    record.add("check", f"{len(client.answers)} requests, {served} served")
    record.add(
        "check", f"to {drained.name}: {len(earlier)} from the yes to the limit, {len(broken)} after it"
    )
    for got in broken:
        record.add("check", f"drain broken: {got.request_id} began at {got.first:.3f}")
    return not broken


main(play, Path(__file__).resolve().parent)

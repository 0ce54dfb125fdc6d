"""Case 10: a new configuration with cheap probes makes a node refuse all, and grow until it is killed."""

import asyncio
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "rig2"))
import rig

CLIENTS = 100  # Under a third of the descriptors.
MEMORY_MB = 48
PLAY_S = 90.0
NEW_PROBE_PRICE = 0.004


async def play(case: rig.Case) -> bool:
    discovery = rig.Discovery(case.record)
    case.discoveries.append(discovery)
    await discovery.start()
    for number in range(9):
        backend = rig.Backend(case.record, f"s-{number}", case.known_ids, work_s=0.03)
        case.backends.append(backend)
        await backend.start()
    discovery.put(*[backend.member() for backend in case.backends])
    node = case.node(
        "n0", rig.settings(), discovery.port, list(discovery.members.values()), discovery.revision,
        limits={"memory_mb": MEMORY_MB, "sockets": 1024},
    )  # fmt: skip
    await node.start()
    await node.wait_ready()
    stopping = asyncio.Event()
    answers: dict[object, int] = {}

    async def call(number: int) -> None:
        client = rig.Client(case.record, node.port, case.known_ids, f"c{number}")
        while not stopping.is_set():
            _, message = await client.send("place-order", 1000, b"one soup")
            status = message.status if message is not None else None
            answers[status] = answers.get(status, 0) + 1
            await asyncio.sleep(0.02)
        client.close()

    callers = [asyncio.create_task(call(number)) for number in range(CLIENTS)]
    began = time.monotonic()
    has_changed = False
    over_at = None
    next_line = 0.0
    while (passed := time.monotonic() - began) < PLAY_S and over_at is None:
        if not has_changed and passed > 10:
            has_changed = True
            served_before = answers.get(200, 0)
            answers.clear()
            if rig.trouble():
                node.config["settings"]["charges"]["probe"] = NEW_PROBE_PRICE
                node.write_config()
                node.signal(signal.SIGHUP)
        memory = node.memory_mb()
        if node.process.returncode is not None:
            raise rig.CannotRunError("the node has ended")
        if memory > MEMORY_MB:
            over_at = passed
        if passed >= next_line:
            next_line += 5
            case.record.say(f"after {passed:.0f} s: {memory:.1f} MB resident, answers {answers}")
        await asyncio.sleep(0.1)
    memory = node.memory_mb()
    stopping.set()
    await asyncio.gather(*callers)
    if not served_before:
        raise rig.CannotRunError("nothing was served before the new configuration")
    case.record.say(
        f"{served_before} served before the new configuration; since then {answers}; "
        f"{memory:.1f} MB resident of {MEMORY_MB} allowed"
        + ("" if over_at is None else f", over the limit {over_at - 10:.0f} s after the new configuration")
    )
    return over_at is not None


if __name__ == "__main__":
    rig.main(play, Path(__file__).resolve().parent)
